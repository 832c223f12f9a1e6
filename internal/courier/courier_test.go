package courier_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/courier"
	"github.com/lovagedyke/lovagedyke/internal/courier/courierpb"
	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/record"
)

const (
	token = 7
	// manyEndpoints is more than the test's leader serves itself.
	manyEndpoints = 1000
	// waitTimeout bounds waiting for an expected condition.
	waitTimeout = 30 * time.Second
)

var (
	target = fleet.EndpointAddress{ID: "i-1", Address: netip.MustParseAddrPort("10.0.0.1:8000")}
	task   = job.Task{Job: "5c0e7a21d94b36f8", Occurrence: 1, Step: 2, Index: 17}
	start  = fleet.Start{
		Endpoint: target.ID, Task: task, Run: 3, Spec: "the job's text", Lease: 1234 * time.Millisecond, Checkpoint: "c", Ticket: "t",
	}
	stop     = fleet.Stop{Endpoint: target.ID, Task: task, Run: 3}
	throttle = fleet.Throttle{Endpoint: target.ID, Task: task, Run: 3, Percent: 40}
	renewal  = fleet.LeaseRenewal{Lease: 5 * time.Second, AckedUpTo: 9, Wait: 20 * time.Millisecond}
	report   = fleet.Report{
		Clock: 77 * time.Millisecond, StartedAt: time.UnixMilli(1700000000123),
		Running: []fleet.RunningTask{{
			Task: task, Run: 3, Checkpoint: "c", SpeedPercent: 40, TailLatency: 1500 * time.Microsecond, CPU: 900,
		}},
		Completions: []fleet.Completion{{Number: 9, Task: task, Run: 2, Kind: fleet.CompletionFailed, Checkpoint: "d"}},
	}
)

type discardJournal struct{}

func (discardJournal) Info(string, ...any) {}

// fakeEndpoints records the orders that reach endpoints from one process.
type fakeEndpoints struct {
	outcome fleet.OrderOutcome
	mu      sync.Mutex
	got     []any
}

func (f *fakeEndpoints) record(order any) fleet.Reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.got = append(f.got, order)
	return fleet.Reply{Outcome: f.outcome, Clock: 88 * time.Millisecond}
}

func (f *fakeEndpoints) Start(_ context.Context, _ fleet.EndpointAddress, _ uint64, order fleet.Start) fleet.Reply {
	return f.record(order)
}

func (f *fakeEndpoints) Stop(_ context.Context, _ fleet.EndpointAddress, _ uint64, order fleet.Stop) fleet.Reply {
	return f.record(order)
}

func (f *fakeEndpoints) Throttle(_ context.Context, _ fleet.EndpointAddress, _ uint64, order fleet.Throttle) fleet.Reply {
	return f.record(order)
}

func (f *fakeEndpoints) RenewLease(_ context.Context, to fleet.EndpointAddress, sent uint64, order fleet.LeaseRenewal) (fleet.Report, fleet.Reply) {
	if to != target || sent != token {
		return fleet.Report{}, fleet.Reply{Outcome: fleet.OrderMalformed}
	}
	return report, f.record(order)
}

func (f *fakeEndpoints) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.got)
}

// faultyCourier is a courier whose calls can be made to fail.
type faultyCourier struct {
	courierpb.Courier
	mu       sync.Mutex
	isDown   bool
	isSilent bool
	calls    int
}

func (f *faultyCourier) set(isDown, isSilent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isDown, f.isSilent = isDown, isSilent
}

func (f *faultyCourier) Deliver(ctx context.Context, request *courierpb.DeliverRequest) (*courierpb.DeliverReply, error) {
	f.mu.Lock()
	f.calls++
	isDown, isSilent := f.isDown, f.isSilent
	f.mu.Unlock()
	switch {
	case isDown:
		return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	case isSilent:
		<-ctx.Done()
		return nil, ctx.Err()
	default:
		return f.Courier.Deliver(ctx, request)
	}
}

// system is a leader with one courier.
type system struct {
	client          *courier.Client
	server          *courier.Server
	link            *faultyCourier
	direct, carried *fakeEndpoints

	mu        sync.Mutex
	endpoints int
	heardAt   time.Time
}

func newSystem(t *testing.T) *system {
	t.Helper()
	s := &system{
		direct: &fakeEndpoints{outcome: fleet.OrderAccepted}, carried: &fakeEndpoints{outcome: fleet.OrderAccepted}, endpoints: manyEndpoints,
	}
	s.server = courier.NewServer(courier.ServerConfig{Endpoints: s.carried, Journal: discardJournal{}})
	s.link = &faultyCourier{Courier: s.server}
	s.client = courier.NewClient(courier.ClientConfig{
		Self: record.Member{Name: "leader", CPUCores: 0.8, LinkMbps: 200}, Direct: s.direct, Timeout: 300 * time.Millisecond,
		Dial: func(netip.AddrPort) courierpb.Courier { return s.link },
		Members: func() []courier.Member {
			s.mu.Lock()
			defer s.mu.Unlock()
			return []courier.Member{{Member: record.Member{Name: "courier", CPUCores: 8, LinkMbps: 200}, HeardAt: s.heardAt}}
		},
		EndpointCount: func() int {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.endpoints
		},
		Journal: discardJournal{},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{}, 2)
	for _, run := range []func(context.Context){s.client.Run, s.server.Run} {
		go func() {
			run(ctx)
			ended <- struct{}{}
		}()
	}
	t.Cleanup(func() {
		cancel()
		<-ended
		<-ended
	})
	return s
}

// hello lets the courier say hello to the leader now.
func (s *system) hello() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heardAt = time.Now()
}

func TestOrdersByCourier(t *testing.T) {
	tests := map[string]struct {
		endpoints                int
		wantDirect, wantByOthers []any
	}{
		"a large fleet's orders go by courier":      {endpoints: manyEndpoints, wantByOthers: []any{start, stop, throttle, renewal}},
		"a small fleet's orders go from the leader": {endpoints: 100, wantDirect: []any{start, stop, throttle, renewal}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			s.endpoints = test.endpoints
			ctx := context.Background()
			want := fleet.Reply{Outcome: fleet.OrderAccepted, Clock: 88 * time.Millisecond}
			gotReport, renewed := fleet.Report{}, fleet.Reply{}
			replies := map[string]fleet.Reply{
				"start":    s.client.Start(ctx, target, token, start),
				"stop":     s.client.Stop(ctx, target, token, stop),
				"throttle": s.client.Throttle(ctx, target, token, throttle),
			}
			gotReport, renewed = s.client.RenewLease(ctx, target, token, renewal)
			replies["renewal"] = renewed
			for kind, got := range replies {
				if got != want {
					t.Errorf("reply to the %s: got %+v, want %+v", kind, got, want)
				}
			}
			if !reflect.DeepEqual(gotReport, report) {
				t.Errorf("report: got %+v, want %+v", gotReport, report)
			}
			if !reflect.DeepEqual(s.direct.got, test.wantDirect) {
				t.Errorf("orders sent by the leader: got %+v, want %+v", s.direct.got, test.wantDirect)
			}
			if !reflect.DeepEqual(s.carried.got, test.wantByOthers) {
				t.Errorf("orders sent by the courier: got %+v, want %+v", s.carried.got, test.wantByOthers)
			}
		})
	}
}

// TestManyOrdersInFewMessages guards the point of couriers: a message for each order
// would cost the leader as much as calling the endpoints.
func TestManyOrdersInFewMessages(t *testing.T) {
	s := newSystem(t)
	const orders = 400
	var wait sync.WaitGroup
	for n := range orders {
		wait.Add(1)
		go func() {
			defer wait.Done()
			next := start
			next.Task.Index = n
			to := fleet.EndpointAddress{ID: fleet.EndpointID(fmt.Sprintf("i-%d", n)), Address: target.Address}
			if got := s.client.Start(context.Background(), to, token, next); got.Outcome != fleet.OrderAccepted {
				t.Errorf("start %d: got %s, want %s", n, got.Outcome, fleet.OrderAccepted)
			}
		}()
	}
	wait.Wait()
	if got := s.carried.count(); got != orders {
		t.Errorf("orders sent by the courier: got %d, want %d", got, orders)
	}
	s.link.mu.Lock()
	defer s.link.mu.Unlock()
	if s.link.calls > orders/10 {
		t.Errorf("messages for %d orders: got %d, want at most %d", orders, s.link.calls, orders/10)
	}
}

// TestCourierThatIsGone: orders that a courier did not take go from the leader at
// once; the courier is used again once it has said hello.
func TestCourierThatIsGone(t *testing.T) {
	tests := map[string]struct {
		fail, heal func(s *system)
	}{
		"connections are refused": {
			fail: func(s *system) { s.link.set(true, false) },
			heal: func(s *system) { s.link.set(false, false) },
		},
		"it is stopping": {fail: func(s *system) { s.server.Stop() }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			test.fail(s)
			if got := s.client.Start(context.Background(), target, token, start); got.Outcome != fleet.OrderAccepted {
				t.Errorf("start: got %s, want %s", got.Outcome, fleet.OrderAccepted)
			}
			if got, want := s.direct.count(), 1; got != want {
				t.Errorf("orders sent by the leader: got %d, want %d", got, want)
			}
			if got, want := s.carried.count(), 0; got != want {
				t.Errorf("orders sent by the courier: got %d, want %d", got, want)
			}
			if test.heal == nil {
				return
			}
			test.heal(s)
			deadline := time.Now().Add(waitTimeout)
			for s.carried.count() == 0 && time.Now().Before(deadline) {
				s.hello()
				s.client.Stop(context.Background(), target, token, stop)
				time.Sleep(50 * time.Millisecond)
			}
			if s.carried.count() == 0 {
				t.Errorf("courier that came back: got no order within %s", waitTimeout)
			}
		})
	}
}

// TestSilentCourier: what a paused courier may have sent counts as unknown, since it
// may still be executed; leases are renewed without it before they expire.
func TestSilentCourier(t *testing.T) {
	s := newSystem(t)
	s.link.set(false, true)
	replies := make(chan fleet.Reply, 1)
	go func() { replies <- s.client.Start(context.Background(), target, token, start) }()
	renewal := fleet.LeaseRenewal{Lease: 5 * time.Second, Wait: 600 * time.Millisecond}
	_, got := s.client.RenewLease(context.Background(), target, token, renewal)
	if got.Outcome != fleet.OrderAccepted {
		t.Errorf("renewal: got %s, want %s", got.Outcome, fleet.OrderAccepted)
	}
	if got, want := (<-replies).Outcome, fleet.OrderUnknown; got != want {
		t.Errorf("start: got %s, want %s", got, want)
	}
	if got := s.client.Stop(context.Background(), target, token, stop); got.Outcome != fleet.OrderAccepted {
		t.Errorf("the next order: got %s, want %s", got.Outcome, fleet.OrderAccepted)
	}
	if got, want := s.direct.count(), 2; got != want {
		t.Errorf("orders sent by the leader: got %d, want %d", got, want)
	}
}

// TestUnreachedEndpoint: a courier may be cut off from an endpoint that the leader
// reaches.
func TestUnreachedEndpoint(t *testing.T) {
	s := newSystem(t)
	s.carried.outcome = fleet.OrderUnknown
	if got := s.client.Start(context.Background(), target, token, start); got.Outcome != fleet.OrderUnknown {
		t.Errorf("start by courier: got %s, want %s", got.Outcome, fleet.OrderUnknown)
	}
	if got := s.client.Stop(context.Background(), target, token, stop); got.Outcome != fleet.OrderAccepted {
		t.Errorf("the next order: got %s, want %s", got.Outcome, fleet.OrderAccepted)
	}
	if got, want := s.direct.count(), 1; got != want {
		t.Errorf("orders sent by the leader: got %d, want %d", got, want)
	}
}

// Guards against an endpoint that gets no work for 700 ms since a courier did not take an order: that says
// nothing about the endpoint, which the leader tries itself next.
func TestCourierThatDoesNotSend(t *testing.T) {
	s := newSystem(t)
	s.carried.outcome = fleet.OrderNotSent
	if got := s.client.Start(context.Background(), target, token, start); got.Outcome != fleet.OrderNotTaken {
		t.Errorf("start by a courier that does not send it: got %s, want %s", got.Outcome, fleet.OrderNotTaken)
	}
	s.direct.outcome = fleet.OrderNotSent
	if got := s.client.Start(context.Background(), target, token, start); got.Outcome != fleet.OrderNotSent {
		t.Errorf("start of an endpoint that cannot be reached: got %s, want %s", got.Outcome, fleet.OrderNotSent)
	}
}
