package control

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/loops"
)

const (
	// sendersPerEndpoint is the number of concurrent orders to one endpoint, unless Config says
	// another.
	sendersPerEndpoint = 3
	// maxExtraSenders is the number of senders that are added for starts of gangs, for all endpoints
	// together.
	maxExtraSenders = 256
	// renewRetryDelay is the time between a failed lease renewal and the next.
	renewRetryDelay = 150 * time.Millisecond
	// maxRenewWait is the longest time between two checks whether a renewal is due.
	maxRenewWait = 500 * time.Millisecond
	// completionBatchDelay delays the next renewal after a report of completed
	// runs: an endpoint with many short tasks would else report each one alone.
	completionBatchDelay = 15 * time.Millisecond
)

// endpointSession sends orders and lease renewals to one endpoint during a term.
type endpointSession struct {
	term *term
	id   fleet.EndpointID
	// orders are those that wait, senders is the number of goroutines that send them, and extraSenders
	// how many of these were added for gangs; t.mu guards all three.
	orders                orderQueue
	senders, extraSenders int
	wake                  chan struct{}
	// ctx ends when the leader drops the endpoint.
	ctx    context.Context
	cancel context.CancelFunc
}

// syncSessions starts sessions for new endpoints and ends those of endpoints
// that the leader has dropped; t.mu must be held.
func (t *term) syncSessions() {
	changes := t.leader.EndpointChanges()
	if changes == t.endpointChanges {
		return
	}
	t.endpointChanges = changes
	known := map[fleet.EndpointID]bool{}
	for _, id := range t.leader.EndpointIDs() {
		known[id] = true
		if t.sessions[id] == nil {
			t.startSession(id)
		}
	}
	for id, session := range t.sessions {
		if !known[id] {
			session.cancel()
			delete(t.sessions, id)
		}
	}
}

// startSession starts the loops for one endpoint.
func (t *term) startSession(id fleet.EndpointID) {
	ctx, cancel := context.WithCancel(t.ctx)
	session := &endpointSession{term: t, id: id, ctx: ctx, wake: make(chan struct{}, 1), cancel: cancel}
	t.sessions[id] = session
	t.group.Go(func(groupCtx context.Context) { session.run(groupCtx, session.renewLoop) })
}

// run runs a loop until the leader drops the endpoint, the term ends, or another
// loop of the group panics.
func (s *endpointSession) run(groupCtx context.Context, loop func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(groupCtx)
	defer cancel()
	stop := context.AfterFunc(s.ctx, cancel)
	defer stop()
	loop(ctx)
}

// queueOrder queues an order; t.mu must be held. A start without a session is reported to the leader as
// not taken: the endpoint has left the fleet.
func (t *term) queueOrder(session *endpointSession, next order) {
	if session == nil {
		if next.start != nil {
			t.leader.HandleStartReply(*next.start, fleet.Reply{Outcome: fleet.OrderNotTaken}, time.Now())
		}
		return
	}
	session.orders.push(next)
	signal(session.wake)
	if session.senders < session.maxSenders() {
		t.addSender(session)
	}
}

// addSender starts a goroutine that sends the orders of a session; t.mu must be held.
func (t *term) addSender(session *endpointSession) {
	session.senders++
	if session.senders > t.config.ordersPerEndpoint() {
		session.extraSenders++
		t.extraSenders++
	}
	t.group.Go(func(groupCtx context.Context) { session.run(groupCtx, session.sendOrders) })
}

// maxSenders returns how many orders may be sent to the endpoint at the same time; t.mu must be held.
// Starts of gangs get more: the members that are there wait for the others.
func (s *endpointSession) maxSenders() int {
	usual := s.term.config.ordersPerEndpoint()
	left := max(0, maxExtraSenders-s.term.extraSenders) + s.extraSenders
	return max(usual, min(usual+s.orders.gangStarts, usual+left, fleet.GangStartsPerEndpoint))
}

// wakeSessions lets endpoints' sessions check what is due; t.mu must be held. Waking
// all of a thousand after each batch would take a part of the leader's processor.
func (t *term) wakeSessions(endpoints []fleet.EndpointID) {
	for _, id := range endpoints {
		if session := t.sessions[id]; session != nil {
			signal(session.wake)
		}
	}
}

// address returns the endpoint's address, if the leader knows it.
func (s *endpointSession) address() (fleet.EndpointAddress, bool) {
	s.term.mu.Lock()
	defer s.term.mu.Unlock()
	return s.term.leader.AddressOf(s.id)
}

// sendOrders sends the queued orders one after the other, until none is left.
func (s *endpointSession) sendOrders(ctx context.Context) {
	for {
		next, ok := s.nextOrder(ctx)
		if !ok {
			return
		}
		s.execute(ctx, next)
	}
}

// nextOrder returns the next queued order. Without one, with too many senders, or once ctx has ended, its
// sender ends.
func (s *endpointSession) nextOrder(ctx context.Context) (order, bool) {
	s.term.mu.Lock()
	defer s.term.mu.Unlock()
	isSurplus := s.extraSenders > 0 && s.senders > s.maxSenders()
	if ctx.Err() == nil && !isSurplus {
		if next, ok := s.orders.pop(); ok {
			return next, true
		}
	}
	if s.extraSenders > 0 {
		s.extraSenders--
		s.term.extraSenders--
	}
	s.senders--
	return order{}, false
}

// execute sends an order and reports its outcome to the leader.
func (s *endpointSession) execute(ctx context.Context, next order) {
	t := s.term
	reply := fleet.Reply{Outcome: fleet.OrderNotSent}
	kind := "pace"
	isLeader := true
	switch {
	case next.start != nil:
		kind = "start"
		reply, isLeader = s.sendStart(ctx, *next.start, next.decidedAt)
	case next.stop != nil:
		kind = "stop"
		if to, ok := s.address(); ok {
			reply = t.config.Endpoints.Stop(ctx, to, t.claim.Token, *next.stop)
		}
		t.locked(partOrders, func() {
			isLeader = t.leader.HandleStopReply(*next.stop, reply, time.Now())
		})
	default:
		if to, ok := s.address(); ok {
			reply = t.config.Endpoints.Throttle(ctx, to, t.claim.Token, *next.throttle)
		}
	}
	metrics.GetOrCreateCounter(`orders_total{kind="` + kind + `",outcome="` + string(reply.Outcome) + `"}`).Inc()
	if !isLeader {
		t.config.Lost(t.claim.Token, "an endpoint knows a newer leader")
	}
	if reply.Outcome != fleet.OrderAccepted {
		signal(s.wake)
		t.requestStep()
	}
}

// sendStart sends a start, unless the leader has withdrawn it since it was decided, and
// reports its outcome. It returns false if the endpoint knows a newer leader.
func (s *endpointSession) sendStart(ctx context.Context, start fleet.Start, decidedAt time.Time) (fleet.Reply, bool) {
	t := s.term
	var to fleet.EndpointAddress
	isCurrent := false
	t.locked(partOrders, func() {
		t.applyEvacuations(time.Now())
		if isCurrent = t.leader.ConfirmStart(start, time.Now()); isCurrent {
			to, isCurrent = t.leader.AddressOf(s.id)
			t.work.startSent(time.Since(decidedAt))
		}
	})
	if !isCurrent {
		return fleet.Reply{Outcome: fleet.OrderNotSent}, true
	}
	reply := t.config.Endpoints.Start(ctx, to, t.claim.Token, start)
	isLeader := true
	t.locked(partOrders, func() {
		isLeader = t.leader.HandleStartReply(start, reply, time.Now())
	})
	return reply, isLeader
}

// renewLoop renews the endpoint's lease whenever the leader says it is due.
func (s *endpointSession) renewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		var renewal fleet.LeaseRenewal
		isDue := false
		s.term.locked(partReports, func() {
			renewal, isDue = s.term.leader.NextRenewal(s.id, time.Now())
		})
		if !isDue {
			s.waitForWake(ctx, maxRenewWait)
			continue
		}
		if !s.renewLease(ctx, renewal) {
			loops.Sleep(ctx, renewRetryDelay)
		}
	}
}

// waitForWake waits for a wake-up, for at most d.
func (s *endpointSession) waitForWake(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-s.wake:
	case <-timer.C:
	}
}

// renewLease sends one lease renewal and passes the endpoint's report to the
// leader. It reports whether the endpoint accepted the renewal.
func (s *endpointSession) renewLease(ctx context.Context, renewal fleet.LeaseRenewal) bool {
	t := s.term
	to, ok := s.address()
	if !ok {
		return false
	}
	sentAt := time.Now()
	report, reply := t.config.Endpoints.RenewLease(ctx, to, t.claim.Token, renewal)
	if ctx.Err() != nil {
		return false
	}
	reply.SentAt = sentAt
	now := time.Now()
	metrics.GetOrCreateCounter(`orders_total{kind="look",outcome="` + string(reply.Outcome) + `"}`).Inc()
	t.locked(partReports, func() {
		if t.sessions[s.id] != s {
			// The leader has dropped the endpoint meanwhile. If it is listed again, only the
			// reports of its new session arrive in order.
			return
		}
		if current, _ := t.leader.AddressOf(s.id); reply.Outcome == fleet.OrderOtherIncarnation && current != to {
			// The endpoint has moved to another address meanwhile.
			reply.Outcome = fleet.OrderNotSent
		}
		if reply.Outcome == fleet.OrderAccepted {
			t.leader.HandleReport(s.id, renewal, sentAt, report, now)
		} else {
			t.leader.RenewalFailed(s.id, reply, now)
		}
	})
	t.requestStep()
	if reply.Outcome == fleet.OrderFenced {
		t.config.Lost(t.claim.Token, "an endpoint knows a newer leader")
	}
	if len(report.Completions) > 0 {
		loops.Sleep(ctx, completionBatchDelay)
	}
	return reply.Outcome == fleet.OrderAccepted
}
