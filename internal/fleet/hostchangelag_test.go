package fleet_test

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
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

// laggingRows returns rows that show the host of endpoint "x" as it may have been before a change.
func laggingRows() map[string]fleet.Host {
	maintained, moving, former := downHost("x"), downHost("x"), newHost(poolName, "x")
	maintained.State, moving.State, former.Endpoint = fleet.HostMaintenance, fleet.HostMoving, "former"
	return map[string]fleet.Host{
		"in maintenance": maintained, "moving": moving, "down": downHost("x"), "up": newHost(poolName, "x"), "up, with a former endpoint": former,
	}
}

// Guards against a wave that is complete while a host of it was not maintained: an order had no
// answer, and the host list shows the host in the maintenance of an earlier wave.
func TestUnansweredMaintenanceIsRepeated(t *testing.T) {
	for name, row := range laggingRows() {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			hosts := append(baseHosts(), newHost(poolName, "x"))
			s.listHosts(hosts...)
			answer := s.changeHost("m-x", true)
			answer(fleet.ChangeUnknown)
			s.leader.WaveProgress(10)
			var repeated []fleet.MaintenanceOrder
			for range 20 {
				s.advance(300 * time.Millisecond)
				s.listed(with(hosts, row)...)
				if repeated = s.step().Maintenance; len(repeated) > 0 {
					break
				}
				for _, progress := range s.leader.WaveProgress(10) {
					t.Fatalf("progress without an answer: got %+v, want none", progress)
				}
			}
			if len(repeated) != 1 || repeated[0] != (fleet.MaintenanceOrder{Host: "m-x", Wave: 1}) {
				t.Fatalf("maintenance orders after one without an answer: got %v, want it again", repeated)
			}
			s.leader.HandleMaintenanceReply(repeated[0], fleet.ChangeAccepted, s.now)
			if got := s.leader.WaveProgress(10); len(got) != 1 || len(got[0].Done) != 1 {
				t.Errorf("progress after the answer: got %+v, want one host done", got)
			}
		})
	}
}

// Guards against more hosts in maintenance than a wave allows at once: an order was carried out
// without an answer, and the host list still shows the host as it was before.
func TestUnansweredMaintenanceCountsAsDown(t *testing.T) {
	for name, row := range laggingRows() {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			hosts := append(baseHosts(), newHost(poolName, "x"), newHost(poolName, "y"))
			s.listHosts(hosts...)
			s.leader.UpdateWave(fleet.WaveRow{Number: 1, MaxDown: 1, Hosts: []fleet.HostID{"m-x", "m-y"}, TimeLimit: time.Second}, s.now)
			outcomes := []fleet.ChangeOutcome{fleet.ChangeUnknown, fleet.ChangeUnknown, fleet.ChangeRefused, fleet.ChangeBusy, fleet.ChangeUnknown}
			ordered := 0
			for range 20 {
				for _, order := range s.step().Maintenance {
					if order.Host != "m-x" {
						t.Fatalf("maintenance order after %d of m-x without an answer: got %v, want none", ordered, order)
					}
					s.leader.HandleMaintenanceReply(order, outcomes[ordered%len(outcomes)], s.now)
					ordered++
				}
				s.advance(300 * time.Millisecond)
				s.failRenewal("x", fleet.OrderUnknown)
				s.listed(with(hosts, row)...)
			}
			if ordered < 3 {
				t.Errorf("orders of the host: got %d, want it repeated", ordered)
			}
		})
	}
}

// Guards against a host that is lost to the fleet: its move had no answer and was not made, and
// the host list shows an earlier move of it.
func TestUnansweredMoveIsRepeated(t *testing.T) {
	spare := spareHost(0)
	moving, moved := spare, spare
	moving.State, moved.Pool = fleet.HostMoving, poolName
	for name, row := range map[string]fleet.Host{"moving": moving, "in the pool": moved, "as it is": spare} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			hosts := append(baseHosts(), spare)
			s.listHosts(hosts...)
			s.submit(submission(1, tasks(16*(minPoolHosts+8))))
			moves := s.step().Moves
			if len(moves) != 1 {
				t.Fatalf("moves: got %v, want one", moves)
			}
			s.leader.HandleMoveReply(moves[0], fleet.ChangeUnknown, s.now)
			s.advance(300 * time.Millisecond)
			s.listed(with(hosts, row)...)
			for range 20 {
				if got := s.step().Moves; len(got) == 1 && got[0] == moves[0] {
					return
				}
				s.advance(300 * time.Millisecond)
				s.listed(hosts...)
			}
			t.Error("moves after one without an answer: got none, want it again")
		})
	}
}

// Guards against a wave that is complete while a host of it that stays was not maintained: the host
// list, which lags or was read in part, lacks the host for some time. A host that is gone does not
// hold the wave up.
func TestWaveWaitsForHostsThatListsLack(t *testing.T) {
	tests := map[string]struct {
		// wasListed is true if the host was listed before, and answers if its endpoint still does.
		wasListed, answers bool
		lists              int
		want               bool
	}{
		"listed before, missing twice":           {wasListed: true, lists: 2, want: false},
		"listed before, missing for seconds":     {wasListed: true, lists: 12, want: false},
		"listed before, gone":                    {wasListed: true, lists: 40, want: true},
		"listed before, gone, endpoint answers":  {wasListed: true, answers: true, lists: 40, want: false},
		"not listed yet":                         {lists: 2, want: false},
		"not listed yet for seconds":             {lists: 12, want: false},
		"never listed":                           {lists: 40, want: true},
		"never listed, but its endpoint answers": {answers: true, lists: 40, want: false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			hosts := append(baseHosts(), newHost(poolName, "x"))
			y := newHost(poolName, "y")
			if c.wasListed {
				s.listHosts(append(hosts, y)...)
			} else {
				s.listHosts(hosts...)
			}
			if c.answers {
				s.addEndpoint("y")
			}
			s.leader.UpdateWave(fleet.WaveRow{Number: 1, MaxDown: 1, Hosts: []fleet.HostID{"m-x", y.ID}, TimeLimit: time.Second}, s.now)
			for _, order := range s.step().Maintenance {
				if order.Host != "m-x" {
					t.Fatalf("maintenance order: got %v, want that of m-x", order)
				}
				s.leader.HandleMaintenanceReply(order, fleet.ChangeAccepted, s.now)
			}
			s.advance(3 * time.Second)
			s.listed(hosts...)
			isComplete := s.completesWave(c.lists, hosts, func(id fleet.EndpointID) bool { return id != "y" || c.answers })
			if isComplete != c.want {
				t.Errorf("wave complete after %d lists without the host: got %t, want %t", c.lists, isComplete, c.want)
			}
		})
	}
}

// completesWave delivers host lists while the endpoints answer for which answers is true, and
// reports whether a wave was called complete after one of them.
func (s *simulation) completesWave(lists int, hosts []fleet.Host, answers func(id fleet.EndpointID) bool) bool {
	s.t.Helper()
	for range lists {
		s.step()
		for _, progress := range s.leader.WaveProgress(10) {
			if progress.Complete {
				return true
			}
		}
		s.advance(300 * time.Millisecond)
		for _, id := range s.leader.EndpointIDs() {
			if answers(id) {
				s.renewLease(id)
			} else {
				s.failRenewal(id, fleet.OrderUnknown)
			}
		}
		s.listed(hosts...)
	}
	return false
}

// Guards against more hosts in maintenance than a wave allows at once: the platform carries an order
// out seconds after it got no answer, while another endpoint on the host, which has work, answers.
func TestLateMaintenanceCountsAsDown(t *testing.T) {
	const maxDelay = 12 * time.Second
	s := newSimulation(t, simulationConfig{})
	hosts := append(baseHosts(), newHost(poolName, "x"), newHost(poolName, "y"))
	s.listHosts(hosts...)
	s.leader.UpdateWave(fleet.WaveRow{Number: 1, MaxDown: 1, Hosts: []fleet.HostID{"m-x", "m-y"}, TimeLimit: time.Second}, s.now)
	unplaceable := tasks(1)
	unplaceable.Requires = "other"
	s.submit(submission(1, unplaceable))
	order := s.step().Maintenance[0]
	s.leader.HandleMaintenanceReply(order, fleet.ChangeUnknown, s.now)
	orderedAt := s.now
	s.restart("next", s.now)
	row := endpointRow("next")
	row.Host, row.StartedAt = string(order.Host), s.now
	s.leader.UpdateEndpoint(row, s.now)
	s.run(fleet.Start{Endpoint: "next", Task: job.Task{Job: jobID(1)}, Run: 1})
	for s.now.Sub(orderedAt) < maxDelay {
		s.advance(200 * time.Millisecond)
		s.renewAll()
		s.listed(hosts...)
		if got := s.step().Maintenance; len(got) != 0 {
			t.Fatalf("maintenance orders %s after one that may be late: got %v, want none", s.now.Sub(orderedAt), got)
		}
	}
}

// Guards against tasks that a move or maintenance ends: it was ordered by a row that lags, and an
// endpoint that the row does not name answers, and gets work, before the platform has the order.
func TestFreshEndpointGetsNoWorkDuringChange(t *testing.T) {
	unnamed := newHost(poolName, "fresh")
	unnamed.Endpoint = ""
	former := unnamed
	former.Endpoint = "former"
	tests := map[string]struct {
		row         fleet.Host
		maintenance bool
	}{
		"move, spare by its row":                  {fleet.Host{ID: unnamed.ID, Pool: spareName, State: fleet.HostUp, Capacity: endpointSize}, false},
		"maintenance, no endpoint in its row":     {unnamed, true},
		"maintenance, former endpoint in its row": {former, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			s.listHosts(baseHosts()...)
			s.listed(append(baseHosts(), c.row)...)
			s.step()
			s.advance(8 * time.Second)
			s.renewAll()
			s.submit(submission(1, tasks(16*minPoolHosts+4)))
			answer := s.changeHost(c.row.ID, c.maintenance)
			s.acceptStarts()
			row := endpointRow("fresh")
			row.StartedAt = s.now
			s.restart("fresh", s.now)
			s.leader.UpdateEndpoint(row, s.now)
			s.advance(time.Millisecond)
			s.renewLease("fresh")
			s.wantOrders("while the change is on its way", 0, 0)
			answer(fleet.ChangeBusy)
			s.step()
			s.wantOrders("after it was refused", 4, 0)
		})
	}
}

// Guards against more hosts in maintenance than a wave allows at once: a former leader has ordered
// the maintenance of a host just before a takeover, or does so still, and the host list lags.
func TestMaintenanceOfFormerLeaderCountsAsDown(t *testing.T) {
	tests := map[string]struct {
		orderedAgo time.Duration
		isDone     bool
		// answersAfter is when a new endpoint on the host answers, or zero.
		answersAfter time.Duration
		// free is by when at the latest the next host is ordered, held until when it is not.
		held, free time.Duration
	}{
		"ordered just now":               {0, false, 0, 2500 * time.Millisecond, 6 * time.Second},
		"ordered just now, noted":        {0, true, 0, 2500 * time.Millisecond, 6 * time.Second},
		"ordered long ago":               {time.Minute, true, 0, 0, 0},
		"ordered just now, host answers": {0, true, 2600 * time.Millisecond, 2500 * time.Millisecond, 3 * time.Second},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{token: 2})
			hosts := append(baseHosts(), newHost(poolName, "x"), newHost(poolName, "y"))
			s.leader.UpdateWave(fleet.WaveRow{Number: 1, MaxDown: 1, Hosts: []fleet.HostID{"m-x", "m-y"}, TimeLimit: time.Minute}, s.now)
			if c.isDone {
				s.leader.LoadWave(1, []string{"m-x"}, false)
			}
			s.leader.LoadHostChange("m-x", s.now.Add(-c.orderedAgo), s.now, s.now)
			s.leader.LoadMaintenance("m-x", 1, s.now.Add(-c.orderedAgo), s.now, s.now)
			s.listHosts(hosts...)
			takenOver := s.now
			for s.now.Sub(takenOver) <= c.free {
				elapsed := s.now.Sub(takenOver)
				for _, order := range s.step().Maintenance {
					if elapsed < c.held {
						t.Fatalf("maintenance order %s after the takeover: got %v, want none before %s", elapsed, order, c.held)
					}
					return
				}
				if c.answersAfter > 0 && elapsed >= c.answersAfter && s.lifeOf("next").startedAt.Before(takenOver) {
					row := endpointRow("next")
					row.Host, row.StartedAt = "m-x", s.now
					s.restart("next", s.now)
					s.leader.UpdateEndpoint(row, s.now)
				}
				s.advance(50 * time.Millisecond)
				s.renewAll()
				s.listed(hosts...)
			}
			t.Errorf("maintenance orders until %s after the takeover: got none, want one", c.free)
		})
	}
}

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
