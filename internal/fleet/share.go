package fleet

import (
	"time"
)

// shareBurst is how long a client account may save up its share: callers do not
// come evenly.
const shareBurst = 1500 * time.Millisecond

// shareState is what a client account may still hand in within its share.
type shareState struct {
	// left is in jobs.
	left float64
	at   time.Time
}

// withinShare takes a job from its client account's share, which is its weight
// in jobs a second, and reports whether there was enough. Accounts without a
// weight, and callers without one, have no bound.
func (l *Leader) withinShare(account string, now time.Time) bool {
	weight := l.policy.Accounts[account].Weight
	if account == "" || weight <= 0 {
		return true
	}
	most := max(1, weight*shareBurst.Seconds())
	share := l.shares[account]
	if share == nil {
		share = &shareState{left: most, at: now}
		l.shares[account] = share
	}
	share.left = min(most, share.left+weight*now.Sub(share.at).Seconds())
	share.at = now
	if share.left < 1 {
		return false
	}
	share.left--
	return true
}
