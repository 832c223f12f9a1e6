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

// rules are protections that a variant takes out, to show that the oracle
// notices their absence.
type rules struct {
	localMemory    bool // each entry decides on its own memory
	dispatchFirst  bool // the claim follows the dispatch
	unflushedMove  bool // a new home acts before the former ones flushed
	emptyRestart   bool // a restarted process acts with empty memory
	noSecond       bool // without the table the home grants alone
	regrant        bool // a claimant dispatches on every grant
	forgetfulHomes bool // homes say not-run without knowing all claims
}

// violation is what the oracle found.
type violation string

// chooser makes the world's choices: rapid, or a seeded generator.
type chooser func(n int) int

type process struct {
	self     roster.Identity
	holder   *claim.Replica
	view     roster.Roster
	row      uint64
	attempts map[claim.Token]*attempt
	tokens   []claim.Token
	alive    bool
	paused   bool
	cut      bool
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

// world holds the processes, the network and the table, and sees what runs.
type world struct {
	rules    rules
	pick     chooser
	now      time.Time
	store    *table.Memory
	down     bool
	lose     bool
	procs    []*process
	messages []message
	calls    []*tableCall
	links    map[string]bool
	ids      []claim.ID
	runs     map[claim.ID]int
	counts   map[string]int
	sequence uint64
	focus    int
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newWorld(pick chooser, r rules) *world {
	w := &world{
		rules: r, pick: pick, now: start, store: table.NewMemory(),
		links: make(map[string]bool), runs: make(map[claim.ID]int), counts: make(map[string]int),
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		w.boot(name, 1)
	}
	for i := range 3 {
		w.join(w.procs[i])
	}
	w.settle()
	w.focus = 1 << w.pick(3)
	return w
}

func (w *world) boot(name string, incarnation uint64) *process {
	self := roster.Identity{Name: name, Incarnation: incarnation}
	p := &process{self: self, alive: true, attempts: make(map[claim.Token]*attempt)}
	p.holder = claim.New(claim.Config{Self: self, Retention: 24 * time.Hour, MaxScans: claim.Buckets, MaxBatch: 4})
	w.procs = slices.DeleteFunc(w.procs, func(old *process) bool { return old.self.Name == name })
	w.procs = append(w.procs, p)
	return p
}

func (w *world) find(id roster.Identity) *process {
	for _, p := range w.procs {
		if p.self == id && p.alive {
			return p
		}
	}
	return nil
}

// change commits a roster change if the table takes it.
func (w *world) change(f func(roster.Roster) (roster.Roster, bool)) {
	rows, err := w.store.Get(context.Background(), roster.Key)
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
	w.counts["roster-changes"]++
	err = w.store.Commit(context.Background(), table.Txn{
		Conditions: []table.Condition{{Key: roster.Key, Version: rows[0].Version}},
		Writes:     []table.Write{{Key: roster.Key, Value: next.Encode()}},
	})
	if err != nil && !table.IsUnknown(err) {
		panic(err)
	}
}

func (w *world) join(p *process) {
	member := roster.Member{
		Identity:   p.self,
		Role:       roster.RoleEntry,
		Address:    netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 7000+uint16(p.self.Name[0])),
		DataCentre: "dc-" + p.self.Name,
		State:      roster.StateActive,
	}
	w.change(func(r roster.Roster) (roster.Roster, bool) { return roster.Join(r, member, w.now) })
}

func (w *world) acks() roster.Acks {
	acks := make(roster.Acks)
	rows, err := w.store.Scan(context.Background(), roster.AckPrefix)
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

func (w *world) prune() {
	acks := w.acks()
	w.change(func(r roster.Roster) (roster.Roster, bool) {
		return roster.Prune(r, claim.BucketKeys(), acks, w.now, 24*time.Hour)
	})
}

// refresh has the process read the roster row.
func (w *world) refresh(p *process) {
	if w.down || p.cut || p.paused {
		return
	}
	rows, err := w.store.Get(context.Background(), roster.Key)
	if err != nil {
		return
	}
	r, err := roster.Decode(rows[0].Value)
	if err != nil {
		panic(err)
	}
	w.learn(p, r, rows[0].Version)
}

func (w *world) learn(p *process, r roster.Roster, row uint64) {
	if row < p.row {
		return
	}
	p.view = r
	p.row = row
	if w.rules.unflushedMove {
		r.Past = nil
	}
	w.carry(p, p.holder.ApplyRoster(w.now, r, row))
}

// carry takes the effects of a holder out into the world.
func (w *world) carry(p *process, effects []claim.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case claim.AskSecondary:
			w.counts["asked-second"]++
			if w.rules.noSecond {
				w.send(effect.To.Identity, p.self, claim.Confirm{To: p.self, From: effect.To.Identity, Version: effect.Version, Record: effect.Record, Recorded: true})
				continue
			}
			w.send(p.self, effect.To.Identity, effect)
		case claim.Confirm:
			w.send(p.self, effect.To, effect)
		case claim.Answer:
			w.answered(p, effect)
		case claim.StaleRoster:
			w.counts["stale-roster"]++
		default:
			w.calls = append(w.calls, &tableCall{from: p, effect: effect})
		}
	}
}

func (w *world) answered(p *process, answer claim.Answer) {
	w.counts["answer-"+string(answer.Outcome)]++
	if w.rules.forgetfulHomes && answer.Outcome == claim.OutcomeUnknown && answer.Record.Generation == 0 {
		answer.Outcome = claim.OutcomeNotRun
	}
	if answer.Outcome == claim.OutcomeNotRun {
		w.checkNotRun(answer.Record.ID)
	}
	w.send(p.self, answer.Token.Claimant, answer)
}

func (w *world) checkNotRun(id claim.ID) {
	if w.runs[id] > 0 {
		panic(violation(fmt.Sprintf("%q was said not to have run after %d runs", id.Key, w.runs[id])))
	}
}

func (w *world) dispatch(id claim.ID) {
	w.counts["runs"]++
	w.runs[id]++
	if w.runs[id] > 1 {
		panic(violation(fmt.Sprintf("%q ran %d times", id.Key, w.runs[id])))
	}
}

func (w *world) send(from, to roster.Identity, body any) {
	w.messages = append(w.messages, message{from: from, to: to, body: body})
}

func linkOf(a, b roster.Identity) string {
	if a.Name > b.Name {
		a, b = b, a
	}
	return a.Name + b.Name
}

// deliver takes the message at index i to its process, if it can be reached.
func (w *world) deliver(i int) {
	m := w.messages[i]
	p := w.find(m.to)
	if p != nil && p.paused {
		return
	}
	w.messages = slices.Delete(w.messages, i, i+1)
	if p == nil || w.links[linkOf(m.from, m.to)] {
		w.counts["messages-lost"]++
		return
	}
	switch body := m.body.(type) {
	case claim.Request:
		w.carry(p, p.holder.Request(w.now, body))
	case claim.AskSecondary:
		w.carry(p, p.holder.Mirror(w.now, body))
	case claim.Confirm:
		w.carry(p, p.holder.HandleConfirm(w.now, body))
	case claim.Answer:
		w.receive(p, body)
	case release:
		w.carry(p, p.holder.Release(w.now, body.id, body.token))
	case finish:
		_, effects := p.holder.Finish(w.now, body.record, body.state, &claim.Result{Status: 200})
		w.carry(p, effects)
	}
}

// perform executes a table call.
func (w *world) perform(c *tableCall) {
	ctx := context.Background()
	reachable := !w.down && !c.from.cut
	c.done = true
	switch effect := c.effect.(type) {
	case claim.Commit:
		c.answer = claim.TableResult{Call: effect.Call, Err: table.ErrUnavailable}
		if reachable {
			c.answer.Err = w.store.Commit(ctx, effect.Txn)
		}
	case claim.Get:
		c.answer = claim.TableResult{Call: effect.Call, Err: table.ErrUnavailable}
		if reachable {
			c.answer.Rows, c.answer.Err = w.store.Get(ctx, effect.Keys...)
		}
	case claim.Scan:
		c.answer = claim.TableResult{Call: effect.Call, Err: table.ErrUnavailable}
		if reachable {
			c.answer.Rows, c.answer.Err = w.store.Scan(ctx, effect.Prefix)
		}
		if !reachable && w.rules.emptyRestart {
			c.answer.Err = nil
		}
	}
}

// reply gives the call's answer to its process; it may get lost on the way.
func (w *world) reply(c *tableCall) {
	if !c.from.alive {
		return
	}
	if _, commit := c.effect.(claim.Commit); commit && c.answer.Err == nil && w.lose {
		w.counts["lost-answers"]++
		c.answer.Err = table.ErrUnknown
	}
	w.carry(c.from, c.from.holder.HandleTableResult(w.now, c.answer))
}

// settle lets everything reachable happen for a while.
func (w *world) settle() {
	for range 4 {
		w.now = w.now.Add(600 * time.Millisecond)
		for _, p := range w.procs {
			if p.alive && !p.paused {
				w.refresh(p)
				w.carry(p, p.holder.Tick(w.now))
			}
		}
		w.drain()
	}
}

func (w *world) drain() {
	for range 40 {
		calls := w.calls
		w.calls = nil
		for _, c := range calls {
			w.callStep(c, false)
		}
		for i := len(w.messages) - 1; i >= 0; i-- {
			w.deliver(i)
		}
		if len(w.calls)+len(w.messages) == 0 {
			return
		}
	}
}

// callStep performs and answers a call. A commit that timed out is answered
// first and performed later.
func (w *world) callStep(c *tableCall, timeout bool) {
	if c.from.paused && c.done {
		w.calls = append(w.calls, c)
		return
	}
	_, commit := c.effect.(claim.Commit)
	if timeout && commit && !c.done {
		w.counts["late-commits"]++
		late := *c
		late.answer = claim.TableResult{Call: c.effect.(claim.Commit).Call, Err: table.ErrUnknown}
		w.reply(&late)
		w.calls = append(w.calls, &tableCall{from: &process{cut: c.from.cut}, effect: c.effect})
		return
	}
	if !c.done {
		w.perform(c)
	}
	if c.from.paused {
		w.calls = append(w.calls, c)
		return
	}
	w.reply(c)
}
