package experiment

import (
	"os"
	"reflect"
	"testing"
	"time"
)

// TestPoolTargets checks the planner against its targets with one seed; the command
// measures five seeds and all thresholds.
func TestPoolTargets(t *testing.T) {
	const lateRatio, movesRatio = 3, 3
	scenario := poolScenarios[0]
	fixed := runPools(scenario, 1, newFixedPools)
	base := runPools(scenario, 1, newThreshold(0.5, false))
	// Tanoa weighs moves higher, and Ripustus the nearness to the shares.
	byWeights := map[string]*poolMeasure{}
	for name, weights := range deploymentWeights {
		byWeights[name] = runPools(scenario, 1, newPlannerPolicy(weights))
	}
	if got, want := byWeights["tanoa"].moves, byWeights["ripustus"].moves; got >= want {
		t.Errorf("moves with the weights of tanoa: got %d, want less than %d", got, want)
	}
	if got, want := byWeights["ripustus"].late, byWeights["tanoa"].late; got >= want {
		t.Errorf("late work with the weights of ripustus: got %.0f, want less than %.0f", got, want)
	}
	for name, d := range map[string]Deployment{"tanoa": Deployments[0], "ripustus": Deployments[1]} {
		t.Run(name, func(t *testing.T) {
			planner := byWeights[name]
			if got, want := planner.late, fixed.late/lateRatio; got > want {
				t.Errorf("late work: got %.0f host-seconds, want at most %.0f", got, want)
			}
			fewest := planner.moves
			for _, policy := range plannerPolicies(d)[1:] {
				if fewest <= base.moves/movesRatio {
					break
				}
				if m := runPools(scenario, 1, policy.make); m.late <= base.late {
					fewest = min(fewest, m.moves)
				}
			}
			if got, want := fewest, base.moves/movesRatio; got > want {
				t.Errorf("moves of a planner with no more late work than the threshold: got %d, want at most %d", got, want)
			}
		})
	}
}

func TestPoolRunKeepsTheMinimum(t *testing.T) {
	for _, scenario := range poolScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			make := newPlannerPolicy(deploymentWeights["tanoa"])
			got := runPools(scenario, 2, make)
			if got.belowMinimum != 0 || got.moves == 0 {
				t.Errorf("got %d moves, %d of them below the minimum, want at least one move and none below the minimum", got.moves, got.belowMinimum)
			}
			if again := runPools(scenario, 2, make); !reflect.DeepEqual(got.outcome(), again.outcome()) {
				t.Errorf("second run with the same seed: got %v, want %v", again.outcome(), got.outcome())
			}
			bound := minMoves(newPoolBench(scenario, 2).turns)
			if bound == 0 || bound >= got.moves {
				t.Errorf("lower bound: got %d moves, want more than 0 and less than %d", bound, got.moves)
			}
		})
	}
}

func TestMinMoves(t *testing.T) {
	turns := func(queues ...int) []turn {
		var out []turn
		for i, queue := range queues {
			start := epoch.Add(time.Duration(i) * turnLength)
			// 24 hosts' load for 10 s, to be started within 12 s, needs 20 hosts.
			out = append(out, turn{queue: queue, start: start, end: start.Add(turnLength), load: 24})
		}
		return out
	}
	tests := map[string]struct {
		turns []turn
		want  int
	}{
		"none":                   {nil, 0},
		"from the spare pool":    {turns(0), 8},
		"same pool again":        {turns(0, 0), 8},
		"two pools":              {turns(0, 1), 8 + 9},
		"back to the first pool": {turns(0, 1, 0), 8 + 9},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := minMoves(tc.turns); got != tc.want {
				t.Errorf("got %d moves, want %d", got, tc.want)
			}
		})
	}
}

func TestFluidQueue(t *testing.T) {
	q := &fluidQueue{}
	q.enqueue(epoch, 2)
	served, late := q.serve(epoch, 1.5)
	if served != 1.5 || late != 0 {
		t.Errorf("in time: got %v served, %v late, want 1.5 and 0", served, late)
	}
	now := epoch.Add(poolMaxStartDelay + poolTick)
	if got := q.overdueWork(now); got != 0.5 {
		t.Errorf("got %v overdue, want 0.5", got)
	}
	if served, late = q.serve(now, 5); served != 0.5 || late != 0.5 {
		t.Errorf("after the maximum start delay: got %v served, %v late, want 0.5 of both", served, late)
	}
}

// TestWaveTargets checks with one seed that a wave cuts no requests, spends no
// budget, and fails fewer hosts with a bad image than a fixed fraction does. The
// baseline has to cut requests, which shows that the simulation can produce the
// fault.
func TestWaveTargets(t *testing.T) {
	cut := 0.0
	values := func(b *waveBench) map[string]float64 {
		out := map[string]float64{}
		for _, v := range runWaves(b).values {
			out[v.name] = v.amount
		}
		return out
	}
	for _, scenario := range waveScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			for _, d := range Deployments {
				policies := wavePolicies(d)
				got := values(newWaveBench(d, scenario, 1, policies[0].make, 0))
				if got["requests cut"] != 0 || got["budget spent"] != 0 {
					t.Errorf("%s: got %v, want no request cut and no budget spent", d.Name, got)
				}
				fixed := policies[len(policies)-1]
				base := values(newWaveBench(d, scenario, 1, fixed.make, fixed.grace))
				cut += base["requests cut"]
				if scenario.badImage && got["hosts failed"] >= base["hosts failed"] {
					t.Errorf("%s: hosts failed: got %v, want less than %v", d.Name, got["hosts failed"], base["hosts failed"])
				}
			}
		})
	}
	if cut == 0 {
		t.Errorf("requests cut without confirmations: got none, want at least one")
	}
}

func TestMovePlots(t *testing.T) {
	dir := t.TempDir()
	report := Report{Rows: []Row{{Part: Pools, Deployment: "tanoa"}}}
	if err := report.WritePlots(dir); err != nil {
		t.Fatalf("WritePlots: %v", err)
	}
	if files, err := os.ReadDir(dir); err != nil || len(files) != 2 {
		t.Errorf("got %d plots, error %v, want 2", len(files), err)
	}
}
