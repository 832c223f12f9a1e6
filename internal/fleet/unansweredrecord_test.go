package fleet_test

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
)

// maxRecorded is the number of unanswered starts that a job's row holds.
const maxRecorded = 64

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
	restartUnderNextLeader := func(w *recutWorld, endpoint fleet.EndpointID) {
		takeOver(w)
		w.pass(4 * time.Second)
		restartBehindCut(w, endpoint)
	}
	cases := map[string]struct {
		step job.Step
		play func(w *recutWorld, endpoint fleet.EndpointID)
	}{
		"endpoint restarts under the next leader": {tasks(1), restartUnderNextLeader},
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
		"lasting":     {lasting, restartUnderNextLeader},
		"gang":        {gang, restartUnderNextLeader},
		"checkpoints": {retried, restartUnderNextLeader},
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

// recordedStarts returns the starts without an answer of a task that its job's row holds.
func (s *simulation) recordedStarts(task job.Task, submission *job.Submission) []job.UnansweredStart {
	s.t.Helper()
	s.writeBatches()
	if s.rows[task.Job] == nil {
		return nil
	}
	progress, err := job.DecodeProgress(submission, s.rows[task.Job])
	if err != nil {
		s.t.Fatal(err)
	}
	return progress.Unanswered(task)
}

// Guards against starts that stay recorded once they have ended or cannot come late, until a job's row has
// no room for others.
func TestRecordsOfUnansweredStartsEnd(t *testing.T) {
	const rounds = 400
	lasting := submission(2, persistentTasks(1, 1))
	cases := map[string]struct {
		end func(s *simulation, start fleet.Start)
	}{
		"failed before a report": {func(s *simulation, start fleet.Start) {
			s.run(start)
			s.endRun(start, fleet.CompletionFailed)
			s.advance(time.Second)
		}},
		"out of reach": {func(s *simulation, start fleet.Start) {
			for end := s.now.Add(30 * time.Second); s.now.Before(end); s.advance(500 * time.Millisecond) {
				s.failRenewal(start.Endpoint, fleet.OrderUnknown)
			}
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, first := startOn(t)
			s.accept(first)
			s.submit(lasting)
			start, ok := s.failStarts(rounds, c.end)
			if !ok {
				t.Fatalf("rounds until run %d: got more than %d", maxRecorded+1, rounds)
			}
			if got := s.recordedStarts(start.Task, lasting); len(got) != 1 || got[0].Run != start.Run {
				t.Errorf("recorded starts: got %d, want that of run %d alone", len(got), start.Run)
			}
		})
	}
}

// failStarts leaves the starts of a task unanswered, one after the other, and ends them, for a number of rounds. It returns
// the first one beyond those that a row holds.
func (s *simulation) failStarts(rounds int, end func(s *simulation, start fleet.Start)) (fleet.Start, bool) {
	for range rounds {
		for _, start := range s.step().Starts {
			s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderUnknown}, s.now)
			if start.Run > maxRecorded {
				return start, true
			}
			end(s, start)
		}
		s.report("a", s.now)
		s.report("b", s.now)
		s.writeBatches()
		s.advance(17 * time.Second)
		s.report("a", s.now)
		s.report("b", s.now)
	}
	return fleet.Start{}, false
}

// Guards against a start that no row holds since its run was taken for lost before its call failed.
func TestStartThatIsLostBeforeItsCallFailsIsRecorded(t *testing.T) {
	s, start := startOn(t)
	for range 2 {
		s.listedGone(downHost("a"), newHost(poolName, "b"))
		s.advance(time.Second)
		s.failRenewal("a", fleet.OrderUnknown)
	}
	s.leader.RemoveEndpoint("a", s.now)
	s.advance(7 * time.Second)
	s.renewLease("b")
	s.failRenewal("a", fleet.OrderUnknown)
	s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderUnknown}, s.now)
	if got := s.recordedStarts(start.Task, submission(1, tasks(1))); len(got) != 1 || got[0].Run != start.Run {
		t.Errorf("recorded starts: got %+v, want run %d", got, start.Run)
	}
}

// Guards against two runs of a task at once: the endpoint of a former leader's start is gone when the next one takes
// over, and may come back under its ID. Where no endpoint does that, its tasks are not to wait.
func TestStartOfFormerLeaderOnEndpointThatIsGone(t *testing.T) {
	const orderDelay = 15 * time.Second
	cases := map[string]struct {
		afterRestarts bool
		// least and most are when the task starts elsewhere, from when its start was sent.
		least, most time.Duration
	}{
		"endpoints restart under their IDs": {true, orderDelay, orderDelay + 5*time.Second},
		"they do not":                       {false, 0, orderDelay},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			onePool := defaultPolicy()
			onePool.Pools = onePool.Pools[:1]
			progress := job.NewProgress()
			sentAt := newSimulation(t, simulationConfig{}).now
			progress.RecordUnanswered(job.Task{Job: jobID(1)}, job.UnansweredStart{Run: 1, Endpoint: "a", SentAt: sentAt, AfterRestarts: c.afterRestarts})
			s := newSimulation(t, simulationConfig{policy: onePool, token: 2, jobs: []fleet.StoredJob{{Submission: submission(1, tasks(1)), Progress: progress}}})
			s.startedAt = s.now.Add(-time.Hour)
			s.addEndpoint("b")
			s.list("a")
			s.listed(newHost(poolName, "a"), newHost(poolName, "b"))
			for s.now.Sub(sentAt) < time.Minute {
				s.advance(100 * time.Millisecond)
				s.renewLease("b")
				s.failRenewal("a", fleet.OrderUnknown)
				s.listed(downHost("a"), newHost(poolName, "b"))
				if len(s.step().Starts) > 0 {
					break
				}
			}
			if got := s.now.Sub(sentAt); got < c.least || got > c.most {
				t.Errorf("start elsewhere: got after %s, want after %s to %s", got, c.least, c.most)
			}
		})
	}
}
