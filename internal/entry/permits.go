package entry

import (
	"sync"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/limit"
)

const (
	// maxPermitWaiters bounds the requests of one team that wait for a permit.
	maxPermitWaiters = 256
	// firstPermitWait stands for the time between releases until some are seen.
	firstPermitWait = 50 * time.Millisecond
	// gapSmoothing is the number of releases over which their gap is averaged.
	gapSmoothing = 8
)

// permits lets requests wait for a permit of their team.
type permits struct {
	ledger *limit.Ledger
	// short is told of a team without an idle permit, to ask peers for some.
	short func(team string)

	// teams maps a team's name to its *permitQueue.
	teams sync.Map
}

// newPermits returns a queue for each team over the ledger.
func newPermits(ledger *limit.Ledger, short func(team string)) *permits {
	return &permits{ledger: ledger, short: short}
}

// acquire takes a permit at once, or returns a channel that is closed when one
// was taken for the request. With neither, the request cannot get one before
// its deadline and should come back after the time returned.
func (p *permits) acquire(team string, now, deadline time.Time) (taken bool, wait chan struct{}, retryAfter time.Duration) {
	if p.ledger.Acquire(team) {
		return true, nil, 0
	}
	p.short(team)
	return p.team(team).join(p.ledger, team, now, deadline)
}

// cancel gives up waiting; false means that the permit was taken already.
func (p *permits) cancel(team string, wait chan struct{}) bool {
	return p.team(team).leave(wait)
}

// release returns a permit whose work has ended.
func (p *permits) release(team string, now time.Time) {
	p.ledger.Release(team)
	queue := p.team(team)
	queue.observe(now)
	queue.pump(p.ledger, team)
}

// pump hands idle permits to those who wait, after permits came in.
func (p *permits) pump(team string) {
	p.team(team).pump(p.ledger, team)
}

// pumpAll does so for every team.
func (p *permits) pumpAll() {
	p.teams.Range(func(name, _ any) bool {
		p.pump(name.(string))
		return true
	})
}

// team returns the team's queue.
func (p *permits) team(name string) *permitQueue {
	if queue, ok := p.teams.Load(name); ok {
		return queue.(*permitQueue)
	}
	queue, _ := p.teams.LoadOrStore(name, &permitQueue{gap: firstPermitWait})
	return queue.(*permitQueue)
}

// permitQueue holds the requests of one team that wait, first come first.
type permitQueue struct {
	mu       sync.Mutex
	waiters  []chan struct{}
	gap      time.Duration
	released time.Time
}

// join appends a waiter unless its turn would come too late.
func (q *permitQueue) join(ledger *limit.Ledger, team string, now, deadline time.Time) (bool, chan struct{}, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	// A permit may have come back between the caller's attempt and the lock.
	if len(q.waiters) == 0 && ledger.Acquire(team) {
		return true, nil, 0
	}
	expected := time.Duration(len(q.waiters)+1) * q.gap
	if len(q.waiters) >= maxPermitWaiters || now.Add(expected).After(deadline) {
		return false, nil, expected
	}
	wait := make(chan struct{})
	q.waiters = append(q.waiters, wait)
	return false, wait, 0
}

// leave removes a waiter; false means that it was served.
func (q *permitQueue) leave(wait chan struct{}) bool {
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

// pump serves waiters while permits are idle.
func (q *permitQueue) pump(ledger *limit.Ledger, team string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.waiters) > 0 && available(ledger, team) && ledger.Acquire(team) {
		close(q.waiters[0])
		q.waiters = q.waiters[1:]
	}
}

// observe updates the mean time between releases.
func (q *permitQueue) observe(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if gap := now.Sub(q.released); !q.released.IsZero() && gap < time.Second {
		q.gap += (gap - q.gap) / gapSmoothing
	}
	q.released = now
}

// available looks for a permit without counting as a refused request, which
// would make the ledger ask its peers for more.
func available(ledger *limit.Ledger, team string) bool {
	status := ledger.Status(team)
	return !status.Draining && status.InUse < status.Holding
}
