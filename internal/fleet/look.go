package fleet

import (
	"time"
)

// NextLook tells whether an endpoint should be looked at now, and with what. The
// endpoint must not have another look under way.
func (l *Leader) NextRenewal(id EndpointID, now time.Time) (LeaseRenewal, bool) {
	e, ok := l.endpoints[id]
	if !ok {
		return LeaseRenewal{}, false
	}
	hold := LeaseRenewal{}
	if e.ackable > e.acked {
		// Sent only when it is news: a new life of the endpoint numbers its ends anew.
		hold.AckedUpTo = e.ackable
	}
	switch {
	case e.gone:
		return hold, false
	case !e.reached:
		return hold, true
	case e.blocked && now.Sub(e.lookedAt) < unknownPause:
		return hold, false
	case len(e.unwritten) > 0 && now.Sub(e.lookedAt) < looksEvery:
		// Ends that cannot be acknowledged yet would be listed again at once.
		return hold, false
	case len(e.runs) == 0 && e.ackable == e.acked && !e.blocked:
		return hold, e.silent || now.Sub(e.lookedAt) > idleLooksEvery
	}
	if !e.silent && l.confirmed(now) {
		hold.Lease = e.nextLease(now, l.leaseTime())
	}
	if len(e.runs) > 0 && len(e.unwritten) == 0 && !e.blocked {
		hold.Wait = e.lookWait()
	}
	return hold, true
}

// lookWait is how long the endpoint may wait for an end before it answers a look:
// not for long where its next report settles what has become of a run.
func (e *endpoint) lookWait() time.Duration {
	for _, r := range e.runs {
		if r.state == runDoubtful || r.state == runStopping && !r.stopTakenAt.IsZero() {
			return settleWait
		}
	}
	return lookWait
}

// LookFailed notes that an endpoint did not answer a look.
func (l *Leader) RenewalFailed(id EndpointID, reply Reply, now time.Time) {
	e, ok := l.endpoints[id]
	if !ok {
		return
	}
	if reply.Outcome == OrderOtherIncarnation {
		// The ID at this address is another one: the endpoint that we mean is gone.
		l.newLife(e, e.born, "refusal", now)
		e.listed = false
		l.forgetEndpoint(e, now)
		return
	}
	e.pausedUntil = now.Add(unhealthyPause)
	e.silent = true
	if e.clockAt.IsZero() || !e.leaseOver(now) {
		return
	}
	for _, r := range e.runs {
		l.runLost(r, "lease is over", now)
	}
	l.forgetEndpoint(e, now)
}

// Looked takes an endpoint's report. sentAt is when the look was sent: runs that
// were answered later may be missing in it.
func (l *Leader) HandleReport(id EndpointID, hold LeaseRenewal, sentAt time.Time, look Report, now time.Time) {
	e, ok := l.endpoints[id]
	if !ok {
		return
	}
	if look.StartedAt.After(e.born) {
		l.newLife(e, look.StartedAt, "report", now)
		hold.AckedUpTo = 0
	}
	if !e.reached {
		l.note("endpoint reached", "endpoint", id, "pool", e.row.Pool, "running", len(look.Running), "ended", len(look.Completions))
	}
	e.reached, e.silent, e.gone = true, false, false
	e.clock, e.clockAt = look.Clock, now
	e.lookedAt = now
	e.acked = max(e.acked, hold.AckedUpTo)
	// Ends go first, so that a run that has ended is not taken for a lost one.
	e.blocked = false
	for _, ended := range look.Completions {
		if !l.ended(e, ended, now) {
			// It is listed again, and all after it, until it can be applied.
			e.blocked = true
			break
		}
	}
	e.advanceAcks(l.ledger.written)
	present := make(map[runKey]bool, len(look.Running))
	for _, running := range look.Running {
		key := runKey{running.Task, running.Run}
		present[key] = true
		l.reported(e, key, running, now)
	}
	if len(look.Completions) >= listedEnds || e.blocked {
		return
	}
	for key, r := range e.runs {
		if !present[key] {
			l.missing(r, sentAt, now)
		}
	}
}

// missing takes that a report, for which the look was sent at sentAt, does not
// list a run.
func (l *Leader) missing(r *run, sentAt, now time.Time) {
	switch r.state {
	case runLive:
		if r.answeredAt.Before(sentAt) {
			l.runLost(r, "endpoint no longer lists it", now)
		}
	case runDoubtful:
		// The start may still be carried out: a stop that is answered prevents it.
		if r.answeredAt.Before(sentAt) {
			l.stopRun(r, "start was not answered", now)
		}
	case runStopping:
		isSure := !r.wasDoubtful && !r.answeredAt.IsZero() && r.answeredAt.Before(sentAt)
		if isSure || !r.stopTakenAt.IsZero() && r.stopTakenAt.Before(sentAt) {
			l.runLost(r, "endpoint no longer lists it", now)
		}
	}
}

// advanceAcks moves ackable over the ends whose rows are written.
func (e *endpoint) advanceAcks(written uint64) {
	for len(e.unwritten) > 0 && e.unwritten[0].batch <= written {
		e.ackable = e.unwritten[0].number
		e.unwritten = e.unwritten[1:]
	}
}

// reported takes a run that an endpoint lists.
func (l *Leader) reported(e *endpoint, key runKey, running RunningTask, now time.Time) {
	r, ok := e.runs[key]
	if !ok {
		r = l.adopt(e, key, now)
	}
	if r == nil {
		return
	}
	if r.state == runStarting || r.state == runDoubtful {
		r.state = runLive
		r.answeredAt = now
	}
	if running.Checkpoint != "" {
		r.saved = running.Checkpoint
	}
	r.share = running.SpeedPercent
	r.tail = running.TailLatency
	if r.atWorkAt.IsZero() && running.SpeedPercent >= 100 && !now.Before(r.settledAt) {
		r.atWorkAt = now
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
		l.fetch(key.task.Job)
		e.fullUntil = now.Add(unknownPause)
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
	r.settledAt = now.Add(l.config.Bounds.Stop)
	r.reserved = step.Reserved()
	e.runs[key] = r
	duplicate := len(j.active[key.task]) > 0
	l.claim(r)
	j.begun = true
	j.noteRun(key)
	l.note("run adopted", "job", key.task.Job, "step", key.task.Step, "index", key.task.Index, "run", key.run, "endpoint", e.row.ID)
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
