package runner_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/goleak"

	"github.com/lovagedyke/lovagedyke/internal/duration"
	"github.com/lovagedyke/lovagedyke/internal/place"
	"github.com/lovagedyke/lovagedyke/internal/platform"
	fakeplatform "github.com/lovagedyke/lovagedyke/internal/standin/platform"
	fakeworker "github.com/lovagedyke/lovagedyke/internal/standin/worker"
	"github.com/lovagedyke/lovagedyke/internal/task"
	"github.com/lovagedyke/lovagedyke/internal/task/runner"
	"github.com/lovagedyke/lovagedyke/internal/worker"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const (
	pool     = "pool-a"
	patience = 400 * time.Millisecond
	// testTime bounds a test; no verdict rests on how much of it is used.
	testTime = 30 * time.Second
)

// bench is a platform with workers and the runners of one shard.
type bench struct {
	t        testing.TB
	ctx      context.Context
	platform *httptest.Server
	workers  []*httptest.Server
	runners  []*runner.Runner
	stops    []func()
}

func newBench(t testing.TB, workers, runners int) *bench {
	ctx, cancel := context.WithTimeout(context.Background(), testTime)
	t.Cleanup(cancel)
	b := &bench{t: t, ctx: ctx, platform: httptest.NewServer(fakeplatform.New(fakeplatform.Config{}).Handler())}
	t.Cleanup(b.platform.Close)
	for i := range workers {
		name := fmt.Sprintf("worker-%d", i)
		server := httptest.NewServer(fakeworker.New(fakeworker.Config{
			Name: name, Incarnation: "a", Capacity: worker.Resources{CPUs: 4, Memory: 1 << 30},
		}).Handler())
		t.Cleanup(server.Close)
		b.workers = append(b.workers, server)
		b.put(b.platform.URL+"/hosts/"+name, platform.Host{
			Pool: pool, State: platform.Live, Rack: name,
			Endpoints: []platform.Endpoint{{Service: platform.WorkerService, Address: address(server)}},
		})
	}
	for i := range runners {
		b.start(fmt.Sprintf("manager-%d", i))
	}
	return b
}

func address(server *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// start starts one more runner.
func (b *bench) start(name string) {
	client := platform.New(platform.Config{Address: address(b.platform), Process: name})
	calls := worker.New(worker.Config{Timeout: time.Second})
	r := runner.New(runner.Config{
		Shard: pool, Pool: pool, Queues: []string{"plans"}, Holder: name,
		Store: client, Objects: client, Hosts: client, Workers: calls,
		Log: log.New(io.Discard), HeartbeatTimeout: patience, ListLag: time.Second, StepInterval: 10 * time.Millisecond,
		Task: task.Config{CommitInterval: 20 * time.Millisecond, RetryAfter: 100 * time.Millisecond},
	})
	ctx, stop := context.WithCancel(b.ctx)
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	ended := false
	b.runners = append(b.runners, r)
	b.stops = append(b.stops, func() {
		if ended {
			return
		}
		ended = true
		stop()
		<-done
		client.Close()
		calls.Close()
	})
	b.t.Cleanup(b.stops[len(b.stops)-1])
}

func (b *bench) put(url string, body any) {
	b.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		b.t.Fatal(err)
	}
	request, err := http.NewRequestWithContext(b.ctx, http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		b.t.Fatal(err)
	}
	response, err := b.platform.Client().Do(request)
	if err != nil {
		b.t.Fatal(err)
	}
	_ = response.Body.Close()
	if got, want := response.StatusCode, http.StatusNoContent; got != want {
		b.t.Fatalf("%s: got status %d, want %d", url, got, want)
	}
}

// do repeats a request until one of the runners has taken it.
func (b *bench) do(request func(*runner.Runner) (task.Reply, error)) task.Reply {
	b.t.Helper()
	for b.ctx.Err() == nil {
		for _, r := range b.runners {
			reply, err := request(r)
			if err == nil && (reply.Outcome == task.Accepted || reply.Outcome == task.Exists) {
				return reply
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.t.Fatal("request: got no runner that takes it, want one")
	return task.Reply{}
}

func (b *bench) submit(id string, job fakeworker.Job, once bool) {
	b.t.Helper()
	body, err := json.Marshal(job)
	if err != nil {
		b.t.Fatal(err)
	}
	spec := task.Spec{
		ID: id, Queue: "plans", Team: "reef", Class: place.Normal, Once: once, Body: body,
		Size: place.Size{CPUs: 1, Memory: 1 << 20},
	}
	b.do(func(r *runner.Runner) (task.Reply, error) { return r.Submit(b.ctx, spec) })
}

// await waits until the task has ended.
func (b *bench) await(id string) task.Record {
	b.t.Helper()
	for b.ctx.Err() == nil {
		record, ok, err := b.runners[0].Task(b.ctx, "plans", id)
		if err == nil && ok && record.State.Final() {
			return record
		}
		time.Sleep(20 * time.Millisecond)
	}
	record, _, err := b.runners[0].Task(context.Background(), "plans", id)
	b.t.Fatalf("task %s: got %+v, %v, want it ended; %+v", id, record, err, b.runners[0].Dump())
	return task.Record{}
}

// stats is what a worker says took place there.
func (b *bench) stats(server *httptest.Server) fakeworker.Stats {
	b.t.Helper()
	response, err := server.Client().Get(server.URL + "/standin/stats")
	if err != nil {
		b.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var stats fakeworker.Stats
	if err := json.NewDecoder(response.Body).Decode(&stats); err != nil {
		b.t.Fatal(err)
	}
	return stats
}

// runs counts the runs of each task at all workers.
func (b *bench) runs() map[string]int {
	b.t.Helper()
	runs := map[string]int{}
	for _, server := range b.workers {
		for name, count := range b.stats(server).RunsPerTask {
			runs[name] += count
		}
	}
	return runs
}

// holder returns the index of the runner that manages the shard.
func (b *bench) holder() int {
	b.t.Helper()
	for b.ctx.Err() == nil {
		for i, r := range b.runners {
			if !r.Dump().Superseded {
				return i
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.t.Fatal("holder: got none, want one")
	return 0
}

func (b *bench) faults(server *httptest.Server, path string, faults map[string]any) {
	b.put(server.URL+path, faults)
}

// TestTasksThroughFaults submits tasks that must not be repeated, disturbs them
// halfway, and wants each to end with exactly one run.
func TestTasksThroughFaults(t *testing.T) {
	const tasks = 24
	tests := map[string]func(*bench){
		"table and worker lose answers": func(b *bench) {
			b.faults(b.platform, "/faults", map[string]any{"lose-answers": 3, "slow": "4ms"})
			b.faults(b.workers[0], "/standin/faults", map[string]any{"lose-answers": 4})
		},
		"holder stops": func(b *bench) { b.stops[b.holder()]() },
		"holder is cut off from the table": func(b *bench) {
			b.faults(b.platform, "/faults", map[string]any{
				"down": true, "processes": []string{fmt.Sprint("manager-", b.holder())},
			})
		},
		"table is down": func(b *bench) {
			b.faults(b.platform, "/faults", map[string]any{"down": true})
			time.Sleep(2 * patience)
			b.faults(b.platform, "/faults", map[string]any{"down": false})
		},
		"worker is paused": func(b *bench) {
			b.faults(b.workers[0], "/standin/faults", map[string]any{"paused": true})
			time.Sleep(2 * patience)
			b.faults(b.workers[0], "/standin/faults", map[string]any{"paused": false})
		},
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 2, 2)
			for i := range tasks {
				if i == tasks/2 {
					disturb(b)
				}
				b.submit(fmt.Sprint("task-", i), fakeworker.Job{RunTime: duration.New(100 * time.Millisecond)}, true)
			}
			b.faults(b.platform, "/faults", map[string]any{"slow": "1ms"})
			for i := range tasks {
				record := b.await(fmt.Sprint("task-", i))
				if got, want := record.State, task.Done; got != want {
					t.Errorf("task %s: got %s (%s), want %s", record.ID, got, record.Reason, want)
				}
			}
			runs := b.runs()
			for i := range tasks {
				name := fmt.Sprintf("plans/task-%d", i)
				if got, want := runs[name], 1; got != want {
					t.Errorf("runs of %s: got %d, want %d", name, got, want)
				}
			}
		})
	}
}

// TestBadWorker wants the tasks done elsewhere when a worker fails everything.
func TestBadWorker(t *testing.T) {
	const (
		tasks  = 40
		wasted = 8
	)
	b := newBench(t, 3, 1)
	b.faults(b.workers[0], "/standin/faults", map[string]any{"fail-everything": true})
	for i := range tasks {
		b.submit(fmt.Sprint("task-", i), fakeworker.Job{RunTime: duration.New(20 * time.Millisecond)}, false)
	}
	for i := range tasks {
		record := b.await(fmt.Sprint("task-", i))
		if got, want := record.State, task.Done; got != want {
			t.Errorf("task %s: got %s (%s), want %s", record.ID, got, record.Reason, want)
		}
	}
	if got, want := len(b.stats(b.workers[0]).Runs), wasted; got > want {
		t.Errorf("runs on the bad worker: got %d, want at most %d", got, want)
	}
}

// TestDrain moves the tasks off a worker that is told to leave, but for one that
// must not be repeated, and wants it drained only when that has ended.
func TestDrain(t *testing.T) {
	b := newBench(t, 2, 1)
	for i := range 4 {
		b.submit(fmt.Sprint("task-", i), fakeworker.Job{RunTime: duration.New(time.Hour)}, false)
	}
	b.submit("once", fakeworker.Job{RunTime: duration.New(500 * time.Millisecond)}, true)
	for len(b.runs()) < 5 && b.ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	r := b.runners[0]
	record, _, err := r.Task(b.ctx, "plans", "once")
	if err != nil || record.Attempt == nil {
		t.Fatalf("task: got %+v, %v, want it on a worker", record, err)
	}
	leaving := record.Attempt.Worker
	if _, drained, err := r.Drained(leaving); drained || err != nil {
		t.Errorf("drained before it left: got %v, %v, want false", drained, err)
	}
	r.SetLeaving([]string{leaving})
	for b.ctx.Err() == nil {
		fence, drained, err := r.Drained(leaving)
		if err != nil {
			t.Fatal(err)
		}
		if drained && fence.Version != 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if claim, err := r.Holder(b.ctx); claim.Holder != "manager-0" || err != nil {
		t.Errorf("holder: got %+v, %v, want manager-0", claim, err)
	}
	if got, want := b.await("once").State, task.Done; got != want {
		t.Errorf("task not to be repeated: got %s, want %s", got, want)
	}
	for _, open := range r.Dump().Tasks {
		if open.Attempt != nil && open.Attempt.Worker == leaving {
			t.Errorf("task %s is still on the worker that left", open.Task)
		}
	}
	if got, want := b.runs()["plans/once"], 1; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

func TestEnds(t *testing.T) {
	tests := map[string]struct {
		job        fakeworker.Job
		once       bool
		cancel     bool
		wantState  task.State
		wantRan    task.Ran
		wantResult bool
	}{
		"done":                {wantState: task.Done, wantRan: task.RanYes, wantResult: true},
		"fails on all":        {job: fakeworker.Job{Fail: "bad-plan"}, wantState: task.GivenUp, wantRan: task.RanYes},
		"fails once":          {job: fakeworker.Job{Fail: "bad-plan"}, once: true, wantState: task.Failed, wantRan: task.RanYes},
		"cancelled while run": {job: fakeworker.Job{RunTime: duration.New(time.Hour)}, cancel: true, wantState: task.Cancelled},
	}
	b := newBench(t, 3, 1)
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b.submit(name, tc.job, tc.once)
			if tc.cancel {
				b.do(func(r *runner.Runner) (task.Reply, error) { return r.Cancel(b.ctx, "plans", name) })
			}
			record := b.await(name)
			if got, want := record.State, tc.wantState; got != want {
				t.Errorf("state: got %s (%s), want %s", got, record.Reason, want)
			}
			if got, want := record.Ran, tc.wantRan; want != "" && got != want {
				t.Errorf("ran: got %s, want %s", got, want)
			}
			if got, want := len(record.Result) > 0, tc.wantResult; got != want {
				t.Errorf("result: got %q, want some %v", record.Result, want)
			}
			if got, want := b.runs()["plans/"+name] > 0, record.Ran == task.RanYes; got != want {
				t.Errorf("ran at a worker: got %v, want %v as the row says", got, want)
			}
		})
	}
}
