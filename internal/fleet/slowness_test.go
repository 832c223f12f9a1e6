package fleet_test

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
)

// usualTime is how long a task takes on a sound endpoint in these tests.
const usualTime = time.Second

// runPair runs one task of a job on each of the endpoints "a" and "b". The one on "a" takes
// slow times as long, and ends with a checkpoint.
func (s *simulation) runPair(n int, slow time.Duration, checkpoint string) {
	s.t.Helper()
	step := tasks(2)
	step.MaxPerEndpoint = 1
	s.submit(submission(n, step))
	starts := map[fleet.EndpointID]fleet.Start{}
	for _, start := range s.step().Starts {
		starts[start.Endpoint] = start
	}
	if len(starts) != 2 {
		s.t.Fatalf("starts of pair %d: got %v, want one on each endpoint", n, starts)
	}
	s.acceptStarts()
	end := func(id fleet.EndpointID, after time.Duration) {
		s.advance(after)
		s.endRun(starts[id], fleet.CompletionDone)
		s.ended[id][len(s.ended[id])-1].Checkpoint = checkpoint
		s.report("a", s.now)
		s.report("b", s.now)
		s.writeBatches()
	}
	end("b", usualTime)
	end("a", (slow-1)*usualTime)
}

// slownessOf returns how slow an endpoint is shown.
func (s *simulation) slownessOf(id fleet.EndpointID) float64 {
	for _, e := range s.leader.Dump().Endpoints {
		if e.ID == id {
			return e.Slowness
		}
	}
	s.t.Fatalf("endpoint %s: got none, want it shown", id)
	return 0
}

// Guards against an endpoint that counts as slow for less than five tasks, for what an
// earlier incarnation did, or for runs of which it executed only a part.
func TestSlownessOfEndpoint(t *testing.T) {
	tests := map[string]struct {
		pairs      int
		slow       time.Duration
		checkpoint string
		restarts   bool
		isSlow     bool
	}{
		"a quarter of the speed": {pairs: 8, slow: 4, isSlow: true},
		"too few tasks":          {pairs: 4, slow: 4},
		"as fast as its peer":    {pairs: 8, slow: 1},
		"resumed runs":           {pairs: 8, slow: 4, checkpoint: "c"},
		"restarted":              {pairs: 8, slow: 4, restarts: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			s.addEndpoint("a")
			s.addEndpoint("b")
			for n := range c.pairs {
				s.runPair(n+1, c.slow, c.checkpoint)
			}
			if c.restarts {
				s.restart("a", time.UnixMilli(2000))
				s.report("a", s.now)
			}
			if got := s.slownessOf("a"); (got > 1.5) != c.isSlow || !c.isSlow && got > 1.01 {
				t.Errorf("slowness of the first endpoint: got %.2f, want it slow: %v", got, c.isSlow)
			}
			if got := s.slownessOf("b"); got > 1.01 {
				t.Errorf("slowness of the second endpoint: got %.2f, want at most 1", got)
			}
		})
	}
}
