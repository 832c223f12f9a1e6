package pool

import (
	"cmp"
	"slices"
	"time"
)

// HostView is a host as the planner sees it.
type HostView struct {
	Name       string `json:"name"`
	Rack       string `json:"rack"`
	DataCentre string `json:"data-centre"`
	// Pool is the pool that the host serves, or leaves when Target is set.
	Pool string `json:"pool"`
	// Target is the pool that a moving host serves next.
	Target string `json:"target,omitempty"`
	// Down hosts have failed or are in maintenance.
	Down bool `json:"down,omitempty"`
}

// rack names the host's rack across data centres.
func (h HostView) rack() string { return h.DataCentre + "/" + h.Rack }

// Observation is a pool as observed.
type Observation struct {
	Name string `json:"name"`
	// Load is the number of hosts that the arriving work keeps busy.
	Load float64 `json:"load"`
	// Backlog is the time that one host would take for the work that waits.
	Backlog time.Duration `json:"backlog"`
	// Minimum is the number of serving hosts that the availability budget asks
	// for after the loss of the pool's largest rack.
	Minimum int `json:"minimum"`
	// Maintaining is the number of hosts that wait for maintenance or are in it.
	Maintaining int `json:"maintaining,omitempty"`
}

// View is what the planner decides from. Hosts of pools that are not listed
// are left alone.
type View struct {
	Pools []Observation
	Hosts []HostView
	// Observed is when the loads were measured.
	Observed time.Time
	// MoveTime is how long a drain and the change of the pool take, at the
	// 90th percentile.
	MoveTime time.Duration
}

// members are the hosts of one pool during a step.
type members struct {
	serving []HostView
	// incoming hosts are on their way into the pool.
	incoming int
	racks    map[string]int
	centres  map[string]int
}

func newMembers() *members {
	return &members{racks: make(map[string]int), centres: make(map[string]int)}
}

func (m *members) count() int { return len(m.serving) + m.incoming }

// join counts a host that serves the pool or is on its way into it.
func (m *members) join(h HostView, n int) {
	m.racks[h.rack()] += n
	m.centres[h.DataCentre] += n
}

// leave removes a serving host.
func (m *members) leave(h HostView) {
	m.serving = slices.DeleteFunc(m.serving, func(s HostView) bool { return s.Name == h.Name })
	m.join(h, -1)
}

// survivors is the number of serving hosts after the loss of the largest rack,
// without the host that is left out.
func (m *members) survivors(without string) int {
	racks, serving, largest := make(map[string]int), 0, 0
	for _, h := range m.serving {
		if h.Name == without {
			continue
		}
		serving++
		racks[h.rack()]++
		largest = max(largest, racks[h.rack()])
	}
	return serving - largest
}

// group sorts the hosts by pool.
func group(view View, spare string) map[string]*members {
	out := map[string]*members{spare: newMembers()}
	for _, p := range view.Pools {
		out[p.Name] = newMembers()
	}
	for _, h := range view.Hosts {
		m, ok := out[cmp.Or(h.Target, h.Pool)]
		if !ok || h.Down {
			continue
		}
		m.join(h, 1)
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

// choose returns the host of the giving pool whose move leaves both pools best
// spread: it comes from the rack and data centre where the taking pool has the
// fewest hosts and then the giving pool the most.
func choose(from, to *members, allowed func(HostView) bool) (HostView, bool) {
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
