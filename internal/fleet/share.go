package fleet

import (
	"time"
)

// shareBurst is the time for which a client account can accumulate unused share,
// since callers submit in bursts.
const shareBurst = 1500 * time.Millisecond

// tokenBucket limits the rate of a client account's submissions.
type tokenBucket struct {
	// tokens is the number of jobs that are still within the share.
	tokens     float64
	refilledAt time.Time
}

// withinShare takes one job from a client account's share, which is its weight in
// jobs per second, and reports whether the share sufficed. Accounts without a weight
// and callers without an account are unlimited.
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
