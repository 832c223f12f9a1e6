package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// Pattern: leader-behind-with-starts. Guards against a leader that decides more starts than it can
// send: they wait in a queue, and what was in time when it was decided is late when it starts.
func TestStartsWaitWhileLeaderIsBehind(t *testing.T) {
	const hosts, capacity = 120, 120 * 16
	tests := map[string]struct {
		// sentPerStep is how many starts are sent between two steps of 100 ms.
		sentPerStep int
		// least and most bound the most starts that wait to be sent after a step.
		least, most int
	}{
		"all are sent, more may wait": {sentPerStep: capacity, least: 501, most: capacity},
		"2,000 a second are sent":     {sentPerStep: 192, least: 500, most: 520},
		"4,000 a second are sent":     {sentPerStep: 400, least: 500, most: 1020},
		"none is sent":                {sentPerStep: 0, least: 500, most: 700},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			for n := range hosts {
				s.addEndpoint(fleet.EndpointID(fmt.Sprintf("i-%03d", n)))
			}
			for n := range 2 * hosts {
				s.submit(submission(n+1, tasks(16)))
			}
			var queue []fleet.Start
			most := 0
			for range 10 {
				queue = append(queue, s.step().Starts...)
				most = max(most, s.leader.UnsentStarts())
				for range min(test.sentPerStep, len(queue)) {
					s.leader.ConfirmStart(queue[0], s.now)
					queue = queue[1:]
				}
				s.advance(100 * time.Millisecond)
			}
			if most < test.least || most > test.most {
				t.Errorf("starts that wait to be sent: got %d, want %d to %d", most, test.least, test.most)
			}
		})
	}
}

// Pattern: leader-behind-with-starts. Guards against late work of one pool that is started before
// work of another that can still be in time, while the leader sends starts late.
func TestWorkInTimeGoesFirstWhileLeaderIsBehind(t *testing.T) {
	tests := map[string]struct {
		isBehind bool
		// want is the least share of the starts that is in time.
		want float64
	}{
		"behind":     {isBehind: true, want: 1},
		"not behind": {want: 0.4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTwoPools(t)
			if test.isBehind {
				for n := range 40 {
					s.submitLate(n + 1)
				}
				s.step()
			}
			if got := s.leader.IsBehind(); got != test.isBehind {
				t.Fatalf("leader is behind: got %t, want %t", got, test.isBehind)
			}
			const firstInTime = 201
			for n := range 30 {
				s.submitLate(n + 101)
				j := submission(n+firstInTime, tasks(16))
				j.Accepted = s.now
				s.submit(j)
			}
			s.advance(100 * time.Millisecond)
			starts := s.step().Starts
			late := slices.DeleteFunc(slices.Clone(starts), func(start fleet.Start) bool { return start.Task.Job >= jobID(firstInTime) })
			if got := 1 - float64(len(late))/float64(len(starts)); len(starts) == 0 || got < test.want {
				t.Errorf("share of %d starts in time: got %.2f, want at least %.2f", len(starts), got, test.want)
			}
		})
	}
}

// newTwoPools returns a simulation with 80 hosts in each of two pools.
func newTwoPools(t *testing.T) *simulation {
	t.Helper()
	config := defaultPolicy()
	config.Queues = append(config.Queues, policy.Queue{Name: otherPool, Pool: otherPool, MaxAttempts: 2, Stretch: 1.6, Target: time.Second})
	s := newSimulation(t, simulationConfig{policy: config})
	var rows []fleet.Host
	for n := range 160 {
		rows = append(rows, newHost([]string{poolName, otherPool}[n%2], fleet.EndpointID(fmt.Sprintf("i-%03d", n))))
	}
	s.listHosts(rows...)
	return s
}

// submitLate submits a job of the other pool that cannot be in time.
func (s *simulation) submitLate(n int) {
	j := submission(n, tasks(16))
	j.Queue, j.Pool, j.Accepted = otherPool, otherPool, s.now.Add(-4*time.Second)
	s.submit(j)
}

// Guards against a leader whose steps take all of its time, and against pauses of a small fleet
// without need.
func TestStepPause(t *testing.T) {
	tests := map[string]struct {
		took     time.Duration
		isBehind bool
		want     time.Duration
	}{
		"short step":          {took: time.Millisecond, want: 8 * time.Millisecond},
		"step of a peak":      {took: 5 * time.Millisecond, want: 20 * time.Millisecond},
		"step of large fleet": {took: 30 * time.Millisecond, want: 50 * time.Millisecond},
		"long step":           {took: 200 * time.Millisecond, want: 300 * time.Millisecond},
		"leader is behind":    {took: 5 * time.Millisecond, isBehind: true, want: 120 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := fleet.StepPause(test.took, test.isBehind); got != test.want {
				t.Errorf("pause: got %v, want %v", got, test.want)
			}
		})
	}
}
