package fleet

import (
	"math"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/runtimes"
)

const (
	// overdueCheckInterval is the time between two searches for overdue runs.
	overdueCheckInterval = 200 * time.Millisecond
	// overdueBackoffFactor multiplies the limit after each overdue run of a task, since
	// some tasks really are long.
	overdueBackoffFactor = 3
)

// OverdueCounts counts, over a leader's term, the overdue runs that were stopped, copied, and
// kept since their tasks are long by themselves.
type OverdueCounts struct {
	Stopped, Copied, Kept int
}

// OverdueCounts returns the counts since the leader took over.
func (l *Leader) OverdueCounts() OverdueCounts {
	return l.overdue
}

// findOverdue replaces runs that make no progress, or that a new run is expected to overtake:
// if the step is speculative, a copy starts on another endpoint; otherwise the run is stopped.
func (l *Leader) findOverdue(orders *Orders, now time.Time) {
	if now.Sub(l.overdueCheckedAt) < overdueCheckInterval {
		return
	}
	l.overdueCheckedAt = now
	l.visit(len(l.live))
	for _, j := range l.live {
		for _, step := range j.steps {
			if !step.step.Persistent && !step.step.Gang && j.activeTasks[step.key] > 0 {
				l.checkOverdue(j, step, orders, now)
			}
		}
	}
}

// checkOverdue checks the runs of one step.
func (l *Leader) checkOverdue(j *jobState, step *stepState, orders *Orders, now time.Time) {
	usual, limit := l.expectationOf(j, step)
	l.visit(step.step.Count)
	for index := range step.step.Count {
		task := j.taskAt(step.key, index)
		runs := j.active[task]
		if len(runs) != 1 || runs[0].state != runLive || runs[0].onTrial {
			continue
		}
		threshold := limit
		for range j.overdueCount[task] {
			threshold *= overdueBackoffFactor
		}
		if age := now.Sub(runs[0].orderedAt); age > threshold || step.step.Speculative && age > usual {
			l.decideOverdue(l.overdueRun(runs[0], usual, threshold, now), runs[0], step, orders, now)
		}
	}
}

// expectationOf returns the usual duration of the step's tasks, and the duration after which
// its runs are overdue.
func (l *Leader) expectationOf(j *jobState, step *stepState) (usual, limit time.Duration) {
	return runtimes.Expectation(l.durationOf(j, step.step), step.took)
}

// overdueRun returns what is known of a run. Signs of progress are judged as of the
// endpoint's newest report: without one, they are not missing.
func (l *Leader) overdueRun(r *run, usual, limit time.Duration, now time.Time) runtimes.Run {
	e := r.endpoint
	idleSince := func(times ...time.Time) time.Duration {
		return max(0, e.reportedAt.Sub(slices.MaxFunc(append(times, r.orderedAt), time.Time.Compare)))
	}
	sinceEnd, beside := idleSince(e.endedAt), e.overdueSinceEnd
	if sinceEnd > limit {
		// Below, they decide nothing.
		beside += l.overdueBeside(r, now)
	}
	return runtimes.Run{
		Age: now.Sub(r.orderedAt), Usual: usual, Limit: limit, IsSpeculative: r.step().Speculative,
		Slowness: e.slowness.Factor(),
		Idle:     idleSince(r.activity.WorkedAt()), EndpointIdle: idleSince(e.workedAt, e.endedAt), SinceEnd: sinceEnd,
		ReportsWork: e.reportsWork, OverdueBeside: beside,
	}
}

// overdueBeside counts the other overdue runs on the run's endpoint.
func (l *Leader) overdueBeside(r *run, now time.Time) int {
	overdue := 0
	for _, other := range r.endpoint.runs {
		if other == r || other.job == nil || other.state != runLive {
			continue
		}
		step := other.job.steps[other.key.task.StepKey()]
		if step == nil || step.step.Persistent || step.step.Gang {
			continue
		}
		if _, limit := l.expectationOf(other.job, step); now.Sub(other.orderedAt) > limit {
			overdue++
		}
	}
	return overdue
}

// decideOverdue keeps, copies or stops a run.
func (l *Leader) decideOverdue(known runtimes.Run, r *run, step *stepState, orders *Orders, now time.Time) {
	decision := l.durationsOf(r.job.submission.Queue).Decide(known)
	if decision.Action != runtimes.Keep {
		l.replaceOverdue(known, decision, r, step, orders, now)
		return
	}
	if known.Age > known.Limit && !r.isKeptLogged {
		r.isKeptLogged = true
		l.overdue.Kept++
		l.logOverdue(known, decision, r)
	}
}

// replaceOverdue copies or stops an overdue run if another endpoint can take the task.
func (l *Leader) replaceOverdue(known runtimes.Run, decision runtimes.Decision, r *run, step *stepState, orders *Orders, now time.Time) {
	task := r.key.task
	g := taskGroup{job: r.job, step: step}
	candidates := slices.DeleteFunc(l.candidates(r.endpoint.row.Pool, now), func(candidate *candidateEndpoint) bool { return candidate.endpoint == r.endpoint })
	if !slices.Contains(r.job.avoid[task], r.endpoint.row.ID) {
		r.job.avoid[task] = append(r.job.avoid[task], r.endpoint.row.ID)
	}
	target := l.choose(g, task, candidates, now)
	isCopy := decision.Action == runtimes.Copy
	if target == nil || isCopy && !l.underCap(r.job.submission.Account, step.step.Resources, 1) {
		return
	}
	l.logOverdue(known, decision, r)
	r.job.overdueCount[task]++
	r.endpoint.overdueSinceEnd++
	if decision.IsFault {
		l.suspect(r.endpoint, task.Job, now)
	}
	if isCopy {
		l.overdue.Copied++
		l.start(g, task, target, l.nextRun(r.job, task), orders, now)
		return
	}
	l.overdue.Stopped++
	l.stopRun(r, "overdue", now)
}

// logOverdue logs what becomes of an overdue run, and the inputs of the decision.
func (l *Leader) logOverdue(known runtimes.Run, decision runtimes.Decision, r *run) {
	task := r.key.task
	round := func(d time.Duration) string { return d.Round(time.Millisecond).String() }
	hundredths := func(factor float64) float64 { return math.Round(100*factor) / 100 }
	l.log("run overdue", "job", task.Job, "step", task.Step, "index", task.Index, "run", r.key.run, "endpoint", r.endpoint.row.ID,
		"decision", string(decision.Action), "copied", decision.Action == runtimes.Copy, "cause", decision.Reason, "age", round(known.Age), "limit", round(known.Limit),
		"expected-rest", round(decision.Rest), "expected-new-run", round(decision.NewRun), "usual", round(known.Usual),
		"endpoint-slowness", hundredths(known.Slowness), "idle", round(known.Idle), "endpoint-idle", round(known.EndpointIdle),
		"overdue-beside", known.OverdueBeside)
}
