package fleet

import (
	"time"
)

// shareBurst is how long a client account may save up its share: callers do not
// come evenly.
const shareBurst = 1500 * time.Millisecond

// tokenBucket is what a client account may still hand in within its share.
type tokenBucket struct {
	// tokens is in jobs.
	tokens     float64
	refilledAt time.Time
}

// withinShare takes a job from its client account's share, which is its weight
// in jobs a second, and reports whether there was enough. Accounts without a
// weight, and callers without one, have no bound.
func (l *Leader) withinShare(account string, now time.Time) bool {
	weight := l.policy.Accounts[account].Weight
	if account == "" || weight <= 0 {
		return true
	}
	burst := max(1, weight*shareBurst.Seconds())
	bucket := l.shareBuckets[account]
	if bucket == nil {
		bucket = &tokenBucket{tokens: burst, refilledAt: now}
		l.shareBuckets[account] = bucket
	}
	bucket.tokens = min(burst, bucket.tokens+weight*now.Sub(bucket.refilledAt).Seconds())
	bucket.refilledAt = now
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}
