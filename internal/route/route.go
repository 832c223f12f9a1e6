// Package route chooses the endpoint for a request of one service.
//
// The choice is the least loaded of the usable endpoints, where load is the
// requests in flight from this entry and, by gossip and at a lower weight, from
// its peers, relative to the endpoint's slots. Slow endpoints, endpoints that
// fail and remote data centres count as more loaded. An endpoint that keeps failing is ejected for a time and returns slowly; when most fail
// together nothing is ejected, so that the load stays even.
//
// # Usage
//
// One Picker serves one service at one entry. It has no lock: the caller holds
// one lock per service around every call.
//
//	p := route.New(route.Config{Entry: "entry-1", DataCentre: "suva"})
//	p.SetEndpoints(now, endpoints) // at every change of the list
//	p.SetEntries(7)                // at every change of the roster
//	addr, ok := p.Pick(now, random, tried)
//	if !ok { // no endpoint may be used: the request did not run
//	}
//	// send it, then
//	p.Done(now, addr, route.Succeeded, took)
//
// Every gossip interval send p.Load to the peers, and hand each received
// message to p.SetPeerLoad. p.Capacity feeds share.Scheduler.SetCapacity.
package route

import "net/netip"

// Endpoint is one endpoint of the service as the catalogue and the platform's
// list describe it. A leaving endpoint gets no new work.
type Endpoint struct {
	Address     netip.AddrPort
	DataCentre  string
	Slots       int
	Connections int
	Leaving     bool
}

// EndpointLoad is the requests in flight at an endpoint from one entry.
type EndpointLoad struct {
	Address  netip.AddrPort `json:"address"`
	InFlight int            `json:"in-flight"`
}

// Result is what an attempt tells of its endpoint's health.
type Result uint8

// The results of an attempt. Refused means that the endpoint had no free slot;
// Canceled means that the attempt ended for a reason of the caller's.
const (
	Succeeded Result = iota
	Failed
	Refused
	Canceled
)

// Random is the source of randomness; *rand.Rand of math/rand/v2 is one.
type Random interface {
	IntN(n int) int
}
