package member

import "time"

// minExclusionTime is how long, after an outage that affected all processes, the
// store must answer a peer but not the leader before the leader hands over: some
// processes reach the store again a moment before others.
const minExclusionTime = time.Second

// storeExclusion detects that the store answers a peer but not this process.
type storeExclusion struct {
	since time.Time
	// wasDown is true after an observation in which the store answered neither
	// this process nor a peer.
	wasDown bool
}

// observe records whether the store answers this process and whether it answers
// a peer. It reports whether the store is unreachable for this process alone.
func (p *storeExclusion) observe(isReachable, isPeerReachable bool, now time.Time) bool {
	switch {
	case isReachable:
		*p = storeExclusion{}
		return false
	case !isPeerReachable:
		*p = storeExclusion{wasDown: true}
		return false
	case !p.wasDown:
		return true
	case p.since.IsZero():
		p.since = now
	}
	return now.Sub(p.since) >= minExclusionTime
}
