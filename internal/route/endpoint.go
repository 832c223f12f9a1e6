package route

import (
	"math"
	"time"
)

const (
	firstRamp         = 1 // requests in flight allowed to a returning endpoint
	smoothing         = 8 // samples
	slowFactor        = 2 // times the median run time that counts as slow
	maxSlowness       = 10
	slownessHalfLife  = 5 * time.Second
	maxEjectionsShift = 16
)

// endpoint is what this entry knows of an endpoint.
type endpoint struct {
	Endpoint
	gone     bool
	inFlight int
	peers    int // in flight from other entries

	runTime      float64 // mean of successes in seconds
	sampled      time.Time
	failures     float64 // mean fraction that failed
	consecutive  int
	failing      bool
	ejections    int
	ejectedUntil time.Time
	ramp         int // requests in flight allowed while returning, 0 is all
	refusedUntil time.Time
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

func (e *endpoint) succeed(now time.Time, took time.Duration) {
	seconds := max(0, took.Seconds())
	if e.runTime == 0 {
		e.runTime = seconds
	}
	e.runTime += (seconds - e.runTime) / smoothing
	e.sampled = now
	e.failures -= e.failures / smoothing
	e.consecutive = 0
	e.failing = false
	if e.ramp == 0 {
		return
	}
	if e.ramp *= 2; e.ramp > e.Slots {
		e.ramp = 0
		e.ejections = 0
	}
}

// fail reports whether the endpoint should be ejected. One failure is enough
// while it returns from an ejection.
func (e *endpoint) fail(limit int) bool {
	e.failures += (1 - e.failures) / smoothing
	e.consecutive++
	if e.consecutive >= limit || (e.ejections > 0 && e.ramp > 0) {
		e.failing = true
	}
	return e.failing
}

func (e *endpoint) eject(now time.Time, base, limit time.Duration) {
	if e.ejected(now) {
		return
	}
	length := base << min(e.ejections, maxEjectionsShift)
	e.ejectedUntil = now.Add(min(length, limit))
	e.ejections++
	e.ramp = firstRamp
}

// slowness is the run time as a multiple of the service's median, 1 for the
// ordinary. It fades without samples, so that a slow endpoint is tried again.
func (e *endpoint) slowness(now time.Time, median float64) float64 {
	if median <= 0 || e.runTime <= slowFactor*median {
		return 1
	}
	excess := min(e.runTime/median, maxSlowness) - 1
	halves := now.Sub(e.sampled).Seconds() / slownessHalfLife.Seconds()
	return 1 + excess*math.Exp2(-halves)
}
