package fleet

import (
	"time"
)

// NextRenewal returns the lease renewal to send to an endpoint, and whether it is due.
// The endpoint must have no other renewal in flight.
func (l *Leader) NextRenewal(id EndpointID, now time.Time) (LeaseRenewal, bool) {
	e, ok := l.endpoints[id]
	if !ok {
		return LeaseRenewal{}, false
	}
	renewal, isDue := l.nextRenewal(e, now)
	if isDue {
		e.sendsLease = renewal.Lease > 0
	}
	return renewal, isDue
}

// nextRenewal returns the renewal to send to an endpoint, and whether it is due.
func (l *Leader) nextRenewal(e *endpoint, now time.Time) (LeaseRenewal, bool) {
	if e.gone {
		// Only another incarnation can answer, which may have carried out the starts that are
		// left. Without them, the list shows when there is one.
		return LeaseRenewal{IsQuestion: e.presumed != nil}, len(e.runs) > 0 || l.hasLateStart(e.row.ID, now)
	}
	renewal := LeaseRenewal{}
	isAckWithheld := false
	if e.ackable > e.acked && !e.mayHaveRestarted && !e.unresponsive && e.presumed == nil {
		// Sent only if it has advanced, to an endpoint that has just answered: a new incarnation
		// restarts the numbers of completions.
		isAckWithheld = e.hasOverdueStart(now)
		if !isAckWithheld {
			renewal.AckedUpTo = e.ackable
		}
	}
	e.sentAck = renewal.AckedUpTo
	switch {
	case !e.reached && !l.loaded && !e.clockAt.IsZero():
		// Its runs are not known yet. They are kept alive while the jobs are being read.
		isDue := e.leaseUntil == 0 || e.unresponsive || now.Sub(e.reportedAt) >= renewalInterval
		if isDue && !e.unresponsive && l.confirmed(now) {
			renewal.Lease = e.nextLease(now, l.leaseDuration())
		}
		return renewal, isDue
	case !e.isKnown():
		renewal.IsQuestion = e.presumed != nil
		return renewal, true
	case e.presumed != nil:
		if !e.unresponsive && len(e.runs) > 0 && l.confirmed(now) {
			renewal.Lease = e.nextLease(now, l.leaseDuration())
		}
		renewal.IsQuestion = true
		return renewal, true
	case e.blocked && now.Sub(e.reportedAt) < unknownJobDelay:
		return renewal, false
	case isAckWithheld && now.Sub(e.reportedAt) < unresolvedReportWait:
		return renewal, false
	case len(e.unpersisted) > 0 && now.Sub(e.reportedAt) < renewalInterval:
		// Completions that cannot be acknowledged yet would be reported again at once.
		return renewal, false
	case len(e.runs) == 0 && e.ackable == e.acked && !e.blocked:
		return l.idleRenewal(e, renewal, now)
	}
	if !e.unresponsive && l.confirmed(now) {
		renewal.Lease = e.nextLease(now, l.leaseDuration())
	}
	if len(e.runs) > 0 && len(e.unpersisted) == 0 && !e.blocked {
		renewal.Wait = e.reportWait()
	}
	return renewal, true
}

// idleRenewal returns the renewal of an endpoint without runs, and whether it is due. While a
// start that was given up may yet be carried out there, the endpoint holds the renewals back: it
// breaks one off when it restarts, so that the next incarnation is soon reached.
func (l *Leader) idleRenewal(e *endpoint, renewal LeaseRenewal, now time.Time) (LeaseRenewal, bool) {
	if l.hasLateStart(e.row.ID, now) {
		renewal.Wait = reportWait
		return renewal, true
	}
	return renewal, e.unresponsive || now.Sub(e.reportedAt) > idleRenewalInterval
}

// hasOverdueStart reports whether a start on the endpoint has no answer for longer than
// answers take. It may have been carried out, and ended, on a new incarnation of which there
// is no other sign: an acknowledgement would make that forget the end unread.
func (e *endpoint) hasOverdueStart(now time.Time) bool {
	for _, r := range e.runs {
		if (r.awaitsAnswer || r.wasUnconfirmed && r.isUnresolved()) && now.Sub(r.orderedAt) > overdueAnswer {
			return true
		}
	}
	return false
}

// reportWait returns how long the endpoint may wait for a completion before it
// reports: only briefly if the report resolves the outcome of a start or stop.
func (e *endpoint) reportWait() time.Duration {
	if wait, ok := e.trialWait(); ok {
		return wait
	}
	for _, r := range e.runs {
		if r.state == runUnconfirmed || r.state == runStopping && !r.stopAcceptedAt.IsZero() {
			return unresolvedReportWait
		}
	}
	return reportWait
}

// RenewalFailed handles a lease renewal that was rejected or got no answer.
func (l *Leader) RenewalFailed(id EndpointID, reply Reply, now time.Time) {
	e, ok := l.endpoints[id]
	if !ok {
		return
	}
	if reply.Outcome == OrderOtherIncarnation {
		e.listed = false
		l.endpointEnded(endpointEnd{
			endpoint: e, reason: "another endpoint answers at the address", isPlanned: e.row.Draining, at: reply.SentAt,
		}, now)
	}
	if e.sentAck > 0 && reply.Outcome.isUnanswered() {
		e.lateAckUntil = now.Add(maxOrderDelay)
	}
	if e.sendsLease && reply.Outcome.isUnanswered() {
		e.lateLeaseUntil = now.Add(maxOrderDelay)
	}
	e.sendsLease, e.sentAck = false, 0
	e.pausedUntil = now.Add(unhealthyPause)
	if !e.unresponsive {
		l.log("endpoint does not answer", "endpoint", id, "pool", e.row.Pool, "outcome", string(reply.Outcome), "failure", reply.Failure,
			"runs", len(e.runs), "report-age", age(e.reportedAt, now), "life", e.startedAt.UnixMilli(), "gone", e.gone)
	}
	e.unresponsive = true
	e.noteFailure(reply, now)
	switch {
	case reply.Outcome.isUnanswered():
		l.confirmEnd(e, reply.SentAt, now)
	case reply.Outcome != OrderNotSent && reply.Outcome != OrderOtherIncarnation:
		l.contradictEnd(e, reply.SentAt, now)
	}
	if e.clockAt.IsZero() || !l.leasesOver(e, now) {
		return
	}
	for _, r := range e.runs {
		if !l.mayStartLate(r, now) {
			if !e.gone && !l.endsByPlan(e) && r.workedFor() <= maxCrashAge {
				// It has crashed, or is out of reach.
				r.verdict = max(r.verdict, unclear)
			}
			l.runLost(r, "endpoint's lease has expired", now)
		}
	}
	l.forgetEndpoint(e, now)
}

// mayStartLate reports whether a start without an answer may still be carried out, or run,
// on an endpoint that may have restarted unnoticed: its deadline is on a clock that has
// begun anew then. A restart of an endpoint that the platform shows as gone is noticed.
func (l *Leader) mayStartLate(r *run, now time.Time) bool {
	return !r.endpoint.gone && r.isUnresolved() && now.Sub(r.sentAt) <= maxOrderDelay+maxElapsed(l.config.Bounds.MaxLease)+leaseMargin
}

// HandleReport processes an endpoint's report. sentAt is when the renewal was sent:
// the report may lack runs whose start was answered later.
func (l *Leader) HandleReport(id EndpointID, renewal LeaseRenewal, sentAt time.Time, report Report, now time.Time) {
	e, ok := l.endpoints[id]
	if !ok {
		return
	}
	if !report.StartedAt.IsZero() && !report.StartedAt.Equal(e.startedAt) {
		l.newIncarnation(e, report.StartedAt, now)
		renewal.AckedUpTo = 0
	}
	if e.gone && sentAt.Before(e.goneAt) {
		// It may be the report of the incarnation that has ended since.
		l.suspectRestart(e, "report older than the end", now)
	}
	if !sentAt.Before(e.suspectedAt) {
		e.mayHaveRestarted = false
	}
	l.contradictEnd(e, sentAt, now)
	e.hungUpAt, e.refusedAt = time.Time{}, time.Time{}
	if !e.mayHaveRestarted {
		e.unreportedSince = time.Time{}
	}
	e.sendsLease, e.sentAck = false, 0
	if !l.loaded {
		// The report is requested again once the jobs are known.
		e.unresponsive = false
		e.clock, e.clockAt, e.reportedAt = report.Clock, now, now
		return
	}
	if e.gone {
		l.crashes.Contradicted++
		l.log("endpoint reports after it was taken for gone", "endpoint", id, "pool", e.row.Pool, "gone-ago", age(e.goneAt, now),
			"running", len(report.Running), "life", e.startedAt.UnixMilli(), "asked-ago", age(sentAt, now))
	}
	if e.unresponsive {
		l.log("endpoint answers again", "endpoint", id, "pool", e.row.Pool, "report-age", age(e.reportedAt, now), "running", len(report.Running))
	}
	if !e.reached {
		l.log("endpoint reached", "endpoint", id, "pool", e.row.Pool, "running", len(report.Running), "ended", len(report.Completions))
		l.presumePredecessorsEnded(e, sentAt, now)
		e.leaving = e.leaving || l.mayEndByChange(e)
	}
	isFirst := !e.reached
	e.reached, e.unresponsive, e.gone = true, false, false
	e.clock, e.clockAt = report.Clock, now
	e.reportedAt, e.askedAt = now, sentAt
	e.acked = max(e.acked, renewal.AckedUpTo)
	if isFirst {
		e.foreignLeaseUntil = l.foreignLease(e, now)
	}
	l.limitForeignLease(e, now)
	// Completions are processed first, so that a completed run does not count as lost.
	e.blocked = false
	for _, completion := range report.Completions {
		if !l.handleCompletion(e, completion, now) {
			// The endpoint repeats it, and all later ones, until it can be applied.
			e.blocked = true
			break
		}
	}
	l.advanceAcks(e)
	present := make(map[runKey]bool, len(report.Running))
	for _, running := range report.Running {
		key := runKey{running.Task, running.Run}
		present[key] = true
		l.handleReportedRun(e, key, running, sentAt, now)
	}
	l.stopLateStarts(e, now)
	if len(report.Completions) >= maxReportedCompletions || e.blocked {
		return
	}
	for key, r := range e.runs {
		if !present[key] {
			l.handleMissingRun(r, sentAt, now)
		}
	}
}

// handleMissingRun handles a run that is missing in the report for the renewal sent
// at sentAt.
func (l *Leader) handleMissingRun(r *run, sentAt, now time.Time) {
	switch r.state {
	case runLive:
		if r.answeredAt.Before(sentAt) {
			l.runLost(r, "endpoint no longer reports the run", now)
		}
	case runUnconfirmed:
		// The start may still be executed: an acknowledged stop prevents that.
		if r.answeredAt.Before(sentAt) {
			l.stopRun(r, "start was not answered", now)
		}
	case runStopping:
		hasStarted := !r.wasUnconfirmed && !r.answeredAt.IsZero() && r.answeredAt.Before(sentAt)
		if hasStarted || !r.stopAcceptedAt.IsZero() && r.stopAcceptedAt.Before(sentAt) {
			l.runLost(r, "endpoint no longer reports the run", now)
		}
	}
}

// maxHeldCompletions is the number of completions that wait on an endpoint for a job whose row the
// store does not take: it reports no more than maxReportedCompletions, of all jobs, at a time.
const maxHeldCompletions = maxReportedCompletions / 2

// advanceAcks makes completions ackable that are stored. It reports whether there were any.
func (l *Leader) advanceAcks(e *endpoint) bool {
	before := len(e.unpersisted)
	for len(e.unpersisted) > 0 {
		first := e.unpersisted[0]
		if !l.isStored(first.job, first.change) {
			if !first.job.isRowRefused() || len(e.unpersisted) <= maxHeldCompletions {
				break
			}
			l.log("completion acknowledged before it is stored", "job", first.job.submission.ID, "endpoint", e.row.ID, "number", first.number)
		}
		e.ackable = first.number
		e.unpersisted = e.unpersisted[1:]
	}
	return len(e.unpersisted) < before
}

// handleReportedRun processes an active run in a report.
func (l *Leader) handleReportedRun(e *endpoint, key runKey, running RunningTask, sentAt, now time.Time) {
	r, ok := e.runs[key]
	if !ok {
		l.releaseLateStart(e.row.ID, key, now)
		r = l.adopt(e, key, now)
	}
	if r == nil {
		return
	}
	l.runBegan(r, now)
	if r.state == runStarting || r.state == runUnconfirmed {
		r.state = runLive
		r.answeredAt = now
	}
	l.forgetUnanswered(r)
	r.reported, r.seenAt, r.verdict = true, sentAt, notInvolved
	r.noteActivity(running, now)
	if running.Checkpoint != "" {
		r.checkpoint = running.Checkpoint
	}
	r.speedPercent = running.SpeedPercent
	r.tailLatency = running.TailLatency
	if r.fullSpeedAt.IsZero() && running.SpeedPercent >= 100 && !now.Before(r.inheritedStopsEnd) {
		r.fullSpeedAt = now
	}
	l.updateTrial(r, now)
}

// adopt takes over a run that an earlier leader started, or whose start was executed
// late. Runs that should not exist are stopped.
func (l *Leader) adopt(e *endpoint, key runKey, now time.Time) *run {
	if !l.loaded {
		return nil
	}
	r := &run{key: key, endpoint: e, state: runLive, orderedAt: now, answeredAt: now, percent: 100}
	j := l.jobs[key.task.Job]
	if j == nil && !l.isAbsent(key.task.Job) {
		// Its row may not have been read yet. Until then the run's size is unknown, and its
		// task must not start elsewhere.
		l.requestLookup(key.task.Job)
		e.fullUntil = now.Add(unknownJobDelay)
		e.blocked = true
		return nil
	}
	if j == nil {
		e.addRun(r)
		l.stopRun(r, "job does not exist", now)
		return r
	}
	step, ok := j.stepOf(key.task)
	if !ok {
		return nil
	}
	r.job = j
	r.inheritedStopsEnd = now.Add(l.config.Bounds.Stop)
	r.reserved = step.Reserved()
	r.onTrial = j.isSuspect(key.task)
	r.isFormerLeaders = l.isFormerRun(key.run) && !j.progress.HasStart(key.task, key.run)
	e.addRun(r)
	duplicate := len(j.active[key.task]) > 0
	l.trackRun(r)
	j.isScheduled = true
	j.recordRun(key)
	l.log("run adopted", "job", key.task.Job, "step", key.task.Step, "index", key.task.Index, "run", key.run, "endpoint", e.row.ID)
	switch {
	case j.over():
		l.stopRun(r, "job has already ended", now)
	case j.progress.IsDone(key.task):
		l.stopRun(r, "task has already completed", now)
	case duplicate && !step.Speculative:
		l.stopRun(r, "task already runs on another endpoint", now)
	default:
		j.dropPending(key.task)
	}
	return r
}
