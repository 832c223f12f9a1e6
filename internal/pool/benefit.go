package pool

import "time"

// value returns the value of one more host to a pool, in idle seconds of a
// host, and the main reason for it.
func (s *step) value(pool Observation) (float64, Reason) {
	late := s.planner.lateValue()
	best, reason := late*s.overloadBenefit(pool).Seconds(), ReasonLoad
	if v := late * s.forecastBenefit(pool.Name); v > best {
		best, reason = v, ReasonForecast
	}
	if v := s.lendingBenefit(pool); v > best {
		best, reason = v, ReasonMaintenance
	}
	return best, reason
}

// overloadBenefit returns how long one more host would be used, from its arrival
// on, by the observed burst and the backlog. It is 0 if no work will be late.
func (s *step) overloadBenefit(pool Observation) time.Duration {
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

// remaining returns how long a load in excess of the pool's capacity is
// expected to last.
func (s *step) remaining(name string, excess float64) time.Duration {
	b := s.planner.burstPattern.byPool[name]
	if excess <= 0 || b == nil {
		return 0
	}
	if !b.bursting {
		return s.planner.config.BurstLength
	}
	elapsed := s.now.Sub(b.startedAt.Add(-s.planner.config.Lag))
	return max(s.view.MoveTime, b.typicalLength(s.planner.config.BurstLength)-elapsed)
}

// forecastBenefit returns for how many seconds one more host is expected to be
// used by the burst that is forecast for the time of the host's arrival.
func (s *step) forecastBenefit(name string) float64 {
	f, ok := s.forecasts[name]
	b := s.planner.burstPattern.byPool[name]
	if !ok || b == nil || b.bursting {
		return 0
	}
	arrival := s.now.Add(s.view.MoveTime)
	if f.Begins.After(arrival.Add(s.planner.forecastLead())) {
		return 0
	}
	useful := f.Ends.Sub(latest(arrival, f.Begins)).Seconds()
	slack := 1 + s.planner.config.MaxWait.Seconds()/max(1, f.Ends.Sub(f.Begins).Seconds())
	level := float64(s.members[name].count()) * s.planner.config.Utilisation * slack
	return max(0, useful) * f.Confidence * b.fractionReaching(level)
}

// forecastLead returns how long before a forecast burst hosts should arrive,
// because forecasts are not exact.
func (p *Planner) forecastLead() time.Duration { return p.config.Lag }

// lendingBenefit returns the value of one more host to the maintenance of a
// pool, in idle seconds of a host.
func (s *step) lendingBenefit(pool Observation) float64 {
	surplus := s.members[pool.Name].count() - s.needs[pool.Name]
	if pool.Maintaining <= max(0, surplus) || len(s.members[s.planner.config.Spare].serving) == 0 {
		return 0
	}
	return s.planner.weights.RollOutTime * lendingValue.Seconds() / float64(1+max(0, surplus))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
