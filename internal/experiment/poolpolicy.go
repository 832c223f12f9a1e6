package experiment

import (
	"math"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/pool"
)

// poolPolicy decides which hosts to move between pools.
type poolPolicy interface {
	plan(now time.Time, view pool.View) []pool.PlannedMove
}

// deploymentWeights holds each deployment's weights of the four optimisation
// targets.
var deploymentWeights = map[string]pool.Weights{
	"tanoa":    {BufferCost: 2, Moves: 2, ShareNearness: 0.5, RollOutTime: 0.5},
	"ripustus": {BufferCost: 0.5, Moves: 0.5, ShareNearness: 2, RollOutTime: 2},
}

// plannerPolicy plans moves with a pool.Planner, the policy under test.
type plannerPolicy struct{ planner *pool.Planner }

func newPlannerPolicy(weights pool.Weights) func(*poolBench) poolPolicy {
	return func(*poolBench) poolPolicy {
		return plannerPolicy{pool.NewPlanner(pool.PlannerConfig{
			Spare: sparePool, Weights: weights, Lag: observationLag, MaxWait: poolMaxStartDelay,
		})}
	}
}

// newPretrainedPlanner returns a planner that starts with the history of an earlier
// run over other turns.
func newPretrainedPlanner(weights pool.Weights) func(*poolBench) poolPolicy {
	return func(b *poolBench) poolPolicy {
		priorBench := newPoolBench(b.scenario, b.seed+pretrainingSeedOffset)
		prior := newPlannerPolicy(weights)(priorBench).(plannerPolicy)
		priorBench.run(prior)
		return plannerPolicy{pool.NewPlanner(pool.PlannerConfig{
			Spare: sparePool, Weights: weights, Lag: observationLag, MaxWait: poolMaxStartDelay,
			History: prior.planner.History(),
		})}
	}
}

// pretrainingSeedOffset keeps the seeds of pretraining runs apart from all others.
const pretrainingSeedOffset = 1000

func (p plannerPolicy) plan(now time.Time, view pool.View) []pool.PlannedMove {
	return p.planner.Step(now, view).Moves
}

// fixedPools moves no hosts. The spare hosts are distributed over the pools at the
// start, so that all policies have the same number of hosts.
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

// threshold gives each pool the hosts that its current load requires, without
// hysteresis. They come from the spare pool, or else from the pool with the largest
// surplus. An eager threshold returns surplus hosts to the spare pool at once.
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
		for p.eager && s.surplus(v.Name, p.target(v)) > 0 && canDonate(s.serving[v.Name]) {
			s.moveHost(v.Name, sparePool)
		}
	}
	for _, v := range view.Pools {
		for s.surplus(v.Name, p.target(v))+s.incoming[v.Name] < 0 {
			from := p.donor(s, view)
			if from == "" {
				break
			}
			s.moveHost(from, v.Name)
		}
	}
	return s.moves
}

// target returns the number of hosts for the pool's load, and at least the minimum
// and one host more: in so small a pool a rack holds one host, and may be lost.
func (p threshold) target(v pool.Observation) int {
	return max(int(math.Ceil(v.Load/p.utilisation)), v.Minimum+1)
}

func (p threshold) donor(s *thresholdStep, view pool.View) string {
	if len(s.serving[sparePool]) > 0 {
		return sparePool
	}
	best, most := "", 0
	for _, v := range view.Pools {
		if n := s.surplus(v.Name, p.target(v)); n > most && canDonate(s.serving[v.Name]) {
			best, most = v.Name, n
		}
	}
	return best
}

// thresholdStep is the state of one planning step.
type thresholdStep struct {
	serving  map[string][]pool.HostView
	incoming map[string]int
	moves    []pool.PlannedMove
}

func (s *thresholdStep) surplus(name string, target int) int { return len(s.serving[name]) - target }

// moveHost plans a move of the last serving host of a pool.
func (s *thresholdStep) moveHost(from, to string) {
	last := len(s.serving[from]) - 1
	s.moves = append(s.moves, pool.PlannedMove{Host: s.serving[from][last].Name, From: from, To: to})
	s.serving[from] = s.serving[from][:last]
	s.incoming[to]++
}

// canDonate reports whether a pool keeps its minimum, even if it loses a rack,
// after it has given up its last host.
func canDonate(hosts []pool.HostView) bool {
	racks, largest := make(map[string]int), 0
	rest := hosts[:len(hosts)-1]
	for _, h := range rest {
		racks[h.Rack]++
		largest = max(largest, racks[h.Rack])
	}
	return len(rest)-largest >= minimumSurvivors
}
