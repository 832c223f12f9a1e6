package budget_test

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/budget"
)

var start = time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)

// at returns a time of the test.
func at(d time.Duration) time.Time { return start.Add(d) }

// claim returns a claim that counts its eviction.
func claim(bytes int64, deadline time.Duration, evicted *int) budget.Claim {
	return budget.Claim{Bytes: bytes, Deadline: at(deadline), Evict: func() { *evicted++ }}
}

// newBudget returns a budget of 1000 bytes, of which large claims, from 101 on, have 500.
func newBudget() *budget.Budget {
	return budget.New(budget.Config{Bytes: 1000, SmallBytes: 100, StallTime: time.Second})
}

func mustTake(t *testing.T, b *budget.Budget, now time.Duration, c budget.Claim) *budget.Share {
	t.Helper()
	share, refusal := b.Take(at(now), c)
	if refusal != nil {
		t.Fatalf("claim of %d bytes: got refused, want granted", c.Bytes)
	}
	return share
}

// Guards against large claims that leave no room for small ones.
func TestLargeClaimsLeaveRoomForSmallOnes(t *testing.T) {
	b, evicted := newBudget(), 0
	mustTake(t, b, 0, claim(400, time.Minute, &evicted))
	_, refusal := b.Take(at(0), claim(200, time.Minute, &evicted))
	if refusal == nil || refusal.IsTooLarge {
		t.Errorf("second large claim: got %v, want it refused for now", refusal)
	}
	for range 5 {
		mustTake(t, b, 0, claim(100, time.Minute, &evicted))
	}
	if _, refusal := b.Take(at(0), claim(100, time.Minute, &evicted)); refusal == nil {
		t.Error("small claim for the part of the smallest: got granted, want refused")
	}
	for range 10 {
		mustTake(t, b, 0, claim(10, time.Minute, &evicted))
	}
	if _, refusal := b.Take(at(0), claim(10, time.Minute, &evicted)); refusal == nil {
		t.Error("claim beyond the budget: got granted, want refused")
	}
	if got := b.Usage().Held; got != 1000 || evicted != 0 {
		t.Errorf("held and evicted: got %d and %d, want 1000 and 0", got, evicted)
	}
}

// Guards against shares that grow beyond what large ones may have.
func TestGrownShareCountsAsLarge(t *testing.T) {
	b, evicted := newBudget(), 0
	mustTake(t, b, 0, claim(450, time.Minute, &evicted))
	small := mustTake(t, b, 0, claim(90, time.Minute, &evicted))
	if refusal := small.Grow(at(0), 20); refusal == nil {
		t.Error("growth to a large share: got granted, want refused")
	}
	if refusal := small.Grow(at(0), 10); refusal != nil {
		t.Error("growth of a small share: got refused, want granted")
	}
	if got := b.Usage(); got.Held != 550 || got.HeldLarge != 450 {
		t.Errorf("held: got %d, %d of it large, want 550 and 450", got.Held, got.HeldLarge)
	}
}

// Guards against requests without progress that keep out those with progress.
func TestSharesWithoutProgressGiveWay(t *testing.T) {
	b := newBudget()
	var stalled, moving, complete, small int
	first := mustTake(t, b, 0, claim(200, time.Minute, &stalled))
	second := mustTake(t, b, 0, claim(200, time.Minute, &moving))
	third := mustTake(t, b, 0, claim(100, time.Minute, &small))
	second.Progress(at(1500*time.Millisecond), budget.ProgressBytes)
	first.Progress(at(1500*time.Millisecond), budget.ProgressBytes-1)
	mustTake(t, b, 2*time.Second, claim(250, time.Minute, &complete))
	if stalled != 1 || moving != 0 || small != 0 {
		t.Errorf("evictions of the stalled, the moving and the small share: got %d, %d and %d, want 1, 0 and 0", stalled, moving, small)
	}
	if first.Complete() {
		t.Error("completion of an evicted share: got true, want false")
	}
	if refusal := first.Grow(at(2*time.Second), 1); refusal == nil {
		t.Error("growth of an evicted share: got granted, want refused")
	}
	first.Release()
	third.Release()
	if got := b.Usage(); got.Held != 450 || got.Evicted != 1 {
		t.Errorf("held and evicted: got %d and %d, want 450 and 1", got.Held, got.Evicted)
	}
}

// Guards against requests that have arrived and give way while they are served.
func TestCompleteSharesStay(t *testing.T) {
	b, evicted := newBudget(), 0
	share := mustTake(t, b, 0, claim(500, 10*time.Second, &evicted))
	if !share.Complete() {
		t.Error("completion: got false, want true")
	}
	_, refusal := b.Take(at(5*time.Second), claim(200, time.Minute, &evicted))
	if refusal == nil || evicted != 0 {
		t.Fatalf("claim beside a complete share: got %v and %d evictions, want a refusal and none", refusal, evicted)
	}
	if want := 5 * time.Second; refusal.RetryAfter != want {
		t.Errorf("retry after: got %s, want %s, when the share's request is over", refusal.RetryAfter, want)
	}
	share.Release()
	share.Release()
	if got := b.Usage().Held; got != 0 {
		t.Errorf("held after the release: got %d, want 0", got)
	}
}

// Guards against callers that are sent away for longer than it takes until stalled ones give way.
func TestRetryAfterStalledShares(t *testing.T) {
	b, evicted := newBudget(), 0
	mustTake(t, b, 0, claim(500, time.Minute, &evicted))
	_, refusal := b.Take(at(500*time.Millisecond), claim(200, time.Minute, &evicted))
	if refusal == nil || refusal.RetryAfter != time.Second {
		t.Fatalf("claim beside a share that has just begun: got %v, want it refused for a second", refusal)
	}
	mustTake(t, b, 1500*time.Millisecond, claim(200, time.Minute, &evicted))
}

// Guards against claims that take others' shares although they are refused themselves.
func TestRefusedClaimEvictsNoOne(t *testing.T) {
	b, evicted := newBudget(), 0
	mustTake(t, b, 0, claim(250, time.Minute, &evicted))
	held := mustTake(t, b, 0, claim(250, time.Minute, &evicted))
	held.Complete()
	if _, refusal := b.Take(at(2*time.Second), claim(300, time.Minute, &evicted)); refusal == nil || evicted != 0 {
		t.Errorf("claim that does not fit: got %v and %d evictions, want a refusal and none", refusal, evicted)
	}
	for name, bytes := range map[string]int64{"large": 501, "beyond the budget": 1001} {
		if _, refusal := b.Take(at(2*time.Second), claim(bytes, time.Minute, &evicted)); refusal == nil || !refusal.IsTooLarge {
			t.Errorf("claim of %d bytes (%s): got %v, want it refused as too large", bytes, name, refusal)
		}
	}
}

// Guards against a smaller budget that takes back what is in use.
func TestResize(t *testing.T) {
	b, evicted := newBudget(), 0
	share := mustTake(t, b, 0, claim(100, time.Minute, &evicted))
	share.Complete()
	mustTake(t, b, 0, claim(100, time.Minute, &evicted)).Complete()
	b.Resize(180)
	if _, refusal := b.Take(at(0), claim(50, time.Minute, &evicted)); refusal == nil {
		t.Error("claim beyond a smaller budget: got granted, want refused")
	}
	if got := b.Usage().Held; got != 200 {
		t.Errorf("held: got %d, want 200", got)
	}
	share.Release()
	mustTake(t, b, 0, claim(50, time.Minute, &evicted))
}

// Guards against small claims that are refused for what large ones took before the budget shrank.
func TestSmallClaimsFindRoomAfterResize(t *testing.T) {
	b, evicted := newBudget(), 0
	mustTake(t, b, 0, claim(500, time.Minute, &evicted))
	b.Resize(400)
	mustTake(t, b, 0, claim(100, time.Minute, &evicted))
	if _, refusal := b.Take(at(0), claim(100, time.Minute, &evicted)); refusal == nil {
		t.Error("small claim beyond the small ones' part: got granted, want refused")
	}
}

func TestPlan(t *testing.T) {
	tests := map[string]struct {
		machine budget.Machine
		want    budget.Plan
	}{
		"a machine of the platform": {
			budget.Machine{Bytes: 284 << 20, Descriptors: 4100},
			budget.Plan{CallerConnections: 1009, PeerConnections: 1560, OperationsConnections: 64, RequestBytes: 71 << 19, PeerBytes: 71 << 19},
		},
		"few descriptors": {
			budget.Machine{Bytes: 128 << 20, Descriptors: 500},
			budget.Plan{CallerConnections: 90, PeerConnections: 120, OperationsConnections: 15, RequestBytes: 16 << 20, PeerBytes: 16 << 20},
		},
		"hardly any": {
			budget.Machine{Bytes: 64 << 10, Descriptors: 10},
			budget.Plan{CallerConnections: 8, PeerConnections: 8, OperationsConnections: 8, RequestBytes: 8 << 10, PeerBytes: 8 << 10},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := budget.NewPlan(test.machine); got != test.want {
				t.Errorf("plan: got %+v, want %+v", got, test.want)
			}
		})
	}
	if got, want := budget.NewPlan(budget.Machine{}), budget.NewPlan(budget.Machine{Bytes: budget.DefaultMemory, Descriptors: budget.DefaultDescriptors}); got != want {
		t.Errorf("plan without limits: got %+v, want %+v", got, want)
	}
}

// Guards against callers that take the memory of the process's own state.
func TestPlanWithin(t *testing.T) {
	const mebibyte = 1 << 20
	plan := budget.Plan{RequestBytes: 36 * mebibyte, CallerConnections: 1024}
	tests := map[string]struct {
		free        int64
		bytes       int64
		connections int
	}{
		"a process without state": {170 * mebibyte, 36 * mebibyte, 1024},
		"half is free":            {96 * mebibyte, 36 * mebibyte, 1024},
		"little is free":          {48 * mebibyte, 18 * mebibyte, 512},
		"nothing is free":         {0, 9 * mebibyte, 256},
		"less than nothing":       {-10 * mebibyte, 9 * mebibyte, 256},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if bytes, connections := plan.Within(test.free); bytes != test.bytes || connections != test.connections {
				t.Errorf("part of callers: got %d bytes and %d connections, want %d and %d", bytes, connections, test.bytes, test.connections)
			}
		})
	}
}

func BenchmarkTakeAndRelease(b *testing.B) {
	requests := budget.New(budget.Config{Bytes: 32 << 20})
	now := time.Now()
	for b.Loop() {
		share, _ := requests.Take(now, budget.Claim{Bytes: 1500, Deadline: now})
		share.Complete()
		share.Release()
	}
}
