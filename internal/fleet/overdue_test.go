package fleet_test

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
)

// Pattern: one-endpoint-stands-still. Two of three tasks complete within a second; the
// third makes no progress on an endpoint that is healthy.
func TestOverdueRuns(t *testing.T) {
	cases := map[string]struct {
		speculative   bool
		age           time.Duration
		stops, starts int
	}{
		"not overdue":      {false, 2 * time.Second, 0, 0},
		"stopped":          {false, 4 * time.Second, 1, 0},
		"copied":           {true, 4 * time.Second, 0, 1},
		"copy not due yet": {true, 2 * time.Second, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			s.addEndpoint("a")
			s.addEndpoint("b")
			step := tasks(3)
			step.Speculative = c.speculative
			s.submit(submission(1, step))
			starts := s.step().Starts
			s.acceptStarts()
			slow := starts[0]
			for passed := time.Duration(0); passed < c.age; passed += 500 * time.Millisecond {
				s.advance(500 * time.Millisecond)
				if passed == 500*time.Millisecond {
					s.endRun(starts[1], fleet.CompletionDone)
					s.endRun(starts[2], fleet.CompletionDone)
				}
				s.renewLease("a")
				s.renewLease("b")
				s.writeBatches()
			}
			orders := s.step()
			if len(orders.Stops) != c.stops || len(orders.Starts) != c.starts {
				t.Fatalf("orders: got %d stops and %d starts, want %d and %d", len(orders.Stops), len(orders.Starts), c.stops, c.starts)
			}
			if c.starts == 1 && orders.Starts[0].Endpoint == slow.Endpoint {
				t.Errorf("copy: got the same endpoint, want the other one")
			}
		})
	}
}

// The first copy to complete counts, and the other one is stopped.
func TestFirstCopyCounts(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	s.addEndpoint("a")
	s.addEndpoint("b")
	step := tasks(1)
	step.Speculative = true
	s.submit(submission(1, step))
	s.step()
	s.acceptStarts()
	for range 30 {
		s.advance(500 * time.Millisecond)
		s.renewLease("a")
		s.renewLease("b")
	}
	copies := s.step().Starts
	if len(copies) != 1 {
		t.Fatalf("copies: got %d, want 1", len(copies))
	}
	s.acceptStarts()
	s.endRun(copies[0], fleet.CompletionDone)
	s.renewLease(copies[0].Endpoint)
	orders := s.step()
	if len(orders.Stops) != 1 || len(orders.Starts) != 0 {
		t.Errorf("orders: got %d stops and %d starts, want 1 and 0", len(orders.Stops), len(orders.Starts))
	}
}
