package platform

import (
	"slices"
	"strings"
	"time"

	api "github.com/lovagedyke/lovagedyke/internal/platform"
)

// hostChange is a change of a host that takes effect at a point in time.
type hostChange struct {
	at     time.Time
	host   api.Host
	remove bool
}

// hostList is a list of hosts in which changes become visible after a delay.
type hostList struct {
	visible map[string]api.Host
	pending []hostChange
}

// newHostList returns an empty list.
func newHostList() *hostList {
	return &hostList{visible: make(map[string]api.Host)}
}

// change records a change at the given time, which may be in the future.
func (l *hostList) change(at time.Time, host api.Host, remove bool) {
	l.pending = append(l.pending, hostChange{at: at, host: host, remove: remove})
	slices.SortStableFunc(l.pending, func(a, b hostChange) int { return a.at.Compare(b.at) })
}

// latest returns a host with all changes, including those that are not visible yet.
func (l *hostList) latest(name string) (api.Host, bool) {
	for _, change := range slices.Backward(l.pending) {
		if change.host.Name == name {
			return change.host, !change.remove
		}
	}
	host, ok := l.visible[name]
	return host, ok
}

// list returns the visible hosts, sorted by name. Changes are visible once they are
// as old as the lag.
func (l *hostList) list(now time.Time, lag time.Duration) []api.Host {
	for len(l.pending) > 0 && !l.pending[0].at.Add(lag).After(now) {
		l.apply(l.pending[0])
		l.pending = l.pending[1:]
	}
	hosts := make([]api.Host, 0, len(l.visible))
	for _, host := range l.visible {
		hosts = append(hosts, host)
	}
	slices.SortFunc(hosts, func(a, b api.Host) int { return strings.Compare(a.Name, b.Name) })
	return hosts
}

// apply makes a change visible.
func (l *hostList) apply(change hostChange) {
	if change.remove {
		delete(l.visible, change.host.Name)
		return
	}
	l.visible[change.host.Name] = change.host
}
