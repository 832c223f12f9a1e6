package control

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
)

const (
	// orderSenders is how many orders are under way to one endpoint at a time.
	orderSenders = 3
	// pendingOrders is how many orders wait for one endpoint.
	pendingOrders = 256
	// lookPause is the time before an endpoint is asked again that did not answer.
	lookPause = 150 * time.Millisecond
	// idlePause is the longest time between two checks whether a look is due.
	idlePause = 500 * time.Millisecond
	// endsPause gathers ends: an endpoint with many short tasks would answer each one alone.
	endsPause = 15 * time.Millisecond
)

// order is one order to an endpoint; one field is set.
type order struct {
	start *fleet.Start
	stop  *fleet.Stop
	pace  *fleet.Throttle
}

// endpointWorker speaks with one endpoint.
type endpointWorker struct {
	reign  *reign
	id     fleet.EndpointID
	orders chan order
	wake   chan struct{}
	// ctx ends when the endpoint is forgotten.
	ctx    context.Context
	cancel context.CancelFunc
}

// syncWorkers starts workers for new endpoints and ends those of forgotten ones;
// r.mu is held.
func (r *reign) syncWorkers() {
	known := map[fleet.EndpointID]bool{}
	for _, id := range r.leader.EndpointIDs() {
		known[id] = true
		if r.endpoints[id] == nil {
			r.startWorker(id)
		}
	}
	for id, worker := range r.endpoints {
		if !known[id] {
			worker.cancel()
			delete(r.endpoints, id)
		}
	}
}

// startWorker starts the loops for one endpoint.
func (r *reign) startWorker(id fleet.EndpointID) {
	ctx, cancel := context.WithCancel(r.ctx)
	worker := &endpointWorker{reign: r, id: id, ctx: ctx, orders: make(chan order, pendingOrders), wake: make(chan struct{}, 1), cancel: cancel}
	r.endpoints[id] = worker
	r.group.Go(func(groupCtx context.Context) { worker.run(groupCtx, worker.lookLoop) })
	for range orderSenders {
		r.group.Go(func(groupCtx context.Context) { worker.run(groupCtx, worker.orderLoop) })
	}
}

// run runs a loop until the endpoint is forgotten, the leadership ends, or another
// loop of the group has found a broken invariant.
func (w *endpointWorker) run(groupCtx context.Context, loop func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(groupCtx)
	defer cancel()
	stop := context.AfterFunc(w.ctx, cancel)
	defer stop()
	loop(ctx)
}

// send queues an order; r.mu is held. An order without a place in the queue
// was not sent.
func (r *reign) send(worker *endpointWorker, next order) {
	if worker != nil {
		select {
		case worker.orders <- next:
			signal(worker.wake)
			return
		default:
		}
	}
	if next.start != nil {
		r.leader.HandleStartReply(*next.start, fleet.Reply{Outcome: fleet.OrderNotSent}, time.Now())
	}
}

// wakeEndpoints lets the workers look whether ends can be acknowledged.
func (r *reign) wakeEndpoints() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, worker := range r.endpoints {
		signal(worker.wake)
	}
}

// address returns where the endpoint is.
func (w *endpointWorker) address() (fleet.EndpointAddress, bool) {
	w.reign.mu.Lock()
	defer w.reign.mu.Unlock()
	return w.reign.leader.AddressOf(w.id)
}

// orderLoop sends orders one after the other.
func (w *endpointWorker) orderLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-w.orders:
			w.carryOut(ctx, next)
		}
	}
}

// carryOut sends an order and reports its outcome.
func (w *endpointWorker) carryOut(ctx context.Context, next order) {
	r := w.reign
	to, ok := w.address()
	reply := fleet.Reply{Outcome: fleet.OrderNotSent}
	kind := "pace"
	isOurs := true
	switch {
	case next.start != nil:
		kind = "start"
		if ok {
			reply = r.config.Endpoints.Start(ctx, to, r.claim.Token, *next.start)
		}
		r.locked(func() {
			isOurs = r.leader.HandleStartReply(*next.start, reply, time.Now())
		})
	case next.stop != nil:
		kind = "stop"
		if ok {
			reply = r.config.Endpoints.Stop(ctx, to, r.claim.Token, *next.stop)
		}
		r.locked(func() {
			isOurs = r.leader.HandleStopReply(*next.stop, reply, time.Now())
		})
	default:
		if ok {
			reply = r.config.Endpoints.Throttle(ctx, to, r.claim.Token, *next.pace)
		}
	}
	metrics.GetOrCreateCounter(`orders_total{kind="` + kind + `",outcome="` + string(reply.Outcome) + `"}`).Inc()
	if !isOurs {
		r.config.Lost(r.claim.Token, "an endpoint knows a later leader")
	}
	if reply.Outcome != fleet.OrderAccepted {
		signal(w.wake)
		r.kick()
	}
}

// lookLoop looks at the endpoint whenever the leader wants it.
func (w *endpointWorker) lookLoop(ctx context.Context) {
	for ctx.Err() == nil {
		var hold fleet.LeaseRenewal
		due := false
		w.reign.locked(func() {
			hold, due = w.reign.leader.NextRenewal(w.id, time.Now())
		})
		if !due {
			w.rest(ctx, idlePause)
			continue
		}
		if !w.look(ctx, hold) {
			sleep(ctx, lookPause)
		}
	}
}

// rest waits until something has changed, or for a while.
func (w *endpointWorker) rest(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-w.wake:
	case <-timer.C:
	}
}

// look makes one look. It reports whether the endpoint answered.
func (w *endpointWorker) look(ctx context.Context, hold fleet.LeaseRenewal) bool {
	r := w.reign
	to, ok := w.address()
	if !ok {
		return false
	}
	sentAt := time.Now()
	look, reply := r.config.Endpoints.RenewLease(ctx, to, r.claim.Token, hold)
	if ctx.Err() != nil {
		return false
	}
	now := time.Now()
	metrics.GetOrCreateCounter(`orders_total{kind="look",outcome="` + string(reply.Outcome) + `"}`).Inc()
	r.locked(func() {
		if reply.Outcome == fleet.OrderAccepted {
			r.leader.HandleReport(w.id, hold, sentAt, look, now)
		} else {
			r.leader.RenewalFailed(w.id, reply, now)
		}
	})
	r.kick()
	if reply.Outcome == fleet.OrderFenced {
		r.config.Lost(r.claim.Token, "an endpoint knows a later leader")
	}
	if len(look.Completions) > 0 {
		sleep(ctx, endsPause)
	}
	return reply.Outcome == fleet.OrderAccepted
}
