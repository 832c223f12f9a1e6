package member

import (
	"testing"
	"time"
)

func TestPassedOver(t *testing.T) {
	type sight struct {
		after                  time.Duration
		isServed, isPeerServed bool
	}
	tests := map[string]struct {
		sights []sight
		want   bool
	}{
		"away for all":                     {sights: []sight{{0, false, false}, {4 * time.Second, false, false}}},
		"back for a peer a moment earlier": {sights: []sight{{0, false, false}, {4 * time.Second, false, true}, {time.Second / 2, true, true}}},
		"back for a peer, just now":        {sights: []sight{{0, false, false}, {4 * time.Second, false, true}}},
		"back for a peer, not for us":      {sights: []sight{{0, false, false}, {time.Second, false, true}, {time.Second, false, true}}, want: true},
		"away for us alone":                {sights: []sight{{0, false, true}}, want: true},
		"served in between":                {sights: []sight{{0, false, false}, {time.Second, true, true}, {time.Second, false, true}}, want: true},
		"away for all in between":          {sights: []sight{{0, false, false}, {time.Second, false, true}, {time.Second, false, false}, {time.Second, false, true}}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var p passedOver
			now, got := time.Unix(1000, 0), false
			for _, s := range c.sights {
				now = now.Add(s.after)
				got = p.note(s.isServed, s.isPeerServed, now)
			}
			if got != c.want {
				t.Errorf("passed over: got %v, want %v", got, c.want)
			}
		})
	}
}
