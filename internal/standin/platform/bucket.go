package platform

import "time"

// bucket is a token bucket with a capacity of one second's tokens.
type bucket struct {
	rate   float64
	tokens float64
	last   time.Time
}

// newBucket returns a full bucket that is refilled with rate tokens per second.
func newBucket(rate int) *bucket {
	return &bucket{rate: float64(rate), tokens: float64(rate)}
}

// take removes n tokens. It reports false and removes none if there are fewer.
func (b *bucket) take(now time.Time, n int) bool {
	if !b.last.IsZero() && now.After(b.last) {
		b.tokens = min(b.rate, b.tokens+now.Sub(b.last).Seconds()*b.rate)
	}
	b.last = now
	if b.tokens < float64(n) {
		return false
	}
	b.tokens -= float64(n)
	return true
}
