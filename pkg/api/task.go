package api

import "time"

// TaskRequest is the body of a submission to a queue. The caller declares the
// resources; the system estimates how far the actual usage differs.
type TaskRequest struct {
	CPUs float64 `json:"cpus,omitempty"`
	// Memory is in bytes.
	Memory       int64    `json:"memory,omitempty"`
	Accelerators int      `json:"accelerators,omitempty"`
	RunTime      Duration `json:"run-time,omitempty"`
	// Body is passed to the worker.
	Body []byte `json:"body,omitempty"`
}

// Task is the current state of a task.
type Task struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	// State is submitted, placed, running, done, failed, cancelled or given-up.
	State string `json:"state"`
	// Ran states whether any attempt took place: yes, no or unknown.
	Ran       string    `json:"ran"`
	Reason    string    `json:"reason,omitempty"`
	Attempts  int       `json:"attempts"`
	Submitted time.Time `json:"submitted"`
	Changed   time.Time `json:"changed"`
}
