package fleet

import (
	"math"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

const (
	// durationDecay is the weight that an older duration keeps with each new one.
	durationDecay = 1 - 1.0/500
	// estimateWeight is how many durations a caller's guess counts for on average,
	// and slopeWeight how many for how far guesses tell long tasks from short.
	estimateWeight, slopeWeight = 4, 24
	// estimateVariance is the variance of guesses' logarithms that is assumed at first.
	estimateVariance = 0.25
	// minDuration and durationMost bound what is made of a guess.
	minDuration, maxDuration = 50 * time.Millisecond, 5 * time.Minute
	// defaultEstimate stands in for a missing guess.
	defaultEstimate = 500 * time.Millisecond
)

// durations learns how long a queue's tasks take from what their callers guess.
// A queue's guesses may be good, or say nothing about the single task: the
// durations' logarithms are fitted by a line over those of the guesses, so that
// guesses count as far as they have told long tasks from short ones.
type durations struct {
	// sums of the weights, the logarithms of guesses and of durations, and products.
	weight, estimate, took, estimateSquared, estimateTook, tookSquared float64
}

// durationsOf returns what a queue's tasks have shown.
func (l *Leader) durationsOf(queue string) *durations {
	model, ok := l.durations[queue]
	if !ok {
		model = &durations{}
		l.durations[queue] = model
	}
	return model
}

// observe takes a task's guess and how long it took.
func (d *durations) observe(estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	x, y := math.Log(estimate.Seconds()), math.Log(took.Seconds())
	add := func(sum *float64, value float64) { *sum = *sum*durationDecay + value }
	add(&d.weight, 1)
	add(&d.estimate, x)
	add(&d.took, y)
	add(&d.estimateSquared, x*x)
	add(&d.estimateTook, x*y)
	add(&d.tookSquared, y*y)
}

// fitLine returns the fitted line: the mean guess, the mean duration, and the slope.
func (d *durations) fitLine() (estimate, took, slope float64) {
	if d.weight == 0 {
		return 0, 0, 1
	}
	estimate, took = d.estimate/d.weight, d.took/d.weight
	variance := d.estimateSquared/d.weight - estimate*estimate
	covariance := d.estimateTook/d.weight - estimate*took
	prior := slopeWeight * estimateVariance
	slope = (d.weight*covariance + prior) / (d.weight*variance + prior)
	// The guesses are believed on average until there are durations.
	took = (d.weight*took + estimateWeight*estimate) / (d.weight + estimateWeight)
	return estimate, took, min(1, max(0, slope))
}

// median estimates a task's median duration.
func (d *durations) median(estimate time.Duration) time.Duration {
	if estimate <= 0 {
		estimate = defaultEstimate
	}
	meanEstimate, meanTook, slope := d.fitLine()
	seconds := math.Exp(meanTook + slope*(math.Log(estimate.Seconds())-meanEstimate))
	return min(maxDuration, max(minDuration, time.Duration(seconds*float64(time.Second))))
}

// mean estimates a task's mean duration, which long ones raise above the median.
func (d *durations) mean(estimate time.Duration) time.Duration {
	if d.weight == 0 {
		return d.median(estimate)
	}
	meanEstimate, meanTook := d.estimate/d.weight, d.took/d.weight
	_, _, slope := d.fitLine()
	variance := d.estimateSquared/d.weight - meanEstimate*meanEstimate
	covariance := d.estimateTook/d.weight - meanEstimate*meanTook
	residual := d.tookSquared/d.weight - meanTook*meanTook - 2*slope*covariance + slope*slope*variance
	return time.Duration(float64(d.median(estimate)) * math.Exp(max(0, residual)/2))
}

// durationOf estimates how long a task of a step takes.
func (l *Leader) durationOf(j *jobState, step job.Step) time.Duration {
	return l.durationsOf(j.submission.Queue).median(step.Estimate)
}
