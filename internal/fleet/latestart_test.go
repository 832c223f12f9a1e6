package fleet_test

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
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
			// The endpoint gets no work, so that the task goes elsewhere.
			s.failRenewal("a", fleet.OrderUnknown)
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

// Guards against a task that is started again after its end was acknowledged: the endpoint
// of a start without an answer leaves the platform's list, and is back under its ID.
func TestStopOfLateStartAfterEndpointWasForgotten(t *testing.T) {
	s, start := unansweredStart(t)
	s.failRenewal("a", fleet.OrderUnknown)
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
	s.failRenewal("a", fleet.OrderUnknown)
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
			s.failRenewal("a", fleet.OrderUnknown)
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
