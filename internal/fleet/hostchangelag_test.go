package fleet_test

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
)

// maintenanceTime is how long the simulated platform maintains a host.
const maintenanceTime = 2 * time.Second

// maintainFirst returns a simulation in which the platform has accepted the maintenance of the
// first of two hosts, of which one may be down at once, and the hosts.
func maintainFirst(t *testing.T) (*simulation, []fleet.Host) {
	t.Helper()
	s := newSimulation(t, simulationConfig{})
	hosts := append(baseHosts(), newHost(poolName, "x"), newHost(poolName, "y"))
	s.listHosts(hosts...)
	s.leader.UpdateWave(fleet.WaveRow{Number: 1, MaxDown: 1, Hosts: []fleet.HostID{"m-x", "m-y"}, TimeLimit: time.Second}, s.now)
	orders := s.step().Maintenance
	if len(orders) != 1 || orders[0].Host != "m-x" {
		t.Fatalf("maintenance orders: got %v, want one of m-x", orders)
	}
	s.leader.HandleMaintenanceReply(orders[0], fleet.ChangeAccepted, s.now)
	return s, hosts
}

// with returns the hosts with another row for one of them.
func with(hosts []fleet.Host, row fleet.Host) []fleet.Host {
	changed := make([]fleet.Host, 0, len(hosts))
	for _, h := range hosts {
		if h.ID == row.ID {
			h = row
		}
		changed = append(changed, h)
	}
	return changed
}

// Guards against more hosts in maintenance than a wave allows at once: the host list lags and
// shows a host as up, as it was before its maintenance, while it is down.
func TestMaintainedHostIsDownThoughTheListShowsItUp(t *testing.T) {
	former := newHost(poolName, "x")
	former.Endpoint = "former"
	unnamed := newHost(poolName, "x")
	unnamed.Endpoint = ""
	rows := map[string]fleet.Host{
		"with the endpoint that was on it": newHost(poolName, "x"),
		"with an earlier endpoint":         former,
		"without an endpoint":              unnamed,
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			s, hosts := maintainFirst(t)
			acceptedAt := s.now
			for s.now.Sub(acceptedAt) < maintenanceTime-100*time.Millisecond {
				s.advance(100 * time.Millisecond)
				s.listed(with(hosts, row)...)
				if got := s.step().Maintenance; len(got) != 0 {
					t.Fatalf("maintenance orders %s after the first: got %v, want none", s.now.Sub(acceptedAt), got)
				}
			}
			s.advance(300 * time.Millisecond)
			s.listed(hosts...)
			if got := len(s.step().Maintenance); got != 1 {
				t.Errorf("maintenance orders after the time that it takes: got %d, want 1", got)
			}
		})
	}
}

// Guards against a host that counts as down for longer than it is: the host list lags, and its new
// endpoint already answers.
func TestMaintainedHostIsBackOnceItsEndpointAnswers(t *testing.T) {
	maintained := downHost("x")
	maintained.State = fleet.HostMaintenance
	for name, id := range map[string]fleet.EndpointID{"new endpoint": "next", "same endpoint, new start": "x"} {
		t.Run(name, func(t *testing.T) {
			s, hosts := maintainFirst(t)
			s.advance(maintenanceTime - 200*time.Millisecond)
			s.listed(with(hosts, maintained)...)
			row := endpointRow(id)
			row.Host, row.StartedAt = hostOf("x"), s.now
			s.restart(id, s.now)
			s.leader.UpdateEndpoint(row, s.now)
			if got := len(s.step().Maintenance); got != 0 {
				t.Errorf("maintenance orders before the endpoint answers: got %d, want 0", got)
			}
			s.advance(time.Millisecond)
			s.renewLease(id)
			for range 3 {
				if got := s.step().Maintenance; len(got) == 1 {
					return
				}
				s.advance(100 * time.Millisecond)
				s.listed(with(hosts, maintained)...)
			}
			t.Error("maintenance orders once the endpoint has answered: got none, want that of the other host")
		})
	}
}
