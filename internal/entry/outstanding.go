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
	// byEndpoint maps a netip.AddrPort to its *endpointWork, which has a lock of
	// its own, so that requests to different endpoints share none.
	byEndpoint sync.Map
}

// of returns the endpoint's count, made at its first use.
func (o *outstanding) of(endpoint netip.AddrPort) *endpointWork {
	if work, ok := o.byEndpoint.Load(endpoint); ok {
		return work.(*endpointWork)
	}
	work, _ := o.byEndpoint.LoadOrStore(endpoint, &endpointWork{})
	return work.(*endpointWork)
}

// begin counts an attempt.
func (o *outstanding) begin(endpoint netip.AddrPort) {
	work := o.of(endpoint)
	work.mu.Lock()
	defer work.mu.Unlock()
	work.running++
}

// end drops an attempt that is known to have ended.
func (o *outstanding) end(endpoint netip.AddrPort) {
	work := o.of(endpoint)
	work.mu.Lock()
	defer work.mu.Unlock()
	work.running--
}

// linger keeps an attempt in the count until the given time.
func (o *outstanding) linger(endpoint netip.AddrPort, until time.Time) {
	work := o.of(endpoint)
	work.mu.Lock()
	defer work.mu.Unlock()
	work.running--
	work.lingering = append(work.lingering, until)
}

// at returns the attempts at the endpoint that may still run.
func (o *outstanding) at(endpoint netip.AddrPort, now time.Time) int {
	work := o.of(endpoint)
	work.mu.Lock()
	defer work.mu.Unlock()
	work.lingering = slices.DeleteFunc(work.lingering, func(until time.Time) bool { return !until.After(now) })
	return work.running + len(work.lingering)
}

// endpointWork is the count of one endpoint.
type endpointWork struct {
	mu        sync.Mutex
	running   int
	lingering []time.Time
}
