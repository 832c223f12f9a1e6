package process

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/journal"
	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/internal/member"
	"github.com/lovagedyke/lovagedyke/internal/member/memberpb"
	"github.com/lovagedyke/lovagedyke/platform"
	"github.com/lovagedyke/lovagedyke/platform/standin"
)

// configurationFleet is a number of processes that follow the operators' rows.
type configurationFleet struct {
	network   *testNetwork
	store     *standin.Store
	processes []*nodeProcess
	services  []*member.Service
	stop      func()
}

const storeAddress = "10.0.0.1:80"

// memberAddress returns the address of the process with the given index.
func memberAddress(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(index)}), 80)
}

// startConfigurationFleet starts a process for each link, a little after each other, so
// that their waits for changes end at different moments.
func startConfigurationFleet(t *testing.T, links []float64) *configurationFleet {
	t.Helper()
	f := &configurationFleet{network: newTestNetwork(), store: standin.NewStore()}
	f.store.WritePolicy(1, 50)
	ctx, cancel := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	servers := []*http.Server{f.serve(&wait, f.network.listen(storeAddress, 4000), f.store)}
	for index, mbps := range links {
		address := memberAddress(index)
		listener := f.network.listen(address.String(), mbps)
		n := newNodeProcess(NodeConfig{
			Settings: platform.Settings{
				Name: fmt.Sprint("node-", index), Callers: address, Peers: address, LinkMbps: mbps, CPUCores: 1,
				Store: netip.MustParseAddrPort(storeAddress), RowBytes: 4 << 20,
			},
			Journal: journal.New(journal.Config{Writer: io.Discard}),
			Dial:    f.network.dialFrom(address.String()),
		})
		f.processes = append(f.processes, n)
		service := member.NewService(member.ServiceConfig{Node: n.member, Fleet: n.control, Policy: n.holder, OnPolicyHint: n.queueHint})
		f.services = append(f.services, service)
		servers = append(servers, f.serve(&wait, listener, memberpb.NewMemberServer(service)))
		for other := range links {
			if other != index {
				view := &memberpb.View{From: &memberpb.Address{Name: fmt.Sprint("node-", other), Address: memberAddress(other).String(), Link: links[other]}}
				if _, err := service.Hello(ctx, view); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	for _, n := range f.processes {
		for _, loop := range n.configurationLoops() {
			wait.Go(func() { loop(ctx) })
		}
		time.Sleep(operatorFeedTimeout / time.Duration(len(links)))
	}
	wait.Go(func() { f.exchangeViews(ctx) })
	f.stop = func() {
		cancel()
		for _, server := range servers {
			_ = server.Close()
		}
		f.network.close()
		wait.Wait()
		// The store's handlers notice after their waits that their callers are gone.
		time.Sleep(2 * operatorFeedTimeout)
	}
	return f
}

// exchangeViews gives all processes the view of the first one, as a leader does.
func (f *configurationFleet) exchangeViews(ctx context.Context) {
	for ctx.Err() == nil {
		loops.Sleep(ctx, 250*time.Millisecond)
		view, err := f.services[0].Hello(ctx, &memberpb.View{})
		for _, service := range f.services[1:] {
			if err == nil {
				_, err = service.Hello(ctx, view)
			}
		}
	}
}

// serve serves handler on a listener until the server is closed.
func (f *configurationFleet) serve(wait *sync.WaitGroup, listener *testListener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	wait.Go(func() { _ = server.Serve(listener) })
	return server
}

// wantInForce fails the test for each process with an older version than want.
func (f *configurationFleet) wantInForce(t *testing.T, want uint64) {
	t.Helper()
	for _, n := range f.processes {
		if got := n.holder.Version(); got < want {
			t.Errorf("version in force at %s, with a link of %g Mbit/s: got %d, want %d", n.settings.Name, n.settings.LinkMbps, got, want)
		}
	}
}

// Pattern: large-configuration-over-small-links. Guards against processes that never
// get a large configuration because each transfer of it is cut and begun again while
// others share the link. The platform wants a change in force 3 s after its
// acknowledgement, 4 s in the largest fleets.
func TestLargeConfigurationReachesSmallLinks(t *testing.T) {
	// Few processes have a wide link, as on the users' sites.
	fleetOf := func(narrow float64) []float64 {
		links := []float64{200, 200}
		for range 6 {
			links = append(links, narrow)
		}
		return links
	}
	tests := map[string]struct {
		links []float64
		// queues are those of each version, and gap the time between two of them.
		queues []int
		gap    time.Duration
		// storeCut is true if a process with a narrow link does not reach the store.
		storeCut bool
		bound    time.Duration
	}{
		"one change":                  {links: fleetOf(10), queues: []int{4250}, bound: 3 * time.Second},
		"a second change soon after":  {links: fleetOf(10), queues: []int{4250, 4251}, gap: 3700 * time.Millisecond, bound: 3 * time.Second},
		"changes in quick succession": {links: fleetOf(10), queues: []int{2850, 2851, 4250, 4251}, gap: 500 * time.Millisecond, bound: 3 * time.Second},
		"no wide link":                {links: []float64{10, 10, 10, 10, 10, 10}, queues: []int{4250}, bound: 3 * time.Second},
		"a process cut off the store": {links: fleetOf(10), queues: []int{4250}, storeCut: true, bound: 3 * time.Second},
		"narrow links":                {links: fleetOf(2), queues: []int{4250}, bound: 4 * time.Second},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startConfigurationFleet(t, c.links)
				defer f.stop()
				time.Sleep(3 * time.Second)
				f.wantInForce(t, 1)
				if c.storeCut {
					f.network.cutOff(memberAddress(len(c.links)-1).String(), storeAddress)
				}
				for index, queues := range c.queues {
					if index > 0 {
						time.Sleep(c.gap)
					}
					f.store.WritePolicy(index+2, queues)
				}
				time.Sleep(c.bound)
				f.wantInForce(t, uint64(len(c.queues)+1))
			})
		})
	}
}

// Pattern: large-configuration-over-small-links. Guards against a process that never
// asks for a newer configuration because its small calls to the store succeed, while its
// reads of the operators' rows fail and no announcement of a peer reaches it.
func TestProcessBehindAsksPeersWhileStoreIsReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startConfigurationFleet(t, []float64{10, 10, 10, 10})
		defer f.stop()
		time.Sleep(3 * time.Second)
		behind := len(f.processes) - 1
		f.network.cutOff(memberAddress(behind).String(), storeAddress)
		for index := range behind {
			f.network.cutOff(memberAddress(index).String(), memberAddress(behind).String())
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for ctx.Err() == nil {
				f.processes[behind].member.ObserveStore(nil)
				loops.Sleep(ctx, 10*time.Millisecond)
			}
		}()
		f.store.WritePolicy(2, 4250)
		time.Sleep(3 * time.Second)
		f.wantInForce(t, 2)
		cancel()
		<-ended
	})
}
