package fleet_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// Data centres of the tests: evacuated is the one that nothing may be sent to.
const (
	evacuated = "suva"
	remaining = "nadi"
)

// eventJournal keeps the lines that the leader logs.
type eventJournal struct{ lines []string }

func (j *eventJournal) Info(event string, fields ...any) {
	j.lines = append(j.lines, fmt.Sprint(event, " ", fields))
}

// count counts the lines that begin with a text.
func (j *eventJournal) count(prefix string) int {
	count := 0
	for _, line := range j.lines {
		if strings.HasPrefix(line, prefix) {
			count++
		}
	}
	return count
}

// addEndpointIn lists an endpoint of a data centre, which its row does not name if it is "", and
// renews its lease for the first time.
func (s *simulation) addEndpointIn(dataCentre string, id fleet.EndpointID) {
	row := endpointRow(id)
	row.DataCentre = dataCentre
	s.leader.UpdateEndpoint(row, s.now)
	s.advance(time.Millisecond)
	s.renewLease(id)
}

// listHostsIn lists hosts with their endpoints, by data centre.
func (s *simulation) listHostsIn(hosts map[string][]fleet.Host) []fleet.Host {
	var list []fleet.Host
	for dataCentre, rows := range hosts {
		for _, h := range rows {
			h.DataCentre = dataCentre
			list = append(list, h)
			if h.Endpoint == "" {
				continue
			}
			row := endpointRow(h.Endpoint)
			row.Pool, row.DataCentre = h.Pool, dataCentre
			s.leader.UpdateEndpoint(row, s.now)
			s.advance(time.Millisecond)
			s.renewLease(h.Endpoint)
		}
	}
	s.leader.UpdateHosts(list, s.now, s.now)
	return list
}

func (s *simulation) evacuate(dataCentres ...string) {
	s.leader.SetEvacuations(dataCentres, s.now)
}

// startsOn counts the starts by endpoint.
func startsOn(starts []fleet.Start) map[fleet.EndpointID]int {
	counts := map[fleet.EndpointID]int{}
	for _, start := range starts {
		counts[start.Endpoint]++
	}
	return counts
}

// Guards against a start in an evacuated data centre, of whatever kind: each of them finds room
// there, and no room or only some elsewhere.
func TestNoStartInEvacuatedDataCentre(t *testing.T) {
	gang := tasks(2)
	gang.Gang, gang.MaxPerEndpoint = true, 1
	labelled := tasks(1)
	labelled.Requires = "only-here"
	// endTask ends the task of the first job on the endpoint on which it runs.
	endTask := func(s *simulation, kind fleet.CompletionKind) {
		s.endRun(s.orders.Starts[0], kind)
		s.renewLease(s.orders.Starts[0].Endpoint)
		s.advance(time.Second)
	}
	tests := map[string]struct {
		step job.Step
		// dataCentre is that of the endpoint "a" by its row, and hostDataCentre by its host's.
		dataCentre, hostDataCentre string
		evacuate                   []string
		// before runs with "a" alone, after a step that has started the step's tasks there.
		before func(s *simulation)
		// without is true if there is no endpoint in the remaining data centre.
		without bool
		want    map[fleet.EndpointID]int
	}{
		"no request": {step: tasks(1), dataCentre: evacuated, without: true, want: map[fleet.EndpointID]int{"a": 1}},
		"another data centre": {
			step: tasks(1), dataCentre: evacuated, evacuate: []string{remaining}, without: true,
			want: map[fleet.EndpointID]int{"a": 1},
		},
		"first": {step: tasks(3), dataCentre: evacuated, evacuate: []string{evacuated}, want: map[fleet.EndpointID]int{"b": 3}},
		"first, no other endpoint": {
			step: tasks(3), dataCentre: evacuated, evacuate: []string{evacuated}, without: true,
		},
		"by the host's data centre": {
			step: tasks(1), hostDataCentre: evacuated, evacuate: []string{evacuated}, want: map[fleet.EndpointID]int{"b": 1},
		},
		"by the row, although the host is elsewhere": {
			step: tasks(1), dataCentre: remaining, hostDataCentre: evacuated, evacuate: []string{evacuated}, without: true,
			want: map[fleet.EndpointID]int{"a": 1},
		},
		"by the host's data centre, another one": {
			step: tasks(1), hostDataCentre: remaining, evacuate: []string{evacuated}, without: true,
			want: map[fleet.EndpointID]int{"a": 1},
		},
		"unknown data centre":             {step: tasks(1), evacuate: []string{evacuated}, want: map[fleet.EndpointID]int{"b": 1}},
		"unknown data centre, no request": {step: tasks(1), without: true, want: map[fleet.EndpointID]int{"a": 1}},
		"repeated after a failure": {
			step: tasks(1), dataCentre: evacuated, evacuate: []string{evacuated},
			before: func(s *simulation) { endTask(s, fleet.CompletionFailed) }, want: map[fleet.EndpointID]int{"b": 1},
		},
		"repeated after a stop": {
			step: tasks(1), dataCentre: evacuated, evacuate: []string{evacuated},
			before: func(s *simulation) { endTask(s, fleet.CompletionStopped) }, want: map[fleet.EndpointID]int{"b": 1},
		},
		"persistent": {
			step: persistentTasks(2, 1), dataCentre: evacuated, evacuate: []string{evacuated}, want: map[fleet.EndpointID]int{"b": 2},
		},
		"gang that needs the data centre": {step: gang, dataCentre: evacuated, evacuate: []string{evacuated}},
		"label that only the data centre has": {
			step: labelled, dataCentre: evacuated, evacuate: []string{evacuated},
		},
		"all data centres": {step: tasks(1), dataCentre: evacuated, evacuate: []string{evacuated, remaining}},
		"a data centre that does not exist": {
			step: tasks(1), dataCentre: evacuated, evacuate: []string{"nowhere"}, without: true, want: map[fleet.EndpointID]int{"a": 1},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			row := endpointRow("a")
			row.DataCentre, row.Labels = test.dataCentre, append(row.Labels, "only-here")
			s.leader.UpdateEndpoint(row, s.now)
			s.advance(time.Millisecond)
			s.renewLease("a")
			h := newHost(poolName, "a")
			h.DataCentre = test.hostDataCentre
			s.leader.UpdateHosts([]fleet.Host{h}, s.now, s.now)
			if test.before != nil {
				s.submit(submission(1, test.step))
				s.step()
				s.acceptStarts()
				test.before(s)
			}
			if !test.without {
				s.addEndpointIn(remaining, "b")
			}
			s.evacuate(test.evacuate...)
			if test.before == nil {
				s.submit(submission(1, test.step))
			}
			got := map[fleet.EndpointID]int{}
			for range 3 {
				for id, count := range startsOn(s.step().Starts) {
					got[id] += count
				}
				s.acceptStarts()
			}
			if fmt.Sprint(got) != fmt.Sprint(mapOrEmpty(test.want)) {
				t.Errorf("starts by endpoint: got %v, want %v", got, test.want)
			}
		})
	}
}

func mapOrEmpty(m map[fleet.EndpointID]int) map[fleet.EndpointID]int {
	if m == nil {
		return map[fleet.EndpointID]int{}
	}
	return m
}

// Guards against a copy of an overdue run in an evacuated data centre.
func TestNoCopyInEvacuatedDataCentre(t *testing.T) {
	tests := map[string]struct {
		evacuate []string
		want     int
	}{
		"no request": {want: 1},
		"evacuated":  {evacuate: []string{evacuated}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			s.addEndpointIn(remaining, "a")
			step := tasks(1)
			step.Speculative = true
			s.submit(submission(1, step))
			s.step()
			s.acceptStarts()
			s.addEndpointIn(evacuated, "b")
			for range 30 {
				s.advance(500 * time.Millisecond)
				s.renewLease("a")
				s.renewLease("b")
			}
			s.evacuate(test.evacuate...)
			if got := len(s.step().Starts); got != test.want {
				t.Errorf("copies: got %d, want %d", got, test.want)
			}
		})
	}
}

// Guards against starts that were decided before the request and are sent after it: they are
// withdrawn, and their tasks start elsewhere at once.
func TestStartThatWaitsIsWithdrawn(t *testing.T) {
	tests := map[string]struct {
		evacuate []string
		want     bool
		// wantElsewhere is the number of starts on the other endpoint afterwards.
		wantElsewhere int
	}{
		"no request":          {want: true},
		"another data centre": {evacuate: []string{remaining}, want: true},
		"evacuated":           {evacuate: []string{evacuated}, wantElsewhere: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			s.addEndpointIn(evacuated, "a")
			s.submit(submission(1, tasks(1)))
			start := s.step().Starts[0]
			s.addEndpointIn(remaining, "b")
			s.evacuate(test.evacuate...)
			if got := s.leader.ConfirmStart(start, s.now); got != test.want {
				t.Errorf("start may be sent: got %t, want %t", got, test.want)
			}
			if got := startsOn(s.step().Starts)["b"]; got != test.wantElsewhere {
				t.Errorf("starts elsewhere: got %d, want %d", got, test.wantElsewhere)
			}
		})
	}
}

// Guards against a task that waits for long after its start was dropped on its way, for instance
// by a courier that knew of the request before the leader did.
func TestStartDroppedOnItsWay(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	s.addEndpointIn(evacuated, "a")
	s.submit(submission(1, tasks(1)))
	start := s.step().Starts[0]
	s.addEndpointIn(remaining, "b")
	s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderNotSent}, s.now)
	s.evacuate(evacuated)
	s.advance(100 * time.Millisecond)
	if got := startsOn(s.step().Starts)["b"]; got != 1 {
		t.Errorf("starts elsewhere: got %d, want 1", got)
	}
}

// Guards against a trial whose record is being written at the request, and that is sent after it.
// The endpoints of this world name no data centre: none may get work while a request is in force.
func TestHeldTrialIsWithdrawn(t *testing.T) {
	task := job.Task{Job: jobID(1)}
	tests := map[string]struct {
		evacuate []string
		// isStoreAway is true if the trial's record cannot be stored at the request.
		isStoreAway bool
		// want is the number of starts, of which the first was lost with its endpoint.
		want int
	}{
		"no request":                 {want: 2},
		"before the record is there": {evacuate: []string{evacuated}, isStoreAway: true, want: 1},
		"once the record is there":   {evacuate: []string{evacuated}, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := suspectedWorld(t, crashWorldConfig{endpoints: 4})
			isDecided := func() bool { _, ok := w.storedTrial(); return ok }
			if test.isStoreAway {
				w.storeOutUntil = w.now.Add(time.Second)
				isDecided = func() bool { return w.journal.count(task, "run start") == 2 }
			}
			w.runUntil(isDecided)
			if got := w.starts[task]; got != 1 {
				t.Fatalf("starts before the request: got %d, want 1", got)
			}
			w.leader.SetEvacuations(test.evacuate, w.now)
			w.runFor(2 * time.Second)
			if got := w.starts[task]; got != test.want {
				t.Errorf("starts after the request: got %d, want %d", got, test.want)
			}
			if got, want := w.journal.count(task, "trial withdrawn"), 2-test.want; got != want {
				t.Errorf("trials withdrawn: got %d, want %d", got, want)
			}
			w.leader.SetEvacuations(nil, w.now)
			w.runFor(10 * time.Second)
			w.wantStates(noJob)
		})
	}
}

// count counts the lines about a task whose event has a name.
func (j worldJournal) count(task job.Task, event string) int {
	count := 0
	for _, line := range j.lines[task] {
		if strings.Contains(line, " "+event+" [") {
			count++
		}
	}
	return count
}

// Guards against work that is lost or held up by an evacuation: running tasks go on, and can be
// cancelled.
func TestRunningTasksOfEvacuatedDataCentre(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	s.addEndpointIn(evacuated, "a")
	s.submit(submission(1, tasks(1)))
	s.submit(submission(2, tasks(1)))
	starts := s.step().Starts
	s.acceptStarts()
	s.evacuate(evacuated)
	for range 8 {
		s.advance(500 * time.Millisecond)
		if renewal, due := s.leader.NextRenewal("a", s.now); due && renewal.Lease == 0 {
			t.Error("renewal: got no lease, want one")
		}
		s.renewLease("a")
		s.wantOrders("while tasks run", 0, 0)
	}
	s.leader.CancelJob(jobID(2), s.now)
	if got := len(s.step().Stops); got != 1 {
		t.Errorf("stops after a cancel: got %d, want 1", got)
	}
	for _, start := range starts {
		if start.Task.Job == jobID(1) {
			s.endRun(start, fleet.CompletionDone)
		}
	}
	s.advance(500 * time.Millisecond)
	s.renewLease("a")
	s.writeBatches()
	if got, _ := s.leader.StateOf(jobID(1)); got != job.Complete {
		t.Errorf("state of the job: got %q, want %q", got, job.Complete)
	}
}

// poolHosts returns hosts of a pool.
func poolHosts(pool string, first, count int) []fleet.Host {
	var hosts []fleet.Host
	for n := range count {
		hosts = append(hosts, newHost(pool, fleet.EndpointID(fmt.Sprintf("%s-%02d", pool, first+n))))
	}
	return hosts
}

// spareHosts returns hosts that are switched off.
func spareHosts(first, count int) []fleet.Host {
	var hosts []fleet.Host
	for n := range count {
		hosts = append(hosts, spareHost(first+n))
	}
	return hosts
}

// Guards against a pool that is short until the next plan, in a fleet whose plans are far apart:
// the hosts for the missing capacity are ordered in the step that follows the request, and none
// of them in the evacuated data centre.
func TestMissingCapacityIsOrderedElsewhere(t *testing.T) {
	tests := map[string]struct {
		fillers  int
		evacuate []string
		want     int
	}{
		"no request":  {},
		"small fleet": {evacuate: []string{evacuated}, want: 2},
		"large fleet": {fillers: 2000, evacuate: []string{evacuated}, want: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{unchecked: true})
			list := s.listHostsIn(map[string][]fleet.Host{
				evacuated: slices.Concat(poolHosts(poolName, 0, 2), poolHosts(otherPool, 0, 2), spareHosts(0, 5)),
				remaining: slices.Concat(poolHosts(poolName, 10, 2), poolHosts(otherPool, 10, 4), spareHosts(50, 5), spareHosts(1000, test.fillers)),
			})
			centre := map[fleet.HostID]string{}
			for _, h := range list {
				centre[h.ID] = h.DataCentre
			}
			s.step()
			s.advance(time.Millisecond)
			s.evacuate(test.evacuate...)
			moved := 0
			for _, move := range s.step().Moves {
				if move.Pool != poolName {
					continue
				}
				moved++
				if centre[move.Host] != remaining {
					t.Errorf("move to a pool: got %v of %s, want a host of %s", move, centre[move.Host], remaining)
				}
			}
			if moved != test.want {
				t.Errorf("moves to the pool: got %d, want %d", moved, test.want)
			}
		})
	}
}

// Guards against hosts of an evacuated data centre that are taken for capacity, and against moves
// of them that cost more than they are worth.
func TestHostsOfEvacuatedDataCentre(t *testing.T) {
	tests := map[string]struct {
		evacuate []string
		// inRemaining is how many hosts the pool has in the remaining data centre.
		inRemaining int
		jobs        int
		wantToPool  int
		wantToSpare int
	}{
		"surplus, no request":            {inRemaining: 6, wantToSpare: 5},
		"surplus goes to the spare pool": {evacuate: []string{evacuated}, inRemaining: 6, wantToSpare: 5},
		// The other pool gives one of its hosts.
		"stay while the pool lacks hosts":        {evacuate: []string{evacuated}, inRemaining: 2, wantToPool: 1},
		"are not taken for a pool that lacks":    {evacuate: []string{evacuated}, inRemaining: 4, jobs: 10},
		"all evacuated: nothing moves to a pool": {evacuate: []string{evacuated, remaining}, inRemaining: 4, jobs: 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			s.listHostsIn(map[string][]fleet.Host{
				evacuated: slices.Concat(poolHosts(poolName, 0, 3), spareHosts(0, 5)),
				remaining: slices.Concat(poolHosts(poolName, 10, test.inRemaining), poolHosts(otherPool, 10, 4)),
			})
			s.evacuate(test.evacuate...)
			for n := range test.jobs {
				s.submit(submission(n+1, tasks(16)))
			}
			toPool, toSpare := 0, 0
			for range 4 {
				for _, move := range s.step().Moves {
					if move.Pool == spareName {
						toSpare++
					} else {
						toPool++
					}
				}
				s.advance(500 * time.Millisecond)
			}
			if toPool != test.wantToPool || toSpare != test.wantToSpare {
				t.Errorf("moves: got %d to pools and %d to the spare pool, want %d and %d", toPool, toSpare, test.wantToPool, test.wantToSpare)
			}
		})
	}
}

// Guards against a pool that gets too few hosts for what the evacuated ones could do: the moves are
// those of a fleet that has no such hosts.
func TestEvacuatedHostsCountForNothing(t *testing.T) {
	large := poolHosts(poolName, 0, 8)
	for i := range large {
		large[i].Capacity = endpointSize.Times(4)
	}
	tests := map[string]struct {
		jobsPerTick, ticks int
		wantMoves          bool
	}{
		"no work":         {ticks: 5},
		"work at once":    {jobsPerTick: 10, ticks: 1, wantMoves: true},
		"work that grows": {jobsPerTick: 1, ticks: 30, wantMoves: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			play := func(hosts map[string][]fleet.Host) (moves []int) {
				s := newSimulation(t, simulationConfig{})
				s.listHostsIn(hosts)
				for n, h := range hosts[evacuated] {
					row := endpointRow(h.Endpoint)
					row.DataCentre, row.Capacity = evacuated, large[n].Capacity
					s.leader.UpdateEndpoint(row, s.now)
				}
				s.now = s.startedAt.Add(time.Second)
				s.advance(0)
				s.evacuate(evacuated)
				next := 1
				for range test.ticks {
					for range test.jobsPerTick {
						s.submit(submission(next, tasks(16)))
						next++
					}
					moves = append(moves, len(s.step().Moves))
					s.advance(100 * time.Millisecond)
				}
				return moves
			}
			inRemaining := slices.Concat(poolHosts(poolName, 10, 4), poolHosts(otherPool, 10, 4), spareHosts(0, 60))
			got := play(map[string][]fleet.Host{evacuated: large, remaining: inRemaining})
			want := play(map[string][]fleet.Host{remaining: inRemaining})
			if !slices.Equal(got, want) {
				t.Errorf("moves in each step: got %v, want %v, those without evacuated hosts", got, want)
			}
			if hasMoves := slices.Max(want) > 0; hasMoves != test.wantMoves {
				t.Errorf("moves without evacuated hosts: got %v, want some: %t", want, test.wantMoves)
			}
		})
	}
}

// Guards against a pool that takes host after host for a service that only the evacuated data centre
// could run.
func TestNoHostsForTasksThatOnlyEvacuatedOnesCouldRun(t *testing.T) {
	tests := map[string]struct {
		evacuate []string
		// elsewhere is true if a spare host of the remaining data centre has the label.
		elsewhere bool
		wantMoves bool
	}{
		"no request":       {},
		"only there":       {evacuate: []string{evacuated}},
		"a spare host has": {evacuate: []string{evacuated}, elsewhere: true, wantMoves: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			there := newHost(poolName, "labelled")
			there.Labels = []string{"kind-b"}
			spares := spareHosts(0, 6)
			if test.elsewhere {
				spares[0].Labels = []string{"kind-b"}
			}
			list := s.listHostsIn(map[string][]fleet.Host{
				evacuated: {there}, remaining: slices.Concat(poolHosts(poolName, 0, 4), poolHosts(otherPool, 0, 4), spares),
			})
			row := endpointRow("labelled")
			row.DataCentre, row.Labels = evacuated, []string{"kind-b"}
			s.leader.UpdateEndpoint(row, s.now)
			s.evacuate(test.evacuate...)
			step := persistentTasks(1, 1)
			step.Requires = "kind-b"
			s.submit(submission(1, step))
			moves := s.movesToPool(list, 2*time.Second)
			if got := moves > 0; got != test.wantMoves {
				t.Errorf("moves to the pool: got %d, want some: %t", moves, test.wantMoves)
			}
		})
	}
}

// movesToPool counts the moves to the pool in a time in which the endpoints of the hosts report.
func (s *simulation) movesToPool(hosts []fleet.Host, d time.Duration) int {
	const interval = 100 * time.Millisecond
	moves := 0
	for passed := time.Duration(0); passed < d; passed += interval {
		s.advance(interval)
		for _, move := range s.step().Moves {
			if move.Pool == poolName {
				moves++
			}
		}
		s.acceptStarts()
		for _, h := range hosts {
			s.renewLease(h.Endpoint)
		}
	}
	return moves
}

// Guards against surplus hosts that are not drained for another pool, since evacuated ones with
// less work are taken for them.
func TestSurplusIsDrainedBesideEvacuatedHosts(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	s.listHostsIn(map[string][]fleet.Host{
		evacuated: poolHosts(poolName, 0, 3),
		remaining: slices.Concat(poolHosts(poolName, 10, 8), poolHosts(otherPool, 10, 4)),
	})
	// One task on each host: together they need seven hosts.
	step := tasks(11)
	step.Resources.CPU = endpointSize.CPU/2 + 100
	s.submit(submission(1, step))
	s.step()
	s.acceptStarts()
	s.evacuate(evacuated)
	s.step()
	leaving := 0
	for _, e := range s.leader.Dump(s.now).Endpoints {
		if e.Leaving && e.Runs > 0 {
			leaving++
			if slices.ContainsFunc(poolHosts(poolName, 0, 3), func(h fleet.Host) bool { return h.Endpoint == e.ID }) {
				t.Errorf("drained endpoint: got %s, want none of the evacuated ones", e.ID)
			}
		}
	}
	if leaving == 0 {
		t.Error("drained endpoints: got none, want those beyond the pool's need")
	}
}

// Guards against a move into a pool that was ordered before the request and is sent after it.
func TestMoveThatWaitsIsWithdrawn(t *testing.T) {
	tests := map[string]struct {
		evacuate []string
		want     bool
	}{
		"no request": {want: true},
		"evacuated":  {evacuate: []string{evacuated}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			s.listHostsIn(map[string][]fleet.Host{
				evacuated: spareHosts(0, 1), remaining: slices.Concat(poolHosts(poolName, 0, 3), poolHosts(otherPool, 0, 4)),
			})
			moves := s.step().Moves
			if len(moves) != 1 {
				t.Fatalf("moves: got %d, want 1", len(moves))
			}
			s.evacuate(test.evacuate...)
			if got := s.leader.ConfirmHostChange(moves[0].Host, s.now); got != test.want {
				t.Errorf("move may be sent: got %t, want %t", got, test.want)
			}
		})
	}
}

// Guards against callers that are told of hosts that nothing may be started on.
func TestLargestHostIsNotEvacuated(t *testing.T) {
	large := newHost(poolName, "large")
	large.Capacity = endpointSize.Times(2)
	tests := map[string]struct {
		evacuate []string
		want     policy.Resources
	}{
		"no request": {want: large.Capacity},
		"evacuated":  {evacuate: []string{evacuated}, want: endpointSize},
		"all":        {evacuate: []string{evacuated, remaining}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			s.listHostsIn(map[string][]fleet.Host{evacuated: {large}, remaining: poolHosts(poolName, 0, 1)})
			s.evacuate(test.evacuate...)
			if got := s.leader.MaxHostResources(); got != test.want {
				t.Errorf("largest host: got %+v, want %+v", got, test.want)
			}
		})
	}
}

// Guards against a wave elsewhere that takes hosts as if those of the evacuated data centre could
// replace them, and against one in that data centre that stands still.
func TestWavesDuringEvacuation(t *testing.T) {
	tests := map[string]struct {
		evacuate []string
		// inEvacuated is true if the wave is in the evacuated data centre.
		inEvacuated          bool
		minWanted, maxWanted int
	}{
		"elsewhere, no request": {minWanted: 5, maxWanted: 5},
		"elsewhere":             {evacuate: []string{evacuated}, minWanted: 1, maxWanted: 2},
		"there":                 {evacuate: []string{evacuated}, inEvacuated: true, minWanted: 1, maxWanted: 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			hosts := map[string][]fleet.Host{
				evacuated: spareHosts(0, 10),
				remaining: slices.Concat(poolHosts(poolName, 0, 5), poolHosts(otherPool, 0, 4)),
			}
			s.listHostsIn(hosts)
			row := fleet.WaveRow{Number: 1, MaxDown: 5, TimeLimit: time.Minute}
			waveHosts := hosts[remaining]
			if test.inEvacuated {
				waveHosts = hosts[evacuated]
			}
			for _, h := range waveHosts {
				row.Hosts = append(row.Hosts, h.ID)
			}
			s.evacuate(test.evacuate...)
			s.leader.UpdateWave(row, s.now)
			if got := len(s.step().Maintenance); got < test.minWanted || got > test.maxWanted {
				t.Errorf("maintenance orders: got %d, want %d to %d", got, test.minWanted, test.maxWanted)
			}
		})
	}
}

// Guards against services that are down for an evacuation: persistent tasks leave within their
// step's limit, and only where another endpoint can take them.
func TestPersistentTasksLeaveEvacuatedDataCentre(t *testing.T) {
	tests := map[string]struct {
		step     job.Step
		evacuate []string
		// room is true if there is an endpoint elsewhere, and isFull true if it has no room.
		room, isFull bool
		want         int
		wantHeld     map[string]int
	}{
		"no request":   {step: persistentTasks(4, 1), room: true},
		"one at once":  {step: persistentTasks(4, 1), evacuate: []string{evacuated}, room: true, want: 1, wantHeld: map[string]int{"the step's limit of unavailable tasks is reached": 3}},
		"two at once":  {step: persistentTasks(4, 2), evacuate: []string{evacuated}, room: true, want: 2, wantHeld: map[string]int{"the step's limit of unavailable tasks is reached": 2}},
		"no endpoint":  {step: persistentTasks(4, 2), evacuate: []string{evacuated}, wantHeld: map[string]int{"no other endpoint can take the task": 4}},
		"no room":      {step: persistentTasks(4, 2), evacuate: []string{evacuated}, room: true, isFull: true, wantHeld: map[string]int{"no other endpoint can take the task": 4}},
		"all":          {step: persistentTasks(4, 2), evacuate: []string{evacuated, remaining}, room: true, wantHeld: map[string]int{"no other endpoint can take the task": 4}},
		"an unknown":   {step: persistentTasks(4, 2), evacuate: []string{"nowhere"}, room: true},
		"not to leave": {step: tasks(4), evacuate: []string{evacuated}, room: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			s.addEndpointIn(evacuated, "a")
			s.submit(submission(1, test.step))
			s.step()
			s.acceptStarts()
			s.renewLease("a")
			if test.room {
				s.addEndpointIn(remaining, "b")
			}
			if test.isFull {
				large := tasks(1)
				large.Resources, large.Requires = endpointSize, ""
				s.submit(submission(2, large))
				s.step()
				s.acceptStarts()
			}
			s.evacuate(test.evacuate...)
			stops := s.step().Stops
			if len(stops) != test.want {
				t.Errorf("stops: got %d, want %d", len(stops), test.want)
			}
			if len(test.evacuate) == 0 || test.evacuate[0] != evacuated {
				return
			}
			left := s.leader.Evacuations(s.now)[indexOf(s.leader.Evacuations(s.now), evacuated)].Pools[0]
			if got, want := left.Runs, 4; got != want {
				t.Errorf("runs left: got %d, want %d", got, want)
			}
			if fmt.Sprint(left.Held) != fmt.Sprint(test.wantHeld) {
				t.Errorf("persistent runs that cannot leave: got %v, want %v", left.Held, test.wantHeld)
			}
		})
	}
}

// indexOf returns the index of a data centre's progress.
func indexOf(progress []fleet.EvacuationProgress, dataCentre string) int {
	return slices.IndexFunc(progress, func(p fleet.EvacuationProgress) bool { return p.DataCentre == dataCentre })
}

// Guards against starts of a new leader before it knows of the request, and against jobs that
// never start after the withdrawal.
func TestNewLeaderAndWithdrawal(t *testing.T) {
	stored := []fleet.StoredJob{{Submission: submission(1, tasks(2))}}
	s := newSimulation(t, simulationConfig{token: 2, unloaded: true})
	s.evacuate(evacuated)
	s.leader.Load(stored, s.now, s.now)
	s.addEndpointIn(evacuated, "a")
	s.leader.UpdateHosts([]fleet.Host{newHost(poolName, "a")}, s.now, s.now)
	for range 100 {
		s.advance(100 * time.Millisecond)
		s.renewLease("a")
		s.wantOrders("of a new leader", 0, 0)
	}
	s.evacuate()
	if got := len(s.step().Starts); got != 2 {
		t.Errorf("starts after the withdrawal: got %d, want 2", got)
	}
}

// Guards against a leader that stops or repeats what it started before news of the request
// reached it.
func TestRequestThatReachesTheLeaderLate(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	s.addEndpointIn(evacuated, "a")
	s.addEndpointIn(remaining, "b")
	s.submit(submission(1, tasks(30)))
	if got := startsOn(s.step().Starts)["a"]; got == 0 {
		t.Fatal("starts in the data centre before the request is known: got 0, want some")
	}
	s.evacuate(evacuated)
	s.acceptStarts()
	for range 6 {
		s.advance(500 * time.Millisecond)
		s.renewLease("a")
		s.renewLease("b")
		s.wantOrders("after the request is known", 0, 0)
	}
}

// Guards against a new leader that stops or repeats what a former one started in the data centre.
func TestRunsOfFormerLeaderInEvacuatedDataCentre(t *testing.T) {
	s := newSimulation(t, simulationConfig{token: 2, jobs: []fleet.StoredJob{{Submission: submission(1, tasks(1))}}})
	s.evacuate(evacuated)
	s.running["a"] = []fleet.RunningTask{{Task: job.Task{Job: jobID(1)}, Run: 1, SpeedPercent: 100}}
	s.addEndpointIn(evacuated, "a")
	s.addEndpointIn(remaining, "b")
	s.leader.UpdateHosts([]fleet.Host{newHost(poolName, "a"), newHost(poolName, "b")}, s.now, s.now)
	for range 10 {
		s.advance(500 * time.Millisecond)
		s.renewLease("a")
		s.renewLease("b")
		s.wantOrders("while the run goes on", 0, 0)
	}
}

// Guards against an operator who cannot see why tasks wait, how far an evacuation has come, or
// that a request names a data centre that does not exist.
func TestEvacuationIsLogged(t *testing.T) {
	labelled := tasks(1)
	labelled.Requires = "nowhere-else"
	tests := map[string]struct {
		step     job.Step
		evacuate []string
		// want holds the number of lines by their beginning.
		want map[string]int
	}{
		"one": {step: tasks(1), evacuate: []string{evacuated}, want: map[string]int{
			"tasks wait": 0, "evacuation: pool is empty [pool orders data-centre suva": 1, "all data centres": 0, "evacuation names": 0,
		}},
		"all": {step: tasks(1), evacuate: []string{evacuated, remaining}, want: map[string]int{
			"tasks wait": 1, "evacuation: pool is empty [pool orders data-centre": 2, "all data centres are evacuated": 1,
		}},
		"unknown": {step: tasks(1), evacuate: []string{"nowhere"}, want: map[string]int{
			"evacuation names an unknown data centre [data-centre nowhere known [nadi suva]]": 1, "evacuation: pool": 0,
		}},
		"label": {step: labelled, evacuate: []string{evacuated}, want: map[string]int{"tasks wait": 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			journal := &eventJournal{}
			s := newSimulation(t, simulationConfig{journal: journal})
			row := endpointRow("a")
			row.DataCentre, row.Labels = evacuated, append(row.Labels, "nowhere-else")
			s.leader.UpdateEndpoint(row, s.now)
			s.advance(time.Millisecond)
			s.renewLease("a")
			s.addEndpointIn(remaining, "b")
			s.leader.UpdateHosts(nil, s.now, s.now)
			s.evacuate(test.evacuate...)
			s.submit(submission(1, test.step))
			for range 20 {
				s.advance(100 * time.Millisecond)
				s.step()
				s.acceptStarts()
			}
			for prefix, want := range test.want {
				if got := journal.count(prefix); got != want {
					t.Errorf("lines %q: got %d, want %d", prefix, got, want)
				}
			}
			for _, line := range journal.lines {
				const cause = "the endpoints that could run it are being evacuated"
				if strings.HasPrefix(line, "tasks wait") && !strings.Contains(line, cause) {
					t.Errorf("cause of the wait: got %q, want %q in it", line, cause)
				}
			}
		})
	}
}

// Guards against a state dump that does not tell how far an evacuation has come.
func TestEvacuationInDump(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	s.addEndpointIn(evacuated, "a")
	s.submit(submission(1, tasks(2)))
	s.step()
	s.acceptStarts()
	s.addEndpointIn(remaining, "b")
	requestedAt := s.now
	s.evacuate(evacuated)
	s.advance(time.Second)
	dump := s.leader.Dump(s.now)
	if len(dump.Evacuations) != 1 || len(dump.Evacuations[0].Pools) != 1 {
		t.Fatalf("evacuations: got %+v, want one with one pool", dump.Evacuations)
	}
	progress := dump.Evacuations[0]
	if progress.DataCentre != evacuated || !progress.Since.Equal(requestedAt) {
		t.Errorf("evacuation: got %s since %s, want %s since %s", progress.DataCentre, progress.Since, evacuated, requestedAt)
	}
	if got := progress.Pools[0]; got.Pool != poolName || got.Endpoints != 1 || got.Runs != 2 || got.Persistent != 0 {
		t.Errorf("what is left: got %+v, want one endpoint with two runs", got)
	}
	for _, e := range dump.Endpoints {
		if want := e.ID == "a"; e.Evacuated != want {
			t.Errorf("endpoint %s is evacuated: got %t, want %t", e.ID, e.Evacuated, want)
		}
	}
}

// Guards against tasks that wait until tickets for evacuated endpoints expire, although others
// could run them.
func TestTicketsOfEvacuatedEndpoints(t *testing.T) {
	tests := map[string]struct {
		evacuate []string
		// tickets are the endpoints with a ticket.
		tickets      []fleet.EndpointID
		wantRequests int
		wantStarts   int
	}{
		"no request":          {tickets: []fleet.EndpointID{"a"}, wantStarts: 1},
		"all are evacuated":   {evacuate: []string{evacuated}, tickets: []fleet.EndpointID{"a"}, wantRequests: 1},
		"one is evacuated":    {evacuate: []string{evacuated}, tickets: []fleet.EndpointID{"a", "b"}, wantStarts: 1},
		"another data centre": {evacuate: []string{remaining}, tickets: []fleet.EndpointID{"a"}, wantStarts: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			config := defaultPolicy()
			config.Queues[0].Advice = &policy.Advice{TicketLifetime: 3 * time.Second}
			s := newSimulation(t, simulationConfig{policy: config})
			s.addEndpointIn(evacuated, "a")
			s.addEndpointIn(remaining, "b")
			s.submit(submission(1, tasks(1)))
			grant := fleet.AdviceGrant{Tickets: map[fleet.EndpointID]string{}, TicketLifetime: 3 * time.Second}
			for _, id := range test.tickets {
				grant.Tickets[id] = "ticket"
			}
			s.leader.HandleAdvice(s.step().AdviceRequests[0], grant, true, s.now)
			s.evacuate(test.evacuate...)
			orders := s.step()
			if len(orders.AdviceRequests) != test.wantRequests || len(orders.Starts) != test.wantStarts {
				t.Fatalf("orders: got %d advice requests and %d starts, want %d and %d",
					len(orders.AdviceRequests), len(orders.Starts), test.wantRequests, test.wantStarts)
			}
			if test.wantRequests > 0 && !slices.Equal(orders.AdviceRequests[0].Endpoints, []fleet.EndpointID{"b"}) {
				t.Errorf("endpoints of the request: got %v, want b", orders.AdviceRequests[0].Endpoints)
			}
		})
	}
}

// Guards against a late start in an evacuated data centre: a start that got no answer before the
// request is stopped, and its task starts elsewhere once the endpoint cannot carry it out.
func TestUnansweredStartInEvacuatedDataCentre(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	s.addEndpointIn(evacuated, "a")
	s.submit(submission(1, tasks(1)))
	start := s.step().Starts[0]
	s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderUnknown}, s.now)
	s.addEndpointIn(remaining, "b")
	s.evacuate(evacuated)
	s.advance(10 * time.Millisecond)
	s.renewLease("a")
	s.acceptStop()
	s.wantOrders("before the endpoint has confirmed the stop", 0, 0)
	s.advance(10 * time.Millisecond)
	s.renewLease("a")
	if got := startsOn(s.step().Starts)["b"]; got != 1 {
		t.Errorf("starts elsewhere: got %d, want 1", got)
	}
}

// Guards against a repeated request, or one for another data centre, that counts as a new one.
func TestRepeatedRequestChangesNothing(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	s.addEndpointIn(evacuated, "a")
	requestedAt := s.now
	s.evacuate(evacuated)
	for _, dataCentres := range [][]string{{evacuated}, {remaining, evacuated}, {evacuated}} {
		s.advance(time.Second)
		s.evacuate(dataCentres...)
		progress := s.leader.Evacuations(s.now)
		if got := progress[indexOf(progress, evacuated)].Since; !got.Equal(requestedAt) {
			t.Errorf("since: got %s, want %s", got, requestedAt)
		}
	}
	s.evacuate()
	s.evacuate()
	if got := s.leader.Evacuations(s.now); len(got) != 0 {
		t.Errorf("evacuations after the withdrawal: got %v, want none", got)
	}
}
