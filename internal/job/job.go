// Package job models a job: its steps in a graph, the tasks of each step, the
// occurrences of a scheduled job, and which of them have ended.
//
// # Usage
//
//	if problem := submission.Validate(); problem != "" {
//		// refuse: problem is the reason for the caller
//	}
//	progress := job.NewProgress(submission)
//	progress.Done(task)
//	if progress.StepReady(submission, occurrence, step) { ... }
package job

import (
	"fmt"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/policy"
)

const (
	// MaxSpec is the largest spec in bytes (the platform's page of calls).
	MaxSpec = 4000
	// MaxSteps bounds a job's graph; a job's row has to fit the store's row size.
	MaxSteps = 200
	// MaxTasks bounds the tasks of one occurrence, so that one job cannot fill memory.
	MaxTasks = 20_000
	// idDigits is the length of an ID in hexadecimal digits.
	idDigits = 16
)

// ID names a job; the caller chooses it.
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

// Task names one task.
type Task struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// StepKey names one step of one occurrence.
type StepKey struct {
	Occurrence int
	Step       int
}

// Step is a set of equal tasks.
type Step struct {
	Count     int              `json:"count"`
	Resources policy.Resources `json:"resources"`
	// Estimate is the caller's rough guess of a task's duration.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists earlier steps that must be done first.
	After []int `json:"after,omitempty"`
	// Checkpoint tasks save their progress and can resume from it.
	Checkpoint bool `json:"checkpoint,omitempty"`
	// Gang tasks work only together, and end together.
	Gang bool `json:"gang,omitempty"`
	// SameRack tasks are slow on more than one rack.
	SameRack bool `json:"same-rack,omitempty"`
	// Requires is a label that the endpoint must have.
	Requires string `json:"requires,omitempty"`
	// Affinity is the rack on which the tasks are not slowed down.
	Affinity string `json:"affinity,omitempty"`
	// MaxPerEndpoint bounds the step's tasks on one endpoint; 0 is no bound.
	MaxPerEndpoint int `json:"max-per-endpoint,omitempty"`
	// Speculative tasks may run as parallel copies.
	Speculative bool `json:"speculative,omitempty"`
	// Lasting tasks run until the job is cancelled.
	Persistent bool `json:"lasting,omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// TailTarget bounds the tail of a serving task's response times.
	TailTarget time.Duration `json:"tail-target,omitempty"`
	// Filler tasks use processor time that others leave; it is not reserved.
	BestEffort bool `json:"filler,omitempty"`
	// MayMiss is how many lasting tasks the system may have away at one time.
	MaxUnavailable int `json:"may-miss,omitempty"`
}

// Reserved is what a task takes of a host's capacity.
func (s Step) Reserved() policy.Resources {
	reserved := s.Resources
	if s.BestEffort {
		reserved.CPU = 0
	}
	return reserved
}

// Submission is a job as it was accepted.
type Submission struct {
	ID    ID     `json:"id"`
	Queue string `json:"queue"`
	// Pool, MaxAttempts, Stretch and Target are the queue's at acceptance; they
	// hold when the queue has left the configuration.
	Pool        string        `json:"pool"`
	MaxAttempts int           `json:"max-attempts"`
	Priority    int           `json:"priority,omitempty"`
	Stretch     float64       `json:"stretch,omitempty"`
	Target      time.Duration `json:"target,omitempty"`
	// Account is the client account whose key came with it; empty on open queues.
	Account string `json:"account,omitempty"`
	Spec    string `json:"spec,omitempty"`
	Steps   []Step `json:"steps"`
	// Times is the number of occurrences; 0 is a job that runs once, at once.
	Times    int           `json:"times,omitempty"`
	Start    time.Time     `json:"start,omitzero"`
	Interval time.Duration `json:"interval,omitempty"`
	Accepted time.Time     `json:"accepted"`
}

// Occurrences is how often the steps run.
func (s *Submission) Occurrences() int {
	return max(1, s.Times)
}

// Due returns when an occurrence may start; the zero time is at once.
func (s *Submission) Due(occurrence int) time.Time {
	if s.Times == 0 {
		return time.Time{}
	}
	return s.Start.Add(time.Duration(occurrence) * s.Interval)
}

// Lasting reports whether the job has tasks that run until it is cancelled.
func (s *Submission) Persistent() bool {
	for _, step := range s.Steps {
		if step.Persistent {
			return true
		}
	}
	return false
}

// Validate returns the reason why a submission is malformed, or "".
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

// validate returns the reason why step number is malformed, or "".
func (s Step) validate(number int) string {
	if s.Count <= 0 || s.Count > MaxTasks {
		return fmt.Sprintf("step %d has a count of %d", number, s.Count)
	}
	if s.Resources.CPU < 0 || s.Resources.Memory < 0 || s.Resources.GPU < 0 || s.MaxPerEndpoint < 0 || s.MaxUnavailable < 0 {
		return fmt.Sprintf("step %d has a negative amount", number)
	}
	for _, before := range s.After {
		if before < 0 || before >= number {
			return fmt.Sprintf("step %d comes after step %d, which is not an earlier step", number, before)
		}
	}
	return ""
}
