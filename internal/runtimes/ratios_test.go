package runtimes

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	// longShare of the tasks take longFactor times the usual time.
	longShare  = 0.03
	longFactor = 7
)

// mixture draws tasks of which a few take far longer than the others, with estimates that
// are off by noise, a standard deviation in the logarithm.
type mixture struct {
	random *rand.Rand
	noise  float64
}

// draw returns a task's estimate and duration, and whether it is a long one.
func (m mixture) draw() (estimate, took time.Duration, isLong bool) {
	usual := math.Exp(0.3 * m.random.NormFloat64())
	estimate = seconds(usual * math.Exp(m.noise*m.random.NormFloat64()))
	if m.random.Float64() < longShare {
		return estimate, seconds(longFactor * usual), true
	}
	return estimate, seconds(usual), false
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// observedMixture returns a model that has observed tasks of a mixture, and the ratios of
// the tasks' durations to their predictions.
func observedMixture(noise float64, count int) (*Model, []float64) {
	model := New(Config{})
	tasks := mixture{random: rand.New(rand.NewPCG(1, 2)), noise: noise}
	var observed []float64
	for range count {
		estimate, took, _ := tasks.draw()
		observed = append(observed, float64(took)/float64(model.Median(estimate)))
		model.ObserveRatio(estimate, took)
		model.Observe(estimate, took)
	}
	return model, observed
}

var mixtures = map[string]struct {
	noise float64
	count int
}{
	"nothing observed":          {noise: 0.2, count: 0},
	"few tasks":                 {noise: 0.2, count: 5},
	"accurate estimates":        {noise: 0.2, count: 4000},
	"inaccurate estimates":      {noise: 0.9, count: 4000},
	"few, inaccurate estimates": {noise: 0.9, count: 5},
}

// Guards against expectations that fall while a run goes on, or that no longer fit into a
// duration: the decision on a run would then change back and forth.
func TestRatiosAreMonotoneAndBounded(t *testing.T) {
	for name, c := range mixtures {
		t.Run(name, func(t *testing.T) {
			model, _ := observedMixture(c.noise, c.count)
			previous := 0.0
			for p := 0.0; p <= 1; p += 0.001 {
				got := model.Quantile(p)
				if got < previous || got > math.Exp(maxLogRatio) || got < math.Exp(minLogRatio) {
					t.Fatalf("quantile %.3f: got %v after %v, want no less, and within the bins", p, got, previous)
				}
				previous = got
			}
			end := time.Duration(0)
			for age := time.Duration(0); age < time.Hour; age += max(time.Millisecond, age/50) {
				rest := model.RemainingMean(age, time.Second)
				if rest < 0 || rest > max(age, scale(time.Second, math.Exp(maxLogRatio))) {
					t.Fatalf("expected rest after %v: got %v, want it within the bins", age, rest)
				}
				// Rounding to nanoseconds.
				if age+rest < end-time.Microsecond {
					t.Fatalf("expected end after %v: got %v, want at least the earlier %v", age, age+rest, end)
				}
				end = age + rest
			}
		})
	}
}

// meanRest returns the mean of what is left of the values above age.
func meanRest(values []float64, age float64) float64 {
	sum, count := 0.0, 0.0
	for _, value := range values {
		if value > age {
			sum, count = sum+value-age, count+1
		}
	}
	return sum / count
}

// Guards against a distribution that misses the few long tasks, or that is spread by
// estimates that are accurate: runs would then be taken for overdue, or never be.
func TestRatiosFitObservations(t *testing.T) {
	// tolerance is the largest factor between a figure and that of the sample; the newest
	// 500 of its tasks count most, 15 of them long.
	const tolerance = 1.5
	for name, c := range mixtures {
		if c.count < 1000 {
			continue
		}
		t.Run(name, func(t *testing.T) {
			model, observed := observedMixture(c.noise, c.count)
			slices.Sort(observed)
			check := func(what string, got, want float64) {
				if got < want/tolerance || got > want*tolerance {
					t.Errorf("%s: got %.2f, want about %.2f", what, got, want)
				}
			}
			for _, p := range []float64{0.05, 0.5, 0.9, 0.98} {
				check("quantile", model.Quantile(p), observed[int(p*float64(len(observed)))])
			}
			for _, age := range []float64{0, 0.5, 1, 2, 3} {
				check("expected rest", model.RemainingMean(seconds(age), time.Second).Seconds(), meanRest(observed, age))
			}
		})
	}
}

// Guards against a run beyond all known durations that is expected to end at once.
func TestRemainingMeanBeyondObservations(t *testing.T) {
	tests := map[string]struct {
		age, predicted time.Duration
		min, max       time.Duration
	}{
		"a new run":                   {age: 0, predicted: time.Second, min: 900 * time.Millisecond, max: 1100 * time.Millisecond},
		"beyond all known":            {age: 100 * time.Second, predicted: time.Second, min: 20 * time.Second, max: 100 * time.Second},
		"beyond the bins":             {age: time.Hour, predicted: time.Second, min: time.Hour, max: time.Hour},
		"no prediction":               {age: time.Hour},
		"a clock that is turned back": {age: -time.Hour, predicted: time.Second, min: 900 * time.Millisecond, max: 1100 * time.Millisecond},
	}
	model := New(Config{})
	for range 2000 {
		model.ObserveRatio(time.Second, time.Second)
		model.Observe(time.Second, time.Second)
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			if got := model.RemainingMean(c.age, c.predicted); got < c.min || got > c.max {
				t.Errorf("expected rest: got %v, want %v to %v", got, c.min, c.max)
			}
		})
	}
}
