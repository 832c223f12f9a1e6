package limit_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/limit"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

const (
	team        = "tanoa"
	longestRun  = 10 * time.Second
	memberCount = 4
	maxInFlight = 40
)

// rules are the mechanisms that a mutation takes out.
type rules struct {
	acceptAfterReport bool
	addTotals         bool
	adoptWhileCarried bool
	blindCommit       bool
	giveWithoutDebit  bool
	leaseByClock      bool
	lowerAtOnce       bool
	noGhosts          bool
	noLongestRun      bool
	releaseOnTimeout  bool
	reportOfAnyAge    bool
}

// work runs at an endpoint, whatever becomes of the member that started it.
type work struct {
	owner     *process
	started   time.Time
	lingering bool
	// extra work runs under a permit that only a mutation would have.
	extra bool
}

// process is one incarnation of an entry.
type process struct {
	self   limit.Member
	ledger *limit.Ledger
	paused bool
	dead   bool
	// cut processes reach neither table nor managers, only other processes.
	cut bool
	// extra counts permits that only a mutation would have.
	extra, extraUsed int
	seen             map[limit.Transfer]int
}

// world drives ledgers and planners through a hostile network and counts what
// really runs.
type world struct {
	intn     func(n int) int
	rules    rules
	now      time.Time
	store    *table.Memory
	faults   table.Faults
	desired  int
	procs    []*process
	managers []*manager
	ended    []limit.Member
	died     map[limit.Member]time.Time
	running  []*work
	rows     []limit.Allocation
	inFlight []func()
	counts   map[string]int
	serial   int
	actions  []action
	busy     int
}

func newWorld(intn func(n int) int, broken rules) *world {
	w := &world{intn: intn, rules: broken, now: time.Unix(1000, 0), store: table.NewMemory(), desired: 4, counts: make(map[string]int), died: make(map[limit.Member]time.Time)}
	w.weigh()
	for range memberCount {
		w.procs = append(w.procs, w.spawn())
	}
	for range 2 {
		w.managers = append(w.managers, &manager{})
		w.restartManager(len(w.managers) - 1)
	}
	for i := range w.managers {
		w.manage(i)
		w.commit(i)
	}
	for _, p := range w.procs {
		w.readRow(p)
	}
	return w
}

func (w *world) spawn() *process {
	w.serial++
	self := limit.Member(fmt.Sprintf("entry/%d", w.serial))
	return &process{self: self, ledger: limit.New(limit.Config{Self: self}), seen: make(map[limit.Transfer]int)}
}

// send puts a message in flight; it may be delivered late, twice or never.
func (w *world) send(p *process, deliver func()) {
	if len(w.inFlight) >= maxInFlight {
		w.counts["lost"]++
		w.inFlight = slices.Delete(w.inFlight, 0, 1)
	}
	w.inFlight = append(w.inFlight, func() {
		if p == nil || !p.dead && !p.paused {
			deliver()
		}
	})
}

// deliver lets up to a handful of messages arrive, in any order.
func (w *world) deliver() {
	for range 1 + w.intn(16) {
		if len(w.inFlight) == 0 {
			return
		}
		i := w.intn(len(w.inFlight))
		message := w.inFlight[i]
		fate := w.intn(10)
		if fate > 0 {
			message()
		} else {
			w.counts["lost"]++
		}
		if fate == 1 {
			w.counts["doubled"]++
			continue
		}
		w.inFlight = slices.Delete(w.inFlight, i, i+1)
	}
}

// row reads the table, and false during an outage.
func (w *world) row() (limit.Allocation, table.Row, bool) {
	rows, err := w.store.Get(context.Background(), limit.Key(team))
	if err != nil {
		return limit.Allocation{}, table.Row{}, false
	}
	grant := limit.Allocation{Team: team}
	if rows[0].Version != table.Absent {
		if err := json.Unmarshal(rows[0].Value, &grant); err != nil {
			panic(err)
		}
	}
	return grant, rows[0], true
}

func (w *world) readRow(p *process) {
	if row, _, ok := w.row(); ok && !p.paused && !p.cut {
		w.adopt(p, row)
	}
}

func (w *world) adopt(p *process, row limit.Allocation) {
	if carry, ok := row.Carried[p.self]; ok && w.rules.adoptWhileCarried {
		row.Granted = maps.Clone(row.Granted)
		row.Granted[p.self] = max(0, carry.Bound)
		row.Carried = nil
	}
	if row.Generation > p.ledger.Status(team).Generation {
		p.extra = 0
	}
	p.ledger.Apply(row)
}

func (w *world) start(p *process) {
	if p.dead || p.paused {
		return
	}
	begun := &work{owner: p, started: w.now}
	switch {
	case p.ledger.Acquire(team):
	case p.extraUsed < p.extra:
		p.extraUsed++
		begun.extra = true
	default:
		w.counts["refused"]++
		return
	}
	w.counts["started"]++
	w.running = append(w.running, begun)
}

// release frees the permit of work that its member knows to have ended.
func (w *world) release(done *work) {
	switch {
	case done.owner.dead:
	case done.extra:
		done.owner.extraUsed--
	default:
		done.owner.ledger.Release(team)
	}
}

// end ends work i; its member may hear of it much later.
func (w *world) end(i int) {
	done := w.running[i]
	w.running = slices.Delete(w.running, i, i+1)
	if done.lingering {
		if w.intn(2) == 0 && !done.owner.dead {
			done.owner.ledger.ReleaseLingering(team, done.started.Add(longestRun))
		}
		return
	}
	w.release(done)
}

// timeOut cuts a request short for its caller while its work goes on.
func (w *world) timeOut(i int) {
	cut := w.running[i]
	if cut.lingering || cut.extra || cut.owner.dead || cut.owner.paused {
		return
	}
	w.counts["timeout"]++
	cut.lingering = true
	if w.rules.releaseOnTimeout {
		w.release(cut)
		return
	}
	cut.owner.ledger.Linger(team, cut.started.Add(longestRun))
}

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for i := len(w.running) - 1; i >= 0; i-- {
		if !w.now.Before(w.running[i].started.Add(longestRun)) {
			w.end(i)
		}
	}
	for _, p := range w.procs {
		if !p.paused {
			p.ledger.Tick(w.now)
		}
	}
}

// trade sends the requests, repetitions and reports of one gossip round.
func (w *world) trade(p *process) {
	if p.paused {
		return
	}
	peers := make(map[limit.Member]limit.Status)
	for _, peer := range w.procs {
		if peer != p {
			peers[peer.self] = peer.ledger.Status(team)
		}
	}
	for _, ask := range p.ledger.TransferRequests(team, peers) {
		w.toMember(ask.To, func(giver *process) { w.give(giver, ask) })
	}
	for _, transfer := range p.ledger.Unconfirmed() {
		w.toMember(transfer.To, func(to *process) { w.receive(to, transfer) })
	}
	for _, report := range p.ledger.Reports() {
		if p.cut {
			break
		}
		m := w.managers[w.intn(len(w.managers))]
		w.send(nil, func() { m.planner.HandleReport(report) })
	}
}

func (w *world) toMember(to limit.Member, deliver func(p *process)) {
	for _, p := range w.procs {
		if p.self == to {
			w.send(p, func() { deliver(p) })
		}
	}
}

func (w *world) give(giver *process, ask limit.TransferRequest) {
	transfer, ok := giver.ledger.HandleTransferRequest(ask)
	if !ok {
		return
	}
	w.counts["transfers"]++
	if w.rules.giveWithoutDebit {
		giver.extra += transfer.Total - giver.seen[limit.Transfer{Generation: transfer.Generation, To: transfer.To}]
		giver.seen[limit.Transfer{Generation: transfer.Generation, To: transfer.To}] = transfer.Total
	}
	w.toMember(transfer.To, func(to *process) { w.receive(to, transfer) })
}

func (w *world) receive(p *process, transfer limit.Transfer) {
	status := p.ledger.Status(team)
	key := limit.Transfer{Generation: transfer.Generation, From: transfer.From}
	if status.Generation == transfer.Generation {
		gain := max(0, transfer.Total-p.seen[key])
		if w.rules.addTotals {
			gain = transfer.Total
			transfer.Total += p.seen[key]
		}
		p.seen[key] += gain
		if w.rules.acceptAfterReport && status.Frozen {
			p.extra += gain
		}
	}
	if p.ledger.Receive(transfer) {
		w.toMember(transfer.From, func(from *process) { from.ledger.Confirm(transfer) })
	}
}

func (w *world) crash(i int) {
	w.counts["crash"]++
	lost := w.procs[i]
	for _, r := range w.running {
		if r.owner == lost {
			w.counts["crash with work"]++
			break
		}
	}
	lost.dead = true
	w.died[lost.self] = w.now
	w.ended = append(w.ended, lost.self)
	w.procs[i] = w.spawn()
}

func (w *world) setLimit(n int) {
	if n < w.desired {
		w.counts["lowered"]++
	} else if n > w.desired {
		w.counts["raised"]++
	}
	w.desired = n
	row, version, ok := w.row()
	if ok && w.rules.lowerAtOnce && n < row.Limit {
		row.Limit = n
		w.propose(w.managers[0], row, version.Version)
	}
}

func (w *world) setFaults(faults table.Faults) {
	if faults.Down && !w.faults.Down {
		w.counts["outage"]++
	}
	w.faults = faults
	w.store.SetFaults(faults)
}
