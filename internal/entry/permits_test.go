package entry

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/limit"
)

const team = "tackle"

// newTestPermits returns permits with a ledger that holds n permits of team.
func newTestPermits(n int) *permits {
	ledger := limit.New(limit.Config{Self: "entry-1/1"})
	ledger.Apply(limit.Allocation{Team: team, Generation: 1, Limit: n, Granted: map[limit.Member]int{"entry-1/1": n}})
	return newPermits(ledger, func(string) {})
}

func TestPermitWaitBoundedByDeadline(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		timeout  time.Duration
		wantWait bool
	}{
		"far deadline":  {timeout: time.Minute, wantWait: true},
		"near deadline": {timeout: time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := newTestPermits(1)
			if acquired, _, _ := p.acquire(team, start, start.Add(time.Second)); !acquired {
				t.Fatal("got no permit, want the first one")
			}
			acquired, wait, retryAfter := p.acquire(team, start, start.Add(tc.timeout))
			if acquired {
				t.Fatal("got a second permit, want one only")
			}
			if got := wait != nil; got != tc.wantWait {
				t.Errorf("waits: got %v, want %v", got, tc.wantWait)
			}
			if got := retryAfter > 0; got == tc.wantWait {
				t.Errorf("has a retry time: got %v, want %v", got, !tc.wantWait)
			}
		})
	}
}

func TestPermitQueueIsFIFO(t *testing.T) {
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

func TestServeWaitersRequestsNoPermits(t *testing.T) {
	p := newTestPermits(1)
	now := time.Unix(1000, 0)
	p.acquire(team, now, now.Add(time.Minute))
	p.acquire(team, now, now.Add(time.Minute))
	p.ledger.Tick(now)
	before := p.ledger.TransferRequests(team, map[limit.Member]limit.Status{"entry-2/1": {Idle: 100}})
	for range 50 {
		p.serveWaiters(team)
	}
	p.ledger.Tick(now)
	after := p.ledger.TransferRequests(team, map[limit.Member]limit.Status{"entry-2/1": {Idle: 100}})
	if got, want := totalWanted(after), totalWanted(before); got > want {
		t.Errorf("permits requested: got %d, want at most %d", got, want)
	}
}

func totalWanted(requests []limit.TransferRequest) int {
	sum := 0
	for _, request := range requests {
		sum += request.Want
	}
	return sum
}
