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

// CommitterConfig configures a Committer.
type CommitterConfig struct {
	Store   table.Store
	Replica *Replica
	// Ready reports whether the manager may commit, as Joiner does.
	Ready func() bool
	// Guard returns the condition that the manager's roster row is in place.
	Guard func() []table.Condition
}

// Committer commits the changes of one manager, and ensures that the manager's
// statements report unresolved commits.
type Committer struct {
	config CommitterConfig

	mu sync.Mutex
	// unresolved counts commits whose outcome is still unknown.
	unresolved int
}

// NewCommitter returns a Committer.
func NewCommitter(config CommitterConfig) *Committer {
	return &Committer{config: config}
}

// Commit runs a Transaction and applies its change to the replica. It returns
// the errors of Transaction, or ErrJoining.
func (c *Committer) Commit(ctx context.Context, op Operation, edit Edit) (Change, error) {
	if !c.config.Ready() {
		return Change{}, ErrJoining
	}
	if op.ID == "" {
		op.ID = rand.Text()
	}
	op.Guard = append(op.Guard, c.config.Guard()...)
	c.config.Replica.BeginCommit()
	change, err := Transaction(ctx, c.config.Store, op, edit)
	if table.IsUnknown(err) {
		c.mu.Lock()
		c.unresolved++
		c.mu.Unlock()
		return change, err
	}
	c.config.Replica.EndCommit(change.Revision)
	if err == nil {
		c.config.Replica.ApplyChange(change)
	}
	return change, err
}

// Resolve resolves commits whose outcome is unknown, if there are any. The
// owner calls it at every poll.
func (c *Committer) Resolve(ctx context.Context) error {
	c.mu.Lock()
	count := c.unresolved
	c.mu.Unlock()
	if count == 0 {
		return nil
	}
	newest, err := Resolve(ctx, c.config.Store)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.unresolved -= count
	c.mu.Unlock()
	for range count {
		c.config.Replica.EndCommit(newest)
	}
	return nil
}
