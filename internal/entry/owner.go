package entry

import (
	"context"
	"sync"
	"time"
)

// owner is the one goroutine that drives a decision object without a lock.
// Events come in a queue; each returns the effects to carry out, which run in
// goroutines of their own and post their results as further events.
type owner[Effect any] struct {
	events  chan func(now time.Time) []Effect
	stopped chan struct{}
	calls   sync.WaitGroup
}

// newOwner returns an owner whose queue holds that many events.
func newOwner[Effect any](queue int) *owner[Effect] {
	return &owner[Effect]{
		events:  make(chan func(time.Time) []Effect, queue),
		stopped: make(chan struct{}),
	}
}

// run handles events and ticks until the context ends, and waits for the calls
// that are under way.
func (o *owner[Effect]) run(ctx context.Context, interval time.Duration, tick func(now time.Time) []Effect, carryOut func(ctx context.Context, effect Effect)) {
	defer o.calls.Wait()
	defer close(o.stopped)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		var effects []Effect
		select {
		case <-ctx.Done():
			return
		case event := <-o.events:
			effects = event(time.Now())
		case now := <-ticker.C:
			effects = tick(now)
		}
		for _, effect := range effects {
			carryOut(ctx, effect)
		}
	}
}

// post queues an event, and waits while the queue is full; false when the owner
// has stopped.
func (o *owner[Effect]) post(event func(now time.Time) []Effect) bool {
	select {
	case o.events <- event:
		return true
	case <-o.stopped:
		return false
	}
}

// query has the owner run an event that yields a value, and waits for it; false
// when the owner has stopped.
func query[Effect, Value any](o *owner[Effect], event func(now time.Time) (Value, []Effect)) (value Value, ok bool) {
	values := make(chan Value, 1)
	posted := o.post(func(now time.Time) []Effect {
		answer, effects := event(now)
		values <- answer
		return effects
	})
	if !posted {
		return value, false
	}
	select {
	case value = <-values:
		return value, true
	case <-o.stopped:
		return value, false
	}
}
