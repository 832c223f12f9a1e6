package fleet

import (
	"math"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

const (
	// durationDecay is the factor by which older observations lose weight with each new one.
	durationDecay = 1 - 1.0/500
	// estimateWeight is the weight, in observations, of the prior that estimates are
	// right on average, and slopeWeight that of the prior that durations are
	// proportional to them.
	estimateWeight, slopeWeight = 4, 24
	// estimateVariance is the prior variance of the logarithms of estimates.
	estimateVariance = 0.25
	// minDuration and maxDuration bound the predicted durations.
	minDuration, maxDuration = 50 * time.Millisecond, 5 * time.Minute
	// defaultEstimate replaces a missing estimate.
	defaultEstimate = 500 * time.Millisecond
)

// durations predicts how long a queue's tasks take from their callers' estimates. It
// fits a line to the logarithms of observed durations over those of the estimates, so
// that estimates count only as far as they have distinguished long tasks from short ones.
type durations struct {
	// Decayed sums of the weights, of the logarithms of estimates and durations, and of
	// their products.
	weight, estimate, took, estimateSquared, estimateTook, tookSquared float64
}

// durationsOf returns the duration model of a queue.
func (l *Leader) durationsOf(queue string) *durations {
	model, ok := l.durations[queue]
	if !ok {
		model = &durations{}
		l.durations[queue] = model
	}
	return model
}

// observe adds a task's estimate and its actual duration.
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

// fitLine returns the fitted line: the mean estimate, the mean duration and the slope.
func (d *durations) fitLine() (estimate, took, slope float64) {
	if d.weight == 0 {
		return 0, 0, 1
	}
	estimate, took = d.estimate/d.weight, d.took/d.weight
	variance := d.estimateSquared/d.weight - estimate*estimate
	covariance := d.estimateTook/d.weight - estimate*took
	prior := slopeWeight * estimateVariance
	slope = (d.weight*covariance + prior) / (d.weight*variance + prior)
	// Until there are observations, the mean duration is the mean estimate.
	took = (d.weight*took + estimateWeight*estimate) / (d.weight + estimateWeight)
	return estimate, took, min(1, max(0, slope))
}

// median predicts a task's median duration.
func (d *durations) median(estimate time.Duration) time.Duration {
	if estimate <= 0 {
		estimate = defaultEstimate
	}
	meanEstimate, meanTook, slope := d.fitLine()
	seconds := math.Exp(meanTook + slope*(math.Log(estimate.Seconds())-meanEstimate))
	return min(maxDuration, max(minDuration, time.Duration(seconds*float64(time.Second))))
}

// mean predicts a task's mean duration, which exceeds the median since durations
// are skewed.
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

// durationOf predicts the duration of a step's task.
func (l *Leader) durationOf(j *jobState, step job.Step) time.Duration {
	return l.durationsOf(j.submission.Queue).median(step.Estimate)
}
