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
	s := &electionSim{t: t, store: table.NewMemory(), now: time.Unix(1, 0), holders: map[uint64]int{}}
	for i := range 3 {
		s.candidates = append(s.candidates, task.NewElection(task.ElectionConfig{
			Shard: "pool-a", Holder: fmt.Sprint("manager-", i), HeartbeatTimeout: 10 * time.Second,
		}))
	}
	return s
}

func (s *electionSim) readRows(i int) []table.Row {
	rows, err := s.store.Get(context.Background(), s.candidates[i].Keys()...)
	if err != nil {
		s.t.Fatal(err)
	}
	return rows
}

// step makes a candidate commit a heartbeat if it holds the shard, or else claim
// the shard if Observe allows it. With rival set, another candidate commits its claim first.
func (s *electionSim) step(i int, release, rival bool) {
	rows := s.readRows(i)
	if fence, epoch, won := s.candidates[i].Won(rows); won {
		s.heartbeat(i, fence, epoch, release)
		return
	}
	txn, claims := s.candidates[i].Observe(s.now, rows)
	if !claims {
		return
	}
	other := (i + 1) % len(s.candidates)
	if first, claimsToo := s.candidates[other].Observe(s.now, s.readRows(other)); claimsToo && rival {
		_ = s.store.Commit(context.Background(), first)
	}
	_ = s.store.Commit(context.Background(), txn)
}

func (s *electionSim) heartbeat(i int, fence table.Condition, epoch uint64, release bool) {
	if holder, known := s.holders[epoch]; known && holder != i {
		s.t.Fatalf("epoch %d: got holders %d and %d, want one", epoch, holder, i)
	}
	s.holders[epoch] = i
	if err := s.store.Commit(context.Background(), s.candidates[i].Heartbeat(fence, release)); err != nil {
		s.t.Fatalf("heartbeat of the holder: got %v, want no error", err)
	}
}

// TestElection checks, while candidates race for a shard, send heartbeats, release
// it and stop, that each epoch has one holder and that a holder without heartbeats
// is replaced.
func TestElection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newElectionSim(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			s.now = s.now.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "wait")) * time.Second)
			release := rapid.IntRange(0, 9).Draw(t, "release") == 0
			s.step(rapid.IntRange(0, 2).Draw(t, "candidate"), release, rapid.Bool().Draw(t, "rival"))
		}
		for range 12 {
			s.now = s.now.Add(2 * time.Second)
			s.step(0, false, false)
		}
		if _, _, won := s.candidates[0].Won(s.readRows(0)); !won {
			t.Error("the only remaining candidate: does not hold the shard, want it to")
		}
	})
}
