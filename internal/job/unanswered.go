package job

import (
	"slices"
	"time"
)

const (
	// maxUnansweredStarts is the number of unanswered starts that a job's row holds.
	maxUnansweredStarts = 64
	// maxUnansweredNameBytes bounds the names of endpoints in these.
	maxUnansweredNameBytes = 4 << 10
)

// UnansweredStart is a start that got no answer: its endpoint may carry it out late.
type UnansweredStart struct {
	Run      int64  `json:"run"`
	Endpoint string `json:"endpoint"`
	// SentAt is when it was sent, by the leader's wall clock.
	SentAt time.Time `json:"sent-at"`
	// AfterRestarts is true if endpoints have been seen to restart under their IDs.
	AfterRestarts bool `json:"after-restarts,omitempty"`
}

// RecordUnanswered records a start that got no answer, and reports whether that changes the record.
// Beyond the bounds of a row it records none.
func (p *Progress) RecordUnanswered(task Task, start UnansweredStart) bool {
	if p.IsDone(task) || p.unansweredCount >= maxUnansweredStarts || p.unansweredNameBytes+len(start.Endpoint) > maxUnansweredNameBytes {
		return false
	}
	step := p.step(task.StepKey())
	if slices.ContainsFunc(step.Unanswered[task.Index], func(known UnansweredStart) bool { return known.Run == start.Run }) {
		return false
	}
	if step.Unanswered == nil {
		step.Unanswered = map[int][]UnansweredStart{}
	}
	step.Unanswered[task.Index] = append(step.Unanswered[task.Index], start)
	p.countUnanswered(start, 1)
	return true
}

// Unanswered returns the recorded starts of a task that got no answer.
func (p *Progress) Unanswered(task Task) []UnansweredStart {
	if step := p.Steps[task.StepKey()]; step != nil {
		return step.Unanswered[task.Index]
	}
	return nil
}

// ForgetUnanswered removes the record of a start that was answered, or cannot be carried out any more.
func (p *Progress) ForgetUnanswered(task Task, run int64) {
	step := p.Steps[task.StepKey()]
	if step == nil {
		return
	}
	kept := slices.DeleteFunc(step.Unanswered[task.Index], func(start UnansweredStart) bool {
		if start.Run == run {
			p.countUnanswered(start, -1)
		}
		return start.Run == run
	})
	if len(kept) > 0 {
		step.Unanswered[task.Index] = kept
		return
	}
	delete(step.Unanswered, task.Index)
	p.dropIfEmpty(task.StepKey())
}

// dropUnanswered removes the records of a task's unanswered starts.
func (p *Progress) dropUnanswered(step *StepProgress, index int) {
	for _, start := range step.Unanswered[index] {
		p.countUnanswered(start, -1)
	}
	delete(step.Unanswered, index)
}

// countUnanswered adds to the measures of the recorded unanswered starts.
func (p *Progress) countUnanswered(start UnansweredStart, count int) {
	p.unansweredCount += count
	p.unansweredNameBytes += count * len(start.Endpoint)
}
