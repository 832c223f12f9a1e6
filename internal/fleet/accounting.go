package fleet

import (
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// trackRun counts a run against its client account and its task.
func (l *Leader) trackRun(r *run) {
	task := r.key.task
	r.job.active[task] = append(r.job.active[task], r)
	account := r.job.submission.Account
	l.inUse[account] = l.inUse[account].Plus(r.capUsage())
}

// untrackRun ends what claim counted, and takes the run off its endpoint.
func (l *Leader) untrackRun(r *run) {
	if r.endpoint.runs[r.key] != r {
		return
	}
	delete(r.endpoint.runs, r.key)
	if r.job == nil {
		return
	}
	task := r.key.task
	left := slices.DeleteFunc(r.job.active[task], func(other *run) bool { return other == r })
	if len(left) == 0 {
		delete(r.job.active, task)
	} else {
		r.job.active[task] = left
	}
	account := r.job.submission.Account
	l.inUse[account] = l.inUse[account].Minus(r.capUsage())
}

// capUsage is what a run counts against its client account's cap: what it asks
// for, reserved or not.
func (r *run) capUsage() policy.Resources {
	if r.job == nil {
		return policy.Resources{}
	}
	return r.job.submission.Steps[r.key.task.Step].Resources
}

// requeue lets a task wait for an endpoint again, if nothing of it runs.
func (l *Leader) requeue(j *jobState, task job.Task, notBefore time.Time) {
	if j == nil || j.over() || len(j.active[task]) > 0 || j.progress.IsDone(task) {
		return
	}
	step := j.steps[job.StepKey{Occurrence: task.Occurrence, Step: task.Step}]
	if step == nil || slices.Contains(step.pending, task.Index) {
		return
	}
	step.pending = append(step.pending, task.Index)
	if notBefore.After(step.notBefore) {
		step.notBefore = notBefore
	}
}

// runLost notes that a run is over without an end that the endpoint listed.
func (l *Leader) runLost(r *run, reason string, now time.Time) {
	l.log("run lost", "job", r.key.task.Job, "step", r.key.task.Step, "index", r.key.task.Index, "run", r.key.run, "endpoint", r.endpoint.row.ID, "why", reason)
	l.untrackRun(r)
	if r.job == nil {
		return
	}
	l.keepCheckpoint(r, r.checkpoint)
	l.requeue(r.job, r.key.task, now)
}

// keepCheckpoint remembers a checkpoint for the next run, or for the gang's.
func (l *Leader) keepCheckpoint(r *run, checkpoint string) {
	if checkpoint != "" && r.job != nil {
		r.job.checkpoint[r.key.task] = checkpoint
	}
}

// stopRun ends a run, or makes sure that it never begins.
func (l *Leader) stopRun(r *run, reason string, now time.Time) {
	if r.state == runStopping {
		return
	}
	r.state = runStopping
	r.reason = reason
	r.stopAt = now
}
