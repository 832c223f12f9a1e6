package courier

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/courier/courierpb"
	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/record"
)

// orderTimeout is how long the tests' senders wait for a reply.
const orderTimeout = 300 * time.Millisecond

// pausedCourier records the orders that it is sent, and answers no call before resumed
// is closed.
type pausedCourier struct {
	resumed chan struct{}

	mu   sync.Mutex
	sent []uint64
}

// Deliver implements courierpb.Courier.
func (p *pausedCourier) Deliver(ctx context.Context, request *courierpb.DeliverRequest) (*courierpb.DeliverReply, error) {
	p.mu.Lock()
	for _, order := range request.Orders {
		p.sent = append(p.sent, order.Number)
	}
	p.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-p.resumed:
		return &courierpb.DeliverReply{}, nil
	}
}

// deliverBehind delivers an order to a paused courier behind others, in a call each, and
// resumes the courier when the order's sender has given it up.
func deliverBehind(peer *pausedCourier, others int, timeout time.Duration) error {
	ctx, cancel := context.WithCancel(context.Background())
	l := newLink(record.Member{Name: "courier"}, peer, discardJournal{})
	ended := make(chan struct{}, others+1)
	go func() {
		l.run(ctx)
		ended <- struct{}{}
	}()
	for range others {
		go func() {
			_, _ = l.deliver(ctx, &pendingOrder{order: &courierpb.Order{}}, time.Minute)
			ended <- struct{}{}
		}()
		time.Sleep(2 * sendDelay)
	}
	_, err := l.deliver(ctx, &pendingOrder{order: &courierpb.Order{}}, timeout)
	close(peer.resumed)
	time.Sleep(2 * sendDelay)
	cancel()
	for range others + 1 {
		<-ended
	}
	return err
}

// Guards against two runs of a task at once: an order that waits for a courier is sent
// after its sender has given it up, and its task has been started elsewhere.
func TestAbandonedOrderIsNotSent(t *testing.T) {
	tests := map[string]struct {
		// busy is the number of calls that the courier has not answered.
		busy     int
		timeout  time.Duration
		wantErr  error
		wantSent int
	}{
		"courier free":                 {timeout: orderTimeout, wantErr: errNoReply, wantSent: 1},
		"all calls in use":             {busy: maxCalls, timeout: orderTimeout, wantErr: errWithdrawn, wantSent: maxCalls},
		"given up before it was taken": {timeout: sendDelay / 2, wantErr: errWithdrawn},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peer := &pausedCourier{resumed: make(chan struct{})}
				err := deliverBehind(peer, test.busy, test.timeout)
				if !errors.Is(err, test.wantErr) {
					t.Errorf("error: got %v, want %v", err, test.wantErr)
				}
				if got := len(peer.sent); got != test.wantSent {
					t.Errorf("orders sent: got %d, want %d", got, test.wantSent)
				}
			})
		})
	}
}

// Guards against two runs of a task at once: the leader's process is paused while an
// order waits for a courier, and sends it when it resumes.
func TestOrderIsNotSentAfterItsTimeout(t *testing.T) {
	tests := map[string]struct {
		pause    time.Duration
		wantSent int
	}{
		"no pause":                    {wantSent: 1},
		"paused for the order's time": {pause: orderTimeout},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLink(record.Member{Name: "courier"}, &pausedCourier{}, discardJournal{})
				now := time.Now()
				l.queue = []*pendingOrder{{order: &courierpb.Order{Number: 1}, expires: now.Add(orderTimeout)}}
				time.Sleep(test.pause)
				batch, _ := l.take()
				if got := len(batch); got != test.wantSent {
					t.Errorf("orders sent: got %d, want %d", got, test.wantSent)
				}
			})
		})
	}
}

// Guards against a reply to one order that is taken for that to another: a courier's
// record changes and its link is replaced, while replies to the former link's orders
// are still to be collected.
func TestReplyToFormerLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		server := NewServer(ServerConfig{Endpoints: &slowEndpoints{}, Journal: discardJournal{}})
		var cores atomic.Int64
		cores.Store(8)
		client := NewClient(ClientConfig{
			Self: record.Member{Name: "leader", CPUCores: 0.8, LinkMbps: 200}, Timeout: time.Second,
			Dial: func(netip.AddrPort) courierpb.Courier { return server },
			Members: func() []Member {
				return []Member{{Member: record.Member{Name: "courier", CPUCores: float64(cores.Load()), LinkMbps: 200}}}
			},
			EndpointCount: func() int { return 1000 },
			Journal:       discardJournal{},
		})
		ended := make(chan struct{}, 2)
		for _, run := range []func(context.Context){client.Run, server.Run} {
			go func() {
				run(ctx)
				ended <- struct{}{}
			}()
		}
		to := fleet.EndpointAddress{ID: "i-1", Address: netip.MustParseAddrPort("10.0.0.1:8000")}
		first := make(chan fleet.Reply, 1)
		go func() { first <- client.Start(ctx, to, 1, fleet.Start{Endpoint: to.ID, Run: 1}) }()
		time.Sleep(2 * chooseInterval)
		cores.Store(7)
		second := client.Start(ctx, to, 1, fleet.Start{Endpoint: to.ID, Run: 2})
		if got, want := second.Clock, 2*time.Millisecond; got != want {
			t.Errorf("reply to the second start: got that to run %d, want run %d", got.Milliseconds(), want.Milliseconds())
		}
		if got, want := (<-first).Clock, time.Millisecond; got != want {
			t.Errorf("reply to the first start: got that to run %d, want run %d", got.Milliseconds(), want.Milliseconds())
		}
		cancel()
		<-ended
		<-ended
	})
}

// slowEndpoints accepts starts after a time; the clock of its reply tells the run.
type slowEndpoints struct {
	Endpoints
}

// Start implements Endpoints.
func (*slowEndpoints) Start(_ context.Context, _ fleet.EndpointAddress, _ uint64, start fleet.Start) fleet.Reply {
	time.Sleep(chooseInterval + 600*time.Millisecond)
	return fleet.Reply{Outcome: fleet.OrderAccepted, Clock: time.Duration(start.Run) * time.Millisecond}
}

// Guards against orders that go directly although the fleet is too large for that: they
// are sent while couriers are chosen for the first time.
func TestOrderWaitsForChoice(t *testing.T) {
	client := NewClient(ClientConfig{
		Self: record.Member{Name: "leader", CPUCores: 0.8, LinkMbps: 200}, Timeout: time.Second,
		Dial: func(netip.AddrPort) courierpb.Courier { return nil },
		Members: func() []Member {
			time.Sleep(time.Millisecond)
			return []Member{{Member: record.Member{Name: "courier", CPUCores: 8, LinkMbps: 200}}}
		},
		EndpointCount: func() int { return 1000 },
		Journal:       discardJournal{},
	})
	links := make(chan *link, 2)
	for range 2 {
		go func() { links <- client.linkFor("i-1") }()
	}
	for range 2 {
		if got := <-links; got == nil {
			t.Error("way of the order: got direct, want by courier")
		}
	}
}
