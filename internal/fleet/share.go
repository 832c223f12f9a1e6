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

// burstOf returns how many jobs an account with a weight can accumulate.
func burstOf(weight float64) float64 {
	return max(1, weight*shareBurst.Seconds())
}

// tokensAt returns the tokens at a time, if none is taken until then.
func (b *tokenBucket) tokensAt(weight float64, now time.Time) float64 {
	return min(burstOf(weight), b.tokens+weight*now.Sub(b.refilledAt).Seconds())
}

// withinShare takes one job from a client account's share, which is its weight in
// jobs per second, and reports whether the share sufficed. Accounts without a weight
// and callers without an account are unlimited.
func (l *Leader) withinShare(account string, now time.Time) bool {
	weight := l.policy.Accounts[account].Weight
	if account == "" || weight <= 0 {
		return true
	}
	bucket := l.shareBuckets[account]
	if bucket == nil {
		bucket = &tokenBucket{tokens: burstOf(weight), refilledAt: now}
		l.shareBuckets[account] = bucket
	}
	bucket.tokens = bucket.tokensAt(weight, now)
	bucket.refilledAt = now
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}
