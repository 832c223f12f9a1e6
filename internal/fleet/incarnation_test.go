package fleet_test

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
)

// restart lets an endpoint restart under its ID with the given start time: it runs
// nothing, and its clock and the numbers of its completions begin anew.
func (s *simulation) restart(id fleet.EndpointID, startedAt time.Time) {
	s.running[id], s.ended[id] = nil, nil
	s.lives[id] = life{startedAt: startedAt, began: s.now}
}

// list delivers an endpoint's row with its current incarnation.
func (s *simulation) list(id fleet.EndpointID) {
	row := endpointRow(id)
	row.StartedAt = s.lifeOf(id).startedAt
	s.leader.UpdateEndpoint(row, s.now)
}

// report delivers an endpoint's report for a renewal sent at sentAt, due or not.
func (s *simulation) report(id fleet.EndpointID, sentAt time.Time) {
	renewal, _ := s.leader.NextRenewal(id, s.now)
	s.leader.HandleReport(id, renewal, sentAt, s.reportOf(id), s.now)
	s.advance(2 * time.Millisecond)
}

// run adds a run to those that an endpoint reports.
func (s *simulation) run(start fleet.Start) {
	s.running[start.Endpoint] = append(s.running[start.Endpoint], fleet.RunningTask{Task: start.Task, Run: start.Run, SpeedPercent: 100})
}

// wantOrders runs a step and checks the number of its starts and stops.
func (s *simulation) wantOrders(when string, starts, stops int) {
	s.t.Helper()
	orders := s.step()
	if len(orders.Starts) != starts || len(orders.Stops) != stops {
		s.t.Fatalf("orders %s: got %d starts and %d stops, want %d and %d", when, len(orders.Starts), len(orders.Stops), starts, stops)
	}
}

// longRunning returns a simulation whose endpoint "a" has run for an hour.
func longRunning(t *testing.T) *simulation {
	s := newSimulation(t, simulationConfig{})
	s.startedAt = s.now.Add(-time.Hour)
	s.addEndpoint("a")
	return s
}

var (
	laterStart   = time.UnixMilli(5000)
	earlierStart = time.UnixMilli(500)
)

// Guards against tasks that run again after their end: the report of an endpoint's
// earlier incarnation arrives once the list has shown the new one, whose completions
// are then passed over because their numbers begin anew.
func TestReportOfEarlierIncarnation(t *testing.T) {
	s := longRunning(t)
	s.submit(submission(1, tasks(3)))
	for _, start := range s.step().Starts {
		s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderAccepted}, s.now)
		s.run(start)
		s.endRun(start, fleet.CompletionDone)
	}
	sentAt := s.now
	s.advance(time.Millisecond)
	renewal, _ := s.leader.NextRenewal("a", s.now)
	earlier := s.reportOf("a")
	s.restart("a", laterStart)
	s.list("a")
	s.leader.HandleReport("a", renewal, sentAt, earlier, s.now)
	s.writeBatches()
	s.advance(time.Millisecond)
	s.report("a", s.now)
	s.submit(submission(2, tasks(3)))
	starts := s.step().Starts
	if len(starts) != 3 {
		t.Fatalf("starts on the new incarnation: got %d, want 3", len(starts))
	}
	s.acceptStarts()
	s.report("a", s.now)
	for _, start := range starts {
		s.endRun(start, fleet.CompletionDone)
	}
	s.report("a", s.now)
	s.writeBatches()
	s.wantOrders("after all tasks have ended", 0, 0)
	for n := 1; n <= 2; n++ {
		if got, _ := s.leader.StateOf(jobID(n)); got != job.Complete {
			t.Errorf("state of job %d: got %s, want complete", n, got)
		}
	}
}

// Guards against two runs of a task at once: an order names an endpoint by its ID
// alone, so that a start is carried out by the incarnation that follows the one for
// which it was meant.
func TestStartCarriedOutByNextIncarnation(t *testing.T) {
	cases := map[string]struct {
		startedAt time.Time
		// announce lists the new incarnation before it reports.
		announce bool
		// answeredFirst is true if the start is answered before the first report of the
		// new incarnation, which was requested earlier.
		answeredFirst bool
	}{
		"answered after the report":                    {startedAt: laterStart},
		"answered before the report":                   {startedAt: laterStart, answeredFirst: true},
		"listed, answered after the report":            {startedAt: laterStart, announce: true},
		"listed, answered before the report":           {startedAt: laterStart, announce: true, answeredFirst: true},
		"wall clock set back":                          {startedAt: earlierStart},
		"wall clock set back, answered before":         {startedAt: earlierStart, answeredFirst: true},
		"wall clock set back, listed, answered before": {startedAt: earlierStart, announce: true, answeredFirst: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := longRunning(t)
			s.submit(submission(1, tasks(1)))
			start := s.step().Starts[0]
			s.addEndpoint("b")
			s.restart("a", c.startedAt)
			if c.announce {
				s.list("a")
				s.wantOrders("after the list has shown the restart", 0, 0)
			}
			sentAt := s.now
			first := s.reportOf("a")
			s.advance(time.Millisecond)
			s.run(start)
			accept := func() {
				s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderAccepted, Clock: s.now.Sub(s.lifeOf("a").began)}, s.now)
				s.advance(time.Millisecond)
			}
			if c.answeredFirst {
				accept()
			}
			s.leader.HandleReport("a", fleet.LeaseRenewal{}, sentAt, first, s.now)
			s.wantOrders("after the first report of the new incarnation", 0, 0)
			if !c.answeredFirst {
				accept()
			}
			s.wantOrders("after the new incarnation has accepted the start", 0, 0)
			s.report("a", s.now)
			s.wantOrders("while the task runs on the new incarnation", 0, 0)
			s.endRun(start, fleet.CompletionDone)
			s.report("a", s.now)
			s.writeBatches()
			s.wantOrders("after the task has ended", 0, 0)
			if got, _ := s.leader.StateOf(jobID(1)); got != job.Complete {
				t.Errorf("state: got %s, want complete", got)
			}
		})
	}
}

// Guards against two runs of a task at once: a start got no answer before the endpoint
// restarted, and is carried out by the new incarnation after its task has started
// elsewhere. Only a stop that the new incarnation has accepted prevents that.
func TestUnansweredStartBeforeRestart(t *testing.T) {
	s := longRunning(t)
	s.submit(submission(1, tasks(1)))
	start := s.step().Starts[0]
	s.addEndpoint("b")
	s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderUnknown}, s.now)
	s.advance(10 * time.Millisecond)
	s.report("a", s.now)
	stop := s.step().Stops[0]
	s.leader.HandleStopReply(stop, fleet.Reply{Outcome: fleet.OrderAccepted}, s.now)
	s.restart("a", laterStart)
	s.advance(10 * time.Millisecond)
	s.report("a", s.now)
	s.wantOrders("after the restart has undone the stop", 0, 1)
	s.leader.HandleStopReply(stop, fleet.Reply{Outcome: fleet.OrderAccepted}, s.now)
	s.advance(10 * time.Millisecond)
	s.report("a", s.now)
	s.wantOrders("after a late answer to the stop of the earlier incarnation", 0, 0)
	s.advance(400 * time.Millisecond)
	again := s.step().Stops
	if len(again) != 1 {
		t.Fatalf("stops of an unanswered start: got %d, want 1", len(again))
	}
	s.leader.HandleStopReply(again[0], fleet.Reply{Outcome: fleet.OrderAccepted}, s.now)
	s.advance(10 * time.Millisecond)
	s.report("a", s.now)
	s.wantOrders("after the new incarnation has accepted a stop", 1, 0)
}

// Guards against tasks that run again after their end: an endpoint whose wall clock was
// set back restarts, so that its new incarnation seems to be the older one.
func TestRestartAfterWallClockSetBack(t *testing.T) {
	s := longRunning(t)
	s.submit(submission(1, tasks(3)))
	for _, start := range s.step().Starts {
		s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderAccepted}, s.now)
		s.run(start)
		s.endRun(start, fleet.CompletionDone)
	}
	s.report("a", s.now)
	s.writeBatches()
	s.restart("a", earlierStart)
	s.list("a")
	s.advance(time.Millisecond)
	renewal, _ := s.leader.NextRenewal("a", s.now)
	if renewal.AckedUpTo != 0 {
		t.Errorf("acknowledged to a new incarnation: got %d, want 0", renewal.AckedUpTo)
	}
	s.report("a", s.now)
	s.submit(submission(2, tasks(2)))
	starts := s.step().Starts
	s.acceptStarts()
	for _, start := range starts {
		s.endRun(start, fleet.CompletionDone)
	}
	s.report("a", s.now)
	s.writeBatches()
	s.wantOrders("after all tasks have ended", 0, 0)
	if got, _ := s.leader.StateOf(jobID(2)); got != job.Complete {
		t.Errorf("state: got %s, want complete", got)
	}
}

// Guards against two runs of a task at once: an order for the earlier incarnation sets a
// lease on the new one that ends later than any that the leader has granted, since a
// deadline on the clock of one bounds nothing on the clock of the other.
func TestLeaseOfStartForEarlierIncarnation(t *testing.T) {
	s := longRunning(t)
	s.submit(submission(1, tasks(1)))
	start := s.step().Starts[0]
	s.addEndpoint("b")
	s.restart("a", laterStart)
	sentAt := s.now
	first := s.reportOf("a")
	s.advance(time.Millisecond)
	s.leader.HandleReport("a", fleet.LeaseRenewal{}, sentAt, first, s.now)
	s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderAccepted, Clock: time.Millisecond}, s.now)
	const longestLease = 10 * time.Second
	acceptedAt := s.now
	for s.now.Sub(acceptedAt) < longestLease {
		s.advance(100 * time.Millisecond)
		s.leader.RenewalFailed("a", fleet.Reply{Outcome: fleet.OrderUnknown}, s.now)
		s.renewLease("b")
		if got := len(s.step().Starts); got != 0 {
			t.Fatalf("starts %s after the silent endpoint accepted the task: got %d, want 0", s.now.Sub(acceptedAt), got)
		}
	}
	for range 20 {
		s.advance(100 * time.Millisecond)
		s.leader.RenewalFailed("a", fleet.Reply{Outcome: fleet.OrderUnknown}, s.now)
		s.renewLease("b")
		if len(s.step().Starts) == 1 {
			return
		}
	}
	t.Error("starts after the longest lease has expired: got none, want the waiting task's")
}

// Guards against two runs of a task at once: an endpoint restarts twice, and its clock, which the leader read
// soon after the first time, is ahead of that when the second incarnation answers a start. No list shows the
// restart, and the endpoint falls silent with the longest lease.
func TestRestartThatOnlyTheClockShows(t *testing.T) {
	const longestLease = 10 * time.Second
	s := newSimulation(t, simulationConfig{})
	s.restart("a", s.now.Round(0))
	s.advance(100 * time.Millisecond)
	s.list("a")
	s.report("a", s.now)
	s.advance(5 * time.Second)
	s.restart("a", s.now.Round(0))
	restartedAt := s.now
	s.advance(400 * time.Millisecond)
	s.submit(submission(1, tasks(1)))
	start := s.step().Starts[0]
	s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderAccepted, Clock: 400 * time.Millisecond}, s.now)
	s.addEndpoint("b")
	for s.now.Sub(restartedAt) < longestLease {
		s.advance(100 * time.Millisecond)
		s.leader.RenewalFailed("a", fleet.Reply{Outcome: fleet.OrderUnknown, SentAt: s.now}, s.now)
		s.renewLease("b")
		if got := len(s.step().Starts); got != 0 {
			t.Fatalf("starts %s after the restart: got %d, want 0", s.now.Sub(restartedAt), got)
		}
	}
}

// Guards against two runs of a task at once: a new leader has adopted runs, but not yet
// renewed their lease, when the endpoint does not answer once.
func TestAdoptedRunsOutliveFailedRenewal(t *testing.T) {
	onePool := defaultPolicy()
	onePool.Pools = onePool.Pools[:1]
	s := newSimulation(t, simulationConfig{token: 2, policy: onePool, jobs: []fleet.StoredJob{{Submission: submission(1, tasks(1))}}})
	tookOver := s.now
	s.startedAt = s.now.Add(-time.Hour)
	s.running["a"] = []fleet.RunningTask{{Task: job.Task{Job: jobID(1)}, Run: 1, SpeedPercent: 100}}
	s.addEndpoint("a")
	s.addEndpoint("b")
	s.listHostsOf("a", "b")
	const formerLease = 5 * time.Second
	for s.now.Sub(tookOver) < formerLease {
		s.advance(200 * time.Millisecond)
		s.leader.RenewalFailed("a", fleet.Reply{Outcome: fleet.OrderUnknown}, s.now)
		s.renewLease("b")
		if got := len(s.step().Starts); got != 0 {
			t.Fatalf("starts %s after the takeover: got %d, want 0", s.now.Sub(tookOver), got)
		}
	}
	for range 30 {
		s.advance(200 * time.Millisecond)
		s.leader.RenewalFailed("a", fleet.Reply{Outcome: fleet.OrderUnknown}, s.now)
		s.renewLease("b")
		if len(s.step().Starts) == 1 {
			return
		}
	}
	t.Error("starts after all leases of the former leader: got none, want the waiting task's")
}

// Guards against two runs of a task at once: an order to an address that the endpoint
// had before is refused by the endpoint that has it now, while the first one runs on.
func TestRefusalFromFormerAddress(t *testing.T) {
	refuse := map[string]func(s *simulation, sentAt time.Time, refused fleet.Start){
		"start": func(s *simulation, _ time.Time, refused fleet.Start) {
			s.leader.HandleStartReply(refused, fleet.Reply{Outcome: fleet.OrderOtherIncarnation}, s.now)
		},
		"renewal": func(s *simulation, sentAt time.Time, _ fleet.Start) {
			s.leader.RenewalFailed("a", fleet.Reply{Outcome: fleet.OrderOtherIncarnation, SentAt: sentAt}, s.now)
		},
	}
	for name, refusal := range refuse {
		t.Run(name, func(t *testing.T) {
			s := longRunning(t)
			sentAt := s.now
			s.advance(time.Millisecond)
			s.submit(submission(1, tasks(1)))
			kept := s.step().Starts[0]
			s.acceptStarts()
			s.submit(submission(2, tasks(1)))
			refused := s.step().Starts[0]
			s.addEndpoint("b")
			refusal(s, sentAt, refused)
			for _, start := range s.step().Starts {
				if start.Task == kept.Task {
					t.Fatalf("start of a task that runs on: got run %d on %s, want none", start.Run, start.Endpoint)
				}
			}
			s.report("a", s.now)
			for _, start := range s.step().Starts {
				if start.Task == kept.Task {
					t.Errorf("start of a task that is reported running: got run %d on %s, want none", start.Run, start.Endpoint)
				}
			}
		})
	}
}

// Guards against a task that runs again after its end: the endpoint rejects a start
// because that very run has ended there, which its next report says.
func TestStaleStartWhoseRunHasEnded(t *testing.T) {
	s := longRunning(t)
	s.submit(submission(1, tasks(1)))
	start := s.step().Starts[0]
	s.addEndpoint("b")
	s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderStaleRun}, s.now)
	s.advance(100 * time.Millisecond)
	s.wantOrders("before the endpoint has reported", 0, 0)
	s.run(start)
	s.endRun(start, fleet.CompletionDone)
	s.report("a", s.now)
	s.wantOrders("after the report", 0, 0)
	s.writeBatches()
	if got, _ := s.leader.StateOf(jobID(1)); got != job.Complete {
		t.Errorf("state: got %s, want complete", got)
	}
}

// Guards against two runs of a task at once: an endpoint leaves a start unanswered, falls
// silent, restarts unnoticed and carries the start out late. Its lease does not bound
// that, since the clock of the new incarnation is behind the start's deadline.
func TestUnansweredStartOnSilentEndpoint(t *testing.T) {
	const orderDelay, longestLease = 12 * time.Second, 10 * time.Second
	s := longRunning(t)
	s.submit(submission(1, tasks(1)))
	start := s.step().Starts[0]
	s.addEndpoint("b")
	s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderUnknown}, s.now)
	orderedAt := s.now
	startsAfter := func(d time.Duration) int {
		for s.now.Sub(orderedAt) < d {
			s.advance(100 * time.Millisecond)
			s.leader.RenewalFailed("a", fleet.Reply{Outcome: fleet.OrderUnknown}, s.now)
			s.renewLease("b")
			if got := len(s.step().Starts); got != 0 {
				return got
			}
		}
		return 0
	}
	if got := startsAfter(orderDelay + longestLease); got != 0 {
		t.Fatalf("starts %s after the order: got %d, want 0", s.now.Sub(orderedAt), got)
	}
	if got := startsAfter(orderDelay + longestLease + 10*time.Second); got != 1 {
		t.Errorf("starts after the late order's lease: got %d, want 1", got)
	}
}

// Guards against tasks that wait for hours: an unanswered start has a deadline on the clock
// of a long-lived incarnation, and the next one falls silent after its first report.
func TestDeadlineOfEarlierIncarnationIsNotWaitedOut(t *testing.T) {
	s := longRunning(t)
	s.submit(submission(1, tasks(1)))
	start := s.step().Starts[0]
	s.addEndpoint("b")
	s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderUnknown}, s.now)
	s.restart("a", laterStart)
	s.advance(10 * time.Millisecond)
	s.report("a", s.now)
	orderedAt := s.now
	for s.now.Sub(orderedAt) < 40*time.Second {
		s.advance(100 * time.Millisecond)
		s.leader.RenewalFailed("a", fleet.Reply{Outcome: fleet.OrderUnknown}, s.now)
		s.renewLease("b")
		if len(s.step().Starts) == 1 {
			return
		}
	}
	t.Errorf("starts %s after the endpoint fell silent: got none, want the waiting task's", s.now.Sub(orderedAt))
}

// Guards against tasks that run again after their end: an acknowledgement to an endpoint's
// earlier incarnation has no answer, and is carried out seconds late by the next one, which
// forgets its own ends unread.
func TestNoWorkBesideALateAcknowledgement(t *testing.T) {
	cases := map[string]struct {
		isAnswered, isRestarted bool
		starts                  int
	}{
		"no answer, restarted":      {isRestarted: true},
		"no answer, same one":       {starts: 1},
		"answered, restarted since": {isAnswered: true, isRestarted: true, starts: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := longRunning(t)
			s.submit(submission(1, tasks(1)))
			start := s.step().Starts[0]
			s.acceptStarts()
			s.endRun(start, fleet.CompletionDone)
			s.report("a", s.now)
			s.writeBatches()
			renewal, isDue := s.leader.NextRenewal("a", s.now)
			if !isDue || renewal.AckedUpTo != 1 {
				t.Fatalf("renewal: got %+v (due %t), want an acknowledgement of 1", renewal, isDue)
			}
			if c.isAnswered {
				s.ended["a"] = nil
				s.leader.HandleReport("a", renewal, s.now, s.reportOf("a"), s.now)
			} else {
				s.leader.RenewalFailed("a", fleet.Reply{Outcome: fleet.OrderUnknown, SentAt: s.now}, s.now)
			}
			s.advance(2 * time.Second)
			if c.isRestarted {
				s.restart("a", laterStart)
				s.list("a")
			}
			s.report("a", s.now)
			s.submit(submission(2, tasks(1)))
			s.wantOrders("while the acknowledgement may be carried out", c.starts, 0)
			s.advance(14 * time.Second)
			s.report("a", s.now)
			s.wantOrders("after that", 1-c.starts, 0)
		})
	}
}

// Guards against tasks that run again after their end: an acknowledgement without an answer is forgotten with
// its endpoint, which is gone and then listed again under its ID, and is carried out late by the next life.
func TestForgottenEndpointKeepsItsUnansweredOrders(t *testing.T) {
	const orderDelay = 15 * time.Second
	s, start := startOn(t)
	s.accept(start)
	s.endRun(start, fleet.CompletionDone)
	s.report("a", s.now)
	s.writeBatches()
	renewal, isDue := s.leader.NextRenewal("a", s.now)
	if !isDue || renewal.AckedUpTo != 1 {
		t.Fatalf("renewal: got %+v (due %t), want an acknowledgement of 1", renewal, isDue)
	}
	sentAt := s.now
	s.leader.RenewalFailed("a", fleet.Reply{Outcome: fleet.OrderUnknown, SentAt: sentAt}, s.now)
	s.advance(200 * time.Millisecond)
	s.listed(downHost("a"), newHost(poolName, "b"))
	s.failRenewal("a", fleet.OrderUnknown)
	s.leader.RemoveEndpoint("a", s.now)
	if _, ok := s.leader.AddressOf("a"); ok {
		t.Fatal("endpoint a: got known, want forgotten")
	}
	s.advance(3 * time.Second)
	s.restart("a", laterStart)
	s.list("a")
	s.advance(10 * time.Millisecond)
	s.report("a", s.now)
	large := tasks(2)
	large.Resources.CPU = endpointSize.CPU
	s.submit(submission(2, large))
	if got := startsOn(s.step().Starts)["a"]; got != 0 {
		t.Errorf("starts on the next life %s after the acknowledgement: got %d, want none for %s", s.now.Sub(sentAt), got, orderDelay)
	}
	s.acceptStarts()
	s.advance(orderDelay)
	s.report("a", s.now)
	if got := startsOn(s.step().Starts)["a"]; got != 1 {
		t.Errorf("starts on the next life once the acknowledgement is over: got %d, want 1", got)
	}
}
