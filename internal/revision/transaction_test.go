package revision_test

import (
	"context"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/lovagedyke/lovagedyke/internal/catalogue"
	"github.com/lovagedyke/lovagedyke/internal/keyring"
	"github.com/lovagedyke/lovagedyke/internal/revision"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// faultyStore loses replies, fails calls and lets another operator commit
// between a read and the commit that follows it.
type faultyStore struct {
	*table.Memory
	t     *rapid.T
	rival func()
}

func (s *faultyStore) Commit(ctx context.Context, txn table.Txn) error {
	if rival := s.rival; rival != nil && rapid.IntRange(0, 3).Draw(s.t, "rival") == 0 {
		s.rival = nil
		rival()
		s.rival = rival
	}
	switch rapid.IntRange(0, 4).Draw(s.t, "fate") {
	case 0:
		return table.ErrUnavailable
	case 1:
		return table.ErrUnknown // never arrived
	case 2:
		if err := s.Memory.Commit(ctx, txn); err != nil {
			return err
		}
		return table.ErrUnknown
	}
	return s.Memory.Commit(ctx, txn)
}

func (s *faultyStore) Scan(ctx context.Context, prefix string) ([]table.Row, error) {
	if rapid.IntRange(0, 5).Draw(s.t, "scan") == 0 {
		return nil, table.ErrUnavailable
	}
	return s.Memory.Scan(ctx, prefix)
}

// addLimit raises team a's upper limit by one, so that the limit counts how
// often the edits of all operations were applied.
func addLimit(state revision.State) (revision.State, error) {
	c := state.Catalogue.Clone()
	team := c.Teams["a"]
	c.Teams["a"] = catalogue.Team{Name: "a", UpperLimit: team.UpperLimit + 1, Share: 1}
	state.Catalogue = c
	return state, nil
}

func TestOperationsApplyOnce(t *testing.T) {
	ctx := context.Background()
	rapid.Check(t, func(t *rapid.T) {
		store := &faultyStore{Memory: table.NewMemory(), t: t}
		rivals := 0
		store.rival = func() {
			rivals++
			op := revision.Operation{ID: fmt.Sprintf("rival-%d", rivals)}
			if _, err := revision.Transaction(ctx, store.Memory, op, addLimit); err != nil {
				t.Fatal(err)
			}
		}
		applied := 0
		for i := range 10 {
			op := revision.Operation{ID: fmt.Sprintf("op-%d", i)}
			if rapid.Bool().Draw(t, "conditional") {
				found, err := revision.Head(ctx, store.Memory)
				if err != nil {
					t.Fatal(err)
				}
				op.Expected = &found
			}
			if runUntilKnown(ctx, t, store, op) {
				applied++
			}
		}
		state, err := revision.Load(ctx, store.Memory)
		if err != nil {
			t.Fatal(err)
		}
		if got, want := state.Catalogue.Teams["a"].UpperLimit, applied+rivals; got != want {
			t.Fatalf("applied edits: got %d, want %d", got, want)
		}
		if got, want := state.Revision, uint64(applied+rivals); got != want {
			t.Fatalf("revision: got %d, want %d", got, want)
		}
	})
}

// runUntilKnown repeats an operation until its outcome is known, and reports
// whether it was applied.
func runUntilKnown(ctx context.Context, t *rapid.T, store table.Store, op revision.Operation) bool {
	for range 1000 {
		change, err := revision.Transaction(ctx, store, op, addLimit)
		var stale *revision.StaleRevisionError
		switch {
		case err == nil:
			repeated, err := revision.Transaction(ctx, store.(*faultyStore).Memory, op, addLimit)
			if err != nil || repeated.Revision != change.Revision {
				t.Fatalf("repeated: got %+v, %v, want revision %d", repeated, err, change.Revision)
			}
			return true
		case errors.As(err, &stale):
			if stale.Expected != *op.Expected || stale.Found <= stale.Expected {
				t.Fatalf("got %+v, want expected %d and a later one", stale, *op.Expected)
			}
			return false
		case table.IsUnknown(err), errors.Is(err, table.ErrUnavailable):
		default:
			t.Fatal(err)
		}
	}
	t.Fatal("got no outcome in 1000 runs")
	return false
}

// TestChangesReplayToLoadedState checks that applying the changes one by one
// results in the state that Load returns.
func TestChangesReplayToLoadedState(t *testing.T) {
	ctx := context.Background()
	rapid.Check(t, func(t *rapid.T) {
		store, got := table.NewMemory(), revision.Empty()
		for i := range 8 {
			change, err := revision.Transaction(ctx, store, revision.Operation{}, func(s revision.State) (revision.State, error) {
				return drawEdit(t, s, i), nil
			})
			if err != nil {
				t.Fatal(err)
			}
			next, ok := revision.Apply(got, change)
			if ok == change.Empty() {
				t.Fatalf("change %+v at revision %d: got applied %v, want %v", change, got.Revision, ok, !change.Empty())
			}
			got = next
		}
		want, err := revision.Load(ctx, store)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
		whole, err := want.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if got, ok := revision.Apply(revision.Empty(), whole); ok != (want.Revision > 0) || !reflect.DeepEqual(got, want) {
			t.Fatalf("snapshot: got %+v, %v, want %+v", got, ok, want)
		}
	})
}

func drawEdit(t *rapid.T, s revision.State, i int) revision.State {
	next := s
	next.Catalogue = s.Catalogue.Clone()
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
	switch rapid.IntRange(0, 6).Draw(t, "edit") {
	case 0:
		next.Catalogue.Teams[name] = catalogue.Team{Name: name, UpperLimit: i, Share: 1}
	case 1:
		next.Catalogue.Entries[name] = catalogue.Entry{Name: name, Team: name, Limit: i}
	case 2:
		delete(next.Catalogue.Entries, name)
	case 3:
		next.Keys = next.Keys.With(keyring.Key{ID: name, Team: name, Hash: []byte{1}, Withdrawn: i%2 == 0})
	case 4:
		delete(next.Catalogue.Teams, name)
	case 5:
		next = next.WithEvacuation(name, time.Unix(int64(i), 0))
	case 6:
		next = next.WithoutEvacuation(name)
	}
	return next
}

func TestTransactionErrors(t *testing.T) {
	ctx := context.Background()
	old := uint64(0)
	tests := map[string]struct {
		op   revision.Operation
		want any
	}{
		"expected revision is old": {revision.Operation{ID: "new", Expected: &old}, &revision.StaleRevisionError{Expected: 0, Found: 1}},
		"id of another change":     {revision.Operation{ID: "first", Digest: "other"}, &revision.ReusedError{ID: "first", Revision: 1}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			store := table.NewMemory()
			if _, err := revision.Transaction(ctx, store, revision.Operation{ID: "first"}, addLimit); err != nil {
				t.Fatal(err)
			}
			if _, got := revision.Transaction(ctx, store, tc.op, addLimit); !reflect.DeepEqual(got, tc.want) {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
	t.Run("removed from the roster", func(t *testing.T) {
		guard := []table.Condition{{Key: "roster/m", Version: 7}}
		_, err := revision.Transaction(ctx, table.NewMemory(), revision.Operation{Guard: guard}, addLimit)
		if !errors.Is(err, revision.ErrFenced) {
			t.Errorf("got %v, want %v", err, revision.ErrFenced)
		}
	})
}

// TestResolveInvalidatesOlderCommits checks that a commit that is still in
// flight when Resolve returns has no effect.
func TestResolveInvalidatesOlderCommits(t *testing.T) {
	ctx := context.Background()
	store := &lateStore{Memory: table.NewMemory()}
	if _, err := revision.Transaction(ctx, store.Memory, revision.Operation{}, addLimit); err != nil {
		t.Fatal(err)
	}
	if _, err := revision.Transaction(ctx, store, revision.Operation{ID: "late"}, addLimit); !table.IsUnknown(err) {
		t.Fatalf("got %v, want unknown", err)
	}
	got, err := revision.Resolve(ctx, store.Memory)
	if err != nil || got != 1 {
		t.Fatalf("got %d, %v, want revision 1", got, err)
	}
	if err := store.Memory.Commit(ctx, store.late); !table.IsConflict(err) {
		t.Errorf("late commit: got %v, want a conflict", err)
	}
}

// lateStore keeps a commit in flight and then becomes unreachable.
type lateStore struct {
	*table.Memory
	late      table.Txn
	reachable bool
}

func (s *lateStore) Commit(ctx context.Context, txn table.Txn) error {
	if s.reachable {
		return s.Memory.Commit(ctx, txn)
	}
	s.late = txn
	return table.ErrUnknown
}

func (s *lateStore) Scan(ctx context.Context, prefix string) ([]table.Row, error) {
	if s.late.Writes != nil {
		return nil, table.ErrUnavailable
	}
	return s.Memory.Scan(ctx, prefix)
}
