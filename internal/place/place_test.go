package place_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lovagedyke/lovagedyke/internal/place"
)

const gib = 1 << 30

var start = time.Unix(1_000_000, 0)

// pool returns a placer with n workers of 16 processors, four to a rack.
func pool(cfg place.Config, n int) *place.Placer {
	placer := place.New(cfg)
	for i := range n {
		placer.Join(place.Worker{
			Name: fmt.Sprintf("worker-%d", i),
			Rack: fmt.Sprintf("rack-%d", i/4),
			Size: place.Size{CPUs: 16, Memory: 64 * gib},
		})
	}
	return placer
}

func demand(task string, class place.Class, cpus float64, memory int64) place.Demand {
	return place.Demand{
		Task: task, Queue: "plans", Class: class, Movable: true, RunTime: time.Minute,
		Declared: place.Size{CPUs: cpus, Memory: memory * gib},
	}
}

// chooseAndPlace chooses a worker for the demand and places the task there.
func chooseAndPlace(t *testing.T, placer *place.Placer, now time.Time, d place.Demand) place.Decision {
	t.Helper()
	decision := placer.Choose(now, d)
	if decision.Outcome == place.Placed {
		placer.Place(now, d, decision.Worker)
	}
	return decision
}

func TestChoose(t *testing.T) {
	tests := map[string]struct {
		workers        int
		held           []place.Demand
		demand         place.Demand
		change         func(*place.Placer)
		want           place.Outcome
		wantThrottle   int
		wantCheckpoint int
	}{
		"empty pool":             {demand: demand("a", place.Normal, 1, 1), want: place.Waits},
		"free worker":            {workers: 1, demand: demand("a", place.Normal, 16, 64), want: place.Placed},
		"full":                   {workers: 1, held: []place.Demand{demand("b", place.Normal, 10, 1)}, demand: demand("a", place.Normal, 10, 1), want: place.Waits},
		"leaving":                {workers: 1, demand: demand("a", place.Normal, 1, 1), change: func(p *place.Placer) { p.Leave("worker-0") }, want: place.Waits},
		"silent":                 {workers: 1, demand: demand("a", place.Normal, 1, 1), change: func(p *place.Placer) { p.SetSilent("worker-0", true) }, want: place.Waits},
		"gone":                   {workers: 1, demand: demand("a", place.Normal, 1, 1), change: func(p *place.Placer) { p.Remove("worker-0") }, want: place.Waits},
		"avoided everywhere":     {workers: 1, demand: place.Demand{Task: "a", Avoid: []string{"worker-0"}}, want: place.Exhausted},
		"urgent throttles":       {workers: 1, held: []place.Demand{demand("b", place.Batch, 16, 1)}, demand: demand("a", place.Urgent, 10, 1), want: place.Placed, wantThrottle: 1},
		"urgent checkpoints":     {workers: 1, held: []place.Demand{demand("b", place.Normal, 1, 60)}, demand: demand("a", place.Urgent, 1, 10), want: place.Preempts, wantCheckpoint: 1},
		"throttling falls short": {workers: 1, held: []place.Demand{demand("b", place.Batch, 16, 1)}, demand: demand("a", place.Urgent, 16, 1), want: place.Preempts, wantCheckpoint: 1},
		"urgent against urgent":  {workers: 1, held: []place.Demand{demand("b", place.Urgent, 16, 1)}, demand: demand("a", place.Urgent, 10, 1), want: place.Waits},
		"batch first": {
			workers: 1, held: []place.Demand{demand("b", place.Normal, 8, 1), demand("c", place.Batch, 8, 1)},
			demand: demand("a", place.Urgent, 6, 1), want: place.Placed, wantThrottle: 1,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			placer := pool(place.Config{}, tc.workers)
			for _, held := range tc.held {
				placer.Place(start, held, "worker-0")
			}
			if tc.change != nil {
				tc.change(placer)
			}
			decision := placer.Choose(start, tc.demand)
			if got, want := decision.Outcome, tc.want; got != want {
				t.Errorf("outcome: got %s, want %s", got, want)
			}
			if got, want := len(decision.Throttle), tc.wantThrottle; got != want {
				t.Errorf("throttled: got %d, want %d", got, want)
			}
			if got, want := len(decision.Checkpoint), tc.wantCheckpoint; got != want {
				t.Errorf("checkpointed: got %d, want %d", got, want)
			}
		})
	}
}

func TestUrgentTaskThrottlesOthers(t *testing.T) {
	placer := pool(place.Config{}, 1)
	chooseAndPlace(t, placer, start, demand("slow", place.Batch, 16, 4))
	urgent := demand("urgent", place.Urgent, 8, 4)
	decision := chooseAndPlace(t, placer, start, urgent)
	if got, want := decision.Throttle, []string{"slow"}; !slices.Equal(got, want) {
		t.Fatalf("throttled: got %v, want %v", got, want)
	}
	later := start.Add(time.Minute)
	if got := placer.Unthrottle(later); len(got) != 0 {
		t.Errorf("unthrottled while urgent work runs: got %v, want none", got)
	}
	placer.Release(later, "urgent", place.Succeeded)
	if got, want := placer.Unthrottle(later), []string{"slow"}; !slices.Equal(got, want) {
		t.Errorf("unthrottled: got %v, want %v", got, want)
	}
}

func TestStarvingTaskGetsReservation(t *testing.T) {
	placer := pool(place.Config{}, 1)
	chooseAndPlace(t, placer, start, demand("small-0", place.Normal, 8, 1))
	chooseAndPlace(t, placer, start, demand("small-1", place.Normal, 8, 1))
	large := demand("large", place.Normal, 16, 1)
	large.Waited = time.Minute
	chooseAndPlace(t, placer, start, large)
	placer.Release(start, "small-0", place.Succeeded)
	if got, want := chooseAndPlace(t, placer, start, demand("small-2", place.Normal, 8, 1)).Outcome, place.Waits; got != want {
		t.Errorf("small task beside a starving one: got %s, want %s", got, want)
	}
	placer.Release(start, "small-1", place.Succeeded)
	if got, want := chooseAndPlace(t, placer, start, large).Outcome, place.Placed; got != want {
		t.Errorf("starving task: got %s, want %s", got, want)
	}
}

// TestReservationEndsWithWorker checks that another worker is reserved when the
// reserved one leaves.
func TestReservationEndsWithWorker(t *testing.T) {
	placer := pool(place.Config{}, 2)
	for i := range 2 {
		placer.Place(start, demand(fmt.Sprint("held-", i), place.Normal, 8, 1), fmt.Sprint("worker-", i))
	}
	large := demand("large", place.Normal, 16, 1)
	large.Waited = time.Minute
	placer.Choose(start, large)
	placer.Leave("worker-0")
	placer.Choose(start, large)
	states := placer.Dump()
	if got, want := []string{states[0].Reservation, states[1].Reservation}, []string{"", "large"}; !slices.Equal(got, want) {
		t.Errorf("reservations: got %q, want %q", got, want)
	}
}

func TestNeedFollowsUsage(t *testing.T) {
	tests := map[string]struct {
		cfg   place.Config
		usage int64
		want  func(need int64) bool
	}{
		"declared too large": {usage: 1, want: func(need int64) bool { return need >= 1*gib && need < 4*gib }},
		"declared too small": {usage: 24, want: func(need int64) bool { return need > 16*gib && need <= 24*gib }},
		"declared trusted":   {cfg: place.Config{TrustDeclared: true}, usage: 1, want: func(need int64) bool { return need == 8*gib }},
		"no use reported":    {usage: 0, want: func(need int64) bool { return need == 8*gib }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			placer := pool(tc.cfg, 4)
			now := start
			for i := range 40 {
				d := demand(fmt.Sprintf("task-%d", i), place.Normal, 1, 8)
				chooseAndPlace(t, placer, now, d)
				placer.ReportUsage(now, d.Task, place.Size{CPUs: 1, Memory: tc.usage * gib})
				now = now.Add(time.Minute)
				placer.Release(now, d.Task, place.Succeeded)
			}
			if got := placer.Need(demand("next", place.Normal, 1, 8)).Memory; !tc.want(got) {
				t.Errorf("need: got %d GiB, want the corrected size", got/gib)
			}
		})
	}
}

// faultyPool is a pool in which the first workers always fail.
type faultyPool struct {
	placer *place.Placer
	now    time.Time
	faulty int
	wasted int
}

func (p *faultyPool) isFaulty(worker string) bool {
	return worker < fmt.Sprintf("worker-%d", p.faulty)
}

// run tries the task on up to three workers. A poison task fails on each of them.
func (p *faultyPool) run(t *rapid.T, d place.Demand, poison bool) {
	for range 3 {
		p.now = p.now.Add(time.Second)
		decision := p.placer.Choose(p.now, d)
		if got, want := decision.Outcome, place.Placed; got != want {
			t.Fatalf("task %s: got %s, want %s", d.Task, got, want)
		}
		p.placer.Place(p.now, d, decision.Worker)
		if !p.isFaulty(decision.Worker) && !poison {
			p.placer.Release(p.now, d.Task, place.Succeeded)
			break
		}
		if p.isFaulty(decision.Worker) {
			p.wasted++
		}
		p.placer.Release(p.now, d.Task, place.Failed)
		d.Avoid = append(d.Avoid, decision.Worker)
	}
	p.placer.Forget(d.Task)
}

// TestFailureAttribution runs sound and poison tasks on healthy and faulty workers.
// It checks that few runs are wasted on faulty workers and that no healthy worker is
// quarantined.
func TestFailureAttribution(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const workers = 6
		p := &faultyPool{placer: pool(place.Config{}, workers), now: start}
		p.faulty = rapid.IntRange(0, 2).Draw(t, "bad workers")
		poison := rapid.IntRange(0, 3).Draw(t, "poison tasks of ten")
		for i := range 200 {
			p.run(t, demand(fmt.Sprintf("task-%03d", i), place.Normal, 2, 2), i%10 < poison)
		}
		// Each quarantine is twice as long as the last, so that few runs are
		// wasted on faulty workers.
		if got, want := p.wasted, 12*p.faulty; got > want {
			t.Errorf("runs on faulty workers: got %d, want at most %d", got, want)
		}
		for _, w := range p.placer.Dump() {
			quarantined := w.QuarantinedUntil != "" && w.QuarantinedUntil > p.now.Format(time.RFC3339)
			if quarantined && !p.isFaulty(w.Name) {
				t.Errorf("healthy worker %s is quarantined", w.Name)
			}
		}
	})
}

// TestWorkersNeverOvercommitted places and releases tasks at random with trusted
// declarations. It checks that the sum of the needs never exceeds a worker's
// size, and is zero once all tasks are released.
func TestWorkersNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		placer := pool(place.Config{TrustDeclared: true}, 3)
		held := map[string]bool{}
		now := start
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Second)
			if rapid.Bool().Draw(t, "release") && len(held) > 0 {
				task := rapid.SampledFrom(sortedKeys(held)).Draw(t, "task")
				placer.Release(now, task, rapid.SampledFrom([]place.Result{place.Succeeded, place.Ended}).Draw(t, "result"))
				placer.Unthrottle(now)
				delete(held, task)
				continue
			}
			d := demand(fmt.Sprintf("task-%d", i), rapid.SampledFrom(place.Classes()).Draw(t, "class"),
				rapid.Float64Range(0.1, 16).Draw(t, "cpus"), rapid.Int64Range(1, 64).Draw(t, "memory"))
			if decision := placer.Choose(now, d); decision.Outcome == place.Placed {
				placer.Place(now, d, decision.Worker)
				held[d.Task] = true
			}
			for _, w := range placer.Dump() {
				if !w.Used.Fits(w.Size) {
					t.Fatalf("worker %s: used %+v of %+v", w.Name, w.Used, w.Size)
				}
			}
		}
		for _, task := range sortedKeys(held) {
			placer.Release(now, task, place.Ended)
		}
		for _, w := range placer.Dump() {
			if got, want := w.Used, (place.Size{}); got != want {
				t.Errorf("worker %s: got %+v used at the end, want %+v", w.Name, got, want)
			}
		}
	})
}

func sortedKeys(set map[string]bool) []string {
	var keys []string
	for key := range set {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
