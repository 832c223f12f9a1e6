package fleet

import (
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

const (
	// maxHold is how long a trial is held until its record is stored. After that its
	// endpoints get other work.
	maxHold = time.Second
	// maxRecordedTrials and maxRecordedStarts bound the trials, and the other starts, that a
	// job's row holds.
	maxRecordedTrials = 128
	maxRecordedStarts = 64
	// maxRecordedNameBytes bounds the names of endpoints and hosts in these.
	maxRecordedNameBytes = 8 << 10
)

// heldTrial is a trial that is sent once its record is stored: a crash under it is known then
// even if the leader changes before it has learnt of it.
type heldTrial struct {
	job *jobState
	// starts are those of one task, or of all members of a gang.
	starts []Start
	// change is the change of the job's progress that records them.
	change uint64
	since  time.Time
}

// holdTrial records a run on trial and holds its start until the record is stored, and with it the
// crashes for which its task is suspected.
func (l *Leader) holdTrial(r *run, start Start, now time.Time) {
	r.isHeld, r.awaitsAnswer = true, false
	l.recordStart(r)
	change := l.pendingChange(r.job)
	if last := len(l.heldTrials) - 1; last >= 0 && l.heldTrials[last].includes(r) {
		l.heldTrials[last].starts = append(l.heldTrials[last].starts, start)
		return
	}
	l.heldTrials = append(l.heldTrials, heldTrial{job: r.job, starts: []Start{start}, change: change, since: now})
}

// includes reports whether a run belongs to the gang on trial.
func (t heldTrial) includes(r *run) bool {
	first := t.starts[0]
	return t.job == r.job && first.Run == r.key.run && t.job.crashUnit(first.Task) == t.job.crashUnit(r.key.task)
}

// recordStart records a run of which it is not known yet whether it crashes its endpoint.
func (l *Leader) recordStart(r *run) {
	limit := maxRecordedStarts
	if r.onTrial {
		limit += maxRecordedTrials
	}
	if r.job.progress.StartCount() >= limit || r.job.progress.StartNameBytes() >= maxRecordedNameBytes {
		return
	}
	e := r.endpoint
	l.markDirty(r.job)
	r.job.progress.RecordStart(r.key.task, job.StartedRun{
		Run: r.key.run, Endpoint: string(e.row.ID), EndpointStart: e.startedAt, Host: string(e.hostID()), OnTrial: r.onTrial,
	})
}

// forgetStart removes the record of a run of which the outcome is known.
func (l *Leader) forgetStart(r *run) {
	if r.job != nil && r.job.progress.ForgetStart(r.key.task, r.key.run) && !r.job.over() {
		l.markDirty(r.job)
	}
}

// sendTrials sends the trials whose record is stored.
func (l *Leader) sendTrials(orders *Orders, now time.Time) {
	var waiting []heldTrial
	for _, t := range l.heldTrials {
		switch {
		case l.isAnyEvacuated(t):
			l.withdrawTrial(t, now)
		case l.isStored(t.job, t.change):
			l.sendTrial(t, orders, now)
		case now.Sub(t.since) >= maxHold:
			l.withdrawTrial(t, now)
		default:
			waiting = append(waiting, t)
		}
	}
	l.heldTrials = waiting
}

// isAnyEvacuated reports whether the data centre of one of the trial's endpoints is evacuated.
func (l *Leader) isAnyEvacuated(t heldTrial) bool {
	return slices.ContainsFunc(t.starts, func(start Start) bool {
		e := l.endpoints[start.Endpoint]
		return e != nil && l.isEvacuated(e)
	})
}

// sendTrial sends a trial unless something has changed since it was decided. A gang is sent as
// a whole or not at all.
func (l *Leader) sendTrial(t heldTrial, orders *Orders, now time.Time) {
	for _, start := range t.starts {
		if !l.ConfirmStart(start, now) {
			l.withdrawTrial(t, now)
			return
		}
	}
	for _, start := range t.starts {
		e := l.endpoints[start.Endpoint]
		r := e.runs[runKey{start.Task, start.Run}]
		r.isHeld, r.awaitsAnswer, r.orderedAt = false, true, now
		r.lease = e.nextLease(now, l.leaseDuration())
		start.Lease, start.clock = r.lease, e.minClock(now)-leaseMargin
		orders.Starts = append(orders.Starts, start)
	}
}

// withdrawTrial withdraws what is left of a trial that has not been sent. The next one waits until
// the record is stored.
func (l *Leader) withdrawTrial(t heldTrial, now time.Time) {
	for _, start := range t.starts {
		e := l.endpoints[start.Endpoint]
		if e == nil || e.runs[runKey{start.Task, start.Run}] == nil {
			continue
		}
		l.log("trial withdrawn", "job", start.Task.Job, "occurrence", start.Task.Occurrence, "step", start.Task.Step, "index", start.Task.Index,
			"run", start.Run, "endpoint", start.Endpoint, "stored", l.isStored(t.job, t.change), "held", age(t.since, now))
		l.untrackRun(e.runs[runKey{start.Task, start.Run}])
		l.requeue(t.job, start.Task, now)
	}
	if record := t.job.crashRecordOf(t.starts[0].Task); record != nil && !t.job.over() {
		record.withdrawn = l.markDirty(t.job)
	}
}

// isFormerRun reports whether a former leader started a run.
func (l *Leader) isFormerRun(number int64) bool {
	return number <= int64(l.config.Token-1)*runsPerToken
}

// formerStart is a run that a former leader started, and whose end nobody reports.
type formerStart struct {
	job     *jobState
	task    job.Task
	started job.StartedRun
}

// endpointLife identifies an incarnation of an endpoint.
type endpointLife struct {
	endpoint string
	start    int64
}

// settleFormerStarts judges the runs that former leaders recorded, once all runs of their jobs are known that are
// left. A run whose endpoint has ended may have crashed it.
func (l *Leader) settleFormerStarts(unknown unknownRuns, now time.Time) {
	if !l.hasFormerStarts || unknown.isAnywhere {
		return
	}
	l.hasFormerStarts = false
	lost := map[endpointLife][]formerStart{}
	for _, j := range l.live {
		if unknown.mayInclude(j, l.poolOf(j)) {
			l.hasFormerStarts = l.hasFormerStarts || j.progress.StartCount() > 0
			continue
		}
		for _, former := range l.formerStarts(j) {
			life := endpointLife{former.started.Endpoint, former.started.EndpointStart.UnixNano()}
			lost[life] = append(lost[life], former)
		}
	}
	for _, starts := range lost {
		l.judgeFormerStarts(starts, now)
	}
}

// formerStarts returns the runs that former leaders recorded for a job, except those of which it is
// known that they go on, or have ended otherwise than with their endpoint.
func (l *Leader) formerStarts(j *jobState) []formerStart {
	var lost []formerStart
	for key, step := range j.progress.Steps {
		for index, started := range step.Started {
			task := j.taskAt(key, index)
			if !l.isFormerRun(started.Run) || slices.ContainsFunc(j.active[task], func(r *run) bool { return r.key.run == started.Run }) {
				continue
			}
			j.progress.ForgetStart(task, started.Run)
			l.markDirty(j)
			if j.lastRun[task] < started.Run && !j.progress.IsDone(task) && l.mayHaveCrashed(started) {
				lost = append(lost, formerStart{job: j, task: task, started: started})
			}
		}
	}
	return lost
}

// mayHaveCrashed reports whether the endpoint of a run that a former leader recorded may have
// crashed: it does not answer, or is a new incarnation.
func (l *Leader) mayHaveCrashed(started job.StartedRun) bool {
	if h := l.hosts.byID[HostID(started.Host)]; h != nil && (h.shown.State == HostMoving || h.shown.State == HostMaintenance) {
		return false
	}
	e := l.endpoints[EndpointID(started.Endpoint)]
	if e == nil || !e.startedAt.Equal(started.EndpointStart) {
		return true
	}
	return (e.gone || !e.reached) && !l.endsByPlan(e)
}

// judgeFormerStarts counts the end of an endpoint under the runs that former leaders had started
// there: as a crash if it is known to have ended, else as a doubt.
func (l *Leader) judgeFormerStarts(starts []formerStart, now time.Time) {
	suspects := slices.DeleteFunc(slices.Clone(starts), func(s formerStart) bool { return !s.started.OnTrial })
	hasTrials := len(suspects) > 0
	if !hasTrials {
		suspects = starts
	}
	started := starts[0].started
	e := l.endpoints[EndpointID(started.Endpoint)]
	given := suspected
	if e != nil && e.startedAt.Equal(started.EndpointStart) && !e.gone {
		given = unclear
	}
	// What the endpoint was is all that the records tell.
	former := newEndpoint(EndpointRow{ID: EndpointID(started.Endpoint), Host: started.Host, StartedAt: started.EndpointStart}, now)
	cause := &crash{}
	var runs []*run
	for _, s := range suspects {
		runs = append(runs, &run{
			key: runKey{s.task, s.started.Run}, endpoint: former, job: s.job, onTrial: s.started.OnTrial, verdict: given, crash: cause, crashOrder: 1,
		})
	}
	for _, r := range runs {
		r.wasAlone = hasTrials && areOneUnit(runs)
		l.log("run of a former leader lost with its endpoint", "job", r.key.task.Job, "occurrence", r.key.task.Occurrence, "step", r.key.task.Step,
			"index", r.key.task.Index, "run", r.key.run, "endpoint", former.row.ID, "host", former.row.Host, "known-to-have-ended", given == suspected)
		l.countCrash(r, now)
	}
}
