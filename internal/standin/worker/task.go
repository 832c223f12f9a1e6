package worker

import (
	"encoding/json"
	"time"

	api "github.com/lovagedyke/lovagedyke/internal/worker"

	"github.com/lovagedyke/lovagedyke/internal/duration"
)

// Workload describes what a task really does. It is decoded from the JSON in the
// task's body; its run time and resources may differ from the declared ones.
type Workload struct {
	RunTime duration.Text `json:"run-time,omitzero"`
	CPUs    float64       `json:"cpus,omitempty"`
	Memory  int64         `json:"memory,omitempty"`
	// Fail, if set, is the reason with which the task fails at its end.
	Fail string `json:"fail,omitempty"`
}

// readWorkload decodes the workload from the task's body. Missing values default to
// those that the task declares.
func readWorkload(start api.Start) Workload {
	var workload Workload
	if json.Unmarshal(start.Body, &workload) != nil {
		workload = Workload{}
	}
	if workload.RunTime.Duration == 0 {
		workload.RunTime = start.RunTime
	}
	if workload.CPUs == 0 {
		workload.CPUs = start.CPUs
	}
	if workload.Memory == 0 {
		workload.Memory = start.Memory
	}
	return workload
}

// task is a task that was started, and its state.
type task struct {
	start     api.Start
	workload  Workload
	state     api.State
	ran       bool
	reason    string
	rate      float64
	progress  time.Duration
	startedAt time.Time
	updatedAt time.Time
	endedAt   time.Time
	leaseEnd  time.Time
}

// advance updates the task to the present. If its end and the end of its lease have
// both passed, the earlier one determines its state.
func (t *task) advance(now time.Time) {
	if t.state != api.Running || !now.After(t.updatedAt) {
		return
	}
	end := now
	if t.rate > 0 {
		left := float64(t.workload.RunTime.Duration-t.progress) / t.rate
		end = t.updatedAt.Add(time.Duration(left))
	}
	done := t.rate > 0 && !end.After(now)
	switch {
	case !t.leaseEnd.After(now) && !(done && end.Before(t.leaseEnd)):
		t.finish(api.Lapsed, t.leaseEnd, "lease-lapsed")
	case done && t.workload.Fail != "":
		t.finish(api.Failed, end, t.workload.Fail)
	case done:
		t.finish(api.Done, end, "")
	default:
		t.progress += time.Duration(float64(now.Sub(t.updatedAt)) * t.rate)
		t.updatedAt = now
	}
}

// finish ends the task at the given time.
func (t *task) finish(state api.State, at time.Time, reason string) {
	t.state = state
	t.endedAt = at
	t.reason = reason
}

// usage returns the resources that the task uses, which are none unless it is running.
func (t *task) usage() api.Resources {
	if t.state != api.Running {
		return api.Resources{}
	}
	return api.Resources{CPUs: t.workload.CPUs * t.rate, Memory: t.workload.Memory, Accelerators: t.start.Accelerators}
}

// checkpoint encodes the progress, from which a later start resumes.
func (t *task) checkpoint() []byte {
	data, err := duration.New(t.progress).MarshalText()
	if err != nil {
		return nil
	}
	return data
}
