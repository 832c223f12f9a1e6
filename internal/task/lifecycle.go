package task

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/place"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// reconcile takes the next step in the task's lifecycle. It may be called at any
// time.
func (c *Controller) reconcile(now time.Time, it *item) {
	if c.superseded || it.inflight || it.remove {
		return
	}
	state := it.current().State
	switch {
	case state == Submitted:
		c.reconcileSubmitted(now, it)
	case state.Final():
		c.reconcileFinal(now, it)
	case it.pending == nil:
		c.reconcilePlaced(now, it)
	}
}

// reconcileSubmitted cancels the task or queues it for placement.
func (c *Controller) reconcileSubmitted(now time.Time, it *item) {
	record := it.current()
	switch {
	case it.version == table.Absent:
		// The submission has not been written yet.
	case it.cancel || record.Cancel:
		c.finish(now, it, record, Cancelled, ReasonCancelled)
	case it.pending != nil:
	default:
		c.enqueue(now, it)
	}
}

// reconcileFinal removes the row after the retention period.
func (c *Controller) reconcileFinal(now time.Time, it *item) {
	if it.pending != nil {
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

// reconcilePlaced sends the worker its next order about an attempt whose
// placement is in the table.
func (c *Controller) reconcilePlaced(now time.Time, it *item) {
	record := it.record
	if it.cancel && !record.Cancel {
		record.Cancel = true
		c.propose(now, it, record)
		return
	}
	if !it.lostAt.IsZero() {
		c.awaitLeaseExpiry(now, it)
		return
	}
	order, wanted := it.nextOrder()
	if !wanted {
		return
	}
	if order == OrderStart && c.mayRecall(it) {
		c.requeue(now, it, record)
		return
	}
	if order == OrderStart && c.holdsStart(it) {
		c.wake(it, now.Add(c.cfg.RetryAfter))
		return
	}
	if now.Before(it.nextCallAt) {
		c.wake(it, it.nextCallAt)
		return
	}
	c.call(now, it, order)
}

// mayRecall reports whether the attempt can be withdrawn from a leaving or an
// evacuated worker because no start request was sent for it.
func (c *Controller) mayRecall(it *item) bool {
	worker, ok := c.workers[it.record.Attempt.Worker]
	if !ok || !it.neverStarted(c.cfg.Epoch) {
		return false
	}
	return worker.leaving || c.cfg.Placer.IsEvacuated(worker.name)
}

// neverStarted reports whether no manager can have sent a start request for the
// attempt.
func (it *item) neverStarted(epoch uint64) bool {
	return it.starts == 0 && it.record.State == Placed && it.record.Attempt.Epoch == epoch
}

// nextOrder returns the order to send to the worker next, if any.
func (it *item) nextOrder() (Order, bool) {
	switch {
	case it.record.Cancel || it.unknownToWorker:
		return OrderStop, true
	case it.record.State == Placed:
		return OrderStart, true
	case it.checkpoint:
		return OrderCheckpoint, true
	case it.rate != it.targetRate:
		return OrderThrottle, true
	}
	return "", false
}

// call sends an order to the worker and schedules a retry, until its effect is
// known.
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
		call.Rate = it.targetRate
	}
	c.ensureWorker(call.Worker).pollBy(now.Add(minPollInterval))
	it.nextCallAt = now.Add(c.cfg.RetryAfter)
	c.wake(it, it.nextCallAt)
	c.emit(call)
}

// awaitLeaseExpiry waits until any lease that the lost worker may hold has
// lapsed.
func (c *Controller) awaitLeaseExpiry(now time.Time, it *item) {
	expires := it.lostAt.Add(c.cfg.Lease + c.cfg.RetryAfter)
	if now.Before(expires) {
		c.wake(it, expires)
		return
	}
	c.handleLost(now, it)
}

// handleLost ends an attempt whose worker process is gone without having reported
// a result.
func (c *Controller) handleLost(now time.Time, it *item) {
	record := it.current()
	switch {
	case record.State == Running:
		record.Ran = RanYes
	case it.neverStarted(c.cfg.Epoch):
		c.requeue(now, it, record)
		return
	case record.Ran == RanNo:
		record.Ran = RanUnknown
	}
	switch {
	case record.Once:
		c.finish(now, it, record, GivenUp, ReasonOutcomeUnknown)
	case record.Cancel || it.cancel:
		c.finish(now, it, record, Cancelled, ReasonCancelled)
	default:
		c.retry(now, it, record, ReasonWorkerLost)
	}
}

// retry records a failure and requeues the task, or gives it up after too many.
func (c *Controller) retry(now time.Time, it *item, record Record, reason string) {
	failures := append([]Failure{}, record.Failures...)
	record.Failures = append(failures, Failure{Worker: record.Attempt.Worker, Reason: reason})
	workers := len(failedWorkers(record.Failures))
	if workers >= c.cfg.MaxFailedWorkers || len(record.Failures) >= c.cfg.MaxFailures {
		c.finish(now, it, record, GivenUp, ReasonTooManyFailures+": "+reason)
		return
	}
	c.requeue(now, it, record)
}

// requeue returns the task to the state Submitted.
func (c *Controller) requeue(now time.Time, it *item, record Record) {
	record.State = Submitted
	record.Attempt = nil
	c.release(now, it, place.Ended)
	c.propose(now, it, record)
}

// finish moves the task to a final state.
func (c *Controller) finish(now time.Time, it *item, record Record, state State, reason string) {
	record.State = state
	record.Reason = reason
	record.Attempt = nil
	c.release(now, it, place.Ended)
	c.propose(now, it, record)
}

// propose queues the record as the item's pending write. The controller doesn't
// act on it until it is known to be in the table.
func (c *Controller) propose(now time.Time, it *item, record Record) {
	c.lastWrite++
	record.Stamp = Stamp{Epoch: c.cfg.Epoch, Write: c.lastWrite}
	record.Changed = now
	it.pending = &record
	it.waiting = false
	c.markDirty(it)
}

// applyRecord replaces the item's record by one that is known to be in the table.
func (c *Controller) applyRecord(now time.Time, it *item, record Record, version uint64) {
	previous := it.record
	it.record = record
	it.version = version
	it.pending = nil
	it.waiting = false
	if previous.StartID() != record.StartID() {
		c.resetAttempt(it, previous)
	}
	switch {
	case record.Attempt == nil:
		c.release(now, it, place.Ended)
	case it.reservedOn != record.Attempt.Worker:
		c.reserve(now, it, record)
	}
	if record.Attempt != nil {
		c.attach(now, it)
	}
	if record.State == Running && it.runningSince.IsZero() {
		it.runningSince = now
	}
	it.digest = record.digest()
	c.setOpen(it, !record.State.Final())
	if record.State.Final() {
		c.cfg.Placer.Forget(record.Name())
		// The row keeps these. No decision needs them, so free the memory.
		it.record.Body = nil
		it.record.Result = nil
		it.record.Checkpoint = nil
	}
}

// setOpen updates the count of the team queue's open tasks, those that have not
// ended.
func (c *Controller) setOpen(it *item, open bool) {
	key := teamQueueOf(it.record)
	switch {
	case open && !it.open:
		c.openTasks[key]++
	case !open && it.open:
		c.openTasks[key]--
		if c.openTasks[key] == 0 {
			delete(c.openTasks, key)
		}
	}
	it.open = open
}

// resetAttempt clears the state of the previous attempt.
func (c *Controller) resetAttempt(it *item, previous Record) {
	if previous.Attempt != nil {
		c.detach(previous.Attempt.Worker, it)
	}
	it.starts = 0
	it.runningSince = time.Time{}
	it.nextCallAt = time.Time{}
	it.lostAt = time.Time{}
	it.checkpoint = false
	it.unknownToWorker = false
	it.storingResult = nil
	it.rate, it.targetRate = 1, 1
}

// reserve counts the attempt on its worker and against its team queue's limit.
func (c *Controller) reserve(now time.Time, it *item, record Record) {
	c.cfg.Placer.Place(now, demand(now, record), record.Attempt.Worker)
	c.setReservedOn(it, record.Attempt.Worker)
	if !it.countedRunning {
		it.countedRunning = true
		c.running[teamQueueOf(record)]++
	}
}

// setReservedOn moves the item's reservation to another worker, or to none.
func (c *Controller) setReservedOn(it *item, worker string) {
	if it.reservedOn != "" {
		c.attemptsByWorker[it.reservedOn]--
		if c.attemptsByWorker[it.reservedOn] == 0 {
			delete(c.attemptsByWorker, it.reservedOn)
		}
	}
	it.reservedOn = worker
	if worker != "" {
		c.attemptsByWorker[worker]++
	}
}

// release undoes reserve.
func (c *Controller) release(now time.Time, it *item, result place.Result) {
	if it.reservedOn != "" {
		c.cfg.Placer.Release(now, it.record.Name(), result)
		c.setReservedOn(it, "")
		c.nextScheduleAt = time.Time{}
	}
	if it.countedRunning {
		it.countedRunning = false
		key := teamQueueOf(it.record)
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

// failedWorkers returns the distinct workers on which the task itself failed,
// without those that were lost.
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

// memoryFailures counts the out-of-memory failures.
func memoryFailures(failures []Failure) int {
	count := 0
	for _, failure := range failures {
		if failure.Reason == ReasonOutOfMemory {
			count++
		}
	}
	return count
}
