package experiment

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/route"
)

// pickerChooser chooses with a route.Picker, the policy under test.
type pickerChooser struct {
	bench  *routeBench
	picker *route.Picker
}

func newPicker(cfg route.Config) func(*routeBench, *routeEntry) chooser {
	return func(b *routeBench, e *routeEntry) chooser {
		cfg.Entry = b.deployment.entry(e.index)
		cfg.DataCentre = b.deployment.dataCentre(e.index)
		p := route.New(cfg)
		p.SetEndpoints(b.now, b.deployment.endpointList())
		p.SetEntries(b.deployment.Entries)
		return &pickerChooser{bench: b, picker: p}
	}
}

func (c *pickerChooser) pick() (int, bool) {
	addr, ok := c.picker.Pick(c.bench.now, c.bench.policyRandom, nil)
	return int(addr.Port()) - firstPort, ok
}

func (c *pickerChooser) done(endpoint int, result route.Result, took time.Duration) {
	c.picker.Done(c.bench.now, endpointAddress(endpoint), result, took)
}

// randomChoice picks an endpoint at random.
type randomChoice struct{ bench *routeBench }

func newRandomChoice(b *routeBench, _ *routeEntry) chooser { return randomChoice{b} }

func (c randomChoice) pick() (int, bool) {
	return c.bench.policyRandom.IntN(c.bench.deployment.Endpoints), true
}

func (c randomChoice) done(int, route.Result, time.Duration) {}

// roundRobin picks the endpoints in turn.
type roundRobin struct {
	n    int
	last int
}

func newRoundRobin(b *routeBench, e *routeEntry) chooser {
	return &roundRobin{n: b.deployment.Endpoints, last: e.index}
}

func (c *roundRobin) pick() (int, bool) {
	c.last = (c.last + 1) % c.n
	return c.last, true
}

func (c *roundRobin) done(int, route.Result, time.Duration) {}

// leastLocal picks the endpoint with the fewest requests in flight from its own
// entry.
type leastLocal struct {
	bench    *routeBench
	inFlight []int
}

func newLeastLocal(b *routeBench, _ *routeEntry) chooser {
	return &leastLocal{bench: b, inFlight: make([]int, b.deployment.Endpoints)}
}

func (c *leastLocal) pick() (int, bool) {
	best := -1
	for _, i := range c.bench.policyRandom.Perm(len(c.inFlight)) {
		if best < 0 || c.inFlight[i] < c.inFlight[best] {
			best = i
		}
	}
	c.inFlight[best]++
	return best, true
}

func (c *leastLocal) done(endpoint int, _ route.Result, _ time.Duration) {
	c.inFlight[endpoint]--
}

// permits limits each entry to a fixed set of endpoint slots. The sets are
// disjoint, so no endpoint gets more requests than it has slots.
type permits struct {
	bench *routeBench
	free  []int
}

// newInterleavedPermits assigns the slots of each endpoint to the entries in turn.
func newInterleavedPermits(b *routeBench, e *routeEntry) chooser {
	return newPermits(b, func(slot int) bool { return slot%b.deployment.Entries == e.index })
}

// newContiguousPermits assigns each entry consecutive slots, so that it uses only a
// few endpoints.
func newContiguousPermits(b *routeBench, e *routeEntry) chooser {
	return newPermits(b, func(slot int) bool {
		return slot*b.deployment.Entries/b.deployment.slots() == e.index
	})
}

func newPermits(b *routeBench, owns func(slot int) bool) chooser {
	c := &permits{bench: b, free: make([]int, b.deployment.Endpoints)}
	for slot := range b.deployment.slots() {
		if owns(slot) {
			c.free[slot/slotsPerEndpoint]++
		}
	}
	return c
}

func (c *permits) pick() (int, bool) {
	best := -1
	for _, i := range c.bench.policyRandom.Perm(len(c.free)) {
		if c.free[i] > 0 && (best < 0 || c.free[i] > c.free[best]) {
			best = i
		}
	}
	if best < 0 {
		return 0, false
	}
	c.free[best]--
	return best, true
}

func (c *permits) done(endpoint int, _ route.Result, _ time.Duration) {
	c.free[endpoint]++
}
