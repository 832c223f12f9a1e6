package task

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/place"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

const (
	// defaultMaxOpen is the default limit of open tasks per team queue.
	defaultMaxOpen = 10_000
	minRetryAfter  = time.Second
	maxRetryAfter  = 10 * time.Minute
	// evacuationRetryAfter is the delay before a task is submitted again that only
	// evacuated workers could run. An operator decides when the evacuation ends.
	evacuationRetryAfter = 10 * time.Second
)

// Submit submits a task. A Reply with the same request number answers it, with
// Accepted once the task is in the table. Submitting the same spec again is safe.
func (c *Controller) Submit(now time.Time, request uint64, spec Spec) {
	if c.superseded {
		c.emit(Reply{Request: request, Outcome: Refused, Reason: ReasonManagerMoved, RetryAfter: c.cfg.RetryAfter})
		return
	}
	if it, ok := c.items[spec.Queue+"/"+spec.ID]; ok {
		c.resubmit(request, it, spec)
		return
	}
	if reason, retryAfter := c.refusalReason(spec); reason != "" {
		c.emit(Reply{Request: request, Outcome: Refused, Reason: reason, RetryAfter: retryAfter})
		return
	}
	it := &item{rate: 1, targetRate: 1, waiters: []uint64{request}}
	record := Record{Spec: spec, Submitted: now, State: Submitted, Ran: RanNo}
	it.record = record
	it.digest = spec.digest()
	c.setOpen(it, true)
	c.items[record.Name()] = it
	c.propose(now, it, record)
}

// resubmit answers a repeated submission.
func (c *Controller) resubmit(request uint64, it *item, spec Spec) {
	switch {
	case it.digest != spec.digest():
		c.emit(Reply{Request: request, Outcome: Refused, Reason: ReasonOtherSpec, Task: it.record})
	case it.version == table.Absent:
		it.waiters = append(it.waiters, request)
	default:
		c.emit(Reply{Request: request, Outcome: Exists, Task: it.record})
	}
}

// refusalReason returns why the task must be refused, or "" if it can be accepted.
func (c *Controller) refusalReason(spec Spec) (reason string, retryAfter time.Duration) {
	if len(spec.Body) > c.cfg.MaxInlineBytes {
		return ReasonBodyTooLarge, 0
	}
	fits, known := c.cfg.Placer.Fits(spec.Size)
	if !known {
		return ReasonNoWorkers, maxRetryAfter
	}
	if !fits {
		return ReasonFitsNoWorker, 0
	}
	if c.cfg.Placer.FitsOnlyEvacuated(spec.Size) {
		return ReasonEvacuated, evacuationRetryAfter
	}
	key := TeamQueue{Queue: spec.Queue, Team: spec.Team}
	open := c.openTasks[key]
	if open >= c.limit(key).MaxOpen {
		return ReasonQueueFull, c.retryAfter(key, spec, open)
	}
	return "", 0
}

// retryAfter estimates when a full team queue will have space again: each running
// task makes space for one when it ends.
func (c *Controller) retryAfter(key TeamQueue, spec Spec, open int) time.Duration {
	runTime := c.cfg.Placer.ExpectedRunTime(spec.Queue, spec.RunTime.Duration)
	excess := 1 + open - c.limit(key).MaxOpen
	wait := runTime * time.Duration(excess) / time.Duration(max(1, c.running[key]))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Cancel cancels a task. Accepted means that the cancellation is in the table; the
// Reply's task tells whether it has already ended, and whether it ran.
func (c *Controller) Cancel(now time.Time, request uint64, queue, id string) {
	it, ok := c.items[queue+"/"+id]
	switch {
	case c.superseded:
		c.emit(Reply{Request: request, Outcome: Refused, Reason: ReasonManagerMoved, RetryAfter: c.cfg.RetryAfter})
	case !ok:
		c.emit(Reply{Request: request, Outcome: Refused, Reason: ReasonNoSuchTask})
	case it.record.State.Final() || it.record.Cancel:
		c.emit(Reply{Request: request, Outcome: Exists, Task: it.record})
	default:
		it.cancel = true
		it.waiters = append(it.waiters, request)
		c.reconcile(now, it)
	}
}

// reply answers all requests waiting for the item.
func (c *Controller) reply(it *item, outcome Outcome, reason string, retryAfter time.Duration) {
	for _, request := range it.waiters {
		c.emit(Reply{Request: request, Outcome: outcome, Reason: reason, RetryAfter: retryAfter, Task: it.record})
	}
	it.waiters = nil
}

// knownClass maps unknown classes to the last one.
func knownClass(c place.Class) place.Class {
	return place.Classes()[c.Rank()]
}
