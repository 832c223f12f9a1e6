package fleet

import (
	"time"
)

// lateStartCheckInterval is the time between two removals of starts that cannot come late any
// more.
const lateStartCheckInterval = time.Second

// lateStart is a start without an answer whose run is no longer tracked: until a time, the
// endpoint's next incarnation may carry it out.
type lateStart struct {
	run   *run
	until time.Time
	// stoppedOn identifies the incarnation that has accepted a stop of the run, or is zero.
	stoppedOn time.Time
}

// mayComeLate reports whether the start of a run that is no longer tracked may still be
// carried out by some incarnation of its endpoint: a stop binds one incarnation alone.
func (r *run) mayComeLate(now time.Time) bool {
	hasAnswer := !r.awaitsAnswer && !r.wasUnconfirmed
	return !hasAnswer && r.seenAt.IsZero() && now.Before(r.sentAt.Add(maxOrderDelay))
}

// noteLateStart remembers the start of a run that is no longer tracked, if it may still be
// carried out.
func (l *Leader) noteLateStart(r *run, now time.Time) {
	if !r.mayComeLate(now) {
		return
	}
	id := r.endpoint.row.ID
	if l.lateStarts[id] == nil {
		l.lateStarts[id] = map[runKey]lateStart{}
	}
	late := lateStart{run: r, until: r.sentAt.Add(maxOrderDelay)}
	if !r.stopAcceptedAt.IsZero() {
		late.stoppedOn = r.endpoint.startedAt
	}
	l.lateStarts[id][r.key] = late
}

// forgetLateStart forgets a start that has been carried out, or answered.
func (l *Leader) forgetLateStart(id EndpointID, key runKey) {
	delete(l.lateStarts[id], key)
	if len(l.lateStarts[id]) == 0 {
		delete(l.lateStarts, id)
	}
}

// hasLateStart reports whether a start that was given up may yet be carried out on an
// endpoint.
func (l *Leader) hasLateStart(id EndpointID, now time.Time) bool {
	for _, late := range l.lateStarts[id] {
		if now.Before(late.until) {
			return true
		}
	}
	return false
}

// expireLateStarts forgets the starts that cannot be carried out any more, also those on
// endpoints that are no longer known.
func (l *Leader) expireLateStarts(now time.Time) {
	if now.Sub(l.lateStartsCheckedAt) < lateStartCheckInterval {
		return
	}
	l.lateStartsCheckedAt = now
	for id, starts := range l.lateStarts {
		for key, late := range starts {
			if !now.Before(late.until) {
				l.forgetLateStart(id, key)
			}
		}
	}
}

// stopLateStarts tracks again the runs whose starts may be carried out late on an endpoint
// that has reported, unless this incarnation has accepted their stops: their tasks do not
// start until it has.
func (l *Leader) stopLateStarts(e *endpoint, now time.Time) {
	for key, late := range l.lateStarts[e.row.ID] {
		if late.stoppedOn.Equal(e.startedAt) {
			continue
		}
		l.forgetLateStart(e.row.ID, key)
		if e.runs[key] != nil || !now.Before(late.until) {
			continue
		}
		l.trackLateStart(e, late.run, now)
	}
}

// trackLateStart tracks a run again whose start may be carried out late, to stop it.
func (l *Leader) trackLateStart(e *endpoint, given *run, now time.Time) {
	r := &run{
		key: given.key, endpoint: e, state: runStopping, reason: "start may be carried out late", percent: 100,
		incarnation: given.incarnation, lease: given.lease, awaitsAnswer: given.awaitsAnswer, wasUnconfirmed: true,
		orderedAt: given.orderedAt, sentAt: given.sentAt, answeredAt: given.answeredAt, stopAt: now, reserved: given.reserved,
	}
	if j := l.jobs[r.key.task.Job]; j != nil {
		r.job, r.onTrial = j, j.isSuspect(r.key.task)
		j.dropPending(r.key.task)
	}
	e.addRun(r)
	if r.job != nil {
		l.trackRun(r)
	}
	l.log("run may start late", "job", r.key.task.Job, "step", r.key.task.Step, "index", r.key.task.Index, "run", r.key.run,
		"endpoint", e.row.ID, "life", e.startedAt.UnixMilli(), "sent-ago", age(r.sentAt, now))
}
