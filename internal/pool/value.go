package pool

import "time"

// value is what one more host is worth to a pool, in idle seconds of a host.
func (s *step) value(pool Observation) (float64, Reason) {
	late := s.planner.lateValue()
	best, reason := late*s.overloaded(pool).Seconds(), ReasonLoad
	if v := late * s.expected(pool.Name); v > best {
		best, reason = v, ReasonForecast
	}
	if v := s.lent(pool); v > best {
		best, reason = v, ReasonMaintenance
	}
	return best, reason
}

// overloaded is how long one more host would be of use, from its arrival on, to
// the observed burst and the work that waits.
func (s *step) overloaded(pool Observation) time.Duration {
	hosts := float64(s.members[pool.Name].count())
	busy := hosts * s.planner.config.Utilisation
	excess := pool.Load - busy
	remaining := time.Duration(0)
	if b := s.planner.rhythm.byPool[pool.Name]; excess > 0 && b != nil {
		remaining = s.planner.config.FirstBurst
		if b.bursting {
			elapsed := s.now.Sub(b.began.Add(-s.planner.config.Lag))
			remaining = max(s.view.MoveTime, b.length(s.planner.config.FirstBurst)-elapsed)
		}
	}
	waiting := pool.Backlog.Seconds() + max(0, excess)*remaining.Seconds()
	capacity := max(1, hosts)
	if remaining == 0 {
		capacity = max(1, hosts-pool.Load)
	}
	useful := remaining.Seconds() + waiting/capacity - s.view.MoveTime.Seconds()
	return time.Duration(max(0, useful) * float64(time.Second))
}

// expected is how many seconds one more host would be of use to the burst that
// is expected by the time that the host arrives.
func (s *step) expected(name string) float64 {
	f, ok := s.forecasts[name]
	b := s.planner.rhythm.byPool[name]
	if !ok || b == nil || b.bursting {
		return 0
	}
	arrival := s.now.Add(s.view.MoveTime)
	if f.Begins.After(arrival.Add(s.planner.early())) {
		return 0
	}
	useful := f.Ends.Sub(later(arrival, f.Begins)).Seconds()
	level := float64(s.members[name].count()) * s.planner.config.Utilisation
	return max(0, useful) * f.Confidence * b.reaches(level)
}

// early is how long before a burst hosts arrive, for rhythms are not exact.
func (p *Planner) early() time.Duration { return p.config.Lag }

// lent is what one more host is worth to the maintenance of a pool.
func (s *step) lent(pool Observation) float64 {
	beyond := s.members[pool.Name].count() - s.needs[pool.Name]
	if pool.Maintaining <= max(0, beyond) || len(s.members[s.planner.config.Spare].serving) == 0 {
		return 0
	}
	return s.planner.weights.RollOutTime * lentValue.Seconds() / float64(1+max(0, beyond))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
