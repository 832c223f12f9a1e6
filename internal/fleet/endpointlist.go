package fleet

import (
	"cmp"
	"slices"
)

// addEndpoint adds an endpoint to the known ones.
func (l *Leader) addEndpoint(e *endpoint) {
	l.endpoints[e.row.ID] = e
	at, _ := l.findEndpoint(e.row.ID)
	// A copy: the former list may be in iteration.
	l.endpointList = slices.Insert(slices.Clone(l.endpointList), at, e)
	l.endpointChanges++
}

// deleteEndpoint removes an endpoint from the known ones.
func (l *Leader) deleteEndpoint(id EndpointID) {
	delete(l.endpoints, id)
	if at, ok := l.findEndpoint(id); ok {
		l.endpointList = slices.Delete(slices.Clone(l.endpointList), at, at+1)
		l.endpointChanges++
	}
}

// findEndpoint returns an endpoint's place in the list, which is in the order of IDs, and whether it
// is there.
func (l *Leader) findEndpoint(id EndpointID) (int, bool) {
	return slices.BinarySearchFunc(l.endpointList, id, func(e *endpoint, id EndpointID) int { return cmp.Compare(e.row.ID, id) })
}

// EndpointChanges counts the endpoints that have become known or unknown: while it is the same,
// EndpointIDs returns the same.
func (l *Leader) EndpointChanges() int {
	return l.endpointChanges
}
