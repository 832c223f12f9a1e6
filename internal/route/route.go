// Package route chooses the endpoint for a request of one service.
//
// It chooses the least loaded of the usable endpoints. The load of an endpoint is
// the number of requests in flight relative to its slots: those from this entry
// and, at a lower weight, those that peers report by gossip. Slow or failing
// endpoints and those in other data centres count as more loaded. An endpoint
// that keeps failing is ejected for a time and then returns with limited load.
// When most endpoints fail, none is ejected, so that the load stays even.
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
//	if !ok { // no endpoint is usable: the request did not run
//	}
//	// send the request, then
//	p.Done(now, addr, route.Succeeded, took)
//
// At every gossip interval send p.Load to the peers, and pass each received
// message to p.SetPeerLoad. Pass p.Capacity to share.Scheduler.SetCapacity.
package route

import "net/netip"

// Endpoint describes an endpoint of the service, as given by the catalogue and
// the platform's list. A leaving endpoint gets no new work.
type Endpoint struct {
	Address     netip.AddrPort
	DataCentre  string
	Slots       int
	Connections int
	Leaving     bool
}

// EndpointLoad is the number of requests in flight at an endpoint from one entry.
type EndpointLoad struct {
	Address  netip.AddrPort `json:"address"`
	InFlight int            `json:"in-flight"`
}

// Result is the result of an attempt with regard to the endpoint's health.
type Result uint8

// Results of an attempt. Refused means that the endpoint had no free slot.
// Canceled means that the attempt ended for a reason on the caller's side.
const (
	Succeeded Result = iota
	Failed
	Refused
	Canceled
)

// Random is a source of random numbers, such as *rand.Rand of math/rand/v2.
type Random interface {
	IntN(n int) int
}
