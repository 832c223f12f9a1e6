package fleet

import (
	"slices"
	"time"
)

const (
	// overdueEvery is the time between two searches for overdue runs.
	overdueEvery = 200 * time.Millisecond
	// overdueFactor times the median of a step's ends, plus overdueSlack, is when
	// a run is overdue: tasks of one step take about the same time.
	overdueFactor = 2.5
	overdueSlack  = 500 * time.Millisecond
	// guessFactor and guessSlack are the same for a step of which too few tasks
	// have ended; callers' estimates are far off.
	guessFactor = 5
	guessSlack  = 2 * time.Second
	// endsForMedian is how many tasks have to have ended for a median.
	endsForMedian = 2
	// patienceGrowth times the limit is waited after each stop: some tasks are long.
	patienceGrowth = 3
)

// findOverdue moves tasks off endpoints on which they stand still: a copy is
// started where the step allows copies, and the run is stopped where it does not.
func (l *Leader) findOverdue(orders *Orders, now time.Time) {
	if now.Sub(l.overdueAt) < overdueEvery {
		return
	}
	l.overdueAt = now
	for _, j := range l.live {
		for _, step := range j.steps {
			if !step.step.Persistent && !step.step.Gang {
				l.overdueOf(j, step, orders, now)
			}
		}
	}
}

// overdueOf looks at the runs of one step.
func (l *Leader) overdueOf(j *jobState, step *stepState, orders *Orders, now time.Time) {
	limit := l.overdueLimit(j, step)
	for index := range step.step.Count {
		task := j.taskAt(step.key, index)
		runs := j.active[task]
		if len(runs) != 1 || runs[0].state != runLive {
			continue
		}
		patience := limit
		for range j.overdue[task] {
			patience *= patienceGrowth
		}
		if now.Sub(runs[0].orderedAt) > patience {
			l.moveOverdue(runs[0], step, patience, orders, now)
		}
	}
}

// overdueLimit is how long a step's runs may take.
func (l *Leader) overdueLimit(j *jobState, step *stepState) time.Duration {
	if len(step.took) < endsForMedian {
		return guessFactor*l.durationOf(j, step.step) + guessSlack
	}
	sorted := slices.Sorted(slices.Values(step.took))
	return time.Duration(overdueFactor*float64(sorted[len(sorted)/2])) + overdueSlack
}

// moveOverdue gives an overdue task another endpoint.
func (l *Leader) moveOverdue(r *run, step *stepState, limit time.Duration, orders *Orders, now time.Time) {
	task := r.key.task
	g := group{job: r.job, step: step}
	rooms := slices.DeleteFunc(l.rooms(r.endpoint.row.Pool, now), func(room *endpointRoom) bool { return room.endpoint == r.endpoint })
	if !slices.Contains(r.job.avoid[task], r.endpoint.row.ID) {
		r.job.avoid[task] = append(r.job.avoid[task], r.endpoint.row.ID)
	}
	target := l.choose(g, task, rooms)
	if target == nil {
		return
	}
	l.note("run overdue", "job", task.Job, "step", task.Step, "index", task.Index, "run", r.key.run, "endpoint", r.endpoint.row.ID,
		"age", now.Sub(r.orderedAt).Round(time.Millisecond).String(), "limit", limit.Round(time.Millisecond).String(), "copied", step.step.Speculative)
	r.job.overdue[task]++
	l.suspect(r.endpoint, task.Job, now)
	if !step.step.Speculative {
		l.stopRun(r, "overdue", now)
		return
	}
	if l.underCap(r.job.submission.Account, step.step.Resources, 1) {
		l.start(g, task, target, l.nextRun(r.job, task), orders, now)
	}
}
