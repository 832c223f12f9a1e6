package fleet

import (
	"testing"
	"time"
)

func TestRecentMost(t *testing.T) {
	type figure struct {
		after  time.Duration
		figure int
	}
	tests := map[string]struct {
		figures []figure
		want    int
	}{
		"one":                   {figures: []figure{{0, 7}}, want: 7},
		"a moment lower":        {figures: []figure{{0, 7}, {time.Second, 3}}, want: 7},
		"lower in the next":     {figures: []figure{{0, 7}, {2 * time.Second, 3}}, want: 7},
		"lower for long":        {figures: []figure{{0, 7}, {2 * time.Second, 3}, {2 * time.Second, 2}}, want: 3},
		"nothing for very long": {figures: []figure{{0, 7}, {time.Minute, 3}}, want: 3},
		"higher":                {figures: []figure{{0, 7}, {time.Second, 9}}, want: 9},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var m recentMost
			now, got := time.Unix(1000, 0), 0
			for _, f := range c.figures {
				now = now.Add(f.after)
				got = m.note(f.figure, now)
			}
			if got != c.want {
				t.Errorf("recent most: got %d, want %d", got, c.want)
			}
		})
	}
}
