package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

const (
	// looksEvery is the time between two looks at an endpoint on which something runs.
	looksEvery = 1500 * time.Millisecond
	// idleLooksEvery is the same for an empty endpoint: its clock, on which leases
	// are, must not drift far from our estimate.
	idleLooksEvery = 20 * time.Second
	// idleDrift is the most that an empty endpoint's clock has drifted when it gets work.
	idleDrift = idleLooksEvery * 2 / 100
	// listedEnds is how many ends one report lists at most (the platform's page of calls).
	listedEnds = 500
	// unhealthyPause is how long an endpoint that refuses or fails work gets none.
	unhealthyPause = 700 * time.Millisecond
	// troubleLimit is how many runs of different jobs fail in a row before an endpoint counts as failing.
	troubleLimit = 3
	// troublePause is how long a failing endpoint gets no work; it doubles up to troubleMost.
	troublePause = 2 * time.Second
	troubleMost  = 16 * time.Second
)

// endpoint is what the leader knows of an endpoint.
type endpoint struct {
	row EndpointRow
	// listed is false once the endpoint has left the platform's list.
	listed bool
	// listedAt is when this life of the endpoint was first listed.
	listedAt time.Time
	// gone is true once the platform's list of hosts shows that nothing can
	// run in this life of the endpoint any more.
	gone bool
	// reached is true once this life of the endpoint has answered under our token.
	reached bool
	born    time.Time
	clock   time.Duration
	clockAt time.Time
	// leaseUntil is the latest lease that was ever sent, on the endpoint's clock.
	leaseUntil time.Duration
	runs       map[runKey]*run
	// seen is the number of the newest end that was read; ackable is the newest
	// that may be acknowledged, and acked the newest that was.
	seen, ackable, acked int64
	unwritten            []unwrittenEnd
	// pausedUntil is when the endpoint gets work again.
	pausedUntil time.Time
	trouble     trouble
	lookedAt    time.Time
	// blocked is true while the endpoint lists a run or an end of a job that is
	// not known yet.
	blocked bool
	// silent is true since a look got no answer: no lease is prolonged on a
	// guess, or it would never be over.
	silent bool
	// fullUntil keeps work away after the endpoint had less room than expected.
	fullUntil time.Time
	// leaving is set while the host is being emptied for a move or upkeep.
	leaving bool
	tail    tailState
}

// trouble counts runs that failed on an endpoint without a success in between.
type trouble struct {
	jobs  map[job.ID]bool
	pause time.Duration
}

// unwrittenEnd is an end whose row is part of a batch that is not written yet.
type unwrittenEnd struct {
	number int64
	batch  uint64
}

// newEndpoint returns an endpoint of which only its row is known.
func newEndpoint(row EndpointRow, now time.Time) *endpoint {
	return &endpoint{row: row, listed: true, listedAt: now, born: row.StartedAt, runs: map[runKey]*run{}}
}

// used is what the endpoint's runs take of its capacity.
func (e *endpoint) used() policy.Resources {
	var sum policy.Resources
	for _, r := range e.runs {
		sum = sum.Plus(r.reserved)
	}
	return sum
}

// isEmpty reports whether nothing is lost with the endpoint: no run, and no end
// that is not acknowledged. A later leader could read such an end nowhere else.
func (e *endpoint) isEmpty() bool {
	return len(e.runs) == 0 && len(e.unwritten) == 0 && e.ackable == e.acked
}

// room is what the endpoint has left.
func (e *endpoint) room() policy.Resources {
	return e.row.Capacity.Minus(e.used())
}

// rack returns the endpoint's rack, by its labels: the kind stands first.
func (e *endpoint) rack() string {
	for _, label := range e.row.Labels {
		if strings.HasPrefix(label, "r") && strings.Contains(label, "-") {
			return label
		}
	}
	return ""
}

// hasLabel reports whether the endpoint carries a label.
func (e *endpoint) hasLabel(label string) bool {
	return label == "" || slices.Contains(e.row.Labels, label)
}

// takesWork reports whether the endpoint may get new runs.
func (e *endpoint) takesWork(now time.Time) bool {
	return e.listed && e.reached && !e.gone && !e.silent && !e.row.Draining && !e.leaving &&
		!now.Before(e.pausedUntil) && !now.Before(e.fullUntil) && e.isFresh(now)
}

// isFresh reports whether the endpoint has answered lately. One on which nothing
// runs is not looked at all the time: the platform's list tells when it is gone.
func (e *endpoint) isFresh(now time.Time) bool {
	if len(e.runs) == 0 {
		return true
	}
	return now.Sub(e.lookedAt) < 2*looksEvery+time.Second
}

// clockNow estimates the endpoint's clock.
func (e *endpoint) clockNow(now time.Time) time.Duration {
	return e.clock + now.Sub(e.clockAt)
}

// nextLease returns the end of a lease of the given length that is sent now, on
// the endpoint's clock.
func (e *endpoint) nextLease(now time.Time, length time.Duration) time.Duration {
	if e.clockAt.IsZero() {
		return 0
	}
	e.leaseUntil = max(e.leaseUntil, e.clockNow(now)+length)
	return e.leaseUntil
}

// leaseOver reports whether nothing that we started can still run, even if the
// endpoint's clock is as slow as it may be.
func (e *endpoint) leaseOver(now time.Time) bool {
	least := e.clock + time.Duration(float64(now.Sub(e.clockAt))*(1-clockSlowness))
	return least > e.leaseUntil+leaseMargin
}

// EndpointListed notes an endpoint's row in the platform's list.
func (l *Leader) UpdateEndpoint(row EndpointRow, now time.Time) {
	known, ok := l.endpoints[row.ID]
	if !ok {
		l.endpoints[row.ID] = newEndpoint(row, now)
		l.note("endpoint listed", "endpoint", row.ID, "pool", row.Pool, "draining", row.Draining)
		return
	}
	if !row.StartedAt.Equal(known.born) && row.StartedAt.After(known.born) {
		l.newLife(known, row.StartedAt, "list", now)
	}
	if row.Draining != known.row.Draining {
		l.note("endpoint draining", "endpoint", row.ID, "pool", row.Pool, "draining", row.Draining, "runs", len(known.runs))
	}
	known.row = row
	if !known.listed {
		known.listed = true
		l.note("endpoint listed again", "endpoint", row.ID, "pool", row.Pool)
	}
}

// EndpointUnlisted notes that an endpoint has left the platform's list. Its runs count
// until their lease is over.
func (l *Leader) RemoveEndpoint(id EndpointID, now time.Time) {
	e, ok := l.endpoints[id]
	if !ok || !e.listed {
		return
	}
	e.listed = false
	l.note("endpoint unlisted", "endpoint", id, "pool", e.row.Pool, "runs", len(e.runs))
	l.forgetEndpoint(e, now)
}

// forgetEndpoint drops an endpoint that is gone and on which nothing can run any more.
func (l *Leader) forgetEndpoint(e *endpoint, now time.Time) {
	if e.listed || len(e.runs) > 0 {
		return
	}
	if !e.reached && !e.gone && now.Before(l.inheritedUntil()) {
		return
	}
	delete(l.endpoints, e.row.ID)
}

// newLife notes that an endpoint has started again: nothing of before runs there.
func (l *Leader) newLife(e *endpoint, born time.Time, source string, now time.Time) {
	l.note("endpoint has a new life", "endpoint", e.row.ID, "source", source, "lost-runs", len(e.runs))
	for _, r := range e.runs {
		l.runLost(r, "endpoint began a new life", now)
	}
	e.born = born
	e.reached, e.gone, e.listedAt = false, false, now
	e.clock, e.clockAt, e.leaseUntil = 0, time.Time{}, 0
	e.seen, e.ackable, e.acked, e.unwritten = 0, 0, 0, nil
	e.trouble = trouble{}
}

// EndpointIDs lists the endpoints that are known.
func (l *Leader) EndpointIDs() []EndpointID {
	ids := make([]EndpointID, 0, len(l.endpoints))
	for id := range l.endpoints {
		ids = append(ids, id)
	}
	return ids
}

// AddressOf returns where an endpoint is, or false if it is not known.
func (l *Leader) AddressOf(id EndpointID) (EndpointAddress, bool) {
	e, ok := l.endpoints[id]
	if !ok {
		return EndpointAddress{}, false
	}
	return EndpointAddress{ID: id, Address: e.row.Address}, true
}

const (
	// lookWait is how long an endpoint may wait for an end before it answers a look.
	lookWait = 600 * time.Millisecond
	// settleWait is the same while a start or a stop is not settled; a stop takes
	// some hundred milliseconds.
	settleWait = 100 * time.Millisecond
)
