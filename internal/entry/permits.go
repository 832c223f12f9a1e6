package entry

import (
	"sync"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/limit"
)

const (
	// maxPermitWaiters bounds the requests of one team that wait for a permit.
	maxPermitWaiters = 256
	// defaultPermitWait is the assumed time between releases until some were
	// observed. It is also the Retry-After when the wait for a permit times
	// out, and the minimum Retry-After for repeats of an idempotent request.
	defaultPermitWait = 50 * time.Millisecond
	// releaseIntervalSmoothing is the number of releases over which their
	// interval is averaged.
	releaseIntervalSmoothing = 8
)

// permits queues requests that wait for a permit of their team.
type permits struct {
	ledger *limit.Ledger
	// requestMore is called with a team that has no idle permit, to request
	// some from peers.
	requestMore func(team string)

	// teams maps a team's name to its *permitQueue.
	teams sync.Map
}

// newPermits returns permits with a queue for each team of the ledger.
func newPermits(ledger *limit.Ledger, requestMore func(team string)) *permits {
	return &permits{ledger: ledger, requestMore: requestMore}
}

// acquire acquires a permit at once, or returns a channel that is closed when
// the request has got one. With neither, the request cannot get a permit before
// its deadline and should be retried after retryAfter.
func (p *permits) acquire(team string, now, deadline time.Time) (acquired bool, wait chan struct{}, retryAfter time.Duration) {
	if p.ledger.Acquire(team) {
		return true, nil, 0
	}
	p.requestMore(team)
	return p.queue(team).enqueue(p.ledger, team, now, deadline)
}

// cancel stops waiting. It returns false if the request already has the permit.
func (p *permits) cancel(team string, wait chan struct{}) bool {
	return p.queue(team).remove(wait)
}

// release returns a permit whose work has ended and passes it to the next
// waiter.
func (p *permits) release(team string, now time.Time) {
	p.ledger.Release(team)
	queue := p.queue(team)
	queue.recordRelease(now)
	queue.serveWaiters(p.ledger, team)
}

// serveWaiters gives the team's idle permits to its waiters.
func (p *permits) serveWaiters(team string) {
	p.queue(team).serveWaiters(p.ledger, team)
}

// serveAllWaiters gives the idle permits of every team to its waiters.
func (p *permits) serveAllWaiters() {
	p.teams.Range(func(name, _ any) bool {
		p.serveWaiters(name.(string))
		return true
	})
}

// queue returns the team's queue and creates it on first use.
func (p *permits) queue(name string) *permitQueue {
	if queue, ok := p.teams.Load(name); ok {
		return queue.(*permitQueue)
	}
	queue, _ := p.teams.LoadOrStore(name, &permitQueue{releaseInterval: defaultPermitWait})
	return queue.(*permitQueue)
}

// permitQueue holds the waiting requests of one team in FIFO order.
// releaseInterval is the moving average time between releases.
type permitQueue struct {
	mu              sync.Mutex
	waiters         []chan struct{}
	releaseInterval time.Duration
	lastRelease     time.Time
}

// enqueue adds a waiter unless its expected wait exceeds the deadline.
func (q *permitQueue) enqueue(ledger *limit.Ledger, team string, now, deadline time.Time) (bool, chan struct{}, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	// A permit may have been released since the caller tried to acquire one.
	if len(q.waiters) == 0 && ledger.Acquire(team) {
		return true, nil, 0
	}
	expected := time.Duration(len(q.waiters)+1) * q.releaseInterval
	if len(q.waiters) >= maxPermitWaiters || now.Add(expected).After(deadline) {
		return false, nil, expected
	}
	wait := make(chan struct{})
	q.waiters = append(q.waiters, wait)
	return false, wait, 0
}

// remove removes a waiter. It returns false if the waiter already has its
// permit.
func (q *permitQueue) remove(wait chan struct{}) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, waiter := range q.waiters {
		if waiter == wait {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// serveWaiters serves waiters while permits are idle.
func (q *permitQueue) serveWaiters(ledger *limit.Ledger, team string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.waiters) > 0 && hasIdlePermit(ledger, team) && ledger.Acquire(team) {
		close(q.waiters[0])
		q.waiters = q.waiters[1:]
	}
}

// recordRelease updates the mean time between releases.
func (q *permitQueue) recordRelease(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if interval := now.Sub(q.lastRelease); !q.lastRelease.IsZero() && interval < time.Second {
		q.releaseInterval += (interval - q.releaseInterval) / releaseIntervalSmoothing
	}
	q.lastRelease = now
}

// hasIdlePermit checks for a permit without a call to Acquire: a failed Acquire
// counts as a refused request, which makes the ledger request more permits from
// its peers.
func hasIdlePermit(ledger *limit.Ledger, team string) bool {
	status := ledger.Status(team)
	return !status.Draining && status.InUse < status.Holding
}
