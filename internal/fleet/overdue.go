package fleet

import (
	"slices"
	"time"
)

const (
	// overdueCheckInterval is the time between two searches for overdue runs.
	overdueCheckInterval = 200 * time.Millisecond
	// overdueFactor times the median duration of the step's completed tasks, plus
	// overdueSlack, is when a run is overdue: tasks of one step take similar times.
	overdueFactor = 2.5
	overdueSlack  = 500 * time.Millisecond
	// estimateFactor and estimateSlack apply to the predicted duration if too few of the
	// step's tasks have completed; callers' estimates are inaccurate.
	estimateFactor = 5
	estimateSlack  = 2 * time.Second
	// minCompletionsForMedian is the number of completed tasks needed for a median.
	minCompletionsForMedian = 2
	// overdueBackoffFactor multiplies the limit after each overdue run of a task, since
	// some tasks really are long.
	overdueBackoffFactor = 3
)

// findOverdue replaces runs that make no progress: if the step is speculative, a copy
// starts on another endpoint; otherwise the run is stopped.
func (l *Leader) findOverdue(orders *Orders, now time.Time) {
	if now.Sub(l.overdueCheckedAt) < overdueCheckInterval {
		return
	}
	l.overdueCheckedAt = now
	for _, j := range l.live {
		for _, step := range j.steps {
			if !step.step.Persistent && !step.step.Gang {
				l.checkOverdue(j, step, orders, now)
			}
		}
	}
}

// checkOverdue checks the runs of one step.
func (l *Leader) checkOverdue(j *jobState, step *stepState, orders *Orders, now time.Time) {
	limit := l.overdueLimit(j, step)
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
		if now.Sub(runs[0].orderedAt) > threshold {
			l.replaceOverdue(runs[0], step, threshold, orders, now)
		}
	}
}

// overdueLimit returns the duration after which the step's runs are overdue.
func (l *Leader) overdueLimit(j *jobState, step *stepState) time.Duration {
	if len(step.took) < minCompletionsForMedian {
		return estimateFactor*l.durationOf(j, step.step) + estimateSlack
	}
	sorted := slices.Sorted(slices.Values(step.took))
	return time.Duration(overdueFactor*float64(sorted[len(sorted)/2])) + overdueSlack
}

// replaceOverdue copies or stops an overdue run if another endpoint can take the task.
func (l *Leader) replaceOverdue(r *run, step *stepState, limit time.Duration, orders *Orders, now time.Time) {
	task := r.key.task
	g := taskGroup{job: r.job, step: step}
	candidates := slices.DeleteFunc(l.candidates(r.endpoint.row.Pool, now), func(candidate *candidateEndpoint) bool { return candidate.endpoint == r.endpoint })
	if !slices.Contains(r.job.avoid[task], r.endpoint.row.ID) {
		r.job.avoid[task] = append(r.job.avoid[task], r.endpoint.row.ID)
	}
	target := l.choose(g, task, candidates)
	if target == nil {
		return
	}
	l.log("run overdue", "job", task.Job, "step", task.Step, "index", task.Index, "run", r.key.run, "endpoint", r.endpoint.row.ID,
		"age", now.Sub(r.orderedAt).Round(time.Millisecond).String(), "limit", limit.Round(time.Millisecond).String(), "copied", step.step.Speculative)
	r.job.overdueCount[task]++
	l.suspect(r.endpoint, task.Job, now)
	if !step.step.Speculative {
		l.stopRun(r, "overdue", now)
		return
	}
	if l.underCap(r.job.submission.Account, step.step.Resources, 1) {
		l.start(g, task, target, l.nextRun(r.job, task), orders, now)
	}
}
