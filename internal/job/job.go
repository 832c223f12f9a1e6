// Package job models jobs: a graph of steps, the tasks of each step, the
// occurrences of a scheduled job, and the progress of all of them.
//
// # Usage
//
//	if problem := submission.Validate(); problem != "" {
//		// refuse: problem is the reason for the caller
//	}
//	progress := job.NewProgress()
//	progress.MarkDone(task)
//	if progress.StepReady(submission, job.StepKey{Occurrence: 0, Step: 1}) { ... }
package job

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/policy"
)

const (
	// MaxSpec is the largest spec in bytes that the platform's API accepts.
	MaxSpec = 4000
	// MaxSteps bounds the steps of a job, whose row must not exceed the store's maximum row size.
	MaxSteps = 200
	// MaxTasks bounds the tasks of one occurrence, so that one job cannot exhaust memory.
	MaxTasks = 20_000
	// idDigits is the length of an ID in hexadecimal digits.
	idDigits = 16
)

// ID identifies a job; the caller chooses it.
type ID string

// Valid reports whether the ID has 16 lower- or upper-case hexadecimal digits.
func (id ID) Valid() bool {
	if len(id) != idDigits {
		return false
	}
	for _, c := range id {
		isHex := c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
		if !isHex {
			return false
		}
	}
	return true
}

// Task identifies one task of a job.
type Task struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// StepKey returns the step to which the task belongs.
func (t Task) StepKey() StepKey {
	return StepKey{Occurrence: t.Occurrence, Step: t.Step}
}

// StepKey identifies one step of one occurrence.
type StepKey struct {
	Occurrence int
	Step       int
}

// Step describes a set of identical tasks.
type Step struct {
	Count     int              `json:"count"`
	Resources policy.Resources `json:"resources"`
	// Estimate is the caller's rough estimate of a task's duration.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists the earlier steps that this step depends on.
	After []int `json:"after,omitempty"`
	// Checkpoint is set if tasks save their progress and can resume from it.
	Checkpoint bool `json:"checkpoint,omitempty"`
	// Gang is set if the tasks only run together, and end together.
	Gang bool `json:"gang,omitempty"`
	// SameRack is set if the tasks are slow when spread over several racks.
	SameRack bool `json:"same-rack,omitempty"`
	// Requires is a label that an endpoint must carry to run the tasks.
	Requires string `json:"requires,omitempty"`
	// Affinity is the rack on which the tasks run at full speed.
	Affinity string `json:"affinity,omitempty"`
	// MaxPerEndpoint bounds the step's tasks on one endpoint; 0 means no limit.
	MaxPerEndpoint int `json:"max-per-endpoint,omitempty"`
	// Speculative is set if several copies of a task may run in parallel.
	Speculative bool `json:"speculative,omitempty"`
	// Persistent is set if the tasks run until the job is cancelled.
	Persistent bool `json:"lasting,omitempty"`
	// Image is the image that the tasks run; tasks with the same image behave alike.
	Image string `json:"image,omitempty"`
	// TailTarget is the target for the tail latency of a serving task.
	TailTarget time.Duration `json:"tail-target,omitempty"`
	// BestEffort is set if the tasks use only idle CPU time, without a reservation.
	BestEffort bool `json:"filler,omitempty"`
	// MaxUnavailable is how many persistent tasks may be unavailable at once for maintenance or moves.
	MaxUnavailable int `json:"may-miss,omitempty"`
}

// Reserved returns the capacity that a task reserves on its host.
func (s Step) Reserved() policy.Resources {
	reserved := s.Resources
	if s.BestEffort {
		reserved.CPU = 0
	}
	return reserved
}

// Submission is an accepted job.
type Submission struct {
	ID    ID     `json:"id"`
	Queue string `json:"queue"`
	// Pool, MaxAttempts, Stretch and Target are copied from the queue at acceptance
	// and apply once the queue has been removed from the configuration.
	Pool        string        `json:"pool"`
	MaxAttempts int           `json:"max-attempts"`
	Priority    int           `json:"priority,omitempty"`
	Stretch     float64       `json:"stretch,omitempty"`
	Target      time.Duration `json:"target,omitempty"`
	// Account is the client account whose key was presented; empty on open queues.
	Account string `json:"account,omitempty"`
	Spec    string `json:"spec,omitempty"`
	Steps   []Step `json:"steps"`
	// Times is the number of occurrences; 0 means one occurrence that is due immediately.
	Times    int           `json:"times,omitempty"`
	Start    time.Time     `json:"start,omitzero"`
	Interval time.Duration `json:"interval,omitempty"`
	Accepted time.Time     `json:"accepted"`
	// Returned is set if the job was refused before it was accepted.
	Returned bool `json:"returned,omitempty"`
}

// Occurrences returns how many times the steps run.
func (s *Submission) Occurrences() int {
	return max(1, s.Times)
}

// Due returns when an occurrence may start; the zero time means immediately.
func (s *Submission) Due(occurrence int) time.Time {
	if s.Times == 0 {
		return time.Time{}
	}
	if s.Interval > 0 && occurrence > int(math.MaxInt64/s.Interval) {
		return s.Start.Add(math.MaxInt64)
	}
	return s.Start.Add(time.Duration(occurrence) * s.Interval)
}

// DueCount returns how many occurrences are due at a time.
func (s *Submission) DueCount(at time.Time) int {
	return sort.Search(s.Occurrences(), func(occurrence int) bool {
		due := s.Due(occurrence)
		return !due.IsZero() && at.Before(due)
	})
}

// Has reports whether a task belongs to the job.
func (s *Submission) Has(task Task) bool {
	isWithin := func(number, count int) bool { return number >= 0 && number < count }
	return isWithin(task.Step, len(s.Steps)) && isWithin(task.Index, s.Steps[task.Step].Count) && isWithin(task.Occurrence, s.Occurrences())
}

// Persistent reports whether the job has persistent tasks.
func (s *Submission) Persistent() bool {
	for _, step := range s.Steps {
		if step.Persistent {
			return true
		}
	}
	return false
}

// Validate returns the reason why the submission is malformed, or "".
func (s *Submission) Validate() string {
	if !s.ID.Valid() {
		return "the job's ID is not 16 hexadecimal digits"
	}
	if len(s.Spec) > MaxSpec {
		return fmt.Sprintf("spec has %d bytes, more than %d", len(s.Spec), MaxSpec)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return fmt.Sprintf("a job has 1 to %d steps, not %d", MaxSteps, len(s.Steps))
	}
	if s.Times < 0 || s.Times > 0 && s.Interval < 0 {
		return "times and interval must not be negative"
	}
	tasks := 0
	for i, step := range s.Steps {
		if problem := step.validate(i); problem != "" {
			return problem
		}
		tasks += step.Count
	}
	if tasks > MaxTasks {
		return fmt.Sprintf("a job has at most %d tasks, not %d", MaxTasks, tasks)
	}
	return ""
}

// validate returns the reason why the step with the given number is malformed, or "".
func (s Step) validate(number int) string {
	if s.Count <= 0 || s.Count > MaxTasks {
		return fmt.Sprintf("step %d has a count of %d", number, s.Count)
	}
	if s.Resources.CPU < 0 || s.Resources.Memory < 0 || s.Resources.GPU < 0 || s.MaxPerEndpoint < 0 || s.MaxUnavailable < 0 {
		return fmt.Sprintf("step %d has a negative amount", number)
	}
	for _, predecessor := range s.After {
		if predecessor < 0 || predecessor >= number {
			return fmt.Sprintf("step %d comes after step %d, which is not an earlier step", number, predecessor)
		}
	}
	return ""
}
