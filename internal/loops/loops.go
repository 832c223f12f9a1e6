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

	"github.com/sourcegraph/conc"
)

// Group is a set of loops with one context.
type Group struct {
	wait   conc.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a group without loops.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	return &Group{ctx: ctx, cancel: cancel}
}

// Go starts a loop, which returns when its context ends. A loop may start others.
func (g *Group) Go(loop func(ctx context.Context)) {
	g.wait.Go(func() {
		defer func() {
			// A loop that panics ends the others; Wait passes the panic on.
			if cause := recover(); cause != nil {
				g.cancel()
				panic(cause)
			}
		}()
		loop(g.ctx)
	})
}

// Done is closed when the loops have to end.
func (g *Group) Done() <-chan struct{} {
	return g.ctx.Done()
}

// Wait waits for all loops, and panics if one of them did.
func (g *Group) Wait() {
	defer g.cancel()
	g.wait.Wait()
}
