package experiment

import (
	"math"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/pool"
)

// poolPolicy decides which moves to start.
type poolPolicy interface {
	plan(now time.Time, view pool.View) []pool.PlannedMove
}

// measureWeights are the deployments' weights of the four measures.
var measureWeights = map[string]pool.Weights{
	"tanoa":    {BufferCost: 2, Moves: 2, ShareNearness: 0.5, RollOutTime: 0.5},
	"ripustus": {BufferCost: 0.5, Moves: 0.5, ShareNearness: 2, RollOutTime: 2},
}

// plannerPolicy is the product's planner.
type plannerPolicy struct{ planner *pool.Planner }

func newPlannerPolicy(weights pool.Weights) func(*poolBench) poolPolicy {
	return func(*poolBench) poolPolicy {
		return plannerPolicy{pool.NewPlanner(pool.PlannerConfig{
			Spare: sparePool, Weights: weights, Lag: observationLag,
		})}
	}
}

func (p plannerPolicy) plan(now time.Time, view pool.View) []pool.PlannedMove {
	return p.planner.Step(now, view).Moves
}

// fixedPools moves nothing. The spare hosts are dealt to the pools first, so
// that the buffer is as large as that of the others.
type fixedPools struct{}

func newFixedPools(b *poolBench) poolPolicy {
	next := 0
	for _, h := range b.hosts {
		if h.Pool == sparePool {
			h.Pool = queueName(next % len(queueHosts))
			next++
		}
	}
	return fixedPools{}
}

func (fixedPools) plan(time.Time, pool.View) []pool.PlannedMove { return nil }

// threshold gives each pool the hosts that its load asks for now, without
// hysteresis: from the spare pool, else from the pool with the lowest load.
type threshold struct {
	bench       *poolBench
	utilisation float64
}

func newThreshold(utilisation float64) func(*poolBench) poolPolicy {
	return func(b *poolBench) poolPolicy { return threshold{bench: b, utilisation: utilisation} }
}

func (p threshold) plan(_ time.Time, view pool.View) []pool.PlannedMove {
	var moves []pool.PlannedMove
	byPool, incoming := make(map[string][]pool.HostView), make(map[string]int)
	for _, h := range view.Hosts {
		if h.Down {
			continue
		}
		if h.Target != "" {
			incoming[h.Target]++
			continue
		}
		byPool[h.Pool] = append(byPool[h.Pool], h)
	}
	target := func(v pool.Observation) int {
		return max(int(math.Ceil(v.Load/p.utilisation)), v.Minimum+2)
	}
	take := func(from, to string) {
		last := len(byPool[from]) - 1
		moves = append(moves, pool.PlannedMove{Host: byPool[from][last].Name, From: from, To: to})
		byPool[from] = byPool[from][:last]
		incoming[to]++
	}
	pools := slices.Clone(view.Pools)
	slices.SortStableFunc(pools, func(a, b pool.Observation) int { return int(1000 * (a.Load - b.Load)) })
	for _, v := range pools {
		for len(byPool[v.Name]) > target(v) && p.keeps(byPool[v.Name]) {
			take(v.Name, sparePool)
		}
	}
	for _, v := range slices.Backward(pools) {
		for len(byPool[v.Name])+incoming[v.Name] < target(v) && len(byPool[sparePool]) > 0 {
			take(sparePool, v.Name)
		}
	}
	return moves
}

// keeps reports whether the pool may lose its last host.
func (p threshold) keeps(hosts []pool.HostView) bool {
	racks, largest := make(map[string]int), 0
	rest := hosts[:len(hosts)-1]
	for _, h := range rest {
		racks[h.Rack]++
		largest = max(largest, racks[h.Rack])
	}
	return len(rest)-largest >= minimumSurvivors
}
