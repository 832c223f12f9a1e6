package pool

import (
	"math"
	"slices"
	"time"
)

// Parameters of burst detection and forecasts.
const (
	// meanWindow is the time constant of a pool's mean load.
	meanWindow = 60 * time.Second
	// burstFactor is the multiple of the mean load above which a burst starts.
	// The burst ends when the load falls below the mean.
	burstFactor = 2.0
	// maxBurstHistory is the number of past bursts that estimates are based on.
	maxBurstHistory = 8
	// maxOverdue is how late a burst may be before it is no longer expected.
	maxOverdue = 10 * time.Second
	// minConfidence is the confidence above which a forecast burst keeps the
	// pool from donating hosts.
	minConfidence = 0.5
)

// burstPattern estimates from observed loads in which order the pools' bursts
// follow each other, at which intervals, how long they last and how large they
// are.
type burstPattern struct {
	byPool map[string]*burstHistory
	// lastPool is the pool of the newest burst, which started at lastStart.
	lastPool  string
	lastStart time.Time
}

func newBurstPattern() *burstPattern { return &burstPattern{byPool: make(map[string]*burstHistory)} }

// burstHistory holds the current and recent bursts of one pool.
type burstHistory struct {
	mean       float64
	observedAt time.Time
	bursting   bool
	startedAt  time.Time
	loadSum    float64
	samples    int
	levels     []float64
	lengths    []time.Duration
	// followers are the bursts of other pools that started next.
	followers []follower
}

// follower is a burst that started the interval after the preceding one.
type follower struct {
	pool     string
	interval time.Duration
}

// observe records a pool's load, in hosts, and detects the start and end of
// bursts.
func (r *burstPattern) observe(at time.Time, pool string, load float64) {
	b, ok := r.byPool[pool]
	if !ok {
		r.byPool[pool] = &burstHistory{mean: load, observedAt: at}
		return
	}
	if b.observedAt.IsZero() {
		// Restored from a History.
		b.observedAt = at
	}
	elapsed := at.Sub(b.observedAt)
	if elapsed <= 0 {
		return
	}
	b.observedAt = at
	b.mean += (load - b.mean) * (1 - math.Exp(-elapsed.Seconds()/meanWindow.Seconds()))
	switch {
	case !b.bursting && load > burstFactor*b.mean:
		r.startBurst(at, pool, b)
	case b.bursting && load < b.mean:
		b.endBurst(at)
	}
	if b.bursting {
		b.loadSum += load
		b.samples++
	}
}

func (r *burstPattern) startBurst(at time.Time, pool string, b *burstHistory) {
	b.bursting, b.startedAt, b.loadSum, b.samples = true, at, 0, 0
	if r.lastPool != "" && r.lastPool != pool {
		before := r.byPool[r.lastPool]
		before.followers = appendBounded(before.followers, follower{pool: pool, interval: at.Sub(r.lastStart)})
	}
	r.lastPool, r.lastStart = pool, at
}

func (b *burstHistory) endBurst(at time.Time) {
	b.bursting = false
	b.levels = appendBounded(b.levels, b.loadSum/float64(b.samples))
	b.lengths = appendBounded(b.lengths, at.Sub(b.startedAt))
}

// typicalLength returns the median length of past bursts, or unknown if there
// are none.
func (b *burstHistory) typicalLength(unknown time.Duration) time.Duration {
	if len(b.lengths) == 0 {
		return unknown
	}
	return median(b.lengths)
}

// fractionReaching returns the fraction of past bursts that reached the level.
func (b *burstHistory) fractionReaching(level float64) float64 {
	n := 0
	for _, l := range b.levels {
		if l >= level {
			n++
		}
	}
	return float64(n) / float64(max(1, len(b.levels)))
}

// nextBurst returns the pool that usually bursts next after this one, the median
// interval between the two starts, and a confidence from 0 to 1.
func (b *burstHistory) nextBurst() (pool string, interval time.Duration, confidence float64) {
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
	return pool, median(intervals[pool]), float64(n) / float64(len(b.followers)+1)
}

// Forecast is the next expected burst of a pool.
type Forecast struct {
	Begins time.Time `json:"begins"`
	Ends   time.Time `json:"ends"`
	// Confidence is from 0 to 1.
	Confidence float64 `json:"confidence"`
}

// forecast predicts the next burst of each pool by following the usual order of
// bursts from the newest one on. Lag is subtracted from the predicted starts.
func (r *burstPattern) forecast(now time.Time, lag time.Duration) map[string]Forecast {
	out := make(map[string]Forecast)
	at, confidence := r.lastStart, 1.0
	for name := r.lastPool; name != ""; {
		following, interval, sure := r.byPool[name].nextBurst()
		if _, known := out[following]; known || following == "" {
			return out
		}
		at = at.Add(interval)
		confidence *= sure
		if now.Sub(at) > maxOverdue {
			return out
		}
		begins := at.Add(-lag)
		out[following] = Forecast{
			Begins: begins, Confidence: confidence,
			Ends: begins.Add(r.byPool[following].typicalLength(interval)),
		}
		name = following
	}
	return out
}

// appendBounded appends an item to a history of at most maxBurstHistory items,
// dropping the oldest if needed.
func appendBounded[T any](history []T, item T) []T {
	if len(history) == maxBurstHistory {
		history = slices.Delete(history, 0, 1)
	}
	return append(history, item)
}

func median(durations []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[len(sorted)/2]
}
