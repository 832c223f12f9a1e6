package fleet_test

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// unansweredStart returns a simulation in which a start on endpoint "a" got no answer, and
// the endpoint has accepted a stop of its run and reported since.
func unansweredStart(t *testing.T) (*simulation, fleet.Start) {
	t.Helper()
	s, start := startOn(t)
	s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderUnknown}, s.now)
	s.advance(10 * time.Millisecond)
	s.report("a", s.now)
	s.acceptStop()
	s.advance(10 * time.Millisecond)
	s.report("a", s.now)
	return s, start
}

// drain lets an endpoint's entry say that it drains.
func (s *simulation) drain(id fleet.EndpointID) {
	row := endpointRow(id)
	row.StartedAt, row.Draining = s.lifeOf(id).startedAt, true
	s.leader.UpdateEndpoint(row, s.now)
}

// acceptStop runs a step, which must order one stop, and accepts it.
func (s *simulation) acceptStop() {
	s.t.Helper()
	stops := s.step().Stops
	if len(stops) != 1 {
		s.t.Fatalf("stops: got %d, want 1", len(stops))
	}
	s.leader.HandleStopReply(stops[0], fleet.Reply{Outcome: fleet.OrderAccepted}, s.now)
}

// Guards against a task that is started again after its end was acknowledged (soak seed
// 415): a start got no answer and was resolved by a stop that the endpoint's incarnation
// accepted. The endpoint restarts, and its next incarnation, which knows no stop, carries
// the start out seconds late.
func TestStopOfLateStartIsRepeatedToNextIncarnation(t *testing.T) {
	cases := map[string]struct {
		// before brings the task into its state before the restart.
		before func(s *simulation)
		// starts counts those that are ordered once the new incarnation has accepted the stop.
		starts int
	}{
		"task runs elsewhere": {before: func(s *simulation) {
			s.step()
			s.acceptStarts()
		}},
		"task is done": {before: func(s *simulation) {
			again := s.step().Starts[0]
			s.acceptStarts()
			s.endRun(again, fleet.CompletionDone)
			s.report(again.Endpoint, s.now)
			s.writeBatches()
		}},
		"task waits": {before: func(*simulation) {}, starts: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, start := unansweredStart(t)
			// The endpoint is to end, so that the task goes elsewhere.
			s.drain("a")
			c.before(s)
			for n, startedAt := range []time.Time{laterStart, laterStart.Add(time.Second)} {
				s.restart("a", startedAt)
				s.advance(10 * time.Millisecond)
				s.report("a", s.now)
				orders := s.step()
				if len(orders.Starts) != 0 || len(orders.Stops) != 1 || orders.Stops[0].Run != start.Run || orders.Stops[0].Endpoint != "a" {
					t.Fatalf("orders after restart %d: got %+v, want a stop of run %d on a", n+1, orders, start.Run)
				}
				s.advance(10 * time.Millisecond)
				s.report("a", s.now)
				s.wantOrders("before the new incarnation has accepted the stop", 0, 0)
				s.leader.HandleStopReply(orders.Stops[0], fleet.Reply{Outcome: fleet.OrderAccepted}, s.now)
				s.advance(10 * time.Millisecond)
				s.report("a", s.now)
				if n == 0 {
					continue
				}
				s.wantOrders("after the new incarnation has accepted the stop", c.starts, 0)
			}
		})
	}
}

// Guards against two runs of a task at once: a start got no answer, the endpoint has accepted a stop and restarts
// within the time that the start may be late, while the task's next run is elsewhere. Also against tasks that wait for
// an endpoint that cannot take them.
func TestTaskStaysOnEndpointOfUnansweredStart(t *testing.T) {
	const orderDelay = 15 * time.Second
	cases := map[string]struct {
		happen func(s *simulation)
		want   fleet.EndpointID
	}{
		"takes work":      {func(*simulation) {}, "a"},
		"fails a renewal": {func(s *simulation) { s.failRenewal("a", fleet.OrderUnknown) }, ""},
		"drains":          {func(s *simulation) { s.drain("a") }, "b"},
		"is full":         {func(s *simulation) { s.shrink("a") }, ""},
		"restarts out of reach": {func(s *simulation) {
			s.restart("a", laterStart)
			s.list("a")
			s.failRenewal("a", fleet.OrderUnknown)
			for end := s.now.Add(7 * time.Second); s.now.Before(end); s.advance(500 * time.Millisecond) {
				s.renewLease("b")
			}
		}, ""},
		"is full for longer than the start may be late": {func(s *simulation) {
			s.shrink("a")
			for end := s.now.Add(orderDelay + 1500*time.Millisecond); s.now.Before(end); s.advance(500 * time.Millisecond) {
				s.report("a", s.now)
				s.renewLease("b")
			}
		}, "b"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, _ := unansweredStart(t)
			s.renewLease("b")
			c.happen(s)
			var got fleet.EndpointID
			for _, start := range s.step().Starts {
				got = start.Endpoint
			}
			if got != c.want {
				t.Errorf("endpoint of the task's next start: got %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against two runs of a gang's member at once: its start is stopped, as another member was refused, before the
// call fails, and is carried out by the endpoint's next life.
func TestStartStoppedBeforeItsCallFails(t *testing.T) {
	s, start := startOn(t)
	s.accept(start)
	s.report("a", s.now)
	gang := tasks(2)
	gang.Gang, gang.MaxPerEndpoint = true, 1
	s.submit(submission(2, gang))
	starts := s.step().Starts
	if len(starts) != 2 {
		t.Fatalf("starts of the gang: got %d, want 2", len(starts))
	}
	refused, unanswered := starts[0], starts[1]
	for _, start := range starts {
		if !s.leader.ConfirmStart(start, s.now) {
			t.Fatalf("start %+v: got it withdrawn, want it sent", start)
		}
	}
	s.leader.HandleStartReply(refused, fleet.Reply{Outcome: fleet.OrderNoCapacity}, s.now)
	s.advance(10 * time.Millisecond)
	stops := s.step().Stops
	s.leader.HandleStartReply(unanswered, fleet.Reply{Outcome: fleet.OrderUnknown}, s.now)
	for _, stop := range stops {
		s.leader.HandleStopReply(stop, fleet.Reply{Outcome: fleet.OrderAccepted}, s.now)
	}
	s.advance(50 * time.Millisecond)
	s.report("a", s.now)
	s.report("b", s.now)
	s.restart(unanswered.Endpoint, laterStart)
	s.advance(10 * time.Millisecond)
	s.report(unanswered.Endpoint, s.now)
	stops = s.step().Stops
	if len(stops) != 1 || stops[0].Task != unanswered.Task || stops[0].Run != unanswered.Run {
		t.Errorf("stops after the restart: got %+v, want one of run %d of %+v", stops, unanswered.Run, unanswered.Task)
	}
}

// Guards against a task that waits beside empty endpoints since others have taken the room that its unanswered
// start had: it may start on that endpoint alone.
func TestTaskKeepsTheRoomOfItsUnansweredStart(t *testing.T) {
	s, start := startOn(t)
	// These rank first and would take all room.
	s.submit(submission(2, persistentTasks(40, 1)))
	s.step()
	s.acceptStarts()
	s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderUnknown}, s.now)
	s.advance(10 * time.Millisecond)
	s.report("a", s.now)
	s.acceptStop()
	s.advance(10 * time.Millisecond)
	s.report("a", s.now)
	starts := s.step().Starts
	if len(starts) != 1 || starts[0].Task != start.Task || starts[0].Endpoint != "a" {
		t.Errorf("starts once the stop is accepted: got %+v, want the task of the unanswered start, on a", starts)
	}
}

// shrink lets an endpoint's entry say that it has no room.
func (s *simulation) shrink(id fleet.EndpointID) {
	row := endpointRow(id)
	row.StartedAt, row.Capacity = s.lifeOf(id).startedAt, policy.Resources{CPU: 1, Memory: 1}
	s.leader.UpdateEndpoint(row, s.now)
}

// Guards against a task that is started again after its end was acknowledged: the endpoint
// of a start without an answer leaves the platform's list, and is back under its ID.
func TestStopOfLateStartAfterEndpointWasForgotten(t *testing.T) {
	s, start := unansweredStart(t)
	s.drain("a")
	s.step()
	s.acceptStarts()
	s.listed(downHost("a"), newHost(poolName, "b"))
	s.failRenewal("a", fleet.OrderUnknown)
	s.leader.RemoveEndpoint("a", s.now)
	if _, ok := s.leader.AddressOf("a"); ok {
		t.Fatal("endpoint a: got known, want forgotten")
	}
	s.restart("a", laterStart)
	s.list("a")
	s.advance(10 * time.Millisecond)
	s.report("a", s.now)
	if stops := s.step().Stops; len(stops) != 1 || stops[0].Run != start.Run {
		t.Errorf("stops on the new incarnation: got %+v, want one of run %d", stops, start.Run)
	}
}

// Guards against a restart that is noticed up to twenty seconds late, and against renewals
// of idle endpoints for longer than a start may come late: no other run is on the endpoint.
func TestIdleEndpointIsWatchedWhileAStartMayComeLate(t *testing.T) {
	s, _ := unansweredStart(t)
	s.drain("a")
	s.step()
	s.acceptStarts()
	s.report("a", s.now)
	for range 2 {
		s.advance(time.Second)
		renewal, isDue := s.leader.NextRenewal("a", s.now)
		if !isDue || renewal.Wait == 0 || renewal.Lease != 0 {
			t.Fatalf("renewal of the idle endpoint: got %+v (due %t), want one that waits, without a lease", renewal, isDue)
		}
		s.leader.HandleReport("a", renewal, s.now, s.reportOf("a"), s.now)
		s.renewLease("b")
	}
	s.advance(15 * time.Second)
	if renewal, isDue := s.leader.NextRenewal("a", s.now); isDue {
		t.Errorf("renewal once no start may come: got %+v, want none due", renewal)
	}
	s.restart("a", laterStart)
	s.report("a", s.now)
	for _, stop := range s.step().Stops {
		if stop.Endpoint == "a" {
			t.Errorf("stops on an incarnation that no start can reach: got %+v, want none", stop)
		}
	}
}

// Guards against stops on each next incarnation of a start that cannot come late, because the
// endpoint has answered it, reported its run or its end.
func TestStartThatWasCarriedOutCannotComeLate(t *testing.T) {
	cases := map[string]func(s *simulation, start fleet.Start){
		"rejected late": func(s *simulation, start fleet.Start) {
			s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderStaleRun}, s.now)
		},
		"reported running, then stopped": func(s *simulation, start fleet.Start) {
			s.run(start)
			s.report("a", s.now)
			s.acceptStop()
			s.endRun(start, fleet.CompletionStopped)
			s.advance(10 * time.Millisecond)
			s.report("a", s.now)
		},
		"reported ended": func(s *simulation, start fleet.Start) {
			s.run(start)
			s.endRun(start, fleet.CompletionStopped)
			s.report("a", s.now)
		},
	}
	for name, carryOut := range cases {
		t.Run(name, func(t *testing.T) {
			s, start := unansweredStart(t)
			s.drain("a")
			s.step()
			s.acceptStarts()
			carryOut(s, start)
			s.restart("a", laterStart)
			s.advance(10 * time.Millisecond)
			s.report("a", s.now)
			if stops := s.step().Stops; len(stops) != 0 {
				t.Errorf("stops after the restart: got %+v, want none", stops)
			}
			if got, _ := s.leader.StateOf(jobID(1)); got == job.Failed {
				t.Errorf("state: got %s, want not failed", got)
			}
		})
	}
}

// resolveOnNextIncarnation lets endpoint "a", which has left a start unanswered and leaves a
// stop unanswered if isLate is set, restart, accept a stop and report.
func (s *simulation) resolveOnNextIncarnation(start fleet.Start, isLate bool) {
	s.t.Helper()
	s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderUnknown}, s.now)
	s.restart("a", laterStart)
	s.advance(10 * time.Millisecond)
	s.report("a", s.now)
	if isLate {
		s.leader.HandleStopReply(s.step().Stops[0], fleet.Reply{Outcome: fleet.OrderUnknown}, s.now)
		s.advance(400 * time.Millisecond)
	}
	s.acceptStop()
	s.advance(10 * time.Millisecond)
	s.report("a", s.now)
}

// Guards against a task that is started again after its end was acknowledged (soak seeds 405
// and 415): an endpoint that leaves orders unanswered restarts twice within seconds, and its
// third incarnation carries a start out before it can be stopped again. Also against tasks
// that wait for that without a sign of it, or for good.
func TestTaskWaitsForLateStartOnRestartingEndpoint(t *testing.T) {
	persistent, speculative := tasks(1), tasks(1)
	persistent.Persistent, speculative.Speculative = true, true
	cases := map[string]struct {
		step   job.Step
		isLate bool
		isHeld bool
	}{
		"stop unanswered":                   {step: tasks(1), isLate: true, isHeld: true},
		"stop answered at once":             {step: tasks(1)},
		"stop unanswered, persistent task":  {step: persistent, isLate: true},
		"stop unanswered, speculative task": {step: speculative, isLate: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := longRunning(t)
			s.submit(submission(1, c.step))
			start := s.step().Starts[0]
			sentAt := s.now
			s.addEndpoint("b")
			s.resolveOnNextIncarnation(start, c.isLate)
			if !c.isHeld {
				s.wantOrders("after the stop was accepted", 1, 0)
				return
			}
			for s.now.Sub(sentAt) < 14500*time.Millisecond {
				s.wantOrders("while the start may come late", 0, 0)
				s.advance(500 * time.Millisecond)
				s.report("a", s.now)
				s.report("b", s.now)
			}
			s.advance(2 * time.Second)
			s.report("a", s.now)
			s.report("b", s.now)
			s.step()
			s.advance(time.Second)
			s.report("a", s.now)
			s.report("b", s.now)
			if got := len(s.orders.Starts) + len(s.step().Starts); got != 1 {
				t.Errorf("starts once the start cannot come late any more: got %d, want 1", got)
			}
		})
	}
}

// Guards against a task that waits although its late start has been answered, carried out or
// stopped on the next incarnation, or has ended there.
func TestHeldTaskIsReleased(t *testing.T) {
	cases := map[string]struct {
		resolve func(s *simulation, start fleet.Start)
		starts  int
	}{
		"late start is rejected": {resolve: func(s *simulation, start fleet.Start) {
			s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderNoCapacity}, s.now)
		}, starts: 1},
		"late start is accepted, and runs": {resolve: func(s *simulation, start fleet.Start) {
			s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderAccepted}, s.now)
			s.wantOrders("after the late start was accepted", 0, 0)
			s.run(start)
			s.report("a", s.now)
		}},
		"late start runs": {resolve: func(s *simulation, start fleet.Start) {
			s.run(start)
			s.report("a", s.now)
		}},
		"late start is done": {resolve: func(s *simulation, start fleet.Start) {
			s.run(start)
			s.endRun(start, fleet.CompletionDone)
			s.report("a", s.now)
		}},
		"late start has failed": {resolve: func(s *simulation, start fleet.Start) {
			s.run(start)
			s.endRun(start, fleet.CompletionFailed)
			s.report("a", s.now)
		}, starts: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := longRunning(t)
			s.submit(submission(1, tasks(1)))
			start := s.step().Starts[0]
			s.addEndpoint("b")
			s.resolveOnNextIncarnation(start, true)
			s.wantOrders("while the task is held", 0, 0)
			c.resolve(s, start)
			s.advance(100 * time.Millisecond)
			s.wantOrders("after that", c.starts, 0)
		})
	}
}

// Guards against a task that is started again after its end was acknowledged (soak seed 405):
// the endpoint had restarted before the takeover, as its start time shows, leaves a stop of the
// new leader unanswered, and may restart again.
func TestTaskWaitsForLateStartAfterTakeover(t *testing.T) {
	cases := map[string]struct {
		token  uint64
		uptime time.Duration
		// isRestarted is true if another endpoint has restarted under its ID since.
		isRestarted bool
		starts      int
	}{
		"endpoint has just begun":         {token: 2, uptime: 3 * time.Second, isRestarted: true},
		"endpoint has run for an hour":    {token: 2, uptime: time.Hour, isRestarted: true, starts: 1},
		"there was no leader before this": {token: 1, uptime: 3 * time.Second, isRestarted: true, starts: 1},
		"none has restarted under its ID": {token: 2, uptime: 3 * time.Second, starts: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			onePool := defaultPolicy()
			onePool.Pools = onePool.Pools[:1]
			s := newSimulation(t, simulationConfig{token: c.token, policy: onePool})
			row := endpointRow("a")
			row.StartedAt = s.now.Add(-c.uptime)
			s.lives["a"] = life{startedAt: row.StartedAt, began: row.StartedAt}
			s.leader.UpdateEndpoint(row, s.now)
			s.report("a", s.now)
			s.listHostsOf("a")
			s.submit(submission(1, tasks(1)))
			start := s.step().Starts[0]
			s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderUnknown}, s.now)
			s.advance(10 * time.Millisecond)
			s.report("a", s.now)
			s.leader.HandleStopReply(s.step().Stops[0], fleet.Reply{Outcome: fleet.OrderUnknown}, s.now)
			s.advance(400 * time.Millisecond)
			s.acceptStop()
			s.addEndpoint("b")
			if c.isRestarted {
				s.restart("b", laterStart)
				s.report("b", s.now)
			}
			s.advance(10 * time.Millisecond)
			s.report("a", s.now)
			s.wantOrders("after the stop was accepted", c.starts, 0)
		})
	}
}
