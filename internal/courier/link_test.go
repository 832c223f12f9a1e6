package courier

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/courier/courierpb"
	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/record"
)

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
