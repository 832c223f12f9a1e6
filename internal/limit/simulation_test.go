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

// mutations selects the protections that a simulation disables.
type mutations struct {
	acceptAfterReport    bool
	addTotals            bool
	adoptWhileCarried    bool
	blindCommit          bool
	transferWithoutDebit bool
	leaseByClock         bool
	lowerAtOnce          bool
	dropGoneEarly        bool
	noLongestRun         bool
	releaseOnTimeout     bool
	reportNothingHeld    bool
}

// work runs at an endpoint, and continues if the member that started it ends.
type work struct {
	owner     *process
	started   time.Time
	lingering bool
	// unbacked work runs under a permit that exists only because of a mutation.
	unbacked bool
}

// process is one incarnation of an entry.
type process struct {
	self   limit.Member
	ledger *limit.Ledger
	paused bool
	dead   bool
	// cut processes reach neither table nor managers, only other processes.
	cut bool
	// unbacked counts permits that exist only because of a mutation.
	unbacked, unbackedInUse int
	receivedTotals          map[limit.Transfer]int
}

// simulation runs ledgers and planners on an unreliable network and records the
// work that is actually running.
type simulation struct {
	intn            func(n int) int
	mutations       mutations
	now             time.Time
	store           *table.Memory
	faults          table.Faults
	desiredLimit    int
	procs           []*process
	managers        []*manager
	ended           []limit.Member
	died            map[limit.Member]time.Time
	running         []*work
	committedRows   []limit.Allocation
	inFlight        []func()
	counts          map[string]int
	lastIncarnation int
	actions         []action
	busy            int
}

func newSimulation(intn func(n int) int, active mutations) *simulation {
	s := &simulation{intn: intn, mutations: active, now: time.Unix(1000, 0), store: table.NewMemory(), desiredLimit: 4, counts: make(map[string]int), died: make(map[limit.Member]time.Time)}
	s.drawWeights()
	for range memberCount {
		s.procs = append(s.procs, s.spawn())
	}
	for range 2 {
		s.managers = append(s.managers, &manager{})
		s.restartManager(len(s.managers) - 1)
	}
	for i := range s.managers {
		s.manage(i)
		s.commit(i)
	}
	for _, p := range s.procs {
		s.readRow(p)
	}
	return s
}

func (s *simulation) spawn() *process {
	s.lastIncarnation++
	self := limit.Member(fmt.Sprintf("entry/%d", s.lastIncarnation))
	return &process{self: self, ledger: limit.New(limit.Config{Self: self}), receivedTotals: make(map[limit.Transfer]int)}
}

// send puts a message in flight; it may be delivered late, twice or never.
func (s *simulation) send(p *process, deliver func()) {
	if len(s.inFlight) >= maxInFlight {
		s.counts["lost"]++
		s.inFlight = slices.Delete(s.inFlight, 0, 1)
	}
	s.inFlight = append(s.inFlight, func() {
		if p == nil || !p.dead && !p.paused {
			deliver()
		}
	})
}

// deliver delivers up to 16 messages, in any order.
func (s *simulation) deliver() {
	for range 1 + s.intn(16) {
		if len(s.inFlight) == 0 {
			return
		}
		i := s.intn(len(s.inFlight))
		message := s.inFlight[i]
		fate := s.intn(10)
		if fate > 0 {
			message()
		} else {
			s.counts["lost"]++
		}
		if fate == 1 {
			s.counts["doubled"]++
			continue
		}
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
}

// row reads the row from the table. It returns false during an outage.
func (s *simulation) row() (limit.Allocation, table.Row, bool) {
	rows, err := s.store.Get(context.Background(), limit.Key(team))
	if err != nil {
		return limit.Allocation{}, table.Row{}, false
	}
	row := limit.Allocation{Team: team}
	if rows[0].Version != table.Absent {
		if err := json.Unmarshal(rows[0].Value, &row); err != nil {
			panic(err)
		}
	}
	return row, rows[0], true
}

func (s *simulation) readRow(p *process) {
	if row, _, ok := s.row(); ok && !p.paused && !p.cut {
		s.applyRow(p, row)
	}
}

func (s *simulation) applyRow(p *process, row limit.Allocation) {
	if carry, ok := row.Carried[p.self]; ok && s.mutations.adoptWhileCarried {
		row.Granted = maps.Clone(row.Granted)
		row.Granted[p.self] = max(0, carry.Bound)
		row.Carried = nil
	}
	if row.Generation > p.ledger.Status(team).Generation {
		p.unbacked = 0
	}
	p.ledger.Apply(row)
}

func (s *simulation) start(p *process) {
	if p.dead || p.paused {
		return
	}
	newWork := &work{owner: p, started: s.now}
	switch {
	case p.ledger.Acquire(team):
	case p.unbackedInUse < p.unbacked:
		p.unbackedInUse++
		newWork.unbacked = true
	default:
		s.counts["refused"]++
		return
	}
	s.counts["started"]++
	s.running = append(s.running, newWork)
}

// release returns the permit of work that its member knows to have ended.
func (s *simulation) release(done *work) {
	switch {
	case done.owner.dead:
	case done.unbacked:
		done.owner.unbackedInUse--
	default:
		done.owner.ledger.Release(team)
	}
}

// end ends work i. The member learns of the end of lingering work only
// sometimes.
func (s *simulation) end(i int) {
	done := s.running[i]
	s.running = slices.Delete(s.running, i, i+1)
	if done.lingering {
		if s.intn(2) == 0 && !done.owner.dead {
			done.owner.ledger.ReleaseLingering(team, done.started.Add(longestRun))
		}
		return
	}
	s.release(done)
}

// timeOut ends a request for its caller while its work continues.
func (s *simulation) timeOut(i int) {
	timedOut := s.running[i]
	if timedOut.lingering || timedOut.unbacked || timedOut.owner.dead || timedOut.owner.paused {
		return
	}
	s.counts["timeout"]++
	timedOut.lingering = true
	if s.mutations.releaseOnTimeout {
		s.release(timedOut)
		return
	}
	timedOut.owner.ledger.Linger(team, timedOut.started.Add(longestRun))
}

func (s *simulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for i := len(s.running) - 1; i >= 0; i-- {
		if !s.now.Before(s.running[i].started.Add(longestRun)) {
			s.end(i)
		}
	}
	for _, p := range s.procs {
		if !p.paused {
			p.ledger.Tick(s.now)
		}
	}
}

// gossip sends the requests, resent transfers and reports of one gossip round.
func (s *simulation) gossip(p *process) {
	if p.paused {
		return
	}
	peers := make(map[limit.Member]limit.Status)
	for _, peer := range s.procs {
		if peer != p {
			peers[peer.self] = peer.ledger.Status(team)
		}
	}
	for _, request := range p.ledger.TransferRequests(team, peers) {
		s.toMember(request.To, func(sender *process) { s.handleRequest(sender, request) })
	}
	for _, transfer := range p.ledger.Unconfirmed() {
		s.toMember(transfer.To, func(to *process) { s.receive(to, transfer) })
	}
	for _, report := range p.ledger.Reports() {
		if p.cut {
			break
		}
		m := s.managers[s.intn(len(s.managers))]
		s.send(nil, func() { m.planner.HandleReport(report) })
	}
}

func (s *simulation) toMember(to limit.Member, deliver func(p *process)) {
	for _, p := range s.procs {
		if p.self == to {
			s.send(p, func() { deliver(p) })
		}
	}
}

func (s *simulation) handleRequest(sender *process, request limit.TransferRequest) {
	transfer, ok := sender.ledger.HandleTransferRequest(request)
	if !ok {
		return
	}
	s.counts["transfers"]++
	if s.mutations.transferWithoutDebit {
		sender.unbacked += transfer.Total - sender.receivedTotals[limit.Transfer{Generation: transfer.Generation, To: transfer.To}]
		sender.receivedTotals[limit.Transfer{Generation: transfer.Generation, To: transfer.To}] = transfer.Total
	}
	s.toMember(transfer.To, func(to *process) { s.receive(to, transfer) })
}

func (s *simulation) receive(p *process, transfer limit.Transfer) {
	status := p.ledger.Status(team)
	key := limit.Transfer{Generation: transfer.Generation, From: transfer.From}
	if status.Generation == transfer.Generation {
		gain := max(0, transfer.Total-p.receivedTotals[key])
		if s.mutations.addTotals {
			gain = transfer.Total
			transfer.Total += p.receivedTotals[key]
		}
		p.receivedTotals[key] += gain
		if s.mutations.acceptAfterReport && status.Frozen {
			p.unbacked += gain
		}
	}
	if p.ledger.Receive(transfer) {
		s.toMember(transfer.From, func(from *process) { from.ledger.Confirm(transfer) })
	}
}

func (s *simulation) crash(i int) {
	s.counts["crash"]++
	crashed := s.procs[i]
	for _, r := range s.running {
		if r.owner == crashed {
			s.counts["crash with work"]++
			break
		}
	}
	crashed.dead = true
	s.died[crashed.self] = s.now
	s.ended = append(s.ended, crashed.self)
	s.procs[i] = s.spawn()
}

func (s *simulation) setLimit(n int) {
	if n < s.desiredLimit {
		s.counts["lowered"]++
	} else if n > s.desiredLimit {
		s.counts["raised"]++
	}
	s.desiredLimit = n
	row, version, ok := s.row()
	if ok && s.mutations.lowerAtOnce && n < row.Limit {
		row.Limit = n
		s.propose(s.managers[0], row, version.Version)
	}
}

func (s *simulation) setFaults(faults table.Faults) {
	if faults.Down && !s.faults.Down {
		s.counts["outage"]++
	}
	s.faults = faults
	s.store.SetFaults(faults)
}
