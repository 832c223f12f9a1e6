package soak

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/loops"
)

// linkState is the fault that a proxy applies to its connections.
type linkState int

const (
	linkHealthy linkState = iota
	// linkDelayed delays all bytes by linkDelay.
	linkDelayed
	// linkOneWay forwards requests and holds responses back.
	linkOneWay
	// linkSilent forwards nothing and keeps connections open.
	linkSilent
	// linkCut is like linkSilent, but loses what is sent meanwhile: such connections are closed once
	// the link is whole.
	linkCut
)

const (
	// linkDelay is the delay of linkDelayed. linkPollInterval is the time between
	// two checks whether held bytes may be forwarded.
	linkDelay        = 250 * time.Millisecond
	linkPollInterval = 20 * time.Millisecond
	bufferSize       = 32 << 10
)

// proxy forwards connections to a target and injects link faults.
type proxy struct {
	target   netip.AddrPort
	listener net.Listener
	group    *loops.Group

	mu    sync.Mutex
	state linkState
	conns map[net.Conn]bool
}

// newProxy starts a proxy on a free port. It stops with the group.
func newProxy(group *loops.Group, target netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: listener, group: group, conns: map[net.Conn]bool{}}
	group.Go(func(ctx context.Context) {
		stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
		defer stop()
		p.accept()
		// Connections that are left after refuse end with the group.
		<-ctx.Done()
		p.reset()
	})
	return p, nil
}

func (p *proxy) address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

func (p *proxy) setState(state linkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
}

func (p *proxy) getState() linkState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	clear(p.conns)
}

// refuse refuses new connections from now on, or once the link does not hold responses back.
func (p *proxy) refuse() {
	if !p.holds(true) {
		_ = p.listener.Close()
		return
	}
	p.group.Go(func(ctx context.Context) {
		p.awaitFlow(ctx, true)
		_ = p.listener.Close()
	})
}

// holds reports whether the link holds back the bytes of a direction.
func (p *proxy) holds(isResponse bool) bool {
	state := p.getState()
	return state == linkSilent || state == linkCut || state == linkOneWay && isResponse
}

// awaitFlow waits while the link holds back the bytes of a direction. It returns false if ctx
// ends before.
func (p *proxy) awaitFlow(ctx context.Context, isResponse bool) bool {
	for p.holds(isResponse) {
		if ctx.Err() != nil {
			return false
		}
		time.Sleep(linkPollInterval)
	}
	return true
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.group.Go(func(ctx context.Context) { p.forward(ctx, client) })
	}
}

// forward forwards a client's connection to the target until either side closes it.
func (p *proxy) forward(ctx context.Context, client net.Conn) {
	server, err := net.Dial("tcp", p.target.String())
	if err != nil {
		p.awaitFlow(ctx, true)
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	if ctx.Err() != nil {
		p.reset() // the proxy may have closed its connections before this one was added
	}
	responsesDone := make(chan struct{})
	p.group.Go(func(ctx context.Context) {
		defer close(responsesDone)
		p.copy(ctx, client, server, true)
	})
	p.copy(ctx, server, client, false)
	<-responsesDone
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// copy forwards the bytes of one direction, as the link's state allows, and then
// closes both connections.
func (p *proxy) copy(ctx context.Context, to, from net.Conn, isResponse bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if p.getState() == linkDelayed {
			time.Sleep(linkDelay)
		}
		isLost := p.getState() == linkCut
		if !p.awaitFlow(ctx, isResponse) || isLost {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
