package soak

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/loops"
)

// linkState is how a proxy treats its connections.
type linkState int

const (
	linkWell linkState = iota
	// linkDelayed bytes come late.
	linkDelayed
	// linkOneWay requests pass, and answers stay away.
	linkOneWay
	// linkSilent connections pass nothing, and stay open.
	linkSilent
)

const (
	// linkDelay is how late delayed bytes come, linkCheck how often held ones look
	// whether they may go on.
	linkDelay = 250 * time.Millisecond
	linkCheck = 20 * time.Millisecond
	chunk     = 32 << 10
)

// proxy passes connections on to a target and harms them when told to.
type proxy struct {
	target netip.AddrPort
	socket net.Listener
	group  *loops.Group

	mu    sync.Mutex
	state linkState
	conns map[net.Conn]bool
}

// newProxy opens a proxy on a port of its own; it ends with the group.
func newProxy(group *loops.Group, target netip.AddrPort) (*proxy, error) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, socket: socket, group: group, conns: map[net.Conn]bool{}}
	group.Go(func(ctx context.Context) {
		stop := context.AfterFunc(ctx, func() {
			_ = socket.Close()
			p.reset()
		})
		defer stop()
		p.accept()
	})
	return p, nil
}

func (p *proxy) address() netip.AddrPort {
	return netip.MustParseAddrPort(p.socket.Addr().String())
}

func (p *proxy) set(state linkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
}

func (p *proxy) get() linkState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

// reset breaks all open connections.
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

func (p *proxy) accept() {
	for {
		caller, err := p.socket.Accept()
		if err != nil {
			return
		}
		p.group.Go(func(ctx context.Context) { p.pass(ctx, caller) })
	}
}

// pass connects a caller with the target until one of them ends.
func (p *proxy) pass(ctx context.Context, caller net.Conn) {
	server, err := net.Dial("tcp", p.target.String())
	if err != nil {
		_ = caller.Close()
		return
	}
	p.mu.Lock()
	p.conns[caller], p.conns[server] = true, true
	p.mu.Unlock()
	answers := make(chan struct{})
	p.group.Go(func(ctx context.Context) {
		defer close(answers)
		p.copy(ctx, caller, server, true)
	})
	p.copy(ctx, server, caller, false)
	<-answers
	p.mu.Lock()
	delete(p.conns, caller)
	delete(p.conns, server)
	p.mu.Unlock()
}

// copy passes bytes on, as the link's state allows, and closes both ends after.
func (p *proxy) copy(ctx context.Context, to, from net.Conn, isAnswer bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, chunk)
	for {
		n, err := from.Read(buffer)
		if p.get() == linkDelayed {
			time.Sleep(linkDelay)
		}
		for state := p.get(); state == linkSilent || state == linkOneWay && isAnswer; state = p.get() {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(linkCheck)
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
