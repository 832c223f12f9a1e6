package fleet_test

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// unguardedPolicy has a pool whose endpoints start whatever they are told to.
func unguardedPolicy() policy.Config {
	config := defaultPolicy()
	config.Pools = []policy.Pool{{Name: poolName}}
	return config
}

// resize delivers an endpoint's row with another capacity.
func (s *simulation) resize(id fleet.EndpointID, cpu int64) {
	row := endpointRow(id)
	row.Capacity.CPU = cpu
	s.leader.UpdateEndpoint(row, s.now)
	s.leader.ConfirmEndpoints(s.now)
}

// Guards against starts that bring an endpoint over a capacity that has shrunk: of tasks that
// wait, of starts that wait for a sender, and beside runs that are being stopped.
func TestCapacityShrinks(t *testing.T) {
	cases := map[string]func(s *simulation){
		"before the start": func(s *simulation) {
			s.resize("a", 2000)
			s.submit(submission(1, tasks(4)))
			s.wantOrders("with room for two", 2, 0)
		},
		"below what runs": func(s *simulation) {
			s.submit(submission(1, tasks(4)))
			s.step()
			s.acceptStarts()
			s.resize("a", 2000)
			s.submit(submission(2, tasks(1)))
			s.wantOrders("below what runs", 0, 0)
		},
		"to nothing, and grows": func(s *simulation) {
			s.resize("a", 0)
			s.submit(submission(1, tasks(4)))
			s.wantOrders("without capacity", 0, 0)
			s.resize("a", 16000)
			s.wantOrders("grown again", 4, 0)
		},
		"beside runs that are being stopped": func(s *simulation) {
			s.submit(submission(1, tasks(4)))
			s.step()
			s.acceptStarts()
			s.leader.CancelJob(jobID(1), s.now)
			s.resize("a", 4000)
			s.submit(submission(2, tasks(1)))
			s.wantOrders("while four are being stopped", 0, 4)
		},
		"while starts wait to be sent": func(s *simulation) {
			s.submit(submission(1, tasks(4)))
			starts := s.step().Starts
			s.resize("a", 2000)
			sent := 0
			for _, start := range starts {
				if s.leader.ConfirmStart(start, s.now) {
					sent++
				}
			}
			if sent != 2 {
				s.t.Errorf("starts sent with room for two: got %d, want 2", sent)
			}
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{policy: unguardedPolicy()})
			s.addEndpoint("a")
			s.leader.ConfirmEndpoints(s.now)
			run(s)
		})
	}
}

// Guards against starts that exceed a capacity of which the leader has not heard: it does not
// reach the endpoints' list, and an endpoint that takes everything has shrunk.
func TestOutdatedCapacity(t *testing.T) {
	cases := map[string]struct {
		pool   policy.Pool
		age    time.Duration
		starts int
	}{
		"unguarded, recent list":   {policy.Pool{Name: poolName}, time.Second, 1},
		"unguarded, outdated list": {policy.Pool{Name: poolName}, 3 * time.Second, 0},
		"guarded, outdated list":   {policy.Pool{Name: poolName, Guarded: true}, 3 * time.Second, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			config := defaultPolicy()
			config.Pools = []policy.Pool{c.pool}
			s := newSimulation(t, simulationConfig{policy: config})
			s.addEndpoint("a")
			s.leader.ConfirmEndpoints(s.now)
			s.submit(submission(1, tasks(1)))
			early := s.step().Starts[0]
			s.advance(c.age)
			if got, want := s.leader.ConfirmStart(early, s.now), c.starts == 1; got != want {
				t.Errorf("start that has waited is sent: got %t, want %t", got, want)
			}
			s.renewLease("a")
			s.submit(submission(2, tasks(1)))
			orders := s.step()
			got := 0
			for _, start := range orders.Starts {
				if start.Task.Job == jobID(2) {
					got++
				}
			}
			if got != c.starts {
				t.Errorf("starts: got %d, want %d", got, c.starts)
			}
			s.leader.ConfirmEndpoints(s.now)
			s.advance(100 * time.Millisecond)
			if s.step(); c.starts == 0 && len(s.orders.Starts) != 2 {
				t.Errorf("starts once the list is recent: got %d, want 2", len(s.orders.Starts))
			}
		})
	}
}

// Guards against an endpoint that has shrunk and is asked twenty times a second whether it
// takes another task: it rejects what does not fit, before its row says so.
func TestRoomRefusedAgain(t *testing.T) {
	s := newSimulation(t, simulationConfig{})
	s.addEndpoint("a")
	s.submit(submission(1, tasks(1)))
	refused := 0
	for range 500 {
		for _, start := range s.step().Starts {
			refused++
			s.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderNoCapacity}, s.now)
		}
		s.renewLease("a")
		s.advance(10 * time.Millisecond)
	}
	if refused < 3 || refused > 10 {
		t.Errorf("starts refused in 5s: got %d, want 3 to 10", refused)
	}
	s.resize("a", 8000)
	s.advance(100 * time.Millisecond)
	s.wantOrders("once the row says what there is", 1, 0)
}
