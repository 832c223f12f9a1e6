package fleet_test

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
)

// Guards against two runs of a task at once: the time of day of an endpoint's machine, or of the
// leader's, has jumped, so that a new endpoint seems to be older than a host list can lag. The list
// shows the host as it was before the endpoint, which one call does not reach.
func TestNewEndpointWithClockThatJumped(t *testing.T) {
	tests := map[string]time.Duration{
		"in agreement":  0,
		"ahead by 8 s":  8 * time.Second,
		"behind by 8 s": -8 * time.Second,
		"behind by 1 h": -time.Hour,
	}
	for name, offset := range tests {
		t.Run(name, func(t *testing.T) {
			s, start := startOnEndpointBornAt(t, offset)
			s.accept(start)
			s.renewLease("a")
			s.advance(300 * time.Millisecond)
			s.listed(downHost("a"), newHost(poolName, "b"))
			s.failRenewal("a", fleet.OrderUnknown)
			s.writeBatches()
			s.wantOrders("after one call that did not reach the endpoint", 0, 0)
		})
	}
}

// startOnEndpointBornAt returns a simulation in which a task's start has been ordered on endpoint
// "a", which has just started, and whose start time is off by an offset.
func startOnEndpointBornAt(t *testing.T, offset time.Duration) (*simulation, fleet.Start) {
	t.Helper()
	onePool := defaultPolicy()
	onePool.Pools = onePool.Pools[:1]
	s := newSimulation(t, simulationConfig{policy: onePool})
	s.restart("a", s.now.Add(offset))
	s.list("a")
	s.advance(time.Millisecond)
	s.renewLease("a")
	s.submit(submission(1, tasks(1)))
	starts := s.step().Starts
	if len(starts) != 1 {
		t.Fatalf("starts on the new endpoint: got %d, want 1", len(starts))
	}
	s.addEndpoint("b")
	return s, starts[0]
}

// Guards against the same after a change of leaders, when the next leader knows the age of the
// endpoint from its start time alone.
func TestTakeoverWithClockThatJumped(t *testing.T) {
	for name, offset := range map[string]time.Duration{"in agreement": 0, "behind by 8 s": -8 * time.Second} {
		t.Run(name, func(t *testing.T) {
			onePool := defaultPolicy()
			onePool.Pools = onePool.Pools[:1]
			stored := fleet.StoredJob{Submission: submission(1, tasks(1))}
			s := newSimulation(t, simulationConfig{token: 2, policy: onePool, jobs: []fleet.StoredJob{stored}})
			s.addEndpoint("b")
			s.restart("a", s.now.Add(offset))
			s.list("a")
			s.advance(time.Millisecond)
			s.listed(downHost("a"), newHost(poolName, "b"))
			s.failRenewal("a", fleet.OrderUnknown)
			s.wantOrders("after one call that did not reach an endpoint with runs of the former leader", 0, 0)
		})
	}
}

// Guards against two runs of a task at once: an endpoint has restarted under its ID, and the new
// incarnation has accepted a start before it has reported. The host list shows the time between
// the two, and one call does not reach the endpoint.
func TestHostListOlderThanRestart(t *testing.T) {
	tests := map[string]struct {
		// sign is how the leader learns of the restart, if it does, before the list.
		sign func(s *simulation)
	}{
		"told by the clock of the answer":                 {func(*simulation) {}},
		"told by the clock of the answer and by the list": {func(s *simulation) { s.list("a") }},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s, start := startOn(t)
			s.restart("a", s.now)
			s.advance(50 * time.Millisecond)
			s.accept(start)
			c.sign(s)
			s.advance(100 * time.Millisecond)
			s.listed(downHost("a"), newHost(poolName, "b"))
			s.failRenewal("a", fleet.OrderUnknown)
			s.writeBatches()
			s.wantOrders("after one call that did not reach the new incarnation", 0, 0)
			s.report("a", s.now)
			s.wantOrders("after the new incarnation has reported the task", 0, 0)
		})
	}
}

// Guards against two runs of a task at once around a change of leaders: the former leader started a
// task on a new endpoint whose entry has lapsed, and the host list that the next leader reads shows
// the host as it was before the endpoint.
func TestTakeoverWithHostListThatLags(t *testing.T) {
	former := newHost(poolName, "a")
	former.Endpoint = "former"
	unnamed := newHost(poolName, "a")
	unnamed.Endpoint = ""
	moving := downHost("a")
	moving.State = fleet.HostMoving
	tests := map[string]fleet.Host{
		"as it is":                 newHost(poolName, "a"),
		"with the former endpoint": former,
		"without an endpoint":      unnamed,
		"down":                     downHost("a"),
		"moving":                   moving,
	}
	for name, row := range tests {
		t.Run(name, func(t *testing.T) {
			onePool := defaultPolicy()
			onePool.Pools = onePool.Pools[:1]
			stored := fleet.StoredJob{Submission: submission(1, tasks(1))}
			s := newSimulation(t, simulationConfig{token: 2, policy: onePool, jobs: []fleet.StoredJob{stored}})
			s.addEndpoint("b")
			s.listed(row, newHost(poolName, "b"))
			s.advance(100 * time.Millisecond)
			s.renewLease("b")
			s.wantOrders("while a lease of the former leader may last", 0, 0)
		})
	}
}

// Guards against two runs of a task at once: an endpoint crashes and restarts under its ID while a
// start and a question to it are on their way. The new incarnation accepts the start, and the
// question, which the earlier one did not answer, fails after that. The next host list still shows
// the host as down, and ended the run without a question to the new incarnation.
func TestQuestionOlderThanAcceptedStart(t *testing.T) {
	s, start := startOn(t)
	down := []fleet.Host{downHost("a"), newHost(poolName, "b")}
	s.listed(down...)
	askedAt := s.now
	if _, due := s.leader.NextRenewal("a", s.now); !due {
		t.Fatal("question to the endpoint that the list shows as ended: got none due, want one")
	}
	s.advance(50 * time.Millisecond)
	s.restart("a", s.now)
	s.advance(10 * time.Millisecond)
	s.accept(start)
	s.advance(400 * time.Millisecond)
	s.leader.RenewalFailed("a", fleet.Reply{Outcome: fleet.OrderUnknown, SentAt: askedAt}, s.now)
	s.writeBatches()
	s.wantOrders("after the earlier incarnation did not answer", 0, 0)
	s.advance(50 * time.Millisecond)
	s.listed(down...)
	s.writeBatches()
	s.wantOrders("after the next list, before the new incarnation was asked", 0, 0)
	s.report("a", s.now)
	s.wantOrders("after the new incarnation has reported the task", 0, 0)
}

// Guards against two runs of a task at once: an endpoint that answers with a rejection after the
// evidence of its end is there; one call without an answer after that does not end it.
func TestRejectionContradictsEnd(t *testing.T) {
	for _, outcome := range []fleet.OrderOutcome{fleet.OrderUnhealthy, fleet.OrderMalformed} {
		t.Run(string(outcome), func(t *testing.T) {
			s, start := startOn(t)
			s.accept(start)
			s.renewAll()
			s.listed(downHost("a"), newHost(poolName, "b"))
			s.failRenewal("a", outcome)
			s.advance(150 * time.Millisecond)
			s.failRenewal("a", fleet.OrderUnknown)
			s.writeBatches()
			s.wantOrders("after an answer and a call without one", 0, 0)
		})
	}
}

// Guards against a task that waits for a lease: the host's next endpoint reports, and the row that
// goes back to the former endpoint withdraws that evidence together with its own.
func TestSuccessorOutlastsRowThatGoesBack(t *testing.T) {
	s, start := startOn(t)
	s.accept(start)
	s.renewAll()
	s.advance(100 * time.Millisecond)
	s.listed(downHost("a"), newHost(poolName, "b"))
	row := endpointRow("next")
	row.Host, row.StartedAt = hostOf("a"), s.now
	s.restart("next", s.now)
	s.leader.UpdateEndpoint(row, s.now)
	s.advance(time.Millisecond)
	s.renewLease("next")
	s.listed(newHost(poolName, "a"), newHost(poolName, "b"))
	s.advance(100 * time.Millisecond)
	s.failRenewal("a", fleet.OrderUnknown)
	s.wantOrders("before the crash and the trial are stored", 0, 0)
	s.writeBatches()
	s.wantOrders("after the endpoint did not answer", 1, 0)
}

// Guards against two runs of a task at once: an endpoint whose link has reset connections for a
// moment counts as one whose process has exited, although it has answered since, or has worked for
// this leader before, and the host list lags.
func TestRefusalOfEndpointThatAnswers(t *testing.T) {
	moving := downHost("a")
	moving.State = fleet.HostMoving
	// takeOver returns a leader that has just taken over, and has not read the jobs yet, and a
	// new endpoint with a task of the former one.
	takeOver := func(t *testing.T) (*simulation, fleet.StoredJob) {
		s := newSimulation(t, simulationConfig{token: 2, unloaded: true})
		s.restart("a", s.now)
		s.list("a")
		s.run(fleet.Start{Endpoint: "a", Task: job.Task{Job: jobID(1)}, Run: 1})
		s.leader.UpdateEndpoint(endpointRow("b"), s.now)
		return s, fleet.StoredJob{Submission: submission(1, tasks(1))}
	}
	tests := map[string]func(t *testing.T) *simulation{
		"answered while the jobs were read": func(t *testing.T) *simulation {
			s, stored := takeOver(t)
			s.failRenewal("a", fleet.OrderRefused)
			s.advance(150 * time.Millisecond)
			s.renewLease("a")
			s.leader.Load([]fleet.StoredJob{stored}, s.now, s.now)
			s.renewLease("b")
			return s
		},
		"answered while the jobs were read, refused after that": func(t *testing.T) *simulation {
			s, stored := takeOver(t)
			s.renewLease("a")
			s.leader.Load([]fleet.StoredJob{stored}, s.now, s.now)
			s.renewLease("b")
			s.failRenewal("a", fleet.OrderRefused)
			return s
		},
		"rejected a start as late": func(t *testing.T) *simulation {
			s, start := startOnNewEndpoint(t, nil)
			s.accept(start)
			s.renewLease("a")
			s.submit(submission(2, tasks(20)))
			for _, late := range s.step().Starts {
				reply := fleet.Reply{Outcome: fleet.OrderLeaseExpired}
				if late.Endpoint == "b" {
					reply.Outcome = fleet.OrderAccepted
				}
				s.leader.HandleStartReply(late, reply, s.now)
			}
			s.failRenewal("a", fleet.OrderRefused)
			return s
		},
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			s := prepare(t)
			s.advance(50 * time.Millisecond)
			s.listed(moving, newHost(poolName, "b"))
			s.writeBatches()
			for _, start := range s.step().Starts {
				if start.Task.Job == jobID(1) {
					t.Errorf("start of the task that the endpoint works on: got one on %s, want none", start.Endpoint)
				}
			}
		})
	}
}

// Guards against two runs of a task at once: what a leader that takes over learns from a refused
// call is older than the host list, and the endpoint answers when it is asked after the list.
func TestRefusalOlderThanHostList(t *testing.T) {
	moving := downHost("a")
	moving.State = fleet.HostMoving
	onePool := defaultPolicy()
	onePool.Pools = onePool.Pools[:1]
	stored := fleet.StoredJob{Submission: submission(1, tasks(1))}
	s := newSimulation(t, simulationConfig{token: 2, policy: onePool, jobs: []fleet.StoredJob{stored}})
	s.addEndpoint("b")
	s.restart("a", s.now)
	s.list("a")
	s.run(fleet.Start{Endpoint: "a", Task: job.Task{Job: jobID(1)}, Run: 1})
	s.failRenewal("a", fleet.OrderRefused)
	s.advance(100 * time.Millisecond)
	s.listed(moving, newHost(poolName, "b"))
	s.wantOrders("after the list, before the endpoint was asked again", 0, 0)
	s.renewLease("a")
	s.wantOrders("after the endpoint has reported the task", 0, 0)
}
