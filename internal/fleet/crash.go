package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

const (
	// maxCrashes is the number of endpoints that crash under a task before its job fails.
	// After a takeover it is maxInheritedCrashes: the former leader may not have recorded
	// the last one.
	maxCrashes          = 3
	maxInheritedCrashes = 2
	// provenAfter is how long a run must work to show that its task does not crash its
	// endpoint. If one has crashed after a longer time, it must work for longer than that.
	provenAfter = 200 * time.Millisecond
	// maxCrashAge is for how long a run must work at most.
	maxCrashAge = 10 * time.Second
	// doubtsToSuspect is the number of losses, each with another likely cause, after which
	// a task is suspected nevertheless.
	doubtsToSuspect = 2
	// commonCauseCrashes is the number of endpoints whose crash at one time has a common
	// cause, rather than one task each.
	commonCauseCrashes = 4
	// maxLoggedRuns bounds the runs that a log line lists.
	maxLoggedRuns = 16
)

// endpointEnd is evidence that an endpoint's incarnation has ended.
type endpointEnd struct {
	endpoint *endpoint
	reason   string
	// isPlanned is true if the endpoint was drained, or its host moved or maintained.
	isPlanned bool
	// isRestart is true if a new incarnation under the same ID shows the end.
	isRestart bool
	// at is when the evidence was requested.
	at time.Time
	// together is how many endpoints the same evidence shows as ended without a plan, and
	// isWholeRack true if these are all endpoints of a rack, and several.
	together    int
	isWholeRack bool
}

// hasCommonCause reports whether endpoints have ended together.
func (d endpointEnd) hasCommonCause() bool {
	return d.together >= commonCauseCrashes || d.isWholeRack
}

// verdict is what the end of an endpoint says about one of its runs.
type verdict int

const (
	// notInvolved runs have not crashed the endpoint, or it has not crashed.
	notInvolved verdict = iota
	// doubtful runs may have crashed it, but another cause is more likely.
	doubtful
	// suspected runs are among the few that can have crashed it.
	suspected
)

// crash is the end of an endpoint for which several tasks are suspected.
type crash struct {
	suspects []suspect
}

// suspect is a task, or a gang, that is suspected for a crash.
type suspect struct {
	job  *jobState
	unit job.Task
}

// crashRecord is what is known of a task, or of a gang, under which endpoints have ended.
type crashRecord struct {
	// crashes counts the endpoints that crashed under it while it was suspected; they are
	// in the job's progress. batch is the batch that stores them.
	crashes int
	batch   uint64
	// doubts counts the other ends.
	doubts int
	// cause is the crash for which it was first suspected, and order its place among the
	// suspects: the run that was started last comes first.
	cause *crash
	order int
	// reached is for how long its runs are known to have worked before such ends.
	reached time.Duration
	// lastRun is the run that was counted last: the members of a gang share it.
	lastRun int64
	// since is when it was last suspected.
	since time.Time
}

// isSuspect reports whether the task may only start on trial.
func (c *crashRecord) isSuspect() bool {
	return c != nil && (c.crashes > 0 || c.doubts >= doubtsToSuspect)
}

// requiredWork returns for how long a run of the task must work to clear it.
func (c *crashRecord) requiredWork() time.Duration {
	if c == nil {
		return provenAfter
	}
	return min(c.reached, maxCrashAge) + provenAfter
}

// crashUnit returns the task on which crashes under a task are counted: the members of a gang
// start and end together, and are counted on the first.
func (j *jobState) crashUnit(task job.Task) job.Task {
	if step, ok := j.stepOf(task); ok && step.Gang {
		task.Index = 0
	}
	return task
}

// crashRecordOf returns what is known of a task, or nil.
func (j *jobState) crashRecordOf(task job.Task) *crashRecord {
	if len(j.crashRecords) == 0 {
		return nil
	}
	return j.crashRecords[j.crashUnit(task)]
}

// loadCrashRecords takes over what a former leader has recorded.
func (j *jobState) loadCrashRecords(now time.Time) {
	for key, step := range j.progress.Steps {
		for index, crashes := range step.Crashes {
			unit := job.Task{Job: j.submission.ID, Occurrence: key.Occurrence, Step: key.Step, Index: index}
			j.addCrashRecord(unit, now).crashes = crashes
		}
	}
}

// addCrashRecord returns the record of a unit, which it creates if there is none.
func (j *jobState) addCrashRecord(unit job.Task, now time.Time) *crashRecord {
	if j.crashRecords == nil {
		j.crashRecords = map[job.Task]*crashRecord{}
	}
	if j.crashRecords[unit] == nil {
		j.crashRecords[unit] = &crashRecord{since: now}
	}
	return j.crashRecords[unit]
}

// workedFor returns for how long the run is known to have worked: its endpoint reported it
// that long after it had confirmed the start. Runs of a former leader have worked before.
func (r *run) workedFor() time.Duration {
	worked := time.Duration(0)
	if r.isFormerLeaders {
		worked = provenAfter
	}
	if r.answeredAt.IsZero() || !r.seenAt.After(r.answeredAt) {
		return worked
	}
	return worked + r.seenAt.Sub(r.answeredAt)
}

// isProven reports whether the run has worked for long enough to show that its task does
// not crash its endpoint.
func (r *run) isProven() bool {
	if r.job == nil {
		return true
	}
	return r.workedFor() >= r.job.crashRecordOf(r.key.task).requiredWork()
}

// judgeRuns notes what the end of an endpoint says about its runs. It counts once a run is
// found to be lost: a later incarnation may yet report a start that was not answered.
func (l *Leader) judgeRuns(end endpointEnd, now time.Time) {
	if end.isPlanned || len(end.endpoint.runs) == 0 {
		return
	}
	runs := make([]*run, 0, len(end.endpoint.runs))
	for _, r := range end.endpoint.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(b.answeredAt.Compare(a.answeredAt), cmp.Compare(a.key.String(), b.key.String()))
	})
	l.logCrash(end, runs, now)
	l.crashes.Endpoints++
	var trials, unproven []*run
	for _, r := range runs {
		if r.onTrial {
			trials = append(trials, r)
		}
		if !r.isProven() {
			unproven = append(unproven, r)
		}
	}
	cause := &crash{}
	switch {
	case len(trials) > 0:
		cause.accuse(trials, len(trials))
	case len(unproven) > 0 && end.hasCommonCause():
		cause.accuse(unproven, 1)
	case len(unproven) > 0:
		cause.accuse(unproven, len(unproven))
	default:
		cause.accuse(runs, 0)
	}
}

// accuse gives runs their verdict, in the order in which they are suspected: the first ones
// are suspects, the others in doubt. Only a run that has been confirmed can be known to have
// crashed its endpoint.
func (c *crash) accuse(runs []*run, suspects int) {
	for i, r := range runs {
		switch {
		case r.workedFor() > maxCrashAge:
		case i >= suspects || !r.wasConfirmed():
			r.verdict = doubtful
		default:
			r.verdict, r.crash, r.crashOrder = suspected, c, i
		}
	}
}

// wasConfirmed reports whether the endpoint has confirmed that it runs the run.
func (r *run) wasConfirmed() bool {
	return !r.answeredAt.IsZero() && (!r.wasUnconfirmed || r.reported)
}

// countCrash applies the verdict on a run that is lost.
func (l *Leader) countCrash(r *run, now time.Time) {
	j, given := r.job, r.verdict
	r.verdict = notInvolved
	if given == notInvolved || j == nil || j.over() || j.progress.IsDone(r.key.task) {
		return
	}
	unit := j.crashUnit(r.key.task)
	record := j.addCrashRecord(unit, now)
	if record.lastRun == r.key.run {
		return
	}
	record.lastRun, record.since = r.key.run, now
	record.reached = max(record.reached, min(maxCrashAge, r.workedFor()))
	if given == doubtful {
		record.doubts++
		l.logSuspect("loss of a run in doubt", r, record)
		return
	}
	wasSuspect := record.isSuspect()
	record.crashes = j.progress.RecordCrash(unit)
	record.batch = l.markDirty(j)
	record.order = r.crashOrder
	if !wasSuspect {
		l.crashes.Suspects++
	}
	l.logSuspect("task suspected", r, record)
	if record.cause == nil {
		record.cause = r.crash
		r.crash.suspects = append(r.crash.suspects, suspect{job: j, unit: unit})
	} else if r.onTrial {
		l.clearOthers(record.cause, unit, now)
	}
	if record.crashes >= l.maxCrashesOf(j) {
		l.giveUp(j, r.key.task, record, now)
	}
}

// maxCrashesOf returns under how many crashes a task of the job is given up.
func (l *Leader) maxCrashesOf(j *jobState) int {
	if j.inherited {
		return maxInheritedCrashes
	}
	return maxCrashes
}

// clearOthers clears the tasks that were suspected for a crash together with one that has
// crashed another endpoint since, alone.
func (l *Leader) clearOthers(cause *crash, culprit job.Task, now time.Time) {
	for _, other := range cause.suspects {
		record := other.job.crashRecords[other.unit]
		if other.unit != culprit && record != nil && record.cause == cause && record.crashes == 1 {
			l.clearSuspect(other.job, other.unit, "another task crashes endpoints", now)
		}
	}
	cause.suspects = nil
}

// clearSuspect forgets what is known of a task.
func (l *Leader) clearSuspect(j *jobState, unit job.Task, why string, now time.Time) {
	record := j.crashRecords[unit]
	delete(j.crashRecords, unit)
	if record.isSuspect() {
		l.log("task cleared", "job", unit.Job, "occurrence", unit.Occurrence, "step", unit.Step, "index", unit.Index, "why", why,
			"crashes", record.crashes, "doubts", record.doubts, "suspected-ago", age(record.since, now))
	}
	if j.progress.ForgetCrashes(unit) && !j.over() {
		l.markDirty(j)
	}
}

// clearIfProven ends the trial of a run that has worked for long enough, and clears its task.
func (l *Leader) clearIfProven(r *run, now time.Time) {
	if r.job == nil || r.job.crashRecordOf(r.key.task) == nil || !r.isProven() {
		return
	}
	unit := r.job.crashUnit(r.key.task)
	l.clearSuspect(r.job, unit, "its run works", now)
	for index := range r.job.submission.Steps[unit.Step].Count {
		if r.key.task.Index != index && r.job.crashUnit(r.job.taskAt(job.StepKey{Occurrence: unit.Occurrence, Step: unit.Step}, index)) != unit {
			continue
		}
		for _, member := range r.job.active[r.job.taskAt(job.StepKey{Occurrence: unit.Occurrence, Step: unit.Step}, index)] {
			member.endTrial()
		}
	}
}

// endTrial lets the run's endpoint take other work again.
func (r *run) endTrial() {
	if !r.onTrial {
		return
	}
	r.onTrial = false
	if r.endpoint.runs[r.key] == r {
		r.endpoint.tally.trials--
	}
}

// giveUp fails a job of which a task crashes its endpoints.
func (l *Leader) giveUp(j *jobState, task job.Task, record *crashRecord, now time.Time) {
	l.crashes.GivenUp++
	j.progress.State = job.Failed
	l.log("job failed", "job", j.submission.ID, "occurrence", task.Occurrence, "step", task.Step, "index", task.Index,
		"cause", "endpoints crash under a task", "crashes", record.crashes, "most", l.maxCrashesOf(j), "inherited", j.inherited)
	l.endJob(j, "job has failed", now)
}

// CrashCounts counts, over a leader's term, endpoints that ended without a plan while they
// had runs, and the tasks that were suspected and given up for that.
type CrashCounts struct {
	Endpoints, Suspects, GivenUp int
}

// CrashCounts returns the counts since the leader took over.
func (l *Leader) CrashCounts() CrashCounts {
	return l.crashes
}

// logCrash logs which runs an endpoint had when it ended without a plan.
func (l *Leader) logCrash(end endpointEnd, runs []*run, now time.Time) {
	var listed []string
	for _, r := range runs[:min(len(runs), maxLoggedRuns)] {
		listed = append(listed, r.key.String()+" "+r.state.String()+" "+r.workedFor().Round(time.Millisecond).String())
	}
	e := end.endpoint
	l.log("endpoint crashed", "endpoint", e.row.ID, "pool", e.row.Pool, "why", end.reason, "restarted", end.isRestart,
		"evidence-age", age(end.at, now), "report-age", age(e.reportedAt, now), "together", end.together, "whole-rack", end.isWholeRack,
		"runs", len(runs), "worked", listed)
}

// logSuspect logs what a lost run says about its task.
func (l *Leader) logSuspect(event string, r *run, record *crashRecord) {
	task := r.key.task
	l.log(event, "job", task.Job, "occurrence", task.Occurrence, "step", task.Step, "index", task.Index, "run", r.key.run, "endpoint", r.endpoint.row.ID,
		"on-trial", r.onTrial, "worked", r.workedFor().Round(time.Millisecond).String(), "crashes", record.crashes, "doubts", record.doubts,
		"most", l.maxCrashesOf(r.job))
}
