package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

// StartAnswered takes an endpoint's answer to a start. It returns false if the endpoint
// knows a later leader.
func (l *Leader) HandleStartReply(start Start, reply Reply, now time.Time) bool {
	e := l.endpoints[start.Endpoint]
	if e == nil {
		return reply.Outcome != OrderFenced
	}
	r := e.runs[runKey{start.Task, start.Run}]
	if r == nil {
		return reply.Outcome != OrderFenced
	}
	l.journalReply("start answered", r, reply)
	switch reply.Outcome {
	case OrderAccepted:
		l.runTaken(r, now)
	case OrderFenced:
		return false
	case OrderUnknown:
		if r.state == runStarting {
			r.state = runDoubtful
			r.answeredAt = now
			r.wasDoubtful = true
		}
	case OrderOtherIncarnation:
		l.newLife(e, e.born, "refusal", now)
		e.listed = false
		l.forgetEndpoint(e, now)
	default:
		l.startRefused(r, reply, now)
	}
	return true
}

// runTaken notes that an endpoint runs a task.
func (l *Leader) runTaken(r *run, now time.Time) {
	if r.state == runStarting || r.state == runDoubtful {
		r.state = runLive
	}
	r.answeredAt = now
}

// startRefused takes back a run that the endpoint did not begin.
func (l *Leader) startRefused(r *run, reply Reply, now time.Time) {
	e := r.endpoint
	notBefore := now.Add(retryPause)
	switch reply.Outcome {
	case OrderNoCapacity:
		e.fullUntil = now.Add(retryPause)
	case OrderLeaseExpired:
		// Our estimate of the endpoint's clock is off: look before the next start.
		e.reached = false
	case OrderUnhealthy, OrderNotSent:
		e.pausedUntil = now.Add(unhealthyPause)
	case OrderInvalidTicket:
		if step := r.job.steps[job.StepKey{Occurrence: r.key.task.Occurrence, Step: r.key.task.Step}]; step != nil {
			step.granted, step.asked = nil, false
		}
	case OrderMalformed:
		notBefore = now.Add(time.Second)
	}
	l.release(r)
	l.requeue(r.job, r.key.task, notBefore)
}

// journalReply notes answers that are not the expected one.
func (l *Leader) journalReply(event string, r *run, reply Reply) {
	if reply.Outcome == OrderAccepted {
		return
	}
	l.note(event, "job", r.key.task.Job, "step", r.key.task.Step, "index", r.key.task.Index, "run", r.key.run,
		"endpoint", r.endpoint.row.ID, "outcome", string(reply.Outcome))
}

// StopAnswered takes an endpoint's answer to a stop. It returns false if the endpoint
// knows a later leader.
func (l *Leader) HandleStopReply(stop Stop, reply Reply, now time.Time) bool {
	e := l.endpoints[stop.Endpoint]
	if e == nil {
		return reply.Outcome != OrderFenced
	}
	r := e.runs[runKey{stop.Task, stop.Run}]
	if r == nil {
		return reply.Outcome != OrderFenced
	}
	l.journalReply("stop answered", r, reply)
	switch reply.Outcome {
	case OrderFenced:
		return false
	case OrderAccepted, OrderStaleRun:
		// Whether it ran or not, it cannot begin any more: the next report tells.
		r.stopAt = now.Add(looksEvery)
		r.stopTakenAt = now
	case OrderOtherIncarnation:
		l.newLife(e, e.born, "refusal", now)
		e.listed = false
		l.forgetEndpoint(e, now)
	}
	return true
}
