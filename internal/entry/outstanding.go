package entry

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

// outstanding counts the attempts at each endpoint that may still run: those
// under way, and those without a known end until their longest run is over.
type outstanding struct {
	mu        sync.Mutex
	running   map[netip.AddrPort]int
	lingering map[netip.AddrPort][]time.Time
}

// newOutstanding returns an empty count.
func newOutstanding() *outstanding {
	return &outstanding{
		running:   make(map[netip.AddrPort]int),
		lingering: make(map[netip.AddrPort][]time.Time),
	}
}

// begin counts an attempt.
func (o *outstanding) begin(endpoint netip.AddrPort) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.running[endpoint]++
}

// end drops an attempt that is known to have ended.
func (o *outstanding) end(endpoint netip.AddrPort) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drop(endpoint)
}

// linger keeps an attempt in the count until the given time.
func (o *outstanding) linger(endpoint netip.AddrPort, until time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drop(endpoint)
	o.lingering[endpoint] = append(o.lingering[endpoint], until)
}

// drop ends one attempt; the caller holds the lock.
func (o *outstanding) drop(endpoint netip.AddrPort) {
	o.running[endpoint]--
	if o.running[endpoint] == 0 {
		delete(o.running, endpoint)
	}
}

// at returns the attempts at the endpoint that may still run.
func (o *outstanding) at(endpoint netip.AddrPort, now time.Time) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	left := slices.DeleteFunc(o.lingering[endpoint], func(until time.Time) bool { return !until.After(now) })
	if len(left) == 0 {
		delete(o.lingering, endpoint)
	} else {
		o.lingering[endpoint] = left
	}
	return o.running[endpoint] + len(left)
}
