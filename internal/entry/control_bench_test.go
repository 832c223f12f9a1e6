package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagedyke/lovagedyke/internal/node"
	"github.com/lovagedyke/lovagedyke/internal/peer"
	"github.com/lovagedyke/lovagedyke/internal/platform"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// controlTime is how long a deployment runs for a reading.
const controlTime = 3 * time.Second

// BenchmarkControl runs entries that serve no caller, over loopback without
// certificates, and reports what each spends on the others: part of a core, and
// bytes at its peer port in both directions. Its calls at the others' ports are
// as many again. The table is in memory.
func BenchmarkControl(b *testing.B) {
	for _, members := range []int{2, 4, 7, 10, 14} {
		b.Run(fmt.Sprintf("entries=%02d", members), func(b *testing.B) {
			d := newDeployment(b, members)
			time.Sleep(time.Second)
			bytes, used := d.bytes.Load(), processorTime(b)
			for range b.N {
				time.Sleep(controlTime)
			}
			seconds := controlTime.Seconds() * float64(b.N) * float64(members)
			b.ReportMetric((processorTime(b)-used).Seconds()/seconds*100, "core-percent/entry")
			b.ReportMetric(float64(d.bytes.Load()-bytes)/seconds, "port-bytes/s/entry")
		})
	}
}

// processorTime is what this process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// deployment is several entries with peer ports.
type deployment struct {
	bytes atomic.Int64
	hosts []platform.Host
}

// Hosts implements HostLister.
func (d *deployment) Hosts(context.Context) ([]platform.Host, error) { return d.hosts, nil }

// newDeployment starts entries of today's sizes, which stop when b ends.
func newDeployment(b *testing.B, members int) *deployment {
	b.Helper()
	// The first entry stands for the rows only.
	rows := newBenchEntry(b, shape{members: 1, teams: 6, services: 5, endpoints: 10})
	empty := table.Txn{Writes: []table.Write{{Key: roster.Key, Value: roster.Roster{}.Encode()}}}
	if err := rows.store.Commit(context.Background(), empty); err != nil {
		b.Fatal(err)
	}
	d := &deployment{hosts: rows.hosts}
	ctx, cancel := context.WithCancel(context.Background())
	var ended []<-chan error
	for i := range members {
		server := httptest.NewUnstartedServer(http.NotFoundHandler())
		server.Listener = &countedListener{Listener: server.Listener, bytes: &d.bytes}
		self := member(i + 1)
		self.Address = netip.MustParseAddrPort(server.Listener.Addr().String())
		dialer := peer.New(peer.Config{Secret: "s", Timeout: time.Second})
		n := node.New(node.Config{Self: self, Store: rows.store, Log: log.New(io.Discard), FreshBound: time.Hour, Dialer: dialer})
		e := New(Config{Node: n, Hosts: d, Log: log.New(io.Discard), ClaimRetention: time.Hour})
		n.Add(e)
		server.Config.Handler = peer.Handler("s", e.Service())
		server.Start()
		running := e.Run(ctx)
		if err := n.Join(ctx); err != nil {
			b.Fatal(err)
		}
		ended = append(ended, running, n.Run(ctx))
		b.Cleanup(func() { dialer.Close(); server.Close() })
	}
	b.Cleanup(func() {
		cancel()
		for _, done := range ended {
			<-done
		}
	})
	return d
}

// countedListener counts the bytes of its connections in both directions.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, bytes: l.bytes}, nil
}

// countedConn is a connection of a countedListener.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
