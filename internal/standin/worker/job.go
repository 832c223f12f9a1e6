package worker

import (
	"encoding/json"
	"time"

	api "github.com/lovagedyke/lovagedyke/internal/worker"

	"github.com/lovagedyke/lovagedyke/internal/duration"
)

// Job describes what a task really does, if its body is JSON of this form. The run
// time and resources may differ from those that the task declares.
type Job struct {
	RunTime duration.Text `json:"run-time,omitzero"`
	CPUs    float64       `json:"cpus,omitempty"`
	Memory  int64         `json:"memory,omitempty"`
	// Fail, if set, is the reason with which the task fails at its end.
	Fail string `json:"fail,omitempty"`
}

// readJob reads the job from the task's body, and missing values from the task's
// declaration.
func readJob(start api.Start) Job {
	var job Job
	if json.Unmarshal(start.Body, &job) != nil {
		job = Job{}
	}
	if job.RunTime.Duration == 0 {
		job.RunTime = start.RunTime
	}
	if job.CPUs == 0 {
		job.CPUs = start.CPUs
	}
	if job.Memory == 0 {
		job.Memory = start.Memory
	}
	return job
}

// task is a task that was started, and its state.
type task struct {
	start     api.Start
	job       Job
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
		left := float64(t.job.RunTime.Duration-t.progress) / t.rate
		end = t.updatedAt.Add(time.Duration(left))
	}
	done := t.rate > 0 && !end.After(now)
	switch {
	case !t.leaseEnd.After(now) && !(done && end.Before(t.leaseEnd)):
		t.finish(api.Lapsed, t.leaseEnd, "lease-lapsed")
	case done && t.job.Fail != "":
		t.finish(api.Failed, end, t.job.Fail)
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
	return api.Resources{CPUs: t.job.CPUs * t.rate, Memory: t.job.Memory, Accelerators: t.start.Accelerators}
}

// checkpoint encodes the progress, from which a later start resumes.
func (t *task) checkpoint() []byte {
	data, err := duration.New(t.progress).MarshalText()
	if err != nil {
		return nil
	}
	return data
}
