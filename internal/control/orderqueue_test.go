package control

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/internal/policy"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

func TestOrderQueue(t *testing.T) {
	task := func(index int) job.Task { return job.Task{Job: "5c0e7a21d94b36f8", Index: index} }
	start := func(index int) order { return order{start: &fleet.Start{Task: task(index), Run: 1}} }
	stop := func(index int) order { return order{stop: &fleet.Stop{Task: task(index), Run: 1}} }
	throttle := func(index, percent int) order {
		return order{throttle: &fleet.Throttle{Task: task(index), Run: 1, Percent: percent}}
	}
	name := func(o order) string {
		switch {
		case o.start != nil:
			return "start " + string(rune('0'+o.start.Task.Index))
		case o.stop != nil:
			return "stop " + string(rune('0'+o.stop.Task.Index))
		default:
			return "throttle " + string(rune('0'+o.throttle.Task.Index)) + " to " + string(rune('0'+o.throttle.Percent))
		}
	}
	tests := map[string]struct {
		pushed []order
		want   []string
	}{
		"empty":                        {},
		"starts in order":              {pushed: []order{start(2), start(1)}, want: []string{"start 2", "start 1"}},
		"changes before starts":        {pushed: []order{start(1), stop(2), throttle(3, 5)}, want: []string{"stop 2", "throttle 3 to 5", "start 1"}},
		"a repeated stop":              {pushed: []order{stop(1), stop(2), stop(1)}, want: []string{"stop 1", "stop 2"}},
		"the newest throttle":          {pushed: []order{throttle(1, 5), throttle(2, 5), throttle(1, 7)}, want: []string{"throttle 1 to 7", "throttle 2 to 5"}},
		"stop and throttle of one run": {pushed: []order{throttle(1, 5), stop(1)}, want: []string{"throttle 1 to 5", "stop 1"}},
	}
	for title, c := range tests {
		t.Run(title, func(t *testing.T) {
			var q orderQueue
			for _, next := range c.pushed {
				q.push(next)
			}
			var got []string
			for next, ok := q.pop(); ok; next, ok = q.pop() {
				got = append(got, name(next))
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("orders: got %v, want %v", got, c.want)
			}
		})
	}
}

// heldEndpoints accepts all orders once it is released.
type heldEndpoints struct {
	Endpoints
	released chan struct{}

	mu                  sync.Mutex
	starts, stops, most int
	inFlight            int
}

func (e *heldEndpoints) accept(count *int) fleet.Reply {
	e.mu.Lock()
	e.inFlight++
	e.most = max(e.most, e.inFlight)
	e.mu.Unlock()
	<-e.released
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
	*count++
	return fleet.Reply{Outcome: fleet.OrderAccepted}
}

func (e *heldEndpoints) Start(context.Context, fleet.EndpointAddress, uint64, fleet.Start) fleet.Reply {
	return e.accept(&e.starts)
}

func (e *heldEndpoints) Stop(context.Context, fleet.EndpointAddress, uint64, fleet.Stop) fleet.Reply {
	return e.accept(&e.stops)
}

// Guards against orders that are dropped, as the queue of their endpoint is full: starts of a wide gang,
// whose other members then ended alone, and stops of cancelled jobs, which were repeated 300 ms later. The
// endpoint got no other work for 700 ms, either.
func TestNoOrderIsDropped(t *testing.T) {
	const tasks = 1000
	tests := map[string]struct {
		isGang bool
		// starts is how many starts the leader decides in one step.
		starts int
		// mostSenders is how many orders may be on their way at the same time.
		mostSenders int
	}{
		"a gang":       {isGang: true, starts: tasks, mostSenders: fleet.GangStartsPerEndpoint},
		"single tasks": {starts: 500, mostSenders: sendersPerEndpoint},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			endpoints := &heldEndpoints{released: make(chan struct{})}
			now := time.Now()
			current := termWithJob(ctx, endpoints, &job.Submission{ID: "5c0e7a21d94b36f8", Queue: "q", Pool: "p", Steps: []job.Step{
				{Count: tasks, Gang: c.isGang, Resources: policy.Resources{CPU: 1, Memory: 1}},
			}}, now)
			session := &endpointSession{term: current, id: "i-1", ctx: ctx, wake: make(chan struct{}, 1), cancel: func() {}}
			orders := current.leader.Step(now, now)
			if got := len(orders.Starts); got != c.starts {
				t.Fatalf("starts: got %d, want %d", got, c.starts)
			}
			current.locked(partOther, func() { current.queueAll(session, orders.Starts) })
			close(endpoints.released)
			session.waitUntilIdle()
			if endpoints.starts != c.starts || endpoints.stops != c.starts {
				t.Errorf("orders sent: got %d starts and %d stops, want %d of each", endpoints.starts, endpoints.stops, c.starts)
			}
			if endpoints.most > c.mostSenders {
				t.Errorf("orders on their way at the same time: got %d, want at most %d", endpoints.most, c.mostSenders)
			}
			if session.extraSenders != 0 || current.extraSenders != 0 {
				t.Errorf("additional senders at the end: got %d of the endpoint and %d in all, want none", session.extraSenders, current.extraSenders)
			}
		})
	}
}

// queueAll queues starts, and stops of as many other runs, which need not be known.
func (t *term) queueAll(session *endpointSession, starts []fleet.Start) {
	for _, start := range starts {
		t.queueOrder(session, order{start: &start})
	}
	for _, start := range starts {
		t.queueOrder(session, order{stop: &fleet.Stop{Endpoint: start.Endpoint, Task: start.Task, Run: start.Run + 1}})
	}
}

// waitUntilIdle waits until no order is queued or on its way.
func (s *endpointSession) waitUntilIdle() {
	for isIdle := false; !isIdle; time.Sleep(time.Millisecond) {
		s.term.locked(partOther, func() { isIdle = s.senders == 0 })
	}
}

// termWithJob returns a term whose leader has reached one endpoint, and has one job.
func termWithJob(ctx context.Context, endpoints Endpoints, submission *job.Submission, now time.Time) *term {
	control := New(Config{Store: table.NewMemory(), Endpoints: endpoints, Journal: discardJournal{}, Lost: func(uint64, string) {}})
	current := newTerm(ctx, control, record.Claim{Token: 1}, 1)
	current.group = loops.New(ctx)
	leader := fleet.New(fleet.Config{Token: 1, Now: now, Journal: discardJournal{}})
	current.leader = leader
	leader.SetPolicy(policy.New(policy.Config{
		Queues: []policy.Queue{{Name: "q", Pool: "p", MaxAttempts: 2}}, Pools: []policy.Pool{{Name: "p", Guarded: true}},
	}))
	leader.Load(nil, now, now)
	leader.UpdateEndpoint(endpointRow(1000), now)
	leader.HandleReport("i-1", fleet.LeaseRenewal{}, now, fleet.Report{Clock: time.Hour, StartedAt: time.UnixMilli(1000)}, now)
	leader.ConfirmLeadership(now.Add(time.Hour))
	leader.AddJob(submission, now, now)
	return current
}
