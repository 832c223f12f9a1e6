package task

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/place"
)

// HandleCallResult handles the answer to a Call.
func (c *Controller) HandleCallResult(now time.Time, call Call, answer Answer) {
	if c.superseded {
		return
	}
	it := c.findAttempt(call.Worker, call.StartID)
	c.updateSilent(call.Worker, answer.Kind)
	if it == nil {
		return
	}
	answer.StartID = call.StartID
	if answer.Kind == AnswerOtherIncarnation && c.isOnlyStart(it, call) {
		// The only start request sent was rejected, so nothing ran.
		c.requeueOrCancel(now, it, it.current())
		c.reconcile(now, it)
		return
	}
	if call.Order == OrderThrottle && answer.Kind == AnswerRunning {
		it.rate = call.Rate
	}
	c.handleAnswer(now, it, answer)
}

// isOnlyStart reports whether the call is the only start request that any
// manager has sent for the attempt.
func (c *Controller) isOnlyStart(it *item, call Call) bool {
	return call.Order == OrderStart && it.starts == 1 && !it.inflight &&
		it.current().State == Placed && it.record.Attempt.Epoch == c.cfg.Epoch
}

// HandlePollResult handles the result of a Poll.
func (c *Controller) HandlePollResult(now time.Time, poll Poll, result PollResult) {
	worker, ok := c.workers[poll.Worker]
	if c.superseded || !ok {
		return
	}
	worker.pollInFlight = false
	c.updateSilent(poll.Worker, result.Kind)
	if result.Kind == AnswerStale {
		c.supersede()
		return
	}
	if result.Kind == AnswerNone {
		return
	}
	answers := make(map[string]Answer, len(result.Answers))
	for _, answer := range result.Answers {
		answers[answer.StartID] = answer
	}
	for _, id := range poll.StartIDs {
		it := c.findAttempt(poll.Worker, id)
		if it == nil {
			continue
		}
		answer, known := answers[id]
		if !known && !it.runningSince.Before(poll.IssuedAt) {
			continue // The start may have reached the worker after the poll.
		}
		if !known {
			answer = Answer{Kind: AnswerNoTask, StartID: id}
		}
		answer.Incarnation = result.Incarnation
		c.handleAnswer(now, it, answer)
	}
}

// findAttempt returns the item whose current attempt has that start ID and is on
// the worker, or nil.
func (c *Controller) findAttempt(worker, startID string) *item {
	state, ok := c.workers[worker]
	if !ok {
		return nil
	}
	for end := len(startID) - 1; end > 0; end-- {
		if startID[end] != '.' {
			continue
		}
		it, ok := state.items[startID[:end]]
		if ok && it.record.StartID() == startID {
			return it
		}
		return nil
	}
	return nil
}

// updateSilent records whether the worker answered.
func (c *Controller) updateSilent(worker string, kind AnswerKind) {
	c.setSilent(worker, kind == AnswerNone)
}

// handleAnswer applies a worker's answer about the item's current attempt.
func (c *Controller) handleAnswer(now time.Time, it *item, answer Answer) {
	record := it.current()
	if it.inflight || record.StartID() != answer.StartID {
		return // A write is in flight; the next poll reports the state again.
	}
	if answer.Incarnation != "" && answer.Incarnation != record.Attempt.Incarnation {
		answer.Kind = AnswerOtherIncarnation
	}
	switch answer.Kind {
	case AnswerStale:
		c.supersede()
	case AnswerRunning:
		c.handleRunning(now, it, record, answer)
	case AnswerDone:
		c.handleDone(now, it, record, answer)
	case AnswerFailed:
		c.handleFailed(now, it, record, answer)
	case AnswerCheckpointed:
		record.Ran = RanYes
		record.Checkpoint = answer.Checkpoint
		c.requeueOrCancel(now, it, record)
	case AnswerLapsed:
		record.Ran = RanYes
		c.handleLapsed(now, it, record)
	case AnswerStopped:
		c.handleStopped(now, it, record, answer)
	case AnswerRefused:
		c.retry(now, it, record, ReasonDoesNotFit)
	case AnswerOtherIncarnation:
		c.handleLost(now, it)
	case AnswerNoTask:
		// A placed attempt needs nothing: its start is retried anyway. One that
		// ran and is no longer known to the worker, or whose start is held back, is
		// stopped, so that a delayed start request cannot run it.
		it.unknownToWorker = record.State == Running || record.State == Placed && c.isStartLost(now, it)
	}
	c.reconcile(now, it)
}

// handleRunning records that the attempt is running, and its resource usage.
func (c *Controller) handleRunning(now time.Time, it *item, record Record, answer Answer) {
	c.cfg.Placer.ReportUsage(now, record.Name(), answer.Usage)
	if record.State == Running {
		return
	}
	it.runningSince = now
	record.State = Running
	record.Ran = RanYes
	c.propose(now, it, record)
}

// handleDone finishes the task. A result too large for the row goes to the
// object store first.
func (c *Controller) handleDone(now time.Time, it *item, record Record, answer Answer) {
	c.release(now, it, place.Succeeded)
	record.Ran = RanYes
	if len(answer.Result) <= c.cfg.MaxInlineBytes {
		record.Result = answer.Result
		c.finish(now, it, record, Done, "")
		return
	}
	if it.storingResult == nil {
		it.storingResult = &answer
		c.emit(Store{Name: resultName(answer.StartID), Data: answer.Result})
	}
}

// resultName returns the name of the object that holds a large result.
func resultName(startID string) string {
	return "result/" + startID
}

// HandleStoreResult handles the result of a Store; ok is false if it failed.
func (c *Controller) HandleStoreResult(now time.Time, store Store, ok bool) {
	if c.superseded {
		return
	}
	for _, name := range c.workerNames {
		for _, it := range c.workers[name].items {
			if it.storingResult == nil || resultName(it.storingResult.StartID) != store.Name {
				continue
			}
			// After a failure, the next poll returns the result again.
			it.storingResult = nil
			if !ok || it.inflight {
				return
			}
			record := it.current()
			record.Ran = RanYes
			record.ResultObject = store.Name
			c.finish(now, it, record, Done, "")
			return
		}
	}
}

// handleFailed retries the task on another worker, or finishes it if it was
// cancelled or must not be repeated.
func (c *Controller) handleFailed(now time.Time, it *item, record Record, answer Answer) {
	c.release(now, it, place.Failed)
	record.Ran = RanYes
	switch {
	case record.Cancel || it.cancel:
		c.finish(now, it, record, Cancelled, ReasonCancelled)
	case record.Once:
		c.finish(now, it, record, Failed, answer.Reason)
	default:
		c.retry(now, it, record, answer.Reason)
	}
}

// handleLapsed handles an attempt that its worker stopped because its lease was
// not renewed.
func (c *Controller) handleLapsed(now time.Time, it *item, record Record) {
	if record.Once && !record.Cancel {
		c.finish(now, it, record, Failed, ReasonLeaseLapsed)
		return
	}
	c.requeueOrCancel(now, it, record)
}

// handleStopped handles an attempt that was stopped, possibly before it started.
func (c *Controller) handleStopped(now time.Time, it *item, record Record, answer Answer) {
	if answer.Ran || record.State == Running {
		record.Ran = RanYes
	}
	if record.Ran == RanNo || !record.Once {
		c.requeueOrCancel(now, it, record)
		return
	}
	if record.Cancel || it.cancel {
		c.finish(now, it, record, Cancelled, ReasonCancelled)
		return
	}
	c.finish(now, it, record, GivenUp, ReasonOutcomeUnknown)
}

// requeueOrCancel finishes a cancelled task and requeues any other.
func (c *Controller) requeueOrCancel(now time.Time, it *item, record Record) {
	if record.Cancel || it.cancel {
		c.finish(now, it, record, Cancelled, ReasonCancelled)
		return
	}
	c.requeue(now, it, record)
}
