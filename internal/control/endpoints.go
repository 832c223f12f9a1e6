package control

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
)

const (
	// orderSenders is how many orders are under way to one endpoint at a time.
	sendersPerEndpoint = 3
	// pendingOrders is how many orders wait for one endpoint.
	orderQueueSize = 256
	// lookPause is the time before an endpoint is asked again that did not answer.
	renewRetryDelay = 150 * time.Millisecond
	// idlePause is the longest time between two checks whether a look is due.
	maxRenewWait = 500 * time.Millisecond
	// endsPause gathers ends: an endpoint with many short tasks would answer each one alone.
	completionBatchDelay = 15 * time.Millisecond
)

// order is one order to an endpoint; one field is set.
type order struct {
	start    *fleet.Start
	stop     *fleet.Stop
	throttle *fleet.Pace
}

// endpointWorker speaks with one endpoint.
type endpointSession struct {
	term   *term
	id     fleet.EndpointID
	orders chan order
	wake   chan struct{}
	// ctx ends when the endpoint is forgotten.
	ctx    context.Context
	cancel context.CancelFunc
}

// syncWorkers starts workers for new endpoints and ends those of forgotten ones;
// r.mu is held.
func (t *term) syncSessions() {
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

// startWorker starts the loops for one endpoint.
func (t *term) startSession(id fleet.EndpointID) {
	ctx, cancel := context.WithCancel(t.ctx)
	session := &endpointSession{term: t, id: id, ctx: ctx, orders: make(chan order, orderQueueSize), wake: make(chan struct{}, 1), cancel: cancel}
	t.sessions[id] = session
	t.group.Go(func(groupCtx context.Context) { session.run(groupCtx, session.renewLoop) })
	for range sendersPerEndpoint {
		t.group.Go(func(groupCtx context.Context) { session.run(groupCtx, session.orderLoop) })
	}
}

// run runs a loop until the endpoint is forgotten, the leadership ends, or another
// loop of the group has found a broken invariant.
func (w *endpointSession) run(groupCtx context.Context, loop func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(groupCtx)
	defer cancel()
	stop := context.AfterFunc(w.ctx, cancel)
	defer stop()
	loop(ctx)
}

// send queues an order; r.mu is held. An order without a place in the queue
// was not sent.
func (t *term) queueOrder(session *endpointSession, next order) {
	if session != nil {
		select {
		case session.orders <- next:
			signal(session.wake)
			return
		default:
		}
	}
	if next.start != nil {
		t.leader.StartAnswered(*next.start, fleet.Reply{Outcome: fleet.OrderUnsent}, time.Now())
	}
}

// wakeEndpoints lets the workers look whether ends can be acknowledged.
func (t *term) wakeEndpoints() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, session := range t.sessions {
		signal(session.wake)
	}
}

// address returns where the endpoint is.
func (w *endpointSession) address() (fleet.EndpointAddress, bool) {
	w.term.mu.Lock()
	defer w.term.mu.Unlock()
	return w.term.leader.AddressOf(w.id)
}

// orderLoop sends orders one after the other.
func (w *endpointSession) orderLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-w.orders:
			w.execute(ctx, next)
		}
	}
}

// carryOut sends an order and reports its outcome.
func (w *endpointSession) execute(ctx context.Context, next order) {
	t := w.term
	to, ok := w.address()
	reply := fleet.Reply{Outcome: fleet.OrderUnsent}
	kind := "pace"
	isLeader := true
	switch {
	case next.start != nil:
		kind = "start"
		if ok {
			reply = t.config.Endpoints.Start(ctx, to, t.claim.Token, *next.start)
		}
		t.locked(func() {
			isLeader = t.leader.StartAnswered(*next.start, reply, time.Now())
		})
	case next.stop != nil:
		kind = "stop"
		if ok {
			reply = t.config.Endpoints.Stop(ctx, to, t.claim.Token, *next.stop)
		}
		t.locked(func() {
			isLeader = t.leader.StopAnswered(*next.stop, reply, time.Now())
		})
	default:
		if ok {
			reply = t.config.Endpoints.Throttle(ctx, to, t.claim.Token, *next.throttle)
		}
	}
	metrics.GetOrCreateCounter(`orders_total{kind="` + kind + `",outcome="` + string(reply.Outcome) + `"}`).Inc()
	if !isLeader {
		t.config.Lost(t.claim.Token, "an endpoint knows a later leader")
	}
	if reply.Outcome != fleet.OrderTaken {
		signal(w.wake)
		t.wake()
	}
}

// lookLoop looks at the endpoint whenever the leader wants it.
func (w *endpointSession) renewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		var renewal fleet.Hold
		isDue := false
		w.term.locked(func() {
			renewal, isDue = w.term.leader.NextLook(w.id, time.Now())
		})
		if !isDue {
			w.waitForWake(ctx, maxRenewWait)
			continue
		}
		if !w.renewLease(ctx, renewal) {
			sleep(ctx, renewRetryDelay)
		}
	}
}

// rest waits until something has changed, or for a while.
func (w *endpointSession) waitForWake(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-w.wake:
	case <-timer.C:
	}
}

// look makes one look. It reports whether the endpoint answered.
func (w *endpointSession) renewLease(ctx context.Context, renewal fleet.Hold) bool {
	t := w.term
	to, ok := w.address()
	if !ok {
		return false
	}
	sentAt := time.Now()
	report, reply := t.config.Endpoints.RenewLease(ctx, to, t.claim.Token, renewal)
	if ctx.Err() != nil {
		return false
	}
	now := time.Now()
	metrics.GetOrCreateCounter(`orders_total{kind="look",outcome="` + string(reply.Outcome) + `"}`).Inc()
	t.locked(func() {
		if reply.Outcome == fleet.OrderTaken {
			t.leader.Looked(w.id, renewal, sentAt, report, now)
		} else {
			t.leader.LookFailed(w.id, reply, now)
		}
	})
	t.wake()
	if reply.Outcome == fleet.OrderFenced {
		t.config.Lost(t.claim.Token, "an endpoint knows a later leader")
	}
	if len(report.Ended) > 0 {
		sleep(ctx, completionBatchDelay)
	}
	return reply.Outcome == fleet.OrderTaken
}
