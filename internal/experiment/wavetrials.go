package experiment

import (
	"math"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/wave"
)

var waveScenarios = []waveScenario{
	{name: "no failures"},
	{name: "hosts fail alone", failing: 0.04},
	{name: "a rack is lost", loseRack: true},
	{name: "bad image", badImage: true},
}

// namedWavePolicy makes a policy for each pool.
type namedWavePolicy struct {
	name  string
	make  func() wavePolicy
	grace time.Duration
	apart bool
}

// wavePolicies are the product, variants of it and the baselines.
func wavePolicies(d Deployment) []namedWavePolicy {
	w := measureWeights[d.Name]
	rollOut := 4 * w.RollOutTime / (w.BufferCost + w.Moves + w.ShareNearness + w.RollOutTime)
	return []namedWavePolicy{
		{name: "wave", make: newWave(wave.Config{RollOutTime: rollOut})},
		{name: "wave, one canary", make: newWave(wave.Config{Canaries: 1})},
		{name: "wave, any canaries", make: newWave(wave.Config{Canaries: math.MaxInt32})},
		{name: "wave, pools apart", make: newWave(wave.Config{RollOutTime: rollOut}), apart: true},
		{name: "one host at a time", make: newAtOnce(0)},
		{name: "fixed fraction 0.25", make: newAtOnce(0.25)},
		{name: "fixed fraction 0.5", make: newAtOnce(0.5)},
		{name: "fixed fraction 0.25, grace 1 s", make: newAtOnce(0.25), grace: time.Second},
	}
}

// productWave is the product's wave.
type productWave struct{ wave *wave.Wave }

func newWave(config wave.Config) func() wavePolicy {
	return func() wavePolicy { return productWave{wave.New(config)} }
}

func (p productWave) start(now time.Time, view wave.View) []string {
	return p.wave.Step(now, view).Start
}

func (p productWave) resume(view wave.View) { p.wave.Resume(view) }

// atOnce keeps a fixed part of the pool in maintenance, at least one host,
// whatever else is down.
type atOnce struct{ fraction float64 }

func newAtOnce(fraction float64) func() wavePolicy {
	return func() wavePolicy { return atOnce{fraction} }
}

func (p atOnce) start(_ time.Time, view wave.View) []string {
	free := max(1, int(p.fraction*float64(len(view.Hosts))))
	for _, h := range view.Hosts {
		if h.State == wave.StateDown {
			free--
		}
	}
	var start []string
	for _, h := range view.Hosts {
		if h.State == wave.StatePending && len(start) < free {
			start = append(start, h.Name)
		}
	}
	return start
}

func (atOnce) resume(wave.View) {}

func waveTrials(d Deployment) []trial {
	var trials []trial
	for _, scenario := range waveScenarios {
		for _, policy := range wavePolicies(d) {
			trials = append(trials, trial{
				part: Waves, deployment: d.Name, scenario: scenario.name, policy: policy.name,
				run: func(seed uint64) outcome {
					bench := newWaveBench(d, scenario, seed, policy.make, policy.grace)
					bench.apart = policy.apart
					return runWaves(bench)
				},
			})
		}
	}
	return trials
}

func runWaves(b *waveBench) outcome {
	took := b.run()
	worst := time.Duration(0)
	for _, p := range b.pools {
		worst = max(worst, p.short)
	}
	return outcome{values: []value{
		{"roll-out", "min", took.Minutes()},
		{"roll-out over shortest", "%", 100 * took.Seconds() / b.shortest().Seconds()},
		{"budget spent", "%", 100 * worst.Seconds() / budgetOfSevenWks.Seconds()},
		{"hosts failed", "hosts", float64(b.lost)},
		{"requests cut", "requests", float64(b.cut)},
	}}
}
