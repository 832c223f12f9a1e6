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

// Guards against runs that are discarded since their task is long by itself, and against
// signs of a run that stands still that are overlooked. One of three tasks of a step goes on
// after the others have ended.
func TestLongRuns(t *testing.T) {
	const full, none = 100, 0
	cases := map[string]struct {
		percent int
		cpu     int64
		// otherCPU is what a run of another job on the endpoint uses, or none if there is none.
		otherCPU int64
		age      time.Duration
		stops    int
	}{
		"works":                  {percent: full, cpu: 800, age: 6 * time.Second},
		"works beside another":   {percent: full, cpu: 800, otherCPU: 500, age: 6 * time.Second},
		"uses no CPU":            {percent: full, cpu: none, age: 4 * time.Second, stops: 1},
		"has no speed":           {percent: none, cpu: none, age: 4 * time.Second, stops: 1},
		"alone uses no CPU":      {percent: full, cpu: none, otherCPU: 500, age: 5 * time.Second, stops: 1},
		"reports a tenth":        {percent: 10, cpu: 80, age: 4 * time.Second},
		"about to end at a half": {percent: 50, cpu: 400, age: 4 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			s.addEndpoint("a")
			s.addEndpoint("b")
			s.submit(submission(1, tasks(3)))
			starts := s.step().Starts
			s.acceptStarts()
			if c.otherCPU > 0 {
				other := tasks(1)
				other.Estimate = time.Hour
				s.submit(submission(2, other))
				s.step()
				s.acceptStarts()
			}
			for passed := time.Duration(0); passed < c.age; passed += 500 * time.Millisecond {
				s.advance(500 * time.Millisecond)
				if passed == 500*time.Millisecond {
					s.endRun(starts[1], fleet.CompletionDone)
					s.endRun(starts[2], fleet.CompletionDone)
				}
				for i := range s.running["a"] {
					running := &s.running["a"][i]
					running.SpeedPercent, running.CPU = c.percent, c.cpu
					if running.Task.Job != starts[0].Task.Job {
						running.SpeedPercent, running.CPU = full, c.otherCPU
					}
				}
				s.renewLease("a")
				s.renewLease("b")
				s.writeBatches()
			}
			s.wantOrders("after "+c.age.String(), 0, c.stops)
			want := fleet.OverdueCounts{Stopped: c.stops, Kept: 1 - c.stops}
			if got := s.leader.OverdueCounts(); got != want {
				t.Errorf("counts of overdue runs: got %+v, want %+v", got, want)
			}
		})
	}
}
