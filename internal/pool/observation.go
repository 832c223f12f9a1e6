package pool

import (
	"cmp"
	"slices"
	"time"
)

// HostView describes a host to the planner.
type HostView struct {
	Name       string `json:"name"`
	Rack       string `json:"rack"`
	DataCentre string `json:"data-centre"`
	// Pool is the pool that the host serves, or leaves if Target is set.
	Pool string `json:"pool"`
	// Target is the pool that a moving host serves next.
	Target string `json:"target,omitempty"`
	// Down is set while the host has failed or is under maintenance.
	Down bool `json:"down,omitempty"`
}

// rack returns a name of the host's rack that is unique across data centres.
func (h HostView) rack() string { return h.DataCentre + "/" + h.Rack }

// Observation describes the observed state of a pool.
type Observation struct {
	Name string `json:"name"`
	// Load is the number of hosts that the arriving work keeps busy.
	Load float64 `json:"load"`
	// Backlog is the time that one host would need for the waiting work.
	Backlog time.Duration `json:"backlog"`
	// Minimum is the number of serving hosts that the availability budget
	// requires after the loss of the pool's largest rack.
	Minimum int `json:"minimum"`
	// Maintaining is the number of hosts that are waiting for maintenance or
	// under maintenance.
	Maintaining int `json:"maintaining,omitempty"`
}

// View is the input of Planner.Step. Hosts of pools that are not listed are
// ignored.
type View struct {
	Pools []Observation
	Hosts []HostView
	// Observed is the time at which the loads were measured.
	Observed time.Time
	// MoveTime is the 90th percentile of the time that a move takes, from the
	// start of the drain to the change of the pool.
	MoveTime time.Duration
}

// members holds the hosts of one pool during a step.
type members struct {
	serving []HostView
	// incoming is the number of hosts that are moving into the pool.
	incoming int
	// racks and centres count the serving and incoming hosts of each rack and
	// data centre.
	racks   map[string]int
	centres map[string]int
}

func newMembers() *members {
	return &members{racks: make(map[string]int), centres: make(map[string]int)}
}

func (m *members) count() int { return len(m.serving) + m.incoming }

// addToSpread adds n to the counts of the host's rack and data centre.
func (m *members) addToSpread(h HostView, n int) {
	m.racks[h.rack()] += n
	m.centres[h.DataCentre] += n
}

// removeServing removes a serving host.
func (m *members) removeServing(h HostView) {
	m.serving = slices.DeleteFunc(m.serving, func(s HostView) bool { return s.Name == h.Name })
	m.addToSpread(h, -1)
}

// survivingRackLoss returns the number of serving hosts, other than the excluded
// one, that remain after the loss of the largest rack.
func (m *members) survivingRackLoss(excluded string) int {
	racks, serving, largest := make(map[string]int), 0, 0
	for _, h := range m.serving {
		if h.Name == excluded {
			continue
		}
		serving++
		racks[h.rack()]++
		largest = max(largest, racks[h.rack()])
	}
	return serving - largest
}

// groupByPool groups the hosts that are up by the pool they serve or move into.
func groupByPool(view View, spare string) map[string]*members {
	out := map[string]*members{spare: newMembers()}
	for _, p := range view.Pools {
		out[p.Name] = newMembers()
	}
	for _, h := range view.Hosts {
		m, ok := out[cmp.Or(h.Target, h.Pool)]
		if !ok || h.Down {
			continue
		}
		m.addToSpread(h, 1)
		if h.Target == "" {
			m.serving = append(m.serving, h)
		} else {
			m.incoming++
		}
	}
	for _, m := range out {
		slices.SortFunc(m.serving, func(a, b HostView) int { return cmp.Compare(a.Name, b.Name) })
	}
	return out
}

// chooseHost returns the allowed host whose move leaves both pools best spread
// over racks and data centres: a host from where the receiving pool has the
// fewest hosts and then the donor has the most.
func chooseHost(from, to *members, allowed func(HostView) bool) (HostView, bool) {
	candidates := slices.DeleteFunc(slices.Clone(from.serving), func(h HostView) bool { return !allowed(h) })
	if len(candidates) == 0 {
		return HostView{}, false
	}
	return slices.MinFunc(candidates, func(a, b HostView) int {
		return cmp.Or(
			cmp.Compare(to.racks[a.rack()], to.racks[b.rack()]),
			cmp.Compare(to.centres[a.DataCentre], to.centres[b.DataCentre]),
			cmp.Compare(from.racks[b.rack()], from.racks[a.rack()]),
			cmp.Compare(from.centres[b.DataCentre], from.centres[a.DataCentre]),
			cmp.Compare(a.Name, b.Name),
		)
	}), true
}
