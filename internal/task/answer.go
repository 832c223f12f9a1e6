package task

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/place"
)

// Called reports how a Call ended.
func (c *Controller) HandleCallResult(now time.Time, call Call, answer Answer) {
	if c.deposed {
		return
	}
	it := c.find(call.Worker, call.StartID)
	c.heard(call.Worker, answer.Kind)
	if it == nil {
		return
	}
	answer.StartID = call.StartID
	if answer.Kind == AnswerOtherIncarnation && c.onlyStart(it, call) {
		// The one start that went out was turned away: nothing ran.
		c.requeueOrCancel(now, it, it.current())
		c.act(now, it)
		return
	}
	if call.Order == OrderThrottle && answer.Kind == AnswerRunning {
		it.rate = call.Rate
	}
	c.takeAnswer(now, it, answer)
}

// onlyStart reports whether the call is the first that any manager made about
// the attempt.
func (c *Controller) onlyStart(it *item, call Call) bool {
	return call.Order == OrderStart && it.starts == 1 && !it.inflight &&
		it.current().State == Placed && it.record.Attempt.Epoch == c.cfg.Epoch
}

// Polled reports how a Poll ended.
func (c *Controller) HandlePollResult(now time.Time, poll Poll, result PollResult) {
	known, ok := c.links[poll.Worker]
	if c.deposed || !ok {
		return
	}
	known.outstanding = false
	c.heard(poll.Worker, result.Kind)
	if result.Kind == AnswerStale {
		c.depose()
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
		it := c.find(poll.Worker, id)
		if it == nil {
			continue
		}
		answer, known := answers[id]
		if !known && !it.runsAt.Before(poll.IssuedAt) {
			continue // The start may have arrived after the poll.
		}
		if !known {
			answer = Answer{Kind: AnswerNoTask, StartID: id}
		}
		answer.Incarnation = result.Incarnation
		c.takeAnswer(now, it, answer)
	}
}

// find returns the item whose present attempt on the worker has that id.
func (c *Controller) find(worker, startID string) *item {
	known, ok := c.links[worker]
	if !ok {
		return nil
	}
	for end := len(startID) - 1; end > 0; end-- {
		if startID[end] != '.' {
			continue
		}
		it, ok := known.items[startID[:end]]
		if ok && it.record.StartID() == startID {
			return it
		}
		return nil
	}
	return nil
}

// heard notes whether the worker answers.
func (c *Controller) heard(worker string, kind AnswerKind) {
	c.setSilent(worker, kind == AnswerNone)
}

// takeAnswer takes in what a worker said of the item's present attempt.
func (c *Controller) takeAnswer(now time.Time, it *item, answer Answer) {
	record := it.current()
	if it.inflight || record.StartID() != answer.StartID {
		return // A write is under way; the next poll tells again.
	}
	if answer.Incarnation != "" && answer.Incarnation != record.Attempt.Incarnation {
		answer.Kind = AnswerOtherIncarnation
	}
	switch answer.Kind {
	case AnswerStale:
		c.depose()
	case AnswerRunning:
		c.takeRunning(now, it, record, answer)
	case AnswerDone:
		c.takeDone(now, it, record, answer)
	case AnswerFailed:
		c.takeFailed(now, it, record, answer)
	case AnswerCheckpointed:
		record.Ran = RanYes
		record.Checkpoint = answer.Checkpoint
		c.requeueOrCancel(now, it, record)
	case AnswerLapsed:
		record.Ran = RanYes
		c.takeLapsed(now, it, record)
	case AnswerStopped:
		c.takeStopped(now, it, record, answer)
	case AnswerRefused:
		c.retry(now, it, record, ReasonDoesNotFit)
	case AnswerOtherIncarnation:
		c.lose(now, it)
	case AnswerNoTask:
		// A start is repeated by itself; a task that ran and has been forgotten
		// since is stopped, so that no late start can run it again.
		it.forgotten = record.State == Running
	}
	c.act(now, it)
}

// takeRunning notes that the attempt runs and what it uses.
func (c *Controller) takeRunning(now time.Time, it *item, record Record, answer Answer) {
	c.cfg.Placer.ReportUsage(now, record.Name(), answer.Usage)
	if record.State == Running {
		return
	}
	it.runsAt = now
	record.State = Running
	record.Ran = RanYes
	c.propose(now, it, record)
}

// takeDone ends the task with its result.
func (c *Controller) takeDone(now time.Time, it *item, record Record, answer Answer) {
	c.release(now, it, place.Succeeded)
	record.Ran = RanYes
	if len(answer.Result) <= c.cfg.MaxInlineBytes {
		record.Result = answer.Result
		c.end(now, it, record, Done, "")
		return
	}
	if it.result == nil {
		it.result = &answer
		c.emit(Store{Name: resultName(answer.StartID), Data: answer.Result})
	}
}

// resultName is the name of the object that holds a large result.
func resultName(startID string) string {
	return "result/" + startID
}

// Stored reports whether a Store has been carried out.
func (c *Controller) HandleStoreResult(now time.Time, store Store, ok bool) {
	if c.deposed {
		return
	}
	for _, name := range c.names {
		for _, it := range c.links[name].items {
			if it.result == nil || resultName(it.result.StartID) != store.Name {
				continue
			}
			// The next poll brings the result again after a failure.
			it.result = nil
			if !ok || it.inflight {
				return
			}
			record := it.current()
			record.Ran = RanYes
			record.ResultObject = store.Name
			c.end(now, it, record, Done, "")
			return
		}
	}
}

// takeFailed retries the task elsewhere, or ends it if it must not be repeated.
func (c *Controller) takeFailed(now time.Time, it *item, record Record, answer Answer) {
	c.release(now, it, place.Failed)
	record.Ran = RanYes
	switch {
	case record.Cancel || it.cancel:
		c.end(now, it, record, Cancelled, ReasonCancelled)
	case record.Once:
		c.end(now, it, record, Failed, answer.Reason)
	default:
		c.retry(now, it, record, answer.Reason)
	}
}

// takeLapsed handles an attempt that its worker stopped for want of renewals.
func (c *Controller) takeLapsed(now time.Time, it *item, record Record) {
	if record.Once && !record.Cancel {
		c.end(now, it, record, Failed, ReasonLeaseLapsed)
		return
	}
	c.requeueOrCancel(now, it, record)
}

// takeStopped handles an attempt that was stopped, perhaps before it began.
func (c *Controller) takeStopped(now time.Time, it *item, record Record, answer Answer) {
	if answer.Ran || record.State == Running {
		record.Ran = RanYes
	}
	if record.Ran == RanNo || !record.Once {
		c.requeueOrCancel(now, it, record)
		return
	}
	if record.Cancel || it.cancel {
		c.end(now, it, record, Cancelled, ReasonCancelled)
		return
	}
	c.end(now, it, record, GivenUp, ReasonOutcomeUnknown)
}

// requeueOrCancel ends a cancelled task and queues any other again.
func (c *Controller) requeueOrCancel(now time.Time, it *item, record Record) {
	if record.Cancel || it.cancel {
		c.end(now, it, record, Cancelled, ReasonCancelled)
		return
	}
	c.requeue(now, it, record)
}
