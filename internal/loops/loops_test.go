package loops_test

import (
	"context"
	"strings"
	"testing"

	"github.com/lovagedyke/lovagedyke/internal/loops"
)

func TestPanicCancelsOtherLoops(t *testing.T) {
	group := loops.New(context.Background())
	ended := make(chan struct{})
	group.Go(func(ctx context.Context) {
		<-ctx.Done()
		close(ended)
	})
	group.Go(func(context.Context) { panic("broken invariant") })
	defer func() {
		<-ended
		got, ok := recover().(interface{ String() string })
		if !ok || !strings.Contains(got.String(), "broken invariant") {
			t.Errorf("panic: got %v, want the loop's", got)
		}
	}()
	group.Wait()
	t.Error("Wait: got a return, want a panic")
}

func TestWaitReturnsAfterContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	group := loops.New(ctx)
	group.Go(func(ctx context.Context) { <-ctx.Done() })
	cancel()
	group.Wait()
}

func TestGoDuringWait(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	group := loops.New(ctx)
	waiting, started := make(chan struct{}), make(chan struct{})
	group.Go(func(context.Context) {
		<-waiting
		group.Go(func(context.Context) { close(started) })
	})
	go func() {
		close(waiting)
		<-started
		cancel()
	}()
	group.Wait()
	select {
	case <-started:
	default:
		t.Error("loop started by a loop: got no start, want one")
	}
}
