package fleet

import "time"

const (
	// maxStartQueue bounds the starts that are decided and not sent, as a time at the rate at which
	// they are sent: a start that waits longer was decided on what is not true any more. A leader with
	// fewer than minUnsentStarts of them is never behind.
	maxStartQueue   = 250 * time.Millisecond
	minUnsentStarts = 500
	// minStartsPerStep may be decided in any case.
	minStartsPerStep = 20
	// sendRateInterval is the shortest time over which the rate is measured, and sendRateWeight the
	// weight of a measurement.
	sendRateInterval = 50 * time.Millisecond
	sendRateWeight   = 0.3
)

// startBudget limits the starts that are decided to those that can be sent soon.
type startBudget struct {
	// unsent counts the starts that are decided and not sent.
	unsent int
	// sent counts those that have been sent since measuredAt, and rate is how many are in a second.
	sent       int
	measuredAt time.Time
	rate       float64
	// left is how many may yet be decided in this step. isBehind is true if too many waited at its
	// begin.
	left     int
	isBehind bool
}

// refill measures the rate and determines how many starts may be decided now.
func (b *startBudget) refill(now time.Time) {
	if elapsed := now.Sub(b.measuredAt); elapsed >= sendRateInterval {
		b.measure(float64(b.sent) / elapsed.Seconds())
		b.sent, b.measuredAt = 0, now
	}
	b.isBehind = b.areTooManyUnsent()
	b.left = max(minStartsPerStep, b.limit()-b.unsent)
}

// areTooManyUnsent reports whether half of the starts that may wait do, and more than a leader that is
// not behind ever has.
func (b *startBudget) areTooManyUnsent() bool {
	return b.unsent >= max(minUnsentStarts, b.limit()/2)
}

// limit returns how many starts may wait to be sent.
func (b *startBudget) limit() int {
	return max(minUnsentStarts, int(b.rate*maxStartQueue.Seconds()))
}

// reserve keeps the parts of other pools from the starts that are left, and returns how many that are.
func (b *startBudget) reserve(others int) int {
	reserved := max(0, b.left) * others / (others + 1)
	b.left -= reserved
	return reserved
}

// measure adds a measured rate. While nothing waits, more could have been sent.
func (b *startBudget) measure(rate float64) {
	if b.unsent > 0 {
		b.rate += sendRateWeight * (rate - b.rate)
		return
	}
	b.rate = max(b.rate, rate)
}

// startDecided counts a start.
func (l *Leader) startDecided(r *run) {
	r.isUnsent = true
	r.endpoint.unsentStarts++
	l.starts.unsent++
	l.starts.left--
}

// startSent counts a run's start as sent, once, or as one that will not be.
func (l *Leader) startSent(r *run) {
	if r.isUnsent {
		r.isUnsent = false
		r.endpoint.unsentStarts--
		l.starts.unsent--
		l.starts.sent++
	}
}

// timeFor returns how long it takes to send more starts after those that wait, or 0 if that is not known:
// the rate is the leader's own only while starts wait.
func (b *startBudget) timeFor(count int) time.Duration {
	if !b.isBehind || b.rate <= 0 {
		return 0
	}
	return time.Duration(float64(b.unsent+count) / b.rate * float64(time.Second))
}

// IsBehind reports whether the leader is behind with sending the starts that it has decided.
func (l *Leader) IsBehind() bool {
	return l.starts.areTooManyUnsent()
}

// UnsentStarts returns how many starts have been decided and not sent.
func (l *Leader) UnsentStarts() int {
	return l.starts.unsent
}
