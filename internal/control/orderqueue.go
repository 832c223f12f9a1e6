package control

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
)

// order is an order to an endpoint: exactly one of start, stop and throttle is set.
type order struct {
	start    *fleet.Start
	stop     *fleet.Stop
	throttle *fleet.Throttle
	// decidedAt is when a start was decided.
	decidedAt time.Time
}

// change identifies the stop or the throttle of a run.
type change struct {
	task   job.Task
	run    int64
	isStop bool
}

// change returns what a stop or a throttle changes, or false for a start.
func (o order) change() (change, bool) {
	switch {
	case o.stop != nil:
		return change{task: o.stop.Task, run: o.stop.Run, isStop: true}, true
	case o.throttle != nil:
		return change{task: o.throttle.Task, run: o.throttle.Run}, true
	default:
		return change{}, false
	}
}

// orderQueue holds the orders that wait for one endpoint. It drops none: the leader decides no more starts
// than can be sent soon, and of each run at most one stop and one throttle wait. These go before starts,
// which are sent in the order in which they were decided. The zero value is empty.
type orderQueue struct {
	starts []order
	// changes holds the stops and throttles in the order in which they were first queued, newest the
	// order to send for each.
	changes []change
	newest  map[change]order
	// gangStarts counts the starts of members of gangs.
	gangStarts int
}

// push adds an order. A stop or throttle replaces an earlier one of the same run.
func (q *orderQueue) push(next order) {
	key, isChange := next.change()
	if !isChange {
		q.starts = append(q.starts, next)
		if next.start.IsGangMember {
			q.gangStarts++
		}
		return
	}
	if q.newest == nil {
		q.newest = map[change]order{}
	}
	if _, ok := q.newest[key]; !ok {
		q.changes = append(q.changes, key)
	}
	q.newest[key] = next
}

// pop removes and returns the next order, or returns false if there is none.
func (q *orderQueue) pop() (order, bool) {
	switch {
	case len(q.changes) > 0:
		key := q.changes[0]
		q.changes = q.changes[1:]
		next := q.newest[key]
		delete(q.newest, key)
		return next, true
	case len(q.starts) > 0:
		next := q.starts[0]
		q.starts[0] = order{}
		q.starts = q.starts[1:]
		if next.start.IsGangMember {
			q.gangStarts--
		}
		return next, true
	default:
		return order{}, false
	}
}
