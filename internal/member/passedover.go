package member

import "time"

// passedOverLeast is how long, after an outage for all, a leader sees the store
// serve a peer, but not itself, before it hands over: some processes are served
// a moment before others.
const passedOverLeast = time.Second

// passedOver notes since when the store has served a peer but not this process.
type passedOver struct {
	since time.Time
	// wasAway is true once the store has served no one known.
	wasAway bool
}

// note takes whether the store serves this process and whether it serves a peer.
// It reports whether the store turns away this process alone.
func (p *passedOver) note(isServed, isPeerServed bool, now time.Time) bool {
	switch {
	case isServed:
		*p = passedOver{}
		return false
	case !isPeerServed:
		*p = passedOver{wasAway: true}
		return false
	case !p.wasAway:
		return true
	case p.since.IsZero():
		p.since = now
	}
	return now.Sub(p.since) >= passedOverLeast
}
