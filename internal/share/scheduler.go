package share

import (
	"slices"
	"time"
)

// Scheduler decides, for one service at one entry, which tickets start, wait
// or are refused. It is not safe for concurrent use: callers lock per service.
type Scheduler struct {
	cfg     Config
	byFlow  map[Flow]*flow
	flows   []*flow // in compareFlows order, as keys and weights
	keys    []Flow
	weights []float64
	nodes   nodes
	index   map[uint64]int32
	peers   []peer // in the order of their names
	rows    []row  // one for each peer and this entry, in the order of names
	self    int
	divider divider

	slots    int
	inFlight int
	queued   int
	debt     float64
	sent     float64 // the debt last published, which peers compute with
	divided  time.Time
	acts     Actions
}

// New returns a scheduler that divides alone until it hears of peers.
func New(cfg Config) *Scheduler {
	cfg.setDefaults()
	s := &Scheduler{cfg: cfg, byFlow: map[Flow]*flow{}, index: map[uint64]int32{}}
	s.layout()
	s.slots = cfg.Capacity
	return s
}

// Submit asks for a slot. IDs of tickets that wait or run must be distinct.
func (s *Scheduler) Submit(now time.Time, t Ticket) Outcome {
	if _, ok := s.index[t.ID]; ok {
		panic("share: ticket submitted twice")
	}
	f := s.flow(Flow{Team: t.Team, Class: t.Class})
	f.accrue(now, s.queued > 0)
	if s.inFlight >= s.slots && !s.waitsUpTo(t.Class) && now.Sub(s.divided) >= minRecompute {
		f.newcomer = 1
		s.divide(now)
		f.newcomer = 0
	}
	if s.inFlight < s.slots && !s.waitsUpTo(t.Class) {
		f.promised = time.Time{}
		s.start(now, f, s.admit(t, f))
		return Outcome{Decision: Start}
	}
	wait, known := f.wait(f.queue.size + 1)
	full := f.queue.size >= s.cfg.QueueLimit
	if full || (known && now.Add(wait).After(t.Deadline)) || !t.Deadline.After(now) {
		return Outcome{Decision: Refused, RetryAfter: f.promise(now, wait, s.cfg.MaxRetryAfter)}
	}
	f.queue.push(&s.nodes, s.admit(t, f))
	s.queued++
	return Outcome{Decision: Queued}
}

// Finish ends a running ticket and starts what its slot allows.
func (s *Scheduler) Finish(now time.Time, id uint64) Actions {
	s.reset()
	index, ok := s.index[id]
	if !ok || !s.nodes.slab[index].running {
		panic("share: finished ticket is not running")
	}
	n := s.nodes.slab[index]
	n.flow.accrue(now, s.queued > 0)
	n.flow.observe(now.Sub(n.started))
	n.flow.inFlight--
	s.inFlight--
	s.drop(id, index)
	if s.queued > 0 {
		s.divide(now)
	}
	s.fill(now)
	return s.acts
}

// Cancel ends a queued ticket, and reports whether it was still queued.
func (s *Scheduler) Cancel(now time.Time, id uint64) bool {
	index, ok := s.index[id]
	if !ok || s.nodes.slab[index].running {
		return false
	}
	f := s.nodes.slab[index].flow
	f.accrue(now, s.queued > 0)
	s.dequeue(f, index)
	s.drop(id, index)
	return true
}

// SetCapacity sets the slots of the service's healthy endpoints, fleet-wide.
func (s *Scheduler) SetCapacity(now time.Time, slots int) Actions {
	s.reset()
	if slots = max(0, slots); slots == s.cfg.Capacity {
		return s.acts
	}
	s.cfg.Capacity = slots
	s.divide(now)
	s.fill(now)
	return s.acts
}

// SetWeights sets the teams' shares.
func (s *Scheduler) SetWeights(now time.Time, weights map[string]float64) Actions {
	s.reset()
	s.cfg.Weights = weights
	s.layout()
	s.divide(now)
	s.fill(now)
	return s.acts
}

// Tick divides anew, refuses queued tickets that can't start before their
// deadline and starts what the slots allow.
func (s *Scheduler) Tick(now time.Time) Actions {
	s.reset()
	silent := func(p peer) bool { return now.Sub(p.heard) > s.cfg.PeerTimeout }
	if slices.ContainsFunc(s.peers, silent) {
		s.peers = slices.DeleteFunc(s.peers, silent)
		s.layout()
	}
	s.divide(now)
	s.fill(now)
	for _, f := range s.flows {
		s.refuseLate(now, f)
	}
	return s.acts
}

// Demand reports this entry's load for gossip. Until the next call this entry
// divides with the debt and lag of this message: all peers must get the same.
func (s *Scheduler) Demand() Demand {
	s.sent = s.debt
	d := Demand{Entry: s.cfg.Entry, Debt: s.debt}
	for _, f := range s.flows {
		f.sentLag = f.lag
		if f.inFlight+f.queue.size > 0 || f.lag != 0 {
			d.Flows = append(d.Flows, FlowDemand{
				Flow: f.Flow, InFlight: f.inFlight, Queued: f.queue.size, Lag: f.lag,
			})
		}
	}
	return d
}

// Busy reports whether anything runs or waits.
func (s *Scheduler) Busy() bool { return s.inFlight+s.queued > 0 }

func (s *Scheduler) reset() {
	s.acts.Start = s.acts.Start[:0]
	s.acts.Refuse = s.acts.Refuse[:0]
}

// waitsUpTo reports whether work of this class or an earlier one is queued.
func (s *Scheduler) waitsUpTo(class Class) bool {
	if s.queued == 0 {
		return false
	}
	for _, f := range s.flows {
		if f.Class <= class && f.queue.size > 0 {
			return true
		}
	}
	return false
}

func (s *Scheduler) admit(t Ticket, f *flow) int32 {
	index := s.nodes.take()
	s.nodes.slab[index] = node{id: t.ID, deadline: t.Deadline, flow: f}
	s.index[t.ID] = index
	return index
}

func (s *Scheduler) drop(id uint64, index int32) {
	delete(s.index, id)
	s.nodes.release(index)
}

func (s *Scheduler) dequeue(f *flow, index int32) {
	f.queue.remove(&s.nodes, index)
	s.queued--
}

func (s *Scheduler) start(now time.Time, f *flow, index int32) {
	s.nodes.slab[index].running = true
	s.nodes.slab[index].started = now
	f.inFlight++
	s.inFlight++
}

// fill starts queued tickets while this entry has free slots.
func (s *Scheduler) fill(now time.Time) {
	for s.inFlight < s.slots && s.queued > 0 {
		f := s.next(now)
		index := f.queue.head
		n := s.nodes.slab[index]
		f.accrue(now, true)
		s.dequeue(f, index)
		if !n.deadline.After(now) {
			s.refuse(now, f, index)
			continue
		}
		s.start(now, f, index)
		s.acts.Start = append(s.acts.Start, n.id)
	}
}

// next returns the flow of the first class that waits whose deficit is largest.
func (s *Scheduler) next(now time.Time) *flow {
	var best *flow
	for _, f := range s.flows {
		if f.queue.size == 0 {
			continue
		}
		if best != nil && f.Class > best.Class {
			break
		}
		f.accrue(now, true)
		if best == nil || f.deficit() > best.deficit() {
			best = f
		}
	}
	return best
}

// refuse ends a ticket that has left its queue.
func (s *Scheduler) refuse(now time.Time, f *flow, index int32) {
	id := s.nodes.slab[index].id
	wait, _ := f.wait(f.queue.size + 1)
	retryAfter := f.promise(now, wait, s.cfg.MaxRetryAfter)
	s.acts.Refuse = append(s.acts.Refuse, Refusal{ID: id, RetryAfter: retryAfter})
	s.drop(id, index)
}

func (s *Scheduler) refuseLate(now time.Time, f *flow) {
	position := 1
	for index := f.queue.head; index != none; {
		next, deadline := s.nodes.slab[index].next, s.nodes.slab[index].deadline
		wait, known := f.wait(position)
		if !deadline.After(now) || (known && now.Add(wait).After(deadline)) {
			s.dequeue(f, index)
			s.refuse(now, f, index)
		} else {
			position++
		}
		index = next
	}
}

// divide computes this entry's quotas and slots from all known demand.
func (s *Scheduler) divide(now time.Time) {
	elapsed := now.Sub(s.divided).Seconds()
	if s.divided.IsZero() {
		elapsed = 0
	}
	own := &s.rows[s.self]
	s.owe(own, elapsed)
	for i, f := range s.flows {
		f.accrue(now, s.queued > 0)
		f.settleLag(elapsed)
		own.lag[i] = f.sentLag
		own.demand[i] = float64(f.inFlight + f.queue.size + f.newcomer)
	}
	s.balance()
	own.debt = s.sent
	s.divider.divide(s.cfg.Capacity, s.weights, s.keys, s.rows)
	for i, f := range s.flows {
		fair := 0.0
		if s.divider.alloc[i] > 0 {
			fair = own.quota[i] * s.divider.fair[i] / s.divider.alloc[i]
		}
		f.setFair(fair, s.divider.limited(i))
		f.setQuota(own.quota[i], own.demand[i] > 0, elapsed)
	}
	s.slots = own.slots
	s.divided = now
}

// balance makes the deficits of the queued flows add up to nothing, so that
// what the entry as a whole has run too much or too little, which no choice
// between flows can mend, is borne in proportion to the quotas.
func (s *Scheduler) balance() {
	credit, quota := 0.0, 0.0
	for _, f := range s.flows {
		if f.queue.size > 0 {
			credit += f.credit
			quota += f.quota
		}
	}
	if quota == 0 {
		return
	}
	for _, f := range s.flows {
		if f.queue.size > 0 {
			f.credit -= credit * f.quota / quota
		}
	}
}

// owe adds what rounding withheld from this entry since the last division.
func (s *Scheduler) owe(own *row, elapsed float64) {
	if s.queued == 0 {
		s.debt = 0
		return
	}
	s.debt += (own.total - float64(own.slots)) * elapsed
	s.debt = min(max(s.debt, -debtLimit), debtLimit)
}

// flow returns the state of a flow, made at its first use.
func (s *Scheduler) flow(key Flow) *flow {
	if f, ok := s.byFlow[key]; ok {
		return f
	}
	f := newFlow(key, s.cfg.ExpectedDuration)
	s.byFlow[key] = f
	i, _ := slices.BinarySearchFunc(s.keys, key, compareFlows)
	s.keys = slices.Insert(s.keys, i, key)
	s.flows = slices.Insert(s.flows, i, f)
	s.layout()
	return f
}
