package fleet

import (
	"time"
)

// NextRenewal tells whether an endpoint should be looked at now, and with what. The
// endpoint must not have another look under way.
func (l *Leader) NextRenewal(id EndpointID, now time.Time) (LeaseRenewal, bool) {
	e, ok := l.endpoints[id]
	if !ok {
		return LeaseRenewal{}, false
	}
	renewal := LeaseRenewal{}
	if e.ackable > e.acked {
		// Sent only when it is news: a new life of the endpoint numbers its ends anew.
		renewal.AckedUpTo = e.ackable
	}
	switch {
	case e.gone:
		return renewal, false
	case !e.reached:
		return renewal, true
	case e.blocked && now.Sub(e.reportedAt) < unknownJobDelay:
		return renewal, false
	case len(e.unpersisted) > 0 && now.Sub(e.reportedAt) < renewalInterval:
		// Ends that cannot be acknowledged yet would be listed again at once.
		return renewal, false
	case len(e.runs) == 0 && e.ackable == e.acked && !e.blocked:
		return renewal, e.unresponsive || now.Sub(e.reportedAt) > idleRenewalInterval
	}
	if !e.unresponsive && l.confirmed(now) {
		renewal.Lease = e.nextLease(now, l.leaseDuration())
	}
	if len(e.runs) > 0 && len(e.unpersisted) == 0 && !e.blocked {
		renewal.Wait = e.reportWait()
	}
	return renewal, true
}

// reportWait is how long the endpoint may wait for an end before it answers a look:
// not for long where its next report settles what has become of a run.
func (e *endpoint) reportWait() time.Duration {
	for _, r := range e.runs {
		if r.state == runUnconfirmed || r.state == runStopping && !r.stopAcceptedAt.IsZero() {
			return unresolvedReportWait
		}
	}
	return reportWait
}

// RenewalFailed notes that an endpoint did not answer a look.
func (l *Leader) RenewalFailed(id EndpointID, reply Reply, now time.Time) {
	e, ok := l.endpoints[id]
	if !ok {
		return
	}
	if reply.Outcome == OrderOtherIncarnation {
		// The ID at this address is another one: the endpoint that we mean is gone.
		l.newIncarnation(e, e.startedAt, "refusal", now)
		e.listed = false
		l.forgetEndpoint(e, now)
		return
	}
	e.pausedUntil = now.Add(unhealthyPause)
	e.unresponsive = true
	if e.clockAt.IsZero() || !e.leaseOver(now) {
		return
	}
	for _, r := range e.runs {
		l.runLost(r, "lease is over", now)
	}
	l.forgetEndpoint(e, now)
}

// HandleReport takes an endpoint's report. sentAt is when the look was sent: runs that
// were answered later may be missing in it.
func (l *Leader) HandleReport(id EndpointID, renewal LeaseRenewal, sentAt time.Time, report Report, now time.Time) {
	e, ok := l.endpoints[id]
	if !ok {
		return
	}
	if report.StartedAt.After(e.startedAt) {
		l.newIncarnation(e, report.StartedAt, "report", now)
		renewal.AckedUpTo = 0
	}
	if !e.reached {
		l.log("endpoint reached", "endpoint", id, "pool", e.row.Pool, "running", len(report.Running), "ended", len(report.Completions))
	}
	e.reached, e.unresponsive, e.gone = true, false, false
	e.clock, e.clockAt = report.Clock, now
	e.reportedAt = now
	e.acked = max(e.acked, renewal.AckedUpTo)
	// Ends go first, so that a run that has ended is not taken for a lost one.
	e.blocked = false
	for _, ended := range report.Completions {
		if !l.ended(e, ended, now) {
			// It is listed again, and all after it, until it can be applied.
			e.blocked = true
			break
		}
	}
	e.advanceAcks(l.writeQueue.written)
	present := make(map[runKey]bool, len(report.Running))
	for _, running := range report.Running {
		key := runKey{running.Task, running.Run}
		present[key] = true
		l.handleReportedRun(e, key, running, now)
	}
	if len(report.Completions) >= maxReportedCompletions || e.blocked {
		return
	}
	for key, r := range e.runs {
		if !present[key] {
			l.handleMissingRun(r, sentAt, now)
		}
	}
}

// handleMissingRun takes that a report, for which the look was sent at sentAt, does not
// list a run.
func (l *Leader) handleMissingRun(r *run, sentAt, now time.Time) {
	switch r.state {
	case runLive:
		if r.answeredAt.Before(sentAt) {
			l.runLost(r, "endpoint no longer lists it", now)
		}
	case runUnconfirmed:
		// The start may still be carried out: a stop that is answered prevents it.
		if r.answeredAt.Before(sentAt) {
			l.stopRun(r, "start was not answered", now)
		}
	case runStopping:
		isSure := !r.wasUnconfirmed && !r.answeredAt.IsZero() && r.answeredAt.Before(sentAt)
		if isSure || !r.stopAcceptedAt.IsZero() && r.stopAcceptedAt.Before(sentAt) {
			l.runLost(r, "endpoint no longer lists it", now)
		}
	}
}

// advanceAcks moves ackable over the ends whose rows are written.
func (e *endpoint) advanceAcks(written uint64) {
	for len(e.unpersisted) > 0 && e.unpersisted[0].batch <= written {
		e.ackable = e.unpersisted[0].number
		e.unpersisted = e.unpersisted[1:]
	}
}

// handleReportedRun takes a run that an endpoint lists.
func (l *Leader) handleReportedRun(e *endpoint, key runKey, running RunningTask, now time.Time) {
	r, ok := e.runs[key]
	if !ok {
		r = l.adopt(e, key, now)
	}
	if r == nil {
		return
	}
	if r.state == runStarting || r.state == runUnconfirmed {
		r.state = runLive
		r.answeredAt = now
	}
	if running.Checkpoint != "" {
		r.checkpoint = running.Checkpoint
	}
	r.speedPercent = running.SpeedPercent
	r.tailLatency = running.TailLatency
	if r.fullSpeedAt.IsZero() && running.SpeedPercent >= 100 && !now.Before(r.inheritedStopsEnd) {
		r.fullSpeedAt = now
	}
}

// adopt takes over a run that an earlier leader started, or whose order was
// carried out late. Runs that should not be there are stopped.
func (l *Leader) adopt(e *endpoint, key runKey, now time.Time) *run {
	if !l.loaded {
		return nil
	}
	r := &run{key: key, endpoint: e, state: runLive, orderedAt: now, answeredAt: now, percent: 100}
	j := l.jobs[key.task.Job]
	if j == nil && !l.isAbsent(key.task.Job) {
		// Its row may be on the way to us. What the run takes is not known until then.
		// Until it is adopted, its task must not start elsewhere.
		l.requestLookup(key.task.Job)
		e.fullUntil = now.Add(unknownJobDelay)
		e.blocked = true
		return nil
	}
	if j == nil {
		e.runs[key] = r
		l.stopRun(r, "no such job", now)
		return r
	}
	step, ok := j.stepOf(key.task)
	if !ok {
		return nil
	}
	r.job = j
	r.inheritedStopsEnd = now.Add(l.config.Bounds.Stop)
	r.reserved = step.Reserved()
	e.runs[key] = r
	duplicate := len(j.active[key.task]) > 0
	l.trackRun(r)
	j.started = true
	j.recordRun(key)
	l.log("run adopted", "job", key.task.Job, "step", key.task.Step, "index", key.task.Index, "run", key.run, "endpoint", e.row.ID)
	switch {
	case j.over():
		l.stopRun(r, "job is over", now)
	case j.progress.IsDone(key.task):
		l.stopRun(r, "task is done", now)
	case duplicate && !step.Speculative:
		l.stopRun(r, "task runs elsewhere", now)
	default:
		j.dropPending(key.task)
	}
	return r
}
