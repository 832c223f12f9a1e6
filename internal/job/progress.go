package job

import (
	"slices"
)

// State is what a caller is told of a job.
type State string

// States of a job. Complete, Failed and Cancelled are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Complete  State = "complete"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the job will not change any more.
func (s State) Final() bool {
	return s == Complete || s == Failed || s == Cancelled
}

// StepProgress is what has ended of one step of one occurrence.
type StepProgress struct {
	// Done has one bit for each task, lowest first.
	Done []byte `json:"done,omitempty"`
	// DoneCount is the number of bits that are set.
	DoneCount int `json:"done-count,omitempty"`
	// FailedRuns lists the runs that ended as failed, by task index. Runs are
	// listed and not counted since an endpoint reports an end until it is acknowledged.
	FailedRuns map[int][]int64 `json:"failed-runs,omitempty"`
}

// isDone reports whether the task with this index has ended as done.
func (s *StepProgress) isDone(index int) bool {
	return s != nil && index/8 < len(s.Done) && s.Done[index/8]&(1<<(index%8)) != 0
}

// Progress is which of a job's tasks have ended. Its row is written before a
// endpoint's report of the end is acknowledged.
type Progress struct {
	State State `json:"state"`
	// Steps is indexed by occurrence and step, with "occurrence.step" as names in its row.
	Steps map[StepKey]*StepProgress `json:"-"`
}

// NewProgress returns the progress of a job of which nothing has ended.
func NewProgress() *Progress {
	return &Progress{State: Queued, Steps: map[StepKey]*StepProgress{}}
}

// step returns the step's progress, which it creates.
func (p *Progress) step(key StepKey) *StepProgress {
	if p.Steps[key] == nil {
		p.Steps[key] = &StepProgress{}
	}
	return p.Steps[key]
}

// IsDone reports whether a task has ended as done.
func (p *Progress) IsDone(task Task) bool {
	return p.Steps[StepKey{task.Occurrence, task.Step}].isDone(task.Index)
}

// MarkDone records an end. It reports whether that was news.
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

// MarkFailed records a failed run of a task and returns how many runs of it
// have failed. It reports whether that was news.
func (p *Progress) MarkFailed(task Task, run int64) (failures int, news bool) {
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

// Failures returns how many runs of the task have failed.
func (p *Progress) FailureCount(task Task) int {
	step := p.Steps[StepKey{task.Occurrence, task.Step}]
	if step == nil {
		return 0
	}
	return len(step.FailedRuns[task.Index])
}

// StepDone reports whether all tasks of a step have ended as done.
func (p *Progress) StepDone(s *Submission, key StepKey) bool {
	step := p.Steps[key]
	return step != nil && step.DoneCount >= s.Steps[key.Step].Count
}

// StepReady reports whether all steps that come before key are done.
func (p *Progress) StepReady(s *Submission, key StepKey) bool {
	for _, before := range s.Steps[key.Step].After {
		if !p.StepDone(s, StepKey{key.Occurrence, before}) {
			return false
		}
	}
	return true
}

// OccurrenceDone reports whether all tasks of an occurrence have ended as done.
func (p *Progress) OccurrenceDone(s *Submission, occurrence int) bool {
	for step := range s.Steps {
		if !p.StepDone(s, StepKey{occurrence, step}) {
			return false
		}
	}
	return true
}

// AllDone reports whether all tasks of all occurrences have ended as done.
func (p *Progress) AllDone(s *Submission) bool {
	for occurrence := range s.Occurrences() {
		if !p.OccurrenceDone(s, occurrence) {
			return false
		}
	}
	return true
}
