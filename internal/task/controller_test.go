package task_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/place"
	"github.com/lovagedyke/lovagedyke/internal/task"
)

// calm chooses no faults and delivers all messages.
type calm struct{}

func (calm) intN(_ string, n int) int { return n - 1 }

// settle steps the present manager until it wants nothing done, and returns the
// replies and the number of transactions.
func (w *world) settle(wait time.Duration, rounds int) (replies []task.Reply, commits int) {
	m := w.current()
	for range rounds {
		w.now = w.now.Add(wait)
		for _, action := range m.controller.Step(w.now) {
			switch action := action.(type) {
			case task.Reply:
				replies = append(replies, action)
			case task.Commit:
				commits++
			}
			w.carryOut(m, action)
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
		prepare    func(*world)
		want       task.Outcome
		wantReason string
		wantRetry  bool
	}{
		"taken":          {spec: spec("a", place.Normal, 1), want: task.Accepted},
		"fits no worker": {spec: spec("a", place.Normal, 5), want: task.Refused, wantReason: task.ReasonFitsNoWorker},
		"large body":     {spec: large, want: task.Refused, wantReason: task.ReasonBodyTooLarge},
		"repeated": {spec: spec("a", place.Normal, 1), want: task.Exists, prepare: func(w *world) {
			w.submitSpec(spec("a", place.Normal, 1))
		}},
		"id reused": {
			spec: spec("a", place.Normal, 1), want: task.Refused, wantReason: task.ReasonOtherSpec,
			prepare: func(w *world) { w.submitSpec(spec("a", place.Normal, 2)) },
		},
		"queue full": {
			spec: spec("a", place.Normal, 1), want: task.Refused, wantReason: task.ReasonQueueFull, wantRetry: true,
			prepare: func(w *world) {
				w.current().controller.SetLimits(map[task.TeamQueue]task.Limit{{Queue: queue, Team: "reef"}: {MaxOpen: 1}})
				w.submitSpec(spec("b", place.Normal, 1))
			},
		},
		"table down": {
			spec: spec("a", place.Normal, 1), want: task.Refused, wantReason: task.ReasonTableUnavailable, wantRetry: true,
			prepare: func(w *world) { w.down = true },
		},
		"manager moved": {
			spec: spec("a", place.Normal, 1), want: task.Unknown, wantReason: task.ReasonManagerMoved, wantRetry: true,
			prepare: func(w *world) { w.takeOver(); w.managers = w.managers[:1] },
		},
		"no workers": {
			spec: spec("a", place.Normal, 1), want: task.Refused, wantReason: task.ReasonNoWorkers, wantRetry: true,
			prepare: func(w *world) { w.nodes = nil; w.takeOver() },
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(calm{}, mutantNone)
			if tc.prepare != nil {
				tc.prepare(w)
			}
			replies := w.submitSpec(tc.spec)
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
func (w *world) submitSpec(spec task.Spec) []task.Reply {
	w.request++
	w.specs = append(w.specs, spec)
	w.current().controller.Submit(w.now, w.request, spec)
	replies, _ := w.settle(50*time.Millisecond, 20)
	return replies
}

// TestCancelWave cancels a backlog and wants few transactions and true answers.
func TestCancelWave(t *testing.T) {
	const tasks = 1000
	w := newWorld(calm{}, mutantNone)
	for i := range tasks {
		s := spec(fmt.Sprintf("task-%04d", i), place.Batch, 1)
		w.specs = append(w.specs, s)
		w.current().controller.Submit(w.now, uint64(i), s)
	}
	replies, commits := w.settle(20*time.Millisecond, 200)
	if got, want := len(replies), tasks; got != want {
		t.Fatalf("submissions answered: got %d, want %d", got, want)
	}
	if got, want := commits, tasks/100+10; got > want {
		t.Errorf("transactions to submit: got %d, want at most %d", got, want)
	}
	for i := range tasks {
		w.current().controller.Cancel(w.now, uint64(tasks+i), queue, fmt.Sprintf("task-%04d", i))
	}
	replies, commits = w.settle(20*time.Millisecond, 200)
	if got, want := len(replies), tasks; got != want {
		t.Errorf("cancellations answered: got %d, want %d", got, want)
	}
	if got, want := commits, tasks/100+10; got > want {
		t.Errorf("transactions to cancel: got %d, want at most %d", got, want)
	}
	ran := 0
	for _, record := range w.records() {
		if got, want := record.State, task.Cancelled; got != want {
			t.Fatalf("task %s: got %s, want %s", record.ID, got, want)
		}
		if record.Ran != task.RanNo {
			ran++
		}
	}
	if got, want := ran, laneLimit; got != want {
		t.Errorf("tasks that ran: got %d, want %d", got, want)
	}
}

// TestUrgentStartsSoon fills the pool with tasks of lower classes and wants
// urgent work to start in time, also where only a checkpoint makes room.
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
			w := newWorld(calm{}, mutantNone)
			w.current().controller.SetLimits(nil)
			for i := range 8 {
				s := spec(fmt.Sprintf("batch-%d", i), place.Batch, 4)
				s.Size = size
				w.submitSpec(s)
			}
			urgent := spec("urgent", place.Urgent, 4)
			urgent.Size = size
			w.specs = append(w.specs, urgent)
			began := w.now
			w.current().controller.Submit(w.now, 99, urgent)
			for w.runs["urgent"] == 0 && w.now.Sub(began) < limit {
				w.settle(tick, 1)
			}
			if w.runs["urgent"] == 0 {
				t.Errorf("start: got none after %s, want one", limit)
			}
			t.Logf("started after %s in steps of %s", w.now.Sub(began), tick)
		})
	}
}

// TestLanesShare wants two teams of one queue to run by their weights.
func TestLanesShare(t *testing.T) {
	w := newWorld(calm{}, mutantNone)
	w.current().controller.SetLimits(map[task.TeamQueue]task.Limit{
		{Queue: queue, Team: "reef"}: {Weight: 3},
		{Queue: queue, Team: "tide"}: {Weight: 1},
	})
	for i := range 40 {
		for _, team := range []string{"reef", "tide"} {
			s := spec(fmt.Sprintf("%s-%d", team, i), place.Normal, 1)
			s.Team = team
			w.specs = append(w.specs, s)
			w.current().controller.Submit(w.now, 0, s)
		}
	}
	w.settle(50*time.Millisecond, 60)
	running := map[string]int{}
	for _, record := range w.records() {
		if record.State == task.Running {
			running[record.Team]++
		}
	}
	// 16 processors in all; the world's own limit of three is not this test's.
	if got, want := running["reef"], 12; got != want {
		t.Errorf("reef runs: got %d, want %d", got, want)
	}
	if got, want := running["tide"], 4; got != want {
		t.Errorf("tide runs: got %d, want %d", got, want)
	}
}

// TestLargeResult wants a large result in the object store before its task is
// done, also when the store refuses at first.
func TestLargeResult(t *testing.T) {
	w := newWorld(calm{}, mutantNone)
	w.submitSpec(spec("a", place.Normal, 1))
	record, ok := w.current().controller.Task(queue, "a")
	if got, want := record.State, task.Running; !ok || got != want {
		t.Fatalf("state: got %s, want %s", got, want)
	}
	call := task.Call{Worker: record.Attempt.Worker, StartID: record.StartID()}
	answer := task.Answer{Kind: task.AnswerDone, Incarnation: record.Attempt.Incarnation, Result: make([]byte, 5000)}
	controller := w.current().controller
	for _, stored := range []bool{false, true} {
		controller.HandleCallResult(w.now, call, answer)
		var store *task.Store
		for _, action := range controller.Step(w.now) {
			if found, ok := action.(task.Store); ok {
				store = &found
			}
		}
		if store == nil {
			t.Fatal("store: got none, want one")
		}
		controller.HandleStoreResult(w.now, *store, stored)
	}
	w.settle(50*time.Millisecond, 20)
	record, _ = controller.Task(queue, "a")
	if got, want := record.State, task.Done; got != want {
		t.Errorf("state: got %s, want %s", got, want)
	}
	if got, want := record.ResultObject, "result/plans/a.1"; got != want {
		t.Errorf("result: got %q, want %q", got, want)
	}
}

// TestRetention removes the row of an ended task once its time is over.
func TestRetention(t *testing.T) {
	w := newWorld(calm{}, mutantNone)
	w.submitSpec(spec("a", place.Normal, 1))
	w.current().controller.Cancel(w.now, 1, queue, "a")
	w.settle(50*time.Millisecond, 40)
	if got, want := len(w.records()), 1; got != want {
		t.Fatalf("rows: got %d, want %d", got, want)
	}
	w.settle(600*time.Hour, 4)
	w.settle(50*time.Millisecond, 20)
	if got, want := len(w.records()), 0; got != want {
		t.Errorf("rows after their time: got %d, want %d", got, want)
	}
	if _, ok := w.current().controller.Task(queue, "a"); ok {
		t.Error("task: got one after its time, want none")
	}
}

// A lane whose tasks all run is in the dump: permits are counted from it.
func TestDumpShowsLanesThatOnlyRun(t *testing.T) {
	w := newWorld(calm{}, mutantNone)
	w.current().controller.SetLimits(nil)
	const tasks = 5
	for i := range tasks {
		s := spec(fmt.Sprintf("reef-%d", i), place.Normal, 1)
		s.Team = "reef"
		w.specs = append(w.specs, s)
		w.current().controller.Submit(w.now, 0, s)
	}
	w.settle(50*time.Millisecond, 60)
	want := 0
	for _, record := range w.records() {
		if record.State == task.Running {
			want++
		}
	}
	if want != tasks {
		t.Fatalf("tasks that run: got %d, want %d", want, tasks)
	}
	got := 0
	for _, lane := range w.current().controller.Dump().TeamQueues {
		got += lane.Running
	}
	if got != want {
		t.Errorf("running in the dump's lanes: got %d, want %d", got, want)
	}
}
