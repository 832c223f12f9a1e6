package fleet_test

import (
	"slices"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
)

// downHost returns the host of an endpoint that has crashed.
func downHost(id fleet.EndpointID) fleet.Host {
	h := newHost(poolName, id)
	h.State, h.Endpoint = fleet.HostDown, ""
	return h
}

// listed delivers a host list that was requested now.
func (s *simulation) listed(hosts ...fleet.Host) {
	s.leader.UpdateHosts(hosts, s.now, s.now)
	s.advance(time.Millisecond)
}

// listedGone delivers a host list that shows endpoint "a" as ended. It checks that nothing follows
// from it until the endpoint, when it is asked, does not answer.
func (s *simulation) listedGone(hosts ...fleet.Host) {
	s.t.Helper()
	s.listed(hosts...)
	s.wantOrders("after a list that shows the end, before the endpoint was asked", 0, 0)
	s.failRenewal("a", fleet.OrderUnknown)
}

// outlastListLag lets time pass until the host list counts for all endpoints.
func (s *simulation) outlastListLag() {
	s.t.Helper()
	const maxHostListLag = 5 * time.Second
	for end := s.now.Add(maxHostListLag); s.now.Before(end); {
		s.advance(250 * time.Millisecond)
		s.renewAll()
	}
}

// startOn returns a simulation in which a task's start has been ordered on endpoint "a", and
// has no answer yet, beside the empty endpoint "b".
func startOn(t *testing.T) (*simulation, fleet.Start) {
	onePool := defaultPolicy()
	onePool.Pools = onePool.Pools[:1]
	s := newSimulation(t, simulationConfig{policy: onePool})
	s.startedAt = s.now.Add(-time.Hour)
	s.addEndpoint("a")
	s.outlastListLag()
	s.submit(submission(1, tasks(1)))
	start := s.step().Starts[0]
	s.addEndpoint("b")
	s.listed(newHost(poolName, "a"), newHost(poolName, "b"))
	return s, start
}

// accept answers a start, whose run the endpoint reports from now on.
func (s *simulation) accept(start fleet.Start) {
	s.run(start)
	s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderAccepted, Clock: s.now.Sub(s.lifeOf(start.Endpoint).began)}, s.now)
	s.advance(time.Millisecond)
}

// Guards against two runs of a task at once: a host list was requested before the endpoint
// had restarted under its ID, and arrives once the new incarnation has accepted a task.
func TestHostListOlderThanAnswer(t *testing.T) {
	s, start := startOn(t)
	requestedAt := s.now
	s.advance(10 * time.Millisecond)
	s.restart("a", laterStart)
	s.accept(start)
	s.leader.UpdateHosts([]fleet.Host{downHost("a"), newHost(poolName, "b")}, requestedAt, s.now)
	s.wantOrders("after a list that is older than the answer", 0, 0)
	if _, due := s.leader.NextRenewal("a", s.now); !due {
		t.Error("question to the endpoint that the list shows as ended: got none due, want one")
	}
	s.renewLease("a")
	s.wantOrders("after the report", 0, 0)
	s.advance(time.Millisecond)
	s.listed(newHost(poolName, "a"), newHost(poolName, "b"))
	s.renewLease("a")
	s.wantOrders("after the next list and report", 0, 0)
}

// Guards against two runs of a task at once: a start without an answer, on an endpoint whose
// host is down, is carried out by the incarnation that the host starts next. Its task waits
// for the answer, a report or the end of the lease, and the endpoint is kept until then.
func TestUnansweredStartOnGoneEndpoint(t *testing.T) {
	hosts := []fleet.Host{downHost("a"), newHost(poolName, "b")}
	tests := map[string]struct {
		// isAnswered is true if the call has ended, without an answer.
		isAnswered bool
		resolve    func(s *simulation, start fleet.Start)
		starts     int
	}{
		"on its way, rejected": {false, func(s *simulation, start fleet.Start) {
			s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderNotSent}, s.now)
			s.advance(100 * time.Millisecond)
		}, 1},
		"on its way, accepted before the crash": {false, func(s *simulation, start fleet.Start) {
			s.failRenewal("a", fleet.OrderHungUp)
			s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderAccepted}, s.now)
			s.failRenewal("a", fleet.OrderRefused)
			s.wantOrders("before the next list", 0, 0)
			s.advance(time.Millisecond)
			if !s.leader.NeedsHostList(s.now) {
				s.t.Error("host list needed for a run that was answered after the last one: got false, want true")
			}
			s.listedGone(hosts...)
		}, 1},
		"on its way, accepted by the next incarnation": {false, func(s *simulation, start fleet.Start) {
			s.restart("a", laterStart)
			s.accept(start)
			s.renewLease("a")
		}, 0},
		"unanswered, reported by the next incarnation": {true, func(s *simulation, start fleet.Start) {
			s.restart("a", laterStart)
			s.run(start)
			s.renewLease("a")
		}, 0},
		"unanswered, listed and reported again": {true, func(s *simulation, start fleet.Start) {
			s.restart("a", laterStart)
			s.run(start)
			s.listed(newHost(poolName, "a"), newHost(poolName, "b"))
			s.renewLease("a")
		}, 0},
		"unanswered, silent until the lease has expired": {true, func(s *simulation, _ fleet.Start) {
			s.outwaitLease(fleet.OrderUnknown)
		}, 1},
		"unanswered, another endpoint answers at the address": {true, func(s *simulation, _ fleet.Start) {
			s.outwaitLease(fleet.OrderOtherIncarnation)
		}, 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s, start := startOn(t)
			if c.isAnswered {
				s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderUnknown}, s.now)
			}
			s.advance(10 * time.Millisecond)
			s.listedGone(hosts...)
			s.wantOrders("while the start is not resolved", 0, 0)
			s.leader.RemoveEndpoint("a", s.now)
			if got, want := s.leader.EndpointCount(), 2; got != want {
				t.Fatalf("endpoints while the start is not resolved: got %d, want %d", got, want)
			}
			renewal, due := s.leader.NextRenewal("a", s.now)
			if !due || renewal.Lease != 0 || renewal.AckedUpTo != 0 {
				t.Errorf("renewal: got %+v (due %t), want one without lease and acknowledgement", renewal, due)
			}
			c.resolve(s, start)
			s.writeBatches()
			starts := s.startsOnceStored()
			if len(starts) != c.starts {
				t.Fatalf("starts: got %v, want %d", starts, c.starts)
			}
			if c.starts == 1 {
				s.listed(hosts...)
				s.failRenewal("a", fleet.OrderUnknown)
			}
			if got, want := s.leader.EndpointCount(), 2-c.starts; got != want {
				t.Errorf("endpoints after that: got %d, want %d", got, want)
			}
		})
	}
}

// failRenewal lets an endpoint's renewal fail if one is due.
func (s *simulation) failRenewal(id fleet.EndpointID, outcome fleet.OrderOutcome) {
	if _, due := s.leader.NextRenewal(id, s.now); due {
		s.leader.RenewalFailed(id, fleet.Reply{Outcome: outcome, SentAt: s.now}, s.now)
	}
}

// outwaitLease lets the renewals of endpoint "a" fail until a lease that was granted now has
// expired, and checks that nothing starts before.
func (s *simulation) outwaitLease(outcome fleet.OrderOutcome) {
	s.t.Helper()
	const lease, slack = 5 * time.Second, 500 * time.Millisecond
	for waited := time.Duration(0); waited < lease+slack; waited += 100 * time.Millisecond {
		if waited < lease {
			s.wantOrders("before the lease has expired", 0, 0)
		}
		s.advance(100 * time.Millisecond)
		s.failRenewal("a", outcome)
		s.renewLease("b")
	}
}

// Guards against two runs of a task at once: the platform's answer to a host change is lost or
// late, and arrives, or is replaced by the list, when the host is back and its new endpoint, or
// the same one after a restart, already runs tasks.
func TestHostChangeEndsOnlyEarlierEndpoint(t *testing.T) {
	const maintained = true
	tests := map[string]struct {
		// before is the endpoint on the host when the change is ordered; "x" is on it after.
		before      fleet.EndpointID
		maintenance bool
		outcome     fleet.ChangeOutcome
	}{
		"move unanswered, new endpoint":          {"", false, fleet.ChangeUnknown},
		"move unanswered, other endpoint":        {"w", false, fleet.ChangeUnknown},
		"move unanswered, same endpoint":         {"x", false, fleet.ChangeUnknown},
		"move answered late, new endpoint":       {"", false, fleet.ChangeAccepted},
		"move answered late, other endpoint":     {"w", false, fleet.ChangeAccepted},
		"move answered late, same endpoint":      {"x", false, fleet.ChangeAccepted},
		"maintenance unanswered, other endpoint": {"w", maintained, fleet.ChangeUnknown},
		"maintenance answered late, same":        {"x", maintained, fleet.ChangeAccepted},
		"maintenance answered late, other":       {"w", maintained, fleet.ChangeAccepted},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			host := fleet.Host{ID: "m-x", Pool: spareName, State: fleet.HostUp, Endpoint: c.before, Capacity: endpointSize}
			others := baseHosts()
			s.listHosts(append(others, host)...)
			const fitting = 16 * minPoolHosts
			s.submit(submission(1, tasks(fitting+1)))
			answer := s.changeHost(host.ID, c.maintenance)
			s.acceptStarts()
			if c.outcome == fleet.ChangeUnknown {
				answer(fleet.ChangeUnknown)
			}
			s.advance(2 * time.Second)
			s.restart("x", laterStart)
			s.list("x")
			s.run(fleet.Start{Endpoint: "x", Task: job.Task{Job: jobID(1), Index: fitting}, Run: 1})
			s.endRun(s.orders.Starts[0], fleet.CompletionDone)
			s.renewAll()
			if c.outcome == fleet.ChangeAccepted {
				answer(fleet.ChangeAccepted)
			}
			s.advance(time.Millisecond)
			if renewal, due := s.leader.NextRenewal("x", s.now); !due || renewal.Lease == 0 {
				t.Errorf("renewal of the endpoint that is on the host: got %+v (due %t), want one with a lease", renewal, due)
			}
			host.Endpoint = "x"
			if !c.maintenance {
				host.Pool = poolName
			}
			for range 10 {
				s.wantOrders("while the task runs on the host", 0, 0)
				if !c.maintenance && s.isLeaving("x") || len(s.orders.Moves) != 0 {
					t.Errorf("endpoint that is on the host after the change: got it drained or moved (%v), want not", s.orders.Moves)
				}
				s.advance(300 * time.Millisecond)
				s.listed(append(others, host)...)
				s.renewAll()
			}
		})
	}
}

// changeHost runs the step in which a host is moved or maintained, and returns a function that
// delivers the platform's answer.
func (s *simulation) changeHost(id fleet.HostID, maintenance bool) func(outcome fleet.ChangeOutcome) {
	s.t.Helper()
	if maintenance {
		s.leader.UpdateWave(fleet.WaveRow{Number: 1, MaxDown: 1, Hosts: []fleet.HostID{id}, TimeLimit: time.Second}, s.now)
	}
	orders := s.step()
	if len(orders.Moves)+len(orders.Maintenance) != 1 || maintenance != (len(orders.Maintenance) == 1) {
		s.t.Fatalf("host changes: got %d moves and %d maintenance orders, want one", len(orders.Moves), len(orders.Maintenance))
	}
	return func(outcome fleet.ChangeOutcome) {
		if maintenance {
			s.leader.HandleMaintenanceReply(orders.Maintenance[0], outcome, s.now)
			return
		}
		s.leader.HandleMoveReply(orders.Moves[0], outcome, s.now)
	}
}

// isLeaving reports whether an endpoint is being drained.
func (s *simulation) isLeaving(id fleet.EndpointID) bool {
	for _, e := range s.leader.Dump(s.now).Endpoints {
		if e.ID == id {
			return e.Leaving
		}
	}
	return false
}

// wantGone checks whether an endpoint without runs counts as gone, so that it is not renewed.
func (s *simulation) wantGone(when string, id fleet.EndpointID, want bool) {
	s.t.Helper()
	if renewal, due := s.leader.NextRenewal(id, s.now); due == want {
		s.t.Errorf("renewal of %s %s: got %+v (due %t), want due %t", id, when, renewal, due, !want)
	}
}

// renewAll delivers the reports that are due.
func (s *simulation) renewAll() {
	s.advance(time.Millisecond)
	for _, id := range s.leader.EndpointIDs() {
		s.renewLease(id)
	}
}

// Guards against two runs of a task at once: one host list lacks an endpoint that runs on, since
// its parts were read at different moments, or since the host has just come back. A list in which
// the endpoint's host shows that it has ended frees its tasks at once.
func TestEndpointMissingFromHostList(t *testing.T) {
	with := func(change func(h *fleet.Host)) fleet.Host {
		h := newHost(poolName, "a")
		change(&h)
		return h
	}
	tests := map[string]struct {
		// lists are the rows of the endpoint's host in lists that follow each other.
		lists [][]fleet.Host
		// between happens after each list.
		between func(s *simulation)
		// unnamed is true if the endpoint does not name its host.
		unnamed bool
		starts  int
	}{
		"host missing once":              {lists: [][]fleet.Host{{}}, starts: 0},
		"host missing twice, call fails": {lists: [][]fleet.Host{{}, {}}, between: func(s *simulation) { s.failRenewal("a", fleet.OrderUnknown) }, starts: 1},
		"host missing twice, silent":     {lists: [][]fleet.Host{{}, {}}, between: func(s *simulation) { s.advance(1500 * time.Millisecond) }, starts: 0},
		"host missing twice, silent, call fails": {lists: [][]fleet.Host{{}, {}}, between: func(s *simulation) {
			s.advance(1500 * time.Millisecond)
			s.failRenewal("a", fleet.OrderUnknown)
		}, starts: 1},
		"down, and reports":                     {lists: [][]fleet.Host{{downHost("a")}, {downHost("a")}}, between: (*simulation).renewAll, starts: 0},
		"down, not asked":                       {lists: [][]fleet.Host{{downHost("a")}, {downHost("a")}}, starts: 0},
		"host missing twice, report on its way": {lists: [][]fleet.Host{{}, {}, {}}, between: func(s *simulation) { s.advance(300 * time.Millisecond) }, starts: 0},
		"host missing, reports":                 {lists: [][]fleet.Host{{}, {}, {}}, between: (*simulation).renewAll, starts: 0},
		"missing, listed, missing":              {lists: [][]fleet.Host{{}, {newHost(poolName, "a")}, {}}, starts: 0},
		"no endpoint on it once":                {lists: [][]fleet.Host{{with(func(h *fleet.Host) { h.Endpoint = "" })}}, starts: 0},
		"down":                                  {lists: [][]fleet.Host{{downHost("a")}}, between: func(s *simulation) { s.failRenewal("a", fleet.OrderUnknown) }, starts: 1},
		"down, host known from a list":          {lists: [][]fleet.Host{{downHost("a")}}, between: func(s *simulation) { s.failRenewal("a", fleet.OrderUnknown) }, unnamed: true, starts: 1},
		"down, but names its endpoint":          {lists: [][]fleet.Host{{with(func(h *fleet.Host) { h.State = fleet.HostDown })}}, starts: 0},
		"moving":                                {lists: [][]fleet.Host{{with(func(h *fleet.Host) { h.State, h.Endpoint = fleet.HostMoving, "" })}}, between: func(s *simulation) { s.failRenewal("a", fleet.OrderUnknown) }, starts: 1},
		"maintained":                            {lists: [][]fleet.Host{{with(func(h *fleet.Host) { h.State, h.Endpoint = fleet.HostMaintenance, "" })}}, between: func(s *simulation) { s.failRenewal("a", fleet.OrderUnknown) }, starts: 1},
		"other endpoint":                        {lists: [][]fleet.Host{{with(func(h *fleet.Host) { h.Endpoint = "c" })}}, between: func(s *simulation) { s.failRenewal("a", fleet.OrderUnknown) }, starts: 1},
		"other endpoint, elsewhere too":         {lists: [][]fleet.Host{{with(func(h *fleet.Host) { h.Endpoint = "c" }), with(func(h *fleet.Host) { h.ID = "m-2" })}}, starts: 0},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s, start := startOn(t)
			s.accept(start)
			s.renewLease("a")
			if c.unnamed {
				row := endpointRow("a")
				row.Host = ""
				s.leader.UpdateEndpoint(row, s.now)
			}
			got := 0
			for _, rows := range c.lists {
				got += len(s.step().Starts)
				s.advance(10 * time.Millisecond)
				s.listed(append(rows, newHost(poolName, "b"))...)
				if c.between != nil {
					c.between(s)
				}
			}
			s.writeBatches()
			if got += len(s.startsOnceStored()); got != c.starts {
				t.Errorf("starts: got %d, want %d", got, c.starts)
			}
		})
	}
}

// Guards against waves that are called complete too early, and against more hosts down at once
// than allowed: one host list lacks a host of the wave, since its parts were read at different
// moments.
func TestWaveWhileHostIsMissingFromList(t *testing.T) {
	newWave := func(t *testing.T) (*simulation, []fleet.Host) {
		s := newSimulation(t, simulationConfig{})
		hosts := baseHosts()
		s.listHosts(hosts...)
		s.leader.UpdateWave(fleet.WaveRow{Number: 1, MaxDown: 1, Hosts: []fleet.HostID{hosts[0].ID, hosts[1].ID}, TimeLimit: time.Second}, s.now)
		orders := s.step().Maintenance
		if len(orders) != 1 {
			t.Fatalf("maintenance orders at first: got %d, want 1", len(orders))
		}
		s.leader.HandleMaintenanceReply(orders[0], fleet.ChangeAccepted, s.now)
		s.advance(time.Millisecond)
		if orders[0].Host == hosts[1].ID {
			hosts[0], hosts[1] = hosts[1], hosts[0]
		}
		return s, hosts
	}
	without := func(hosts []fleet.Host, index int) []fleet.Host {
		return slices.Delete(slices.Clone(hosts), index, index+1)
	}
	t.Run("host that is down", func(t *testing.T) {
		s, hosts := newWave(t)
		for n := range 4 {
			s.listed(without(hosts, 0)...)
			if got := len(s.step().Maintenance); got != 0 {
				t.Errorf("maintenance orders while a host is down, %d lists lack it: got %d, want 0", n+1, got)
			}
		}
	})
	t.Run("host that is due", func(t *testing.T) {
		s, hosts := newWave(t)
		s.advance(3 * time.Second)
		s.listed(without(hosts, 1)...)
		s.step()
		for _, wave := range s.leader.WaveProgress(10) {
			if wave.Complete {
				t.Errorf("wave with a host that is due: got complete, want running")
			}
		}
		s.listed(hosts...)
		if got := len(s.step().Maintenance); got != 1 {
			t.Errorf("maintenance orders once it is listed: got %d, want 1", got)
		}
	})
	t.Run("host that was taken away", func(t *testing.T) {
		s, hosts := newWave(t)
		s.advance(3 * time.Second)
		// The list lags by up to five seconds.
		const lagging = 16
		answers := func(id fleet.EndpointID) bool { return id != hosts[1].Endpoint }
		if s.completesWave(lagging, without(hosts, 1), answers) {
			t.Error("wave while lists without the host may lag: got complete, want running")
		}
		if !s.completesWave(lagging, without(hosts, 1), answers) {
			t.Error("wave after lists without the host: got running, want complete")
		}
	})
}

// Guards against maintenance of a host with a task at work: the platform's list has lost the
// endpoint's entry, or the host does not name its endpoint, while the endpoint reports its run.
func TestMaintenanceWaitsForRunsOfUnnamedEndpoint(t *testing.T) {
	tests := map[string]struct {
		hostNames fleet.EndpointID
		unlisted  bool
	}{
		"endpoint not listed":     {hostNames: "a", unlisted: true},
		"host names no endpoint":  {},
		"neither names the other": {unlisted: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s, start := startOn(t)
			s.accept(start)
			s.renewAll()
			if c.unlisted {
				s.leader.RemoveEndpoint("a", s.now)
			}
			host := newHost(poolName, "a")
			host.Endpoint = c.hostNames
			s.leader.UpdateWave(fleet.WaveRow{Number: 1, MaxDown: 1, Hosts: []fleet.HostID{host.ID}, TimeLimit: time.Second}, s.now)
			maintain := func() int {
				s.advance(500 * time.Millisecond)
				s.renewAll()
				s.listed(host, newHost(poolName, "b"))
				return len(s.step().Maintenance)
			}
			for range 20 {
				if got := maintain(); got != 0 {
					t.Fatalf("maintenance orders while the endpoint reports a run: got %d, want 0", got)
				}
			}
			s.endRun(start, fleet.CompletionDone)
			s.renewAll()
			if got := maintain(); got != 0 {
				t.Fatalf("maintenance orders before the end is written: got %d, want 0", got)
			}
			s.writeBatches()
			got := 0
			for range 20 {
				got += maintain()
			}
			if got != 1 {
				t.Errorf("maintenance orders after the run: got %d, want 1", got)
			}
		})
	}
}

// Guards against two runs of a task at once: an endpoint that reports a run of a job which is
// still being looked up loses its entry in the platform's list, and is forgotten with the run.
// Once it is silent for a lease, or its host is down, the task must not wait for it.
func TestBlockedEndpointIsNotForgotten(t *testing.T) {
	tests := map[string]struct {
		isListed bool
		resolve  func(s *simulation)
		starts   int
	}{
		"reports on":                 {false, func(s *simulation) { s.renewAll() }, 0},
		"host is down":               {false, func(s *simulation) { s.listedGone(downHost("a"), newHost(poolName, "b")) }, 1},
		"host is down, still listed": {true, func(s *simulation) { s.listedGone(downHost("a"), newHost(poolName, "b")) }, 1},
		"silent for a lease":         {false, func(s *simulation) { s.outwaitLease(fleet.OrderUnknown) }, 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			onePool := defaultPolicy()
			onePool.Pools = onePool.Pools[:1]
			s := newSimulation(t, simulationConfig{token: 2, policy: onePool})
			task := job.Task{Job: jobID(7)}
			s.run(fleet.Start{Endpoint: "a", Task: task, Run: 1})
			s.addEndpoint("a")
			s.addEndpoint("b")
			s.listed(newHost(poolName, "a"), newHost(poolName, "b"))
			for range 40 {
				s.advance(200 * time.Millisecond)
				s.renewAll()
				s.step()
			}
			if !c.isListed {
				s.leader.RemoveEndpoint("a", s.now)
			}
			s.leader.HandleLookup(task.Job, &fleet.StoredJob{Submission: submission(7, tasks(1))}, s.now, s.now)
			s.wantOrders("while the endpoint may run the task", 0, 0)
			c.resolve(s)
			if got := len(s.step().Starts); got != c.starts {
				t.Errorf("starts after that: got %d, want %d", got, c.starts)
			}
		})
	}
}

// Guards against a task that runs again after its end: a report that was on its way when the
// endpoint restarted arrives after the sign of the restart. Completions of the earlier
// incarnation are then acknowledged to the new one, which forgets its own, unread.
func TestReportOlderThanSignOfRestart(t *testing.T) {
	signs := map[string]func(s *simulation){
		"endpoint list": func(s *simulation) { s.list("a") },
		"host list":     func(s *simulation) { s.listed(downHost("a"), newHost(poolName, "b")) },
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			s, start := startOn(t)
			s.accept(start)
			s.endRun(start, fleet.CompletionDone)
			s.advance(time.Millisecond)
			requestedAt := s.now
			renewal, _ := s.leader.NextRenewal("a", s.now)
			earlier := s.reportOf("a")
			s.restart("a", laterStart)
			s.advance(time.Millisecond)
			sign(s)
			s.leader.HandleReport("a", renewal, requestedAt, earlier, s.now)
			s.writeBatches()
			s.advance(time.Millisecond)
			if next, due := s.leader.NextRenewal("a", s.now); !due || next.AckedUpTo != 0 {
				t.Errorf("renewal after the report: got %+v (due %t), want one without acknowledgement", next, due)
			}
			s.submit(submission(2, tasks(1)))
			for _, start := range s.step().Starts {
				if start.Endpoint == "a" {
					t.Errorf("start before the next report: got one on %s, want none", start.Endpoint)
				}
			}
			s.renewLease("a")
			s.submit(submission(3, tasks(32)))
			starts := 0
			for _, start := range s.step().Starts {
				if start.Endpoint == "a" {
					starts++
				}
			}
			if starts == 0 {
				t.Error("starts after the next report: got none on a, want some")
			}
		})
	}
}

// Guards against two runs of a task at once: a host has come back with an endpoint that already
// runs tasks, while the host list still shows it as it was before.
func TestHostListThatLags(t *testing.T) {
	replaced := newHost(poolName, "a")
	replaced.Endpoint = "former"
	tests := map[string]fleet.Host{"host down": downHost("a"), "earlier endpoint": replaced}
	for name, lagging := range tests {
		t.Run(name, func(t *testing.T) {
			onePool := defaultPolicy()
			onePool.Pools = onePool.Pools[:1]
			s := newSimulation(t, simulationConfig{policy: onePool})
			other := newHost(poolName, "b")
			s.listed(lagging, other)
			s.addEndpoint("a")
			s.submit(submission(1, tasks(1)))
			start := s.step().Starts[0]
			s.accept(start)
			s.addEndpoint("b")
			for range 4 {
				s.renewLease("a")
				s.advance(300 * time.Millisecond)
				s.listed(lagging, other)
				s.wantOrders("while the list lags", 0, 0)
			}
			s.listed(newHost(poolName, "a"), other)
			s.outlastListLag()
			s.listedGone(lagging, other)
			s.wantOrders("after the list has shown the endpoint, and then its end", 1, 0)
		})
	}
}

// Guards against sound endpoints that are taken for gone, and against gone ones that are taken
// for sound: lists, changes and reports that overtake each other.
func TestOrderOfEvidence(t *testing.T) {
	a, b := newHost(poolName, "a"), newHost(poolName, "b")
	tests := map[string]func(s *simulation, start fleet.Start){
		"list older than the last report": func(s *simulation, start fleet.Start) {
			s.accept(start)
			requestedAt := s.now
			s.advance(time.Millisecond)
			s.renewAll()
			s.leader.UpdateHosts([]fleet.Host{downHost("a"), b}, requestedAt, s.now)
			s.wantOrders("after the list", 0, 0)
		},
		"list older than the endpoint": func(s *simulation, _ fleet.Start) {
			requestedAt := s.now
			s.leader.UpdateEndpoint(endpointRow("c"), s.now)
			s.leader.UpdateHosts([]fleet.Host{a, b, downHost("c")}, requestedAt, s.now)
			s.wantGone("after a list that is older", "c", false)
		},
		"answered between two lists without the endpoint": func(s *simulation, start fleet.Start) {
			s.listed(b)
			s.accept(start)
			s.failRenewal("a", fleet.OrderHungUp)
			s.failRenewal("a", fleet.OrderRefused)
			s.listedGone(b)
			s.wantOrders("after two lists, one of them older than the answer", 0, 0)
			s.listedGone(b)
			s.wantOrders("before the crash is stored", 0, 0)
			s.writeBatches()
			s.wantOrders("after two lists since the answer", 1, 0)
		},
		"unanswered, but reported": func(s *simulation, start fleet.Start) {
			s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderUnknown}, s.now)
			s.run(start)
			s.advance(time.Millisecond)
			s.renewAll()
			s.listedGone(downHost("a"), b)
			s.wantOrders("before the crash is stored", 0, 0)
			s.writeBatches()
			s.wantOrders("after the host has crashed", 1, 0)
		},
		"listed once without the endpoint": func(s *simulation, start fleet.Start) {
			s.accept(start)
			s.renewAll()
			s.listed(b)
			if !s.leader.NeedsHostList(s.now) {
				s.t.Error("second list needed: got false, want true")
			}
		},
		"gone, then on its host again": func(s *simulation, start fleet.Start) {
			s.accept(start)
			s.endRun(start, fleet.CompletionDone)
			s.renewAll()
			s.writeBatches()
			s.listedGone(downHost("a"), b)
			s.wantGone("after its host went down", "a", true)
			s.listed(a, b)
			s.wantGone("after its host came back", "a", false)
			if renewal, _ := s.leader.NextRenewal("a", s.now); renewal.AckedUpTo != 0 || renewal.Lease != 0 {
				s.t.Errorf("renewal: got %+v, want one without acknowledgement and lease", renewal)
			}
		},
		"gone, then listed with another start": func(s *simulation, start fleet.Start) {
			s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderNotSent}, s.now)
			s.listed(downHost("a"), b)
			s.restart("a", laterStart)
			s.list("a")
			s.wantGone("after it was listed with another start", "a", false)
		},
	}
	for name, check := range tests {
		t.Run(name, func(t *testing.T) {
			s, start := startOn(t)
			check(s, start)
		})
	}
}

// Guards against the same, for the answer to a host change.
func TestOrderOfChangeAndList(t *testing.T) {
	maintained := func(t *testing.T) (*simulation, []fleet.Host, func(outcome fleet.ChangeOutcome)) {
		s := newSimulation(t, simulationConfig{})
		hosts := append(baseHosts(), newHost(poolName, "x"))
		s.listHosts(hosts...)
		return s, hosts, s.changeHost("m-x", true)
	}
	t.Run("list older than the answer", func(t *testing.T) {
		s, hosts, answer := maintained(t)
		requestedAt := s.now
		s.advance(time.Millisecond)
		answer(fleet.ChangeAccepted)
		s.leader.UpdateHosts(hosts, requestedAt, s.now)
		s.wantGone("after a list that is older than the change", "x", true)
	})
	t.Run("list names the endpoint during the change", func(t *testing.T) {
		s, hosts, answer := maintained(t)
		answer(fleet.ChangeAccepted)
		s.advance(time.Millisecond)
		hosts[len(hosts)-1].State = fleet.HostMaintenance
		s.listed(hosts...)
		s.wantGone("while its host is maintained", "x", true)
	})
	t.Run("run that was reported after the order", func(t *testing.T) {
		s, hosts, answer := maintained(t)
		s.submit(submission(1, tasks(1)))
		s.run(fleet.Start{Endpoint: "x", Task: job.Task{Job: jobID(1)}, Run: 1})
		s.advance(time.Millisecond)
		s.report("x", s.now)
		answer(fleet.ChangeAccepted)
		s.wantOrders("after the answer", 0, 0)
		s.advance(time.Millisecond)
		last := &hosts[len(hosts)-1]
		last.State, last.Endpoint = fleet.HostMaintenance, ""
		s.failRenewal("x", fleet.OrderHungUp)
		s.failRenewal("x", fleet.OrderRefused)
		s.listed(hosts...)
		s.wantOrders("after the list has shown the change, before the endpoint was asked", 0, 0)
		s.failRenewal("x", fleet.OrderRefused)
		s.wantOrders("after the list has shown the change", 1, 0)
	})
	t.Run("endpoint that was not known", func(t *testing.T) {
		s := newSimulation(t, simulationConfig{})
		s.listed(newHost(poolName, "x"))
		s.step()
		s.advance(8 * time.Second)
		answer := s.changeHost("m-x", true)
		s.leader.UpdateEndpoint(endpointRow("x"), s.now)
		answer(fleet.ChangeAccepted)
		s.wantGone("after the answer", "x", true)
	})
	t.Run("restart that only the list shows", func(t *testing.T) {
		s := newSimulation(t, simulationConfig{})
		host := newHost(spareName, "x")
		hosts := append(baseHosts(), host)
		s.listHosts(hosts...)
		s.submit(submission(1, tasks(16*minPoolHosts+1)))
		answer := s.changeHost(host.ID, false)
		answer(fleet.ChangeUnknown)
		s.advance(2 * time.Second)
		hosts[len(hosts)-1].Pool = poolName
		s.listed(hosts...)
		s.wantGone("after the list has shown the move", "x", false)
	})
}

// Guards against two runs of a task at once: a list that lags took longer than the endpoint's
// first report, so that its arrival seemed to show what happened after the endpoint was listed.
func TestListThatLagsAndIsSlow(t *testing.T) {
	onePool := defaultPolicy()
	onePool.Pools = onePool.Pools[:1]
	s := newSimulation(t, simulationConfig{policy: onePool})
	lagging, other := downHost("a"), newHost(poolName, "b")
	requestedAt := s.now
	s.advance(10 * time.Millisecond)
	s.addEndpoint("a")
	s.advance(40 * time.Millisecond)
	s.leader.UpdateHosts([]fleet.Host{lagging, other}, requestedAt, s.now)
	s.submit(submission(1, tasks(1)))
	s.accept(s.step().Starts[0])
	s.addEndpoint("b")
	s.renewLease("a")
	s.advance(300 * time.Millisecond)
	s.listed(lagging, other)
	s.wantOrders("while the list lags and the endpoint reports its run", 0, 0)
}

// Guards against a host that is never changed: each change is withdrawn since it was ordered
// from a row of the host that is older than the list.
func TestWithdrawnChangeIsOrderedFromTheNewestRow(t *testing.T) {
	tests := map[string]struct {
		host string
		want int
	}{
		"endpoint does not name its host": {host: "", want: 1},
		"endpoint names its host":         {host: hostOf("c"), want: 0},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			unnamed := newHost(poolName, "c")
			unnamed.Endpoint = ""
			s.addEndpoint("b")
			s.listed(unnamed, newHost(poolName, "b"))
			s.leader.UpdateWave(fleet.WaveRow{Number: 1, MaxDown: 1, Hosts: []fleet.HostID{unnamed.ID}, TimeLimit: time.Second}, s.now)
			row := endpointRow("c")
			row.Host = c.host
			s.leader.UpdateEndpoint(row, s.now)
			s.advance(time.Millisecond)
			s.renewLease("c")
			withdrawn, isSent := 0, false
			for range 50 {
				s.advance(100 * time.Millisecond)
				if len(s.step().Maintenance) == 0 {
					continue
				}
				// A list arrives while the order waits for the store.
				s.advance(100 * time.Millisecond)
				s.listed(newHost(poolName, "c"), newHost(poolName, "b"))
				if isSent = s.leader.ConfirmHostChange(unnamed.ID, s.now); isSent {
					break
				}
				withdrawn++
			}
			if !isSent || withdrawn != c.want {
				t.Errorf("changes that were withdrawn before one was sent (%t): got %d, want %d", isSent, withdrawn, c.want)
			}
		})
	}
}

// Guards against runs of inherited jobs that are ended by maintenance: the endpoint reports
// a run of a job that is still being looked up.
func TestHostOfUnknownJobIsNotMaintained(t *testing.T) {
	s := newSimulation(t, simulationConfig{token: 2})
	s.running["a"] = []fleet.RunningTask{{Task: job.Task{Job: jobID(7)}, Run: 1, SpeedPercent: 100}}
	s.addEndpoint("a")
	s.addEndpoint("b")
	s.listed(newHost(poolName, "a"), newHost(poolName, "b"))
	s.leader.UpdateWave(fleet.WaveRow{Number: 1, MaxDown: 1, Hosts: []fleet.HostID{"m-a"}, TimeLimit: time.Second}, s.now)
	for range 20 {
		if got := len(s.step().Maintenance); got != 0 {
			t.Fatalf("maintenance orders while a job is looked up: got %d, want 0", got)
		}
		s.advance(100 * time.Millisecond)
		s.renewLease("a")
	}
}

// Guards against a wave that waits for an endpoint which nobody evacuates: its host names no
// endpoint, but the endpoint's own entry names the host.
func TestUnnamedEndpointIsEvacuated(t *testing.T) {
	onePool := defaultPolicy()
	onePool.Pools = onePool.Pools[:1]
	s := newSimulation(t, simulationConfig{policy: onePool})
	s.addEndpoint("a")
	s.submit(submission(1, persistentTasks(1, 1)))
	s.step()
	s.acceptStarts()
	s.renewLease("a")
	s.addEndpoint("b")
	unnamed := newHost(poolName, "a")
	unnamed.Endpoint = ""
	s.listed(unnamed, newHost(poolName, "b"))
	s.leader.UpdateWave(fleet.WaveRow{Number: 1, MaxDown: 1, Hosts: []fleet.HostID{"m-a"}, TimeLimit: time.Second}, s.now)
	for range 20 {
		s.advance(100 * time.Millisecond)
		s.renewLease("a")
		if len(s.step().Stops) > 0 {
			return
		}
	}
	t.Error("stops of the persistent task: got none, want one")
}

// Guards against two runs of a task for seconds: the start was given up while the host list
// showed the endpoint as gone, and its next incarnation carries it out after its first
// report. An idle endpoint is not asked for twenty seconds.
func TestLateStartAfterEndpointWasGone(t *testing.T) {
	s, start := startOn(t)
	s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderUnknown}, s.now)
	for range 70 {
		s.advance(100 * time.Millisecond)
		s.failRenewal("a", fleet.OrderUnknown)
		s.listed(downHost("a"), newHost(poolName, "b"))
		s.renewLease("b")
		if len(s.step().Starts) > 0 {
			s.acceptStarts()
			s.renewLease("b")
			break
		}
	}
	s.restart("a", laterStart)
	s.list("a")
	s.listed(newHost(poolName, "a"), newHost(poolName, "b"))
	s.advance(10 * time.Millisecond)
	s.renewLease("a")
	s.run(start)
	for range 10 {
		s.advance(100 * time.Millisecond)
		s.renewLease("a")
		if len(s.step().Stops) > 0 {
			return
		}
	}
	t.Error("stops of the late run within a second: got none, want one")
}
