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

	"github.com/cockroachdb/errors"

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
			caller := connect(t, p)
			if err := caller.say(); err != nil {
				t.Fatalf("before the harm: got %v, want an answer", err)
			}
			c.harm(p)
			if c.wantHeld {
				_ = caller.conn.SetReadDeadline(time.Now().Add(soon))
			}
			err = caller.say()
			isHeld := isTimeout(err)
			if isBroken := err != nil && !isHeld; isHeld != c.wantHeld || isBroken != c.wantBroken {
				t.Errorf("answer: got %v, want held %v, broken %v", err, c.wantHeld, c.wantBroken)
			}
		})
	}
}

// caller sends lines and reads their echo.
type caller struct {
	conn  net.Conn
	lines *bufio.Reader
}

func connect(t *testing.T, p *proxy) caller {
	t.Helper()
	conn, err := net.Dial("tcp", p.address().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return caller{conn: conn, lines: bufio.NewReader(conn)}
}

func (c caller) say() error {
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
