package control

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// recordingEndpoints accepts all starts and records them.
type recordingEndpoints struct {
	Endpoints
	started []fleet.Start
}

func (e *recordingEndpoints) Start(_ context.Context, _ fleet.EndpointAddress, _ uint64, start fleet.Start) fleet.Reply {
	e.started = append(e.started, start)
	return fleet.Reply{Outcome: fleet.OrderAccepted}
}

// Guards against two runs of a task at once: a start waits in the queue behind calls to a
// silent endpoint while the endpoint restarts or the leader is paused, and is sent after
// its task has been given to another endpoint.
func TestQueuedStartIsWithdrawn(t *testing.T) {
	const confirmationTimeout = 1500 * time.Millisecond
	report := func(clock time.Duration, startedAt int64) fleet.Report {
		return fleet.Report{Clock: clock, StartedAt: time.UnixMilli(startedAt)}
	}
	tests := map[string]struct {
		event func(leader *fleet.Leader, queuedAt time.Time)
		// queuedFor is how long ago the start was queued and the leadership last confirmed.
		queuedFor time.Duration
		want      int
	}{
		"nothing happened": {event: func(*fleet.Leader, time.Time) {}, want: 1},
		"endpoint restarted": {event: func(leader *fleet.Leader, queuedAt time.Time) {
			leader.HandleReport("i-1", fleet.LeaseRenewal{}, queuedAt, report(time.Millisecond, 9000), queuedAt)
		}},
		"endpoint may have restarted": {event: func(leader *fleet.Leader, queuedAt time.Time) {
			leader.UpdateEndpoint(endpointRow(9000), queuedAt)
		}},
		"another endpoint answers at the address": {event: func(leader *fleet.Leader, queuedAt time.Time) {
			leader.RenewalFailed("i-1", fleet.Reply{Outcome: fleet.OrderOtherIncarnation, SentAt: queuedAt}, queuedAt)
		}},
		"leadership not confirmed": {event: func(*fleet.Leader, time.Time) {}, queuedFor: confirmationTimeout},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			endpoints := &recordingEndpoints{}
			control := New(Config{Store: table.NewMemory(), Endpoints: endpoints, Journal: discardJournal{}})
			current := newTerm(context.Background(), control, record.Claim{Token: 1}, 1)
			queuedAt := time.Now().Add(-c.queuedFor)
			leader := fleet.New(fleet.Config{Token: 1, Now: queuedAt, Journal: discardJournal{}})
			current.leader = leader
			leader.SetPolicy(policy.New(policy.Config{
				Queues: []policy.Queue{{Name: "q", Pool: "p", MaxAttempts: 2}}, Pools: []policy.Pool{{Name: "p", Guarded: true}},
			}))
			leader.Load(nil, queuedAt, queuedAt)
			leader.UpdateEndpoint(endpointRow(1000), queuedAt)
			leader.HandleReport("i-1", fleet.LeaseRenewal{}, queuedAt, report(time.Hour, 1000), queuedAt)
			leader.ConfirmLeadership(queuedAt)
			leader.AddJob(&job.Submission{ID: "5c0e7a21d94b36f8", Queue: "q", Pool: "p", Steps: []job.Step{
				{Count: 1, Resources: policy.Resources{CPU: 500, Memory: 256}},
			}}, queuedAt, queuedAt)
			orders := leader.Step(queuedAt, queuedAt)
			if len(orders.Starts) != 1 {
				t.Fatalf("starts: got %d, want 1", len(orders.Starts))
			}
			c.event(leader, queuedAt)
			session := &endpointSession{term: current, id: "i-1", wake: make(chan struct{}, 1)}
			session.sendStart(context.Background(), orders.Starts[0], time.Now())
			if got := len(endpoints.started); got != c.want {
				t.Errorf("starts sent: got %d, want %d", got, c.want)
			}
		})
	}
}

// droppingEndpoints drops an endpoint's session while its renewal is on its way.
type droppingEndpoints struct {
	Endpoints
	drop func()
}

func (e *droppingEndpoints) RenewLease(context.Context, fleet.EndpointAddress, uint64, fleet.LeaseRenewal) (fleet.Report, fleet.Reply) {
	e.drop()
	return fleet.Report{Clock: time.Hour, StartedAt: time.UnixMilli(1000)}, fleet.Reply{Outcome: fleet.OrderAccepted}
}

// Guards against reports out of order, which would be taken for restarts: an endpoint is
// dropped and listed again while the renewal of its former session is on its way.
func TestReportOfDroppedSessionIsIgnored(t *testing.T) {
	tests := map[string]struct {
		isDropped   bool
		wantReached bool
	}{
		"session in use":  {wantReached: true},
		"session dropped": {isDropped: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			endpoints := &droppingEndpoints{}
			control := New(Config{Store: table.NewMemory(), Endpoints: endpoints, Journal: discardJournal{}})
			current := newTerm(context.Background(), control, record.Claim{Token: 1}, 1)
			now := time.Now()
			current.leader.Load(nil, now, now)
			current.leader.UpdateEndpoint(endpointRow(1000), now)
			session := &endpointSession{term: current, id: "i-1", wake: make(chan struct{}, 1)}
			current.sessions["i-1"] = session
			endpoints.drop = func() {
				if c.isDropped {
					delete(current.sessions, "i-1")
				}
			}
			session.renewLease(context.Background(), fleet.LeaseRenewal{})
			_, isDue := current.leader.NextRenewal("i-1", time.Now())
			if got := !isDue; got != c.wantReached {
				t.Errorf("endpoint reached: got %t, want %t", got, c.wantReached)
			}
		})
	}
}

// movingEndpoints refuses renewals, as another endpoint does that has the address.
type movingEndpoints struct {
	Endpoints
	move func()
}

func (e *movingEndpoints) RenewLease(context.Context, fleet.EndpointAddress, uint64, fleet.LeaseRenewal) (fleet.Report, fleet.Reply) {
	e.move()
	return fleet.Report{}, fleet.Reply{Outcome: fleet.OrderOtherIncarnation}
}

// Guards against an endpoint that is dropped because its former address refuses a renewal,
// while the list has shown a new address.
func TestRefusalFromFormerAddress(t *testing.T) {
	tests := map[string]struct {
		address       string
		wantEndpoints int
	}{
		"at its address": {address: "127.0.0.1:1"},
		"moved":          {address: "127.0.0.1:2", wantEndpoints: 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			endpoints := &movingEndpoints{}
			control := New(Config{Store: table.NewMemory(), Endpoints: endpoints, Journal: discardJournal{}})
			current := newTerm(context.Background(), control, record.Claim{Token: 1}, 1)
			now := time.Now()
			current.leader.Load(nil, now, now)
			row := endpointRow(1000)
			row.Address = netip.MustParseAddrPort("127.0.0.1:1")
			current.leader.UpdateEndpoint(row, now)
			current.leader.HandleReport("i-1", fleet.LeaseRenewal{}, now, fleet.Report{Clock: time.Hour, StartedAt: time.UnixMilli(1000)}, now)
			session := &endpointSession{term: current, id: "i-1", wake: make(chan struct{}, 1)}
			current.sessions["i-1"] = session
			endpoints.move = func() {
				row.Address = netip.MustParseAddrPort(c.address)
				current.leader.UpdateEndpoint(row, now)
			}
			session.renewLease(context.Background(), fleet.LeaseRenewal{})
			if got := current.leader.EndpointCount(); got != c.wantEndpoints {
				t.Errorf("endpoints: got %d, want %d", got, c.wantEndpoints)
			}
		})
	}
}

// endpointRow returns the list's row of an endpoint that started at the given Unix time in
// milliseconds.
func endpointRow(startedAt int64) fleet.EndpointRow {
	return fleet.EndpointRow{
		ID: "i-1", Pool: "p", Capacity: policy.Resources{CPU: 16000, Memory: 65536}, Labels: []string{"a", "r1-1"},
		StartedAt: time.UnixMilli(startedAt),
	}
}
