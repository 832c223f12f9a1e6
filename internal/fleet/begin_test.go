package fleet_test

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
)

// jobShapes are jobs of which tasks can start at once.
func jobShapes() map[string]*job.Submission {
	gang := tasks(3)
	gang.Gang = true
	second := tasks(2)
	second.After = []int{0}
	occurrences := submission(1, tasks(1))
	occurrences.Times, occurrences.Start = 3, occurrences.Accepted
	return map[string]*job.Submission{
		"one task":         submission(1, tasks(1)),
		"many tasks":       submission(1, tasks(8)),
		"a gang":           submission(1, gang),
		"steps":            submission(1, tasks(1), second),
		"occurrences":      occurrences,
		"persistent tasks": submission(1, persistentTasks(2, 1)),
	}
}

// wantWaiting compares whether the only job counts as waiting, and is shown as running if it does not.
func (s *simulation) wantWaiting(when string, want int) {
	s.t.Helper()
	if got := s.leader.Waiting()[queueName]; got != want {
		s.t.Errorf("waiting jobs %s: got %d, want %d", when, got, want)
	}
	state, _ := s.leader.StateOf(jobID(1))
	if got := state == job.Running; got != (want == 0) {
		s.t.Errorf("state %s: got %s, want running %t", when, state, want == 0)
	}
}

// Guards against jobs that have not begun and are not counted as waiting: the leader counted them as
// begun once it had decided a start, also if the endpoint refused it or never got it.
func TestJobWaitsUntilAnEndpointConfirmsAStart(t *testing.T) {
	answer := func(outcome fleet.OrderOutcome) func(s *simulation, start fleet.Start) {
		return func(s *simulation, start fleet.Start) {
			s.leader.HandleStartReply(start, fleet.Reply{Outcome: outcome}, s.now)
		}
	}
	events := map[string]struct {
		event func(s *simulation, start fleet.Start)
		want  int
	}{
		"decided":           {event: func(*simulation, fleet.Start) {}, want: 1},
		"sent":              {event: func(s *simulation, start fleet.Start) { s.leader.ConfirmStart(start, s.now) }, want: 1},
		"not sent":          {event: answer(fleet.OrderNotSent), want: 1},
		"no room":           {event: answer(fleet.OrderNoCapacity), want: 1},
		"unhealthy":         {event: answer(fleet.OrderUnhealthy), want: 1},
		"lease expired":     {event: answer(fleet.OrderLeaseExpired), want: 1},
		"invalid ticket":    {event: answer(fleet.OrderInvalidTicket), want: 1},
		"malformed":         {event: answer(fleet.OrderMalformed), want: 1},
		"stale":             {event: answer(fleet.OrderStaleRun), want: 1},
		"other incarnation": {event: answer(fleet.OrderOtherIncarnation), want: 1},
		"unanswered":        {event: answer(fleet.OrderUnknown), want: 1},
		"accepted":          {event: answer(fleet.OrderAccepted), want: 0},
		"withdrawn": {event: func(s *simulation, start fleet.Start) {
			s.advance(10 * time.Second)
			s.leader.ConfirmStart(start, s.now.Add(10*time.Second))
		}, want: 1},
		"unanswered, reported": {event: func(s *simulation, start fleet.Start) {
			answer(fleet.OrderUnknown)(s, start)
			s.running[start.Endpoint] = []fleet.RunningTask{{Task: start.Task, Run: start.Run, SpeedPercent: 100}}
			s.renewLease(start.Endpoint)
		}, want: 0},
		"unanswered, ended": {event: func(s *simulation, start fleet.Start) {
			answer(fleet.OrderUnknown)(s, start)
			s.endRun(start, fleet.CompletionStopped)
			s.renewLease(start.Endpoint)
		}, want: 0},
		"accepted after it was given up": {event: func(s *simulation, start fleet.Start) {
			s.leader.UpdateEndpoint(fleet.EndpointRow{ID: "b", Pool: poolName, Capacity: endpointSize}, s.now)
			answer(fleet.OrderNoCapacity)(s, start)
			answer(fleet.OrderAccepted)(s, start)
		}, want: 0},
	}
	for shape := range jobShapes() {
		for name, c := range events {
			t.Run(shape+"/"+name, func(t *testing.T) {
				s := newSimulation(t, simulationConfig{})
				s.addEndpoint("a")
				s.submit(jobShapes()[shape])
				s.wantWaiting("at first", 1)
				starts := s.step().Starts
				if len(starts) == 0 {
					t.Fatal("starts: got none")
				}
				c.event(s, starts[0])
				s.wantWaiting("after the event", c.want)
				s.advance(3 * time.Second)
				s.renewLease("a")
				s.step()
				s.wantWaiting("later", c.want)
			})
		}
	}
}

// Guards against jobs that count as waiting again once they have begun: the endpoint on which one had
// begun crashes, or is not reached by the next leader.
func TestBegunJobNeverWaitsAgain(t *testing.T) {
	for shape := range jobShapes() {
		t.Run(shape, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			s.addEndpoint("a")
			s.submit(jobShapes()[shape])
			s.step()
			s.acceptStarts()
			s.wantWaiting("after the start", 0)
			s.advance(2 * time.Second)
			s.renewLease("a")
			s.step()
			row := s.storedProgress()
			crashed := s.running["a"]
			s.running["a"] = nil
			s.renewLease("a")
			if len(crashed) == 0 {
				t.Fatal("runs: got none")
			}
			s.wantWaiting("after its runs were lost", 0)
			next := newSimulation(t, simulationConfig{token: 2, jobs: []fleet.StoredJob{{Submission: jobShapes()[shape], Progress: row}}})
			next.wantWaiting("for the next leader", 0)
		})
	}
}

// storedProgress writes all batches, and returns the progress of the only job as the next leader reads it, or nil.
func (s *simulation) storedProgress() *job.Progress {
	s.t.Helper()
	var progress *job.Progress
	for {
		batch, ok := s.leader.NextBatch()
		if !ok {
			return progress
		}
		if row := batch.Rows[jobID(1)]; row != nil {
			var err error
			if progress, err = job.DecodeProgress(submission(1, tasks(1)), row); err != nil {
				s.t.Fatal(err)
			}
		}
		s.leader.MarkBatchWritten(batch, s.now)
	}
}

// Guards against jobs that have not begun and are not counted as waiting after the leader has changed: the
// row of a start that the former leader had decided counted as a beginning.
func TestRecordedStartIsNoBeginning(t *testing.T) {
	progress := job.NewProgress()
	progress.RecordStart(job.Task{Job: jobID(1)}, job.StartedRun{Run: 1, Endpoint: "a", EndpointStart: time.UnixMilli(1000)})
	s := newSimulation(t, simulationConfig{token: 2, jobs: []fleet.StoredJob{{Submission: submission(1, tasks(1)), Progress: progress}}})
	s.wantWaiting("after the takeover", 1)
}

// Guards against steps that look at ever more occurrences: each occurrence whose start was refused let one
// more be opened.
func TestRefusedOccurrencesAreIdle(t *testing.T) {
	const mostIdle = 256
	s := newSimulation(t, simulationConfig{})
	s.addEndpoint("a")
	many := submission(1, tasks(1))
	many.Times, many.Start = 2000, many.Accepted
	s.submit(many)
	for round := range 200 {
		for _, start := range s.step().Starts {
			s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderNoCapacity}, s.now)
		}
		if got := s.leader.Dump(s.now).Jobs[0].Pending; got > mostIdle {
			t.Fatalf("pending tasks after round %d: got %d, want at most %d", round, got, mostIdle)
		}
		s.advance(300 * time.Millisecond)
		s.renewLease("a")
	}
}

// Guards against waits that are foreseen as short, so that jobs are accepted which cannot be in time: starts
// that endpoints refuse counted toward the rate at which the pool's work starts.
func TestRefusedStartsDoNotShortenWaits(t *testing.T) {
	s := newOverload(t, load{jobs: 40})
	for n := range 30 {
		j := submission(1000+n, tasks(8))
		j.Accepted = s.now
		s.submit(j)
		s.advance(250 * time.Millisecond)
		s.renewLease("a")
		for _, start := range s.step().Starts {
			s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderMalformed}, s.now)
		}
		for _, running := range s.running["a"] {
			s.endRun(fleet.Start{Endpoint: "a", Task: running.Task, Run: running.Run}, fleet.CompletionDone)
		}
		s.leader.Outlook(s.now)
	}
	if got := s.leader.Outlook(s.now).Pools[poolName]; len(got.WaitByPriority) > 0 && got.WaitByPriority[0] > 0 {
		t.Errorf("wait for work in time while no start is accepted: got %s, want none", got.WaitByPriority[0])
	}
}
