package task

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/place"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// act does whatever the task needs next. It may be called at any time.
func (c *Controller) act(now time.Time, it *item) {
	if c.deposed || it.inflight || it.remove {
		return
	}
	state := it.current().State
	switch {
	case state == Submitted:
		c.actSubmitted(now, it)
	case state.Final():
		c.actFinal(now, it)
	case it.next == nil:
		c.actPlaced(now, it)
	}
}

// actSubmitted cancels the task or queues it for a worker.
func (c *Controller) actSubmitted(now time.Time, it *item) {
	record := it.current()
	switch {
	case it.version == table.Absent:
		// The submission itself is not in the table yet.
	case it.cancel || record.Cancel:
		c.end(now, it, record, Cancelled, ReasonCancelled)
	case it.next != nil:
	default:
		c.enqueue(now, it)
	}
}

// actFinal removes the row once it has been kept long enough.
func (c *Controller) actFinal(now time.Time, it *item) {
	if it.next != nil {
		return
	}
	expires := it.record.Changed.Add(c.cfg.RetentionPeriod)
	if now.Before(expires) {
		c.wake(it, expires)
		return
	}
	it.remove = true
	c.markDirty(it)
}

// actPlaced calls the worker about an attempt that is in the table.
func (c *Controller) actPlaced(now time.Time, it *item) {
	record := it.record
	if it.cancel && !record.Cancel {
		record.Cancel = true
		c.propose(now, it, record)
		return
	}
	if !it.lostAt.IsZero() {
		c.awaitLost(now, it)
		return
	}
	order, wanted := it.wantedOrder()
	if !wanted {
		return
	}
	if order == OrderStart && c.mayRecall(it) {
		c.requeue(now, it, record)
		return
	}
	if now.Before(it.callAt) {
		c.wake(it, it.callAt)
		return
	}
	c.call(now, it, order)
}

// mayRecall reports whether the attempt, of which no start went out, is on a
// worker that has begun to leave.
func (c *Controller) mayRecall(it *item) bool {
	known, ok := c.links[it.record.Attempt.Worker]
	return ok && known.leaving && it.unstarted(c.cfg.Epoch)
}

// unstarted reports whether no manager can have sent a start of the attempt.
func (it *item) unstarted(epoch uint64) bool {
	return it.starts == 0 && it.record.State == Placed && it.record.Attempt.Epoch == epoch
}

// wantedOrder is the order that the worker should get next.
func (it *item) wantedOrder() (Order, bool) {
	switch {
	case it.record.Cancel || it.forgotten:
		return OrderStop, true
	case it.record.State == Placed:
		return OrderStart, true
	case it.checkpoint:
		return OrderCheckpoint, true
	case it.rate != it.wantRate:
		return OrderThrottle, true
	}
	return "", false
}

// call makes a call that is repeated until its effect is known.
func (c *Controller) call(now time.Time, it *item, order Order) {
	call := Call{
		Order:   order,
		Worker:  it.record.Attempt.Worker,
		StartID: it.record.StartID(),
		Epoch:   c.cfg.Epoch,
	}
	switch order {
	case OrderStart:
		call.Lease = c.cfg.Lease
		call.Record = it.record
		it.starts++
	case OrderThrottle:
		call.Rate = it.wantRate
	}
	c.link(call.Worker).pollBy(now.Add(shortestPoll))
	it.callAt = now.Add(c.cfg.RetryAfter)
	c.wake(it, it.callAt)
	c.emit(call)
}

// awaitLost waits until a lease that the lost worker may hold has lapsed.
func (c *Controller) awaitLost(now time.Time, it *item) {
	over := it.lostAt.Add(c.cfg.Lease + c.cfg.RetryAfter)
	if now.Before(over) {
		c.wake(it, over)
		return
	}
	c.lose(now, it)
}

// lose ends an attempt whose process is gone without having told its end.
func (c *Controller) lose(now time.Time, it *item) {
	record := it.current()
	switch {
	case record.State == Running:
		record.Ran = RanYes
	case it.unstarted(c.cfg.Epoch):
		c.requeue(now, it, record)
		return
	case record.Ran == RanNo:
		record.Ran = RanUnknown
	}
	switch {
	case record.Once:
		c.end(now, it, record, GivenUp, ReasonOutcomeUnknown)
	case record.Cancel || it.cancel:
		c.end(now, it, record, Cancelled, ReasonCancelled)
	default:
		c.retry(now, it, record, ReasonWorkerLost)
	}
}

// retry queues the task again after a failure, or gives it up.
func (c *Controller) retry(now time.Time, it *item, record Record, reason string) {
	failures := append([]Failure{}, record.Failures...)
	record.Failures = append(failures, Failure{Worker: record.Attempt.Worker, Reason: reason})
	workers := len(failedWorkers(record.Failures))
	if workers >= c.cfg.MaxFailedWorkers || len(record.Failures) >= c.cfg.MaxFailures {
		c.end(now, it, record, GivenUp, ReasonTooManyFailures+": "+reason)
		return
	}
	c.requeue(now, it, record)
}

// requeue makes the task wait for a worker again.
func (c *Controller) requeue(now time.Time, it *item, record Record) {
	record.State = Submitted
	record.Attempt = nil
	c.release(now, it, place.Ended)
	c.propose(now, it, record)
}

// end gives the task a final state.
func (c *Controller) end(now time.Time, it *item, record Record, state State, reason string) {
	record.State = state
	record.Reason = reason
	record.Attempt = nil
	c.release(now, it, place.Ended)
	c.propose(now, it, record)
}

// propose wants the record written. Nothing follows from it until it is known
// to be in the table.
func (c *Controller) propose(now time.Time, it *item, record Record) {
	c.writes++
	record.Stamp = Stamp{Epoch: c.cfg.Epoch, Write: c.writes}
	record.Changed = now
	it.next = &record
	it.waiting = false
	c.markDirty(it)
}

// adopt takes over a record that is known to be in the table.
func (c *Controller) adopt(now time.Time, it *item, record Record, version uint64) {
	before := it.record
	it.record = record
	it.version = version
	it.next = nil
	it.waiting = false
	if before.StartID() != record.StartID() {
		c.forgetAttempt(it, before)
	}
	switch {
	case record.Attempt == nil:
		c.release(now, it, place.Ended)
	case it.heldAt != record.Attempt.Worker:
		c.hold(now, it, record)
	}
	if record.Attempt != nil {
		c.attach(now, it)
	}
	if record.State == Running && it.runsAt.IsZero() {
		it.runsAt = now
	}
	it.digest = record.digest()
	c.setOpen(it, !record.State.Final())
	if record.State.Final() {
		c.cfg.Placer.Forget(record.Name())
		// The row has them; memory holds only what decisions rest on.
		it.record.Body = nil
		it.record.Result = nil
		it.record.Checkpoint = nil
	}
}

// setOpen counts the task among those of its lane that have not ended.
func (c *Controller) setOpen(it *item, open bool) {
	key := laneKey(it.record)
	switch {
	case open && !it.open:
		c.open[key]++
	case !open && it.open:
		c.open[key]--
		if c.open[key] == 0 {
			delete(c.open, key)
		}
	}
	it.open = open
}

// forgetAttempt clears what was known of the attempt before.
func (c *Controller) forgetAttempt(it *item, before Record) {
	if before.Attempt != nil {
		c.unlink(before.Attempt.Worker, it)
	}
	it.starts = 0
	it.runsAt = time.Time{}
	it.callAt = time.Time{}
	it.lostAt = time.Time{}
	it.checkpoint = false
	it.forgotten = false
	it.result = nil
	it.rate, it.wantRate = 1, 1
}

// hold counts the attempt on its worker and against its team's limit.
func (c *Controller) hold(now time.Time, it *item, record Record) {
	c.cfg.Placer.Place(now, demand(now, record), record.Attempt.Worker)
	c.setHeldAt(it, record.Attempt.Worker)
	if !it.counted {
		it.counted = true
		c.running[laneKey(record)]++
	}
}

// setHeldAt moves the item's count to another worker, or to none.
func (c *Controller) setHeldAt(it *item, worker string) {
	if it.heldAt != "" {
		c.heldAt[it.heldAt]--
		if c.heldAt[it.heldAt] == 0 {
			delete(c.heldAt, it.heldAt)
		}
	}
	it.heldAt = worker
	if worker != "" {
		c.heldAt[worker]++
	}
}

// release ends what hold began.
func (c *Controller) release(now time.Time, it *item, result place.Result) {
	if it.heldAt != "" {
		c.cfg.Placer.Release(now, it.record.Name(), result)
		c.setHeldAt(it, "")
		c.scheduleAt = time.Time{}
	}
	if it.counted {
		it.counted = false
		key := laneKey(it.record)
		c.running[key]--
		if c.running[key] == 0 {
			delete(c.running, key)
		}
	}
}

// demand describes the task to the placer.
func demand(now time.Time, record Record) place.Demand {
	return place.Demand{
		Task:           record.Name(),
		Queue:          record.Queue,
		Class:          record.Class,
		Declared:       record.Size,
		RunTime:        record.RunTime.Duration,
		Avoid:          failedWorkers(record.Failures),
		MemoryFailures: memoryFailures(record.Failures),
		Movable:        !record.Once,
		Waited:         now.Sub(record.Changed),
	}
}

// failedWorkers names the workers on which the task itself failed, once each.
func failedWorkers(failures []Failure) []string {
	var workers []string
	seen := make(map[string]bool)
	for _, failure := range failures {
		if failure.Reason != ReasonWorkerLost && !seen[failure.Worker] {
			seen[failure.Worker] = true
			workers = append(workers, failure.Worker)
		}
	}
	return workers
}

// memoryFailures counts the failures for want of memory.
func memoryFailures(failures []Failure) int {
	count := 0
	for _, failure := range failures {
		if failure.Reason == ReasonOutOfMemory {
			count++
		}
	}
	return count
}
