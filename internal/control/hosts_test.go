package control

import (
	"context"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// recordingHosts accepts all changes and counts them.
type recordingHosts struct {
	Hosts
	changes int
}

func (h *recordingHosts) StartMaintenance(context.Context, uint64, fleet.HostID, int64) fleet.ChangeOutcome {
	h.changes++
	return fleet.ChangeAccepted
}

// Guards against host changes that end tasks at work: a change waits until the store is back,
// while the host crashes and comes back with an endpoint that gets tasks.
func TestQueuedHostChangeIsWithdrawn(t *testing.T) {
	const confirmationTimeout = 1500 * time.Millisecond
	host := fleet.Host{ID: "m-1", Pool: "p", State: fleet.HostUp, Endpoint: "i-1", Capacity: policy.Resources{CPU: 16000, Memory: 65536}}
	replaced, crashed, moving := host, host, host
	moving.State = fleet.HostMoving
	replaced.Endpoint = "i-2"
	crashed.State, crashed.Endpoint = fleet.HostDown, ""
	task := job.Task{Job: "5c0e7a21d94b36f8"}
	tests := map[string]struct {
		event func(leader *fleet.Leader, now time.Time)
		// waited is the time from the order, when the leadership was last confirmed.
		waited time.Duration
		want   int
	}{
		"nothing happened": {event: func(*fleet.Leader, time.Time) {}, waited: time.Second, want: 1},
		"host runs another endpoint": {event: func(leader *fleet.Leader, now time.Time) {
			leader.UpdateHosts([]fleet.Host{replaced}, now, now)
		}},
		"host is down": {event: func(leader *fleet.Leader, now time.Time) {
			leader.UpdateHosts([]fleet.Host{crashed}, now, now)
		}},
		"host is moving": {event: func(leader *fleet.Leader, now time.Time) {
			leader.UpdateHosts([]fleet.Host{moving}, now, now)
		}},
		"endpoint reports a run": {event: func(leader *fleet.Leader, now time.Time) {
			running := []fleet.RunningTask{{Task: task, Run: 1, SpeedPercent: 100}}
			leader.HandleReport("i-1", fleet.LeaseRenewal{}, now, fleet.Report{Clock: time.Hour, StartedAt: time.UnixMilli(1000), Running: running}, now)
		}},
		"leadership not confirmed": {event: func(*fleet.Leader, time.Time) {}, waited: confirmationTimeout},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			hosts := &recordingHosts{}
			control := New(Config{Store: table.NewMemory(), Hosts: hosts, Journal: discardJournal{}})
			current := newTerm(context.Background(), control, record.Claim{Token: 1}, 1)
			leader := current.leader
			orderedAt := time.Now()
			leader.ConfirmLeadership(orderedAt)
			now := orderedAt.Add(c.waited)
			leader.Load([]fleet.StoredJob{{Submission: &job.Submission{ID: task.Job, Queue: "q", Pool: "p", Steps: []job.Step{
				{Count: 1, Requires: "other", Resources: policy.Resources{CPU: 500, Memory: 256}},
			}}}}, orderedAt, orderedAt)
			leader.UpdateEndpoint(endpointRow(1000), orderedAt)
			leader.UpdateHosts([]fleet.Host{host}, orderedAt, orderedAt)
			leader.HandleReport("i-1", fleet.LeaseRenewal{}, orderedAt, fleet.Report{Clock: time.Hour, StartedAt: time.UnixMilli(1000)}, orderedAt)
			leader.UpdateWave(fleet.WaveRow{Number: 1, Hosts: []fleet.HostID{host.ID}, MaxDown: 1}, orderedAt)
			orders := leader.Step(orderedAt, orderedAt)
			if len(orders.Maintenance) != 1 {
				t.Fatalf("maintenance orders: got %d, want 1", len(orders.Maintenance))
			}
			c.event(leader, now)
			current.executeHostOrder(context.Background(), hostOrder{maintenance: &orders.Maintenance[0]}, now)
			if hosts.changes != c.want {
				t.Errorf("changes sent: got %d, want %d", hosts.changes, c.want)
			}
		})
	}
}

// Guards against more hosts in maintenance than a wave allows at once: a new leader has to know of
// which hosts the former one has ordered the maintenance.
func TestAnnouncedMaintenanceNamesItsWave(t *testing.T) {
	ctx := context.Background()
	store := table.NewMemory()
	claim := record.Claim{Token: 1, Name: "a"}
	if err := store.Commit(ctx, table.Txn{Writes: []table.Write{{Key: record.ClaimKey, Value: record.Encode(claim)}}}); err != nil {
		t.Fatal(err)
	}
	rows, err := store.Get(ctx, record.ClaimKey)
	if err != nil {
		t.Fatal(err)
	}
	control := New(Config{Store: store, Hosts: &recordingHosts{}, Journal: discardJournal{}, Lost: func(uint64, string) {}})
	current := newTerm(ctx, control, claim, rows[0].Version)
	current.executeHostOrders(ctx, []hostOrder{
		{maintenance: &fleet.MaintenanceOrder{Host: "m-1", Wave: 4}}, {move: &fleet.Move{Host: "m-2", Pool: "p"}},
	})
	changes, err := current.readChanges()
	if err != nil {
		t.Fatal(err)
	}
	for host, want := range map[fleet.HostID]int64{"m-1": 4, "m-2": 0} {
		if got, ok := changes[host]; !ok || got.Wave != want {
			t.Errorf("announced change of %s: got %+v (%t), want wave %d", host, got, ok, want)
		}
	}
}
