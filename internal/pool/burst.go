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
	meanLoad   float64
	observedAt time.Time
	// startedAt, loadSum and samples belong to the current burst.
	bursting  bool
	startedAt time.Time
	loadSum   float64
	samples   int
	// levels and lengths are the mean loads, in hosts, and the lengths of past
	// bursts.
	levels  []float64
	lengths []time.Duration
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
func (p *burstPattern) observe(at time.Time, pool string, load float64) {
	b, ok := p.byPool[pool]
	if !ok {
		p.byPool[pool] = &burstHistory{meanLoad: load, observedAt: at}
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
	b.meanLoad += (load - b.meanLoad) * (1 - math.Exp(-elapsed.Seconds()/meanWindow.Seconds()))
	switch {
	case !b.bursting && load > burstFactor*b.meanLoad:
		p.startBurst(at, pool, b)
	case b.bursting && load < b.meanLoad:
		b.endBurst(at)
	}
	if b.bursting {
		b.loadSum += load
		b.samples++
	}
}

func (p *burstPattern) startBurst(at time.Time, pool string, b *burstHistory) {
	b.bursting, b.startedAt, b.loadSum, b.samples = true, at, 0, 0
	if p.lastPool != "" && p.lastPool != pool {
		previous := p.byPool[p.lastPool]
		previous.followers = appendBounded(previous.followers, follower{pool: pool, interval: at.Sub(p.lastStart)})
	}
	p.lastPool, p.lastStart = pool, at
}

func (b *burstHistory) endBurst(at time.Time) {
	b.bursting = false
	b.levels = appendBounded(b.levels, b.loadSum/float64(b.samples))
	b.lengths = appendBounded(b.lengths, at.Sub(b.startedAt))
}

// typicalLength returns the median length of past bursts, or the given default if
// there are none.
func (b *burstHistory) typicalLength(defaultLength time.Duration) time.Duration {
	if len(b.lengths) == 0 {
		return defaultLength
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
// bursts from the newest one on. The lag of the observed loads is subtracted from
// the predicted starts.
func (p *burstPattern) forecast(now time.Time, lag time.Duration) map[string]Forecast {
	out := make(map[string]Forecast)
	at, confidence := p.lastStart, 1.0
	for name := p.lastPool; name != ""; {
		next, interval, stepConfidence := p.byPool[name].nextBurst()
		if _, known := out[next]; known || next == "" {
			return out
		}
		at = at.Add(interval)
		confidence *= stepConfidence
		if now.Sub(at) > maxOverdue {
			return out
		}
		begins := at.Add(-lag)
		out[next] = Forecast{
			Begins: begins, Confidence: confidence,
			Ends: begins.Add(p.byPool[next].typicalLength(interval)),
		}
		name = next
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
