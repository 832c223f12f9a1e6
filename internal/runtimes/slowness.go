package runtimes

import "math"

const (
	// slownessDecay is the factor by which an endpoint's older tasks lose weight with each
	// new one: twenty tasks tell a quarter of the speed from a few long tasks, and an endpoint
	// that has recovered is found to be so.
	slownessDecay = 1 - 1.0/20
	// minSlownessTasks is the number of tasks from which an endpoint is compared.
	minSlownessTasks = 5
	// slownessErrors is by how many standard errors an endpoint must be slower than its peers.
	slownessErrors = 3
	// minSlowness is the least factor that counts as slower: it is worth a restart.
	minSlowness = 1.5
	// maxDeviation bounds what a single task says about its endpoint, as a factor of four:
	// else two long tasks of five would make a sound endpoint look slow.
	maxDeviation = 2 * math.Ln2
)

// peers is the mean and the variance of the deviations of a queue's tasks, as decayed sums.
type peers struct {
	weight, sum, sumSquared float64
}

// newPeers returns the prior: that of the distribution of ratios.
func newPeers() peers {
	return peers{weight: priorRatioWeight, sumSquared: priorRatioWeight * estimateVariance}
}

// observe adds the logarithm of a ratio, and returns by how much it deviates.
func (p *peers) observe(logRatio float64) Deviation {
	mean := p.sum / p.weight
	limited := mean + min(maxDeviation, max(-maxDeviation, logRatio-mean))
	deviation := Deviation{log: limited - mean, variance: max(0, p.sumSquared/p.weight-mean*mean)}
	p.weight = p.weight*decay + 1
	p.sum = p.sum*decay + limited
	p.sumSquared = p.sumSquared*decay + limited*limited
	return deviation
}

// Deviation is by how much a task took longer than its queue's tasks usually do for their
// predictions, as a logarithm, and the variance of that among the queue's tasks.
type Deviation struct {
	log, variance float64
}

// Slowness compares an endpoint's tasks with those of its peers, whatever their queues. The
// zero value has observed none.
type Slowness struct {
	tasks int
	// Decayed sums of the weights, of the deviations, and of their variances by the squares
	// of the weights.
	weight, sum, variance float64
	// factor is what Factor returns, or 0 before the first task: placement asks for it more
	// often than tasks end.
	factor float64
}

// Observe adds a task that the endpoint has executed as a whole.
func (s *Slowness) Observe(d Deviation) {
	s.tasks++
	s.weight = s.weight*slownessDecay + 1
	s.sum = s.sum*slownessDecay + d.log
	s.variance = s.variance*slownessDecay*slownessDecay + d.variance
	s.factor = s.leastFactor()
}

// Mean returns the factor by which the endpoint's tasks have taken longer than its peers',
// or 1 if it has executed too few.
func (s *Slowness) Mean() float64 {
	if s.tasks < minSlownessTasks {
		return 1
	}
	return math.Exp(s.sum / s.weight)
}

// Factor returns the factor by which the endpoint is at least slower than its peers, or 1 if
// that may be chance.
func (s *Slowness) Factor() float64 {
	return max(1, s.factor)
}

// leastFactor computes Factor.
func (s *Slowness) leastFactor() float64 {
	if s.tasks < minSlownessTasks {
		return 1
	}
	factor := math.Exp((s.sum - slownessErrors*math.Sqrt(s.variance)) / s.weight)
	if factor < minSlowness {
		return 1
	}
	return factor
}
