package fleet_test

import (
	"slices"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
)

// endTasks lets the endpoint "a" run three tasks of a job to their end. The leader has read
// and written the ends, but not acknowledged them.
func (s *simulation) endTasks(n int) {
	s.submit(submission(n, tasks(3)))
	for _, start := range s.step().Starts {
		s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderAccepted}, s.now)
		s.run(start)
		s.endRun(start, fleet.CompletionDone)
	}
	s.report("a", s.now)
	s.writeBatches()
}

// acknowledge lets an endpoint forget its completions up to a number.
func (s *simulation) acknowledge(id fleet.EndpointID, upTo int64) {
	s.ended[id] = slices.DeleteFunc(s.ended[id], func(c fleet.Completion) bool { return c.Number <= upTo })
}

// Guards against ends that a new incarnation forgets unread, and against work that it gets
// before its report: after each sign of a restart the next renewal is due at once, without
// lease and acknowledgement, and no task starts there until it is answered.
func TestSignsOfRestart(t *testing.T) {
	signs := map[string]func(s *simulation, start fleet.Start){
		"row with another start time": func(s *simulation, _ fleet.Start) {
			s.restart("a", laterStart)
			s.list("a")
		},
		"clock is behind": func(s *simulation, start fleet.Start) {
			s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderAccepted, Clock: time.Second}, s.now)
		},
		"accepted start of an untracked run": func(s *simulation, start fleet.Start) {
			start.Run++
			s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderAccepted, Clock: 2 * time.Hour}, s.now)
		},
		"start refused": func(s *simulation, start fleet.Start) {
			s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderOtherIncarnation}, s.now)
		},
		"stop refused": func(s *simulation, start fleet.Start) {
			s.leader.CancelJob(start.Task.Job, s.now)
			s.leader.HandleStopReply(s.step().Stops[0], fleet.Reply{Outcome: fleet.OrderOtherIncarnation}, s.now)
		},
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			s := longRunning(t)
			s.endTasks(1)
			if renewal, _ := s.leader.NextRenewal("a", s.now); renewal.AckedUpTo != 3 {
				t.Fatalf("acknowledged before the sign: got %d, want 3", renewal.AckedUpTo)
			}
			s.submit(submission(2, tasks(1)))
			start := s.step().Starts[0]
			sign(s, start)
			renewal, due := s.leader.NextRenewal("a", s.now)
			if !due || renewal.AckedUpTo != 0 || renewal.Lease != 0 {
				t.Errorf("renewal after the sign: got %+v (due %t), want one without lease and acknowledgement", renewal, due)
			}
			s.submit(submission(3, tasks(1)))
			if starts := s.step().Starts; len(starts) != 0 {
				t.Errorf("starts before the report: got %d, want 0", len(starts))
			}
			s.advance(time.Millisecond)
			s.report("a", s.now)
			s.advance(100 * time.Millisecond)
			if starts := s.step().Starts; len(starts) == 0 {
				t.Error("starts after the report: got none, want some")
			}
		})
	}
}

// Guards against tasks that run again after their end: ends of the earlier incarnation are
// acknowledged to the new one, which forgets its own unread.
func TestNoAcknowledgementToNextIncarnation(t *testing.T) {
	tests := map[string]func(s *simulation){
		// The report was requested before the list showed the restart: it is no answer to it.
		"report requested before the sign": func(s *simulation) {
			sentAt, earlier := s.now, s.reportOf("a")
			s.advance(time.Millisecond)
			s.restart("a", laterStart)
			s.list("a")
			s.leader.HandleReport("a", fleet.LeaseRenewal{}, sentAt, earlier, s.now)
		},
		"renewal without an answer": func(s *simulation) {
			s.leader.RenewalFailed("a", fleet.Reply{Outcome: fleet.OrderUnknown, SentAt: s.now}, s.now)
			s.restart("a", laterStart)
		},
		"acknowledged with the first report": func(s *simulation) {
			renewal, _ := s.leader.NextRenewal("a", s.now)
			s.restart("a", laterStart)
			s.leader.HandleReport("a", renewal, s.now, s.reportOf("a"), s.now)
		},
	}
	for name, event := range tests {
		t.Run(name, func(t *testing.T) {
			s := longRunning(t)
			s.endTasks(1)
			s.submit(submission(2, tasks(1)))
			start := s.step().Starts[0]
			event(s)
			s.run(start)
			s.endRun(start, fleet.CompletionDone)
			s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderAccepted}, s.now)
			s.advance(time.Millisecond)
			for range 2 {
				renewal, _ := s.leader.NextRenewal("a", s.now)
				s.acknowledge("a", renewal.AckedUpTo)
				s.leader.HandleReport("a", renewal, s.now, s.reportOf("a"), s.now)
				s.advance(2 * time.Millisecond)
			}
			s.writeBatches()
			s.wantOrders("after all tasks have ended", 0, 0)
			if got, _ := s.leader.StateOf(jobID(2)); got != job.Complete {
				t.Errorf("state: got %s, want complete", got)
			}
		})
	}
}

// Guards against tasks that run again after their end: the endpoint restarts while answers
// are slow, carries out starts that were on their way, and an acknowledgement that is based
// on the last report of the earlier incarnation makes it forget their ends unread.
func TestNoAcknowledgementWhileAnswerIsOverdue(t *testing.T) {
	tests := map[string]struct {
		answer fleet.OrderOutcome
		// age is how long ago the start was ordered.
		age       time.Duration
		wantAcked int64
	}{
		"on its way":         {age: 50 * time.Millisecond, wantAcked: 3},
		"overdue":            {age: 200 * time.Millisecond},
		"answered":           {answer: fleet.OrderAccepted, age: 200 * time.Millisecond, wantAcked: 3},
		"without an answer":  {answer: fleet.OrderUnknown, age: 200 * time.Millisecond},
		"rejected long ago":  {answer: fleet.OrderNoCapacity, age: 200 * time.Millisecond, wantAcked: 3},
		"answered and young": {answer: fleet.OrderAccepted, age: 50 * time.Millisecond, wantAcked: 3},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s := longRunning(t)
			s.submit(submission(2, tasks(1)))
			start := s.step().Starts[0]
			s.endTasks(1)
			s.advance(c.age)
			if c.answer != "" {
				s.leader.HandleStartReply(start, fleet.Reply{Outcome: c.answer, Clock: 2 * time.Hour}, s.now)
			}
			if got, _ := s.leader.NextRenewal("a", s.now); got.AckedUpTo != c.wantAcked {
				t.Errorf("acknowledged: got %d, want %d", got.AckedUpTo, c.wantAcked)
			}
		})
	}
}

// Guards against false signs of a restart, which would keep work away, let tasks wait for
// longer leases, and withdraw members of a gang whose partners have been sent: the answer
// to a start is overtaken by the report of its run's end.
func TestAnswerOvertakenByReport(t *testing.T) {
	s := longRunning(t)
	s.submit(submission(1, tasks(1)))
	short := s.step().Starts[0]
	s.run(short)
	s.endRun(short, fleet.CompletionDone)
	s.report("a", s.now)
	s.addEndpoint("b")
	gang := tasks(2)
	gang.Gang, gang.MaxPerEndpoint = true, 1
	s.submit(submission(2, gang))
	members := s.step().Starts
	if len(members) != 2 {
		t.Fatalf("starts of the gang: got %d, want 2", len(members))
	}
	s.leader.HandleStartReply(short, fleet.Reply{Outcome: fleet.OrderAccepted, Clock: time.Hour + time.Second}, s.now)
	for _, member := range members {
		if !s.leader.ConfirmStart(member, s.now) {
			t.Errorf("queued member on %s: got withdrawn, want sent", member.Endpoint)
		}
	}
}

// Guards against tasks that wait for leases which cannot exist: a sign of a restart was
// wrong, and the endpoint falls silent later.
func TestSilenceAfterFalseSign(t *testing.T) {
	s := longRunning(t)
	s.submit(submission(1, tasks(1)))
	start := s.step().Starts[0]
	s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderAccepted, Clock: time.Second}, s.now)
	s.run(start)
	s.advance(time.Millisecond)
	s.report("a", s.now)
	s.addEndpoint("b")
	const grantedLease = 5 * time.Second
	if got := s.silentUntilStart(); got > grantedLease+time.Second {
		t.Errorf("start elsewhere: got after %s, want after the granted lease of %s", got, grantedLease)
	}
}

// silentUntilStart lets "a" fail all renewals until a task starts, and returns for how long.
func (s *simulation) silentUntilStart() time.Duration {
	s.t.Helper()
	since := s.now
	for s.now.Sub(since) < time.Minute {
		s.advance(100 * time.Millisecond)
		s.leader.RenewalFailed("a", fleet.Reply{Outcome: fleet.OrderUnknown, SentAt: s.now}, s.now)
		s.renewLease("b")
		if len(s.step().Starts) > 0 {
			return s.now.Sub(since)
		}
	}
	s.t.Fatal("starts beside a silent endpoint: got none in a minute, want some")
	return 0
}

// Guards against two runs of a task at once: the list shows that an endpoint has restarted,
// its new incarnation is silent, and may have accepted a run that it has not reported, with
// the longest lease.
func TestListedRestartThatIsSilent(t *testing.T) {
	tests := map[string]struct {
		reported bool
		min, max time.Duration
	}{
		"all runs reported":    {reported: true, min: 4 * time.Second, max: 6 * time.Second},
		"one run not reported": {min: 10 * time.Second, max: 13 * time.Second},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s := longRunning(t)
			s.submit(submission(1, tasks(1)))
			s.step()
			s.acceptStarts()
			if c.reported {
				s.report("a", s.now)
			}
			s.addEndpoint("b")
			s.restart("a", laterStart)
			s.list("a")
			if got := s.silentUntilStart(); got < c.min || got > c.max {
				t.Errorf("start elsewhere: got after %s, want after %s to %s", got, c.min, c.max)
			}
		})
	}
}

// Guards against two runs of a task at once: the renewal that the new incarnation answers
// first carries a deadline of the earlier one's clock, which sets the longest lease.
func TestLeaseOfRenewalForEarlierIncarnation(t *testing.T) {
	s := longRunning(t)
	s.submit(submission(1, tasks(1)))
	start := s.step().Starts[0]
	renewal, _ := s.leader.NextRenewal("a", s.now)
	if renewal.Lease == 0 {
		t.Fatal("lease of the renewal: got none, want one")
	}
	s.restart("a", laterStart)
	s.run(start)
	s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderAccepted, Clock: 2 * time.Hour}, s.now)
	s.leader.HandleReport("a", renewal, s.now, s.reportOf("a"), s.now)
	s.addEndpoint("b")
	const longestLease = 10 * time.Second
	if got := s.silentUntilStart(); got < longestLease {
		t.Errorf("start elsewhere: got after %s, want after %s at least", got, longestLease)
	}
}

// Guards against two runs of a task at once: the same, for a run that the leader did not
// track, and adopts with the first report of the new incarnation.
func TestLeaseOfAdoptedRunAfterRestart(t *testing.T) {
	s := longRunning(t)
	s.submit(submission(1, tasks(1)))
	start := s.step().Starts[0]
	s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderNotSent}, s.now)
	s.restart("a", laterStart)
	s.run(start)
	renewal := fleet.LeaseRenewal{Lease: time.Hour + 5*time.Second}
	s.leader.HandleReport("a", renewal, s.now, s.reportOf("a"), s.now)
	s.addEndpoint("b")
	const longestLease = 10 * time.Second
	if got := s.silentUntilStart(); got < longestLease {
		t.Errorf("start elsewhere: got after %s, want after %s at least", got, longestLease)
	}
}

// Guards against two runs of a task at once: a start without an answer, for the earlier
// incarnation, is carried out late and prolongs the lease of all runs on the new one.
func TestLeaseProlongedByLateStart(t *testing.T) {
	s := longRunning(t)
	s.submit(submission(1, tasks(2)))
	starts := s.step().Starts
	s.leader.HandleStartReply(starts[0], fleet.Reply{Outcome: fleet.OrderUnknown}, s.now)
	s.restart("a", laterStart)
	s.run(starts[1])
	s.leader.HandleStartReply(starts[1], fleet.Reply{Outcome: fleet.OrderAccepted, Clock: 2 * time.Hour}, s.now)
	s.advance(time.Millisecond)
	s.report("a", s.now)
	s.addEndpoint("b")
	const orderDelay, longestLease = 9 * time.Second, 10 * time.Second
	if got := s.silentUntilStart(); got < orderDelay+longestLease {
		t.Errorf("start elsewhere: got after %s, want after %s at least", got, orderDelay+longestLease)
	}
}

// Guards against two runs of a task at once: a start waits in the leader's queue before it is sent, gets no answer,
// and is carried out late by the next incarnation of its endpoint. The wait for it counted from the decision.
func TestLateStartCountsFromItsSending(t *testing.T) {
	const queued, orderDelay, longestLease = 3 * time.Second, 12 * time.Second, 10 * time.Second
	s := longRunning(t)
	s.submit(submission(1, tasks(1)))
	start := s.step().Starts[0]
	s.advance(queued)
	s.report("a", s.now)
	if !s.leader.ConfirmStart(start, s.now) {
		t.Fatal("start that has waited: got withdrawn, want sent")
	}
	sentAt := s.now
	s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderUnknown}, s.now)
	s.addEndpoint("b")
	s.silentUntilStart()
	if got := s.now.Sub(sentAt); got < orderDelay+longestLease+queued {
		t.Errorf("start elsewhere: got %s after the first was sent, want after %s at least", got, orderDelay+longestLease+queued)
	}
}

// Guards against tasks that wait for a late start which a stop has prevented.
func TestStoppedStartOnSilentEndpoint(t *testing.T) {
	s := longRunning(t)
	s.submit(submission(1, tasks(1)))
	start := s.step().Starts[0]
	s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderUnknown}, s.now)
	s.advance(10 * time.Millisecond)
	s.report("a", s.now)
	s.leader.HandleStopReply(s.step().Stops[0], fleet.Reply{Outcome: fleet.OrderAccepted}, s.now)
	s.addEndpoint("b")
	const grantedLease = 5 * time.Second
	if got := s.silentUntilStart(); got > grantedLease+time.Second {
		t.Errorf("start elsewhere: got after %s, want after the granted lease of %s", got, grantedLease)
	}
}

// Guards against ends that are never acknowledged: the number that was acknowledged to the
// earlier incarnation counts for the new one, whose numbers begin anew.
func TestAcknowledgementsBeginAnew(t *testing.T) {
	s := longRunning(t)
	s.endTasks(1)
	renewal, _ := s.leader.NextRenewal("a", s.now)
	s.restart("a", laterStart)
	s.leader.HandleReport("a", renewal, s.now, s.reportOf("a"), s.now)
	s.advance(time.Millisecond)
	s.submit(submission(2, tasks(1)))
	s.step()
	s.acceptStarts()
	s.endRun(s.orders.Starts[0], fleet.CompletionDone)
	s.report("a", s.now)
	s.writeBatches()
	if got, _ := s.leader.NextRenewal("a", s.now); got.AckedUpTo != 1 {
		t.Errorf("acknowledged to the new incarnation: got %d, want 1", got.AckedUpTo)
	}
}

// Guards against inherited jobs that wait for an endpoint which had reported to this leader
// before it restarted: no earlier leader can have runs there.
func TestInheritedJobsBesideSilentRestart(t *testing.T) {
	for name, reported := range map[string]bool{"all runs reported": true, "one run not reported": false} {
		t.Run(name, func(t *testing.T) {
			onePool := defaultPolicy()
			onePool.Pools = onePool.Pools[:1]
			spread := tasks(2)
			spread.MaxPerEndpoint = 1
			s := newSimulation(t, simulationConfig{token: 2, policy: onePool, jobs: []fleet.StoredJob{{Submission: submission(1, spread)}}})
			s.addEndpoint("a")
			s.addEndpoint("b")
			for range 100 {
				s.advance(100 * time.Millisecond)
				s.renewLease("a")
				s.renewLease("b")
			}
			started := s.step().Starts
			s.acceptStarts()
			if reported {
				s.renewLease("a")
			}
			s.renewLease("b")
			s.restart("a", laterStart)
			s.list("a")
			for _, start := range started {
				if start.Endpoint == "b" {
					s.endRun(start, fleet.CompletionStopped)
				}
			}
			if got := s.silentUntilStart(); got > 2*time.Second {
				t.Errorf("start of the task that ended on the other endpoint: got after %s, want 2 s at most", got)
			}
		})
	}
}

// Guards against starts that are withdrawn wrongly, twice, or not at all.
func TestConfirmStart(t *testing.T) {
	tests := map[string]struct {
		event func(s *simulation, start fleet.Start)
		want  bool
		// restarts is how many starts the next step orders if the start is withdrawn.
		restarts int
	}{
		"nothing happened": {event: func(*simulation, fleet.Start) {}, want: true},
		"listed restart": {event: func(s *simulation, _ fleet.Start) {
			s.restart("a", laterStart)
			s.list("a")
		}, restarts: 1},
		"endpoint does not answer": {event: func(s *simulation, _ fleet.Start) {
			s.leader.RenewalFailed("a", fleet.Reply{Outcome: fleet.OrderUnknown, SentAt: s.now}, s.now)
		}, restarts: 1},
		"job cancelled":        {event: func(s *simulation, start fleet.Start) { s.leader.CancelJob(start.Task.Job, s.now) }},
		"leader not confirmed": {event: func(s *simulation, _ fleet.Start) { s.now = s.now.Add(2 * time.Second) }, restarts: 1},
		"answered in a report": {event: func(s *simulation, start fleet.Start) { s.run(start); s.report("a", s.now) }},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s := longRunning(t)
			s.submit(submission(1, tasks(1)))
			start := s.step().Starts[0]
			s.addEndpoint("b")
			c.event(s, start)
			if got := s.leader.ConfirmStart(start, s.now); got != c.want {
				t.Errorf("start is confirmed: got %t, want %t", got, c.want)
			}
			s.leader.ConfirmStart(start, s.now)
			s.advance(100 * time.Millisecond)
			if got := len(s.step().Starts); got != c.restarts {
				t.Errorf("starts after that: got %d, want %d", got, c.restarts)
			}
		})
	}
}
