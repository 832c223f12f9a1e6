package member

import (
	"testing"
	"time"
)

func TestStoreExclusion(t *testing.T) {
	type observation struct {
		after                        time.Duration
		isReachable, isPeerReachable bool
	}
	tests := map[string]struct {
		observations []observation
		want         bool
	}{
		"down for all":                         {observations: []observation{{0, false, false}, {4 * time.Second, false, false}}},
		"up for a peer a moment earlier":       {observations: []observation{{0, false, false}, {4 * time.Second, false, true}, {time.Second / 2, true, true}}},
		"up for a peer since just now":         {observations: []observation{{0, false, false}, {4 * time.Second, false, true}}},
		"up for a peer, down for this process": {observations: []observation{{0, false, false}, {time.Second, false, true}, {time.Second, false, true}}, want: true},
		"down for this process alone":          {observations: []observation{{0, false, true}}, want: true},
		"up in between":                        {observations: []observation{{0, false, false}, {time.Second, true, true}, {time.Second, false, true}}, want: true},
		"down for all in between":              {observations: []observation{{0, false, false}, {time.Second, false, true}, {time.Second, false, false}, {time.Second, false, true}}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var p storeExclusion
			now, got := time.Unix(1000, 0), false
			for _, s := range c.observations {
				now = now.Add(s.after)
				got = p.observe(s.isReachable, s.isPeerReachable, now)
			}
			if got != c.want {
				t.Errorf("store unreachable for this process alone: got %v, want %v", got, c.want)
			}
		})
	}
}
