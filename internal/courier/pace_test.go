package courier

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/courier/courierpb"
	"github.com/lovagedyke/lovagedyke/internal/record"
)

func TestMessageInterval(t *testing.T) {
	tests := map[string]struct {
		couriers int
		cores    float64
		want     time.Duration
	}{
		"no courier":               {cores: 0.8},
		"ten couriers":             {couriers: 10, cores: 0.8, want: 15625 * time.Microsecond},
		"half the processor":       {couriers: 10, cores: 0.4, want: 31250 * time.Microsecond},
		"many couriers":            {couriers: 1000, cores: 0.4, want: maxMessageInterval},
		"size that is not known":   {couriers: 10},
		"as many as on large ones": {couriers: 40, cores: 0.8, want: 62500 * time.Microsecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := messageInterval(test.couriers, record.Member{CPUCores: test.cores}); got != test.want {
				t.Errorf("interval: got %v, want %v", got, test.want)
			}
		})
	}
}

// busyCourier counts the messages, and answers each at once without a reply.
type busyCourier struct {
	messages atomic.Int64
}

// Deliver implements courierpb.Courier.
func (b *busyCourier) Deliver(context.Context, *courierpb.DeliverRequest) (*courierpb.DeliverReply, error) {
	b.messages.Add(1)
	return &courierpb.DeliverReply{}, nil
}

// Guards against a leader that spends its processor on messages with an order or two each: the more
// couriers it has, and the slower it is, the more of them it sent.
func TestMessagesToCourierArePaced(t *testing.T) {
	const interval, duration = 100 * time.Millisecond, 350 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	peer := &busyCourier{}
	l := newLink(record.Member{Name: "courier"}, peer, discardJournal{})
	l.interval = func() time.Duration { return interval }
	ended := make(chan struct{})
	go func() {
		l.run(ctx)
		close(ended)
	}()
	began := time.Now()
	if _, err := l.deliver(ctx, &pendingOrder{order: &courierpb.Order{}}, duration); err == nil {
		t.Error("order without a reply: got none, want an error")
	}
	cancel()
	<-ended
	if got, want := peer.messages.Load(), int64(time.Since(began)/interval)+1; got > want {
		t.Errorf("messages while a reply is awaited: got %d, want at most %d", got, want)
	}
}
