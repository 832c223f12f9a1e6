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
// the observed burst and the work that waits; 0 if no work will be late.
func (s *step) overloaded(pool Observation) time.Duration {
	hosts := max(1, float64(s.members[pool.Name].count()))
	excess := pool.Load - hosts*s.planner.config.Utilisation
	remaining := s.remaining(pool.Name, excess)
	waiting := pool.Backlog.Seconds() + excess*remaining.Seconds()
	late := waiting - hosts*s.planner.config.MaxWait.Seconds()
	if late <= 0 {
		return 0
	}
	catchUp := late / hosts
	if remaining == 0 {
		catchUp = late / max(1, -excess)
	}
	useful := remaining.Seconds() + catchUp - s.view.MoveTime.Seconds()
	return time.Duration(max(0, useful) * float64(time.Second))
}

// remaining is how long a load beyond the pool's hosts is expected to last.
func (s *step) remaining(name string, excess float64) time.Duration {
	b := s.planner.rhythm.byPool[name]
	if excess <= 0 || b == nil {
		return 0
	}
	if !b.bursting {
		return s.planner.config.BurstLength
	}
	elapsed := s.now.Sub(b.began.Add(-s.planner.config.Lag))
	return max(s.view.MoveTime, b.length(s.planner.config.BurstLength)-elapsed)
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
	slack := 1 + s.planner.config.MaxWait.Seconds()/max(1, f.Ends.Sub(f.Begins).Seconds())
	level := float64(s.members[name].count()) * s.planner.config.Utilisation * slack
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
