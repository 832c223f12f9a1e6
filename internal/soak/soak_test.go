package soak

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/loops"
)

func TestPlan(t *testing.T) {
	const nodes, endpoints = 3, 6
	length := time.Minute
	plan := Plan(7, length, nodes, endpoints)
	if again := Plan(7, length, nodes, endpoints); !reflect.DeepEqual(plan, again) {
		t.Error("plan of the same seed: got another one")
	}
	if other := Plan(8, length, nodes, endpoints); reflect.DeepEqual(plan, other) {
		t.Error("plan of another seed: got the same one")
	}
	seen, crashes := map[Kind]bool{}, 0
	for seed := range uint64(50) {
		crashes = 0
		for _, harm := range Plan(seed, length, nodes, endpoints) {
			seen[harm.Kind] = true
			if harm.Kind == EndpointCrash {
				crashes++
			}
			most := nodes
			if harm.isOfEndpoint() {
				most = endpoints
			}
			if harm.Target < 0 || harm.Target >= most {
				t.Fatalf("target of %v: got %d, want one below %d", harm.Kind, harm.Target, most)
			}
		}
		if crashes > endpoints/2 {
			t.Errorf("crashes of seed %d: got %d, want at most %d", seed, crashes, endpoints/2)
		}
	}
	for _, kind := range kinds {
		if !seen[kind] {
			t.Errorf("kind %v in 50 seeds: got none, want some", kind)
		}
	}
}

// echo answers each line with itself.
func echo(t *testing.T) netip.AddrPort {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return netip.MustParseAddrPort(socket.Addr().String())
}

func TestProxy(t *testing.T) {
	const soon = 400 * time.Millisecond
	tests := map[string]struct {
		harm func(p *proxy)
		// wantHeld is true if the answer stays away, wantBroken if the connection ends.
		wantHeld, wantBroken bool
	}{
		"well":    {harm: func(*proxy) {}},
		"late":    {harm: func(p *proxy) { p.set(linkDelayed) }},
		"one way": {harm: func(p *proxy) { p.set(linkOneWay) }, wantHeld: true},
		"silent":  {harm: func(p *proxy) { p.set(linkSilent) }, wantHeld: true},
		"reset":   {harm: func(p *proxy) { p.reset() }, wantBroken: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			group := loops.New(ctx)
			defer group.Wait()
			defer cancel()
			p, err := newProxy(group, echo(t))
			if err != nil {
				t.Fatal(err)
			}
			conn, err := net.Dial("tcp", p.address().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			lines := bufio.NewReader(conn)
			say := func() error {
				if _, err := io.WriteString(conn, "x\n"); err != nil {
					return err
				}
				_, err := lines.ReadString('\n')
				return err
			}
			if err := say(); err != nil {
				t.Fatalf("before the harm: got %v, want an answer", err)
			}
			c.harm(p)
			if c.wantHeld {
				_ = conn.SetReadDeadline(time.Now().Add(soon))
			}
			err = say()
			var timeout net.Error
			isHeld := err != nil && asNetError(err, &timeout) && timeout.Timeout()
			if isHeld != c.wantHeld || (err != nil && !isHeld) != c.wantBroken {
				t.Errorf("answer: got %v, want held %v, broken %v", err, c.wantHeld, c.wantBroken)
			}
		})
	}
}

func asNetError(err error, target *net.Error) bool {
	found, ok := err.(net.Error)
	if ok {
		*target = found
	}
	return ok
}
