package pool

import (
	"math"
	"slices"
	"time"
)

// Limits of what a rhythm remembers and how it tells a burst.
const (
	// meanWindow is the time constant of a pool's mean load.
	meanWindow = 60 * time.Second
	// burstFactor times the mean load begins a burst; the mean ends it.
	burstFactor = 2.0
	// rememberedBursts is the number of bursts that estimates rest on.
	rememberedBursts = 8
	// overdueLimit is how late a burst may be before it is no longer expected.
	overdueLimit = 10 * time.Second
	// leastConfidence is what a forecast must have to keep hosts in a pool.
	leastConfidence = 0.5
)

// rhythm learns from observed load which pool's burst follows which, when, for
// how long and how large.
type rhythm struct {
	byPool map[string]*bursts
	// last began the newest burst, at lastBegan.
	last      string
	lastBegan time.Time
}

func newRhythm() *rhythm { return &rhythm{byPool: make(map[string]*bursts)} }

// bursts is what is known of one pool's bursts.
type bursts struct {
	mean     float64
	seen     time.Time
	bursting bool
	began    time.Time
	sum      float64
	samples  int
	levels   []float64
	lengths  []time.Duration
	// followers are the bursts of other pools that began next.
	followers []follower
}

// follower is a burst that began some time after the one before it.
type follower struct {
	pool     string
	interval time.Duration
}

// observe takes one observation of a pool's load, in hosts.
func (r *rhythm) observe(at time.Time, pool string, load float64) {
	b, ok := r.byPool[pool]
	if !ok {
		r.byPool[pool] = &bursts{mean: load, seen: at}
		return
	}
	if b.seen.IsZero() {
		// Recalled from a memory.
		b.seen = at
	}
	elapsed := at.Sub(b.seen)
	if elapsed <= 0 {
		return
	}
	b.seen = at
	b.mean += (load - b.mean) * (1 - math.Exp(-elapsed.Seconds()/meanWindow.Seconds()))
	switch {
	case !b.bursting && load > burstFactor*b.mean:
		r.begin(at, pool, b)
	case b.bursting && load < b.mean:
		b.end(at)
	}
	if b.bursting {
		b.sum += load
		b.samples++
	}
}

func (r *rhythm) begin(at time.Time, pool string, b *bursts) {
	b.bursting, b.began, b.sum, b.samples = true, at, 0, 0
	if r.last != "" && r.last != pool {
		before := r.byPool[r.last]
		before.followers = remember(before.followers, follower{pool: pool, interval: at.Sub(r.lastBegan)})
	}
	r.last, r.lastBegan = pool, at
}

func (b *bursts) end(at time.Time) {
	b.bursting = false
	b.levels = remember(b.levels, b.sum/float64(b.samples))
	b.lengths = remember(b.lengths, at.Sub(b.began))
}

// length returns the usual length of a burst, or the given one when none is known.
func (b *bursts) length(unknown time.Duration) time.Duration {
	if len(b.lengths) == 0 {
		return unknown
	}
	return middle(b.lengths)
}

// reaches returns the part of the bursts so far that reached a level.
func (b *bursts) reaches(level float64) float64 {
	n := 0
	for _, l := range b.levels {
		if l >= level {
			n++
		}
	}
	return float64(n) / float64(max(1, len(b.levels)))
}

// next returns the pool that usually bursts after this one, after how long, and
// how sure that is, 0 to 1.
func (b *bursts) next() (pool string, interval time.Duration, confidence float64) {
	intervals := make(map[string][]time.Duration)
	for _, f := range b.followers {
		intervals[f.pool] = append(intervals[f.pool], f.interval)
		n := len(intervals[f.pool])
		if n > len(intervals[pool]) || n == len(intervals[pool]) && f.pool < pool {
			pool = f.pool
		}
	}
	if pool == "" {
		return "", 0, 0
	}
	n := len(intervals[pool])
	return pool, middle(intervals[pool]), float64(n) / float64(len(b.followers)+1)
}

// Forecast is the next burst that is expected of a pool.
type Forecast struct {
	Begins time.Time `json:"begins"`
	Ends   time.Time `json:"ends"`
	// Confidence is 0 to 1.
	Confidence float64 `json:"confidence"`
}

// forecast follows the usual order from the newest burst on, for each pool once.
func (r *rhythm) forecast(now time.Time, lag time.Duration) map[string]Forecast {
	out := make(map[string]Forecast)
	at, confidence := r.lastBegan, 1.0
	for name := r.last; name != ""; {
		following, interval, sure := r.byPool[name].next()
		if _, known := out[following]; known || following == "" {
			return out
		}
		at = at.Add(interval)
		confidence *= sure
		if now.Sub(at) > overdueLimit {
			return out
		}
		begins := at.Add(-lag)
		out[following] = Forecast{
			Begins: begins, Confidence: confidence,
			Ends: begins.Add(r.byPool[following].length(interval)),
		}
		name = following
	}
	return out
}

// remember appends to a history of bounded length.
func remember[T any](history []T, item T) []T {
	if len(history) == rememberedBursts {
		history = slices.Delete(history, 0, 1)
	}
	return append(history, item)
}

// middle returns the median.
func middle(durations []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[len(sorted)/2]
}
