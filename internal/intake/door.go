// Package intake bounds what clients can make a server hold: connections, headers, bodies, and
// answers that are not read.
//
// # Usage
//
//	door, err := intake.Listen(ctx, intake.DoorConfig{Name: "callers", Address: address, MaxConnections: 900, Headers: requests})
//	door.Configure(server) // before server.Serve(door)
//
//	bodies := intake.NewBodies(intake.BodiesConfig{Budget: requests})
//	body, refusal := bodies.Read(w, r, maxBytes, deadline)
//	if refusal == nil {
//		defer body.Share.Release()
//	}
//
// A door accepts connections also at its limit: the connection that has been idle, or has made
// no progress, for longest is closed for each. Package budget decides about bytes.
package intake

import (
	"container/list"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/budget"
)

const (
	// DefaultWriteTimeout is how long a client may take to accept a part of an answer.
	DefaultWriteTimeout = 5 * time.Second
	// DefaultReceiveBytes is the size of the kernel's buffer for what a client sends.
	DefaultReceiveBytes = 16 << 10
	// DefaultSendBytes is the same for answers.
	DefaultSendBytes = 32 << 10
	// newcomerTime is how long a connection may be open without a request until it is closed
	// before those that have had one.
	newcomerTime = time.Second
	// stalledWriteTime is how long an answer may wait for its client until the connection may
	// be closed in favour of another.
	stalledWriteTime = 500 * time.Millisecond
	// acceptPause is the pause after an accept that found no descriptor.
	acceptPause = 5 * time.Millisecond
)

// Causes of closed connections, as metrics' labels.
const (
	causeIdle        = "idle"
	causeStalled     = "stalled"
	causeUnread      = "answer-not-read"
	causeFull        = "all-busy"
	causeHeader      = "header-too-costly"
	causeDescriptors = "no-descriptors"
)

// DoorConfig configures a Door.
type DoorConfig struct {
	// Name is the port's, in metrics and errors.
	Name    string
	Address netip.AddrPort
	// MaxConnections bounds the connections until SetMaxConnections; 0 means no bound.
	MaxConnections int
	// Headers is the budget of the headers that are larger than usual, or nil.
	Headers *budget.Budget
	// ReceiveBytes and SendBytes are the sizes of a connection's kernel buffers; 0 leaves them.
	ReceiveBytes, SendBytes int
	// WriteTimeout is DefaultWriteTimeout if it is zero.
	WriteTimeout time.Duration
	// Refuses is set for ports on which a connection may get a refusal before it is closed while
	// its request arrives: plain HTTP, and nothing is done before a request is there.
	Refuses bool
}

// Door is a listener that bounds its connections.
type Door struct {
	net.Listener
	config DoorConfig

	mu sync.Mutex
	// maxConnections bounds the connections; 0 means no bound.
	maxConnections int
	// connections holds the open connections. Those that may be closed in favour of others
	// are in newcomers if they have had no request, or in others, the longest idle first.
	connections       map[*Conn]struct{}
	newcomers, others list.List
}

// Listen opens a port.
func Listen(ctx context.Context, config DoorConfig) (*Door, error) {
	if config.WriteTimeout == 0 {
		config.WriteTimeout = DefaultWriteTimeout
	}
	listen := net.ListenConfig{KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			// Connections inherit the listener's sizes. Without them the kernel's apply.
			if config.ReceiveBytes > 0 {
				_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, config.ReceiveBytes)
			}
			if config.SendBytes > 0 {
				_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_SNDBUF, config.SendBytes)
			}
		})
	}}
	listener, err := listen.Listen(ctx, "tcp", config.Address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "open the port for %s", config.Name)
	}
	d := &Door{Listener: listener, config: config, maxConnections: config.MaxConnections, connections: map[*Conn]struct{}{}}
	metrics.GetOrCreateGauge(`client_connections{port="`+config.Name+`"}`, func() float64 { return float64(d.Connections()) })
	return d, nil
}

// Configure makes a server tell the door in which state its connections are.
func (d *Door) Configure(server *http.Server) {
	handler := server.Handler
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if conn := connOf(c); conn != nil && state == http.StateIdle {
			conn.becomeIdle()
		}
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, connOf(c))
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connKey{}).(*Conn)
		if conn == nil {
			handler.ServeHTTP(w, r)
			return
		}
		if needsBody(r) {
			conn.beginBody()
		} else if !conn.beginService() {
			panic(http.ErrAbortHandler)
		}
		if r.Body != http.NoBody {
			tracked := *r // the server looks at its own request's body
			tracked.Body = &trackedBody{ReadCloser: r.Body, conn: conn}
			r = &tracked
		}
		handler.ServeHTTP(w, r)
	})
}

// needsBody reports whether a request is served only once its body has arrived.
func needsBody(r *http.Request) bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodDelete:
		return false
	default:
		return r.Body != http.NoBody
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// connOf returns a server's connection as the door's.
func connOf(c net.Conn) *Conn {
	if encrypted, ok := c.(*tls.Conn); ok {
		c = encrypted.NetConn()
	}
	conn, _ := c.(*Conn)
	return conn
}

// Connections returns the number of open connections.
func (d *Door) Connections() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.connections)
}

// Accept implements net.Listener.
func (d *Door) Accept() (net.Conn, error) {
	for {
		accepted, err := d.Listener.Accept()
		if isOutOfDescriptors(err) {
			if victim := d.takeVictim(); victim != nil {
				victim.evict(causeDescriptors)
			}
			time.Sleep(acceptPause)
			continue
		}
		if err != nil {
			return nil, err
		}
		conn := &Conn{Conn: accepted, door: d}
		if d.admit(conn) {
			return conn, nil
		}
		conn.refuse()
		_ = accepted.Close()
		countClosed(d.config.Name, causeFull)
	}
}

// isOutOfDescriptors reports whether a connection was not accepted for want of descriptors or
// kernel memory.
func isOutOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// admit adds a connection, in place of another if the limit is reached. It returns false if
// all others are being served.
func (d *Door) admit(conn *Conn) bool {
	for beyond := d.beyondLimit(); beyond > 0; beyond-- {
		victim := d.takeVictim()
		if victim == nil {
			return false
		}
		victim.evict(victim.cause())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.connections[conn] = struct{}{}
	conn.since = time.Now()
	conn.element = d.newcomers.PushBack(conn)
	return true
}

// beyondLimit returns how many connections have to be closed for one more.
func (d *Door) beyondLimit() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.maxConnections <= 0 {
		return 0
	}
	return len(d.connections) + 1 - d.maxConnections
}

// SetMaxConnections changes the limit; connections beyond it are closed for the next one.
func (d *Door) SetMaxConnections(limit int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.maxConnections = limit
}

// takeVictim chooses the connection to close in favour of another, or returns nil if all are
// being served.
func (d *Door) takeVictim() *Conn {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	newcomer, other := front(&d.newcomers), front(&d.others)
	victim := other
	if newcomer != nil && (other == nil || now.Sub(newcomer.since) > newcomerTime || newcomer.since.Before(other.since)) {
		victim = newcomer
	}
	if victim == nil {
		victim = d.longestUnread(now)
	}
	if victim != nil {
		victim.detach()
		victim.isEvicted = true
	}
	return victim
}

func front(l *list.List) *Conn {
	if l.Len() == 0 {
		return nil
	}
	return l.Front().Value.(*Conn)
}

// longestUnread returns the connection whose client has not read its answer for longest.
func (d *Door) longestUnread(now time.Time) *Conn {
	var longest *Conn
	var since int64
	for conn := range d.connections {
		writing := conn.writingSince.Load()
		if writing == 0 || conn.isEvicted || now.Sub(time.Unix(0, writing)) < stalledWriteTime {
			continue
		}
		if longest == nil || writing < since {
			longest, since = conn, writing
		}
	}
	return longest
}

// countClosed counts a connection that the process has closed.
func countClosed(port, cause string) {
	metrics.GetOrCreateCounter(`connections_closed_total{port="` + port + `",cause="` + cause + `"}`).Inc()
}
