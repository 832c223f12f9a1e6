package route

import (
	"math"
	"time"
)

const (
	initialRamp          = 1 // requests in flight allowed at a returning endpoint
	smoothingSamples     = 8 // requests in the moving averages of run times and failures
	slowFactor           = 2 // multiple of the median run time above which an endpoint is slow
	maxSlowness          = 10
	slownessHalfLife     = 5 * time.Second
	maxEjectionDoublings = 16
)

// endpoint is this entry's state of an endpoint.
type endpoint struct {
	Endpoint
	gone          bool
	inFlight      int
	peersInFlight int // requests in flight from other entries

	runTime             float64 // mean run time of successes in seconds
	sampledAt           time.Time
	failureRatio        float64 // moving average of the fraction of failures
	consecutiveFailures int
	failing             bool
	ejections           int
	ejectedUntil        time.Time
	ramp                int // requests in flight allowed while returning, 0 for no limit
	refusedUntil        time.Time
}

func (e *endpoint) listed() bool {
	return !e.gone && !e.Leaving
}

func (e *endpoint) relativeLoad() float64 {
	return float64(e.inFlight+1) / float64(max(1, e.Slots))
}

func (e *endpoint) ejected(now time.Time) bool {
	return e.ejectedUntil.After(now)
}

func (e *endpoint) recordSuccess(now time.Time, took time.Duration) {
	seconds := max(0, took.Seconds())
	if e.runTime == 0 {
		e.runTime = seconds
	}
	e.runTime += (seconds - e.runTime) / smoothingSamples
	e.sampledAt = now
	e.failureRatio -= e.failureRatio / smoothingSamples
	e.consecutiveFailures = 0
	e.failing = false
	if e.ramp == 0 {
		return
	}
	if e.ramp *= 2; e.ramp > e.Slots {
		e.ramp = 0
		e.ejections = 0
	}
}

// recordFailure records a failure and reports whether the endpoint should be
// ejected: after limit consecutive failures, or after one failure while it
// returns from an ejection.
func (e *endpoint) recordFailure(limit int) bool {
	e.failureRatio += (1 - e.failureRatio) / smoothingSamples
	e.consecutiveFailures++
	if e.consecutiveFailures >= limit || (e.ejections > 0 && e.ramp > 0) {
		e.failing = true
	}
	return e.failing
}

func (e *endpoint) eject(now time.Time, base, limit time.Duration) {
	if e.ejected(now) {
		return
	}
	length := base << min(e.ejections, maxEjectionDoublings)
	e.ejectedUntil = now.Add(min(length, limit))
	e.ejections++
	e.ramp = initialRamp
}

// slowness returns the run time as a multiple of the service's median, or 1 if
// the endpoint is not slow. It decays without new samples, so that a slow
// endpoint is tried again.
func (e *endpoint) slowness(now time.Time, median float64) float64 {
	if median <= 0 || e.runTime <= slowFactor*median {
		return 1
	}
	excess := min(e.runTime/median, maxSlowness) - 1
	halfLives := now.Sub(e.sampledAt).Seconds() / slownessHalfLife.Seconds()
	return 1 + excess*math.Exp2(-halfLives)
}
