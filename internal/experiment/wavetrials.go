package experiment

import (
	"math"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/wave"
)

var waveScenarios = []waveScenario{
	{name: "no failures"},
	{name: "hosts fail alone", failureRate: 0.04},
	{name: "a rack is lost", loseRack: true},
	{name: "bad image", badImage: true},
}

// namedWavePolicy is a named constructor of policies; each pool gets a policy of its
// own.
type namedWavePolicy struct {
	name     string
	make     func() wavePolicy
	grace    time.Duration
	isolated bool
}

// wavePolicies returns the policy under test, variants of it, and baselines.
func wavePolicies(d Deployment) []namedWavePolicy {
	w := deploymentWeights[d.Name]
	rollOut := 4 * w.RollOutTime / (w.BufferCost + w.Moves + w.ShareNearness + w.RollOutTime)
	return []namedWavePolicy{
		{name: "wave", make: newWave(wave.Config{RollOutTime: rollOut})},
		{name: "wave, one canary", make: newWave(wave.Config{Canaries: 1})},
		{name: "wave, any canaries", make: newWave(wave.Config{Canaries: math.MaxInt32})},
		{name: "wave, pools apart", make: newWave(wave.Config{RollOutTime: rollOut}), isolated: true},
		{name: "one host at a time", make: newFixedFraction(0)},
		{name: "fixed fraction 0.25", make: newFixedFraction(0.25)},
		{name: "fixed fraction 0.5", make: newFixedFraction(0.5)},
		{name: "fixed fraction 0.25, grace 1 s", make: newFixedFraction(0.25), grace: time.Second},
	}
}

// waveAdapter selects hosts with a wave.Wave, the policy under test.
type waveAdapter struct{ wave *wave.Wave }

func newWave(config wave.Config) func() wavePolicy {
	return func() wavePolicy { return waveAdapter{wave.New(config)} }
}

func (p waveAdapter) start(now time.Time, view wave.View) []string {
	return p.wave.Step(now, view).Start
}

func (p waveAdapter) resume(view wave.View) { p.wave.Resume(view) }

// fixedFraction keeps a fixed fraction of the pool in maintenance, and at least one
// host, regardless of other failures.
type fixedFraction struct{ fraction float64 }

func newFixedFraction(fraction float64) func() wavePolicy {
	return func() wavePolicy { return fixedFraction{fraction} }
}

func (p fixedFraction) start(_ time.Time, view wave.View) []string {
	allowed := max(1, int(p.fraction*float64(len(view.Hosts))))
	for _, h := range view.Hosts {
		if h.State == wave.StateDown {
			allowed--
		}
	}
	var start []string
	for _, h := range view.Hosts {
		if h.State == wave.StatePending && len(start) < allowed {
			start = append(start, h.Name)
		}
	}
	return start
}

func (fixedFraction) resume(wave.View) {}

func waveTrials(d Deployment) []trial {
	var trials []trial
	for _, scenario := range waveScenarios {
		for _, policy := range wavePolicies(d) {
			trials = append(trials, trial{
				part: Waves, deployment: d.Name, scenario: scenario.name, policy: policy.name,
				run: func(seed uint64) outcome {
					bench := newWaveBench(d, scenario, seed, policy.make, policy.grace)
					bench.isolated = policy.isolated
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
		worst = max(worst, p.shortage)
	}
	return outcome{values: []value{
		{"roll-out", "min", took.Minutes()},
		{"roll-out over shortest", "%", 100 * took.Seconds() / b.minRollOutTime().Seconds()},
		{"budget spent", "%", 100 * worst.Seconds() / availabilityBudget.Seconds()},
		{"hosts failed", "hosts", float64(b.hostsFailed)},
		{"requests cut", "requests", float64(b.requestsCut)},
	}}
}
