package fleet_test

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
)

// usualTime is how long a task takes on a sound endpoint in these tests.
const usualTime = time.Second

// roundOf are the endpoints of a round.
var roundOf = []fleet.EndpointID{"a", "b", "c", "d"}

// runRound runs one task of a job on each endpoint. The one on "a" takes slow times as long
// as the others. All end with a checkpoint, or "".
func (s *simulation) runRound(n int, slow time.Duration, checkpoint string) {
	s.t.Helper()
	step := tasks(len(roundOf))
	step.MaxPerEndpoint = 1
	s.submit(submission(n, step))
	starts := map[fleet.EndpointID]fleet.Start{}
	for _, start := range s.step().Starts {
		starts[start.Endpoint] = start
	}
	if len(starts) != len(roundOf) {
		s.t.Fatalf("starts of round %d: got %v, want one on each endpoint", n, starts)
	}
	s.acceptStarts()
	end := func(after time.Duration, ids ...fleet.EndpointID) {
		s.advance(after)
		for _, id := range ids {
			s.endRun(starts[id], fleet.CompletionDone)
			s.ended[id][len(s.ended[id])-1].Checkpoint = checkpoint
		}
		for _, id := range roundOf {
			s.report(id, s.now)
		}
		s.writeBatches()
	}
	end(usualTime, roundOf[1:]...)
	end((slow-1)*usualTime, roundOf[0])
}

// addRound adds the endpoints of a round.
func (s *simulation) addRound() {
	for _, id := range roundOf {
		s.addEndpoint(id)
	}
}

// slownessOf returns how slow an endpoint is shown.
func (s *simulation) slownessOf(id fleet.EndpointID) float64 {
	for _, e := range s.leader.Dump(s.now).Endpoints {
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
		rounds     int
		slow       time.Duration
		checkpoint string
		restarts   bool
		isSlow     bool
	}{
		"a quarter of the speed": {rounds: 8, slow: 4, isSlow: true},
		"too few tasks":          {rounds: 4, slow: 4},
		"as fast as its peer":    {rounds: 8, slow: 1},
		"resumed runs":           {rounds: 8, slow: 4, checkpoint: "c"},
		"restarted":              {rounds: 8, slow: 4, restarts: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			s.addRound()
			for n := range c.rounds {
				s.runRound(n+1, c.slow, c.checkpoint)
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

// Guards against work for an endpoint that is slower than its peers while another fits, and
// against a slow endpoint that gets none although the others have no room.
func TestSlowEndpointsRankLast(t *testing.T) {
	tests := map[string]struct {
		slow     time.Duration
		restarts bool
		// othersFull is true if the other endpoints have no room.
		othersFull bool
		want       fleet.EndpointID
	}{
		"as fast as its peer":       {slow: 1, want: "a"},
		"slow":                      {slow: 4, want: "b"},
		"slow, restarted":           {slow: 4, restarts: true, want: "a"},
		"slow, the others are full": {slow: 4, othersFull: true, want: "a"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			s.addRound()
			const rounds = 12
			for n := range rounds {
				s.runRound(n+1, c.slow, "")
			}
			if c.restarts {
				s.restart("a", time.UnixMilli(2000))
				s.report("a", s.now)
			}
			if c.othersFull {
				full := tasks(len(roundOf) - 1)
				full.Resources = endpointSize
				s.submit(submission(rounds+1, full))
				s.step()
				s.acceptStarts()
			}
			s.submit(submission(rounds+2, tasks(1)))
			starts := s.step().Starts
			if len(starts) != 1 || starts[0].Endpoint != c.want {
				t.Errorf("starts: got %+v, want one on %s", starts, c.want)
			}
		})
	}
}
