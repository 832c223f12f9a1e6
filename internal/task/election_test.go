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

// race is three candidates for one shard and the holders that they saw.
type race struct {
	t          *rapid.T
	store      *table.Memory
	now        time.Time
	candidates []*task.Election
	holders    map[uint64]int
}

func newRace(t *rapid.T) *race {
	r := &race{t: t, store: table.NewMemory(), now: time.Unix(1, 0), holders: map[uint64]int{}}
	for i := range 3 {
		r.candidates = append(r.candidates, task.NewElection(task.ElectionConfig{
			Shard: "pool-a", Holder: fmt.Sprint("manager-", i), HeartbeatTimeout: 10 * time.Second,
		}))
	}
	return r
}

func (r *race) look(i int) []table.Row {
	rows, err := r.store.Get(context.Background(), r.candidates[i].Keys()...)
	if err != nil {
		r.t.Fatal(err)
	}
	return rows
}

// act lets a candidate beat if it holds the shard, and else claim it if it may,
// perhaps just after another.
func (r *race) act(i int, release, rival bool) {
	rows := r.look(i)
	if fence, epoch, won := r.candidates[i].Won(rows); won {
		r.beat(i, fence, epoch, release)
		return
	}
	txn, claims := r.candidates[i].Observe(r.now, rows)
	if !claims {
		return
	}
	other := (i + 1) % len(r.candidates)
	if first, also := r.candidates[other].Observe(r.now, r.look(other)); also && rival {
		_ = r.store.Commit(context.Background(), first)
	}
	_ = r.store.Commit(context.Background(), txn)
}

func (r *race) beat(i int, fence table.Condition, epoch uint64, release bool) {
	if holder, taken := r.holders[epoch]; taken && holder != i {
		r.t.Fatalf("epoch %d: got holders %d and %d, want one", epoch, holder, i)
	}
	r.holders[epoch] = i
	if err := r.store.Commit(context.Background(), r.candidates[i].Heartbeat(fence, release)); err != nil {
		r.t.Fatalf("beat of the holder: got %v, want no error", err)
	}
}

// TestElection lets candidates race, beat, release and fall silent, and wants
// each epoch to have one holder and a silent holder to be replaced.
func TestElection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRace(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r.now = r.now.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "wait")) * time.Second)
			release := rapid.IntRange(0, 9).Draw(t, "release") == 0
			r.act(rapid.IntRange(0, 2).Draw(t, "candidate"), release, rapid.Bool().Draw(t, "rival"))
		}
		for range 12 {
			r.now = r.now.Add(2 * time.Second)
			r.act(0, false, false)
		}
		if _, _, won := r.candidates[0].Won(r.look(0)); !won {
			t.Error("the only candidate left: got no shard, want it")
		}
	})
}
