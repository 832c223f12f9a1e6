package fleet

import (
	"math"
	"time"
)

const (
	// recentTimeWeight is the weight of a measurement, and recentTimeHalfLife the time without one in
	// which a mean halves: what was slow may not be so any more.
	recentTimeWeight   = 0.2
	recentTimeHalfLife = time.Second
)

// recentTime is the mean of how long something took lately. The zero value has no measurements.
type recentTime struct {
	mean       time.Duration
	observedAt time.Time
}

// observe adds a measurement.
func (r *recentTime) observe(took time.Duration, now time.Time) {
	if r.observedAt.IsZero() {
		r.mean = took
	}
	r.mean += time.Duration(recentTimeWeight * float64(took-r.mean))
	r.observedAt = now
}

// at returns the mean at a time, or 0 without measurements.
func (r *recentTime) at(now time.Time) time.Duration {
	if r.observedAt.IsZero() {
		return 0
	}
	halvings := now.Sub(r.observedAt).Seconds() / recentTimeHalfLife.Seconds()
	return time.Duration(float64(r.mean) * math.Exp2(-max(0, halvings)))
}

// noteStartTime notes how long an endpoint took to accept a start.
func (l *Leader) noteStartTime(r *run, now time.Time) {
	if !r.answeredAt.IsZero() || r.wasUnconfirmed {
		return
	}
	took := now.Sub(r.sentAt)
	l.startTime.observe(took, now)
	r.endpoint.startTime.observe(took, now)
}
