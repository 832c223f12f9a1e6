package share

import (
	"math"
	"time"
)

// flow is the state of one team's work in one class at this entry. Its deficit
// counter grows by its quota and falls by what runs, so that fractions of a
// slot are served over time and a run is charged what it really takes.
type flow struct {
	Flow
	queue    list
	inFlight int
	newcomer int // the ticket being submitted, not yet queued
	quota    float64
	smoothed float64
	divided  bool    // quota was computed with demand of this flow
	credit   float64 // slot-seconds
	accrued  time.Time
	used     float64   // slot-seconds since the last division
	lag      float64   // slot-seconds behind the part, fading
	sentLag  float64   // as last published, which peers compute with
	fair     float64   // this entry's part in slots without correction
	duration float64   // mean run time in seconds
	promised time.Time // when the next refused request may come back
}

func newFlow(key Flow, expected time.Duration) *flow {
	return &flow{Flow: key, queue: list{head: none, tail: none}, duration: expected.Seconds()}
}

// accrue brings the deficit counter up to now. Without contention, or without
// anything waiting, a flow saves up nothing.
func (f *flow) accrue(now time.Time, contended bool) {
	elapsed := now.Sub(f.accrued).Seconds()
	if f.accrued.IsZero() {
		elapsed = 0
	}
	f.accrued = now
	f.used += float64(f.inFlight) * elapsed
	if !contended {
		f.credit = 0
		return
	}
	limit := creditLimit.Seconds() * max(1, f.quota)
	f.credit += (f.quota - float64(f.inFlight)) * elapsed
	f.credit = min(max(f.credit, -limit), limit)
	if f.queue.size == 0 {
		f.credit = min(f.credit, 0)
	}
}

// deficit is the counter as it will stand after one mean run time.
func (f *flow) deficit() float64 {
	return f.credit + (f.quota-float64(f.inFlight))*f.duration
}

// settleLag counts the time since the last division.
func (f *flow) settleLag(elapsed float64) {
	fade := lagFade.Seconds()
	f.lag = f.lag*math.Exp(-elapsed/fade) + f.fair*elapsed - f.used
	// A process that was paused has not divided for long.
	limit := fade * max(1, f.fair)
	f.lag = min(max(f.lag, -limit), limit)
	f.used = 0
}

// setFair sets the part to which the lag relates; without a limit there is none.
func (f *flow) setFair(fair float64, limited bool) {
	f.fair = fair
	if !limited {
		f.lag = 0
	}
}

func (f *flow) observe(run time.Duration) {
	f.duration += (max(0, run.Seconds()) - f.duration) / durationSmoothing
}

func (f *flow) setQuota(quota float64, demanded bool, elapsed float64) {
	f.quota = quota
	f.divided = demanded
	f.smoothed += (quota - f.smoothed) * (1 - math.Exp(-elapsed/quotaSmoothing.Seconds()))
}

// wait estimates when the ticket at this position starts; it is not known for
// a flow that had no demand at the last division.
func (f *flow) wait(position int) (time.Duration, bool) {
	if !f.divided {
		return time.Duration(f.duration * float64(time.Second)), false
	}
	rate := max(f.quota, f.smoothed) / max(f.duration, minDuration.Seconds())
	seconds := float64(position) / rate
	if seconds > maxWait.Seconds() {
		return maxWait, true
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// promise returns when a refused request may come back: after the queue has
// drained, and after the requests that were refused before it, so that they do
// not all return at once.
func (f *flow) promise(now time.Time, wait, limit time.Duration) time.Duration {
	at := now.Add(min(max(wait, minRetryAfter), limit))
	if f.promised.After(at) {
		at = f.promised
	}
	next, _ := f.wait(1)
	f.promised = at.Add(next)
	if last := now.Add(limit); f.promised.After(last) {
		f.promised = last
	}
	return at.Sub(now)
}

const (
	lagFade     = 5 * time.Second
	minDuration = 100 * time.Microsecond
	maxWait     = 24 * time.Hour
)
