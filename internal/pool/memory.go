package pool

import (
	"math"
	"slices"

	"github.com/lovagedyke/lovagedyke/internal/duration"
)

// Memory is what a planner has learnt of the bursts. It lets another planner
// go on where this one ended; a row of the table can hold it.
type History struct {
	Pools map[string]BurstStats `json:"pools"`
}

// Learnt is what is known of one pool.
type BurstStats struct {
	MeanLoad float64         `json:"mean-load"`
	Levels   []float64       `json:"levels,omitempty"`
	Lengths  []duration.Text `json:"lengths,omitempty"`
	// Followers are the bursts that began after this pool's, and how long after.
	Followers []Follower `json:"followers,omitempty"`
}

// Follower is a burst of another pool that began some time after this pool's.
type Follower struct {
	Pool     string        `json:"pool"`
	Interval duration.Text `json:"interval"`
}

// Memory returns what the planner has learnt so far.
func (p *Planner) History() History {
	m := History{Pools: make(map[string]BurstStats)}
	for name, b := range p.rhythm.byPool {
		pm := BurstStats{MeanLoad: b.mean, Levels: slices.Clone(b.levels)}
		for _, length := range b.lengths {
			pm.Lengths = append(pm.Lengths, duration.New(length))
		}
		for _, f := range b.followers {
			pm.Followers = append(pm.Followers, Follower{Pool: f.pool, Interval: duration.New(f.interval)})
		}
		m.Pools[name] = pm
	}
	return m
}

// recall fills a rhythm with a memory; what makes no sense in it is left out.
func (r *rhythm) recall(m History) {
	for name, pm := range m.Pools {
		b := &bursts{mean: sane(pm.MeanLoad)}
		for _, level := range pm.Levels {
			b.levels = remember(b.levels, sane(level))
		}
		for _, length := range pm.Lengths {
			b.lengths = remember(b.lengths, max(0, length.Duration))
		}
		for _, f := range pm.Followers {
			if _, known := m.Pools[f.Pool]; known {
				b.followers = remember(b.followers, follower{pool: f.Pool, interval: max(0, f.Interval.Duration)})
			}
		}
		r.byPool[name] = b
	}
}

// sane returns 0 for a load that is no number of hosts.
func sane(load float64) float64 {
	if math.IsNaN(load) || math.IsInf(load, 0) || load < 0 {
		return 0
	}
	return load
}
