package test

import (
	"context"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/soak"
)

// soakPort is the first of the soak's ports; other tests use lower and higher ones.
const soakPort = 18400

// TestSoak plays seeds that have failed before, for a short time each.
func TestSoak(t *testing.T) {
	seeds := map[string]uint64{
		// An endpoint crashed between the report of its ends and their acknowledgement:
		// the check counted its work as not done.
		"endpoint crashes with ends that were read": 31,
	}
	for name, seed := range seeds {
		t.Run(name, func(t *testing.T) {
			report, err := soak.Run(context.Background(), soak.Config{
				Seed: seed, Length: 8 * time.Second, Nodes: 3, Endpoints: 6, Binary: binary, Dir: t.TempDir(), FirstPort: soakPort,
			})
			if err != nil {
				t.Fatal(err)
			}
			for _, violation := range report.Violations {
				t.Error(violation)
			}
			if report.Accepted == 0 || report.Harms == 0 {
				t.Errorf("soak: got %d jobs accepted and %d harms, want some of both", report.Accepted, report.Harms)
			}
		})
	}
}
