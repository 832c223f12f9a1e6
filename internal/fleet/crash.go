package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

const (
	// provenAfter is how long a run must work to show that its task hardly crashes its
	// endpoint. A run on trial must work for trialDuration; if one of its task had worked for
	// longer before a crash, for longer than that.
	provenAfter   = 200 * time.Millisecond
	trialDuration = 500 * time.Millisecond
	// maxCrashAge is after which time at work a run does not crash its endpoint any more.
	maxCrashAge = 3 * time.Second
	// A host is unsteady if unsteadyCrashes of its endpoints have crashed within
	// unsteadyPeriod.
	unsteadyCrashes = 2
	unsteadyPeriod  = 10 * time.Second
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
	// together is how many endpoints the same evidence shows as ended without a plan.
	together int
}

// verdict is what the end of an endpoint says about one of its runs.
type verdict int

const (
	// notInvolved runs have not crashed the endpoint, or it has not crashed.
	notInvolved verdict = iota
	// unclear runs may not have been carried out, or their endpoint may not have crashed.
	unclear
	// doubtful runs may have crashed it, but others are more likely to.
	doubtful
	// suspected runs are among the few that can have crashed it.
	suspected
)

// workedFor returns for how long the run is known to have worked: its endpoint reported it
// that long after it had confirmed the start. Runs of a former leader have worked before.
func (r *run) workedFor() time.Duration {
	worked := time.Duration(0)
	if r.isFormerLeaders {
		worked = trialDuration
	}
	if r.answeredAt.IsZero() || !r.seenAt.After(r.answeredAt) {
		return worked
	}
	return worked + r.seenAt.Sub(r.answeredAt)
}

// isProven reports whether the run has worked for long enough to show that its task does
// not crash its endpoint.
func (r *run) isProven() bool {
	return r.job == nil || r.workedFor() >= r.crashRecord().requiredWork()
}

// judgeRuns notes what the end of an endpoint says about its runs. It counts once a run is
// found to be lost: a later incarnation may yet report a start that was not answered.
func (l *Leader) judgeRuns(end endpointEnd, now time.Time) {
	if end.isPlanned || len(end.endpoint.runs) == 0 {
		return
	}
	runs := make([]*run, 0, len(end.endpoint.runs))
	for _, r := range end.endpoint.runs {
		if !r.isHeld {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(b.answeredAt.Compare(a.answeredAt), cmp.Compare(a.key.String(), b.key.String()))
	})
	l.logCrash(end, runs, now)
	l.crashes.Endpoints++
	l.recordHostCrash(end.endpoint, now)
	var trials, unproven []*run
	for _, r := range runs {
		if r.onTrial {
			trials = append(trials, r)
		}
		if !r.isProven() {
			unproven = append(unproven, r)
		}
	}
	suspects := unproven
	if len(trials) > 0 {
		suspects, runs = trials, nil
	}
	cause := &crash{}
	for _, r := range runs {
		given := doubtful
		if record := r.crashRecord(); len(suspects) == 0 && record != nil && record.counted.Total > 0 {
			given = suspected
		}
		cause.accuse(r, given, 0)
	}
	for i, r := range suspects {
		cause.accuse(r, suspected, i)
		r.wasAlone = r.onTrial && areOneUnit(trials)
	}
}

// recordHostCrash records that an endpoint on a host has crashed.
func (l *Leader) recordHostCrash(e *endpoint, now time.Time) {
	if h := l.hosts.byID[e.hostID()]; h != nil {
		h.crashedAt = slices.DeleteFunc(h.crashedAt, func(at time.Time) bool { return now.Sub(at) > unsteadyPeriod })
		h.crashedAt = append(h.crashedAt, now)
	}
}

// isUnsteady reports whether endpoints on the endpoint's host have crashed again and again.
func (l *Leader) isUnsteady(e *endpoint, now time.Time) bool {
	h := l.hosts.byID[e.hostID()]
	if h == nil {
		return false
	}
	recent := 0
	for _, at := range h.crashedAt {
		if now.Sub(at) <= unsteadyPeriod {
			recent++
		}
	}
	return recent >= unsteadyCrashes
}

// areOneUnit reports whether runs are all of one task, or of one gang.
func areOneUnit(runs []*run) bool {
	for _, r := range runs {
		if r.job != runs[0].job || r.job == nil || r.job.crashUnit(r.key.task) != r.job.crashUnit(runs[0].key.task) {
			return false
		}
	}
	return true
}

// accuse gives a run its verdict. A run that has not been confirmed may not have been carried out.
// On trial it is accused all the same if the process has exited: nothing else ran there.
func (c *crash) accuse(r *run, given verdict, order int) {
	if r.workedFor() > maxCrashAge {
		return
	}
	if !r.wasConfirmed() && !(r.onTrial && r.endpoint.hasExited()) {
		given = unclear
	}
	r.verdict, r.crash, r.crashOrder = given, c, order
}

// wasConfirmed reports whether the endpoint has confirmed that it runs the run.
func (r *run) wasConfirmed() bool {
	return !r.answeredAt.IsZero() && (!r.wasUnconfirmed || r.reported)
}

// countCrash applies the verdict on a run that is lost.
func (l *Leader) countCrash(r *run, now time.Time) {
	j, given, cause := r.job, r.verdict, r.crash
	r.verdict, r.crash = notInvolved, nil
	if given == notInvolved || j == nil || j.over() || j.progress.IsDone(r.key.task) {
		return
	}
	unit := j.crashUnit(r.key.task)
	record := j.addCrashRecord(unit, now)
	if record.lastRun == r.key.run {
		return
	}
	if cause == nil {
		cause = &crash{}
	}
	record.lastRun, record.since = r.key.run, now
	record.reached = max(record.reached, min(maxCrashAge, r.workedFor()))
	cause.suspects = append(cause.suspects, suspect{job: j, unit: unit})
	if given != suspected {
		record.doubts = append(record.doubts, doubt{cause: cause, isEarly: r.workedFor() < provenAfter})
		l.storeCrashes(j, unit, record)
		l.logSuspect("loss of a run in doubt", r, record)
		return
	}
	if !record.isSuspect() {
		l.crashes.Suspects++
	}
	record.counted.Total++
	if r.wasAlone && (!record.hasCrashed(r.endpoint) || record.counted.Total >= maxLosses) {
		// Crashes of one host alone may be the host's doing.
		record.counted.Alone++
	}
	record.hosts = append(record.hosts, r.endpoint.crashSite())
	l.storeCrashes(j, unit, record)
	record.order, record.isCleared = r.crashOrder, false
	l.logSuspect("task suspected", r, record)
	isCulprit := record.isCulprit()
	if r.wasAlone {
		l.explainCrashes(record, unit, now)
	}
	record.causes = append(record.causes, cause)
	if isCulprit {
		l.giveUp(j, r.key.task, record, now)
	}
}

// explainCrashes takes a task for the cause of all earlier crashes under it, since it has
// crashed an endpoint alone, and clears the tasks that were suspected only of these.
func (l *Leader) explainCrashes(record *crashRecord, culprit job.Task, now time.Time) {
	causes := slices.Clone(record.causes)
	for _, doubt := range record.doubts {
		causes = append(causes, doubt.cause)
	}
	for _, cause := range causes {
		cause.isExplained = true
		for _, other := range cause.suspects {
			otherRecord := other.job.crashRecords[other.unit]
			if other.unit == culprit || otherRecord == nil {
				continue
			}
			if otherRecord.isExplained() && !otherRecord.isCleared {
				// There may be several such tasks: the count stays.
				l.logCleared(otherRecord, other.unit, "another task crashes endpoints", now)
				otherRecord.isCleared = true
			}
			l.storeCrashes(other.job, other.unit, otherRecord)
		}
	}
}

// updateTrial ends the trial of a run that has worked for long enough. Its task is cleared, and
// its record forgotten once no run of its age crashes an endpoint.
func (l *Leader) updateTrial(r *run, now time.Time) {
	if !r.isProven() {
		return
	}
	l.forgetStart(r)
	record := r.crashRecord()
	if record == nil {
		return
	}
	unit := r.job.crashUnit(r.key.task)
	if r.workedFor() > maxCrashAge {
		l.forgetCrashes(r.job, unit, "its run has worked for long", now)
	} else if !record.isCleared {
		l.logCleared(record, unit, "its run works", now)
		record.isCleared, record.doubts = true, nil
	}
	for _, member := range r.endpoint.runs {
		if member.job == r.job && r.job.crashUnit(member.key.task) == unit {
			member.endTrial()
		}
	}
}

// logCleared logs that a suspected task may start beside other work again.
func (l *Leader) logCleared(record *crashRecord, unit job.Task, why string, now time.Time) {
	if !record.isSuspect() {
		return
	}
	l.log("task cleared", "job", unit.Job, "occurrence", unit.Occurrence, "step", unit.Step, "index", unit.Index, "why", why,
		"crashes", record.counted.Total, "on-trial", record.counted.Alone, "doubts", len(record.doubts), "suspected-ago", age(record.since, now))
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
		"cause", "endpoints crash under a task", "crashes", record.counted.Total, "on-trial", record.counted.Alone,
		"doubts", len(record.doubts), "inherited", record.isInherited)
	l.endJob(j, "job has failed", now)
}

// CrashCounts counts, over a leader's term, endpoints that ended without a plan while they
// had runs, the tasks that were suspected and given up for that, and the endpoints that
// reported after they had been taken for gone.
type CrashCounts struct {
	Endpoints, Suspects, GivenUp, Contradicted int
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
		"evidence-age", age(end.at, now), "report-age", age(e.reportedAt, now), "together", end.together,
		"runs", len(runs), "worked", listed)
}

// logSuspect logs what a lost run says about its task.
func (l *Leader) logSuspect(event string, r *run, record *crashRecord) {
	task := r.key.task
	l.log(event, "job", task.Job, "occurrence", task.Occurrence, "step", task.Step, "index", task.Index, "run", r.key.run, "endpoint", r.endpoint.row.ID,
		"on-trial", r.onTrial, "alone", r.wasAlone, "worked", r.workedFor().Round(time.Millisecond).String(), "crashes", record.counted.Total, "crashes-on-trial", record.counted.Alone,
		"doubts", len(record.doubts), "inherited", record.isInherited)
}
