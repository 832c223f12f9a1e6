package share

import (
	"slices"
	"time"
)

// Scheduler decides for one service at one entry which tickets are started,
// queued or refused. It is not safe for concurrent use: callers hold a lock per
// service.
type Scheduler struct {
	cfg     Config
	byFlow  map[Flow]*flow
	flows   []*flow // in compareFlows order, like keys and weights
	keys    []Flow
	weights []float64
	nodes   nodes
	index   map[uint64]int32
	peers   []peer        // sorted by name
	rows    []entryDemand // one for each peer and this entry, sorted by name
	self    int
	divider divider

	slots         int
	inFlight      int
	queued        int
	debt          float64
	publishedDebt float64 // the debt in the last Demand, which peers use
	dividedAt     time.Time
	actions       Actions
}

// New returns a scheduler without peers.
func New(cfg Config) *Scheduler {
	cfg.setDefaults()
	s := &Scheduler{cfg: cfg, byFlow: map[Flow]*flow{}, index: map[uint64]int32{}}
	s.rebuildRows()
	s.slots = cfg.Capacity
	return s
}

// Submit requests a slot. The IDs of queued and running tickets must be distinct.
func (s *Scheduler) Submit(now time.Time, t Ticket) Outcome {
	if _, ok := s.index[t.ID]; ok {
		panic("share: ticket submitted twice")
	}
	f := s.flow(Flow{Team: t.Team, Class: t.Class})
	f.accrue(now, s.queued > 0)
	if s.inFlight >= s.slots && !s.hasQueuedUpTo(t.Class) && now.Sub(s.dividedAt) >= minDivideInterval {
		f.submitting = 1
		s.divide(now)
		f.submitting = 0
	}
	if s.inFlight < s.slots && !s.hasQueuedUpTo(t.Class) {
		f.nextRetry = time.Time{}
		s.start(now, f, s.addNode(t, f))
		return Outcome{Decision: Start}
	}
	wait, known := f.wait(f.queue.size + 1)
	full := f.queue.size >= s.cfg.QueueLimit
	if full || (known && now.Add(wait).After(t.Deadline)) || !t.Deadline.After(now) {
		return Outcome{Decision: Refused, RetryAfter: f.scheduleRetry(now, wait, s.cfg.MaxRetryAfter)}
	}
	f.queue.push(&s.nodes, s.addNode(t, f))
	s.queued++
	return Outcome{Decision: Queued}
}

// Finish ends a running ticket and starts queued tickets in the freed slots.
func (s *Scheduler) Finish(now time.Time, id uint64) Actions {
	s.reset()
	index, ok := s.index[id]
	if !ok || !s.nodes.slab[index].running {
		panic("share: finished ticket is not running")
	}
	n := s.nodes.slab[index]
	n.flow.accrue(now, s.queued > 0)
	n.flow.observeRunTime(now.Sub(n.started))
	n.flow.inFlight--
	s.inFlight--
	s.removeNode(id, index)
	if s.queued > 0 {
		s.divide(now)
	}
	s.startQueued(now)
	return s.actions
}

// Cancel removes a queued ticket and reports whether it was still queued.
func (s *Scheduler) Cancel(now time.Time, id uint64) bool {
	index, ok := s.index[id]
	if !ok || s.nodes.slab[index].running {
		return false
	}
	f := s.nodes.slab[index].flow
	f.accrue(now, s.queued > 0)
	s.dequeue(f, index)
	s.removeNode(id, index)
	return true
}

// SetCapacity sets the number of slots at the service's healthy endpoints,
// fleet-wide.
func (s *Scheduler) SetCapacity(now time.Time, slots int) Actions {
	s.reset()
	if slots = max(0, slots); slots == s.cfg.Capacity {
		return s.actions
	}
	s.cfg.Capacity = slots
	s.divide(now)
	s.startQueued(now)
	return s.actions
}

// SetWeights sets the weights of the teams.
func (s *Scheduler) SetWeights(now time.Time, weights map[string]float64) Actions {
	s.reset()
	s.cfg.Weights = weights
	s.rebuildRows()
	s.divide(now)
	s.startQueued(now)
	return s.actions
}

// Tick drops silent peers, divides again, starts queued tickets in free slots and
// refuses queued tickets that cannot start before their deadline.
func (s *Scheduler) Tick(now time.Time) Actions {
	s.reset()
	silent := func(p peer) bool { return now.Sub(p.heardAt) > s.cfg.PeerTimeout }
	if slices.ContainsFunc(s.peers, silent) {
		s.peers = slices.DeleteFunc(s.peers, silent)
		s.rebuildRows()
	}
	s.divide(now)
	s.startQueued(now)
	for _, f := range s.flows {
		s.refuseLate(now, f)
	}
	return s.actions
}

// Demand returns this entry's load for gossip. Until the next call this entry
// divides with the debt and lag of this message, so all peers must receive the
// same message.
func (s *Scheduler) Demand() Demand {
	s.publishedDebt = s.debt
	d := Demand{Entry: s.cfg.Entry, Debt: s.debt}
	for _, f := range s.flows {
		f.publishedLag = f.lag
		if f.inFlight+f.queue.size > 0 || f.lag != 0 {
			d.Flows = append(d.Flows, FlowDemand{
				Flow: f.Flow, InFlight: f.inFlight, Queued: f.queue.size, Lag: f.lag,
			})
		}
	}
	return d
}

// Busy reports whether any ticket is running or queued.
func (s *Scheduler) Busy() bool { return s.inFlight+s.queued > 0 }

func (s *Scheduler) reset() {
	s.actions.Start = s.actions.Start[:0]
	s.actions.Refuse = s.actions.Refuse[:0]
}

// hasQueuedUpTo reports whether a ticket of this class or an earlier one is
// queued.
func (s *Scheduler) hasQueuedUpTo(class Class) bool {
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

func (s *Scheduler) addNode(t Ticket, f *flow) int32 {
	index := s.nodes.allocate()
	s.nodes.slab[index] = node{id: t.ID, deadline: t.Deadline, flow: f}
	s.index[t.ID] = index
	return index
}

func (s *Scheduler) removeNode(id uint64, index int32) {
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

// startQueued starts queued tickets while this entry has free slots, and refuses
// those past their deadline.
func (s *Scheduler) startQueued(now time.Time) {
	for s.inFlight < s.slots && s.queued > 0 {
		f := s.nextFlow(now)
		index := f.queue.head
		n := s.nodes.slab[index]
		f.accrue(now, true)
		s.dequeue(f, index)
		if !n.deadline.After(now) {
			s.refuse(now, f, index)
			continue
		}
		s.start(now, f, index)
		s.actions.Start = append(s.actions.Start, n.id)
	}
}

// nextFlow returns the flow with the largest deficit in the first class that has
// queued tickets.
func (s *Scheduler) nextFlow(now time.Time) *flow {
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

// refuse refuses a ticket that has been removed from its queue.
func (s *Scheduler) refuse(now time.Time, f *flow, index int32) {
	id := s.nodes.slab[index].id
	wait, _ := f.wait(f.queue.size + 1)
	retryAfter := f.scheduleRetry(now, wait, s.cfg.MaxRetryAfter)
	s.actions.Refuse = append(s.actions.Refuse, Refusal{ID: id, RetryAfter: retryAfter})
	s.removeNode(id, index)
}

func (s *Scheduler) refuseLate(now time.Time, f *flow) {
	position := 1
	for index := f.queue.head; index != noNode; {
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

// divide computes this entry's quotas and slots from the demand of all entries.
func (s *Scheduler) divide(now time.Time) {
	elapsed := now.Sub(s.dividedAt).Seconds()
	if s.dividedAt.IsZero() {
		elapsed = 0
	}
	own := &s.rows[s.self]
	s.updateDebt(own, elapsed)
	for i, f := range s.flows {
		f.accrue(now, s.queued > 0)
		f.updateLag(elapsed)
		own.lag[i] = f.publishedLag
		own.demand[i] = float64(f.inFlight + f.queue.size + f.submitting)
	}
	s.balanceCredit()
	own.debt = s.publishedDebt
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
	s.dividedAt = now
}

// balanceCredit shifts the credits of the queued flows so that they add up to
// zero. What the entry as a whole has run too much or too little cannot be
// corrected by the choice between its flows, so it is spread over them in
// proportion to their quotas.
func (s *Scheduler) balanceCredit() {
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

// updateDebt adds the slot-seconds that rounding withheld from this entry since
// the last division.
func (s *Scheduler) updateDebt(own *entryDemand, elapsed float64) {
	if s.queued == 0 {
		s.debt = 0
		return
	}
	s.debt += (own.total - float64(own.slots)) * elapsed
	s.debt = min(max(s.debt, -maxDebt), maxDebt)
}

// flow returns the state of a flow, creating it at its first use.
func (s *Scheduler) flow(key Flow) *flow {
	if f, ok := s.byFlow[key]; ok {
		return f
	}
	f := newFlow(key, s.cfg.ExpectedDuration)
	s.byFlow[key] = f
	i, _ := slices.BinarySearchFunc(s.keys, key, compareFlows)
	s.keys = slices.Insert(s.keys, i, key)
	s.flows = slices.Insert(s.flows, i, f)
	s.rebuildRows()
	return f
}
