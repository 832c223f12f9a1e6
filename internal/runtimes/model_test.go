package runtimes

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
			model := New(Config{})
			for range c.count {
				took := math.Exp(0.5 * random.NormFloat64())
				estimate := took * c.factor * math.Exp(c.noise*random.NormFloat64())
				model.Observe(time.Duration(estimate*float64(time.Second)), time.Duration(took*float64(time.Second)))
			}
			got := model.Median(c.estimate)
			if ratio := float64(got) / float64(c.want); ratio < 0.7 || ratio > 1.4 {
				t.Errorf("median duration: got %v, want about %v", got, c.want)
			}
			if mean := model.Mean(c.estimate); mean < got {
				t.Errorf("mean duration: got %v, want at least the median %v", mean, got)
			}
		})
	}
}

// Guards against negative durations, by which a pool that is short of capacity seems to have no
// work: tasks that take either a millisecond or an hour have a mean beyond the longest duration.
func TestMeanIsBounded(t *testing.T) {
	tests := map[string]struct {
		short, long time.Duration
	}{
		"a little":    {short: time.Second, long: 2 * time.Second},
		"much":        {short: 10 * time.Millisecond, long: time.Minute},
		"beyond all":  {short: time.Millisecond, long: time.Hour},
		"of any kind": {short: 1, long: 1000 * time.Hour},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			model := New(Config{})
			for range 1000 {
				model.Observe(time.Second, test.short)
				model.Observe(time.Second, test.long)
			}
			if got, low := model.Mean(time.Second), model.Median(time.Second); got < low || got > maxDuration {
				t.Errorf("mean duration: got %v, want %v to %v", got, low, maxDuration)
			}
		})
	}
}
