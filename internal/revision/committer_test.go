package revision_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/revision"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// TestCommitterResolvesUnknownOutcome checks that after a lost reply the
// manager's statements say unresolved until Resolve succeeds.
func TestCommitterResolvesUnknownOutcome(t *testing.T) {
	ctx := context.Background()
	late := &lateStore{Memory: table.NewMemory()}
	replica := revision.NewReplica(revision.ReplicaConfig{})
	committer := newCommitter(late, replica, func() bool { return true })
	if _, err := committer.Commit(ctx, revision.Operation{}, addLimit); !table.IsUnknown(err) {
		t.Fatalf("got %v, want unknown", err)
	}
	late.reachable = true
	for _, want := range []bool{true, false} {
		if got := replica.Statement(time.Time{}, 0).Unresolved; got != want {
			t.Errorf("unresolved: got %v, want %v", got, want)
		}
		if err := committer.Resolve(ctx); err != nil {
			t.Fatal(err)
		}
	}
}

// TestStatementsReportUnresolvedCommits checks that a manager's statements say
// unresolved from before a commit is sent until its outcome is known.
func TestStatementsReportUnresolvedCommits(t *testing.T) {
	tests := map[string]struct {
		store          table.Store
		wantUnresolved bool
		wantRevision   uint64
	}{
		"committed":  {store: table.NewMemory(), wantRevision: 1},
		"reply lost": {store: &lateStore{Memory: table.NewMemory()}, wantUnresolved: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			replica := revision.NewReplica(revision.ReplicaConfig{})
			committer := newCommitter(tc.store, replica, func() bool { return true })
			_, err := committer.Commit(ctx, revision.Operation{}, func(s revision.State) (revision.State, error) {
				if !replica.Statement(time.Time{}, 0).Unresolved {
					t.Error("during the commit: got resolved, want unresolved")
				}
				return addLimit(s)
			})
			if got := table.IsUnknown(err); got != tc.wantUnresolved {
				t.Errorf("unknown: got %v, want %v", got, tc.wantUnresolved)
			}
			statement := replica.Statement(time.Time{}, 0)
			if statement.Unresolved != tc.wantUnresolved || statement.Revision != tc.wantRevision {
				t.Errorf("got %+v, want unresolved %v at revision %d", statement, tc.wantUnresolved, tc.wantRevision)
			}
		})
	}
}

func TestCommitterWaitsUntilJoined(t *testing.T) {
	store := table.NewMemory()
	joiner := revision.NewJoiner([]revision.Member{{Name: "entry"}, {Name: "gone"}})
	committer := newCommitter(store, revision.NewReplica(revision.ReplicaConfig{}), joiner.Ready)
	commit := func() error {
		_, err := committer.Commit(context.Background(), revision.Operation{}, addLimit)
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

func newCommitter(store table.Store, replica *revision.Replica, ready func() bool) *revision.Committer {
	return revision.NewCommitter(revision.CommitterConfig{
		Store:   store,
		Replica: replica,
		Ready:   ready,
		Guard:   func() []table.Condition { return nil },
	})
}
