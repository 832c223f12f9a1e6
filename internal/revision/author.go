package revision

import (
	"context"
	"crypto/rand"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/table"
)

// ErrJoining means that the manager may not commit yet; see Joiner.
var ErrJoining = errors.New("this manager is still joining the roster")

// AuthorConfig configures an Author.
type CommitterConfig struct {
	Store   table.Store
	Replica *Replica
	// Ready reports whether the manager may commit, as Joiner does.
	Ready func() bool
	// Guard returns the condition that the manager's roster row is in place.
	Guard func() []table.Condition
}

// Author commits the changes of one manager and keeps the manager's statements
// true meanwhile.
type Committer struct {
	config CommitterConfig

	mu sync.Mutex
	// uncertain counts commits whose outcome stayed unknown.
	uncertain int
}

// NewAuthor returns an author.
func NewCommitter(config CommitterConfig) *Committer {
	return &Committer{config: config}
}

// Commit runs a Transaction and offers its change to the holder. Errors: those
// of Transaction, and ErrJoining.
func (a *Committer) Commit(ctx context.Context, op Operation, edit Edit) (Change, error) {
	if !a.config.Ready() {
		return Change{}, ErrJoining
	}
	if op.ID == "" {
		op.ID = rand.Text()
	}
	op.Guard = append(op.Guard, a.config.Guard()...)
	a.config.Replica.BeginCommit()
	change, err := Transaction(ctx, a.config.Store, op, edit)
	if table.IsUnknown(err) {
		a.mu.Lock()
		a.uncertain++
		a.mu.Unlock()
		return change, err
	}
	a.config.Replica.EndCommit(change.Revision)
	if err == nil {
		a.config.Replica.ApplyChange(change)
	}
	return change, err
}

// Settle finds out about commits whose outcome stayed unknown, if there are
// any. The owner calls it at every poll.
func (a *Committer) Resolve(ctx context.Context) error {
	a.mu.Lock()
	count := a.uncertain
	a.mu.Unlock()
	if count == 0 {
		return nil
	}
	newest, err := Resolve(ctx, a.config.Store)
	if err != nil {
		return err
	}
	a.mu.Lock()
	a.uncertain -= count
	a.mu.Unlock()
	for range count {
		a.config.Replica.EndCommit(newest)
	}
	return nil
}
