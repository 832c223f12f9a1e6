package fleet

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Pattern: guesses-that-say-little.
func TestDurations(t *testing.T) {
	tests := map[string]struct {
		// noise is the standard deviation of the estimates' logarithms, factor their common bias.
		noise, factor float64
		estimate      time.Duration
		count         int
		want          time.Duration
	}{
		"nothing known":       {noise: 0, factor: 1, estimate: 2 * time.Second, want: 2 * time.Second},
		"accurate estimates":  {noise: 0, factor: 1, estimate: 2 * time.Second, count: 400, want: 2 * time.Second},
		"all too low":         {noise: 0, factor: 0.5, estimate: time.Second, count: 400, want: 2 * time.Second},
		"random estimates":    {noise: 2, factor: 1, estimate: 20 * time.Second, count: 1500, want: time.Second},
		"few random samples":  {noise: 2, factor: 1, estimate: time.Second, count: 4, want: time.Second},
		"missing estimate":    {noise: 0, factor: 1, want: defaultEstimate},
		"far too long, first": {noise: 0, factor: 1, estimate: time.Hour, want: maxDuration},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			var model durations
			for range c.count {
				took := math.Exp(0.5 * random.NormFloat64())
				estimate := took * c.factor * math.Exp(c.noise*random.NormFloat64())
				model.observe(time.Duration(estimate*float64(time.Second)), time.Duration(took*float64(time.Second)))
			}
			got := model.median(c.estimate)
			if ratio := float64(got) / float64(c.want); ratio < 0.7 || ratio > 1.4 {
				t.Errorf("median duration: got %v, want about %v", got, c.want)
			}
			if mean := model.mean(c.estimate); mean < got {
				t.Errorf("mean duration: got %v, want at least the median %v", mean, got)
			}
		})
	}
}

// Pattern: turns-beyond-the-pool. Three hundred milliseconds into a burst, the inflow
// is close to its final value; single jobs show no burst.
func TestInflowDetectsBurstEarly(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		interval, elapsed time.Duration
		minRate, maxRate  float64
	}{
		"a second of slow arrivals": {interval: 200 * time.Millisecond, elapsed: time.Second, minRate: 4, maxRate: 6},
		"early in a burst":          {interval: 10 * time.Millisecond, elapsed: 300 * time.Millisecond, minRate: 55, maxRate: 100},
		"well into a burst":         {interval: 10 * time.Millisecond, elapsed: 1100 * time.Millisecond, minRate: 90, maxRate: 101},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var r arrivalHistory
			now := start
			for ; now.Sub(start) < c.elapsed; now = now.Add(c.interval) {
				r.arrivals = append(r.arrivals, arrival{at: now, cpu: 1000})
			}
			got := float64(r.inflow(now).CPU) / 1000 / inflowMargin
			if got < c.minRate || got > c.maxRate {
				t.Errorf("inflow: got %.1f jobs per second, want %v to %v", got, c.minRate, c.maxRate)
			}
		})
	}
}
