package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// gangOf returns a step with a gang of small tasks.
func gangOf(count int) job.Step {
	return job.Step{Count: count, Resources: policy.Resources{CPU: 50, Memory: 100}, Estimate: time.Second, Gang: true}
}

// Guards against gangs that are started in part: one member is not started, and the others end alone
// after they have waited for it, again and again.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	const members, begun = 8, 3
	answer := func(outcome fleet.OrderOutcome) func(s *simulation, start fleet.Start) {
		return func(s *simulation, start fleet.Start) {
			s.leader.ConfirmStart(start, s.now)
			s.leader.HandleStartReply(start, fleet.Reply{Outcome: outcome}, s.now)
		}
	}
	events := map[string]func(s *simulation, start fleet.Start){
		"not sent":          answer(fleet.OrderNotSent),
		"not taken":         answer(fleet.OrderNotTaken),
		"no room":           answer(fleet.OrderNoCapacity),
		"unhealthy":         answer(fleet.OrderUnhealthy),
		"lease expired":     answer(fleet.OrderLeaseExpired),
		"invalid ticket":    answer(fleet.OrderInvalidTicket),
		"malformed":         answer(fleet.OrderMalformed),
		"stale":             answer(fleet.OrderStaleRun),
		"other incarnation": answer(fleet.OrderOtherIncarnation),
		"unanswered, and not in the next report": func(s *simulation, start fleet.Start) {
			answer(fleet.OrderUnknown)(s, start)
			s.advance(10 * time.Millisecond)
			s.renewLease(start.Endpoint)
		},
		"withdrawn, as the endpoint has shrunk": func(s *simulation, start fleet.Start) {
			shrunk := endpointRow(start.Endpoint)
			shrunk.Capacity = policy.Resources{CPU: 1000, Memory: 400}
			s.leader.UpdateEndpoint(shrunk, s.now)
			s.leader.ConfirmStart(start, s.now)
		},
		"endpoint has restarted": func(s *simulation, start fleet.Start) {
			s.advance(10 * time.Millisecond)
			s.restart(start.Endpoint, laterStart)
			s.list(start.Endpoint)
			s.report(start.Endpoint, s.now)
		},
	}
	for name, event := range events {
		t.Run(name, func(t *testing.T) {
			gang := gangOf(members)
			// Half of the members fit on an endpoint.
			gang.Resources.CPU = endpointSize.CPU / (members / 2)
			s := newSimulation(t, simulationConfig{})
			s.addEndpoint("a")
			s.addEndpoint("b")
			s.submit(submission(1, gang))
			starts := s.step().Starts
			if len(starts) != members {
				t.Fatalf("starts: got %d, want %d", len(starts), members)
			}
			for _, start := range starts[:begun] {
				s.start(start)
			}
			event(s, starts[begun])
			s.wantGivenUp(starts[begun+1:])
		})
	}
}

// wantGivenUp checks that the next step gives up the gang: all runs that have begun are stopped, none of
// the others is started, and the gang does not start again before the runs have ended.
func (s *simulation) wantGivenUp(unsent []fleet.Start) {
	s.t.Helper()
	stopped := map[int]bool{}
	for _, stop := range s.step().Stops {
		stopped[stop.Task.Index] = true
	}
	for _, start := range unsent {
		if s.leader.ConfirmStart(start, s.now) {
			s.t.Errorf("start of member %d after the gang was given up: sent, want withdrawn", start.Task.Index)
		}
	}
	for _, runs := range s.running {
		for _, running := range runs {
			if !stopped[running.Task.Index] {
				s.t.Errorf("run of member %d: not stopped, want stopped at once", running.Task.Index)
			}
		}
	}
	if starts := s.step().Starts; len(starts) != 0 {
		s.t.Errorf("starts while members of the last run may be there: got %d, want none", len(starts))
	}
}

// start sends a start, which its endpoint accepts.
func (s *simulation) start(start fleet.Start) {
	s.t.Helper()
	if !s.leader.ConfirmStart(start, s.now) {
		s.t.Fatalf("start of member %d: withdrawn, want sent", start.Task.Index)
	}
	s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderAccepted}, s.now)
	s.running[start.Endpoint] = append(s.running[start.Endpoint], fleet.RunningTask{Task: start.Task, Run: start.Run, SpeedPercent: 100})
}

// Guards against a gang that is started again and again on an endpoint that refuses a part of it each time.
func TestGangIsNotTriedAgainInTheSameWay(t *testing.T) {
	const members, taken = 300, 256
	s := newSimulation(t, simulationConfig{})
	s.addEndpoint("a")
	s.submit(submission(1, gangOf(members)))
	begunAgain := 0
	for round := range 200 {
		if round == 100 {
			s.addEndpoint("b")
		}
		onEndpoint := map[fleet.EndpointID]int{}
		starts := s.step().Starts
		for _, start := range starts {
			switch {
			case !s.leader.ConfirmStart(start, s.now):
			case start.Endpoint == "a" && onEndpoint["a"] == taken:
				s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderMalformed}, s.now)
				s.step()
			default:
				onEndpoint[start.Endpoint]++
				s.start(start)
			}
		}
		for _, stop := range s.orders.Stops {
			s.leader.HandleStopReply(stop, fleet.Reply{Outcome: fleet.OrderAccepted}, s.now)
			s.endRun(fleet.Start{Endpoint: stop.Endpoint, Task: stop.Task, Run: stop.Run}, fleet.CompletionStopped)
		}
		if onEndpoint["a"]+onEndpoint["b"] == members {
			if onEndpoint["a"] > taken {
				t.Errorf("members on the endpoint that refused a part: got %d, want at most %d", onEndpoint["a"], taken)
			}
			return
		}
		if len(starts) > 0 && round > 0 && round < 100 {
			begunAgain++
		}
		s.advance(100 * time.Millisecond)
		s.renewLease("a")
		s.renewLease("b")
	}
	t.Errorf("the gang was not started in 20 s, although it fits on two endpoints")
	if most := 4; begunAgain > most {
		t.Errorf("attempts in 10 s on the endpoint that refuses a part: got %d, want at most %d", begunAgain, most)
	}
}

// Guards against a gang that is never started again: two of its runs failed in one attempt, and the end of the
// second one, which counts with the first, did not put its task back.
func TestGangStartsAgainAfterTwoFailures(t *testing.T) {
	for name, failed := range map[string]int{"one fails": 1, "two fail": 2, "all fail": 4} {
		t.Run(name, func(t *testing.T) {
			const members = 4
			s := newSimulation(t, simulationConfig{})
			s.addEndpoint("a")
			s.submit(submission(1, gangOf(members)))
			starts := s.step().Starts
			s.acceptStarts()
			for n, start := range starts {
				kind := fleet.CompletionGangBroken
				if n < failed {
					kind = fleet.CompletionFailed
				}
				s.endRun(start, kind)
			}
			s.renewLease("a")
			s.writeBatches()
			s.advance(time.Second)
			if got := len(s.step().Starts); got != members {
				t.Errorf("starts after the failure: got %d, want %d", got, members)
			}
		})
	}
}

// Guards against members of a gang that wait for others in vain: the former leader was gone before it had sent
// all starts. A gang that is there as a whole goes on.
func TestGangOfFormerLeader(t *testing.T) {
	const members = 4
	for name, c := range map[string]struct{ running, wantStops int }{
		"in part": {running: 3, wantStops: 3},
		"whole":   {running: members},
		"none":    {},
	} {
		t.Run(name, func(t *testing.T) {
			stored := submission(1, gangOf(members))
			s := newSimulation(t, simulationConfig{token: 2, jobs: []fleet.StoredJob{{Submission: stored}}})
			for index := range c.running {
				s.running["a"] = append(s.running["a"], fleet.RunningTask{Task: job.Task{Job: stored.ID, Index: index}, Run: 1, SpeedPercent: 100})
			}
			s.listHosts(newHost(poolName, "a"))
			s.renewLease("a")
			s.step()
			if got := len(s.step().Stops) + len(s.orders.Starts); c.running == members && got != 0 {
				t.Errorf("orders for a gang that is whole: got %d, want none", got)
			}
			s.advance(time.Second)
			s.renewLease("a")
			if got := len(s.step().Stops); got != c.wantStops {
				t.Errorf("stops: got %d, want %d", got, c.wantStops)
			}
		})
	}
}

// sender simulates the queue of orders to one endpoint: some are on their way at the same time, and each
// takes a while to be answered.
type sender struct {
	queue      []fleet.Start
	inFlight   []sentStart
	reportedAt time.Time
}

type sentStart struct {
	start      fleet.Start
	answeredAt time.Time
}

// gangWorld simulates endpoints to which starts are sent one after the other, and gangs whose members wait
// for each other there.
type gangWorld struct {
	*simulation
	senders map[fleet.EndpointID]*sender
	// answerTime is how long an endpoint takes to answer a start.
	answerTime time.Duration
	// arrivals holds when the members of each attempt have begun, and alone counts those that ended alone.
	arrivals map[gangRun][]time.Time
	alone    int
}

// gangRun is an attempt to start the gang of a job.
type gangRun struct {
	job job.ID
	run int64
}

// begun returns how many members the last attempt to start a job's gang has.
func (w *gangWorld) begun(id job.ID) int {
	last := gangRun{job: id}
	for attempt := range w.arrivals {
		if attempt.job == id && attempt.run > last.run {
			last = attempt
		}
	}
	return len(w.arrivals[last])
}

const gangAssembly = 3 * time.Second

func newGangWorld(t *testing.T, endpoints int, answerTime time.Duration) *gangWorld {
	t.Helper()
	s := newSimulation(t, simulationConfig{unchecked: true})
	s.leader = fleet.New(fleet.Config{Token: 1, Now: s.now, Bounds: fleet.Bounds{
		MaxLease: 10 * time.Second, Stop: 200 * time.Millisecond, GangAssembly: gangAssembly,
	}})
	s.leader.SetPolicy(policy.New(defaultPolicy()))
	s.leader.Load(nil, s.now, s.now)
	w := &gangWorld{simulation: s, senders: map[fleet.EndpointID]*sender{}, answerTime: answerTime, arrivals: map[gangRun][]time.Time{}}
	for n := range endpoints {
		id := fleet.EndpointID(fmt.Sprintf("i-%02d", n))
		s.addEndpoint(id)
		w.senders[id] = &sender{}
	}
	return w
}

// run plays until a time has passed.
func (w *gangWorld) run(d time.Duration) {
	const tick, reportInterval = 5 * time.Millisecond, 500 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); {
		for _, start := range w.step().Starts {
			w.senders[start.Endpoint].queue = append(w.senders[start.Endpoint].queue, start)
		}
		for _, stop := range w.orders.Stops {
			w.stop(stop)
		}
		for id, s := range w.senders {
			w.send(s)
			if w.now.Sub(s.reportedAt) >= reportInterval {
				s.reportedAt = w.now
				w.report(id, w.now)
			}
		}
		w.advance(tick)
	}
}

// stop ends a run, or prevents it if its start is on its way.
func (w *gangWorld) stop(stop fleet.Stop) {
	s := w.senders[stop.Endpoint]
	s.inFlight = slices.DeleteFunc(s.inFlight, func(sent sentStart) bool { return sent.start.Task == stop.Task && sent.start.Run == stop.Run })
	w.leader.HandleStopReply(stop, fleet.Reply{Outcome: fleet.OrderAccepted}, w.now)
	w.endRun(fleet.Start{Endpoint: stop.Endpoint, Task: stop.Task, Run: stop.Run}, fleet.CompletionStopped)
}

// send answers the starts that are due, and sends as many others as may be on their way.
func (w *gangWorld) send(s *sender) {
	kept := s.inFlight[:0]
	for _, sent := range s.inFlight {
		if w.now.Before(sent.answeredAt) {
			kept = append(kept, sent)
			continue
		}
		start := sent.start
		w.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderAccepted}, w.now)
		w.running[start.Endpoint] = append(w.running[start.Endpoint], fleet.RunningTask{Task: start.Task, Run: start.Run, SpeedPercent: 100})
		w.arrive(start)
	}
	s.inFlight = kept
	for len(s.queue) > 0 && len(s.inFlight) < fleet.GangStartsPerEndpoint {
		start := s.queue[0]
		s.queue = s.queue[1:]
		if w.leader.ConfirmStart(start, w.now) {
			s.inFlight = append(s.inFlight, sentStart{start: start, answeredAt: w.now.Add(w.answerTime)})
		}
	}
}

// arrive notes that a run has begun: it ends alone if those that came before have waited for too long.
func (w *gangWorld) arrive(start fleet.Start) {
	attempt := gangRun{start.Task.Job, start.Run}
	arrived := append(w.arrivals[attempt], w.now)
	w.arrivals[attempt] = arrived
	if w.now.Sub(arrived[0]) > gangAssembly {
		w.alone++
	}
}

// Guards against gangs that are never complete for their width: all members have to be there soon after
// the first, on however few endpoints they fit and whatever else is to be sent.
func TestGangOfAnyWidthIsComplete(t *testing.T) {
	tests := map[string]struct {
		members, endpoints int
		answerTime         time.Duration
		// singles is the number of tasks that are to be started before.
		singles int
	}{
		"one endpoint":      {members: 300, endpoints: 1, answerTime: 5 * time.Millisecond},
		"three endpoints":   {members: 900, endpoints: 3, answerTime: 5 * time.Millisecond},
		"fifty endpoints":   {members: 15_000, endpoints: 50, answerTime: 5 * time.Millisecond},
		"answers take long": {members: 300, endpoints: 4, answerTime: 200 * time.Millisecond},
		// The first attempt shows how long answers take, and is given up before a member has waited too long.
		"first attempt is too slow":      {members: 900, endpoints: 10, answerTime: 400 * time.Millisecond},
		"behind other work":              {members: 200, endpoints: 3, singles: 600, answerTime: 20 * time.Millisecond},
		"behind work, answers take long": {members: 200, endpoints: 6, singles: 600, answerTime: 200 * time.Millisecond},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			w := newGangWorld(t, c.endpoints, c.answerTime)
			if c.singles > 0 {
				step := gangOf(c.singles)
				step.Gang = false
				w.submit(submission(2, step))
			}
			w.submit(submission(1, gangOf(c.members)))
			w.run(20 * time.Second)
			if got := w.begun(jobID(1)); got != c.members || w.alone > 0 {
				t.Errorf("members of the gang that have begun: got %d, %d of them too late, want %d and none", got, w.alone, c.members)
			}
		})
	}
}

// Guards against a gang that is begun although its starts cannot be sent in time: members that are there
// would end alone.
func TestGangWaitsUntilItCanBeSent(t *testing.T) {
	const members = 300
	w := newGangWorld(t, 1, 2*time.Second)
	step := gangOf(1)
	step.Gang = false
	for n := range 12 {
		if n == 6 {
			w.submit(submission(1, gangOf(members)))
		}
		w.submit(submission(2+n, step))
		w.run(time.Second)
	}
	if got := w.begun(jobID(1)); got != 0 {
		t.Errorf("members that have begun while answers take two seconds: got %d, want none", got)
	}
	w.answerTime = 5 * time.Millisecond
	w.run(20 * time.Second)
	if got := w.begun(jobID(1)); got != members || w.alone > 0 {
		t.Errorf("members that have begun once answers are fast: got %d, %d of them too late, want %d and none", got, w.alone, members)
	}
}
