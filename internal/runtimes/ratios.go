package runtimes

import (
	"math"
	"time"
)

const (
	// minLogRatio and maxLogRatio bound the logarithms of the ratios that are distinguished,
	// 1:150 to 1,100:1: tasks of seven times the usual time whose estimate is off by three
	// standard deviations of 0.9 reach 100:1.
	minLogRatio, maxLogRatio = -5, 7
	// ratioBinWidth is the width of a bin in the logarithm, about 10%.
	ratioBinWidth = 0.1
	ratioBins     = int((maxLogRatio - minLogRatio) / ratioBinWidth)
	// priorRatioWeight is the weight, in observations, of the prior distribution, whose
	// logarithms have a two-sided exponential distribution of priorRatioScale: its variance is
	// estimateVariance, and a run that has lasted long is expected to last long.
	priorRatioWeight = 4
	priorRatioScale  = 0.35
)

// ratios is the distribution of the ratios of tasks' durations to their predictions: decayed
// counts in bins of equal width in the logarithm.
type ratios [ratioBins]float64

// binRatios holds the smallest ratio of each bin, and the largest one of the last.
var binRatios = func() (edges [ratioBins + 1]float64) {
	for bin := range edges {
		edges[bin] = math.Exp(binEdge(bin))
	}
	return edges
}()

// newRatios returns the prior distribution.
func newRatios() *ratios {
	var r ratios
	for bin := range r {
		middle := binEdge(bin) + ratioBinWidth/2
		r[bin] = priorRatioWeight * math.Exp(-math.Abs(middle)/priorRatioScale) * ratioBinWidth / (2 * priorRatioScale)
	}
	return &r
}

// binEdge returns the logarithm of the smallest ratio of a bin.
func binEdge(bin int) float64 {
	return minLogRatio + float64(bin)*ratioBinWidth
}

// observe adds the logarithm of a ratio.
func (r *ratios) observe(logRatio float64) {
	for bin := range r {
		r[bin] *= decay
	}
	r[min(ratioBins-1, max(0, int((logRatio-minLogRatio)/ratioBinWidth)))]++
}

// quantile returns the ratio that a fraction p of the tasks does not exceed.
func (r *ratios) quantile(p float64) float64 {
	total := 0.0
	for _, count := range r {
		total += count
	}
	rest := min(1, max(0, p)) * total
	for bin, count := range r {
		if rest <= count && count > 0 {
			return math.Exp(binEdge(bin) + ratioBinWidth*rest/count)
		}
		rest -= count
	}
	return math.Exp(maxLogRatio)
}

// remainingMean returns the mean of what is left of the ratios that exceed ratio. Beyond all
// known ones, what has lasted for some time is expected to last as long again.
func (r *ratios) remainingMean(ratio float64) float64 {
	weight, sum := 0.0, 0.0
	for bin, count := range r {
		low, high := binRatios[bin], binRatios[bin+1]
		if high <= ratio {
			continue
		}
		// Within a bin, the logarithm is taken for evenly distributed.
		width := ratioBinWidth
		if low < ratio {
			low = ratio
			width = math.Log(high / low)
		}
		part := count * width / ratioBinWidth
		weight += part
		sum += part * (high - low) / width
	}
	if weight <= 0 {
		return ratio
	}
	return max(0, sum/weight-ratio)
}

// Quantile returns the ratio of duration to prediction that a fraction p of the tasks does
// not exceed.
func (m *Model) Quantile(p float64) float64 {
	return m.ratios.quantile(p)
}

// RemainingMean returns the expected rest of a run of predicted duration that has run for
// age. At age 0, that is the expected whole of a run.
func (m *Model) RemainingMean(age, predicted time.Duration) time.Duration {
	if predicted <= 0 {
		return 0
	}
	return scale(predicted, m.ratios.remainingMean(max(0, age.Seconds())/predicted.Seconds()))
}

// scale multiplies a duration, up to the longest one.
func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(min(float64(d)*factor, math.MaxInt64/2))
}
