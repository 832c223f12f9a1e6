package fleet_test

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
)

// Pattern: restart-at-the-peak. Reading the rows of a large fleet takes a new leader
// longer than the leases of the former one last.
func TestLeasesAreRenewedWhileJobsLoad(t *testing.T) {
	s := newSimulation(t, simulationConfig{token: 2, unloaded: true})
	s.leader.UpdateEndpoint(endpointRow("a"), s.now)
	stored := submission(1, tasks(1))
	run := fleet.RunningTask{Task: job.Task{Job: stored.ID}, Run: 1, SpeedPercent: 100}
	s.running["a"] = []fleet.RunningTask{run}
	var lease time.Duration
	const loadTime = 20 * time.Second
	for s.now.Sub(s.startedAt) < loadTime {
		renewal, isDue := s.leader.NextRenewal("a", s.now)
		if isDue {
			lease = max(lease, renewal.Lease)
			s.renewLease("a")
		}
		if clock := s.now.Sub(s.startedAt); clock > 100*time.Millisecond && lease < clock+time.Second {
			t.Fatalf("lease after %s: got until %s, want a second more at least", clock, lease)
		}
		s.advance(50 * time.Millisecond)
	}
	s.leader.Load([]fleet.StoredJob{{Submission: stored}}, s.now, s.now)
	if starts := s.step().Starts; len(starts) != 0 {
		t.Fatalf("starts before the endpoint has told what it runs: got %v, want none", starts)
	}
	s.renewLease("a")
	for range 3 {
		if starts := s.step().Starts; len(starts) != 0 {
			t.Errorf("starts beside the run of the former leader: got %v, want none", starts)
		}
		s.advance(50 * time.Millisecond)
		s.renewLease("a")
	}
}

// TestLeaseRenewedWhileLoadingIsWaitedOut: an endpoint that no longer answers keeps its
// runs until the lease is over that the new leader has renewed, which may be later than
// the end of all leases of the former one.
func TestLeaseRenewedWhileLoadingIsWaitedOut(t *testing.T) {
	s := newSimulation(t, simulationConfig{token: 2, unloaded: true})
	s.addEndpoint("b")
	s.leader.UpdateEndpoint(endpointRow("a"), s.now)
	var lease time.Duration
	for range 80 {
		if renewal, isDue := s.leader.NextRenewal("a", s.now); isDue {
			lease = max(lease, renewal.Lease)
			s.renewLease("a")
		}
		s.renewLease("b")
		s.advance(100 * time.Millisecond)
	}
	s.leader.Load([]fleet.StoredJob{{Submission: submission(1, tasks(1))}}, s.now, s.now)
	s.renewLease("b")
	s.leader.RenewalFailed("a", fleet.Reply{Outcome: fleet.OrderUnknown}, s.now)
	for s.now.Sub(s.startedAt) < lease {
		if starts := s.step().Starts; len(starts) != 0 {
			t.Fatalf("starts at %s, while the lease of a silent endpoint may last until %s: got %v, want none",
				s.now.Sub(s.startedAt), lease, starts)
		}
		s.renewLease("b")
		s.advance(100 * time.Millisecond)
	}
	for range 30 {
		if len(s.step().Starts) > 0 {
			return
		}
		s.renewLease("b")
		s.advance(100 * time.Millisecond)
	}
	t.Error("starts after the lease of the silent endpoint: got none, want the waiting task's")
}

// Guards against two runs of a task at once: an endpoint's entry has expired while the store was
// away, and the host list lags, so that no list shows the endpoint to a leader that takes over.
func TestInheritedTaskWaitsForEntriesThatExpired(t *testing.T) {
	const entryReturnTime = 2 * time.Second
	former, moving, unnamed := newHost(poolName, "a"), downHost("a"), newHost(poolName, "a")
	former.Endpoint, moving.State, unnamed.Endpoint = "b", fleet.HostMoving, ""
	tests := map[string][]fleet.Host{
		"host is down":                  {downHost("a")},
		"host is moving":                {moving},
		"host names no endpoint":        {unnamed},
		"host is spare":                 {{ID: former.ID, Pool: spareName, State: fleet.HostUp, Capacity: endpointSize}},
		"host names another endpoint":   {former},
		"host is missing from the list": nil,
	}
	for name, rows := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{token: 2, jobs: []fleet.StoredJob{{Submission: submission(1, tasks(2))}}})
			storeReturned := s.now
			s.running["a"] = []fleet.RunningTask{{Task: job.Task{Job: jobID(1)}, Run: 1, SpeedPercent: 100}}
			s.addEndpoint("b")
			for s.now.Sub(storeReturned) < entryReturnTime {
				s.leader.NoteStoreReturn(storeReturned)
				s.leader.ConfirmEndpoints(s.now)
				s.listed(append(rows, newHost(poolName, "b"))...)
				s.wantOrders("while entries may be missing", 0, 0)
				s.advance(100 * time.Millisecond)
			}
			s.addEndpoint("a")
			s.advance(time.Second)
			s.leader.NoteStoreReturn(storeReturned)
			s.leader.ConfirmEndpoints(s.now)
			s.listed(append(rows, newHost(poolName, "b"))...)
			if starts := s.step().Starts; len(starts) != 1 || starts[0].Task.Index != 1 {
				t.Errorf("starts once all entries are back: got %v, want that of the task that does not run", starts)
			}
		})
	}
}

// Guards against a takeover that waits although the store has been there all the while.
func TestInheritedTaskStartsAtOnceIfTheStoreWasThere(t *testing.T) {
	s := newSimulation(t, simulationConfig{token: 2, jobs: []fleet.StoredJob{{Submission: submission(1, tasks(1))}}})
	s.addEndpoint("b")
	s.leader.NoteStoreReturn(s.now.Add(-time.Minute))
	s.leader.ConfirmEndpoints(s.now)
	s.listed(downHost("a"), newHost(poolName, "b"))
	s.wantOrders("with a store that was there", 1, 0)
}

// Guards against two runs of a task at once: the list is older than the former leader's last orders by less than it
// shows endpoints that have restarted, so that the silent one may hold the longest lease from an order for its former
// life. A list that is up to date shows that it has not.
func TestInheritedTaskWaitsForListOfNow(t *testing.T) {
	const ownLease, longestLease = 8 * time.Second, 12 * time.Second
	tests := map[string]struct {
		listAge     time.Duration
		after, most time.Duration
	}{
		"list up to date":       {0, 0, ownLease + time.Second},
		"store away since then": {time.Hour, longestLease, longestLease + 2*time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			onePool := defaultPolicy()
			onePool.Pools = onePool.Pools[:1]
			s := newSimulation(t, simulationConfig{token: 2, policy: onePool, jobs: []fleet.StoredJob{{Submission: submission(1, tasks(1))}}})
			tookOver := s.now
			s.addEndpoint("b")
			s.leader.UpdateEndpoint(endpointRow("a"), s.now)
			s.listHostsOf("a", "b")
			for s.now.Sub(tookOver) < time.Minute {
				if asOf := s.now.Sub(tookOver); asOf < 3*time.Second || test.listAge == 0 {
					s.leader.ConfirmEndpoints(s.now)
				}
				if len(s.step().Starts) > 0 {
					break
				}
				s.advance(100 * time.Millisecond)
				s.renewLease("b")
			}
			if got := s.now.Sub(tookOver); got < test.after || got > test.most {
				t.Errorf("start of the inherited task: got %s after the takeover, want between %s and %s", got, test.after, test.most)
			}
		})
	}
}
