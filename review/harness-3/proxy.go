//go:build review

package harness

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// Proxies stand between the nodes and the runners of a stand-in platform, one for each runner in the
// order in which the platform makes them. The zero value is ready; Expose goes into standin.Config.
type Proxies struct {
	mu    sync.Mutex
	links []*link
}

// link is the proxy of one runner.
type link struct {
	listener net.Listener
	runner   netip.AddrPort
	// orders counts the calls that nodes have made to it.
	orders atomic.Int64

	mu      sync.Mutex
	isDark  bool
	servers []net.Conn
}

// Expose starts a proxy for a runner, and returns its address.
func (p *Proxies) Expose(runner netip.AddrPort) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return runner
	}
	l := &link{listener: listener, runner: runner}
	p.mu.Lock()
	p.links = append(p.links, l)
	p.mu.Unlock()
	go l.serve()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// SetDark lets the machine n, counted from 1, lose its power, or have it again. What is sent to it
// meanwhile is lost; connections of before, and those that are opened meanwhile, stay silent for good.
func (p *Proxies) SetDark(n int, isDark bool) {
	p.mu.Lock()
	l := p.links[n-1]
	p.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isDark = isDark
	for _, server := range l.servers {
		_ = server.Close()
	}
	l.servers = nil
}

// Orders returns how many calls nodes have made to runners.
func (p *Proxies) Orders() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := int64(0)
	for _, l := range p.links {
		sum += l.orders.Load()
	}
	return sum
}

// OrdersTo returns how many of them were to machine n, counted from 1.
func (p *Proxies) OrdersTo(n int) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.links[n-1].orders.Load()
}

// serve accepts the connections of nodes.
func (l *link) serve() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.relay(client)
	}
}

// relay relays a connection, unless the machine has no power.
func (l *link) relay(client net.Conn) {
	l.mu.Lock()
	if l.isDark {
		l.mu.Unlock()
		l.swallow(client)
		return
	}
	server, err := net.Dial("tcp", l.runner.String())
	if err != nil {
		l.mu.Unlock()
		_ = client.Close()
		return
	}
	l.servers = append(l.servers, server)
	l.mu.Unlock()
	go func() {
		_, _ = io.Copy(client, server)
		if !l.isCut(server) {
			_ = client.Close()
		}
	}()
	_, err = io.Copy(server, &countingReader{Reader: client, orders: &l.orders})
	if err != nil && l.isCut(server) {
		l.swallow(client)
		return
	}
	_ = server.Close()
}

// isCut reports whether a connection to the runner was closed since its machine lost power.
func (l *link) isCut(server net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, open := range l.servers {
		if open == server {
			return false
		}
	}
	return true
}

// swallow reads what a node sends until it closes the connection.
func (l *link) swallow(client net.Conn) {
	_, _ = io.Copy(io.Discard, &countingReader{Reader: client, orders: &l.orders})
	_ = client.Close()
}

// countingReader counts the calls that pass.
type countingReader struct {
	io.Reader
	orders *atomic.Int64
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.orders.Add(int64(bytes.Count(p[:n], []byte("POST /lovagedyke/"))))
	return n, err
}
