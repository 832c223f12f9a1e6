package pool_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lovagedyke/lovagedyke/internal/pool"
)

const (
	testMoveTime = 4 * time.Second
	testMinimum  = 2
)

// fleet simulates pools whose hosts move as the planner decides.
type fleet struct {
	now     time.Time
	planner *pool.Planner
	pools   []pool.Observation
	hosts   []pool.HostView
	arrives map[string]time.Time
	moves   []pool.PlannedMove
	plan    pool.Plan
}

// newFleet returns a fleet in which each queue has the same number of hosts,
// spread over racks of four.
func newFleet(weights pool.Weights, queues, hosts, spare int) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), arrives: make(map[string]time.Time),
		planner: pool.NewPlanner(pool.PlannerConfig{Spare: "spare", Weights: weights}),
	}
	racks := (queues*hosts + spare + 3) / 4
	for q := range queues {
		f.pools = append(f.pools, pool.Observation{Name: fmt.Sprint("queue-", q), Minimum: testMinimum})
	}
	for i := range queues*hosts + spare {
		name := "spare"
		if i < queues*hosts {
			name = f.pools[i/hosts].Name
		}
		f.hosts = append(f.hosts, pool.HostView{
			Name: fmt.Sprintf("host-%02d", i), Rack: fmt.Sprint(i % racks),
			DataCentre: fmt.Sprint(i % racks % 3), Pool: name,
		})
	}
	return f
}

func (f *fleet) view() pool.View {
	return pool.View{Pools: f.pools, Hosts: slices.Clone(f.hosts), Observed: f.now, MoveTime: testMoveTime}
}

// step advances the time by half a second, completes moves and starts the
// planned ones.
func (f *fleet) step() {
	f.now = f.now.Add(500 * time.Millisecond)
	for i, h := range f.hosts {
		if h.Target != "" && !f.now.Before(f.arrives[h.Name]) {
			f.hosts[i].Pool, f.hosts[i].Target = h.Target, ""
		}
	}
	f.plan = f.planner.Step(f.now, f.view())
	for _, move := range f.plan.Moves {
		i := slices.IndexFunc(f.hosts, func(h pool.HostView) bool { return h.Name == move.Host })
		f.hosts[i].Target = move.To
		f.arrives[move.Host] = f.now.Add(testMoveTime)
	}
	f.moves = append(f.moves, f.plan.Moves...)
}

// rotateBursts gives the queues n bursts in turn. It returns the idle hosts
// outside the spare pool and the load in excess of the serving hosts, each
// summed over the steps.
func (f *fleet) rotateBursts(n int, burst float64, length time.Duration) (idle, late float64) {
	for i := range n * int(length/(500*time.Millisecond)) {
		bursting := i / int(length/(500*time.Millisecond)) % len(f.pools)
		for q := range f.pools {
			f.pools[q].Load = burst / 100
			if q == bursting {
				f.pools[q].Load = burst
			}
		}
		f.step()
		for _, p := range f.pools {
			excess := p.Load - float64(f.serving(p.Name))
			idle, late = idle+max(0, -excess), late+max(0, excess)
		}
	}
	return idle, late
}

func (f *fleet) serving(name string) int {
	n := 0
	for _, h := range f.hosts {
		if h.Pool == name && h.Target == "" && !h.Down {
			n++
		}
	}
	return n
}

func (f *fleet) count(reason pool.Reason) int {
	n := 0
	for _, move := range f.moves {
		if move.Reason == reason {
			n++
		}
	}
	return n
}

// survivingRackLoss returns the number of serving hosts that remain in a pool
// after the loss of its largest rack.
func survivingRackLoss(hosts []pool.HostView, name string) int {
	racks, n, largest := make(map[string]int), 0, 0
	for _, h := range hosts {
		if h.Pool == name && h.Target == "" && !h.Down {
			n++
			racks[h.Rack]++
			largest = max(largest, racks[h.Rack])
		}
	}
	return n - largest
}

// TestPlannerInvariants checks under random loads and host failures that no move
// brings a pool below its minimum or moves a host that is down or already
// moving, and that a second planner with the same observations makes the same
// plan.
func TestPlannerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.Float64Range(0, 4)
		weights := pool.Weights{
			BufferCost: weight.Draw(t, "buffer"), Moves: weight.Draw(t, "moves"),
			ShareNearness: weight.Draw(t, "share"), RollOutTime: weight.Draw(t, "roll-out"),
		}
		f := newFleet(weights, 3, rapid.IntRange(3, 8).Draw(t, "hosts"), rapid.IntRange(0, 6).Draw(t, "spare"))
		twin := pool.NewPlanner(pool.PlannerConfig{Spare: "spare", Weights: weights})
		for range 60 {
			for q := range f.pools {
				if rapid.IntRange(0, 4).Draw(t, "change") == 0 {
					f.pools[q].Load = rapid.Float64Range(0, 30).Draw(t, "load")
					f.pools[q].Backlog = time.Duration(rapid.IntRange(0, 20).Draw(t, "backlog")) * time.Second
					f.pools[q].Maintaining = rapid.IntRange(0, 4).Draw(t, "maintaining")
				}
			}
			if i := rapid.IntRange(0, 4*len(f.hosts)).Draw(t, "fails"); i < len(f.hosts) {
				f.hosts[i].Down = !f.hosts[i].Down
			}
			before := slices.Clone(f.hosts)
			f.step()
			checkPlan(t, before, f)
			if got, want := fmt.Sprint(twin.Step(f.now, pool.View{
				Pools: f.pools, Hosts: beforeMoves(f), Observed: f.now, MoveTime: testMoveTime,
			}).Moves), fmt.Sprint(f.plan.Moves); got != want {
				t.Fatalf("the same observations: got %s, want %s", got, want)
			}
		}
	})
}

// beforeMoves returns the hosts as they were before the planned moves.
func beforeMoves(f *fleet) []pool.HostView {
	hosts := slices.Clone(f.hosts)
	for _, move := range f.plan.Moves {
		i := slices.IndexFunc(hosts, func(h pool.HostView) bool { return h.Name == move.Host })
		hosts[i].Target = ""
	}
	return hosts
}

func checkPlan(t *rapid.T, before []pool.HostView, f *fleet) {
	planned := make(map[string]bool)
	for _, move := range f.plan.Moves {
		i := slices.IndexFunc(before, func(h pool.HostView) bool { return h.Name == move.Host })
		moving := before[i].Target != "" && f.arrives[move.Host].After(f.now.Add(testMoveTime))
		if planned[move.Host] || moving || before[i].Down || move.From == move.To {
			t.Fatalf("got move %+v of host %+v, want none", move, before[i])
		}
		planned[move.Host] = true
		if move.From == "spare" {
			continue
		}
		if got := survivingRackLoss(f.hosts, move.From); got < testMinimum {
			t.Fatalf("%s after %+v: got %d hosts without its largest rack, want %d", move.From, move, got, testMinimum)
		}
	}
}

// TestPlannerHysteresis checks that fluctuating load causes few moves.
func TestPlannerHysteresis(t *testing.T) {
	tests := map[string]func(step int) float64{
		"noise":              func(step int) float64 { return 5 + float64(step*7%5)/2 },
		"short dips":         func(step int) float64 { return []float64{6, 6, 6, 0.2}[step%4] },
		"around a threshold": func(step int) float64 { return 8*pool.DefaultUtilisation + float64(step%2)/5 - 0.1 },
	}
	for name, load := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(pool.Weights{}, 2, 8, 4)
			for step := range 600 {
				for q := range f.pools {
					f.pools[q].Load = load(step)
				}
				f.step()
			}
			if got, want := len(f.moves), 4; got > want {
				t.Errorf("moves in 5 min: got %d, want at most %d", got, want)
			}
		})
	}
}

// TestPlannerWeights checks that a larger weight of moves, idle hosts or late
// work reduces each of them.
func TestPlannerWeights(t *testing.T) {
	run := func(w pool.Weights) (moves int, idle, late float64) {
		f := newFleet(w, 4, 8, 8)
		idle, late = f.rotateBursts(40, 14, 10*time.Second)
		return len(f.moves), idle, late
	}
	equal := pool.Weights{BufferCost: 1, Moves: 1, ShareNearness: 1, RollOutTime: 1}
	moves, idle, late := run(equal)
	weightedMoves, _, _ := run(pool.Weights{BufferCost: 1, Moves: 8, ShareNearness: 1, RollOutTime: 1})
	_, weightedIdle, _ := run(pool.Weights{BufferCost: 8, Moves: 1, ShareNearness: 1, RollOutTime: 1})
	_, _, weightedLate := run(pool.Weights{BufferCost: 1, Moves: 1, ShareNearness: 8, RollOutTime: 1})
	if weightedMoves >= moves {
		t.Errorf("moves with a weight of 8: got %d, want less than %d", weightedMoves, moves)
	}
	if weightedIdle >= idle {
		t.Errorf("idle hosts with a weight of 8: got %.0f, want less than %.0f", weightedIdle, idle)
	}
	if weightedLate > late {
		t.Errorf("late work with a share weight of 8: got %.0f, want at most %.0f", weightedLate, late)
	}
}

func TestPlannerMaintenanceMoves(t *testing.T) {
	lent := func(rollOut float64) int {
		f := newFleet(pool.Weights{BufferCost: 1, Moves: 1, ShareNearness: 1, RollOutTime: rollOut}, 2, 6, 8)
		f.pools[0].Maintaining, f.pools[0].Load, f.pools[1].Load = 6, 5, 1
		for range 40 {
			f.step()
		}
		return f.count(pool.ReasonMaintenance)
	}
	if got, want := lent(4), lent(0.1); got <= want {
		t.Errorf("hosts lent to a wave: got %d with a weight of 4, want more than the %d with 0.1", got, want)
	}
}

// TestPlannerForecastsBursts checks that hosts arrive before a burst once the
// order of the bursts is known, also with the history of another planner.
func TestPlannerForecastsBursts(t *testing.T) {
	f := newFleet(pool.Weights{}, 4, 8, 8)
	_, first := f.rotateBursts(4, 14, 10*time.Second)
	f.rotateBursts(16, 14, 10*time.Second)
	_, later := f.rotateBursts(4, 14, 10*time.Second)
	if got := f.count(pool.ReasonForecast); got == 0 {
		t.Errorf("moves for expected bursts: got none, want some")
	}
	if later > first/3 {
		t.Errorf("late work once the order is known: got %.0f, want at most a third of %.0f", later, first)
	}
	text, err := json.Marshal(f.planner.History())
	if err != nil {
		t.Fatal(err)
	}
	config := pool.PlannerConfig{Spare: "spare"}
	if err := json.Unmarshal(text, &config.History); err != nil {
		t.Fatal(err)
	}
	restored := newFleet(pool.Weights{}, 4, 8, 8)
	restored.planner = pool.NewPlanner(config)
	restored.rotateBursts(1, 14, 10*time.Second)
	if _, got := restored.rotateBursts(4, 14, 10*time.Second); got > first/2 {
		t.Errorf("late work with the history of another planner: got %.0f, want at most half of %.0f", got, first)
	}
}

func TestPlannerFailures(t *testing.T) {
	tests := map[string]struct {
		prepare func(f *fleet)
		want    func(f *fleet) string
	}{
		"hosts fail below the minimum": {
			prepare: func(f *fleet) {
				for i := range 5 {
					f.hosts[i].Down = true
				}
			},
			want: func(f *fleet) string {
				if f.count(pool.ReasonMinimum) == 0 || survivingRackLoss(f.hosts, "queue-0") < testMinimum {
					return "a pool at its minimum"
				}
				return ""
			},
		},
		"nothing left to move": {
			prepare: func(f *fleet) {
				for i := range f.hosts {
					f.hosts[i].Down = true
				}
			},
			want: func(f *fleet) string {
				if len(f.moves) > 0 || !f.plan.Pools[0].Short {
					return "no move and a short pool"
				}
				return ""
			},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(pool.Weights{}, 2, 6, 6)
			tc.prepare(f)
			for range 20 {
				f.step()
			}
			if want := tc.want(f); want != "" {
				t.Errorf("got %+v, want %s", f.plan, want)
			}
		})
	}
}

func TestPlannerIgnoresStaleLoads(t *testing.T) {
	f := newFleet(pool.Weights{}, 2, 6, 6)
	f.pools[0].Load = 30
	view := f.view()
	got := f.planner.Step(f.now.Add(2*pool.DefaultStaleAfter), view)
	if !got.Stale || len(got.Moves) > 0 {
		t.Errorf("got %+v, want a stale plan without moves", got)
	}
}

// TestPlannerSpreadsHosts checks that moved hosts spread a pool over racks.
func TestPlannerSpreadsHosts(t *testing.T) {
	f := newFleet(pool.Weights{}, 1, 4, 12)
	f.pools[0].Load = 7
	for range 30 {
		f.step()
	}
	racks := make(map[string]int)
	for _, h := range f.hosts {
		if h.Pool == "queue-0" {
			racks[h.Rack]++
		}
	}
	for rack, got := range racks {
		if got > 3 {
			t.Errorf("rack %s: got %d hosts of %v, want at most 3", rack, got, racks)
		}
	}
}
