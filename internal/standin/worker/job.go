package worker

import (
	"encoding/json"
	"time"

	api "github.com/lovagedyke/lovagedyke/internal/worker"

	"github.com/lovagedyke/lovagedyke/internal/duration"
)

// Job is what a task's body asks of the stand-in, if the body is such JSON. It
// is the truth from which a task's declared size and run time may be far off.
type Job struct {
	RunTime duration.Text `json:"run-time,omitzero"`
	CPUs    float64       `json:"cpus,omitempty"`
	Memory  int64         `json:"memory,omitempty"`
	// Fail, if set, is the reason with which the job fails at its end.
	Fail string `json:"fail,omitempty"`
}

// readJob takes what the body leaves out from the declaration.
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

// task is one start and how far it got.
type task struct {
	start    api.Start
	job      Job
	state    api.State
	ran      bool
	reason   string
	rate     float64
	progress time.Duration
	began    time.Time
	seen     time.Time
	ended    time.Time
	lease    time.Time
}

// advance brings the task to now: it runs on, ends, or loses its lease,
// whichever came first.
func (t *task) advance(now time.Time) {
	if t.state != api.Running || !now.After(t.seen) {
		return
	}
	end := now
	if t.rate > 0 {
		left := float64(t.job.RunTime.Duration-t.progress) / t.rate
		end = t.seen.Add(time.Duration(left))
	}
	done := t.rate > 0 && !end.After(now)
	switch {
	case !t.lease.After(now) && !(done && end.Before(t.lease)):
		t.finish(api.Lapsed, t.lease, "lease-lapsed")
	case done && t.job.Fail != "":
		t.finish(api.Failed, end, t.job.Fail)
	case done:
		t.finish(api.Done, end, "")
	default:
		t.progress += time.Duration(float64(now.Sub(t.seen)) * t.rate)
		t.seen = now
	}
}

// finish ends the task at that time.
func (t *task) finish(state api.State, at time.Time, reason string) {
	t.state = state
	t.ended = at
	t.reason = reason
}

// usage is what the running task uses of its worker.
func (t *task) usage() api.Resources {
	if t.state != api.Running {
		return api.Resources{}
	}
	return api.Resources{CPUs: t.job.CPUs * t.rate, Memory: t.job.Memory, Accelerators: t.start.Accelerators}
}

// checkpoint encodes the progress for a later start.
func (t *task) checkpoint() []byte {
	data, err := duration.New(t.progress).MarshalText()
	if err != nil {
		return nil
	}
	return data
}
