// Package loops runs a group of long-running goroutines ("loops"): when one of
// them panics, for a broken invariant, the others are cancelled and Wait repeats
// the panic, which ends the process.
//
// # Usage
//
//	group := loops.New(ctx)
//	group.Go(part.pollLoop)
//	group.Go(part.gossipLoop)
//	group.Wait() // returns once ctx has ended and all loops have too
//	loops.Sleep(ctx, interval) // within a loop
package loops

import (
	"context"

	"github.com/sourcegraph/conc"
)

// Group is a set of loops with a common context.
type Group struct {
	wait   conc.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns an empty group whose context derives from ctx.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	return &Group{ctx: ctx, cancel: cancel}
}

// Go starts a loop, which must return when its context ends. A loop may start others.
func (g *Group) Go(loop func(ctx context.Context)) {
	g.wait.Go(func() {
		defer func() {
			// Cancel the other loops; Wait repeats the panic.
			if cause := recover(); cause != nil {
				g.cancel()
				panic(cause)
			}
		}()
		loop(g.ctx)
	})
}

// Done returns a channel that is closed when the loops have to return.
func (g *Group) Done() <-chan struct{} {
	return g.ctx.Done()
}

// Wait waits for all loops, and panics if one of them did.
func (g *Group) Wait() {
	defer g.cancel()
	g.wait.Wait()
}
