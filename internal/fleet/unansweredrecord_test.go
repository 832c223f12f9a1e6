package fleet_test

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
)

// Pattern: recut-kill beside orders-late-everywhere. Guards against two runs of a task at once: a start of a former
// leader got no answer, and its endpoint's next life carries it out beside the task's next run.
func TestTaskRunsOnceDespiteLateStartOfFormerLeader(t *testing.T) {
	const (
		startDelay = 9 * time.Second
		stored     = 500 * time.Millisecond
		down       = 600 * time.Millisecond
	)
	lasting, gang, retried := tasks(1), tasks(2), tasks(1)
	lasting.Persistent, gang.Gang, retried.Checkpoint = true, true, true
	takeOver := func(w *recutWorld) {
		w.killLeader()
		w.pass(takeoverTime)
		w.replaceLeader()
	}
	restartBehindCut := func(w *recutWorld, endpoint fleet.EndpointID) {
		w.cutOff(endpoint, false)
		w.pass(stored)
		w.restartDark(endpoint, down)
	}
	cases := map[string]struct {
		step job.Step
		play func(w *recutWorld, endpoint fleet.EndpointID)
	}{
		"endpoint restarts under the next leader": {tasks(1), func(w *recutWorld, endpoint fleet.EndpointID) {
			takeOver(w)
			w.pass(4 * time.Second)
			restartBehindCut(w, endpoint)
		}},
		"endpoint restarts before the takeover": {tasks(1), func(w *recutWorld, endpoint fleet.EndpointID) {
			w.killLeader()
			restartBehindCut(w, endpoint)
			w.pass(takeoverTime)
			w.replaceLeader()
		}},
		"two takeovers": {tasks(1), func(w *recutWorld, endpoint fleet.EndpointID) {
			takeOver(w)
			w.pass(time.Second)
			takeOver(w)
			w.pass(2 * time.Second)
			restartBehindCut(w, endpoint)
		}},
		"endpoint restarts twice": {tasks(1), func(w *recutWorld, endpoint fleet.EndpointID) {
			takeOver(w)
			w.pass(2 * time.Second)
			restartBehindCut(w, endpoint)
			w.pass(2 * time.Second)
			w.restartDark(endpoint, down)
		}},
		"former leader acts on": {tasks(1), func(w *recutWorld, endpoint fleet.EndpointID) {
			w.replaceLeader()
			w.pass(5 * time.Second)
			restartBehindCut(w, endpoint)
		}},
		"lasting": {lasting, func(w *recutWorld, endpoint fleet.EndpointID) {
			takeOver(w)
			w.pass(4 * time.Second)
			restartBehindCut(w, endpoint)
		}},
		"gang": {gang, func(w *recutWorld, endpoint fleet.EndpointID) {
			takeOver(w)
			w.pass(4 * time.Second)
			restartBehindCut(w, endpoint)
		}},
		"checkpoints": {retried, func(w *recutWorld, endpoint fleet.EndpointID) {
			takeOver(w)
			w.pass(4 * time.Second)
			restartBehindCut(w, endpoint)
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newRecutWorld(t, c.step)
			w.pass(time.Second)
			w.startDelay = startDelay
			w.submit(submission(3, c.step)) // its tasks are long
			w.run(time.Second, func() bool { return len(w.late) > 0 })
			if len(w.late) != c.step.Count {
				t.Fatalf("late starts: got %d, want %d", len(w.late), c.step.Count)
			}
			w.startDelay = 0
			w.pass(stored)
			c.play(w, w.late[0].endpoint)
			w.pass(startDelay)
			w.finish()
		})
	}
}

// Guards against a malformed record in a row that stops a leader, or keeps other tasks from starting.
func TestMalformedUnansweredStartsAreIgnored(t *testing.T) {
	cases := map[string]struct {
		task  job.Task
		start job.UnansweredStart
	}{
		"no such step":       {job.Task{Step: 7}, job.UnansweredStart{Run: 1, Endpoint: "i-00"}},
		"no such task":       {job.Task{Index: 9}, job.UnansweredStart{Run: 1, Endpoint: "i-00"}},
		"negative index":     {job.Task{Index: -1}, job.UnansweredStart{Run: 1, Endpoint: "i-00"}},
		"no such occurrence": {job.Task{Occurrence: 5}, job.UnansweredStart{Run: 1, Endpoint: "i-00"}},
		"no run":             {job.Task{}, job.UnansweredStart{Endpoint: "i-00"}},
		"run of this leader": {job.Task{}, job.UnansweredStart{Run: 1 << 40, Endpoint: "i-00"}},
		"no endpoint":        {job.Task{}, job.UnansweredStart{Run: 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newRecutWorld(t, tasks(1))
			w.pass(time.Second)
			w.killLeader()
			w.submit(submission(1, tasks(1)))
			stored := w.jobs[jobID(1)]
			stored.Progress = job.NewProgress()
			c.task.Job, c.start.SentAt = jobID(1), w.now
			stored.Progress.RecordUnanswered(c.task, c.start)
			w.replaceLeader()
			const enough = 5 * time.Second
			w.run(enough, w.areComplete)
			if got := w.state(jobID(1)); got != job.Complete {
				t.Errorf("job after %s: got %s, want it complete", enough, got)
			}
		})
	}
}
