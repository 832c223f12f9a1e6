package pool

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// step is the state of one call of Step.
type step struct {
	planner   *Planner
	now       time.Time
	view      View
	members   map[string]*members
	forecasts map[string]Forecast
	needs     map[string]int
	plan      Plan
}

// take learns from the observation of a pool.
func (s *step) take(pool Observation) {
	if s.needs == nil {
		s.needs = make(map[string]int)
	}
	load := sane(pool.Load)
	if !s.plan.Stale {
		s.planner.rhythm.observe(s.view.Observed, pool.Name, load)
	}
	need := max(s.planner.need(load), pool.Minimum)
	s.needs[pool.Name] = need
	recent := append(s.planner.needed[pool.Name], neededAt{at: s.now, hosts: need})
	hold := s.planner.hold()
	s.planner.needed[pool.Name] = slices.DeleteFunc(recent, func(n neededAt) bool { return s.now.Sub(n.at) > hold })
}

// fillMinimums moves hosts into pools that a rack's loss would bring below
// their minimum, whatever it costs.
func (s *step) fillMinimums() {
	for _, pool := range s.view.Pools {
		m := s.members[pool.Name]
		missing := pool.Minimum - m.survivors("") - m.incoming
		for range missing {
			if !s.start(pool.Name, ReasonMinimum) {
				break
			}
		}
	}
}

// fillByValue starts the most valuable moves first, as long as they pay.
func (s *step) fillByValue() {
	closed := make(map[string]bool)
	for {
		best, bestValue, bestReason := "", s.planner.moveValue(), Reason("")
		for _, pool := range s.view.Pools {
			if closed[pool.Name] {
				continue
			}
			if value, reason := s.value(pool); value > bestValue {
				best, bestValue, bestReason = pool.Name, value, reason
			}
		}
		if best == "" {
			return
		}
		if !s.start(best, bestReason) {
			closed[best] = true
		}
	}
}

// start begins a move into the pool, if a host can be found.
func (s *step) start(to string, reason Reason) bool {
	for _, from := range s.donors(to, reason) {
		minimum := s.minimum(from)
		host, ok := choose(s.members[from], s.members[to], func(h HostView) bool {
			return from == s.planner.config.Spare || s.members[from].survivors(h.Name) >= minimum
		})
		if ok {
			s.move(host, to, reason)
			return true
		}
	}
	return false
}

// donors returns the pools that may give a host: the spare pool first, then
// those whose next burst is the furthest away.
func (s *step) donors(to string, reason Reason) []string {
	out := []string{s.planner.config.Spare}
	if reason == ReasonMaintenance {
		return out
	}
	var others []string
	for _, pool := range s.view.Pools {
		if pool.Name != to && s.mayGive(pool) {
			others = append(others, pool.Name)
		}
	}
	slices.SortStableFunc(others, func(a, b string) int {
		return cmp.Or(
			s.nextUse(b).Compare(s.nextUse(a)),
			cmp.Compare(s.members[b].count(), s.members[a].count()),
			cmp.Compare(a, b),
		)
	})
	return append(out, others...)
}

// mayGive reports whether a pool has a host beyond its need and expects no
// burst before the host could be replaced.
func (s *step) mayGive(pool Observation) bool {
	if len(s.members[pool.Name].serving) <= s.needs[pool.Name] || pool.Backlog > 0 {
		return false
	}
	if b := s.planner.rhythm.byPool[pool.Name]; b != nil && b.bursting {
		return false
	}
	sure := s.forecasts[pool.Name].Confidence >= leastConfidence
	return !sure || s.nextUse(pool.Name).Sub(s.now) > 2*s.view.MoveTime
}

// nextUse is when a pool is expected to burst; far away when that is not known.
func (s *step) nextUse(name string) time.Time {
	if f, ok := s.forecasts[name]; ok {
		return f.Begins
	}
	return s.now.Add(time.Hour)
}

func (s *step) minimum(name string) int {
	for _, pool := range s.view.Pools {
		if pool.Name == name {
			return pool.Minimum
		}
	}
	return 0
}

// move records a move that starts now.
func (s *step) move(host HostView, to string, reason Reason) {
	s.members[host.Pool].leave(host)
	s.members[to].join(host, 1)
	s.members[to].incoming++
	s.plan.Moves = append(s.plan.Moves, PlannedMove{Host: host.Name, From: host.Pool, To: to, Reason: reason})
}

// release sends hosts to the spare pool that were not needed for the hold time
// and will not be needed soon enough to be worth the wait.
func (s *step) release() {
	for _, pool := range s.view.Pools {
		keep := s.keep(pool)
		m := s.members[pool.Name]
		for m.count() > keep {
			host, ok := choose(m, s.members[s.planner.config.Spare], func(h HostView) bool {
				return m.survivors(h.Name) >= pool.Minimum
			})
			if !ok {
				break
			}
			s.move(host, s.planner.config.Spare, ReasonSurplus)
		}
	}
}

// keep is the number of hosts that stay in a pool.
func (s *step) keep(pool Observation) int {
	history := s.planner.needed[pool.Name]
	hold := s.planner.hold()
	if len(history) == 0 || s.now.Sub(history[0].at) < hold-hold/8 || pool.Backlog > 0 {
		return math.MaxInt
	}
	keep := 0
	for _, n := range history {
		keep = max(keep, n.hosts)
	}
	f, ok := s.forecasts[pool.Name]
	if ok && f.Begins.Sub(s.now) < 2*hold {
		b := s.planner.rhythm.byPool[pool.Name]
		keep = max(keep, s.planner.need(slices.Max(append([]float64{0}, b.levels...))))
	}
	if pool.Maintaining > 0 {
		keep = max(keep, s.needs[pool.Name]+pool.Maintaining)
	}
	return keep
}

// describe fills the pools of the plan.
func (s *step) describe() {
	for _, pool := range s.view.Pools {
		m := s.members[pool.Name]
		entry := Status{
			Name: pool.Name, Serving: len(m.serving), Incoming: m.incoming, Need: s.needs[pool.Name],
			Short: m.survivors("")+m.incoming < pool.Minimum,
		}
		if b := s.planner.rhythm.byPool[pool.Name]; b != nil {
			entry.Bursting = b.bursting
		}
		if f, ok := s.forecasts[pool.Name]; ok {
			entry.Forecast = &f
		}
		s.plan.Pools = append(s.plan.Pools, entry)
	}
	slices.SortFunc(s.plan.Pools, func(a, b Status) int { return cmp.Compare(a.Name, b.Name) })
}
