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

// checkMarked asserts what holds of marked requests whatever fails.
func (f *fleet) checkMarked(report load.Report) {
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

// checkWhole asserts that every request had its own whole answer.
func (f *fleet) checkWhole(report load.Report) {
	f.t.Helper()
	if report.OK == 0 {
		f.t.Errorf("served: got 0 of %d, want some", report.Sent)
	}
	if got := report.Wrong + report.Cut + report.Errors; got != 0 {
		f.t.Errorf("wrong, cut or lost answers: got %d (%s), want 0", got, report.LastError)
	}
}

// checkLimit asserts that the team never ran more than its upper limit.
func (f *fleet) checkLimit(limit int) {
	f.t.Helper()
	got := f.greatestRunning()
	if got > limit {
		f.t.Errorf("greatest running: got %d, want at most %d", got, limit)
	}
	if got == 0 {
		f.t.Error("greatest running: got 0, want some")
	}
}

// Entries are replaced one after the other; nobody's request is cut.
func TestReplacingAllEntriesCutsNothing(t *testing.T) {
	f := newFleet(t, 3, 2)
	names := []string{"entry-1", "entry-2", "entry-3"}
	config := f.loadOn(names...)
	config.Rate = 200
	stop := f.background(config)
	for i, name := range names {
		f.stop(name)
		f.start("entry", i+1)
		f.ready()
	}
	report := stop()
	f.checkWhole(report)
	f.checkLimit(teamLimit)
	t.Logf("%d of %d served, reasons %v", report.OK, report.Sent, report.Reasons)
}

// An entry dies with work running. The limit holds while that work may run on,
// and its permits come back on evidence.
func TestKilledEntryKeepsTheLimitAndFreesItsPermits(t *testing.T) {
	f := newFleet(t, 3, 2)
	long := f.loadOn("entry-1")
	long.RunTime, long.Concurrency = 2*time.Second, 12
	stopLong := f.background(long)
	f.eventually("entry 1 runs much of the limit", func() bool { return f.permits("entry-1").InUse >= teamLimit/2 })
	f.kill("entry-1")
	short := f.loadOn("entry-2", "entry-3")
	short.RunTime = 200 * time.Millisecond
	stopShort := f.background(short)
	f.unlistHost("host-entry-1")
	killed := time.Now()
	f.eventually("the others hold the whole limit", func() bool { return f.held("entry-2", "entry-3") == teamLimit })
	t.Logf("permits stood idle for %s", time.Since(killed).Round(time.Millisecond))
	stopLong()
	report := stopShort()
	f.checkLimit(teamLimit)
	if report.OK == 0 {
		t.Errorf("served by the others: got 0 of %d, want some", report.Sent)
	}
}

// One entry takes all of a team's load and gets nearly all of its limit.
func TestOneEntryCanUseTheLimit(t *testing.T) {
	f := newFleet(t, 3, 1)
	config := f.loadOn("entry-1")
	config.RunTime = 300 * time.Millisecond
	stop := f.background(config)
	// 95% of 12 permits, rounded down.
	f.eventually("entry 1 runs 95% of the limit", func() bool { return f.permits("entry-1").InUse >= 11 })
	stop()
	f.checkLimit(teamLimit)
}

// The limit is lowered under load: nothing new starts until what runs is
// within it, and nothing is cut.
func TestLoweredLimit(t *testing.T) {
	f := newFleet(t, 2, 2)
	config := f.loadOn("entry-1", "entry-2")
	config.RunTime = 50 * time.Millisecond
	stop := f.background(config)
	f.eventually("load uses the limit", func() bool { return f.greatestRunning() > 4 })
	f.apply(4)
	f.eventually("entries hold the new limit", func() bool { return f.held("entry-1", "entry-2") == 4 })
	lowered := time.Now()
	time.Sleep(500 * time.Millisecond)
	report := stop()
	f.checkWhole(report)
	var after []interval
	for _, server := range f.endpoints {
		for _, run := range server.Stats().Runs {
			if run.Start.After(lowered) {
				after = append(after, interval{run.Start, run.End})
			}
		}
	}
	if got := overlap(after); got > 4 || got == 0 {
		t.Errorf("greatest running after the change: got %d, want 1 to 4", got)
	}
}

// The table is away: marked and unmarked work goes on, with a copy of each
// marked request at another entry, and an entry dies meanwhile.
func TestTableOutage(t *testing.T) {
	f := newFleet(t, 3, 2)
	config := f.loadOn("entry-1", "entry-2", "entry-3")
	config.IdempotencyKeys, config.Copies, config.Rate = true, 2, 60
	stop := f.background(config)
	time.Sleep(time.Second)
	f.faults(`{"down":true}`)
	time.Sleep(5 * time.Second)
	during := f.loadOn("entry-1", "entry-2", "entry-3")
	during.IdempotencyKeys, during.Requests = true, 100
	duringReport := f.run(during)
	f.faults(`{"lose-answers":true}`)
	time.Sleep(time.Second)
	f.faults(`{}`)
	time.Sleep(time.Second)
	report := stop()
	f.checkMarked(report)
	f.checkMarked(duringReport)
	f.checkWhole(report)
	if got, want := duringReport.OK, 95; got < want {
		t.Errorf("marked requests served during the outage: got %d of 100 (%v), want %d", got, duringReport.Reasons, want)
	}
}

// A home of claims dies during an outage; its ids are refused or unknown, and
// none runs twice, also when the table is back.
func TestEntryDiesDuringTableOutage(t *testing.T) {
	f := newFleet(t, 3, 2)
	config := f.loadOn("entry-1", "entry-2")
	config.IdempotencyKeys, config.Copies, config.Rate = true, 2, 60
	stop := f.background(config)
	time.Sleep(time.Second)
	f.faults(`{"down":true}`)
	time.Sleep(time.Second)
	f.kill("entry-3")
	time.Sleep(2 * time.Second)
	f.start("entry", 3)
	time.Sleep(time.Second)
	f.faults(`{}`)
	f.ready()
	time.Sleep(time.Second)
	report := stop()
	f.checkMarked(report)
	f.checkWhole(report)
	f.checkLimit(teamLimit)
	t.Logf("%d of %d served, reasons %v", report.OK, report.Sent, report.Reasons)
}

// A key is withdrawn while an entry is paused; the entry refuses it on waking.
func TestWithdrawnKeyAtAPausedEntry(t *testing.T) {
	f := newFleet(t, 2, 2)
	spare := f.giveKey()
	f.signal("entry-2", syscall.SIGSTOP)
	id := strings.SplitN(strings.TrimPrefix(spare, "lk_"), "_", 2)[0]
	if _, err := f.operators.WithdrawKey(context.Background(), id, ""); err != nil {
		t.Fatal(err)
	}
	// Longer than the freshness bound: the entry cannot have confirmed its copy.
	time.Sleep(4 * time.Second)
	f.signal("entry-2", syscall.SIGCONT)
	config := f.loadOn("entry-2")
	config.ReadinessAddresses = nil
	config.Key, config.Requests = spare, 50
	report := f.run(config)
	if got := report.OK; got != 0 {
		t.Errorf("requests with the withdrawn key: got %d served, want 0", got)
	}
	f.eventually("entry 2 serves valid keys again", func() bool {
		config.Key, config.Requests = f.key, 1
		return f.run(config).OK == 1
	})
}

// An entry is cut off from the table alone: a withdrawal still reaches it
// through its peers.
func TestWithdrawnKeyAtAnEntryWithoutTable(t *testing.T) {
	f := newFleet(t, 2, 2)
	spare := f.giveKey()
	f.faults(`{"down":true,"processes":["entry-2"]}`)
	id := strings.SplitN(strings.TrimPrefix(spare, "lk_"), "_", 2)[0]
	if _, err := f.operators.WithdrawKey(context.Background(), id, ""); err != nil {
		t.Fatal(err)
	}
	config := f.loadOn("entry-2")
	config.Key, config.Requests = spare, 1
	f.eventually("entry 2 refuses the key", func() bool { return f.run(config).OK == 0 })
	valid := f.loadOn("entry-2")
	valid.Requests = 20
	report := f.run(valid)
	if got, want := report.OK, 20; got != want {
		t.Errorf("valid key without the table: got %d served (%v), want %d", got, report.Reasons, want)
	}
}

// A manager dies in the middle; another goes on, and a repeated change has one
// result.
func TestManagerDies(t *testing.T) {
	f := newFleet(t, 2, 3)
	f.kill("manager-1")
	f.unlistHost("host-manager-1")
	f.apply(9)
	f.eventually("the members hold the new limit", func() bool {
		return f.held("entry-1", "entry-2", "manager-2", "manager-3") == 9
	})
	answer, err := f.operators.Catalogue(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if got, want := answer.Catalogue.Teams[0].UpperLimit, 9; got != want {
		t.Errorf("upper limit: got %d, want %d", got, want)
	}
}

// A host drains under load while the platform's list still calls it live: it
// gets nothing new after a few seconds, nothing is cut, and it returns.
func TestDrainedHostGetsNothingNew(t *testing.T) {
	f := newFleet(t, 3, 2)
	config := f.loadOn("entry-1", "entry-2", "entry-3")
	config.Rate, config.RunTime = 100, 50*time.Millisecond
	stop := f.background(config)
	f.eventually("the host has work", func() bool { return f.endpoints[0].Stats().Total.Started > 20 })
	if _, err := f.operators.DrainHost(context.Background(), "host-orders-1", api.DrainRequest{Purpose: "maintenance"}); err != nil {
		t.Fatal(err)
	}
	asked := time.Now()
	f.eventually("the host is drained", func() bool { return f.hostPhase("host-orders-1") == "drained" })
	t.Logf("drained after %s", time.Since(asked).Round(time.Millisecond))
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
	f.eventually("the host has work again", func() bool { return f.endpoints[0].Stats().Total.Started > after.Started })
	f.checkWhole(stop())
}

// A host moves while an entry is paused: it stays where it is until the entry
// has confirmed, or is proven gone and its longest run is over.
func TestHostMovesOnlyOnceEveryEntryConfirmed(t *testing.T) {
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

// A wave maintains every host under load: nothing is cut, and never more hosts
// are down than leave the needed ones after the loss of the largest rack.
func TestWaveUnderLoad(t *testing.T) {
	f := newFleet(t, 2, 2)
	for i := range 4 {
		f.addEndpoint(fmt.Sprintf("orders-%d", i+3))
	}
	f.eventually("managers see six hosts", func() bool { return len(f.poolHosts("p")) == 6 })
	config := f.loadOn("entry-1", "entry-2")
	config.Rate = 100
	stop := f.background(config)
	if _, err := f.operators.StartWave(context.Background(), api.WaveRequest{Pool: "p", Need: 3}); err != nil {
		t.Fatal(err)
	}
	least := 6
	f.eventually("wave is finished", func() bool {
		serving := 0
		for _, host := range f.poolHosts("p") {
			if host.Phase == "serving" && host.State == "live" {
				serving++
			}
		}
		least = min(least, serving)
		return f.waveVerdict("p") == "finished"
	})
	// Each host stands in a rack of its own here, so one is held in reserve.
	if got, want := least, 4; got < want {
		t.Errorf("least hosts serving: got %d, want %d", got, want)
	}
	report := stop()
	f.checkWhole(report)
	if got, want := report.OK, report.Sent; got != want {
		t.Errorf("served during the wave: got %d (%v), want %d", got, report.Reasons, want)
	}
}

// Hosts do not come back: the wave stops after two, and goes on at an
// operator's word.
func TestWaveStopsWhenHostsFail(t *testing.T) {
	f := newFleet(t, 1, 2)
	for i := range 4 {
		f.addEndpoint(fmt.Sprintf("orders-%d", i+3))
	}
	f.eventually("managers see six hosts", func() bool { return len(f.poolHosts("p")) == 6 })
	f.faults(`{"broken-reboots":["host-orders-1","host-orders-2","host-orders-3","host-orders-4","host-orders-5","host-orders-6"]}`)
	if _, err := f.operators.StartWave(context.Background(), api.WaveRequest{Pool: "p", Need: 3}); err != nil {
		t.Fatal(err)
	}
	f.eventually("wave is stopped", func() bool { return f.waveVerdict("p") == "stopped" })
	if got, want := f.hostsDown("p"), 2; got != want {
		t.Errorf("hosts taken down before the wave stopped: got %d, want %d", got, want)
	}
}

// Charges are exactly the runs that took place, through cut answers, requests
// given up on, an outage and lost answers; what is not proven is listed.
func TestChargesAreRuns(t *testing.T) {
	f := newFleet(t, 2, 2)
	good := f.loadOn("entry-1", "entry-2")
	good.Rate = 80
	stopGood := f.background(good)
	cut := f.loadOn("entry-1", "entry-2")
	cut.Behaviour, cut.Requests, cut.IdempotencyKeys, cut.Rate = "truncate", 40, true, 40
	f.run(cut)
	late := f.loadOn("entry-1", "entry-2")
	late.RunTime, late.Deadline, late.Requests, late.IdempotencyKeys, late.Rate = 400*time.Millisecond, 100*time.Millisecond, 20, true, 20
	f.run(late)
	f.faults(`{"down":true}`)
	time.Sleep(2 * time.Second)
	f.faults(`{"lose-answers":true}`)
	time.Sleep(time.Second)
	f.faults(`{}`)
	f.checkWhole(stopGood())
	f.eventually("every run is charged or listed", func() bool {
		charged, unproven := f.rowsUnder("charge/"), f.rowsUnder("charge-unproven/")
		for id := range f.runs() {
			if !charged[id] && !unproven[id] {
				return false
			}
		}
		return true
	})
	charged, unproven, runs := f.rowsUnder("charge/"), f.rowsUnder("charge-unproven/"), f.runs()
	for id := range charged {
		if !runs[id] {
			t.Errorf("charge %s: got no run, want one", id)
		}
		if unproven[id] {
			t.Errorf("run %s: got a charge and an entry in the list of unproven runs, want one of them", id)
		}
	}
	if len(unproven) == 0 {
		t.Error("unproven runs: got 0, want those whose answers were cut")
	}
	t.Logf("%d runs, %d charged, %d unproven", len(runs), len(charged), len(unproven))
}

// The manager that holds the queue's shard dies with tasks running; another
// takes over, and each task runs once and is charged once.
func TestTasksThroughAManagersDeath(t *testing.T) {
	f := newFleet(t, 2, 2)
	workers := []*worker.Server{f.addWorker("worker-1"), f.addWorker("worker-2")}
	f.applyQueue()
	const tasks = 20
	for i := range tasks {
		f.submit("entry-1", fmt.Sprint("plan-", i))
	}
	holder := f.shardHolder("tasks")
	f.kill(holder)
	f.unlistHost("host-" + holder)
	for i := range tasks {
		// A repeat through another entry is the same task.
		f.submit("entry-2", fmt.Sprint("plan-", i))
	}
	f.eventually("all tasks are charged", func() bool { return len(f.rowsUnder("charge/")) == tasks })
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

// Requests and tasks of a team count towards the same upper limit.
func TestLimitHoldsOverRequestsAndTasks(t *testing.T) {
	f := newFleet(t, 2, 2)
	workers := []*worker.Server{f.addWorker("worker-1"), f.addWorker("worker-2")}
	f.applyQueue()
	config := f.loadOn("entry-1", "entry-2")
	config.RunTime = 200 * time.Millisecond
	stop := f.background(config)
	const tasks = 30
	for i := range tasks {
		f.submit("entry-1", fmt.Sprint("plan-", i))
	}
	f.eventually("all tasks ran", func() bool { return len(f.taskRuns(workers)) == tasks })
	stop()
	intervals := f.taskRuns(workers)
	for _, server := range f.endpoints {
		for _, run := range server.Stats().Runs {
			intervals = append(intervals, interval{run.Start, run.End})
		}
	}
	if got := overlap(intervals); got > teamLimit {
		t.Errorf("greatest running: got %d, want at most %d", got, teamLimit)
	}
}
