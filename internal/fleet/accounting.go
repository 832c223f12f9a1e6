package fleet

import (
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// trackRun adds a run to its task's active runs and to its client account's usage.
func (l *Leader) trackRun(r *run) {
	task := r.key.task
	if len(r.job.active[task]) == 0 {
		r.job.activeTasks[task.StepKey()]++
		r.job.occurrences.taskActive(task.Occurrence)
	}
	r.job.active[task] = append(r.job.active[task], r)
	if !r.step().Persistent {
		r.job.rowUse.active++
	}
	account := r.job.submission.Account
	l.inUse[account] = l.inUse[account].Plus(r.capUsage())
}

// untrackRun reverses trackRun and removes the run from its endpoint.
func (l *Leader) untrackRun(r *run) {
	l.startSent(r)
	if !r.endpoint.removeRun(r) || r.job == nil {
		return
	}
	r.leaveGang()
	l.forgetStart(r)
	if !r.step().Persistent {
		r.job.rowUse.active--
	}
	task := r.key.task
	remaining := slices.DeleteFunc(r.job.active[task], func(other *run) bool { return other == r })
	if len(remaining) == 0 {
		r.job.activeTasks[task.StepKey()]--
		r.job.occurrences.taskInactive(task.Occurrence)
		if r.job.activeTasks[task.StepKey()] == 0 {
			delete(r.job.activeTasks, task.StepKey())
		}
		delete(r.job.active, task)
	} else {
		r.job.active[task] = remaining
	}
	account := r.job.submission.Account
	l.inUse[account] = l.inUse[account].Minus(r.capUsage())
}

// capUsage returns what a run counts against its client account's cap: the requested
// resources, even if they are not reserved.
func (r *run) capUsage() policy.Resources {
	if r.job == nil {
		return policy.Resources{}
	}
	return r.job.submission.Steps[r.key.task.Step].Resources
}

// requeue makes a task pending again, unless it is done, another run of it is active, or it
// waits for a start that may come late.
func (l *Leader) requeue(j *jobState, task job.Task, notBefore time.Time) {
	if j == nil || j.over() || len(j.active[task]) > 0 || l.heldTasks[task] > 0 || j.progress.IsDone(task) {
		return
	}
	step := j.steps[task.StepKey()]
	if step == nil || slices.Contains(step.pending, task.Index) {
		return
	}
	step.pending = append(step.pending, task.Index)
	if notBefore.After(step.notBefore) {
		step.notBefore = notBefore
	}
}

// runLost ends a run for which the endpoint has reported no completion.
func (l *Leader) runLost(r *run, reason string, now time.Time) {
	e := r.endpoint
	l.log("run lost", "job", r.key.task.Job, "step", r.key.task.Step, "index", r.key.task.Index, "run", r.key.run, "endpoint", e.row.ID, "why", reason,
		"state", r.state.String(), "worked", r.workedFor().Round(time.Millisecond).String(), "ordered-ago", age(r.orderedAt, now), "answered-ago", age(r.answeredAt, now),
		"report-age", age(e.reportedAt, now), "life", e.startedAt.UnixMilli(), "listed-life", e.row.StartedAt.UnixMilli(),
		"clock", e.clock.String(), "lease-until", e.leaseUntil.String())
	l.untrackRun(r)
	if !l.noteLateStart(r, now) {
		l.forgetUnanswered(r)
	}
	if r.job == nil {
		return
	}
	l.keepCheckpoint(r, r.checkpoint)
	l.countCrash(r, now)
	l.requeue(r.job, r.key.task, now)
}

// keepCheckpoint stores a run's checkpoint for the next run of its task.
func (l *Leader) keepCheckpoint(r *run, checkpoint string) {
	if checkpoint != "" && r.job != nil {
		r.job.checkpoint[r.key.task] = checkpoint
	}
}

// stopRun marks a run to be stopped, or to be prevented if it has not started.
func (l *Leader) stopRun(r *run, reason string, now time.Time) {
	if r.state == runStopping {
		return
	}
	r.state = runStopping
	r.leaveGang()
	if r.endpoint.runs[r.key] == r {
		r.endpoint.tally.stopping++
	}
	r.reason = reason
	r.stopAt = now
}

// age returns how long ago a time was, for the journal, or "never" if it is zero.
func age(at, now time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return now.Sub(at).Round(time.Millisecond).String()
}
