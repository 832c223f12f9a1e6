package fleet_test

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
)

// Pattern: one-endpoint-stands-still. Two of three tasks have ended in a second;
// the third stands still on an endpoint whose health is good.
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
			w := newWorld(t, worldConfig{})
			w.endpoint("a")
			w.endpoint("b")
			step := tasks(3)
			step.Speculative = c.speculative
			w.accept(submission(1, step))
			starts := w.step().Starts
			w.take()
			slow := starts[0]
			for passed := time.Duration(0); passed < c.age; passed += 500 * time.Millisecond {
				w.pass(500 * time.Millisecond)
				if passed == 500*time.Millisecond {
					w.end(starts[1], fleet.CompletionDone)
					w.end(starts[2], fleet.CompletionDone)
				}
				w.look("a")
				w.look("b")
				w.write()
			}
			orders := w.step()
			if len(orders.Stops) != c.stops || len(orders.Starts) != c.starts {
				t.Fatalf("orders: got %d stops and %d starts, want %d and %d", len(orders.Stops), len(orders.Starts), c.stops, c.starts)
			}
			if c.starts == 1 && orders.Starts[0].Endpoint == slow.Endpoint {
				t.Errorf("copy: got the same endpoint, want the other one")
			}
		})
	}
}

// The copy that ends first counts, and the other one is stopped.
func TestFirstCopyCounts(t *testing.T) {
	w := newWorld(t, worldConfig{})
	w.endpoint("a")
	w.endpoint("b")
	step := tasks(1)
	step.Speculative = true
	w.accept(submission(1, step))
	w.step()
	w.take()
	for range 30 {
		w.pass(500 * time.Millisecond)
		w.look("a")
		w.look("b")
	}
	copies := w.step().Starts
	if len(copies) != 1 {
		t.Fatalf("copies: got %d, want 1", len(copies))
	}
	w.take()
	w.end(copies[0], fleet.CompletionDone)
	w.look(copies[0].Endpoint)
	orders := w.step()
	if len(orders.Stops) != 1 || len(orders.Starts) != 0 {
		t.Errorf("orders: got %d stops and %d starts, want 1 and 0", len(orders.Stops), len(orders.Starts))
	}
}
