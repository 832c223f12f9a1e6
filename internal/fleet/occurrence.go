package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

// maxUnbegunOccurrences is the number of a job's occurrences that are looked at in each step
// although nothing of them has started yet: the ones after them need the same capacity.
const maxUnbegunOccurrences = 256

// occurrenceState is an occurrence with open steps.
type occurrenceState struct {
	// steps counts the open steps, finite those whose tasks are not persistent.
	steps, finite int
	// hasBegun is true once a task has been started.
	hasBegun bool
}

// openOccurrences holds the occurrences of a job with open steps.
type openOccurrences struct {
	states map[int]*occurrenceState
	// unbegun counts those of which nothing has started, finite those with steps that can be
	// completed.
	unbegun, finite int
	// next is the first occurrence that has not been opened.
	next int
}

// stepOpened adds an open step.
func (o *openOccurrences) stepOpened(key job.StepKey, step job.Step, hasBegun bool) {
	state := o.states[key.Occurrence]
	if state == nil {
		state = &occurrenceState{hasBegun: hasBegun}
		o.states[key.Occurrence] = state
		if !hasBegun {
			o.unbegun++
		}
	}
	state.steps++
	if !step.Persistent {
		state.finite++
		if state.finite == 1 {
			o.finite++
		}
	}
}

// stepClosed removes an open step.
func (o *openOccurrences) stepClosed(key job.StepKey, step job.Step) {
	state := o.states[key.Occurrence]
	state.steps--
	if !step.Persistent {
		state.finite--
		if state.finite == 0 {
			o.finite--
		}
	}
	if state.steps > 0 {
		return
	}
	if !state.hasBegun {
		o.unbegun--
	}
	delete(o.states, key.Occurrence)
}

// begun records that a task of an occurrence has started.
func (o *openOccurrences) begun(occurrence int) {
	if state := o.states[occurrence]; state != nil && !state.hasBegun {
		state.hasBegun = true
		o.unbegun--
	}
}

// open opens the occurrences that are due, as many as the job's row has room for: each adds to
// what a step looks at, and to what the job's row may hold.
func (l *Leader) open(j *jobState, now, wall time.Time) {
	o := &j.occurrences
	for !j.over() {
		o.next = j.progress.NextOpen(j.submission, o.next)
		if o.next >= j.submission.Occurrences() {
			return
		}
		if due := j.submission.Due(o.next); !due.IsZero() && wall.Before(due) {
			return
		}
		if o.unbegun >= maxUnbegunOccurrences || o.finite > 0 && !l.rowHasRoomForOccurrence(j) {
			return
		}
		o.next++
		for number := range j.submission.Steps {
			l.openStep(j, job.StepKey{Occurrence: o.next - 1, Step: number}, now)
		}
	}
}

// openStep makes one step of an open occurrence ready if its predecessors have completed.
func (l *Leader) openStep(j *jobState, key job.StepKey, now time.Time) {
	if j.steps[key] != nil || j.over() || key.Occurrence >= j.occurrences.next ||
		j.progress.StepDone(j.submission, key) || !j.progress.StepReady(j.submission, key) {
		return
	}
	opened := &stepState{key: key, step: j.submission.Steps[key.Step], openedAt: now}
	for index := range opened.step.Count {
		task := j.taskAt(key, index)
		if !j.progress.IsDone(task) && len(j.active[task]) == 0 {
			opened.pending = append(opened.pending, index)
		}
	}
	j.steps[key] = opened
	j.occurrences.stepOpened(key, opened.step, j.hasBegun(key.Occurrence))
	j.rowUse.openSteps += stepBytes(opened.step)
}

// hasBegun reports whether something of an occurrence runs, or has ended.
func (j *jobState) hasBegun(occurrence int) bool {
	for number := range j.submission.Steps {
		key := job.StepKey{Occurrence: occurrence, Step: number}
		if j.activeTasks[key] > 0 || j.progress.Steps[key] != nil || j.progress.StepDone(j.submission, key) {
			return true
		}
	}
	return false
}

// closeStep closes a step whose tasks have completed, and forgets what was known of these.
func (j *jobState) closeStep(key job.StepKey) {
	step := j.submission.Steps[key.Step]
	for index := range step.Count {
		task := j.taskAt(key, index)
		delete(j.lastRun, task)
		delete(j.checkpoint, task)
		delete(j.avoid, task)
		delete(j.overdueCount, task)
	}
	if j.steps[key] == nil {
		return
	}
	delete(j.steps, key)
	j.occurrences.stepClosed(key, step)
	j.rowUse.openSteps -= stepBytes(step)
}
