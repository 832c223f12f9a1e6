package entry

import (
	"context"
	"sync"
	"time"
)

// eventLoop runs the one goroutine that owns a state machine, so that the state
// machine needs no lock. Each queued event returns effects to execute. Effects
// run in their own goroutines and post their results as further events.
type eventLoop[Effect any] struct {
	events  chan func(now time.Time) []Effect
	stopped chan struct{}
	calls   sync.WaitGroup
}

// newEventLoop returns an event loop with a queue of the given capacity.
func newEventLoop[Effect any](capacity int) *eventLoop[Effect] {
	return &eventLoop[Effect]{
		events:  make(chan func(time.Time) []Effect, capacity),
		stopped: make(chan struct{}),
	}
}

// run handles events and ticks until the context ends, and then waits for the
// effects in progress.
func (l *eventLoop[Effect]) run(ctx context.Context, interval time.Duration, tick func(now time.Time) []Effect, execute func(ctx context.Context, effect Effect)) {
	defer l.calls.Wait()
	defer close(l.stopped)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		var effects []Effect
		select {
		case <-ctx.Done():
			return
		case event := <-l.events:
			effects = event(time.Now())
		case now := <-ticker.C:
			effects = tick(now)
		}
		for _, effect := range effects {
			execute(ctx, effect)
		}
	}
}

// post queues an event and blocks while the queue is full. It returns false if
// the loop has stopped.
func (l *eventLoop[Effect]) post(event func(now time.Time) []Effect) bool {
	select {
	case l.events <- event:
		return true
	case <-l.stopped:
		return false
	}
}

// query runs an event that returns a value, and waits for it. It returns false
// if the loop has stopped.
func query[Effect, Value any](l *eventLoop[Effect], event func(now time.Time) (Value, []Effect)) (value Value, ok bool) {
	values := make(chan Value, 1)
	posted := l.post(func(now time.Time) []Effect {
		result, effects := event(now)
		values <- result
		return effects
	})
	if !posted {
		return value, false
	}
	select {
	case value = <-values:
		return value, true
	case <-l.stopped:
		return value, false
	}
}
