package test

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/standin/load"
	"github.com/lovagedyke/lovagedyke/internal/standin/worker"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

// checkIdempotent asserts that no idempotent request ran more than once, and that
// none ran whose response was not-run.
func (f *testFleet) checkIdempotent(report load.Report) {
	f.t.Helper()
	runs := f.runsPerKey()
	for key, got := range runs {
		if got > 1 {
			f.t.Errorf("runs of key %s: got %d, want at most 1", key, got)
		}
	}
	for _, key := range report.RefusedKeys {
		if got := runs[key]; got != 0 {
			f.t.Errorf("runs of key %s, answered not-run: got %d, want 0", key, got)
		}
	}
}

// checkResponses asserts that some requests were served and that every request
// got its own complete response.
func (f *testFleet) checkResponses(report load.Report) {
	f.t.Helper()
	if report.OK == 0 {
		f.t.Errorf("served: got 0 of %d, want some", report.Sent)
	}
	if got := report.Wrong + report.Cut + report.Errors; got != 0 {
		f.t.Errorf("wrong, truncated or lost responses: got %d (%s), want 0", got, report.LastError)
	}
}

// checkUpperLimit asserts that the team had runs, and never more at once than its
// upper limit.
func (f *testFleet) checkUpperLimit(limit int) {
	f.t.Helper()
	got := f.maxConcurrentRuns()
	if got > limit {
		f.t.Errorf("maximum concurrent runs: got %d, want at most %d", got, limit)
	}
	if got == 0 {
		f.t.Error("maximum concurrent runs: got 0, want some")
	}
}

// Replacing the entries one after the other under load truncates no response.
func TestRollingEntryReplacement(t *testing.T) {
	f := newFleet(t, 3, 2)
	names := []string{"entry-1", "entry-2", "entry-3"}
	config := f.loadConfig(names...)
	config.Rate = 200
	stop := f.startLoad(config)
	for i, name := range names {
		f.stop(name)
		f.start("entry", i+1)
		f.awaitReady()
	}
	report := stop()
	f.checkResponses(report)
	f.checkUpperLimit(teamLimit)
	t.Logf("%d of %d served, reasons %v", report.OK, report.Sent, report.Reasons)
}

// An entry is killed while its requests run. The upper limit holds while they may
// still be running, and the permits return to the others once there is evidence
// that the entry is gone.
func TestKilledEntryReleasesPermits(t *testing.T) {
	f := newFleet(t, 3, 2)
	long := f.loadConfig("entry-1")
	long.RunTime, long.Concurrency = 2*time.Second, 12
	stopLong := f.startLoad(long)
	f.eventually("entry 1 uses half of the limit", func() bool { return f.permits("entry-1").InUse >= teamLimit/2 })
	f.kill("entry-1")
	short := f.loadConfig("entry-2", "entry-3")
	short.RunTime = 200 * time.Millisecond
	stopShort := f.startLoad(short)
	f.deregisterHost("host-entry-1")
	deregistered := time.Now()
	f.eventually("the others hold the whole limit", func() bool { return f.heldPermits("entry-2", "entry-3") == teamLimit })
	t.Logf("permits were idle for %s", time.Since(deregistered).Round(time.Millisecond))
	stopLong()
	report := stopShort()
	f.checkUpperLimit(teamLimit)
	if report.OK == 0 {
		t.Errorf("served by the others: got 0 of %d, want some", report.Sent)
	}
}

// A single entry that receives all of a team's load can use nearly all of the
// team's upper limit.
func TestOneEntryCanUseTheLimit(t *testing.T) {
	f := newFleet(t, 3, 1)
	config := f.loadConfig("entry-1")
	config.RunTime = 300 * time.Millisecond
	stop := f.startLoad(config)
	// 95% of 12 permits, rounded down.
	f.eventually("entry 1 uses 95% of the limit", func() bool { return f.permits("entry-1").InUse >= 11 })
	stop()
	f.checkUpperLimit(teamLimit)
}

// The upper limit is lowered under load: no run starts until the running ones are
// within the new limit, and no response is truncated.
func TestLoweredLimit(t *testing.T) {
	f := newFleet(t, 2, 2)
	config := f.loadConfig("entry-1", "entry-2")
	config.RunTime = 50 * time.Millisecond
	stop := f.startLoad(config)
	f.eventually("load uses the limit", func() bool { return f.maxConcurrentRuns() > 4 })
	f.applyLimit(4)
	f.eventually("entries hold the new limit", func() bool { return f.heldPermits("entry-1", "entry-2") == 4 })
	lowered := time.Now()
	time.Sleep(500 * time.Millisecond)
	report := stop()
	f.checkResponses(report)
	var after []interval
	for _, server := range f.endpoints {
		for _, run := range server.Stats().Runs {
			if run.Start.After(lowered) {
				after = append(after, interval{run.Start, run.End})
			}
		}
	}
	if got := maxOverlap(after); got > 4 || got == 0 {
		t.Errorf("maximum concurrent runs after the change: got %d, want 1 to 4", got)
	}
}

// The table is unavailable and then loses its responses: idempotent requests, each
// sent to two entries at once, are still served and run at most once.
func TestTableOutage(t *testing.T) {
	f := newFleet(t, 3, 2)
	config := f.loadConfig("entry-1", "entry-2", "entry-3")
	config.IdempotencyKeys, config.Copies, config.Rate = true, 2, 60
	stop := f.startLoad(config)
	time.Sleep(time.Second)
	f.injectFaults(`{"down":true}`)
	time.Sleep(5 * time.Second)
	during := f.loadConfig("entry-1", "entry-2", "entry-3")
	during.IdempotencyKeys, during.Requests = true, 100
	duringReport := f.runLoad(during)
	f.injectFaults(`{"lose-answers":true}`)
	time.Sleep(time.Second)
	f.injectFaults(`{}`)
	time.Sleep(time.Second)
	report := stop()
	f.checkIdempotent(report)
	f.checkIdempotent(duringReport)
	f.checkResponses(report)
	if got, want := duringReport.OK, 95; got < want {
		t.Errorf("idempotent requests served during the outage: got %d of 100 (%v), want %d", got, duringReport.Reasons, want)
	}
}

// The primary replica of some claims is killed during a table outage. Requests
// under its ids are refused or have an unknown outcome, and none runs twice, also
// once the table is available again.
func TestEntryCrashDuringTableOutage(t *testing.T) {
	f := newFleet(t, 3, 2)
	config := f.loadConfig("entry-1", "entry-2")
	config.IdempotencyKeys, config.Copies, config.Rate = true, 2, 60
	stop := f.startLoad(config)
	time.Sleep(time.Second)
	f.injectFaults(`{"down":true}`)
	time.Sleep(time.Second)
	f.kill("entry-3")
	time.Sleep(2 * time.Second)
	f.start("entry", 3)
	time.Sleep(time.Second)
	f.injectFaults(`{}`)
	f.awaitReady()
	time.Sleep(time.Second)
	report := stop()
	f.checkIdempotent(report)
	f.checkResponses(report)
	f.checkUpperLimit(teamLimit)
	t.Logf("%d of %d served, reasons %v", report.OK, report.Sent, report.Reasons)
}

// A key is withdrawn while an entry is paused; the entry refuses the key once it
// resumes.
func TestWithdrawnKeyAtAPausedEntry(t *testing.T) {
	f := newFleet(t, 2, 2)
	withdrawnKey := f.issueKey()
	f.signal("entry-2", syscall.SIGSTOP)
	id := strings.SplitN(strings.TrimPrefix(withdrawnKey, "lk_"), "_", 2)[0]
	if _, err := f.operators.WithdrawKey(context.Background(), id, ""); err != nil {
		t.Fatal(err)
	}
	// Longer than the freshness bound, so that the entry's copy of the keys is stale.
	time.Sleep(4 * time.Second)
	f.signal("entry-2", syscall.SIGCONT)
	config := f.loadConfig("entry-2")
	config.ReadinessAddresses = nil
	config.Key, config.Requests = withdrawnKey, 50
	report := f.runLoad(config)
	if got := report.OK; got != 0 {
		t.Errorf("requests with the withdrawn key: got %d served, want 0", got)
	}
	f.eventually("entry 2 serves valid keys again", func() bool {
		config.Key, config.Requests = f.key, 1
		return f.runLoad(config).OK == 1
	})
}

// An entry cannot reach the table but can reach its peers: it learns of a
// withdrawn key from them.
func TestWithdrawnKeyAtAnEntryWithoutTable(t *testing.T) {
	f := newFleet(t, 2, 2)
	withdrawnKey := f.issueKey()
	f.injectFaults(`{"down":true,"processes":["entry-2"]}`)
	id := strings.SplitN(strings.TrimPrefix(withdrawnKey, "lk_"), "_", 2)[0]
	if _, err := f.operators.WithdrawKey(context.Background(), id, ""); err != nil {
		t.Fatal(err)
	}
	config := f.loadConfig("entry-2")
	config.Key, config.Requests = withdrawnKey, 1
	f.eventually("entry 2 refuses the key", func() bool { return f.runLoad(config).OK == 0 })
	valid := f.loadConfig("entry-2")
	valid.Requests = 20
	report := f.runLoad(valid)
	if got, want := report.OK, 20; got != want {
		t.Errorf("valid key without the table: got %d served (%v), want %d", got, report.Reasons, want)
	}
}

// A manager is killed; another one applies the next change.
func TestManagerCrash(t *testing.T) {
	f := newFleet(t, 2, 3)
	f.kill("manager-1")
	f.deregisterHost("host-manager-1")
	f.applyLimit(9)
	f.eventually("the members hold the new limit", func() bool {
		return f.heldPermits("entry-1", "entry-2", "manager-2", "manager-3") == 9
	})
	response, err := f.operators.Catalogue(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if got, want := response.Catalogue.Teams[0].UpperLimit, 9; got != want {
		t.Errorf("upper limit: got %d, want %d", got, want)
	}
}

// A host is drained under load while the platform still lists it as live: once
// drained it gets no new work, no response is truncated, and it can return to
// service.
func TestDrainedHostGetsNoNewWork(t *testing.T) {
	f := newFleet(t, 3, 2)
	config := f.loadConfig("entry-1", "entry-2", "entry-3")
	config.Rate, config.RunTime = 100, 50*time.Millisecond
	stop := f.startLoad(config)
	f.eventually("the host runs requests", func() bool { return f.endpoints[0].Stats().Total.Started > 20 })
	if _, err := f.operators.DrainHost(context.Background(), "host-orders-1", api.DrainRequest{Purpose: "maintenance"}); err != nil {
		t.Fatal(err)
	}
	requested := time.Now()
	f.eventually("the host is drained", func() bool { return f.hostPhase("host-orders-1") == "drained" })
	t.Logf("drained after %s", time.Since(requested).Round(time.Millisecond))
	before := f.endpoints[0].Stats().Total
	time.Sleep(500 * time.Millisecond)
	after := f.endpoints[0].Stats().Total
	if got, want := after.Started, before.Started; got != want {
		t.Errorf("started at a drained host: got %d, want %d", got, want)
	}
	if got := before.Running; got != 0 {
		t.Errorf("running at a drained host: got %d, want 0", got)
	}
	if _, err := f.operators.ReturnHost(context.Background(), "host-orders-1"); err != nil {
		t.Fatal(err)
	}
	f.eventually("the host runs requests again", func() bool { return f.endpoints[0].Stats().Total.Started > after.Started })
	f.checkResponses(stop())
}

// A host is moved while an entry is paused: it keeps its pool until the entry has
// confirmed the drain, or is proven gone and its longest run is over.
func TestHostMoveWaitsForConfirmations(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.signal("entry-2", syscall.SIGSTOP)
	request := api.DrainRequest{Purpose: "move", Target: "spare"}
	if _, err := f.operators.DrainHost(context.Background(), "host-orders-1", request); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * time.Second)
	if got, want := f.hostPhase("host-orders-1"), "draining"; got != want {
		t.Errorf("while an entry is paused: got %s, want %s", got, want)
	}
	f.signal("entry-2", syscall.SIGCONT)
	f.eventually("the host serves its new pool", func() bool {
		host := f.host("host-orders-1")
		return host.Pool == "spare" && host.Phase == "serving"
	})
}

// A wave maintains every host under load: no response is truncated, and enough
// hosts keep serving that the needed ones would be left if the largest rack failed.
func TestWaveUnderLoad(t *testing.T) {
	f := newFleet(t, 2, 2)
	for i := range 4 {
		f.addEndpoint(fmt.Sprintf("orders-%d", i+3))
	}
	f.eventually("managers list six hosts", func() bool { return len(f.poolHosts("p")) == 6 })
	config := f.loadConfig("entry-1", "entry-2")
	config.Rate = 100
	stop := f.startLoad(config)
	if _, err := f.operators.StartWave(context.Background(), api.WaveRequest{Pool: "p", Need: 3}); err != nil {
		t.Fatal(err)
	}
	minServing := 6
	f.eventually("wave is finished", func() bool {
		serving := 0
		for _, host := range f.poolHosts("p") {
			if host.Phase == "serving" && host.State == "live" {
				serving++
			}
		}
		minServing = min(minServing, serving)
		return f.waveVerdict("p") == "finished"
	})
	// Each host has its own rack here, so one host is kept in reserve.
	if got, want := minServing, 4; got < want {
		t.Errorf("minimum number of serving hosts: got %d, want %d", got, want)
	}
	report := stop()
	f.checkResponses(report)
	if got, want := report.OK, report.Sent; got != want {
		t.Errorf("served during the wave: got %d (%v), want %d", got, report.Reasons, want)
	}
}

// Hosts do not come back after their reboot: the wave stops after two of them.
func TestWaveStopsWhenHostsFail(t *testing.T) {
	f := newFleet(t, 1, 2)
	for i := range 4 {
		f.addEndpoint(fmt.Sprintf("orders-%d", i+3))
	}
	f.eventually("managers list six hosts", func() bool { return len(f.poolHosts("p")) == 6 })
	f.injectFaults(`{"broken-reboots":["host-orders-1","host-orders-2","host-orders-3","host-orders-4","host-orders-5","host-orders-6"]}`)
	if _, err := f.operators.StartWave(context.Background(), api.WaveRequest{Pool: "p", Need: 3}); err != nil {
		t.Fatal(err)
	}
	f.eventually("wave is stopped", func() bool { return f.waveVerdict("p") == "stopped" })
	if got, want := f.startedHosts("p"), 2; got != want {
		t.Errorf("hosts taken down before the wave stopped: got %d, want %d", got, want)
	}
}

// Every charge belongs to a run that took place, despite truncated responses,
// exceeded deadlines, a table outage and lost responses of the table. Runs that
// cannot be proved are listed instead.
func TestChargesMatchRuns(t *testing.T) {
	f := newFleet(t, 2, 2)
	steady := f.loadConfig("entry-1", "entry-2")
	steady.Rate = 80
	stopSteady := f.startLoad(steady)
	truncated := f.loadConfig("entry-1", "entry-2")
	truncated.Behaviour, truncated.Requests, truncated.IdempotencyKeys, truncated.Rate = "truncate", 40, true, 40
	f.runLoad(truncated)
	late := f.loadConfig("entry-1", "entry-2")
	late.RunTime, late.Deadline, late.Requests, late.IdempotencyKeys, late.Rate = 400*time.Millisecond, 100*time.Millisecond, 20, true, 20
	f.runLoad(late)
	f.injectFaults(`{"down":true}`)
	time.Sleep(2 * time.Second)
	f.injectFaults(`{"lose-answers":true}`)
	time.Sleep(time.Second)
	f.injectFaults(`{}`)
	f.checkResponses(stopSteady())
	f.eventually("every run is charged or listed", func() bool {
		charged, unproven := f.listRunIDs("charge/"), f.listRunIDs("charge-unproven/")
		for id := range f.completedRunIDs() {
			if !charged[id] && !unproven[id] {
				return false
			}
		}
		return true
	})
	charged, unproven, runs := f.listRunIDs("charge/"), f.listRunIDs("charge-unproven/"), f.completedRunIDs()
	for id := range charged {
		if !runs[id] {
			t.Errorf("charge %s: got no run, want one", id)
		}
		if unproven[id] {
			t.Errorf("run %s: got a charge and an entry in the list of unproven runs, want one of them", id)
		}
	}
	if len(unproven) == 0 {
		t.Error("unproven runs: got 0, want those whose responses were truncated")
	}
	t.Logf("%d runs, %d charged, %d unproven", len(runs), len(charged), len(unproven))
}

// The manager that owns the queue's shard is killed while tasks run; another takes
// over, and each task runs once and is charged once.
func TestTasksSurviveManagerCrash(t *testing.T) {
	f := newFleet(t, 2, 2)
	workers := []*worker.Server{f.addWorker("worker-1"), f.addWorker("worker-2")}
	f.applyQueue()
	const tasks = 20
	for i := range tasks {
		f.submitTask("entry-1", fmt.Sprint("plan-", i))
	}
	holder := f.shardHolder("tasks")
	f.kill(holder)
	f.deregisterHost("host-" + holder)
	for i := range tasks {
		// A repeat under the same key through another entry returns the same task.
		f.submitTask("entry-2", fmt.Sprint("plan-", i))
	}
	f.eventually("all tasks are charged", func() bool { return len(f.listRunIDs("charge/")) == tasks })
	runs := make(map[string]int)
	for _, server := range workers {
		for task, n := range server.Stats().RunsPerTask {
			runs[task] += n
		}
	}
	if got, want := len(runs), tasks; got != want {
		t.Errorf("tasks that ran: got %d, want %d", got, want)
	}
	for task, got := range runs {
		if got != 1 {
			t.Errorf("runs of %s: got %d, want 1", task, got)
		}
	}
}

// Requests and tasks of a team share its upper limit.
func TestLimitCoversRequestsAndTasks(t *testing.T) {
	f := newFleet(t, 2, 2)
	workers := []*worker.Server{f.addWorker("worker-1"), f.addWorker("worker-2")}
	f.applyQueue()
	config := f.loadConfig("entry-1", "entry-2")
	config.RunTime = 200 * time.Millisecond
	stop := f.startLoad(config)
	const tasks = 30
	for i := range tasks {
		f.submitTask("entry-1", fmt.Sprint("plan-", i))
	}
	f.eventually("all tasks ran", func() bool { return len(f.taskRuns(workers)) == tasks })
	stop()
	intervals := f.taskRuns(workers)
	for _, server := range f.endpoints {
		for _, run := range server.Stats().Runs {
			intervals = append(intervals, interval{run.Start, run.End})
		}
	}
	if got := maxOverlap(intervals); got > teamLimit {
		t.Errorf("maximum concurrent runs: got %d, want at most %d", got, teamLimit)
	}
}
