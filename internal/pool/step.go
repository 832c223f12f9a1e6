package pool

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// step holds the state of one call of Planner.Step.
type step struct {
	planner   *Planner
	now       time.Time
	view      View
	members   map[string]*members
	forecasts map[string]Forecast
	needs     map[string]int
	plan      Plan
}

// record updates the planner with the observation of a pool: the burst pattern,
// unless the loads are stale, and the recent needs.
func (s *step) record(pool Observation) {
	if s.needs == nil {
		s.needs = make(map[string]int)
	}
	load := sanitiseLoad(pool.Load)
	if !s.plan.Stale {
		s.planner.burstPattern.observe(s.view.Observed, pool.Name, load)
	}
	need := max(s.planner.need(load), pool.Minimum)
	s.needs[pool.Name] = need
	recent := append(s.planner.recentNeeds[pool.Name], needSample{at: s.now, hosts: need})
	holdTime := s.planner.holdTime()
	s.planner.recentNeeds[pool.Name] = slices.DeleteFunc(recent, func(n needSample) bool { return s.now.Sub(n.at) > holdTime })
}

// fillMinimums moves hosts into pools that the loss of their largest rack would
// bring below their minimum, regardless of cost.
func (s *step) fillMinimums() {
	for _, pool := range s.view.Pools {
		m := s.members[pool.Name]
		missing := pool.Minimum - m.survivingRackLoss("") - m.incoming
		for range missing {
			if !s.startMove(pool.Name, ReasonMinimum) {
				break
			}
		}
	}
}

// fillByValue starts moves in order of decreasing value, as long as the value
// exceeds the cost of a move.
func (s *step) fillByValue() {
	withoutDonor := make(map[string]bool)
	for {
		best, bestValue, bestReason := "", s.planner.moveValue(), Reason("")
		for _, pool := range s.view.Pools {
			if withoutDonor[pool.Name] {
				continue
			}
			if value, reason := s.value(pool); value > bestValue {
				best, bestValue, bestReason = pool.Name, value, reason
			}
		}
		if best == "" {
			return
		}
		if !s.startMove(best, bestReason) {
			withoutDonor[best] = true
		}
	}
}

// startMove starts a move into the pool and reports whether a host was available.
func (s *step) startMove(to string, reason Reason) bool {
	for _, from := range s.donors(to, reason) {
		minimum := s.minimum(from)
		host, ok := chooseHost(s.members[from], s.members[to], func(h HostView) bool {
			return from == s.planner.config.Spare || s.members[from].survivingRackLoss(h.Name) >= minimum
		})
		if ok {
			s.recordMove(host, to, reason)
			return true
		}
	}
	return false
}

// donors returns the pools that may donate a host: the spare pool first, then
// the others, those with the latest next burst first.
func (s *step) donors(to string, reason Reason) []string {
	out := []string{s.planner.config.Spare}
	if reason == ReasonMaintenance {
		return out
	}
	var others []string
	for _, pool := range s.view.Pools {
		if pool.Name != to && s.canDonate(pool) {
			others = append(others, pool.Name)
		}
	}
	slices.SortStableFunc(others, func(a, b string) int {
		return cmp.Or(
			s.nextBurst(b).Compare(s.nextBurst(a)),
			cmp.Compare(s.members[b].count(), s.members[a].count()),
			cmp.Compare(a, b),
		)
	})
	return append(out, others...)
}

// canDonate reports whether a pool has more hosts than it needs and expects no
// burst before a host could be replaced.
func (s *step) canDonate(pool Observation) bool {
	if len(s.members[pool.Name].serving) <= s.needs[pool.Name] || pool.Backlog > 0 {
		return false
	}
	if b := s.planner.burstPattern.byPool[pool.Name]; b != nil && b.bursting {
		return false
	}
	confident := s.forecasts[pool.Name].Confidence >= minConfidence
	return !confident || s.nextBurst(pool.Name).Sub(s.now) > 2*s.view.MoveTime
}

// nextBurst returns the expected start of a pool's next burst, or a time far in
// the future if there is no forecast.
func (s *step) nextBurst(name string) time.Time {
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

// recordMove adds a move to the plan and updates the members of both pools.
func (s *step) recordMove(host HostView, to string, reason Reason) {
	s.members[host.Pool].removeServing(host)
	s.members[to].addToSpread(host, 1)
	s.members[to].incoming++
	s.plan.Moves = append(s.plan.Moves, PlannedMove{Host: host.Name, From: host.Pool, To: to, Reason: reason})
}

// releaseSurplus moves hosts to the spare pool that were not needed for the hold
// time and are not expected to be needed soon.
func (s *step) releaseSurplus() {
	for _, pool := range s.view.Pools {
		keep := s.keep(pool)
		m := s.members[pool.Name]
		for m.count() > keep {
			host, ok := chooseHost(m, s.members[s.planner.config.Spare], func(h HostView) bool {
				return m.survivingRackLoss(h.Name) >= pool.Minimum
			})
			if !ok {
				break
			}
			s.recordMove(host, s.planner.config.Spare, ReasonSurplus)
		}
	}
}

// keep returns the number of hosts that must stay in a pool: its greatest
// need within the hold time, the largest past burst if one is expected soon, and
// the hosts to replace those under maintenance.
func (s *step) keep(pool Observation) int {
	history := s.planner.recentNeeds[pool.Name]
	holdTime := s.planner.holdTime()
	if len(history) == 0 || s.now.Sub(history[0].at) < holdTime-holdTime/8 || pool.Backlog > 0 {
		return math.MaxInt
	}
	keep := 0
	for _, n := range history {
		keep = max(keep, n.hosts)
	}
	f, ok := s.forecasts[pool.Name]
	if ok && f.Begins.Sub(s.now) < 2*holdTime {
		b := s.planner.burstPattern.byPool[pool.Name]
		keep = max(keep, s.planner.need(slices.Max(append([]float64{0}, b.levels...))))
	}
	if pool.Maintaining > 0 {
		keep = max(keep, s.needs[pool.Name]+pool.Maintaining)
	}
	return keep
}

// addPoolStatuses adds the status of each pool to the plan.
func (s *step) addPoolStatuses() {
	for _, pool := range s.view.Pools {
		m := s.members[pool.Name]
		status := Status{
			Name: pool.Name, Serving: len(m.serving), Incoming: m.incoming, Need: s.needs[pool.Name],
			Short: m.survivingRackLoss("")+m.incoming < pool.Minimum,
		}
		if b := s.planner.burstPattern.byPool[pool.Name]; b != nil {
			status.Bursting = b.bursting
		}
		if f, ok := s.forecasts[pool.Name]; ok {
			status.Forecast = &f
		}
		s.plan.Pools = append(s.plan.Pools, status)
	}
	slices.SortFunc(s.plan.Pools, func(a, b Status) int { return cmp.Compare(a.Name, b.Name) })
}
