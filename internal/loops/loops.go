// Package loops runs the endless loops of a process part together: when one of
// them panics, for a broken invariant, the others are ended and the panic stops
// the process.
//
// # Usage
//
//	group := loops.New(ctx)
//	group.Go(part.pollLoop)
//	group.Go(part.gossipLoop)
//	group.Wait() // returns once ctx has ended and all loops have too
package loops

import (
	"context"

	"github.com/sourcegraph/conc/pool"
)

// Group is a set of loops with one context.
type Group struct {
	pool *pool.ContextPool
}

// New returns a group without loops.
func New(ctx context.Context) *Group {
	return &Group{pool: pool.New().WithContext(ctx).WithCancelOnError()}
}

// Go starts a loop, which returns when its context ends.
func (g *Group) Go(loop func(ctx context.Context)) {
	g.pool.Go(func(ctx context.Context) error {
		loop(ctx)
		return nil
	})
}

// Wait waits for all loops, and panics if one of them did.
func (g *Group) Wait() {
	// Loops return no errors.
	_ = g.pool.Wait()
}
