package entry

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

// outstanding counts the attempts at each endpoint that may still be running:
// those in progress, and those with an unknown end until their maximum run time
// has passed.
type outstanding struct {
	// byEndpoint maps a netip.AddrPort to its *endpointAttempts, which has its
	// own lock, so that requests to different endpoints do not contend.
	byEndpoint sync.Map
}

// counter returns the endpoint's counter and creates it on first use.
func (o *outstanding) counter(endpoint netip.AddrPort) *endpointAttempts {
	if attempts, ok := o.byEndpoint.Load(endpoint); ok {
		return attempts.(*endpointAttempts)
	}
	attempts, _ := o.byEndpoint.LoadOrStore(endpoint, &endpointAttempts{})
	return attempts.(*endpointAttempts)
}

// begin counts a new attempt.
func (o *outstanding) begin(endpoint netip.AddrPort) {
	attempts := o.counter(endpoint)
	attempts.mu.Lock()
	defer attempts.mu.Unlock()
	attempts.running++
}

// end removes an attempt that is known to have ended.
func (o *outstanding) end(endpoint netip.AddrPort) {
	attempts := o.counter(endpoint)
	attempts.mu.Lock()
	defer attempts.mu.Unlock()
	attempts.running--
}

// linger keeps an attempt in the count until the given time.
func (o *outstanding) linger(endpoint netip.AddrPort, until time.Time) {
	attempts := o.counter(endpoint)
	attempts.mu.Lock()
	defer attempts.mu.Unlock()
	attempts.running--
	attempts.lingering = append(attempts.lingering, until)
}

// count returns the number of attempts that may still be running at the
// endpoint.
func (o *outstanding) count(endpoint netip.AddrPort, now time.Time) int {
	attempts := o.counter(endpoint)
	attempts.mu.Lock()
	defer attempts.mu.Unlock()
	attempts.lingering = slices.DeleteFunc(attempts.lingering, func(until time.Time) bool { return !until.After(now) })
	return attempts.running + len(attempts.lingering)
}

// endpointAttempts counts the attempts at one endpoint. lingering holds the
// times until which attempts with an unknown end are counted.
type endpointAttempts struct {
	mu        sync.Mutex
	running   int
	lingering []time.Time
}
