package policy_test

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/policy"
)

func TestLag(t *testing.T) {
	type event struct {
		at       time.Duration
		announce uint64
		inForce  uint64
	}
	tests := map[string]struct {
		events     []event
		wantNewest uint64
		wantBehind time.Duration
	}{
		"nothing heard":           {},
		"heard, not in force":     {events: []event{{0, 3, 0}}, wantNewest: 3, wantBehind: 10 * time.Second},
		"heard again":             {events: []event{{0, 3, 0}, {time.Second, 3, 0}}, wantNewest: 3, wantBehind: 10 * time.Second},
		"in force":                {events: []event{{0, 3, 0}, {time.Second, 0, 3}}, wantNewest: 3},
		"a newer one in force":    {events: []event{{0, 3, 0}, {time.Second, 0, 5}}, wantNewest: 5},
		"an older one in force":   {events: []event{{0, 3, 0}, {time.Second, 0, 2}}, wantNewest: 3, wantBehind: 10 * time.Second},
		"the later of two left":   {events: []event{{0, 3, 0}, {4 * time.Second, 5, 0}, {6 * time.Second, 0, 3}}, wantNewest: 5, wantBehind: 6 * time.Second},
		"heard after it applies":  {events: []event{{0, 0, 3}, {time.Second, 3, 0}, {time.Second, 2, 0}}, wantNewest: 3},
		"in force without a word": {events: []event{{0, 0, 3}}, wantNewest: 3},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			var lag policy.Lag
			for _, e := range c.events {
				if e.announce != 0 {
					lag.Announced(e.announce, start.Add(e.at))
				}
				if e.inForce != 0 {
					lag.InForce(e.inForce, start.Add(e.at))
				}
			}
			newest, behind := lag.Behind(start.Add(10 * time.Second))
			if newest != c.wantNewest || behind != c.wantBehind {
				t.Errorf("behind: got version %d for %s, want %d for %s", newest, behind, c.wantNewest, c.wantBehind)
			}
		})
	}
}

func TestLagOfManyVersions(t *testing.T) {
	start := time.Now()
	var lag policy.Lag
	for version := uint64(1); version <= 1000; version++ {
		if !lag.Announced(version, start.Add(time.Duration(version)*time.Millisecond)) {
			t.Fatalf("version %d: got known, want newest", version)
		}
	}
	if newest, behind := lag.Behind(start.Add(time.Second)); newest != 1000 || behind != 999*time.Millisecond {
		t.Errorf("behind: got version %d for %s, want 1000 for 999ms", newest, behind)
	}
	if got := lag.InForce(1000, start.Add(time.Second)); got != 999*time.Millisecond {
		t.Errorf("in force: got behind for %s, want 999ms", got)
	}
	if _, behind := lag.Behind(start.Add(time.Minute)); behind != 0 {
		t.Errorf("after it: got behind for %s, want 0s", behind)
	}
}
