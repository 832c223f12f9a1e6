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

var releasedShard = task.ElectionConfig{Shard: "pool-a", Holder: "manager-1", HeartbeatTimeout: 10 * time.Second}

// released is a candidate for a shard that it has held and released.
type released struct {
	*task.Election
	t     *testing.T
	store *table.Memory
}

// holdAndRelease lets a candidate hold a shard with epoch 1 and release it.
func holdAndRelease(t *testing.T) *released {
	e := &released{Election: task.NewElection(releasedShard), t: t, store: table.NewMemory()}
	e.commit(e.claim())
	fence, epoch, won := e.Won(e.read())
	if !won || epoch != 1 {
		t.Fatalf("free shard: got %t with epoch %d, want it won with epoch 1", won, epoch)
	}
	e.commit(e.Heartbeat(fence, true))
	return e
}

func (e *released) read() []table.Row {
	rows, err := e.store.Get(context.Background(), e.Keys()...)
	if err != nil {
		e.t.Fatal(err)
	}
	return rows
}

func (e *released) commit(txn table.Txn) {
	if err := e.store.Commit(context.Background(), txn); err != nil {
		e.t.Fatal(err)
	}
}

// claim returns the candidate's claim.
func (e *released) claim() table.Txn {
	txn, claims := e.Observe(time.Unix(1, 0), e.read())
	if !claims {
		e.t.Fatal("shard that is free: got no claim, want one")
	}
	return txn
}

// Guards against two runs of a task at once: a process claims a shard again that it held
// before, and the claim has no effect. If it took its former claim for the new one, it
// would lead with the epoch of its former term, and take that term's attempts for ones
// that it has never started.
func TestClaimWithoutEffect(t *testing.T) {
	tests := map[string]struct {
		// restarted is true if the process campaigns anew, as for changed queues.
		restarted bool
		commit    bool
		wantEpoch uint64
	}{
		"claim applied":                        {commit: true, wantEpoch: 2},
		"claim not applied":                    {},
		"claim of a new candidate applied":     {restarted: true, commit: true, wantEpoch: 2},
		"claim of a new candidate not applied": {restarted: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := holdAndRelease(t)
			if test.restarted {
				e.Election = task.NewElection(releasedShard)
			}
			claim := e.claim()
			if test.commit {
				e.commit(claim)
			}
			_, epoch, won := e.Won(e.read())
			if got, want := won, test.wantEpoch > 0; got != want {
				t.Errorf("won: got %t with epoch %d, want %t", got, epoch, want)
			}
			if won && epoch != test.wantEpoch {
				t.Errorf("epoch: got %d, want %d", epoch, test.wantEpoch)
			}
		})
	}
}
