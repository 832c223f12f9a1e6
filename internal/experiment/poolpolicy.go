package experiment

import (
	"math"
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
			Spare: sparePool, Weights: weights, Lag: observationLag, MaxWait: poolPatience,
		})}
	}
}

// newHeir is a planner with the memory of another, which saw other turns.
func newHeir(weights pool.Weights) func(*poolBench) poolPolicy {
	return func(b *poolBench) poolPolicy {
		before := newPoolBench(b.scenario, b.seed+heirSeeds)
		first := newPlannerPolicy(weights)(before).(plannerPolicy)
		before.run(first)
		return plannerPolicy{pool.NewPlanner(pool.PlannerConfig{
			Spare: sparePool, Weights: weights, Lag: observationLag, MaxWait: poolPatience,
			History: first.planner.History(),
		})}
	}
}

// heirSeeds keeps the turns of an heir's forerunner apart from all others.
const heirSeeds = 1000

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
// hysteresis: from the spare pool, else from the pool with the most beyond its
// own target. Eager thresholds give back at once what a pool does not need.
type threshold struct {
	utilisation float64
	eager       bool
}

func newThreshold(utilisation float64, eager bool) func(*poolBench) poolPolicy {
	return func(*poolBench) poolPolicy { return threshold{utilisation: utilisation, eager: eager} }
}

func (p threshold) plan(_ time.Time, view pool.View) []pool.PlannedMove {
	s := &thresholdStep{serving: make(map[string][]pool.HostView), incoming: make(map[string]int)}
	for _, h := range view.Hosts {
		switch {
		case h.Down:
		case h.Target != "":
			s.incoming[h.Target]++
		default:
			s.serving[h.Pool] = append(s.serving[h.Pool], h)
		}
	}
	for _, v := range view.Pools {
		for p.eager && s.beyond(v.Name, p.target(v)) > 0 && keeps(s.serving[v.Name]) {
			s.take(v.Name, sparePool)
		}
	}
	for _, v := range view.Pools {
		for s.beyond(v.Name, p.target(v))+s.incoming[v.Name] < 0 {
			from := p.donor(s, view)
			if from == "" {
				break
			}
			s.take(from, v.Name)
		}
	}
	return s.moves
}

// target is the number of hosts for the load: never less than the minimum and
// what a rack holds of so small a pool.
func (p threshold) target(v pool.Observation) int {
	return max(int(math.Ceil(v.Load/p.utilisation)), v.Minimum+1)
}

func (p threshold) donor(s *thresholdStep, view pool.View) string {
	if len(s.serving[sparePool]) > 0 {
		return sparePool
	}
	best, most := "", 0
	for _, v := range view.Pools {
		if n := s.beyond(v.Name, p.target(v)); n > most && keeps(s.serving[v.Name]) {
			best, most = v.Name, n
		}
	}
	return best
}

// thresholdStep is the state of one step.
type thresholdStep struct {
	serving  map[string][]pool.HostView
	incoming map[string]int
	moves    []pool.PlannedMove
}

func (s *thresholdStep) beyond(name string, target int) int { return len(s.serving[name]) - target }

// take moves the pool's last host.
func (s *thresholdStep) take(from, to string) {
	last := len(s.serving[from]) - 1
	s.moves = append(s.moves, pool.PlannedMove{Host: s.serving[from][last].Name, From: from, To: to})
	s.serving[from] = s.serving[from][:last]
	s.incoming[to]++
}

// keeps reports whether a pool may lose its last host.
func keeps(hosts []pool.HostView) bool {
	racks, largest := make(map[string]int), 0
	rest := hosts[:len(hosts)-1]
	for _, h := range rest {
		racks[h.Rack]++
		largest = max(largest, racks[h.Rack])
	}
	return len(rest)-largest >= minimumSurvivors
}
