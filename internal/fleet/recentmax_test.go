package fleet

import (
	"testing"
	"time"
)

func TestRecentMax(t *testing.T) {
	type sample struct {
		after time.Duration
		value int
	}
	tests := map[string]struct {
		samples []sample
		want    int
	}{
		"one":                   {samples: []sample{{0, 7}}, want: 7},
		"a moment lower":        {samples: []sample{{0, 7}, {time.Second, 3}}, want: 7},
		"lower in the next":     {samples: []sample{{0, 7}, {2 * time.Second, 3}}, want: 7},
		"lower for long":        {samples: []sample{{0, 7}, {2 * time.Second, 3}, {2 * time.Second, 2}}, want: 3},
		"nothing for very long": {samples: []sample{{0, 7}, {time.Minute, 3}}, want: 3},
		"higher":                {samples: []sample{{0, 7}, {time.Second, 9}}, want: 9},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var m recentMax
			now, got := time.Unix(1000, 0), 0
			for _, f := range c.samples {
				now = now.Add(f.after)
				got = m.observe(f.value, now)
			}
			if got != c.want {
				t.Errorf("recent maximum: got %d, want %d", got, c.want)
			}
		})
	}
}
