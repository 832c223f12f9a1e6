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
	"sync/atomic"
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
	pool             = "pool-a"
	heartbeatTimeout = 400 * time.Millisecond
	// testTimeout bounds the duration of a test. No check depends on its value.
	testTimeout = 30 * time.Second
)

// cluster is a fake platform with fake workers and the runners of one shard.
type cluster struct {
	t        testing.TB
	ctx      context.Context
	platform *httptest.Server
	workers  []*httptest.Server
	runners  []*runner.Runner
	stops    []func()
	// evacuated holds the evacuated data centres.
	evacuated atomic.Pointer[[]string]
}

// evacuatedDataCentres implements runner.Config.Evacuated.
func (c *cluster) evacuatedDataCentres() []string {
	if evacuated := c.evacuated.Load(); evacuated != nil {
		return *evacuated
	}
	return nil
}

func newCluster(t testing.TB, workers, runners int) *cluster {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	c := &cluster{t: t, ctx: ctx, platform: httptest.NewServer(fakeplatform.New(fakeplatform.Config{}).Handler())}
	t.Cleanup(c.platform.Close)
	for i := range workers {
		name := fmt.Sprintf("worker-%d", i)
		server := httptest.NewServer(fakeworker.New(fakeworker.Config{
			Name: name, Incarnation: "a", Capacity: worker.Resources{CPUs: 4, Memory: 1 << 30},
		}).Handler())
		t.Cleanup(server.Close)
		c.workers = append(c.workers, server)
		c.putJSON(c.platform.URL+"/hosts/"+name, platform.Host{
			Pool: pool, State: platform.Live, Rack: name,
			Endpoints: []platform.Endpoint{{Service: platform.WorkerService, Address: address(server)}},
		})
	}
	for i := range runners {
		c.startRunner(fmt.Sprintf("manager-%d", i))
	}
	return c
}

func address(server *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// startRunner starts another runner.
func (c *cluster) startRunner(name string) {
	platformClient := platform.New(platform.Config{Address: address(c.platform), Process: name})
	workerClient := worker.New(worker.Config{Timeout: time.Second})
	r := runner.New(runner.Config{
		Shard: pool, Pool: pool, Queues: []string{"plans"}, Holder: name,
		Store: platformClient, Objects: platformClient, Hosts: platformClient, Workers: workerClient,
		Evacuated: c.evacuatedDataCentres,
		Log:       log.New(io.Discard), HeartbeatTimeout: heartbeatTimeout, ListLag: time.Second, StepInterval: 10 * time.Millisecond,
		Task: task.Config{CommitInterval: 20 * time.Millisecond, RetryAfter: 100 * time.Millisecond},
	})
	ctx, stop := context.WithCancel(c.ctx)
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	stopped := false
	c.runners = append(c.runners, r)
	c.stops = append(c.stops, func() {
		if stopped {
			return
		}
		stopped = true
		stop()
		<-done
		platformClient.Close()
		workerClient.Close()
	})
	c.t.Cleanup(c.stops[len(c.stops)-1])
}

func (c *cluster) putJSON(url string, body any) {
	c.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		c.t.Fatal(err)
	}
	request, err := http.NewRequestWithContext(c.ctx, http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		c.t.Fatal(err)
	}
	response, err := c.platform.Client().Do(request)
	if err != nil {
		c.t.Fatal(err)
	}
	_ = response.Body.Close()
	if got, want := response.StatusCode, http.StatusNoContent; got != want {
		c.t.Fatalf("%s: got status %d, want %d", url, got, want)
	}
}

// retryRequest repeats a request until one of the runners has accepted it.
func (c *cluster) retryRequest(request func(*runner.Runner) (task.Reply, error)) task.Reply {
	c.t.Helper()
	for c.ctx.Err() == nil {
		for _, r := range c.runners {
			reply, err := request(r)
			if err == nil && (reply.Outcome == task.Accepted || reply.Outcome == task.Exists) {
				return reply
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatal("request: no runner accepted it, want one")
	return task.Reply{}
}

func (c *cluster) submit(id string, job fakeworker.Workload, once bool) {
	c.t.Helper()
	body, err := json.Marshal(job)
	if err != nil {
		c.t.Fatal(err)
	}
	spec := task.Spec{
		ID: id, Queue: "plans", Team: "reef", Class: place.Normal, Once: once, Body: body,
		Size: place.Size{CPUs: 1, Memory: 1 << 20},
	}
	c.retryRequest(func(r *runner.Runner) (task.Reply, error) { return r.Submit(c.ctx, spec) })
}

// awaitEnd waits until the task has ended and returns its record.
func (c *cluster) awaitEnd(id string) task.Record {
	c.t.Helper()
	for c.ctx.Err() == nil {
		record, ok, err := c.runners[0].Task(c.ctx, "plans", id)
		if err == nil && ok && record.State.Final() {
			return record
		}
		time.Sleep(20 * time.Millisecond)
	}
	record, _, err := c.runners[0].Task(context.Background(), "plans", id)
	c.t.Fatalf("task %s: got %+v, %v, want it ended; %+v", id, record, err, c.runners[0].Dump())
	return task.Record{}
}

// stats fetches the statistics of a worker.
func (c *cluster) stats(server *httptest.Server) fakeworker.Stats {
	c.t.Helper()
	response, err := server.Client().Get(server.URL + "/standin/stats")
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var stats fakeworker.Stats
	if err := json.NewDecoder(response.Body).Decode(&stats); err != nil {
		c.t.Fatal(err)
	}
	return stats
}

// runsPerTask returns the number of runs of each task on all workers.
func (c *cluster) runsPerTask() map[string]int {
	c.t.Helper()
	runs := map[string]int{}
	for _, server := range c.workers {
		for name, count := range c.stats(server).RunsPerTask {
			runs[name] += count
		}
	}
	return runs
}

// holder returns the index of the runner that manages the shard.
func (c *cluster) holder() int {
	c.t.Helper()
	for c.ctx.Err() == nil {
		for i, r := range c.runners {
			if !r.Dump().Superseded {
				return i
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatal("holder: got none, want one")
	return 0
}

func (c *cluster) setFaults(server *httptest.Server, path string, faults map[string]any) {
	c.putJSON(server.URL+path, faults)
}

// TestTasksThroughFaults submits tasks that must not be repeated, injects a fault
// halfway, and checks that each task is done after exactly one run.
func TestTasksThroughFaults(t *testing.T) {
	const tasks = 24
	tests := map[string]func(*cluster){
		"table and worker lose answers": func(c *cluster) {
			c.setFaults(c.platform, "/faults", map[string]any{"lose-answers": 3, "slow": "4ms"})
			c.setFaults(c.workers[0], "/standin/faults", map[string]any{"lose-answers": 4})
		},
		"holder stops": func(c *cluster) { c.stops[c.holder()]() },
		"holder is cut off from the table": func(c *cluster) {
			c.setFaults(c.platform, "/faults", map[string]any{
				"down": true, "processes": []string{fmt.Sprint("manager-", c.holder())},
			})
		},
		"table is down": func(c *cluster) {
			c.setFaults(c.platform, "/faults", map[string]any{"down": true})
			time.Sleep(2 * heartbeatTimeout)
			c.setFaults(c.platform, "/faults", map[string]any{"down": false})
		},
		"worker is paused": func(c *cluster) {
			c.setFaults(c.workers[0], "/standin/faults", map[string]any{"paused": true})
			time.Sleep(2 * heartbeatTimeout)
			c.setFaults(c.workers[0], "/standin/faults", map[string]any{"paused": false})
		},
	}
	for name, injectFault := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 2, 2)
			for i := range tasks {
				if i == tasks/2 {
					injectFault(c)
				}
				c.submit(fmt.Sprint("task-", i), fakeworker.Workload{RunTime: duration.New(100 * time.Millisecond)}, true)
			}
			c.setFaults(c.platform, "/faults", map[string]any{"slow": "1ms"})
			for i := range tasks {
				record := c.awaitEnd(fmt.Sprint("task-", i))
				if got, want := record.State, task.Done; got != want {
					t.Errorf("task %s: got %s (%s), want %s", record.ID, got, record.Reason, want)
				}
			}
			runs := c.runsPerTask()
			for i := range tasks {
				name := fmt.Sprintf("plans/task-%d", i)
				if got, want := runs[name], 1; got != want {
					t.Errorf("runs of %s: got %d, want %d", name, got, want)
				}
			}
		})
	}
}

// TestFailingWorker checks that all tasks are done, and that few are run on a worker
// that fails every task.
func TestFailingWorker(t *testing.T) {
	const (
		tasks   = 40
		maxRuns = 8
	)
	c := newCluster(t, 3, 1)
	c.setFaults(c.workers[0], "/standin/faults", map[string]any{"fail-everything": true})
	for i := range tasks {
		c.submit(fmt.Sprint("task-", i), fakeworker.Workload{RunTime: duration.New(20 * time.Millisecond)}, false)
	}
	for i := range tasks {
		record := c.awaitEnd(fmt.Sprint("task-", i))
		if got, want := record.State, task.Done; got != want {
			t.Errorf("task %s: got %s (%s), want %s", record.ID, got, record.Reason, want)
		}
	}
	if got, want := len(c.stats(c.workers[0]).Runs), maxRuns; got > want {
		t.Errorf("runs on the faulty worker: got %d, want at most %d", got, want)
	}
}

// TestDrain checks that a leaving worker's tasks are moved to other workers, except
// one that must not be repeated, and that the worker is drained only after that one
// has ended.
func TestDrain(t *testing.T) {
	c := newCluster(t, 2, 1)
	for i := range 4 {
		c.submit(fmt.Sprint("task-", i), fakeworker.Workload{RunTime: duration.New(time.Hour)}, false)
	}
	c.submit("once", fakeworker.Workload{RunTime: duration.New(500 * time.Millisecond)}, true)
	for len(c.runsPerTask()) < 5 && c.ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	r := c.runners[0]
	record, _, err := r.Task(c.ctx, "plans", "once")
	if err != nil || record.Attempt == nil {
		t.Fatalf("task: got %+v, %v, want it on a worker", record, err)
	}
	leaving := record.Attempt.Worker
	if _, drained, err := r.Drained(leaving); drained || err != nil {
		t.Errorf("drained before it left: got %v, %v, want false", drained, err)
	}
	r.SetLeaving([]string{leaving})
	for c.ctx.Err() == nil {
		fence, drained, err := r.Drained(leaving)
		if err != nil {
			t.Fatal(err)
		}
		if drained && fence.Version != 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if claim, err := r.Holder(c.ctx); claim.Holder != "manager-0" || err != nil {
		t.Errorf("holder: got %+v, %v, want manager-0", claim, err)
	}
	if got, want := c.awaitEnd("once").State, task.Done; got != want {
		t.Errorf("task not to be repeated: got %s, want %s", got, want)
	}
	for _, open := range r.Dump().Tasks {
		if open.Attempt != nil && open.Attempt.Worker == leaving {
			t.Errorf("task %s is still on the worker that left", open.Task)
		}
	}
	if got, want := c.runsPerTask()["plans/once"], 1; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

func TestFinalStates(t *testing.T) {
	tests := map[string]struct {
		job        fakeworker.Workload
		once       bool
		cancel     bool
		wantState  task.State
		wantRan    task.Ran
		wantResult bool
	}{
		"done":                {wantState: task.Done, wantRan: task.RanYes, wantResult: true},
		"fails on all":        {job: fakeworker.Workload{Fail: "bad-plan"}, wantState: task.GivenUp, wantRan: task.RanYes},
		"fails once":          {job: fakeworker.Workload{Fail: "bad-plan"}, once: true, wantState: task.Failed, wantRan: task.RanYes},
		"cancelled while run": {job: fakeworker.Workload{RunTime: duration.New(time.Hour)}, cancel: true, wantState: task.Cancelled},
	}
	c := newCluster(t, 3, 1)
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c.submit(name, tc.job, tc.once)
			if tc.cancel {
				c.retryRequest(func(r *runner.Runner) (task.Reply, error) { return r.Cancel(c.ctx, "plans", name) })
			}
			record := c.awaitEnd(name)
			if got, want := record.State, tc.wantState; got != want {
				t.Errorf("state: got %s (%s), want %s", got, record.Reason, want)
			}
			if got, want := record.Ran, tc.wantRan; want != "" && got != want {
				t.Errorf("ran: got %s, want %s", got, want)
			}
			if got, want := len(record.Result) > 0, tc.wantResult; got != want {
				t.Errorf("result: got %q, want some %v", record.Result, want)
			}
			if got, want := c.runsPerTask()["plans/"+name] > 0, record.Ran == task.RanYes; got != want {
				t.Errorf("ran at a worker: got %v, want %v as the row says", got, want)
			}
		})
	}
}
