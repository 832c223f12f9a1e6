package task

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/place"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

const (
	// defaultMaxOpen bounds the open tasks of a team on a queue.
	defaultMaxOpen = 10_000
	shortestRetry  = time.Second
	longestRetry   = 10 * time.Minute
)

// Submit asks for a task to be taken. A Reply with the same request number ends
// it: Accepted once the task is in the table. Submitting it again is harmless.
func (c *Controller) Submit(now time.Time, request uint64, spec Spec) {
	if c.deposed {
		c.emit(Reply{Request: request, Outcome: Refused, Reason: ReasonManagerMoved, RetryAfter: c.cfg.RetryAfter})
		return
	}
	if it, ok := c.items[spec.Queue+"/"+spec.ID]; ok {
		c.submitAgain(request, it, spec)
		return
	}
	if reason, retryAfter := c.refusal(spec); reason != "" {
		c.emit(Reply{Request: request, Outcome: Refused, Reason: reason, RetryAfter: retryAfter})
		return
	}
	it := &item{rate: 1, wantRate: 1, waiters: []uint64{request}}
	record := Record{Spec: spec, Submitted: now, State: Submitted, Ran: RanNo}
	it.record = record
	it.digest = spec.digest()
	c.setOpen(it, true)
	c.items[record.Name()] = it
	c.propose(now, it, record)
}

// submitAgain answers a repeated submission.
func (c *Controller) submitAgain(request uint64, it *item, spec Spec) {
	switch {
	case it.digest != spec.digest():
		c.emit(Reply{Request: request, Outcome: Refused, Reason: ReasonOtherSpec, Task: it.record})
	case it.version == table.Absent:
		it.waiters = append(it.waiters, request)
	default:
		c.emit(Reply{Request: request, Outcome: Exists, Task: it.record})
	}
}

// refusal is the reason for which the task is not taken, if there is one.
func (c *Controller) refusal(spec Spec) (reason string, retryAfter time.Duration) {
	if len(spec.Body) > c.cfg.MaxInlineBytes {
		return ReasonBodyTooLarge, 0
	}
	fits, known := c.cfg.Placer.Fits(spec.Size)
	if !known {
		return ReasonNoWorkers, longestRetry
	}
	if !fits {
		return ReasonFitsNoWorker, 0
	}
	key := TeamQueue{Queue: spec.Queue, Team: spec.Team}
	open := c.open[key]
	if open >= c.limit(key).MaxOpen {
		return ReasonQueueFull, c.retryAfter(key, spec, open)
	}
	return "", 0
}

// retryAfter estimates when a place in a full queue will be free: each running
// task frees one when it ends.
func (c *Controller) retryAfter(key TeamQueue, spec Spec, open int) time.Duration {
	each := c.cfg.Placer.ExpectedRunTime(spec.Queue, spec.RunTime.Duration)
	excess := 1 + open - c.limit(key).MaxOpen
	wait := each * time.Duration(excess) / time.Duration(max(1, c.running[key]))
	return min(max(wait, shortestRetry), longestRetry)
}

// Cancel asks for a task to be cancelled. Accepted means that the wish is in the
// table; the Reply's task says whether it has ended already, and whether it ran.
func (c *Controller) Cancel(now time.Time, request uint64, queue, id string) {
	it, ok := c.items[queue+"/"+id]
	switch {
	case c.deposed:
		c.emit(Reply{Request: request, Outcome: Refused, Reason: ReasonManagerMoved, RetryAfter: c.cfg.RetryAfter})
	case !ok:
		c.emit(Reply{Request: request, Outcome: Refused, Reason: ReasonNoSuchTask})
	case it.record.State.Final() || it.record.Cancel:
		c.emit(Reply{Request: request, Outcome: Exists, Task: it.record})
	default:
		it.cancel = true
		it.waiters = append(it.waiters, request)
		c.act(now, it)
	}
}

// reply answers all requests that wait for the item.
func (c *Controller) reply(it *item, outcome Outcome, reason string, retryAfter time.Duration) {
	for _, request := range it.waiters {
		c.emit(Reply{Request: request, Outcome: outcome, Reason: reason, RetryAfter: retryAfter, Task: it.record})
	}
	it.waiters = nil
}

// class maps unknown classes to the last one.
func class(c place.Class) place.Class {
	return place.Classes()[c.Rank()]
}
