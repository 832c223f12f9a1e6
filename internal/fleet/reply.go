package fleet

import (
	"time"
)

// ConfirmStart reports whether a start that has waited may be sent now: for the same
// incarnation of the endpoint, while its run is still wanted, its data centre is not evacuated and
// no other process leads.
// Otherwise it withdraws the start, which was never sent.
func (l *Leader) ConfirmStart(start Start, now time.Time) bool {
	e := l.endpoints[start.Endpoint]
	if e == nil {
		return false
	}
	key := runKey{start.Task, start.Run}
	r := e.runs[key]
	if r == nil || !r.answeredAt.IsZero() {
		l.releaseLateStart(start.Endpoint, key, now)
		return false
	}
	isSameIncarnation := e.isKnown() && !e.gone && e.presumed == nil && !e.unresponsive && start.incarnation.Equal(e.startedAt)
	hasRoom := l.knowsCapacity(e.row.Pool, now) && e.hasRoomFor(r)
	isEvacuated := l.isEvacuated(e)
	if r.state == runStarting && isSameIncarnation && hasRoom && !isEvacuated && l.confirmed(now) {
		r.sentAt = now
		l.startSent(r)
		return true
	}
	l.log("start withdrawn", "job", start.Task.Job, "step", start.Task.Step, "index", start.Task.Index, "run", start.Run,
		"endpoint", start.Endpoint, "state", r.state.String(), "ordered-ago", age(r.orderedAt, now),
		"same-incarnation", isSameIncarnation, "has-room", hasRoom, "evacuated", isEvacuated, "list-age", age(l.endpointsAsOf, now), "confirmed-ago", age(l.confirmedAt, now))
	l.untrackRun(r)
	l.requeue(r.job, start.Task, now)
	return false
}

// HandleStartReply processes an endpoint's reply to a start. It returns false if the
// endpoint knows a newer leader.
func (l *Leader) HandleStartReply(start Start, reply Reply, now time.Time) bool {
	if reply.Outcome == OrderAccepted {
		// Also if its run is not tracked any more.
		l.taskBegan(l.jobs[start.Task.Job], start.Task, now)
	}
	e := l.endpoints[start.Endpoint]
	if e == nil {
		return reply.Outcome != OrderFenced
	}
	key := runKey{start.Task, start.Run}
	if e.endedUnanswered[key] {
		delete(e.endedUnanswered, key)
		return reply.Outcome != OrderFenced
	}
	r := e.runs[key]
	if r == nil {
		l.log("start of an untracked run answered", "job", start.Task.Job, "step", start.Task.Step, "index", start.Task.Index,
			"run", start.Run, "endpoint", start.Endpoint, "outcome", string(reply.Outcome), "life", e.startedAt.UnixMilli(),
			"report-age", age(e.reportedAt, now))
		switch reply.Outcome {
		case OrderAccepted:
			// The next report shows the run, or its end.
			l.suspectRestart(e, "untracked start", now)
		case OrderUnknown:
		default:
			l.releaseLateStart(start.Endpoint, key, now)
		}
		return reply.Outcome != OrderFenced
	}
	r.awaitsAnswer = false
	l.startSent(r)
	l.logReply("start answered", r, reply)
	switch reply.Outcome {
	case OrderAccepted:
		l.noteStartTime(r, now)
		l.startAccepted(r, now)
		if e.gone {
			// Another incarnation may have answered.
			e.gone = false
			l.suspectRestart(e, "start on a gone endpoint", now)
		}
		l.limitForeignLease(e, now)
		if start.incarnation.Equal(e.startedAt) && reply.Clock > 0 && reply.Clock < start.clock {
			l.suspectRestart(e, "clock", now)
		}
	case OrderFenced:
		return false
	case OrderUnknown:
		e.lateLeaseUntil = now.Add(maxOrderDelay)
		if r.state == runStarting {
			r.state = runUnconfirmed
			r.answeredAt = now
		}
		if r.answeredAt.IsZero() || r.state == runUnconfirmed {
			// Also if it is being stopped already.
			r.wasUnconfirmed = true
			l.recordUnanswered(r)
		}
	case OrderStaleRun:
		// The run cannot start any more, but it may have run: the next report says.
		l.stopRun(r, "start rejected as stale", now)
		r.stopAt, r.stopAcceptedAt = now.Add(renewalInterval), now
	default:
		l.startRejected(r, reply, now)
	}
	return true
}

// startAccepted marks a run as live.
func (l *Leader) startAccepted(r *run, now time.Time) {
	if r.state == runStarting || r.state == runUnconfirmed {
		r.state = runLive
	}
	r.answeredAt = now
	r.endpoint.roomPause = 0
	l.runBegan(r, now)
}

// startRejected removes a run that the endpoint did not start.
func (l *Leader) startRejected(r *run, reply Reply, now time.Time) {
	e := r.endpoint
	notBefore := now.Add(startRetryDelay)
	switch reply.Outcome {
	case OrderNoCapacity:
		e.roomRefused(now)
	case OrderLeaseExpired:
		// The estimate of the endpoint's clock is wrong: renew the lease before the next start.
		e.reached = false
	case OrderUnhealthy, OrderNotSent:
		e.pausedUntil = now.Add(unhealthyPause)
	case OrderInvalidTicket:
		if step := r.job.steps[r.key.task.StepKey()]; step != nil {
			step.tickets, step.adviceRequested = nil, false
		}
	case OrderNotTaken:
		// Says nothing about the endpoint.
	case OrderMalformed:
		notBefore = now.Add(time.Second)
	case OrderOtherIncarnation:
		l.suspectRestart(e, "refusal", now)
	}
	l.untrackRun(r)
	l.requeue(r.job, r.key.task, notBefore)
}

// logReply logs replies other than an acceptance.
func (l *Leader) logReply(event string, r *run, reply Reply) {
	if reply.Outcome == OrderAccepted {
		return
	}
	l.log(event, "job", r.key.task.Job, "step", r.key.task.Step, "index", r.key.task.Index, "run", r.key.run,
		"endpoint", r.endpoint.row.ID, "outcome", string(reply.Outcome))
}

// HandleStopReply processes an endpoint's reply to a stop. It returns false if the
// endpoint knows a newer leader.
func (l *Leader) HandleStopReply(stop Stop, reply Reply, now time.Time) bool {
	e := l.endpoints[stop.Endpoint]
	if e == nil {
		return reply.Outcome != OrderFenced
	}
	r := e.runs[runKey{stop.Task, stop.Run}]
	if r == nil {
		return reply.Outcome != OrderFenced
	}
	l.logReply("stop answered", r, reply)
	switch reply.Outcome {
	case OrderFenced:
		return false
	case OrderAccepted, OrderStaleRun:
		if !stop.incarnation.Equal(e.startedAt) {
			// It binds an earlier incarnation alone: the stop is ordered again.
			return true
		}
		// Whether or not it ran, it can no longer start: the next report resolves it.
		r.stopAt = now.Add(renewalInterval)
		r.stopAcceptedAt = now
	case OrderOtherIncarnation:
		l.suspectRestart(e, "refusal", now)
	case OrderUnknown:
		e.stopUnansweredAt = now
	}
	return true
}
