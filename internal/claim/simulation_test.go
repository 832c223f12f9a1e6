package claim_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/claim"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// mutations are protections that a run removes, to check that the simulation detects
// the violation.
type mutations struct {
	localMemory         bool // each process decides from its own memory
	dispatchBeforeClaim bool // the request is dispatched before it is claimed
	unflushedMove       bool // a new primary acts before the former one has written its claims
	emptyRestart        bool // a restarted process answers with empty memory
	noSecondary         bool // while the table is down, the primary grants alone
	dispatchEveryGrant  bool // a claimant dispatches on every grant
	unknownAsNotRun     bool // primaries answer not-run without knowing all claims
}

// violation describes a broken guarantee. The simulation panics with it.
type violation string

// chooser makes the simulation's random choices, from rapid or a seeded generator.
type chooser func(n int) int

type process struct {
	self             roster.Identity
	replica          *claim.Replica
	roster           roster.Roster
	rosterRowVersion uint64
	attempts         map[claim.Token]*attempt
	tokens           []claim.Token
	alive            bool
	paused           bool
	cutFromTable     bool
}

type message struct {
	to, from roster.Identity
	body     any
}

type release struct {
	id    claim.ID
	token claim.Token
}

type finish struct {
	record claim.Record
	state  claim.State
}

type tableCall struct {
	from   *process
	effect claim.Effect
	done   bool
	answer claim.TableResult
}

// simulation holds the processes, the network and the table, and counts the runs of
// each ID.
type simulation struct {
	mutations   mutations
	pick        chooser
	now         time.Time
	store       *table.Memory
	down        bool
	loseAnswers bool
	processes   []*process
	messages    []message
	calls       []*tableCall
	cutLinks    map[string]bool
	ids         []claim.ID
	runs        map[claim.ID]int
	counts      map[string]int
	sequence    uint64
	idReuse     int
}

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSimulation(pick chooser, broken mutations) *simulation {
	sim := &simulation{
		mutations: broken, pick: pick, now: startTime, store: table.NewMemory(),
		cutLinks: make(map[string]bool), runs: make(map[claim.ID]int), counts: make(map[string]int),
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		sim.startProcess(name, 1)
	}
	for i := range 3 {
		sim.join(sim.processes[i])
	}
	sim.stabilize()
	sim.idReuse = 1 << sim.pick(3)
	return sim
}

func (sim *simulation) startProcess(name string, incarnation uint64) *process {
	self := roster.Identity{Name: name, Incarnation: incarnation}
	p := &process{self: self, alive: true, attempts: make(map[claim.Token]*attempt)}
	p.replica = claim.New(claim.Config{Self: self, Retention: 24 * time.Hour, MaxScans: claim.Buckets, MaxBatch: 4})
	sim.processes = slices.DeleteFunc(sim.processes, func(old *process) bool { return old.self.Name == name })
	sim.processes = append(sim.processes, p)
	return p
}

func (sim *simulation) find(id roster.Identity) *process {
	for _, p := range sim.processes {
		if p.self == id && p.alive {
			return p
		}
	}
	return nil
}

// changeRoster commits a roster change if the table is available.
func (sim *simulation) changeRoster(f func(roster.Roster) (roster.Roster, bool)) {
	rows, err := sim.store.Get(context.Background(), roster.Key)
	if err != nil {
		return
	}
	current, err := roster.Decode(rows[0].Value)
	if err != nil {
		panic(err)
	}
	next, changed := f(current)
	if !changed {
		return
	}
	sim.counts["roster-changes"]++
	err = sim.store.Commit(context.Background(), table.Txn{
		Conditions: []table.Condition{{Key: roster.Key, Version: rows[0].Version}},
		Writes:     []table.Write{{Key: roster.Key, Value: next.Encode()}},
	})
	if err != nil && !table.IsUnknown(err) {
		panic(err)
	}
}

func (sim *simulation) join(p *process) {
	member := roster.Member{
		Identity:   p.self,
		Role:       roster.RoleEntry,
		Address:    netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 7000+uint16(p.self.Name[0])),
		DataCentre: "dc-" + p.self.Name,
		State:      roster.StateActive,
	}
	sim.changeRoster(func(r roster.Roster) (roster.Roster, bool) { return roster.Join(r, member, sim.now) })
}

func (sim *simulation) acks() roster.Acks {
	acks := make(roster.Acks)
	rows, err := sim.store.Scan(context.Background(), roster.AckPrefix)
	if err != nil {
		return acks
	}
	for _, row := range rows {
		if err := acks.Add(row.Value); err != nil {
			panic(err)
		}
	}
	return acks
}

func (sim *simulation) prune() {
	acks := sim.acks()
	sim.changeRoster(func(r roster.Roster) (roster.Roster, bool) {
		return roster.Prune(r, claim.BucketKeys(), acks, sim.now, 24*time.Hour)
	})
}

// refresh makes the process read the roster row.
func (sim *simulation) refresh(p *process) {
	if sim.down || p.cutFromTable || p.paused {
		return
	}
	rows, err := sim.store.Get(context.Background(), roster.Key)
	if err != nil {
		return
	}
	r, err := roster.Decode(rows[0].Value)
	if err != nil {
		panic(err)
	}
	sim.applyRoster(p, r, rows[0].Version)
}

func (sim *simulation) applyRoster(p *process, r roster.Roster, row uint64) {
	if row < p.rosterRowVersion {
		return
	}
	p.roster = r
	p.rosterRowVersion = row
	if sim.mutations.unflushedMove {
		r.Past = nil
	}
	sim.execute(p, p.replica.ApplyRoster(sim.now, r, row))
}

// execute executes the effects of a process's replica.
func (sim *simulation) execute(p *process, effects []claim.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case claim.AskSecondary:
			sim.counts["asked-secondary"]++
			if sim.mutations.noSecondary {
				sim.send(effect.To.Identity, p.self, claim.Confirm{To: p.self, From: effect.To.Identity, Version: effect.Version, Record: effect.Record, Recorded: true})
				continue
			}
			sim.send(p.self, effect.To.Identity, effect)
		case claim.Confirm:
			sim.send(p.self, effect.To, effect)
		case claim.Answer:
			sim.sendAnswer(p, effect)
		case claim.StaleRoster:
			sim.counts["stale-roster"]++
		default:
			sim.calls = append(sim.calls, &tableCall{from: p, effect: effect})
		}
	}
}

func (sim *simulation) sendAnswer(p *process, answer claim.Answer) {
	sim.counts["answer-"+string(answer.Outcome)]++
	if sim.mutations.unknownAsNotRun && answer.Outcome == claim.OutcomeUnknown && answer.Record.Generation == 0 {
		answer.Outcome = claim.OutcomeNotRun
	}
	if answer.Outcome == claim.OutcomeNotRun {
		sim.checkNotRun(answer.Record.ID)
	}
	sim.send(p.self, answer.Token.Claimant, answer)
}

func (sim *simulation) checkNotRun(id claim.ID) {
	if sim.runs[id] > 0 {
		panic(violation(fmt.Sprintf("%q was reported as not run after %d runs", id.Key, sim.runs[id])))
	}
}

func (sim *simulation) dispatch(id claim.ID) {
	sim.counts["runs"]++
	sim.runs[id]++
	if sim.runs[id] > 1 {
		panic(violation(fmt.Sprintf("%q ran %d times", id.Key, sim.runs[id])))
	}
}

func (sim *simulation) send(from, to roster.Identity, body any) {
	sim.messages = append(sim.messages, message{from: from, to: to, body: body})
}

func linkName(a, b roster.Identity) string {
	if a.Name > b.Name {
		a, b = b, a
	}
	return a.Name + b.Name
}

// deliver delivers the message at index i to its process, or loses it if the process
// cannot be reached.
func (sim *simulation) deliver(i int) {
	m := sim.messages[i]
	p := sim.find(m.to)
	if p != nil && p.paused {
		return
	}
	sim.messages = slices.Delete(sim.messages, i, i+1)
	if p == nil || sim.cutLinks[linkName(m.from, m.to)] {
		sim.counts["messages-lost"]++
		return
	}
	switch body := m.body.(type) {
	case claim.Request:
		sim.execute(p, p.replica.Request(sim.now, body))
	case claim.AskSecondary:
		sim.execute(p, p.replica.Mirror(sim.now, body))
	case claim.Confirm:
		sim.execute(p, p.replica.HandleConfirm(sim.now, body))
	case claim.Answer:
		sim.receiveAnswer(p, body)
	case release:
		sim.execute(p, p.replica.Release(sim.now, body.id, body.token))
	case finish:
		_, effects := p.replica.Finish(sim.now, body.record, body.state, &claim.Result{Status: 200})
		sim.execute(p, effects)
	}
}

// executeCall executes a table call.
func (sim *simulation) executeCall(c *tableCall) {
	ctx := context.Background()
	reachable := !sim.down && !c.from.cutFromTable
	c.done = true
	switch effect := c.effect.(type) {
	case claim.Commit:
		c.answer = claim.TableResult{Call: effect.Call, Err: table.ErrUnavailable}
		if reachable {
			c.answer.Err = sim.store.Commit(ctx, effect.Txn)
		}
	case claim.Get:
		c.answer = claim.TableResult{Call: effect.Call, Err: table.ErrUnavailable}
		if reachable {
			c.answer.Rows, c.answer.Err = sim.store.Get(ctx, effect.Keys...)
		}
	case claim.Scan:
		c.answer = claim.TableResult{Call: effect.Call, Err: table.ErrUnavailable}
		if reachable {
			c.answer.Rows, c.answer.Err = sim.store.Scan(ctx, effect.Prefix)
		}
		if !reachable && sim.mutations.emptyRestart {
			c.answer.Err = nil
		}
	}
}

// answerCall passes the call's result to its process. The result may be lost on the
// way.
func (sim *simulation) answerCall(c *tableCall) {
	if !c.from.alive {
		return
	}
	if _, commit := c.effect.(claim.Commit); commit && c.answer.Err == nil && sim.loseAnswers {
		sim.counts["lost-answers"]++
		c.answer.Err = table.ErrUnknown
	}
	sim.execute(c.from, c.from.replica.HandleTableResult(sim.now, c.answer))
}

// stabilize advances the time, lets the running processes refresh and tick, and
// delivers all messages.
func (sim *simulation) stabilize() {
	for range 4 {
		sim.now = sim.now.Add(600 * time.Millisecond)
		for _, p := range sim.processes {
			if p.alive && !p.paused {
				sim.refresh(p)
				sim.execute(p, p.replica.Tick(sim.now))
			}
		}
		sim.deliverAll()
	}
}

func (sim *simulation) deliverAll() {
	for range 40 {
		calls := sim.calls
		sim.calls = nil
		for _, c := range calls {
			sim.callStep(c, false)
		}
		for i := len(sim.messages) - 1; i >= 0; i-- {
			sim.deliver(i)
		}
		if len(sim.calls)+len(sim.messages) == 0 {
			return
		}
	}
}

// callStep executes and answers a call. A commit that times out is answered first
// and executed later.
func (sim *simulation) callStep(c *tableCall, timeout bool) {
	if c.from.paused && c.done {
		sim.calls = append(sim.calls, c)
		return
	}
	_, commit := c.effect.(claim.Commit)
	if timeout && commit && !c.done {
		sim.counts["late-commits"]++
		timedOut := *c
		timedOut.answer = claim.TableResult{Call: c.effect.(claim.Commit).Call, Err: table.ErrUnknown}
		sim.answerCall(&timedOut)
		sim.calls = append(sim.calls, &tableCall{from: &process{cutFromTable: c.from.cutFromTable}, effect: c.effect})
		return
	}
	if !c.done {
		sim.executeCall(c)
	}
	if c.from.paused {
		sim.calls = append(sim.calls, c)
		return
	}
	sim.answerCall(c)
}
