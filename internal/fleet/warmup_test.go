package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// warmUp is for how long the endpoints of these tests are cold.
const warmUp = 4 * time.Second

// listEndpoint lists an endpoint of a data centre on a host and renews its lease.
func (s *simulation) listEndpoint(dataCentre, host string, id fleet.EndpointID, left time.Duration) {
	row := endpointRow(id)
	row.DataCentre, row.Host, row.WarmUp = dataCentre, host, left
	s.leader.UpdateEndpoint(row, s.now)
	s.advance(time.Millisecond)
	s.renewLease(id)
}

// returningHost and returningEndpoint name the hosts of these tests, and their endpoints by life.
func returningHost(n int) string { return fmt.Sprint("h-", n) }

func returningEndpoint(life string, n int) fleet.EndpointID {
	return fleet.EndpointID(fmt.Sprint(life, "-", n))
}

// listReturning lists the endpoints of the first hosts.
func (s *simulation) listReturning(life string, count int, left time.Duration) {
	for n := range count {
		s.listEndpoint(evacuated, returningHost(n), returningEndpoint(life, n), left)
	}
}

// listOneByOne lists the endpoints of the first hosts, each long after the one before.
func (s *simulation) listOneByOne(life string, count int, left time.Duration) {
	for n := range count {
		s.advance(4 * time.Second)
		s.listEndpoint(evacuated, returningHost(n), returningEndpoint(life, n), left)
	}
}

// removeReturning removes the endpoints of the first hosts from the list.
func (s *simulation) removeReturning(life string, count int) {
	for n := range count {
		s.leader.RemoveEndpoint(returningEndpoint(life, n), s.now)
	}
}

// showReturning delivers a host list in which the first hosts have endpoints of a life, or none.
func (s *simulation) showReturning(pool, life string, count int) {
	var hosts []fleet.Host
	for n := range count {
		h := newHost(pool, returningEndpoint(life, n))
		h.ID = fleet.HostID(returningHost(n))
		if life == "" {
			h.Endpoint = ""
		}
		hosts = append(hosts, h)
	}
	s.leader.UpdateHosts(hosts, s.now, s.now)
}

// moveReturning lets the leader move four hosts out of the spare pool.
func (s *simulation) moveReturning() {
	onePool := defaultPolicy()
	onePool.Pools = []policy.Pool{{Name: poolName, Guarded: true}, {Name: spareName, Spare: true}}
	s.leader.SetPolicy(policy.New(onePool))
	s.listReturning("a", 4, 0)
	s.removeReturning("a", 4)
	s.showReturning(spareName, "", 4)
	s.advance(time.Second)
	moves := s.step().Moves
	if len(moves) != 4 {
		s.t.Fatalf("moves: got %d, want 4", len(moves))
	}
	for _, move := range moves {
		s.leader.HandleMoveReply(move, fleet.ChangeAccepted, s.now)
	}
	s.advance(1600 * time.Millisecond)
	s.showReturning(poolName, "b", 4)
}

// changedByFormerLeader loads changes of the first hosts that a former leader has announced.
func (s *simulation) changedByFormerLeader(count int) {
	for n := range count {
		s.leader.LoadHostChange(fleet.HostID(returningHost(n)), s.now, s.now, s.now)
	}
}

// listInDifferentCentres lists an endpoint in each of three data centres.
func (s *simulation) listInDifferentCentres(left time.Duration) {
	for n, dataCentre := range []string{evacuated, remaining, "alofi"} {
		s.listEndpoint(dataCentre, returningHost(n), returningEndpoint("a", n), left)
	}
}

// listOnUnknownHosts lists endpoints whose hosts are not known.
func (s *simulation) listOnUnknownHosts(count int, left time.Duration) {
	for n := range count {
		s.listEndpoint(evacuated, "", returningEndpoint("a", n), left)
	}
}

// Guards against a data centre that is slow for long after its return, since all work that waits
// starts on its cold endpoints at once, and against a limit for endpoints that are cold by
// themselves, for instance after a move.
func TestColdEndpointsOfReturningDataCentre(t *testing.T) {
	const full, half = 16, 8
	tests := map[string]struct {
		prepare func(s *simulation)
		// want is the number of tasks that one endpoint takes.
		want int
	}{
		"warm": {want: full, prepare: func(s *simulation) { s.listReturning("a", 4, 0) }},
		"cold when the leader learns of them": {want: full, prepare: func(s *simulation) {
			s.listReturning("a", 4, warmUp)
		}},
		"cold at the withdrawal": {want: half, prepare: func(s *simulation) {
			s.listReturning("a", 1, warmUp)
			s.evacuate(evacuated)
			s.evacuate()
		}},
		"warm at the withdrawal": {want: full, prepare: func(s *simulation) {
			s.listReturning("a", 1, 0)
			s.evacuate(evacuated)
			s.evacuate()
		}},
		"cold at the withdrawal, warm later": {want: full, prepare: func(s *simulation) {
			s.listReturning("a", 1, warmUp)
			s.evacuate(evacuated)
			s.evacuate()
			s.listReturning("a", 1, 0)
		}},
		"still cold later": {want: half, prepare: func(s *simulation) {
			s.listReturning("a", 1, warmUp)
			s.evacuate(evacuated)
			s.evacuate()
			s.listReturning("a", 1, warmUp/2)
		}},
		"cold at the withdrawal of another data centre": {want: full, prepare: func(s *simulation) {
			s.listReturning("a", 1, warmUp)
			s.evacuate(remaining)
			s.evacuate()
		}},
		"several become cold": {want: half, prepare: func(s *simulation) {
			s.listReturning("a", 3, 0)
			s.listReturning("a", 3, warmUp)
		}},
		"several come back as others": {want: half, prepare: func(s *simulation) {
			s.listReturning("a", 3, 0)
			s.removeReturning("a", 3)
			s.listReturning("b", 3, warmUp)
		}},
		"a single one becomes cold": {want: full, prepare: func(s *simulation) {
			s.listReturning("a", 3, 0)
			s.listReturning("a", 1, warmUp)
		}},
		"a single one comes back as another": {want: full, prepare: func(s *simulation) {
			s.listReturning("a", 3, 0)
			s.removeReturning("a", 1)
			s.listReturning("b", 1, warmUp)
		}},
		"several become cold one by one": {want: full, prepare: func(s *simulation) {
			s.listReturning("a", 4, 0)
			s.listOneByOne("a", 4, warmUp)
		}},
		"several are cold since different times": {want: full, prepare: func(s *simulation) {
			s.listReturning("a", 4, 0)
			s.listOneByOne("a", 4, 20*time.Second)
			s.listReturning("a", 4, 10*time.Second)
		}},
		"new ones on hosts that are not known": {want: full, prepare: func(s *simulation) {
			s.listOnUnknownHosts(4, warmUp)
		}},
		"in different data centres": {want: full, prepare: func(s *simulation) {
			s.listInDifferentCentres(0)
			s.listInDifferentCentres(warmUp)
		}},
		"several come back from the leader's moves": {want: full, prepare: func(s *simulation) {
			s.moveReturning()
			s.listReturning("b", 4, warmUp)
		}},
		"several come back from changes of the former leader": {want: full, prepare: func(s *simulation) {
			s.changedByFormerLeader(4)
			s.listReturning("a", 4, 0)
			s.listReturning("b", 4, warmUp)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			test.prepare(s)
			s.advance(100 * time.Millisecond)
			for n := range 8 {
				s.submit(submission(n+1, tasks(16)))
			}
			most := 0
			for _, count := range startsOn(s.step().Starts) {
				most = max(most, count)
			}
			if most != test.want {
				t.Errorf("tasks on one endpoint: got %d, want %d", most, test.want)
			}
		})
	}
}
