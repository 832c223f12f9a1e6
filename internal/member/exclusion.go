package member

import "time"

// passedOverLeast is how long, after an outage for all, a leader sees the store
// serve a peer, but not itself, before it hands over: some processes are served
// a moment before others.
const minExclusionTime = time.Second

// passedOver notes since when the store has served a peer but not this process.
type storeExclusion struct {
	since time.Time
	// wasAway is true once the store has served no one known.
	wasDown bool
}

// note takes whether the store serves this process and whether it serves a peer.
// It reports whether the store turns away this process alone.
func (p *storeExclusion) observe(isServed, isPeerServed bool, now time.Time) bool {
	switch {
	case isServed:
		*p = storeExclusion{}
		return false
	case !isPeerServed:
		*p = storeExclusion{wasDown: true}
		return false
	case !p.wasDown:
		return true
	case p.since.IsZero():
		p.since = now
	}
	return now.Sub(p.since) >= minExclusionTime
}
