package task_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lovagedyke/lovagedyke/internal/table"
	"github.com/lovagedyke/lovagedyke/internal/task"
)

// electionSim simulates three candidates for one shard and records the holder of
// each epoch.
type electionSim struct {
	t          *rapid.T
	store      *table.Memory
	now        time.Time
	candidates []*task.Election
	holders    map[uint64]int
}

func newElectionSim(t *rapid.T) *electionSim {
	r := &electionSim{t: t, store: table.NewMemory(), now: time.Unix(1, 0), holders: map[uint64]int{}}
	for i := range 3 {
		r.candidates = append(r.candidates, task.NewElection(task.ElectionConfig{
			Shard: "pool-a", Holder: fmt.Sprint("manager-", i), HeartbeatTimeout: 10 * time.Second,
		}))
	}
	return r
}

func (r *electionSim) readRows(i int) []table.Row {
	rows, err := r.store.Get(context.Background(), r.candidates[i].Keys()...)
	if err != nil {
		r.t.Fatal(err)
	}
	return rows
}

// step makes a candidate commit a heartbeat if it holds the shard, or else claim
// the shard if it may. With rival set, another candidate commits its claim first.
func (r *electionSim) step(i int, release, rival bool) {
	rows := r.readRows(i)
	if fence, epoch, won := r.candidates[i].Won(rows); won {
		r.heartbeat(i, fence, epoch, release)
		return
	}
	txn, claims := r.candidates[i].Observe(r.now, rows)
	if !claims {
		return
	}
	other := (i + 1) % len(r.candidates)
	if first, claimsToo := r.candidates[other].Observe(r.now, r.readRows(other)); claimsToo && rival {
		_ = r.store.Commit(context.Background(), first)
	}
	_ = r.store.Commit(context.Background(), txn)
}

func (r *electionSim) heartbeat(i int, fence table.Condition, epoch uint64, release bool) {
	if holder, known := r.holders[epoch]; known && holder != i {
		r.t.Fatalf("epoch %d: got holders %d and %d, want one", epoch, holder, i)
	}
	r.holders[epoch] = i
	if err := r.store.Commit(context.Background(), r.candidates[i].Heartbeat(fence, release)); err != nil {
		r.t.Fatalf("heartbeat of the holder: got %v, want no error", err)
	}
}

// TestElection checks, while candidates race for a shard, send heartbeats, release
// it and stop, that each epoch has one holder and that a holder without heartbeats
// is replaced.
func TestElection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newElectionSim(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r.now = r.now.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "wait")) * time.Second)
			release := rapid.IntRange(0, 9).Draw(t, "release") == 0
			r.step(rapid.IntRange(0, 2).Draw(t, "candidate"), release, rapid.Bool().Draw(t, "rival"))
		}
		for range 12 {
			r.now = r.now.Add(2 * time.Second)
			r.step(0, false, false)
		}
		if _, _, won := r.candidates[0].Won(r.readRows(0)); !won {
			t.Error("the only remaining candidate: does not hold the shard, want it to")
		}
	})
}
