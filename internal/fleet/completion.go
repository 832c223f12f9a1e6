package fleet

import (
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

// handleCompletion processes a completion, which an endpoint reports until it is acknowledged.
// It returns false if the completion cannot be applied yet: that of an unknown job
// must not be acknowledged before the store has shown whether the job exists.
func (l *Leader) handleCompletion(e *endpoint, completion Completion, now time.Time) bool {
	if completion.Number <= e.lastRead {
		return true
	}
	if l.jobs[completion.Task.Job] == nil && !l.isAbsent(completion.Task.Job) {
		l.requestLookup(completion.Task.Job)
		return false
	}
	e.lastRead = completion.Number
	change := l.applyCompletion(e, completion, now)
	l.unpersisted[e.row.ID] = e
	e.unpersisted = append(e.unpersisted, unpersistedCompletion{number: completion.Number, change: change, job: l.jobs[completion.Task.Job]})
	return true
}

// applyCompletion applies a completion. It returns the change that has to be stored before the
// completion may be acknowledged, or 0.
func (l *Leader) applyCompletion(e *endpoint, completion Completion, now time.Time) uint64 {
	key := runKey{completion.Task, completion.Run}
	r := e.runs[key]
	l.releaseLateStart(e.row.ID, key, now)
	var took time.Duration
	if r != nil {
		l.forgetUnanswered(r)
		took = now.Sub(r.orderedAt)
		if completion.Checkpoint == "" {
			completion.Checkpoint = r.checkpoint
		}
		if r.awaitsAnswer {
			if e.endedUnanswered == nil {
				e.endedUnanswered = map[runKey]bool{}
			}
			e.endedUnanswered[key] = true
		}
		l.untrackRun(r)
		if completion.Kind == CompletionDone {
			e.endedAt, e.overdueSinceEnd = now, 0
		}
	}
	j := l.jobs[completion.Task.Job]
	if j == nil {
		return 0
	}
	if _, ok := j.stepOf(completion.Task); !ok {
		return 0
	}
	if r != nil {
		l.runBegan(r, now)
	}
	l.taskBegan(j, completion.Task, now)
	j.recordRun(key)
	l.log("run ended", "job", completion.Task.Job, "step", completion.Task.Step, "index", completion.Task.Index, "run", completion.Run,
		"endpoint", e.row.ID, "how", string(completion.Kind), "took", took.Round(time.Millisecond).String())
	switch completion.Kind {
	case CompletionDone:
		l.compareRun(r, completion, took)
		return l.taskDone(e, j, completion, took, now)
	case CompletionFailed:
		return l.taskFailed(e, j, completion, now)
	default:
		if completion.Checkpoint != "" {
			j.checkpoint[completion.Task] = completion.Checkpoint
		}
		l.requeue(j, completion.Task, now)
		return 0
	}
}

// taskDone records a successful run; for a gang, it completes all members.
func (l *Leader) taskDone(e *endpoint, j *jobState, completion Completion, took time.Duration, now time.Time) uint64 {
	e.failureStreak = failureStreak{}
	key := completion.Task.StepKey()
	step := j.submission.Steps[key.Step]
	if step.Persistent {
		// A persistent task has to run again, however its run ended.
		l.requeue(j, completion.Task, now)
		return 0
	}
	if opened := j.steps[key]; opened != nil && took > 0 {
		opened.took = append(opened.took, took)
		j.forecast.madeAt = time.Time{}
		l.durationsOf(j.submission.Queue).Observe(step.Estimate, took)
	}
	indexes := []int{completion.Task.Index}
	if step.Gang {
		// The completion of one member stands for the whole gang.
		indexes = nil
		for index := range step.Count {
			indexes = append(indexes, index)
		}
	}
	changed := false
	for _, index := range indexes {
		task := completion.Task
		task.Index = index
		changed = j.progress.MarkDone(task) || changed
		if j.crashRecords[task] != nil {
			l.forgetCrashes(j, task, "it is done", now)
		}
		j.dropPending(task)
		for _, duplicate := range slices.Clone(j.active[task]) {
			if !step.Gang {
				l.stopRun(duplicate, "another run of the task has completed", now)
			}
		}
	}
	if !changed {
		return l.pendingChange(j)
	}
	if j.progress.State == job.Queued {
		j.progress.State = job.Running
	}
	change := l.markDirty(j)
	if j.progress.StepDone(j.submission, key) {
		j.progress.CloseStep(j.submission, key)
		for number := range j.submission.Steps {
			l.openStep(j, job.StepKey{Occurrence: key.Occurrence, Step: number}, now)
		}
		j.closeStep(key)
	}
	l.completeIfDone(j, now)
	return change
}

// taskFailed records a failed run.
func (l *Leader) taskFailed(e *endpoint, j *jobState, completion Completion, now time.Time) uint64 {
	l.suspect(e, completion.Task.Job, now)
	step := j.submission.Steps[completion.Task.Step]
	if completion.Checkpoint != "" {
		j.checkpoint[completion.Task] = completion.Checkpoint
	}
	if !slices.Contains(j.avoid[completion.Task], e.row.ID) {
		j.avoid[completion.Task] = append(j.avoid[completion.Task], e.row.ID)
	}
	if step.Persistent {
		l.requeue(j, completion.Task, now)
		return 0
	}
	counted := completion.Task
	if step.Gang {
		// The gang fails as a whole and is counted on its first member.
		counted.Index = 0
	}
	failures, changed := j.progress.MarkFailed(counted, completion.Run)
	if !changed {
		// Another member of the gang has failed before in the same attempt, or the end is reported again.
		l.requeue(j, completion.Task, now)
		return l.pendingChange(j)
	}
	j.rowUse.failed++
	change := l.markDirty(j)
	if failures >= l.maxAttemptsOf(j) && !j.over() {
		l.fail(j, completion.Task, failures, now)
		return change
	}
	l.requeue(j, completion.Task, now)
	return change
}

// suspect counts a failed or overdue run against an endpoint. After consecutive
// ones of several jobs, the endpoint gets no work for a while.
func (l *Leader) suspect(e *endpoint, id job.ID, now time.Time) {
	if e.failureStreak.jobs == nil {
		e.failureStreak.jobs = map[job.ID]bool{}
	}
	e.failureStreak.jobs[id] = true
	if len(e.failureStreak.jobs) < failureStreakLimit {
		return
	}
	e.failureStreak.pause = min(maxSuspectPause, max(suspectPause, 2*e.failureStreak.pause))
	e.failureStreak.jobs = nil
	e.pausedUntil = now.Add(e.failureStreak.pause)
	l.log("endpoint suspected", "endpoint", e.row.ID, "pool", e.row.Pool, "pause", e.failureStreak.pause.String())
}
