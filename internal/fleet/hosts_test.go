package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// hostOf is a host that runs an endpoint.
func hostOf(pool string, id fleet.EndpointID) fleet.Host {
	return fleet.Host{ID: fleet.HostID("m-" + string(id)), Pool: pool, State: fleet.HostUp, Endpoint: id, Capacity: endpointSize}
}

// spareHost is a host that is switched off.
func spareHost(n int) fleet.Host {
	return fleet.Host{ID: fleet.HostID(fmt.Sprintf("spare-%02d", n)), Pool: spareName, State: fleet.HostUp, Capacity: endpointSize}
}

// listHosts lists hosts, and endpoints in their pools.
func (w *world) listHosts(hosts ...fleet.Host) {
	for _, m := range hosts {
		if m.Endpoint == "" {
			continue
		}
		row := endpointRow(m.Endpoint)
		row.Pool = m.Pool
		w.leader.UpdateEndpoint(row, w.now)
		w.pass(time.Millisecond)
		w.look(m.Endpoint)
	}
	w.leader.UpdateHosts(hosts, w.now, w.now)
}

// keptHosts is how many hosts a pool keeps without work.
const keptHosts = 4

// pools returns hosts for each pool: as many as a pool keeps at least.
func pools() []fleet.Host {
	var hosts []fleet.Host
	for _, pool := range []string{poolName, otherPool} {
		for n := range keptHosts {
			hosts = append(hosts, hostOf(pool, fleet.EndpointID(fmt.Sprintf("%s-%d", pool, n))))
		}
	}
	return hosts
}

// Pattern: turns-beyond-the-pool.
func TestHostsFollowDemand(t *testing.T) {
	w := newWorld(t, worldConfig{})
	hosts := pools()
	for n := range 10 {
		hosts = append(hosts, spareHost(n))
	}
	w.listHosts(hosts...)
	if got := len(w.step().Moves); got != 0 {
		t.Fatalf("moves without work: got %d, want 0", got)
	}
	for n := range 10 {
		w.accept(submission(n+1, tasks(16)))
	}
	moves := w.step().Moves
	if len(moves) < 5 {
		t.Fatalf("moves for work of ten hosts: got %d, want at least 5", len(moves))
	}
	for _, move := range moves {
		if move.Pool != poolName {
			t.Errorf("move: got %v, want one to %s", move, poolName)
		}
	}
	if got := len(w.step().Moves); got != 0 {
		t.Errorf("moves while the first are under way: got %d, want 0", got)
	}
}

// A step that bounds its tasks on one endpoint needs hosts that its size alone does not.
func TestSpreadStepsBringHosts(t *testing.T) {
	w := newWorld(t, worldConfig{})
	hosts := pools()
	for n := range 6 {
		hosts = append(hosts, spareHost(n))
	}
	w.listHosts(hosts...)
	step := lasting(7, 1)
	step.MaxPerEndpoint = 1
	w.accept(submission(1, step))
	if got, want := len(w.step().Moves), 7-keptHosts; got != want {
		t.Errorf("moves: got %d, want %d", got, want)
	}
}

func TestIdleHostsAreGivenBack(t *testing.T) {
	w := newWorld(t, worldConfig{})
	hosts := pools()
	for n := range 4 {
		hosts = append(hosts, hostOf(poolName, fleet.EndpointID(fmt.Sprintf("more-%d", n))))
	}
	w.listHosts(hosts...)
	w.step()
	w.pass(time.Second)
	moves := w.step().Moves
	if got, want := len(moves), 4; got != want {
		t.Fatalf("moves: got %d, want %d", got, want)
	}
	for _, move := range moves {
		if move.Pool != spareName {
			t.Errorf("move: got %v, want one to %s", move, spareName)
		}
	}
}

// An end that is not acknowledged is nowhere else: its host stays.
func TestHostsWithUnwrittenEndsAreNotMoved(t *testing.T) {
	w := newWorld(t, worldConfig{})
	extra := hostOf(poolName, "extra")
	w.listHosts(extra)
	w.accept(submission(1, tasks(1)))
	start := w.step().Starts[0]
	w.take()
	w.listHosts(append(pools(), extra)...)
	w.end(start, fleet.CompletionDone)
	w.look(start.Endpoint)
	for range 3 {
		for _, move := range w.step().Moves {
			if move.Host == extra.ID {
				t.Fatalf("move of a host with an end that is not written: got %v, want none", move)
			}
		}
		w.pass(time.Second)
	}
}

func TestHostsOfUnknownEndpointsAreNotMoved(t *testing.T) {
	w := newWorld(t, worldConfig{})
	hosts := pools()
	for n := range 4 {
		hosts = append(hosts, hostOf(poolName, fleet.EndpointID(fmt.Sprintf("unseen-%d", n))))
	}
	w.listHosts(pools()...)
	w.leader.UpdateHosts(hosts, w.now, w.now)
	w.step()
	w.pass(time.Second)
	if got := len(w.step().Moves); got != 0 {
		t.Errorf("moves: got %d, want 0", got)
	}
}

func TestAnnouncedHostsRest(t *testing.T) {
	w := newWorld(t, worldConfig{token: 2})
	w.leader.LoadHostChange("spare-00", w.now.Add(-time.Second), w.now, w.now)
	hosts := append(pools(), spareHost(0), spareHost(1))
	w.listHosts(hosts...)
	for n := range 6 {
		w.accept(submission(n+1, tasks(16)))
	}
	moves := w.step().Moves
	if len(moves) != 1 || moves[0].Host != "spare-01" {
		t.Fatalf("moves: got %v, want that of the host that was not announced", moves)
	}
	w.pass(5 * time.Second)
	if got := len(w.step().Moves); got != 1 {
		t.Errorf("moves later: got %d, want 1", got)
	}
}

func TestWave(t *testing.T) {
	w := newWorld(t, worldConfig{})
	hosts := pools()
	w.listHosts(hosts...)
	row := fleet.WaveRow{Number: 4, TimeLimit: 20 * time.Second, MaxDown: 2}
	for _, m := range hosts {
		row.Hosts = append(row.Hosts, m.ID)
	}
	w.leader.UpdateWave(row, w.now)
	news := w.leader.WaveProgress()
	if len(news) != 1 || news[0].Complete {
		t.Fatalf("news: got %v, want a running wave", news)
	}
	done := 0
	for round := 0; round < 20 && done < len(hosts); round++ {
		upkeeps := w.step().Maintenance
		if len(upkeeps) > row.MaxDown {
			t.Fatalf("upkeeps at once: got %d, want at most %d", len(upkeeps), row.MaxDown)
		}
		for _, upkeep := range upkeeps {
			done++
			w.leader.HandleMaintenanceReply(upkeep, fleet.ChangeAccepted, w.now)
		}
		if got := len(w.step().Maintenance); got != 0 {
			t.Fatalf("upkeeps while %d are down: got %d, want 0", len(upkeeps), got)
		}
		w.pass(2500 * time.Millisecond)
		for _, m := range hosts {
			w.look(m.Endpoint)
		}
		w.leader.UpdateHosts(hosts, w.now, w.now)
	}
	if done != len(hosts) {
		t.Fatalf("hosts done: got %d, want %d", done, len(hosts))
	}
	w.step()
	news = w.leader.WaveProgress()
	if len(news) != 1 || !news[0].Complete || len(news[0].Done) != len(hosts) {
		t.Errorf("news: got %v, want the complete wave", news)
	}
}

// All hosts of a pool are due, and lasting tasks run there.
func TestWaveBringsOtherHosts(t *testing.T) {
	w := newWorld(t, worldConfig{})
	hosts := append(pools(), spareHost(0), spareHost(1), spareHost(2))
	w.listHosts(hosts...)
	w.accept(submission(1, lasting(3, 1)))
	w.step()
	w.take()
	row := fleet.WaveRow{Number: 1, MaxDown: 10}
	for n := range keptHosts {
		row.Hosts = append(row.Hosts, hosts[n].ID)
	}
	w.leader.UpdateWave(row, w.now)
	brought := 0
	for _, move := range w.step().Moves {
		if move.Pool == poolName {
			brought++
		}
	}
	if brought == 0 {
		t.Error("hosts brought for those that are emptied: got none, want some")
	}
}

// Pattern: upkeep-at-the-peak. A wave takes hosts that no pool needs, and otherwise
// no more at once than it must to be over in time.
func TestWaveWaitsForFreeHosts(t *testing.T) {
	const atOnce, spares = 6, 12
	tests := map[string]struct {
		jobs   int
		within time.Duration
		// least and most are how many upkeeps begin at once.
		least, most int
	}{
		"nothing to do":        {within: time.Minute, least: atOnce, most: atOnce},
		"peak, and time":       {jobs: 40, within: time.Minute, least: 1, most: atOnce / 2},
		"peak, and hardly any": {jobs: 40, within: 10 * time.Second, least: atOnce, most: atOnce},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, worldConfig{})
			hosts := pools()
			row := fleet.WaveRow{Number: 1, MaxDown: atOnce, TimeLimit: c.within}
			for n := range spares {
				hosts = append(hosts, spareHost(n))
				row.Hosts = append(row.Hosts, spareHost(n).ID)
			}
			w.listHosts(hosts...)
			for n := range c.jobs {
				w.accept(submission(n+1, tasks(16)))
			}
			w.leader.UpdateWave(row, w.now)
			if got := len(w.step().Maintenance); got < c.least || got > c.most {
				t.Errorf("upkeeps: got %d, want %d to %d", got, c.least, c.most)
			}
		})
	}
}

func TestUpkeepWaitsForUnknownEndpoints(t *testing.T) {
	w := newWorld(t, worldConfig{token: 2})
	unseen := hostOf(poolName, "unseen")
	w.leader.UpdateHosts([]fleet.Host{unseen}, w.now, w.now)
	w.leader.UpdateWave(fleet.WaveRow{Number: 1, MaxDown: 1, Hosts: []fleet.HostID{unseen.ID}}, w.now)
	if got := len(w.step().Maintenance); got != 0 {
		t.Errorf("upkeeps before the endpoint is known: got %d, want 0", got)
	}
	w.pass(8 * time.Second)
	if got := len(w.step().Maintenance); got != 1 {
		t.Errorf("upkeeps after its leases are over: got %d, want 1", got)
	}
}

// Lasting tasks leave a draining endpoint one after the other.
func TestEvacuationKeepsTheRestAtWork(t *testing.T) {
	w := newWorld(t, worldConfig{})
	w.endpoint("a")
	w.accept(submission(1, lasting(2, 1)))
	w.step()
	w.take()
	w.look("a")
	w.endpoint("b")
	draining := endpointRow("a")
	draining.Draining = true
	w.leader.UpdateEndpoint(draining, w.now)
	stops := w.step().Stops
	if len(stops) != 1 {
		t.Fatalf("stops: got %d, want 1", len(stops))
	}
	w.leader.HandleStopReply(stops[0], fleet.Reply{Outcome: fleet.OrderAccepted}, w.now)
	w.end(fleet.Start{Endpoint: "a", Task: stops[0].Task, Run: stops[0].Run}, fleet.CompletionStopped)
	w.pass(100 * time.Millisecond)
	w.look("a")
	starts := w.step().Starts
	if len(starts) != 1 || starts[0].Endpoint != "b" {
		t.Fatalf("starts: got %v, want one on b", starts)
	}
	w.leader.HandleStartReply(starts[0], fleet.Reply{Outcome: fleet.OrderAccepted}, w.now)
	w.running["b"] = []fleet.RunningTask{{Task: starts[0].Task, Run: starts[0].Run, SpeedPercent: 40}}
	w.pass(100 * time.Millisecond)
	w.look("b")
	if got := len(w.step().Stops); got != 0 {
		t.Errorf("stops while the first is starting: got %d, want 0", got)
	}
	w.running["b"][0].SpeedPercent = 100
	w.pass(100 * time.Millisecond)
	w.look("a")
	w.look("b")
	if got := len(w.step().Stops); got != 1 {
		t.Errorf("stops once it is at work: got %d, want 1", got)
	}
}

// The leader before may have stopped a run that is still listed.
func TestAdoptedRunsAreAtWorkOnceOldStopsAreOver(t *testing.T) {
	w := newWorld(t, worldConfig{token: 2, jobs: []fleet.StoredJob{{Submission: submission(1, lasting(2, 1))}}})
	for index, id := range []fleet.EndpointID{"a", "b"} {
		w.running[id] = []fleet.RunningTask{{Task: job.Task{Job: idOf(1), Index: index}, Run: 1, SpeedPercent: 100}}
		w.endpoint(id)
	}
	w.endpoint("c")
	w.listHostsOf("a", "b", "c")
	draining := endpointRow("a")
	draining.Draining = true
	w.leader.UpdateEndpoint(draining, w.now)
	if got := len(w.step().Stops); got != 0 {
		t.Errorf("stops at once: got %d, want 0", got)
	}
	w.pass(250 * time.Millisecond)
	w.look("a")
	w.look("b")
	if got := len(w.step().Stops); got != 1 {
		t.Errorf("stops once the other is known to be at work: got %d, want 1", got)
	}
}

// An endpoint that has gone dark keeps its last report.
func TestOldReportsAreNoWork(t *testing.T) {
	w := newWorld(t, worldConfig{})
	w.endpoint("a")
	w.endpoint("b")
	step := lasting(2, 1)
	step.MaxPerEndpoint = 1
	w.accept(submission(1, step))
	w.step()
	w.take()
	w.look("a")
	w.look("b")
	w.endpoint("c")
	w.pass(2500 * time.Millisecond)
	w.look("a")
	draining := endpointRow("a")
	draining.Draining = true
	w.leader.UpdateEndpoint(draining, w.now)
	if got := len(w.step().Stops); got != 0 {
		t.Errorf("stops while the other's report is old: got %d, want 0", got)
	}
}

func TestFillersArePaced(t *testing.T) {
	serving, filler := lasting(1, 1), lasting(1, 1)
	serving.TailTarget = 100 * time.Millisecond
	filler.BestEffort = true
	tails := map[string]struct {
		tail time.Duration
		want int
	}{
		"over the target":  {150 * time.Millisecond, 50},
		"near the target":  {90 * time.Millisecond, 50},
		"between":          {70 * time.Millisecond, 100},
		"far below target": {10 * time.Millisecond, 100},
	}
	for name, c := range tails {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, worldConfig{})
			w.endpoint("a")
			w.accept(submission(1, serving, filler))
			w.step()
			w.take()
			for i := range w.running["a"] {
				if w.running["a"][i].Task.Step == 0 {
					w.running["a"][i].TailLatency = c.tail
				}
			}
			w.look("a")
			percent := 100
			for _, pace := range w.step().Throttles {
				percent = pace.Percent
			}
			if percent != c.want {
				t.Errorf("pace: got %d, want %d", percent, c.want)
			}
		})
	}
}

func TestDump(t *testing.T) {
	w := newWorld(t, worldConfig{policy: policy.Config{}})
	w.endpoint("a")
	w.accept(submission(1, tasks(2)))
	dump := w.leader.Dump()
	if len(dump.Endpoints) != 1 || len(dump.Jobs) != 1 || dump.Jobs[0].Pending != 2 || dump.Jobs[0].ID != idOf(1) {
		t.Errorf("dump: got %+v, want an endpoint and a job with two tasks that wait", dump)
	}
	if got := w.leader.Largest(); got != endpointSize {
		t.Errorf("largest: got %v, want %v", got, endpointSize)
	}
	if got := w.leader.Waiting()[queueName]; got != 1 {
		t.Errorf("waiting: got %d, want 1", got)
	}
}
