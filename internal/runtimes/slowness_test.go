package runtimes

import (
	"math/rand/v2"
	"testing"
)

// Guards against a slow endpoint that is not found, and against sound ones that are taken for
// slow since some of their tasks are long.
func TestSlowness(t *testing.T) {
	const endpoints = 20
	tests := map[string]struct {
		noise float64
		// slow is the factor by which the first endpoint is slower, tasks how many tasks
		// each endpoint has executed.
		slow  float64
		tasks int
		// min and max bound the first endpoint's factor.
		min, max float64
	}{
		"four tasks say nothing":                     {noise: 0.2, slow: 4, tasks: 4, min: 1, max: 1},
		"a quarter of the speed":                     {noise: 0.2, slow: 4, tasks: 10, min: 1.5, max: 4},
		"a quarter of the speed, inaccurate guesses": {noise: 0.9, slow: 4, tasks: 60, min: 1.5, max: 4},
		"sound":                     {noise: 0.2, slow: 1, tasks: 500, min: 1, max: 1},
		"sound, inaccurate guesses": {noise: 0.9, slow: 1, tasks: 500, min: 1, max: 1},
		"faster":                    {noise: 0.2, slow: 0.25, tasks: 500, min: 1, max: 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			model, _ := observedMixture(c.noise, 500)
			tasks := mixture{random: rand.New(rand.NewPCG(3, 4)), noise: c.noise}
			var slowness [endpoints]Slowness
			for range c.tasks {
				for endpoint := range slowness {
					estimate, took, _ := tasks.draw()
					if endpoint == 0 {
						took = scale(took, c.slow)
					}
					slowness[endpoint].Observe(model.ObserveRatio(estimate, took))
					model.Observe(estimate, took)
					if got := slowness[endpoint].Factor(); endpoint > 0 && got != 1 {
						t.Errorf("factor of sound endpoint %d: got %.2f, want 1", endpoint, got)
					}
				}
			}
			if got := slowness[0].Factor(); got < c.min || got > c.max {
				t.Errorf("factor: got %.2f, want %v to %v", got, c.min, c.max)
			}
		})
	}
}

// Guards against an endpoint that counts as slow for ever: once it is as fast as its peers,
// it is found to be.
func TestSlownessIsForgotten(t *testing.T) {
	model, _ := observedMixture(0.2, 500)
	tasks := mixture{random: rand.New(rand.NewPCG(5, 6)), noise: 0.2}
	var slowness Slowness
	observe := func(count int, factor float64) {
		for range count {
			estimate, took, _ := tasks.draw()
			slowness.Observe(model.ObserveRatio(estimate, scale(took, factor)))
		}
	}
	observe(20, 4)
	if got := slowness.Factor(); got <= 1 {
		t.Errorf("factor of a slow endpoint: got %.2f, want more than 1", got)
	}
	observe(100, 1)
	if got := slowness.Factor(); got != 1 {
		t.Errorf("factor once it has recovered: got %.2f, want 1", got)
	}
}
