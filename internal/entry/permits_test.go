package entry

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/limit"
)

const team = "tackle"

// newTestPermits returns permits over a ledger that was granted n.
func newTestPermits(n int) *permits {
	ledger := limit.New(limit.Config{Self: "entry-1/1"})
	ledger.Apply(limit.Allocation{Team: team, Generation: 1, Limit: n, Granted: map[limit.Member]int{"entry-1/1": n}})
	return newPermits(ledger, func(string) {})
}

func TestPermitWaits(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		patience time.Duration
		wantWait bool
	}{
		"patient":   {patience: time.Minute, wantWait: true},
		"impatient": {patience: time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := newTestPermits(1)
			if taken, _, _ := p.acquire(team, start, start.Add(time.Second)); !taken {
				t.Fatal("got no permit, want the first one")
			}
			taken, wait, retryAfter := p.acquire(team, start, start.Add(tc.patience))
			if taken {
				t.Fatal("got a second permit, want one only")
			}
			if got := wait != nil; got != tc.wantWait {
				t.Errorf("waits: got %v, want %v", got, tc.wantWait)
			}
			if got := retryAfter > 0; got == tc.wantWait {
				t.Errorf("told when to come back: got %v, want %v", got, !tc.wantWait)
			}
		})
	}
}

func TestPermitGoesToTheFirstWaiter(t *testing.T) {
	p := newTestPermits(1)
	now := time.Unix(1000, 0)
	p.acquire(team, now, now.Add(time.Minute))
	_, first, _ := p.acquire(team, now, now.Add(time.Minute))
	_, second, _ := p.acquire(team, now, now.Add(time.Minute))
	p.release(team, now)
	if got := p.cancel(team, first); got {
		t.Error("first waiter: got still waiting, want served")
	}
	if got := p.cancel(team, second); !got {
		t.Error("second waiter: got served, want still waiting")
	}
}

func TestPumpDoesNotAskForMore(t *testing.T) {
	p := newTestPermits(1)
	now := time.Unix(1000, 0)
	p.acquire(team, now, now.Add(time.Minute))
	p.acquire(team, now, now.Add(time.Minute))
	p.ledger.Tick(now)
	before := p.ledger.TransferRequests(team, map[limit.Member]limit.Status{"entry-2/1": {Idle: 100}})
	for range 50 {
		p.pump(team)
	}
	p.ledger.Tick(now)
	after := p.ledger.TransferRequests(team, map[limit.Member]limit.Status{"entry-2/1": {Idle: 100}})
	if got, want := wanted(after), wanted(before); got > want {
		t.Errorf("permits asked for: got %d, want at most %d", got, want)
	}
}

func wanted(asks []limit.TransferRequest) int {
	sum := 0
	for _, ask := range asks {
		sum += ask.Want
	}
	return sum
}
