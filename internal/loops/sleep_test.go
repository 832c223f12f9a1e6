package loops_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/loops"
)

func TestSleep(t *testing.T) {
	tests := map[string]struct {
		cancelAfter, d, want time.Duration
		wantWhole            bool
	}{
		"whole":              {cancelAfter: time.Hour, d: time.Second, want: time.Second, wantWhole: true},
		"ended by its owner": {cancelAfter: time.Second, d: time.Hour, want: time.Second},
		"ended before":       {d: time.Hour},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), c.cancelAfter)
				defer cancel()
				started := time.Now()
				whole := loops.Sleep(ctx, c.d)
				if got := time.Since(started); got != c.want || whole != c.wantWhole {
					t.Errorf("sleep: got %s (whole %t), want %s (whole %t)", got, whole, c.want, c.wantWhole)
				}
			})
		})
	}
}
