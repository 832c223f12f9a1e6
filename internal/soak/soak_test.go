package soak

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"reflect"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/loops"
)

func TestPlan(t *testing.T) {
	const nodes, endpoints = 3, 6
	duration := time.Minute
	plan := Plan(7, duration, nodes, endpoints, AllKinds())
	if again := Plan(7, duration, nodes, endpoints, AllKinds()); !reflect.DeepEqual(plan, again) {
		t.Error("plan of the same seed: got another one")
	}
	if other := Plan(8, duration, nodes, endpoints, AllKinds()); reflect.DeepEqual(plan, other) {
		t.Error("plan of another seed: got the same one")
	}
	seen, crashes := map[Kind]bool{}, 0
	for seed := range uint64(50) {
		crashes = 0
		for _, fault := range Plan(seed, duration, nodes, endpoints, AllKinds()) {
			seen[fault.Kind] = true
			if fault.Kind == EndpointCrash {
				crashes++
			}
			limit := nodes
			if fault.targetsEndpoint() {
				limit = endpoints
			}
			if fault.Target < 0 || fault.Target >= limit {
				t.Fatalf("target of %v: got %d, want one below %d", fault.Kind, fault.Target, limit)
			}
		}
		if crashes > endpoints/2 {
			t.Errorf("crashes of seed %d: got %d, want at most %d", seed, crashes, endpoints/2)
		}
	}
	for _, kind := range AllKinds() {
		if !seen[kind] {
			t.Errorf("kind %v in 50 seeds: got none, want some", kind)
		}
	}
}

// Guards against a soak in which no evacuation outlasts its bound, none is withdrawn before, or
// the leader is left alone meanwhile.
func TestPlanOfEvacuations(t *testing.T) {
	duration := 12 * time.Second
	kinds := map[Kind]int{}
	judged, short := 0, 0
	for seed := range uint64(50) {
		plan := Plan(seed, duration, 3, 6, KindsAroundEvacuations())
		isJudged := false
		for _, fault := range plan {
			kinds[fault.Kind]++
			if fault.Kind != Evacuate {
				continue
			}
			if fault.Duration <= evacuationBound {
				short++
			} else if fault.At+evacuationBound < duration {
				isJudged = true
			}
			if end, limit := fault.At+fault.Duration, duration+maxJudgedTime; end > limit {
				t.Errorf("seed %d: evacuation of %d ends at %s, want at most %s", seed, fault.Target, end, limit)
			}
		}
		if isJudged {
			judged++
		}
	}
	if judged < 45 || short < 50 {
		t.Errorf("50 seeds: got %d with evacuations that outlast the bound and %d evacuations withdrawn before, want at least 45 and 50", judged, short)
	}
	for _, kind := range KindsAroundEvacuations() {
		if kinds[kind] == 0 {
			t.Errorf("kind %v in 50 seeds: got none, want some", kind)
		}
	}
	if got := Plan(7, duration, 3, 6, KindsAroundLists()); slices.ContainsFunc(got, func(f Fault) bool { return f.Kind == Evacuate }) {
		t.Errorf("plan of other kinds: got evacuations in %v, want none", got)
	}
}

// Guards against regression cases that no longer test what they were kept for: a plan of the
// kinds that were there when its seed failed stays the same when kinds are added.
func TestPlanKeepsItsMeaning(t *testing.T) {
	tests := map[string]struct {
		seed      uint64
		duration  time.Duration
		kinds     []Kind
		wantCount int
		wantFirst []Fault
	}{
		"without restarts": {
			seed: 31, duration: 8 * time.Second, kinds: KindsWithoutRestarts(), wantCount: 18,
			wantFirst: []Fault{
				{Kind: Pause, At: 278310379, Duration: 925608054, Target: 2},
				{Kind: KillAll, At: 2134500028, Duration: 429859183},
				{Kind: Pause, At: 2801418019, Duration: 2306419039},
				{Kind: StoreDropsHistory, At: 3027307877, Duration: 3585412952, Target: 2},
				{Kind: Pause, At: 3101418019, Duration: 2306419039},
				{Kind: StoreDropsHistory, At: 3327307877, Duration: 3585412952, Target: 2},
				{Kind: Pause, At: 3401418019, Duration: 2306419039},
				{Kind: StoreDropsHistory, At: 3627307877, Duration: 3585412952, Target: 2},
				{Kind: StoreUnavailable, At: 3738148889, Duration: 639241318},
			},
		},
		"with restarts, seed 4": {
			seed: 4, duration: 12 * time.Second, kinds: KindsWithRestarts(), wantCount: 12,
			wantFirst: []Fault{
				{Kind: EndpointDelayedAnswers, At: 815169980, Duration: 77087083, Target: 4},
				{Kind: EndpointRestart, At: 825505568, Target: 4},
				{Kind: KillAll, At: 3208065447, Duration: 200883036, Target: 2},
				{Kind: StoreDelayed, At: 3710553318, Duration: 891398028, Target: 1},
				{Kind: EndpointRestartElsewhere, At: 3779818510},
			},
		},
		"with restarts, seed 6": {
			seed: 6, duration: 12 * time.Second, kinds: KindsWithRestarts(), wantCount: 11,
			wantFirst: []Fault{
				{Kind: Pause, At: 1117456349, Duration: 3287892097},
				{Kind: Pause, At: 1417456349, Duration: 3287892097},
				{Kind: Pause, At: 1717456349, Duration: 3287892097},
				{Kind: KillAll, At: 6305643064, Duration: 3537095238, Target: 1},
			},
		},
		"with restarts, seed 16": {
			seed: 16, duration: 12 * time.Second, kinds: KindsWithRestarts(), wantCount: 11,
			wantFirst: []Fault{
				{Kind: StoreOneWay, At: 362702492, Duration: 2899874949, Target: 1},
				{Kind: EndpointRestartEarlier, At: 2495444721, Duration: 1198687175, Target: 2},
			},
		},
		"with budgets, seed 403": {
			seed: 403, duration: 12 * time.Second, kinds: KindsWithBudgets(), wantCount: 33,
			wantFirst: []Fault{
				{Kind: EndpointRestartUnlisted, At: 366411951, Duration: 187117804, Target: 2},
				{Kind: KillAll, At: 624202473, Duration: 3871379727, Target: 2},
				{Kind: EndpointLateRenewals, At: 669513973, Duration: 2317888270},
				{Kind: KillAll, At: 924202473, Duration: 3871379727, Target: 2},
				{Kind: EndpointCrash, At: 1164554165, Duration: 658406851},
			},
		},
		"with budgets, seed 405": {
			seed: 405, duration: 12 * time.Second, kinds: KindsWithBudgets(), wantCount: 16,
			wantFirst: []Fault{
				{Kind: Stop, At: 1840646687, Duration: 2436949161},
				{Kind: StoreLosesAnswers, At: 1875206033, Duration: 596015951},
				{Kind: EndpointHangRestart, At: 3237594728, Duration: 409599632, Target: 4},
				{Kind: DeadlyJobs, At: 4547893103, Duration: 2259356282, Target: 1},
			},
		},
		"around lists, seed 517": {
			seed: 517, duration: 4 * time.Second, kinds: KindsAroundLists(), wantCount: 4,
			wantFirst: []Fault{
				{Kind: EndpointSilent, At: 495576668, Duration: 1653462598},
				{Kind: EndpointOneWay, At: 532730114, Duration: 3896219159, Target: 3},
				{Kind: EndpointReplacedUnlisted, At: 2022490455, Duration: 850228457, Target: 1},
				{Kind: EndpointOneWay, At: 3023917145, Duration: 1523439961, Target: 1},
			},
		},
		"around evacuations, seed 611": {
			seed: 611, duration: 10 * time.Second, kinds: KindsAroundEvacuations(), wantCount: 21,
			wantFirst: []Fault{
				{Kind: Evacuate, At: 496515879, Duration: 7285752346, Target: 1},
				{Kind: Evacuate, At: 1009368689, Duration: 996789453},
				{Kind: Evacuate, At: 1132960035, Duration: 574110133, Target: 1},
				{Kind: LeaderKill, At: 1297414601, Duration: 967035490},
				{Kind: Evacuate, At: 1503218807, Duration: 9724941228, Target: 2},
				{Kind: Evacuate, At: 2597048236, Duration: 7978593989},
			},
		},
		"around lists, seed 527": {
			seed: 527, duration: 4 * time.Second, kinds: KindsAroundLists(), wantCount: 2,
			wantFirst: []Fault{
				{Kind: EndpointDelayed, At: 292876094, Duration: 3733044432, Target: 5},
				{Kind: HostListGoesBack, At: 1512916515, Duration: 3577051288},
			},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := Plan(tc.seed, tc.duration, 3, 6, tc.kinds)
			if len(got) != tc.wantCount || !reflect.DeepEqual(got[:len(tc.wantFirst)], tc.wantFirst) {
				t.Errorf("plan of seed %d: got %d faults %v, want %d that begin with %v", tc.seed, len(got), got, tc.wantCount, tc.wantFirst)
			}
		})
	}
}

// startEchoServer starts a server that echoes all bytes.
func startEchoServer(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func TestProxy(t *testing.T) {
	const timeout = 400 * time.Millisecond
	tests := map[string]struct {
		inject func(p *proxy)
		// wantHeld means that no response arrives, wantBroken that the connection is
		// closed.
		wantHeld, wantBroken bool
	}{
		"healthy": {inject: func(*proxy) {}},
		"delayed": {inject: func(p *proxy) { p.setState(linkDelayed) }},
		"one way": {inject: func(p *proxy) { p.setState(linkOneWay) }, wantHeld: true},
		"silent":  {inject: func(p *proxy) { p.setState(linkSilent) }, wantHeld: true},
		"cut":     {inject: func(p *proxy) { p.setState(linkCut) }, wantHeld: true},
		"reset":   {inject: func(p *proxy) { p.reset() }, wantBroken: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			group := loops.New(ctx)
			defer group.Wait()
			defer cancel()
			p, err := newProxy(group, startEchoServer(t))
			if err != nil {
				t.Fatal(err)
			}
			client := dial(t, p)
			if err := client.roundTrip(); err != nil {
				t.Fatalf("before the fault: got %v, want a response", err)
			}
			tc.inject(p)
			if tc.wantHeld {
				_ = client.conn.SetReadDeadline(time.Now().Add(timeout))
			}
			err = client.roundTrip()
			isHeld := isTimeout(err)
			if isBroken := err != nil && !isHeld; isHeld != tc.wantHeld || isBroken != tc.wantBroken {
				t.Errorf("response: got error %v, want held %v, broken %v", err, tc.wantHeld, tc.wantBroken)
			}
		})
	}
}

// Guards against a process that exits behind a proxy and looks as if it were there: connections
// are refused after that, but for a link that is cut, which gives no sign until it is whole.
func TestProxyRefuses(t *testing.T) {
	const maxDials = 1000
	for name, state := range map[string]linkState{"healthy": linkHealthy, "silent": linkSilent, "cut": linkCut, "one way": linkOneWay} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			group := loops.New(ctx)
			defer group.Wait()
			defer cancel()
			p, err := newProxy(group, startEchoServer(t))
			if err != nil {
				t.Fatal(err)
			}
			p.setState(state)
			p.refuse()
			if state != linkHealthy {
				_ = dial(t, p)
				p.setState(linkHealthy)
			}
			// A cut link refuses soon after it is whole.
			attempts := 1
			if state != linkHealthy {
				attempts = maxDials
			}
			for range attempts {
				var conn net.Conn
				if conn, err = net.Dial("tcp", p.address().String()); errors.Is(err, syscall.ECONNREFUSED) {
					return
				}
				if err == nil {
					_ = conn.Close()
				}
				time.Sleep(linkPollInterval)
			}
			t.Errorf("connection: got error %v, want it refused", err)
		})
	}
}

// Guards against a proxy whose connections outlive it, so that its group waits without end: those
// that are open after it refuses new ones, and one that was accepted as it stopped.
func TestProxyClosesItsConnections(t *testing.T) {
	const (
		limit   = 10 * time.Second
		proxies = 300
	)
	awaitEnd := func(t *testing.T, what string, wait func()) {
		t.Helper()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			wait()
		}()
		select {
		case <-ended:
		case <-time.After(limit):
			t.Fatalf("%s: got open after %s, want closed", what, limit)
		}
	}
	t.Run("open after it refuses", func(t *testing.T) {
		target := startEchoServer(t)
		for range proxies {
			ctx, cancel := context.WithCancel(context.Background())
			group := loops.New(ctx)
			p, err := newProxy(group, target)
			if err != nil {
				t.Fatal(err)
			}
			if err := dial(t, p).roundTrip(); err != nil {
				t.Fatal(err)
			}
			p.refuse()
			cancel()
			awaitEnd(t, "open connection", group.Wait)
		}
	})
	t.Run("accepted as it stops", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		group := loops.New(ctx)
		p, err := newProxy(group, startEchoServer(t))
		if err != nil {
			t.Fatal(err)
		}
		cancel()
		group.Wait()
		client, accepted := net.Pipe()
		defer func() { _ = client.Close() }()
		awaitEnd(t, "accepted connection", func() { p.forward(ctx, accepted) })
	})
}

// client sends lines and reads their echo.
type client struct {
	conn  net.Conn
	lines *bufio.Reader
}

func dial(t *testing.T, p *proxy) client {
	t.Helper()
	conn, err := net.Dial("tcp", p.address().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return client{conn: conn, lines: bufio.NewReader(conn)}
}

func (c client) roundTrip() error {
	if _, err := io.WriteString(c.conn, "x\n"); err != nil {
		return err
	}
	_, err := c.lines.ReadString('\n')
	return err
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
