package task_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/place"
	"github.com/lovagedyke/lovagedyke/internal/task"
)

// noFaults is a chooser that injects no faults and delivers all messages.
type noFaults struct{}

func (noFaults) intN(_ string, n int) int { return n - 1 }

// runSteps steps the current manager a number of rounds, executes its actions, and
// returns the replies and the number of transactions.
func (sim *simulation) runSteps(wait time.Duration, rounds int) (replies []task.Reply, commits int) {
	m := sim.current()
	for range rounds {
		sim.now = sim.now.Add(wait)
		actions := m.controller.Step(sim.now)
		sim.checkStarts(m, actions)
		for _, action := range actions {
			switch action := action.(type) {
			case task.Reply:
				replies = append(replies, action)
			case task.Commit:
				commits++
			}
			sim.execute(m, action)
		}
	}
	return replies, commits
}

func spec(id string, class place.Class, cpus float64) task.Spec {
	return task.Spec{ID: id, Queue: queue, Team: "reef", Class: class, Size: place.Size{CPUs: cpus, Memory: 1 << 20}}
}

func TestSubmit(t *testing.T) {
	large := spec("a", place.Normal, 1)
	large.Body = []byte(strings.Repeat("x", 5000))
	tests := map[string]struct {
		spec       task.Spec
		prepare    func(*simulation)
		want       task.Outcome
		wantReason string
		wantRetry  bool
	}{
		"accepted":       {spec: spec("a", place.Normal, 1), want: task.Accepted},
		"fits no worker": {spec: spec("a", place.Normal, 5), want: task.Refused, wantReason: task.ReasonFitsNoWorker},
		"large body":     {spec: large, want: task.Refused, wantReason: task.ReasonBodyTooLarge},
		"repeated": {spec: spec("a", place.Normal, 1), want: task.Exists, prepare: func(sim *simulation) {
			sim.submitSpec(spec("a", place.Normal, 1))
		}},
		"id reused": {
			spec: spec("a", place.Normal, 1), want: task.Refused, wantReason: task.ReasonOtherSpec,
			prepare: func(sim *simulation) { sim.submitSpec(spec("a", place.Normal, 2)) },
		},
		"queue full": {
			spec: spec("a", place.Normal, 1), want: task.Refused, wantReason: task.ReasonQueueFull, wantRetry: true,
			prepare: func(sim *simulation) {
				sim.current().controller.SetLimits(map[task.TeamQueue]task.Limit{{Queue: queue, Team: "reef"}: {MaxOpen: 1}})
				sim.submitSpec(spec("b", place.Normal, 1))
			},
		},
		"table down": {
			spec: spec("a", place.Normal, 1), want: task.Refused, wantReason: task.ReasonTableUnavailable, wantRetry: true,
			prepare: func(sim *simulation) { sim.down = true },
		},
		"manager moved": {
			spec: spec("a", place.Normal, 1), want: task.Unknown, wantReason: task.ReasonManagerMoved, wantRetry: true,
			prepare: func(sim *simulation) { sim.takeOver(); sim.managers = sim.managers[:1] },
		},
		"no workers": {
			spec: spec("a", place.Normal, 1), want: task.Refused, wantReason: task.ReasonNoWorkers, wantRetry: true,
			prepare: func(sim *simulation) { sim.workers = nil; sim.takeOver() },
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(noFaults{}, mutantNone)
			if tc.prepare != nil {
				tc.prepare(sim)
			}
			replies := sim.submitSpec(tc.spec)
			if len(replies) != 1 {
				t.Fatalf("replies: got %+v, want one", replies)
			}
			if got, want := replies[0].Outcome, tc.want; got != want {
				t.Errorf("outcome: got %s, want %s", got, want)
			}
			if got, want := replies[0].Reason, tc.wantReason; got != want {
				t.Errorf("reason: got %q, want %q", got, want)
			}
			if got, want := replies[0].RetryAfter > 0, tc.wantRetry; got != want {
				t.Errorf("retry after: got %s, want some %v", replies[0].RetryAfter, want)
			}
		})
	}
}

// submitSpec submits one task and returns the replies.
func (sim *simulation) submitSpec(spec task.Spec) []task.Reply {
	sim.request++
	sim.specs = append(sim.specs, spec)
	sim.current().controller.Submit(sim.now, sim.request, spec)
	replies, _ := sim.runSteps(50*time.Millisecond, 20)
	return replies
}

// TestCancelBacklog checks that cancelling a backlog takes few transactions, that
// each cancellation is answered, and that only running tasks are recorded as run.
func TestCancelBacklog(t *testing.T) {
	const tasks = 1000
	sim := newSimulation(noFaults{}, mutantNone)
	for i := range tasks {
		s := spec(fmt.Sprintf("task-%04d", i), place.Batch, 1)
		sim.specs = append(sim.specs, s)
		sim.current().controller.Submit(sim.now, uint64(i), s)
	}
	replies, commits := sim.runSteps(20*time.Millisecond, 200)
	if got, want := len(replies), tasks; got != want {
		t.Fatalf("submissions answered: got %d, want %d", got, want)
	}
	if got, want := commits, tasks/100+10; got > want {
		t.Errorf("transactions to submit: got %d, want at most %d", got, want)
	}
	for i := range tasks {
		sim.current().controller.Cancel(sim.now, uint64(tasks+i), queue, fmt.Sprintf("task-%04d", i))
	}
	replies, commits = sim.runSteps(20*time.Millisecond, 200)
	if got, want := len(replies), tasks; got != want {
		t.Errorf("cancellations answered: got %d, want %d", got, want)
	}
	if got, want := commits, tasks/100+10; got > want {
		t.Errorf("transactions to cancel: got %d, want at most %d", got, want)
	}
	ran := 0
	for _, record := range sim.records() {
		if got, want := record.State, task.Cancelled; got != want {
			t.Fatalf("task %s: got %s, want %s", record.ID, got, want)
		}
		if record.Ran != task.RanNo {
			ran++
		}
	}
	if got, want := ran, teamLimit; got != want {
		t.Errorf("tasks that ran: got %d, want %d", got, want)
	}
}

// TestUrgentStartsSoon checks that an urgent task starts in time on a pool full of
// batch tasks, also where only checkpointing one of them frees capacity.
func TestUrgentStartsSoon(t *testing.T) {
	const (
		limit = 2100 * time.Millisecond
		tick  = 50 * time.Millisecond
	)
	tests := map[string]place.Size{
		"processors": {CPUs: 4, Memory: 1 << 20},
		"memory":     {CPUs: 1, Memory: 4 << 30},
	}
	for name, size := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(noFaults{}, mutantNone)
			sim.current().controller.SetLimits(nil)
			for i := range 8 {
				s := spec(fmt.Sprintf("batch-%d", i), place.Batch, 4)
				s.Size = size
				sim.submitSpec(s)
			}
			urgent := spec("urgent", place.Urgent, 4)
			urgent.Size = size
			sim.specs = append(sim.specs, urgent)
			submitted := sim.now
			sim.current().controller.Submit(sim.now, 99, urgent)
			for sim.runs["urgent"] == 0 && sim.now.Sub(submitted) < limit {
				sim.runSteps(tick, 1)
			}
			if sim.runs["urgent"] == 0 {
				t.Errorf("start: got none after %s, want one", limit)
			}
			t.Logf("started after %s in steps of %s", sim.now.Sub(submitted), tick)
		})
	}
}

// TestTeamsShareByWeight checks that two teams of one queue run tasks in
// proportion to their weights.
func TestTeamsShareByWeight(t *testing.T) {
	sim := newSimulation(noFaults{}, mutantNone)
	sim.current().controller.SetLimits(map[task.TeamQueue]task.Limit{
		{Queue: queue, Team: "reef"}: {Weight: 3},
		{Queue: queue, Team: "tide"}: {Weight: 1},
	})
	for i := range 40 {
		for _, team := range []string{"reef", "tide"} {
			s := spec(fmt.Sprintf("%s-%d", team, i), place.Normal, 1)
			s.Team = team
			sim.specs = append(sim.specs, s)
			sim.current().controller.Submit(sim.now, 0, s)
		}
	}
	sim.runSteps(50*time.Millisecond, 60)
	running := map[string]int{}
	for _, record := range sim.records() {
		if record.State == task.Running {
			running[record.Team]++
		}
	}
	// The 4 workers have 16 CPUs in all. The simulation's limit of three tasks was
	// replaced above.
	if got, want := running["reef"], 12; got != want {
		t.Errorf("reef runs: got %d, want %d", got, want)
	}
	if got, want := running["tide"], 4; got != want {
		t.Errorf("tide runs: got %d, want %d", got, want)
	}
}

// TestLargeResult checks that a large result is in the object store before its
// task is done, also if the first write to the store fails.
func TestLargeResult(t *testing.T) {
	sim := newSimulation(noFaults{}, mutantNone)
	sim.submitSpec(spec("a", place.Normal, 1))
	record, ok := sim.current().controller.Task(queue, "a")
	if got, want := record.State, task.Running; !ok || got != want {
		t.Fatalf("state: got %s, want %s", got, want)
	}
	call := task.Call{Worker: record.Attempt.Worker, StartID: record.StartID()}
	answer := task.Answer{Kind: task.AnswerDone, Incarnation: record.Attempt.Incarnation, Result: make([]byte, 5000)}
	controller := sim.current().controller
	for _, stored := range []bool{false, true} {
		controller.HandleCallResult(sim.now, call, answer)
		var store *task.Store
		for _, action := range controller.Step(sim.now) {
			if found, ok := action.(task.Store); ok {
				store = &found
			}
		}
		if store == nil {
			t.Fatal("store: got none, want one")
		}
		controller.HandleStoreResult(sim.now, *store, stored)
	}
	sim.runSteps(50*time.Millisecond, 20)
	record, _ = controller.Task(queue, "a")
	if got, want := record.State, task.Done; got != want {
		t.Errorf("state: got %s, want %s", got, want)
	}
	if got, want := record.ResultObject, "result/plans/a.1"; got != want {
		t.Errorf("result: got %q, want %q", got, want)
	}
}

// TestRetention checks that the row of an ended task is removed after the
// retention period.
func TestRetention(t *testing.T) {
	sim := newSimulation(noFaults{}, mutantNone)
	sim.submitSpec(spec("a", place.Normal, 1))
	sim.current().controller.Cancel(sim.now, 1, queue, "a")
	sim.runSteps(50*time.Millisecond, 40)
	if got, want := len(sim.records()), 1; got != want {
		t.Fatalf("rows: got %d, want %d", got, want)
	}
	sim.runSteps(600*time.Hour, 4)
	sim.runSteps(50*time.Millisecond, 20)
	if got, want := len(sim.records()), 0; got != want {
		t.Errorf("rows after the retention period: got %d, want %d", got, want)
	}
	if _, ok := sim.current().controller.Task(queue, "a"); ok {
		t.Error("task: got one after the retention period, want none")
	}
}

// TestDumpListsTeamQueuesWithoutWaitingTasks checks that the dump lists a team
// queue whose tasks are all running, since permits are counted from the dump.
func TestDumpListsTeamQueuesWithoutWaitingTasks(t *testing.T) {
	sim := newSimulation(noFaults{}, mutantNone)
	sim.current().controller.SetLimits(nil)
	const tasks = 5
	for i := range tasks {
		s := spec(fmt.Sprintf("reef-%d", i), place.Normal, 1)
		s.Team = "reef"
		sim.specs = append(sim.specs, s)
		sim.current().controller.Submit(sim.now, 0, s)
	}
	sim.runSteps(50*time.Millisecond, 60)
	want := 0
	for _, record := range sim.records() {
		if record.State == task.Running {
			want++
		}
	}
	if want != tasks {
		t.Fatalf("running tasks: got %d, want %d", want, tasks)
	}
	got := 0
	for _, teamQueue := range sim.current().controller.Dump().TeamQueues {
		got += teamQueue.Running
	}
	if got != want {
		t.Errorf("running tasks in the dump's team queues: got %d, want %d", got, want)
	}
}
