package job

import (
	"slices"
	"time"
)

// State is the state of a job as reported to callers.
type State string

// States of a job. Complete, Failed and Cancelled are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Complete  State = "complete"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state can no longer change.
func (s State) Final() bool {
	return s == Complete || s == Failed || s == Cancelled
}

// StepProgress records the completed tasks and failed runs of one step of one occurrence.
type StepProgress struct {
	// Done is a bitmap with one bit for each task, least significant bit first.
	Done []byte `json:"done,omitempty"`
	// DoneCount is the number of bits set in Done.
	DoneCount int `json:"done-count,omitempty"`
	// FailedRuns lists the failed runs by task index. A counter would count a run
	// twice, since an endpoint repeats the report of its end until it is acknowledged.
	FailedRuns map[int][]int64 `json:"failed-runs,omitempty"`
	// Crashes counts, by task index, the endpoints that crashed under a task that is
	// suspected of it.
	Crashes map[int]Crashes `json:"crashes,omitempty"`
	// Started holds, by task index, runs of which it is not known yet whether they crash
	// their endpoint.
	Started map[int]StartedRun `json:"started,omitempty"`
}

// StartedRun is a run that was started, and may crash its endpoint.
type StartedRun struct {
	Run      int64  `json:"run"`
	Endpoint string `json:"endpoint"`
	// EndpointStart is when the endpoint's incarnation started, by its host's wall clock.
	EndpointStart time.Time `json:"endpoint-start"`
	// Host is the endpoint's host, or "" if it was not known.
	Host    string `json:"host,omitempty"`
	OnTrial bool   `json:"on-trial,omitempty"`
}

// Crashes counts endpoints that crashed under a task.
type Crashes struct {
	Total int `json:"total"`
	// Alone counts those on which the task ran alone, since it was suspected.
	Alone int `json:"alone,omitempty"`
	// Doubts counts other losses with an endpoint, which have more likely causes.
	Doubts int `json:"doubts,omitempty"`
}

// isDone reports whether the task with the given index has completed.
func (s *StepProgress) isDone(index int) bool {
	return s != nil && index/8 < len(s.Done) && s.Done[index/8]&(1<<(index%8)) != 0
}

// Progress records which tasks of a job have completed. Its row is written before
// the completion is acknowledged to the endpoint that reported it.
type Progress struct {
	State State `json:"state"`
	// Steps holds the steps that have progress; rows encode it as a list.
	Steps map[StepKey]*StepProgress `json:"-"`
}

// NewProgress returns the progress of a queued job without completions.
func NewProgress() *Progress {
	return &Progress{State: Queued, Steps: map[StepKey]*StepProgress{}}
}

// step returns the step's progress and creates it if there is none.
func (p *Progress) step(key StepKey) *StepProgress {
	if p.Steps[key] == nil {
		p.Steps[key] = &StepProgress{}
	}
	return p.Steps[key]
}

// IsDone reports whether a task has completed.
func (p *Progress) IsDone(task Task) bool {
	return p.Steps[StepKey{task.Occurrence, task.Step}].isDone(task.Index)
}

// MarkDone records the completion of a task. It returns false if it was already recorded.
func (p *Progress) MarkDone(task Task) bool {
	step := p.step(StepKey{task.Occurrence, task.Step})
	if step.isDone(task.Index) {
		return false
	}
	for len(step.Done) <= task.Index/8 {
		step.Done = append(step.Done, 0)
	}
	step.Done[task.Index/8] |= 1 << (task.Index % 8)
	step.DoneCount++
	return true
}

// MarkFailed records a failed run of a task and returns how many runs of the
// task have failed. added is false if the run was already recorded.
func (p *Progress) MarkFailed(task Task, run int64) (failures int, added bool) {
	step := p.step(StepKey{task.Occurrence, task.Step})
	runs := step.FailedRuns[task.Index]
	if slices.Contains(runs, run) {
		return len(runs), false
	}
	if step.FailedRuns == nil {
		step.FailedRuns = map[int][]int64{}
	}
	step.FailedRuns[task.Index] = append(runs, run)
	return len(runs) + 1, true
}

// RecordCrashes records the endpoints that crashed under a task, and reports whether that
// changes the record.
func (p *Progress) RecordCrashes(task Task, crashes Crashes) bool {
	step := p.step(StepKey{task.Occurrence, task.Step})
	if step.Crashes[task.Index] == crashes {
		return false
	}
	if crashes == (Crashes{}) {
		delete(step.Crashes, task.Index)
		return true
	}
	if step.Crashes == nil {
		step.Crashes = map[int]Crashes{}
	}
	step.Crashes[task.Index] = crashes
	return true
}

// RecordStart records a run of a task before it is started, in place of an earlier one.
func (p *Progress) RecordStart(task Task, started StartedRun) {
	step := p.step(StepKey{task.Occurrence, task.Step})
	if step.Started == nil {
		step.Started = map[int]StartedRun{}
	}
	step.Started[task.Index] = started
}

// HasStart reports whether the start of a run is recorded.
func (p *Progress) HasStart(task Task, run int64) bool {
	step := p.Steps[StepKey{task.Occurrence, task.Step}]
	if step == nil {
		return false
	}
	started, ok := step.Started[task.Index]
	return ok && started.Run == run
}

// ForgetStart removes the record of a run's start, and reports whether there was one.
func (p *Progress) ForgetStart(task Task, run int64) bool {
	if !p.HasStart(task, run) {
		return false
	}
	delete(p.Steps[StepKey{task.Occurrence, task.Step}].Started, task.Index)
	return true
}

// StartCount returns how many starts are recorded.
func (p *Progress) StartCount() int {
	count := 0
	for _, step := range p.Steps {
		count += len(step.Started)
	}
	return count
}

// FailureCount returns how many runs of a task have failed.
func (p *Progress) FailureCount(task Task) int {
	step := p.Steps[StepKey{task.Occurrence, task.Step}]
	if step == nil {
		return 0
	}
	return len(step.FailedRuns[task.Index])
}

// StepDone reports whether all tasks of a step have completed.
func (p *Progress) StepDone(s *Submission, key StepKey) bool {
	step := p.Steps[key]
	return step != nil && step.DoneCount >= s.Steps[key.Step].Count
}

// StepReady reports whether all predecessors of a step have completed.
func (p *Progress) StepReady(s *Submission, key StepKey) bool {
	for _, predecessor := range s.Steps[key.Step].After {
		if !p.StepDone(s, StepKey{key.Occurrence, predecessor}) {
			return false
		}
	}
	return true
}

// OccurrenceDone reports whether all tasks of an occurrence have completed.
func (p *Progress) OccurrenceDone(s *Submission, occurrence int) bool {
	for step := range s.Steps {
		if !p.StepDone(s, StepKey{occurrence, step}) {
			return false
		}
	}
	return true
}

// AllDone reports whether all tasks of all occurrences have completed.
func (p *Progress) AllDone(s *Submission) bool {
	for occurrence := range s.Occurrences() {
		if !p.OccurrenceDone(s, occurrence) {
			return false
		}
	}
	return true
}
