package fleet_test

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
)

// Guards against maintenance that ends runs of the former leader: the host list lags and shows no
// endpoint on the host, whose endpoint has not reported to the new leader yet.
func TestMaintenanceWaitsForUnreachedEndpoint(t *testing.T) {
	unnamed := newHost(poolName, "a")
	unnamed.Endpoint = ""
	for name, row := range map[string]fleet.Host{"named": newHost(poolName, "a"), "not named": unnamed} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{token: 2})
			s.addEndpoint("b")
			s.addEndpoint("c")
			s.list("a")
			s.listed(row, newHost(poolName, "b"), newHost(poolName, "c"))
			s.leader.UpdateWave(fleet.WaveRow{Number: 1, MaxDown: 1, Hosts: []fleet.HostID{row.ID}, TimeLimit: time.Second}, s.now)
			for range 10 {
				orders := s.step()
				if len(orders.Maintenance) == 0 {
					s.advance(100 * time.Millisecond)
					continue
				}
				if s.leader.ConfirmHostChange(row.ID, s.now) {
					t.Fatalf("maintenance of the host of an endpoint that has not reported: got ordered and confirmed, want none")
				}
			}
		})
	}
}

// Guards against more hosts down at once than a wave allows: the host list lags and shows the first
// host as it was before its maintenance.
func TestWaveLimitWithHostListThatLags(t *testing.T) {
	for name, lag := range map[string]time.Duration{"no lag": 0, "1.5 s": 1500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			hosts := baseHosts()
			s.listHosts(hosts...)
			s.leader.UpdateWave(fleet.WaveRow{Number: 1, MaxDown: 1, Hosts: []fleet.HostID{hosts[0].ID, hosts[1].ID}, TimeLimit: time.Second}, s.now)
			orders := s.step().Maintenance
			if len(orders) != 1 {
				t.Fatalf("maintenance orders at first: got %d, want 1", len(orders))
			}
			s.leader.HandleMaintenanceReply(orders[0], fleet.ChangeAccepted, s.now)
			down := 0
			if orders[0].Host == hosts[1].ID {
				down = 1
			}
			before, acceptedAt := hosts[down], s.now
			for s.now.Sub(acceptedAt) < 1900*time.Millisecond {
				s.advance(100 * time.Millisecond)
				hosts[down] = before
				if s.now.Sub(acceptedAt) >= lag {
					hosts[down].State, hosts[down].Endpoint = fleet.HostMaintenance, ""
				}
				s.listed(hosts...)
				if got := len(s.step().Maintenance); got != 0 {
					t.Fatalf("maintenance orders %s after the first host went down for 2 s, at most 1 at once: got %d, want 0", s.now.Sub(acceptedAt), got)
				}
			}
		})
	}
}
