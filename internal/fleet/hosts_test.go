package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// hostOf returns the name of the host that runs an endpoint.
func hostOf(id fleet.EndpointID) string {
	return "m-" + string(id)
}

// newHost returns a host that runs an endpoint.
func newHost(pool string, id fleet.EndpointID) fleet.Host {
	return fleet.Host{ID: fleet.HostID(hostOf(id)), Pool: pool, State: fleet.HostUp, Endpoint: id, Capacity: endpointSize}
}

// spareHost returns a host that is switched off.
func spareHost(n int) fleet.Host {
	return fleet.Host{ID: fleet.HostID(fmt.Sprintf("spare-%02d", n)), Pool: spareName, State: fleet.HostUp, Capacity: endpointSize}
}

// listHosts lists hosts and their endpoints.
func (s *simulation) listHosts(hosts ...fleet.Host) {
	for _, h := range hosts {
		if h.Endpoint == "" {
			continue
		}
		row := endpointRow(h.Endpoint)
		row.Pool = h.Pool
		s.leader.UpdateEndpoint(row, s.now)
		s.advance(time.Millisecond)
		s.renewLease(h.Endpoint)
	}
	s.leader.UpdateHosts(hosts, s.now, s.now)
}

// minPoolHosts is how many hosts a pool keeps without work.
const minPoolHosts = 4

// baseHosts returns the minimum number of hosts for each pool.
func baseHosts() []fleet.Host {
	var hosts []fleet.Host
	for _, pool := range []string{poolName, otherPool} {
		for n := range minPoolHosts {
			hosts = append(hosts, newHost(pool, fleet.EndpointID(fmt.Sprintf("%s-%d", pool, n))))
		}
	}
	return hosts
}

// Pattern: turns-beyond-the-pool.
func TestHostsFollowDemand(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	hosts := baseHosts()
	for n := range 10 {
		hosts = append(hosts, spareHost(n))
	}
	s.listHosts(hosts...)
	if got := len(s.step().Moves); got != 0 {
		t.Fatalf("moves without work: got %d, want 0", got)
	}
	for n := range 10 {
		s.submit(submission(n+1, tasks(16)))
	}
	moves := s.step().Moves
	if len(moves) < 5 {
		t.Fatalf("moves for work of ten hosts: got %d, want at least 5", len(moves))
	}
	for _, move := range moves {
		if move.Pool != poolName {
			t.Errorf("move: got %v, want one to %s", move, poolName)
		}
	}
	if got := len(s.step().Moves); got != 0 {
		t.Errorf("moves while the first are under way: got %d, want 0", got)
	}
}

// MaxPerEndpoint requires more hosts than the tasks' total size.
func TestMaxPerEndpointAddsHosts(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	hosts := baseHosts()
	for n := range 6 {
		hosts = append(hosts, spareHost(n))
	}
	s.listHosts(hosts...)
	step := persistentTasks(7, 1)
	step.MaxPerEndpoint = 1
	s.submit(submission(1, step))
	if got, want := len(s.step().Moves), 7-minPoolHosts; got != want {
		t.Errorf("moves: got %d, want %d", got, want)
	}
}

func TestIdleHostsReturnToSparePool(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	hosts := baseHosts()
	for n := range 4 {
		hosts = append(hosts, newHost(poolName, fleet.EndpointID(fmt.Sprintf("more-%d", n))))
	}
	s.listHosts(hosts...)
	s.step()
	s.advance(time.Second)
	moves := s.step().Moves
	if got, want := len(moves), 4; got != want {
		t.Fatalf("moves: got %d, want %d", got, want)
	}
	for _, move := range moves {
		if move.Pool != spareName {
			t.Errorf("move: got %v, want one to %s", move, spareName)
		}
	}
}

// An unacknowledged completion exists only on its endpoint, whose host must not be moved.
func TestHostsWithUnpersistedCompletionsAreNotMoved(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	extra := newHost(poolName, "extra")
	s.listHosts(extra)
	s.submit(submission(1, tasks(1)))
	start := s.step().Starts[0]
	s.acceptStarts()
	s.listHosts(append(baseHosts(), extra)...)
	s.endRun(start, fleet.CompletionDone)
	s.renewLease(start.Endpoint)
	for range 3 {
		for _, move := range s.step().Moves {
			if move.Host == extra.ID {
				t.Fatalf("move of a host with an unpersisted completion: got %v, want none", move)
			}
		}
		s.advance(time.Second)
	}
}

func TestHostsOfUnknownEndpointsAreNotMoved(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	hosts := baseHosts()
	for n := range 4 {
		hosts = append(hosts, newHost(poolName, fleet.EndpointID(fmt.Sprintf("unseen-%d", n))))
	}
	s.listHosts(baseHosts()...)
	s.leader.UpdateHosts(hosts, s.now, s.now)
	s.step()
	s.advance(time.Second)
	if got := len(s.step().Moves); got != 0 {
		t.Errorf("moves: got %d, want 0", got)
	}
}

func TestRecentlyChangedHostsAreNotMoved(t *testing.T) {
	s := newSimulation(t, simulationConfig{token: 2})
	s.leader.LoadHostChange("spare-00", s.now.Add(-time.Second), s.now, s.now)
	hosts := append(baseHosts(), spareHost(0), spareHost(1))
	s.listHosts(hosts...)
	for n := range 6 {
		s.submit(submission(n+1, tasks(16)))
	}
	moves := s.step().Moves
	if len(moves) != 1 || moves[0].Host != "spare-01" {
		t.Fatalf("moves: got %v, want that of the host without a recent change", moves)
	}
	s.advance(5 * time.Second)
	if got := len(s.step().Moves); got != 1 {
		t.Errorf("moves later: got %d, want 1", got)
	}
}

func TestWave(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	hosts := baseHosts()
	s.listHosts(hosts...)
	row := fleet.WaveRow{Number: 4, TimeLimit: 20 * time.Second, MaxDown: 2}
	for _, h := range hosts {
		row.Hosts = append(row.Hosts, h.ID)
	}
	s.leader.UpdateWave(row, s.now)
	progress := s.leader.WaveProgress(10)
	if len(progress) != 1 || progress[0].Complete {
		t.Fatalf("progress: got %v, want that of a running wave", progress)
	}
	done := 0
	for round := 0; round < 20 && done < len(hosts); round++ {
		maintenance := s.step().Maintenance
		if len(maintenance) > row.MaxDown {
			t.Fatalf("maintenance orders at once: got %d, want at most %d", len(maintenance), row.MaxDown)
		}
		for _, order := range maintenance {
			done++
			s.leader.HandleMaintenanceReply(order, fleet.ChangeAccepted, s.now)
		}
		if got := len(s.step().Maintenance); got != 0 {
			t.Fatalf("maintenance orders while %d are down: got %d, want 0", len(maintenance), got)
		}
		s.advance(2500 * time.Millisecond)
		for _, h := range hosts {
			s.renewLease(h.Endpoint)
		}
		s.leader.UpdateHosts(hosts, s.now, s.now)
	}
	if done != len(hosts) {
		t.Fatalf("hosts done: got %d, want %d", done, len(hosts))
	}
	s.step()
	progress = s.leader.WaveProgress(10)
	if len(progress) != 1 || !progress[0].Complete || len(progress[0].Done) != len(hosts) {
		t.Errorf("progress: got %v, want that of the complete wave", progress)
	}
}

// All hosts of a pool with persistent tasks are due for maintenance.
func TestWaveReplacesHosts(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	hosts := append(baseHosts(), spareHost(0), spareHost(1), spareHost(2))
	s.listHosts(hosts...)
	s.submit(submission(1, persistentTasks(3, 1)))
	s.step()
	s.acceptStarts()
	row := fleet.WaveRow{Number: 1, MaxDown: 10}
	for n := range minPoolHosts {
		row.Hosts = append(row.Hosts, hosts[n].ID)
	}
	s.leader.UpdateWave(row, s.now)
	moved := 0
	for _, move := range s.step().Moves {
		if move.Pool == poolName {
			moved++
		}
	}
	if moved == 0 {
		t.Error("moves to the pool while its hosts are drained: got none, want some")
	}
}

// Pattern: upkeep-at-the-peak. A wave takes hosts that no pool needs, and otherwise no
// more at once than are needed to end in time.
func TestWaveWaitsForFreeHosts(t *testing.T) {
	const maxDown, spares = 6, 12
	tests := map[string]struct {
		jobs      int
		timeLimit time.Duration
		// minStarted and maxStarted bound the maintenance orders of one step.
		minStarted, maxStarted int
	}{
		"nothing to do":     {timeLimit: time.Minute, minStarted: maxDown, maxStarted: maxDown},
		"peak, much time":   {jobs: 40, timeLimit: time.Minute, minStarted: 1, maxStarted: maxDown / 2},
		"peak, little time": {jobs: 40, timeLimit: 10 * time.Second, minStarted: maxDown, maxStarted: maxDown},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			hosts := baseHosts()
			row := fleet.WaveRow{Number: 1, MaxDown: maxDown, TimeLimit: c.timeLimit}
			for n := range spares {
				hosts = append(hosts, spareHost(n))
				row.Hosts = append(row.Hosts, spareHost(n).ID)
			}
			s.listHosts(hosts...)
			for n := range c.jobs {
				s.submit(submission(n+1, tasks(16)))
			}
			s.leader.UpdateWave(row, s.now)
			if got := len(s.step().Maintenance); got < c.minStarted || got > c.maxStarted {
				t.Errorf("maintenance orders: got %d, want %d to %d", got, c.minStarted, c.maxStarted)
			}
		})
	}
}

func TestMaintenanceWaitsForUnknownEndpoints(t *testing.T) {
	s := newSimulation(t, simulationConfig{token: 2})
	unknown := newHost(poolName, "unseen")
	s.leader.UpdateHosts([]fleet.Host{unknown}, s.now, s.now)
	s.leader.UpdateWave(fleet.WaveRow{Number: 1, MaxDown: 1, Hosts: []fleet.HostID{unknown.ID}}, s.now)
	if got := len(s.step().Maintenance); got != 0 {
		t.Errorf("maintenance orders before the endpoint is known: got %d, want 0", got)
	}
	s.advance(8 * time.Second)
	if got := len(s.step().Maintenance); got != 1 {
		t.Errorf("maintenance orders after its leases have expired: got %d, want 1", got)
	}
}

// Persistent tasks leave a draining endpoint one at a time.
func TestRelocationKeepsOtherTasksRunning(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	s.addEndpoint("a")
	s.submit(submission(1, persistentTasks(2, 1)))
	s.step()
	s.acceptStarts()
	s.renewLease("a")
	s.addEndpoint("b")
	draining := endpointRow("a")
	draining.Draining = true
	s.leader.UpdateEndpoint(draining, s.now)
	stops := s.step().Stops
	if len(stops) != 1 {
		t.Fatalf("stops: got %d, want 1", len(stops))
	}
	s.leader.HandleStopReply(stops[0], fleet.Reply{Outcome: fleet.OrderAccepted}, s.now)
	s.endRun(fleet.Start{Endpoint: "a", Task: stops[0].Task, Run: stops[0].Run}, fleet.CompletionStopped)
	s.advance(100 * time.Millisecond)
	s.renewLease("a")
	starts := s.step().Starts
	if len(starts) != 1 || starts[0].Endpoint != "b" {
		t.Fatalf("starts: got %v, want one on b", starts)
	}
	s.leader.HandleStartReply(starts[0], fleet.Reply{Outcome: fleet.OrderAccepted}, s.now)
	s.running["b"] = []fleet.RunningTask{{Task: starts[0].Task, Run: starts[0].Run, SpeedPercent: 40}}
	s.advance(100 * time.Millisecond)
	s.renewLease("b")
	if got := len(s.step().Stops); got != 0 {
		t.Errorf("stops while the first is starting: got %d, want 0", got)
	}
	s.running["b"][0].SpeedPercent = 100
	s.advance(100 * time.Millisecond)
	s.renewLease("a")
	s.renewLease("b")
	if got := len(s.step().Stops); got != 1 {
		t.Errorf("stops once it runs at full speed: got %d, want 1", got)
	}
}

// The former leader may have ordered to stop a run that is still reported.
func TestAdoptedRunsCountAfterInheritedStops(t *testing.T) {
	s := newSimulation(t, simulationConfig{token: 2, jobs: []fleet.StoredJob{{Submission: submission(1, persistentTasks(2, 1))}}})
	for index, id := range []fleet.EndpointID{"a", "b"} {
		s.running[id] = []fleet.RunningTask{{Task: job.Task{Job: jobID(1), Index: index}, Run: 1, SpeedPercent: 100}}
		s.addEndpoint(id)
	}
	s.addEndpoint("c")
	s.listHostsOf("a", "b", "c")
	draining := endpointRow("a")
	draining.Draining = true
	s.leader.UpdateEndpoint(draining, s.now)
	if got := len(s.step().Stops); got != 0 {
		t.Errorf("stops at once: got %d, want 0", got)
	}
	s.advance(250 * time.Millisecond)
	s.renewLease("a")
	s.renewLease("b")
	if got := len(s.step().Stops); got != 1 {
		t.Errorf("stops once the other is known to run at full speed: got %d, want 1", got)
	}
}

// An endpoint's last report is kept after it has become unreachable.
func TestStaleReportsDoNotCountAsRunning(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	s.addEndpoint("a")
	s.addEndpoint("b")
	step := persistentTasks(2, 1)
	step.MaxPerEndpoint = 1
	s.submit(submission(1, step))
	s.step()
	s.acceptStarts()
	s.renewLease("a")
	s.renewLease("b")
	s.addEndpoint("c")
	s.advance(2500 * time.Millisecond)
	s.renewLease("a")
	draining := endpointRow("a")
	draining.Draining = true
	s.leader.UpdateEndpoint(draining, s.now)
	if got := len(s.step().Stops); got != 0 {
		t.Errorf("stops while the other's report is old: got %d, want 0", got)
	}
}

func TestBestEffortRunsAreThrottled(t *testing.T) {
	serving, bestEffort := persistentTasks(1, 1), persistentTasks(1, 1)
	serving.TailTarget = 100 * time.Millisecond
	bestEffort.BestEffort = true
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
			s := newSimulation(t, simulationConfig{})
			s.addEndpoint("a")
			s.submit(submission(1, serving, bestEffort))
			s.step()
			s.acceptStarts()
			for i := range s.running["a"] {
				if s.running["a"][i].Task.Step == 0 {
					s.running["a"][i].TailLatency = c.tail
				}
			}
			s.renewLease("a")
			percent := 100
			for _, throttle := range s.step().Throttles {
				percent = throttle.Percent
			}
			if percent != c.want {
				t.Errorf("throttle: got %d, want %d", percent, c.want)
			}
		})
	}
}

func TestDump(t *testing.T) {
	s := newSimulation(t, simulationConfig{policy: policy.Config{}})
	s.addEndpoint("a")
	s.submit(submission(1, tasks(2)))
	dump := s.leader.Dump(s.now)
	if len(dump.Endpoints) != 1 || len(dump.Jobs) != 1 || dump.Jobs[0].Pending != 2 || dump.Jobs[0].ID != jobID(1) {
		t.Errorf("dump: got %+v, want an endpoint and a job with two pending tasks", dump)
	}
	if got := s.leader.MaxHostResources(); got != endpointSize {
		t.Errorf("host resources: got %v, want %v", got, endpointSize)
	}
	if got := s.leader.Waiting()[queueName]; got != 1 {
		t.Errorf("waiting: got %d, want 1", got)
	}
}

// Pattern: turns-beyond-the-pool. In a large fleet hosts are planned every few steps, so
// that tasks do not wait for it, and no less often.
func TestHostsArePlannedInLargeFleets(t *testing.T) {
	for name, test := range map[string]struct {
		hosts, want int
	}{
		"small fleet": {hosts: 100, want: 3},
		"large fleet": {hosts: 1000, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			hosts := baseHosts()
			for n := range test.hosts {
				hosts = append(hosts, spareHost(n))
			}
			s.listHosts(hosts...)
			s.advance(time.Second)
			s.step()
			for n := range 200 {
				s.submit(submission(n+1, tasks(16)))
			}
			planned := 0
			for range 3 {
				// The platform answers nothing: moves are ordered whenever hosts are planned.
				s.advance(6 * time.Millisecond)
				if len(s.step().Moves) > 0 {
					planned++
				}
			}
			if planned != test.want {
				t.Errorf("steps with moves, of three in 18 ms: got %d, want %d", planned, test.want)
			}
		})
	}
}
