package fleet

import (
	"testing"
	"time"
)

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
