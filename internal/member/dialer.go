package member

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/courier/courierpb"
	"github.com/lovagedyke/lovagedyke/internal/member/memberpb"
)

const (
	// peerTimeout bounds a call to another process.
	peerTimeout = 1500 * time.Millisecond
	// dialTimeout bounds opening a connection to another process.
	dialTimeout = 300 * time.Millisecond
	// maxIdlePeerConns is the number of idle connections kept per process.
	maxIdlePeerConns = 4
)

// dialFunc opens a connection, as net.Dialer's DialContext does.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// dialer caches one client per address.
type dialer struct {
	http    *http.Client
	mu      sync.Mutex
	clients map[netip.AddrPort]memberpb.Member
}

// newDialer returns a dialer whose connections are opened by dial, or over TCP if it is nil.
func newDialer(dial dialFunc) *dialer {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext
	}
	transport := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdlePeerConns,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &dialer{
		http:    &http.Client{Transport: transport, Timeout: peerTimeout},
		clients: map[netip.AddrPort]memberpb.Member{},
	}
}

// dial returns the client for an address.
func (d *dialer) dial(address netip.AddrPort) memberpb.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	client, ok := d.clients[address]
	if !ok {
		client = memberpb.NewMemberProtobufClient("http://"+address.String(), d.http)
		d.clients[address] = client
	}
	return client
}

// dialCourier returns a courier's client, on the same connections.
func (d *dialer) dialCourier(address netip.AddrPort) courierpb.Courier {
	return courierpb.NewCourierProtobufClient("http://"+address.String(), d.http)
}
