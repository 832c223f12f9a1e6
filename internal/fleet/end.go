package fleet

import (
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

// ended takes an end that an endpoint lists. Ends are listed until acknowledged.
// It reports whether the end was applied: one of a job that is not known must
// not be acknowledged before the store has told whether there is such a job.
func (l *Leader) ended(e *endpoint, ended Completion, now time.Time) bool {
	if ended.Number <= e.seen {
		return true
	}
	if l.jobs[ended.Task.Job] == nil && !l.isAbsent(ended.Task.Job) {
		l.fetch(ended.Task.Job)
		return false
	}
	e.seen = ended.Number
	batch := l.applyEnd(e, ended, now)
	e.unwritten = append(e.unwritten, unwrittenEnd{number: ended.Number, batch: batch})
	return true
}

// applyEnd returns the number of the batch that has to be written before the
// end may be acknowledged, or 0.
func (l *Leader) applyEnd(e *endpoint, ended Completion, now time.Time) uint64 {
	key := runKey{ended.Task, ended.Run}
	known := e.runs[key]
	var took time.Duration
	if known != nil {
		took = now.Sub(known.orderedAt)
		if ended.Checkpoint == "" {
			ended.Checkpoint = known.saved
		}
		l.release(known)
	}
	j := l.jobs[ended.Task.Job]
	if j == nil {
		return 0
	}
	if _, ok := j.stepOf(ended.Task); !ok {
		return 0
	}
	j.noteRun(key)
	l.note("run ended", "job", ended.Task.Job, "step", ended.Task.Step, "index", ended.Task.Index, "run", ended.Run,
		"endpoint", e.row.ID, "how", string(ended.Kind), "took", took.Round(time.Millisecond).String())
	switch ended.Kind {
	case CompletionDone:
		return l.taskDone(e, j, ended, took, now)
	case CompletionFailed:
		return l.taskFailed(e, j, ended, now)
	default:
		if ended.Checkpoint != "" {
			j.saved[ended.Task] = ended.Checkpoint
		}
		l.requeue(j, ended.Task, now)
		return 0
	}
}

// taskDone records a task's success, which for a gang is that of all members.
func (l *Leader) taskDone(e *endpoint, j *jobState, ended Completion, took time.Duration, now time.Time) uint64 {
	e.trouble = trouble{}
	key := job.StepKey{Occurrence: ended.Task.Occurrence, Step: ended.Task.Step}
	step := j.submission.Steps[key.Step]
	if step.Persistent {
		// A lasting task has to be there again, however it ended.
		l.requeue(j, ended.Task, now)
		return 0
	}
	if opened := j.steps[key]; opened != nil && took > 0 {
		opened.took = append(opened.took, took)
		l.durationsOf(j.submission.Queue).note(step.Estimate, took)
	}
	indexes := []int{ended.Task.Index}
	if step.Gang {
		// One end represents all members.
		indexes = nil
		for index := range step.Count {
			indexes = append(indexes, index)
		}
	}
	news := false
	for _, index := range indexes {
		task := ended.Task
		task.Index = index
		news = j.progress.MarkDone(task) || news
		j.dropPending(task)
		for _, copied := range slices.Clone(j.active[task]) {
			if !step.Gang {
				l.stopRun(copied, "another run is done", now)
			}
		}
	}
	if !news {
		return l.ledger.batchOf(j)
	}
	if j.progress.State == job.Queued {
		j.progress.State = job.Running
	}
	batch := l.markDirty(j)
	if j.progress.StepDone(j.submission, key) {
		delete(j.steps, key)
		for number := range j.submission.Steps {
			l.openStep(j, job.StepKey{Occurrence: key.Occurrence, Step: number}, now)
		}
	}
	l.settle(j, now)
	return batch
}

// taskFailed records a failed run.
func (l *Leader) taskFailed(e *endpoint, j *jobState, ended Completion, now time.Time) uint64 {
	l.suspect(e, ended.Task.Job, now)
	step := j.submission.Steps[ended.Task.Step]
	if ended.Checkpoint != "" {
		j.saved[ended.Task] = ended.Checkpoint
	}
	if !slices.Contains(j.avoid[ended.Task], e.row.ID) {
		j.avoid[ended.Task] = append(j.avoid[ended.Task], e.row.ID)
	}
	if step.Persistent {
		l.requeue(j, ended.Task, now)
		return 0
	}
	counted := ended.Task
	if step.Gang {
		// The gang fails as one.
		counted.Index = 0
	}
	failures, news := j.progress.MarkFailed(counted, ended.Run)
	if !news {
		return l.ledger.batchOf(j)
	}
	batch := l.markDirty(j)
	if failures >= l.attemptsOf(j) && !j.over() {
		l.fail(j, ended.Task, failures, now)
		return batch
	}
	l.requeue(j, ended.Task, now)
	return batch
}

// suspect counts a failure against an endpoint, which gets a pause after failures
// of several jobs in a row.
func (l *Leader) suspect(e *endpoint, id job.ID, now time.Time) {
	if e.trouble.jobs == nil {
		e.trouble.jobs = map[job.ID]bool{}
	}
	e.trouble.jobs[id] = true
	if len(e.trouble.jobs) < troubleLimit {
		return
	}
	e.trouble.pause = min(troubleMost, max(troublePause, 2*e.trouble.pause))
	e.trouble.jobs = nil
	e.pausedUntil = now.Add(e.trouble.pause)
	l.note("endpoint suspected", "endpoint", e.row.ID, "pool", e.row.Pool, "pause", e.trouble.pause.String())
}
