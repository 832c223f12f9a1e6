package share

import (
	"math"
	"time"
)

// flow is the state of one team's work in one class at this entry. Its credit is
// a deficit counter that grows with the quota and falls with the requests in
// flight, so that fractions of a slot are served over time and a run is charged
// its actual duration.
type flow struct {
	Flow
	queue         nodeList
	inFlight      int
	submitting    int // 1 while a ticket is being submitted and not yet queued
	quota         float64
	smoothedQuota float64
	hadDemand     bool    // the flow had demand at the last division
	credit        float64 // slot-seconds
	accruedAt     time.Time
	used          float64   // slot-seconds since the last division
	lag           float64   // slot-seconds behind the fair share, decaying
	publishedLag  float64   // the lag in the last Demand, which peers use
	fair          float64   // this entry's fair share in slots, without correction
	duration      float64   // mean run time in seconds
	nextRetry     time.Time // when the next refused request may retry
}

func newFlow(key Flow, expected time.Duration) *flow {
	return &flow{Flow: key, queue: nodeList{head: noNode, tail: noNode}, duration: expected.Seconds()}
}

// accrue updates the credit to now. A flow accumulates no credit without
// contention, or while it has nothing queued.
func (f *flow) accrue(now time.Time, contended bool) {
	elapsed := now.Sub(f.accruedAt).Seconds()
	if f.accruedAt.IsZero() {
		elapsed = 0
	}
	f.accruedAt = now
	f.used += float64(f.inFlight) * elapsed
	if !contended {
		f.credit = 0
		return
	}
	limit := maxCredit.Seconds() * max(1, f.quota)
	f.credit += (f.quota - float64(f.inFlight)) * elapsed
	f.credit = min(max(f.credit, -limit), limit)
	if f.queue.size == 0 {
		f.credit = min(f.credit, 0)
	}
}

// deficit returns the expected credit after one mean run time.
func (f *flow) deficit() float64 {
	return f.credit + (f.quota-float64(f.inFlight))*f.duration
}

// updateLag updates the lag with the time since the last division.
func (f *flow) updateLag(elapsed float64) {
	timeConstant := lagTimeConstant.Seconds()
	f.lag = f.lag*math.Exp(-elapsed/timeConstant) + f.fair*elapsed - f.used
	// Limit the lag after a pause of the process, which makes elapsed large.
	limit := timeConstant * max(1, f.fair)
	f.lag = min(max(f.lag, -limit), limit)
	f.used = 0
}

// setFair sets the fair share that the lag refers to. A flow that is not limited
// has no lag.
func (f *flow) setFair(fair float64, limited bool) {
	f.fair = fair
	if !limited {
		f.lag = 0
	}
}

func (f *flow) observeRunTime(run time.Duration) {
	f.duration += (max(0, run.Seconds()) - f.duration) / durationSamples
}

func (f *flow) setQuota(quota float64, demanded bool, elapsed float64) {
	f.quota = quota
	f.hadDemand = demanded
	f.smoothedQuota += (quota - f.smoothedQuota) * (1 - math.Exp(-elapsed/quotaTimeConstant.Seconds()))
}

// wait estimates how long the ticket at this queue position waits. The estimate
// is not known for a flow that had no demand at the last division.
func (f *flow) wait(position int) (time.Duration, bool) {
	if !f.hadDemand {
		return time.Duration(f.duration * float64(time.Second)), false
	}
	rate := max(f.quota, f.smoothedQuota) / max(f.duration, minDuration.Seconds())
	seconds := float64(position) / rate
	if seconds > maxWait.Seconds() {
		return maxWait, true
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// scheduleRetry returns the time after which a refused request may retry: once
// the queue has drained and after the requests that were refused earlier, so
// that they do not all retry at once.
func (f *flow) scheduleRetry(now time.Time, wait, limit time.Duration) time.Duration {
	at := now.Add(min(max(wait, minRetryAfter), limit))
	if f.nextRetry.After(at) {
		at = f.nextRetry
	}
	next, _ := f.wait(1)
	f.nextRetry = at.Add(next)
	if last := now.Add(limit); f.nextRetry.After(last) {
		f.nextRetry = last
	}
	return at.Sub(now)
}

const (
	lagTimeConstant = 5 * time.Second
	minDuration     = 100 * time.Microsecond
	maxWait         = 24 * time.Hour
)
