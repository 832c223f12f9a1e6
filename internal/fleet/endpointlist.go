package fleet

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

// addEndpoint adds an endpoint to the known ones.
func (l *Leader) addEndpoint(e *endpoint) {
	l.endpoints[e.row.ID] = e
	at, _ := l.findEndpoint(e.row.ID)
	// A copy: the former list may be in iteration.
	l.endpointList = slices.Insert(slices.Clone(l.endpointList), at, e)
	l.endpointChanges++
	l.addToHost(e)
}

// deleteEndpoint removes an endpoint from the known ones.
func (l *Leader) deleteEndpoint(e *endpoint, now time.Time) {
	at, ok := l.findEndpoint(e.row.ID)
	if !ok {
		return
	}
	l.keepOrders(e, now)
	delete(l.endpoints, e.row.ID)
	delete(l.unpersisted, e.row.ID)
	l.endpointList = slices.Delete(slices.Clone(l.endpointList), at, at+1)
	l.endpointChanges++
	l.removeFromHost(e)
}

// setRow replaces an endpoint's row.
func (l *Leader) setRow(e *endpoint, row EndpointRow) {
	if row.Host == e.row.Host {
		e.row = row
		return
	}
	l.removeFromHost(e)
	e.row = row
	l.addToHost(e)
}

func (l *Leader) addToHost(e *endpoint) {
	id := HostID(e.row.Host)
	l.endpointsByHost[id] = append(slices.Clone(l.endpointsByHost[id]), e)
}

func (l *Leader) removeFromHost(e *endpoint) {
	id := HostID(e.row.Host)
	left := slices.DeleteFunc(slices.Clone(l.endpointsByHost[id]), func(other *endpoint) bool { return other == e })
	if len(left) == 0 {
		delete(l.endpointsByHost, id)
		return
	}
	l.endpointsByHost[id] = left
}

// findEndpoint returns an endpoint's place in the list, which is in the order of IDs, and whether it
// is there.
func (l *Leader) findEndpoint(id EndpointID) (int, bool) {
	return slices.BinarySearchFunc(l.endpointList, id, func(e *endpoint, id EndpointID) int { return cmp.Compare(e.row.ID, id) })
}

// endpointsOf returns the endpoints whose host is the given one, by their rows or else by the host
// list.
func (l *Leader) endpointsOf(id HostID) iter.Seq[*endpoint] {
	return func(yield func(*endpoint) bool) {
		l.visit(len(l.endpointsByHost[id]) + len(l.endpointsByHost[""]))
		for _, e := range l.endpointsByHost[id] {
			if !yield(e) {
				return
			}
		}
		for _, e := range l.endpointsByHost[""] {
			if e.lastHost == id && !yield(e) {
				return
			}
		}
	}
}

// EndpointChanges counts the endpoints that have become known or unknown: while it is the same,
// EndpointIDs returns the same.
func (l *Leader) EndpointChanges() int {
	return l.endpointChanges
}
