package runtimes

import (
	"math"
	"time"
)

const (
	// decay is the factor by which older observations lose weight with each new one.
	decay = 1 - 1.0/500
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

// Config holds the arguments of New.
type Config struct{}

// Model predicts how long a queue's tasks take from their callers' estimates, and how far
// they deviate from that. It fits a line to the logarithms of observed durations over those
// of the estimates, so that estimates count only as far as they have distinguished long
// tasks from short ones. It is not safe for concurrent use.
type Model struct {
	// Decayed sums of the weights, of the logarithms of estimates and durations, and of
	// their products.
	weight, estimate, took, estimateSquared, estimateTook, tookSquared float64
	ratios                                                             *ratios
	peers                                                              peers
}

// New returns a model without observations.
func New(Config) *Model {
	return &Model{ratios: newRatios(), peers: newPeers()}
}

// Observe adds a task's estimate and its actual duration.
func (m *Model) Observe(estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	x, y := math.Log(estimate.Seconds()), math.Log(took.Seconds())
	add := func(sum *float64, value float64) { *sum = *sum*decay + value }
	add(&m.weight, 1)
	add(&m.estimate, x)
	add(&m.took, y)
	add(&m.estimateSquared, x*x)
	add(&m.estimateTook, x*y)
	add(&m.tookSquared, y*y)
}

// ObserveRatio adds the ratio of the duration of a run that executed its whole task to its
// prediction, and returns by how much it deviates from others. It is called before Observe,
// so that the prediction does not know the task.
func (m *Model) ObserveRatio(estimate, took time.Duration) Deviation {
	logRatio := math.Log(max(took, time.Millisecond).Seconds() / m.Median(estimate).Seconds())
	m.ratios.observe(logRatio)
	return m.peers.observe(logRatio)
}

// fitLine returns the fitted line: the mean estimate, the mean duration and the slope.
func (m *Model) fitLine() (estimate, took, slope float64) {
	if m.weight == 0 {
		return 0, 0, 1
	}
	estimate, took = m.estimate/m.weight, m.took/m.weight
	variance := m.estimateSquared/m.weight - estimate*estimate
	covariance := m.estimateTook/m.weight - estimate*took
	prior := slopeWeight * estimateVariance
	slope = (m.weight*covariance + prior) / (m.weight*variance + prior)
	// Until there are observations, the mean duration is the mean estimate.
	took = (m.weight*took + estimateWeight*estimate) / (m.weight + estimateWeight)
	return estimate, took, min(1, max(0, slope))
}

// Median predicts a task's median duration.
func (m *Model) Median(estimate time.Duration) time.Duration {
	if estimate <= 0 {
		estimate = defaultEstimate
	}
	meanEstimate, meanTook, slope := m.fitLine()
	seconds := math.Exp(meanTook + slope*(math.Log(estimate.Seconds())-meanEstimate))
	return min(maxDuration, max(minDuration, time.Duration(seconds*float64(time.Second))))
}

// Mean predicts a task's mean duration, which exceeds the median since durations
// are skewem.
func (m *Model) Mean(estimate time.Duration) time.Duration {
	if m.weight == 0 {
		return m.Median(estimate)
	}
	meanEstimate, meanTook := m.estimate/m.weight, m.took/m.weight
	_, _, slope := m.fitLine()
	variance := m.estimateSquared/m.weight - meanEstimate*meanEstimate
	covariance := m.estimateTook/m.weight - meanEstimate*meanTook
	residual := m.tookSquared/m.weight - meanTook*meanTook - 2*slope*covariance + slope*slope*variance
	return min(maxDuration, scale(m.Median(estimate), math.Exp(max(0, residual)/2)))
}
