package revision_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/revision"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// After a lost answer the manager is unsettled until Settle succeeds.
func TestAuthorSettles(t *testing.T) {
	ctx := context.Background()
	late := &lateStore{Memory: table.NewMemory()}
	holder := revision.NewReplica(revision.ReplicaConfig{})
	author := newAuthor(late, holder, func() bool { return true })
	if _, err := author.Commit(ctx, revision.Operation{}, addLimit); !table.IsUnknown(err) {
		t.Fatalf("got %v, want unknown", err)
	}
	late.reachable = true
	for _, want := range []bool{true, false} {
		if got := holder.Statement(time.Time{}, 0).Unresolved; got != want {
			t.Errorf("unsettled: got %v, want %v", got, want)
		}
		if err := author.Resolve(ctx); err != nil {
			t.Fatal(err)
		}
	}
}

// A manager's statements say "unsettled" from before a commit is sent until
// its outcome is known, whatever became of it.
func TestAuthorStatesUnsettledCommits(t *testing.T) {
	tests := map[string]struct {
		store         table.Store
		wantUnsettled bool
		wantRevision  uint64
	}{
		"committed":   {store: table.NewMemory(), wantRevision: 1},
		"answer lost": {store: &lateStore{Memory: table.NewMemory()}, wantUnsettled: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			holder := revision.NewReplica(revision.ReplicaConfig{})
			author := newAuthor(tc.store, holder, func() bool { return true })
			_, err := author.Commit(ctx, revision.Operation{}, func(s revision.State) (revision.State, error) {
				if !holder.Statement(time.Time{}, 0).Unresolved {
					t.Error("during the commit: got settled, want unsettled")
				}
				return addLimit(s)
			})
			if got := table.IsUnknown(err); got != tc.wantUnsettled {
				t.Errorf("unknown: got %v, want %v", got, tc.wantUnsettled)
			}
			said := holder.Statement(time.Time{}, 0)
			if said.Unresolved != tc.wantUnsettled || said.Revision != tc.wantRevision {
				t.Errorf("got %+v, want unsettled %v at revision %d", said, tc.wantUnsettled, tc.wantRevision)
			}
		})
	}
}

func TestAuthorWaitsUntilItMayCommit(t *testing.T) {
	store := table.NewMemory()
	joiner := revision.NewJoiner([]revision.Member{{Name: "entry"}, {Name: "gone"}})
	author := newAuthor(store, revision.NewReplica(revision.ReplicaConfig{}), joiner.Ready)
	commit := func() error {
		_, err := author.Commit(context.Background(), revision.Operation{}, addLimit)
		return err
	}
	if err := commit(); !errors.Is(err, revision.ErrJoining) {
		t.Errorf("got %v, want %v", err, revision.ErrJoining)
	}
	joiner.Acknowledge(revision.Member{Name: "entry"})
	joiner.ApplyRoster([]revision.Member{{Name: "entry"}})
	if err := commit(); err != nil {
		t.Errorf("got %v, want no error", err)
	}
}

func newAuthor(store table.Store, holder *revision.Replica, ready func() bool) *revision.Committer {
	return revision.NewCommitter(revision.CommitterConfig{
		Store:   store,
		Replica: holder,
		Ready:   ready,
		Guard:   func() []table.Condition { return nil },
	})
}
