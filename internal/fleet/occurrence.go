package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

const (
	// maxIdleOccurrences is the number of a job's occurrences that are looked at in each step
	// although nothing of them has started yet: the ones after them need the same capacity.
	maxIdleOccurrences = 256
	// maxAllIdleOccurrences is the number of those of all jobs, which share it evenly.
	maxAllIdleOccurrences = 1 << 15
)

// occurrenceState is an occurrence with open steps.
type occurrenceState struct {
	// steps counts the open steps, finite those whose tasks are not persistent.
	steps, finite int
	// activeTasks counts the tasks with runs that are or may be on an endpoint.
	activeTasks int
	// hasBegun is true once an endpoint has confirmed the start of a task.
	hasBegun bool
}

// isIdle reports whether all that is open of the occurrence waits for its first start.
func (s *occurrenceState) isIdle() bool {
	return s.activeTasks == 0 && !s.hasBegun
}

// openOccurrences holds the occurrences of a job with open steps.
type openOccurrences struct {
	states map[int]*occurrenceState
	// idle counts those of which nothing has begun or is about to, finite those with steps that can
	// be completed.
	idle, finite int
	// next is the first occurrence that has not been opened.
	next int
}

// add adds an occurrence without open steps.
func (o *openOccurrences) add(occurrence int, state *occurrenceState) {
	o.states[occurrence] = state
	if state.isIdle() {
		o.idle++
	}
}

// stepOpened adds an open step of an occurrence that has been added.
func (o *openOccurrences) stepOpened(key job.StepKey, step job.Step) {
	state := o.states[key.Occurrence]
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
	if state.isIdle() {
		o.idle--
	}
	delete(o.states, key.Occurrence)
}

// begun records that an endpoint has confirmed the start of a task of an occurrence.
func (o *openOccurrences) begun(occurrence int) {
	o.change(occurrence, func(state *occurrenceState) { state.hasBegun = true })
}

// taskActive records that a task of an occurrence has its first active run.
func (o *openOccurrences) taskActive(occurrence int) {
	o.change(occurrence, func(state *occurrenceState) { state.activeTasks++ })
}

// taskInactive records that a task of an occurrence has no active run any more.
func (o *openOccurrences) taskInactive(occurrence int) {
	o.change(occurrence, func(state *occurrenceState) { state.activeTasks-- })
}

// change changes the state of an occurrence, if it is open, and counts it anew.
func (o *openOccurrences) change(occurrence int, apply func(state *occurrenceState)) {
	state := o.states[occurrence]
	if state == nil {
		return
	}
	if state.isIdle() {
		o.idle--
	}
	apply(state)
	if state.isIdle() {
		o.idle++
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
		if o.idle >= l.idleOccurrenceLimit() || o.finite > 0 && !l.rowHasRoomForOccurrence(j) {
			return
		}
		o.next++
		for number := range j.submission.Steps {
			l.openStep(j, job.StepKey{Occurrence: o.next - 1, Step: number}, now)
		}
	}
}

// idleOccurrenceLimit returns how many occurrences of a job may be open although nothing of them has started yet.
func (l *Leader) idleOccurrenceLimit() int {
	return min(maxIdleOccurrences, max(1, maxAllIdleOccurrences/max(1, len(l.live))))
}

// openStep makes one step of an open occurrence ready if its predecessors have completed.
func (l *Leader) openStep(j *jobState, key job.StepKey, now time.Time) {
	if j.steps[key] != nil || j.over() || key.Occurrence >= j.occurrences.next ||
		j.progress.StepDone(j.submission, key) || !j.progress.StepReady(j.submission, key) {
		return
	}
	opened := &stepState{key: key, step: j.submission.Steps[key.Step], openedAt: now}
	opened.pending = j.openTasks(key, opened.step.Count)
	j.steps[key] = opened
	if j.occurrences.states[key.Occurrence] == nil {
		j.occurrences.add(key.Occurrence, j.occurrenceStateOf(key.Occurrence))
	}
	j.occurrences.stepOpened(key, opened.step)
	j.rowUse.openSteps += stepBytes(opened.step)
}

// occurrenceStateOf returns the state of an occurrence without open steps, by its active tasks and by
// what has ended.
func (j *jobState) occurrenceStateOf(occurrence int) *occurrenceState {
	state := &occurrenceState{}
	for number := range j.submission.Steps {
		key := job.StepKey{Occurrence: occurrence, Step: number}
		state.activeTasks += j.activeTasks[key]
		state.hasBegun = state.hasBegun || j.progress.StepHasEnds(key)
	}
	return state
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
