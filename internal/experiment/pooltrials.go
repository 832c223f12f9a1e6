package experiment

import (
	"fmt"
)

var poolScenarios = []poolScenario{
	{name: "turns in order"},
	{name: "turns in any order", anyOrder: true},
	{name: "a rack is lost", loseRack: true},
}

// namedPoolPolicy names a policy and creates it for a run.
type namedPoolPolicy struct {
	name string
	make func(*poolBench) poolPolicy
}

// plannerPolicies returns the planner with the deployment's weights, followed by
// variants with larger and larger weights of moves, which move fewer hosts and have
// more late work.
func plannerPolicies(d Deployment) []namedPoolPolicy {
	weights := deploymentWeights[d.Name]
	policies := []namedPoolPolicy{{"planner", newPlannerPolicy(weights)}}
	for _, factor := range []float64{2, 4, 8, 16, 64} {
		w := weights
		w.Moves *= factor
		policies = append(policies, namedPoolPolicy{fmt.Sprintf("planner, moves %g-fold", factor), newPlannerPolicy(w)})
	}
	return policies
}

func thresholdPolicies() []namedPoolPolicy {
	var policies []namedPoolPolicy
	for _, u := range []float64{0.5, 0.7, 0.9} {
		policies = append(policies, namedPoolPolicy{fmt.Sprintf("threshold %.2g", u), newThreshold(u, true)})
	}
	for _, u := range []float64{0.5, 0.7, 0.9} {
		policies = append(policies, namedPoolPolicy{fmt.Sprintf("threshold %.2g, lazy", u), newThreshold(u, false)})
	}
	return policies
}

func poolTrials(d Deployment) []trial {
	policies := append(plannerPolicies(d),
		namedPoolPolicy{"planner with a memory", newPretrainedPlanner(deploymentWeights[d.Name])},
		namedPoolPolicy{"fixed pools", newFixedPools})
	policies = append(policies, thresholdPolicies()...)
	var trials, targets []trial
	for _, scenario := range poolScenarios {
		for _, policy := range policies {
			trials = append(trials, trial{
				part: Pools, deployment: d.Name, scenario: scenario.name, policy: policy.name,
				run: func(seed uint64) outcome { return runPools(scenario, seed, policy.make).outcome() },
			})
		}
		trials = append(trials, trial{
			part: Pools, deployment: d.Name, scenario: scenario.name, policy: "bound: offline, no late work",
			run: func(seed uint64) outcome { return outcome{values: poolBound(scenario, seed)} },
		})
		targets = append(targets, trial{
			part: Pools, deployment: d.Name, scenario: scenario.name, policy: "planner against baselines",
			run: func(seed uint64) outcome { return outcome{values: comparePools(d, scenario, seed)} },
		})
	}
	return append(trials, targets...)
}

func runPools(scenario poolScenario, seed uint64, make func(*poolBench) poolPolicy) *poolMeasure {
	bench := newPoolBench(scenario, seed)
	return bench.run(make(bench))
}

func (m *poolMeasure) latePercent() float64 { return 100 * m.late / m.inBursts }

func (m *poolMeasure) outcome() outcome {
	seconds := poolRun.Seconds()
	return outcome{values: []value{
		{"late work", "% of bursts", m.latePercent()},
		{"late once learnt", "% of bursts", 100 * m.lateAfterWarmUp / m.inBurstsAfterWarmUp},
		{"moves", "a minute", float64(m.moves) / poolRun.Minutes()},
		{"idle outside spare", "hosts", m.idle / seconds},
		{"idle in spare", "hosts", m.idleSpare / seconds},
		{"moves below minimum", "moves", float64(m.belowMinimum)},
	}}
}

// poolBound returns the bounds of a policy that knows all turns in advance. No work
// has to be late, because the pools together have more hosts than all queues need.
func poolBound(scenario poolScenario, seed uint64) []value {
	b := newPoolBench(scenario, seed)
	idle := minIdle(b.turns) / poolRun.Seconds()
	busy := 0.0
	for _, t := range b.turns {
		busy += t.load * t.end.Sub(t.start).Seconds() / poolRun.Seconds()
		for queue := range queueHosts {
			if queue != t.queue {
				busy += troughFactor * meanLoad(queue) * t.end.Sub(t.start).Seconds() / poolRun.Seconds()
			}
		}
	}
	return []value{
		{"late work", "% of bursts", 0},
		{"late once learnt", "% of bursts", 0},
		{"moves", "a minute", float64(minMoves(b.turns)) / poolRun.Minutes()},
		{"idle outside spare", "hosts", idle},
		{"idle in spare", "hosts", float64(len(b.hosts)) - idle - busy},
		{"moves below minimum", "moves", 0},
	}
}

// comparePools measures the planner against its targets: the late work of fixed
// pools relative to the planner's, and the moves of each threshold relative to those
// of the planner variant with the fewest moves and no more late work than that
// threshold. 0 means that there is no such variant.
func comparePools(d Deployment, scenario poolScenario, seed uint64) []value {
	var planners []*poolMeasure
	for _, policy := range plannerPolicies(d) {
		planners = append(planners, runPools(scenario, seed, policy.make))
	}
	fixed := runPools(scenario, seed, newFixedPools)
	values := []value{{"late: fixed over planner", "ratio", fixed.late / max(planners[0].late, 1)}}
	for _, policy := range thresholdPolicies() {
		base := runPools(scenario, seed, policy.make)
		ratio := 0.0
		for _, p := range planners {
			if p.late <= base.late {
				ratio = max(ratio, float64(base.moves)/float64(max(1, p.moves)))
			}
		}
		values = append(values, value{"moves: " + policy.name + " over planner", "ratio", ratio})
	}
	return values
}
