package runtimes

import (
	"testing"
	"time"
)

// Guards against a run that counts as working while it stands still.
func TestActivity(t *testing.T) {
	type report struct {
		percent  int
		used     int64
		hasSaved bool
	}
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		reports []report
		// worked is the number of the last report of work, from 1, or 0.
		worked int
	}{
		"no report":            {},
		"one report":           {reports: []report{{percent: 0}}},
		"at a quarter":         {reports: []report{{25, 200, false}, {25, 200, false}, {25, 200, false}}, worked: 3},
		"was cold":             {reports: []report{{25, 200, false}, {25, 200, false}, {100, 900, false}}, worked: 3},
		"a dip":                {reports: []report{{100, 900, false}, {100, 900, false}, {50, 450, false}}, worked: 3},
		"stands still":         {reports: []report{{100, 900, false}, {0, 0, false}, {0, 0, false}}, worked: 1},
		"claims full speed":    {reports: []report{{100, 0, false}, {100, 0, false}}},
		"saved without figure": {reports: []report{{100, 0, false}, {100, 0, true}, {100, 0, false}}, worked: 2},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var activity Activity
			worked := time.Time{}
			for i, r := range c.reports {
				at := start.Add(time.Duration(i) * time.Second)
				activity.Report(at, r.percent, r.used, r.hasSaved)
				if i+1 == c.worked {
					worked = at
				}
			}
			if got := activity.WorkedAt(); !got.Equal(worked) {
				t.Errorf("last work: got %v, want %v", got, worked)
			}
		})
	}
}
