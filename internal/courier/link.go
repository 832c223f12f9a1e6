package courier

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"github.com/lovagedyke/lovagedyke/internal/courier/courierpb"
	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/internal/record"
)

const (
	// sendDelay delays a message of orders after its first, for more to join.
	sendDelay = 8 * time.Millisecond
	// pollWait is how long a courier waits for a reply before it answers without one.
	pollWait = 600 * time.Millisecond
	// callMargin is how much longer than its wait a call to a courier may take.
	callMargin = 600 * time.Millisecond
	// maxCalls is the number of concurrent calls to one courier: one that collects
	// replies, and those that bring orders.
	maxCalls = 3
	// maxBatch is the number of orders in one message.
	maxBatch = 500
	// silenceLimit is how long a courier with orders may return no reply until it
	// counts as failed.
	silenceLimit = 1100 * time.Millisecond
	// failurePause is how long a failed courier is not used; it doubles with each
	// failure that follows, up to maxFailurePause.
	failurePause    = 2 * time.Second
	maxFailurePause = 16 * time.Second
	// failureMemory is how long after a failure the next one doubles its pause.
	failureMemory = time.Minute
)

// errNoReply is the result of an order whose reply did not come in time.
var errNoReply = errors.New("no reply from the courier")

// errNotTaken is the result of an order that did not reach the courier.
var errNotTaken = errors.New("the courier did not take the order")

// errWithdrawn is the result of an order that its sender gave up before it was sent.
var errWithdrawn = errors.New("the order was withdrawn before it was sent")

// link sends the orders of a leader to one courier.
type link struct {
	member record.Member
	peer   courierpb.Courier
	// session tells the link's orders from those of other links to the same courier,
	// whose numbers are the same.
	session uint64
	journal Journal
	wake    chan struct{}
	// evacuations tells which starts are not sent any more; it may be nil.
	evacuations Evacuations
	// interval returns the shortest time between two messages to the courier; nil means none.
	interval func() time.Duration

	mu      sync.Mutex
	next    uint64
	queue   []*pendingOrder
	waiting map[uint64]*pendingOrder
	calls   int
	// heardAt is when the courier last returned a reply, or the first order was
	// sent after a time without.
	heardAt time.Time
	// failed is true from a failure, at failedAt, until the courier is chosen again.
	failed   bool
	failedAt time.Time
	pause    time.Duration
}

// pendingOrder is an order whose reply is awaited.
type pendingOrder struct {
	token uint64
	order *courierpb.Order
	// spec is the text of a start, or "".
	spec string
	done chan result
	// expires is when the sender gives the order up.
	expires time.Time
	// sent is true once the order may have reached the courier.
	sent bool
}

// result is a reply, or why there is none.
type result struct {
	reply *courierpb.Reply
	err   error
}

func newLink(member record.Member, peer courierpb.Courier, journal Journal) *link {
	return &link{
		member: member, peer: peer, session: rand.Uint64(), journal: journal,
		wake: make(chan struct{}, 1), waiting: map[uint64]*pendingOrder{},
	}
}

// deliver sends an order and waits for its reply, for at most timeout. Errors:
// errNotTaken, errWithdrawn, errNoReply.
func (l *link) deliver(ctx context.Context, pending *pendingOrder, timeout time.Duration) (*courierpb.Reply, error) {
	l.mu.Lock()
	l.next++
	pending.order.Number = l.next
	pending.done = make(chan result, 1)
	pending.expires = time.Now().Add(timeout)
	l.queue = append(l.queue, pending)
	l.mu.Unlock()
	l.signal()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case r := <-pending.done:
		return r.reply, r.err
	case <-ctx.Done():
	case <-timer.C:
	}
	return nil, l.abandon(pending)
}

// abandon forgets an order: one that has not been sent never will be. If the courier
// has returned nothing for some time, it counts as failed.
func (l *link) abandon(pending *pendingOrder) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, pending.order.Number)
	if time.Since(l.heardAt) > silenceLimit {
		l.fail("silent")
	}
	if pending.sent {
		return errNoReply
	}
	l.queue = slices.DeleteFunc(l.queue, func(queued *pendingOrder) bool { return queued == pending })
	return errWithdrawn
}

// fail marks the courier as failed; l.mu must be held.
func (l *link) fail(why string) {
	if l.failed {
		return
	}
	now := time.Now()
	if now.Sub(l.failedAt) > failureMemory {
		l.pause = 0
	}
	l.pause = max(failurePause, min(maxFailurePause, 2*l.pause))
	l.failed, l.failedAt = true, now
	metrics.GetOrCreateCounter(`courier_failures_total`).Inc()
	l.journal.Info("courier not used for a time", "courier", l.member.Name, "why", why, "pause", l.pause.String(),
		"orders-waiting", len(l.waiting))
}

// isUsable reports whether the courier has not failed, or has said hello to the
// leader, at heardFrom, since.
func (l *link) isUsable(now, heardFrom time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.failed {
		return true
	}
	return now.Sub(l.failedAt) > l.pause && heardFrom.After(l.failedAt)
}

// reuse ends the time in which a failed courier was not used; it is called when the
// courier is chosen again.
func (l *link) reuse(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed && now.Sub(l.failedAt) > l.pause {
		l.failed = false
	}
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run sends the queued orders until ctx ends.
func (l *link) run(ctx context.Context) {
	group := loops.New(ctx)
	group.Go(func(ctx context.Context) {
		var sentAt time.Time
		for {
			select {
			case <-ctx.Done():
				return
			case <-l.wake:
			}
			if !loops.Sleep(ctx, l.delayAfter(time.Since(sentAt))) {
				return
			}
			if batch, ok := l.take(); ok {
				sentAt = time.Now()
				group.Go(func(ctx context.Context) { l.call(ctx, batch) })
			}
		}
	})
	group.Wait()
}

// delayAfter returns how long the next message waits for more orders, by the time since the last one.
func (l *link) delayAfter(elapsed time.Duration) time.Duration {
	if l.interval == nil {
		return sendDelay
	}
	return max(sendDelay, l.interval()-elapsed)
}

// take returns the orders of the next call. It returns false if no call is due:
// without orders, one is due while replies are awaited and no other call waits
// for them.
func (l *link) take() ([]*pendingOrder, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// After a pause of the process, orders may have expired before their senders run.
	now := time.Now()
	l.queue = slices.DeleteFunc(l.queue, func(queued *pendingOrder) bool {
		return !now.Before(queued.expires) || l.withdraw(queued)
	})
	if l.calls >= maxCalls || len(l.queue) == 0 && (l.calls > 0 || len(l.waiting) == 0) {
		return nil, false
	}
	batch := l.queue[:min(len(l.queue), maxBatch)]
	l.queue = l.queue[len(batch):]
	// The message has one token: orders of another term wait for the next.
	for i, pending := range batch {
		if pending.token != batch[0].token {
			l.queue = append(batch[i:len(batch):len(batch)], l.queue...)
			batch = batch[:i]
			break
		}
	}
	if len(l.waiting) == 0 {
		l.heardAt = time.Now()
	}
	for _, pending := range batch {
		pending.sent = true
		l.waiting[pending.order.Number] = pending
	}
	l.calls++
	return batch, true
}

// withdraw gives up a queued start whose data centre is evacuated, and reports whether it did;
// l.mu must be held.
func (l *link) withdraw(queued *pendingOrder) bool {
	start := queued.order.GetStart()
	if start == nil || !prohibits(l.evacuations, start.DataCentre) {
		return false
	}
	queued.done <- result{err: errWithdrawn}
	return true
}

// call sends a batch and hands out the replies that return.
func (l *link) call(ctx context.Context, batch []*pendingOrder) {
	callCtx, cancel := context.WithTimeout(ctx, pollWait+callMargin)
	defer cancel()
	metrics.GetOrCreateCounter(`courier_messages_total`).Inc()
	reply, err := l.peer.Deliver(callCtx, l.request(batch))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls--
	if err == nil {
		l.handOut(reply.Replies)
	} else if ctx.Err() == nil {
		l.callFailed(batch, err)
	}
	if len(l.queue) > 0 || len(l.waiting) > 0 {
		l.signal()
	}
}

// request returns the message for a batch.
func (l *link) request(batch []*pendingOrder) *courierpb.DeliverRequest {
	request := &courierpb.DeliverRequest{Session: l.session, WaitMs: pollWait.Milliseconds()}
	indexes := map[string]int64{}
	for _, pending := range batch {
		request.Token = pending.token
		if start := pending.order.GetStart(); start != nil {
			start.Spec = encodeSpec(request, indexes, pending.spec)
		}
		request.Orders = append(request.Orders, pending.order)
	}
	deflateSpecs(request)
	return request
}

// handOut passes replies to the callers that wait for them; l.mu must be held.
func (l *link) handOut(replies []*courierpb.Reply) {
	if len(replies) == 0 {
		return
	}
	l.heardAt = time.Now()
	for _, reply := range replies {
		if pending, ok := l.waiting[reply.Number]; ok {
			delete(l.waiting, reply.Number)
			pending.done <- result{reply: reply}
		}
	}
}

// callFailed handles a call that got no answer; l.mu must be held. If nothing was
// sent, its orders are returned at once, to go another way.
func (l *link) callFailed(batch []*pendingOrder, err error) {
	why := errNoReply
	if isNotTaken(err) {
		why = errNotTaken
	}
	if len(batch) > 0 || why == errNotTaken {
		l.fail(err.Error())
	}
	for _, pending := range batch {
		if _, ok := l.waiting[pending.order.Number]; ok {
			delete(l.waiting, pending.order.Number)
			pending.done <- result{err: why}
		}
	}
}

// isNotTaken reports whether a failed call cannot have reached the courier, or was
// refused as a whole.
func isNotTaken(err error) bool {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return true
	}
	var refusal twirp.Error
	return errors.As(err, &refusal) && refusal.Code() == twirp.Unavailable && refusal.Msg() == stoppingMessage
}

// unsent reports an order's outcome by the error of deliver.
func unsent(err error) fleet.Reply {
	if errors.Is(err, errNotTaken) || errors.Is(err, errWithdrawn) {
		return fleet.Reply{Outcome: fleet.OrderNotSent}
	}
	return fleet.Reply{Outcome: fleet.OrderUnknown}
}
