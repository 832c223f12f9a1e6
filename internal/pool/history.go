package pool

import (
	"math"
	"slices"

	"github.com/lovagedyke/lovagedyke/internal/duration"
)

// History holds the bursts that a planner has observed, for storage in a row of
// the table. A new planner that starts with it continues its predecessor's
// forecasts.
type History struct {
	Pools map[string]BurstStats `json:"pools"`
}

// BurstStats summarises the bursts observed in one pool.
type BurstStats struct {
	// MeanLoad and Levels, the mean loads of past bursts, are in hosts.
	MeanLoad float64         `json:"mean-load"`
	Levels   []float64       `json:"levels,omitempty"`
	Lengths  []duration.Text `json:"lengths,omitempty"`
	// Followers are the bursts of other pools that started next after a burst
	// of this pool.
	Followers []Follower `json:"followers,omitempty"`
}

// Follower is a burst of another pool. Interval is the time from the start of
// the preceding burst to the start of this one.
type Follower struct {
	Pool     string        `json:"pool"`
	Interval duration.Text `json:"interval"`
}

// History returns the bursts that the planner has observed so far.
func (p *Planner) History() History {
	history := History{Pools: make(map[string]BurstStats)}
	for name, b := range p.burstPattern.byPool {
		stats := BurstStats{MeanLoad: b.meanLoad, Levels: slices.Clone(b.levels)}
		for _, length := range b.lengths {
			stats.Lengths = append(stats.Lengths, duration.New(length))
		}
		for _, f := range b.followers {
			stats.Followers = append(stats.Followers, Follower{Pool: f.pool, Interval: duration.New(f.interval)})
		}
		history.Pools[name] = stats
	}
	return history
}

// restore loads the history of an earlier planner. Followers in unknown pools
// are skipped, and invalid loads and lengths count as 0.
func (p *burstPattern) restore(history History) {
	for name, stats := range history.Pools {
		b := &burstHistory{meanLoad: sanitiseLoad(stats.MeanLoad)}
		for _, level := range stats.Levels {
			b.levels = appendBounded(b.levels, sanitiseLoad(level))
		}
		for _, length := range stats.Lengths {
			b.lengths = appendBounded(b.lengths, max(0, length.Duration))
		}
		for _, f := range stats.Followers {
			if _, known := history.Pools[f.Pool]; known {
				b.followers = appendBounded(b.followers, follower{pool: f.Pool, interval: max(0, f.Interval.Duration)})
			}
		}
		p.byPool[name] = b
	}
}

// sanitiseLoad returns the load, or 0 if it is negative or not finite.
func sanitiseLoad(load float64) float64 {
	if math.IsNaN(load) || math.IsInf(load, 0) || load < 0 {
		return 0
	}
	return load
}
