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

// measurementTime is how long a deployment runs per iteration.
const measurementTime = 3 * time.Second

// BenchmarkControl measures the control traffic between entries that serve no
// callers. It reports the share of a core per entry, and the bytes in both
// directions at its peer port. Its calls to the other entries' ports cost as
// many bytes again. The entries use loopback connections without TLS, and the
// table is in memory.
func BenchmarkControl(b *testing.B) {
	for _, members := range []int{2, 4, 7, 10, 14} {
		b.Run(fmt.Sprintf("entries=%02d", members), func(b *testing.B) {
			d := newDeployment(b, members)
			time.Sleep(time.Second)
			bytes, used := d.bytes.Load(), processCPUTime(b)
			for range b.N {
				time.Sleep(measurementTime)
			}
			seconds := measurementTime.Seconds() * float64(b.N) * float64(members)
			b.ReportMetric((processCPUTime(b)-used).Seconds()/seconds*100, "core-percent/entry")
			b.ReportMetric(float64(d.bytes.Load()-bytes)/seconds, "port-bytes/s/entry")
		})
	}
}

// processCPUTime returns the CPU time that this process has used.
func processCPUTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// deployment is a set of entries with peer ports.
type deployment struct {
	bytes atomic.Int64
	hosts []platform.Host
}

// Hosts implements HostLister.
func (d *deployment) Hosts(context.Context) ([]platform.Host, error) { return d.hosts, nil }

// newDeployment starts entries with 6 teams, 5 services and 50 endpoints, and
// stops them when b ends.
func newDeployment(b *testing.B, members int) *deployment {
	b.Helper()
	// This entry only writes the rows. It is not part of the deployment.
	rows := newBenchEntry(b, deploymentSize{members: 1, teams: 6, services: 5, endpoints: 10})
	empty := table.Txn{Writes: []table.Write{{Key: roster.Key, Value: roster.Roster{}.Encode()}}}
	if err := rows.store.Commit(context.Background(), empty); err != nil {
		b.Fatal(err)
	}
	d := &deployment{hosts: rows.hosts}
	ctx, cancel := context.WithCancel(context.Background())
	var stopped []<-chan error
	for i := range members {
		server := httptest.NewUnstartedServer(http.NotFoundHandler())
		server.Listener = &countedListener{Listener: server.Listener, bytes: &d.bytes}
		self := benchMember(i + 1)
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
		stopped = append(stopped, running, n.Run(ctx))
		b.Cleanup(func() { dialer.Close(); server.Close() })
	}
	b.Cleanup(func() {
		cancel()
		for _, done := range stopped {
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
