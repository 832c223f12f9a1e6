package process

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// packetBytes is the size of the pieces in which connections share a link.
	packetBytes = 16 << 10
	// linkLatency is the time that a packet takes on an idle link.
	linkLatency = 500 * time.Microsecond
	// connectionPackets is how many packets of a connection may be on their way.
	connectionPackets = 4
)

// link is one direction of a host's link. Connections take turns packet by packet.
type link struct {
	bytesPerSecond float64
	mu             sync.Mutex
	freeAt         time.Time
}

func newLink(mbps float64) *link {
	return &link{bytesPerSecond: mbps * 1e6 / 8}
}

// carry waits until the link has carried size bytes more.
func (l *link) carry(size int) {
	l.mu.Lock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(size) / l.bytesPerSecond * float64(time.Second)))
	at := l.freeAt
	l.mu.Unlock()
	time.Sleep(time.Until(at))
}

// testHost is a host on a testNetwork.
type testHost struct {
	in, out *link
}

// testNetwork connects hosts in memory, over links of a given rate, in the time of a
// synctest bubble.
type testNetwork struct {
	mu        sync.Mutex
	hosts     map[string]*testHost
	listeners map[string]*testListener
	// cut holds the pairs of addresses, caller first, that do not reach each other.
	cut   map[[2]string]bool
	conns map[[2]string][]net.Conn
	wait  sync.WaitGroup
}

func newTestNetwork() *testNetwork {
	return &testNetwork{hosts: map[string]*testHost{}, listeners: map[string]*testListener{}, cut: map[[2]string]bool{}, conns: map[[2]string][]net.Conn{}}
}

// listen adds a host at an address, and returns its listener.
func (n *testNetwork) listen(address string, mbps float64) *testListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[address] = &testHost{in: newLink(mbps), out: newLink(mbps)}
	listener := &testListener{address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = listener
	return listener
}

// dialFrom returns the function that opens connections from the host at an address.
func (n *testNetwork) dialFrom(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		n.mu.Lock()
		caller, called, listener, cut := n.hosts[from], n.hosts[address], n.listeners[address], n.cut[[2]string{from, address}]
		n.mu.Unlock()
		if listener == nil || cut {
			return nil, &net.OpError{Op: "dial", Err: errors.New("no route to host")}
		}
		client, server := net.Pipe()
		clientConn, serverConn := newTestConn(client, caller.out, called.in), newTestConn(server, called.out, caller.in)
		n.wait.Go(clientConn.deliver)
		n.wait.Go(serverConn.deliver)
		n.mu.Lock()
		n.conns[[2]string{from, address}] = append(n.conns[[2]string{from, address}], clientConn, serverConn)
		n.mu.Unlock()
		select {
		case listener.accepted <- serverConn:
			return clientConn, nil
		case <-listener.closed:
			return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
		}
	}
}

// cutOff breaks the connections from one host to another, and lets no new one through.
func (n *testNetwork) cutOff(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = true
	for _, conn := range n.conns[[2]string{from, to}] {
		_ = conn.Close()
	}
}

// close breaks all connections, and waits until none carries anything.
func (n *testNetwork) close() {
	n.mu.Lock()
	for _, conns := range n.conns {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
	n.mu.Unlock()
	n.wait.Wait()
}

// testListener accepts connections from other hosts.
type testListener struct {
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *testListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *testListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *testListener) Addr() net.Addr { return testAddr(l.address) }

// testAddr is the address of a host.
type testAddr string

func (testAddr) Network() string  { return "memory" }
func (a testAddr) String() string { return string(a) }

// testConn is one end of a connection. What it writes passes the sender's and the
// receiver's link; a bounded number of packets is on its way.
type testConn struct {
	net.Conn
	sending, receiving *link
	packets            chan []byte
	closed             chan struct{}
	once               sync.Once
}

func newTestConn(conn net.Conn, sending, receiving *link) *testConn {
	return &testConn{
		Conn: conn, sending: sending, receiving: receiving,
		packets: make(chan []byte, connectionPackets), closed: make(chan struct{}),
	}
}

// deliver carries the packets until the connection is closed.
func (c *testConn) deliver() {
	for {
		select {
		case packet := <-c.packets:
			c.sending.carry(len(packet))
			c.receiving.carry(len(packet))
			time.Sleep(linkLatency)
			if _, err := c.Conn.Write(packet); err != nil {
				return
			}
		case <-c.closed:
			return
		}
	}
}

func (c *testConn) Write(data []byte) (int, error) {
	for sent := 0; sent < len(data); sent += packetBytes {
		packet := append([]byte(nil), data[sent:min(sent+packetBytes, len(data))]...)
		select {
		case c.packets <- packet:
		case <-c.closed:
			return sent, net.ErrClosed
		}
	}
	return len(data), nil
}

func (c *testConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
