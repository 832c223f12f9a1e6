// Package budget divides a process's memory between the requests that its clients send, so
// that clients cannot make the process outgrow its machine.
//
// # Usage
//
//	b := budget.New(budget.Config{Bytes: 32 << 20})
//	share, refusal := b.Take(now, budget.Claim{Bytes: 12 << 10, Deadline: deadline, Evict: abort})
//	if refusal != nil {
//		// answer 503 with Retry-After: refusal.RetryAfter
//	}
//	defer share.Release()
//	share.Progress(now, len(piece)) // as bytes arrive
//	share.Complete()                // all bytes are there
//
// A claim is granted as long as there is room. If there is none, claims whose requests make no
// progress give way, those without any for longest first; if that is not enough, the claim is
// refused. Large claims have only a part of the budget, and the last of it is for the smallest, so
// that small ones always find room.
//
// The package takes the time as an argument and has no goroutines.
package budget

import (
	"container/list"
	"slices"
	"sync"
	"time"
)

const (
	// DefaultStallTime is how long a request may make no progress before it gives way.
	DefaultStallTime = 500 * time.Millisecond
	// DefaultLargeShare is the part of the budget that large claims may have.
	DefaultLargeShare = 0.5
	// DefaultSmallBytes is the largest claim that counts as small.
	DefaultSmallBytes = 48 << 10
	// tinyShare is the part of the budget that is kept for the smallest claims, of at most a
	// tinyDivisor of what counts as small.
	tinyShare   = 0.1
	tinyDivisor = 8
	// ProgressBytes is how much has to arrive to count as progress.
	ProgressBytes = 4 << 10
	// Unbounded is the size of a budget that refuses nothing.
	Unbounded = 1 << 60
	// minRetryAfter is the shortest time after which a refused claim is worth another attempt,
	// and refusalInterval is how long a computed time is used for further refusals.
	minRetryAfter   = time.Second
	refusalInterval = 100 * time.Millisecond
)

// Config configures a Budget. Zero values mean the defaults, except for Bytes.
type Config struct {
	// Bytes is the size of the budget.
	Bytes int64
	// StallTime, LargeShare and SmallBytes are as DefaultStallTime, DefaultLargeShare and
	// DefaultSmallBytes.
	StallTime  time.Duration
	LargeShare float64
	SmallBytes int64
}

// withDefaults returns c with zero values replaced by the defaults.
func (c Config) withDefaults() Config {
	if c.StallTime == 0 {
		c.StallTime = DefaultStallTime
	}
	if c.LargeShare == 0 {
		c.LargeShare = DefaultLargeShare
	}
	if c.SmallBytes == 0 {
		c.SmallBytes = DefaultSmallBytes
	}
	return c
}

// Claim asks for a part of the budget.
type Claim struct {
	Bytes int64
	// Deadline is when the request ends at the latest.
	Deadline time.Time
	// Evict is called once if the claim gives way to another before it is complete. It must
	// make the request end soon, and return at once.
	Evict func()
}

// Refusal says why a claim was not granted.
type Refusal struct {
	// IsTooLarge is set for a claim that is refused however much is free.
	IsTooLarge bool
	// RetryAfter is when enough others have ended, or can give way if they make no progress, in
	// whole seconds.
	RetryAfter time.Duration
}

// Usage is what a budget holds.
type Usage struct {
	// Bytes is the size of the budget; Held is what is in use, and HeldLarge the part of it of
	// large claims.
	Bytes, Held, HeldLarge int64
	// Evicted counts the claims that gave way, and Refused those that were refused.
	Evicted, Refused uint64
}

// Budget is a process's budget. It is safe for concurrent use.
type Budget struct {
	config Config

	mu    sync.Mutex
	usage Usage
	// arriving holds the shares whose requests are not complete, those without progress for
	// longest first.
	arriving list.List
	// shares holds all shares.
	shares map[*Share]struct{}
	// refusedAt is when retryAfter was computed.
	refusedAt  time.Time
	retryAfter time.Duration
}

// New returns a budget of which nothing is in use.
func New(config Config) *Budget {
	config = config.withDefaults()
	return &Budget{config: config, usage: Usage{Bytes: config.Bytes}, shares: map[*Share]struct{}{}}
}

// Resize changes the size of the budget. What is in use is left as it is.
func (b *Budget) Resize(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usage.Bytes = bytes
}

// Usage returns what the budget holds.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage
}

// Take grants a claim, or says why not.
func (b *Budget) Take(now time.Time, claim Claim) (*Share, *Refusal) {
	share := &Share{budget: b, claim: claim, progressed: now}
	b.mu.Lock()
	evicted, refusal := b.makeRoom(now, share, claim.Bytes)
	if refusal == nil {
		share.element = b.arriving.PushBack(share)
		b.shares[share] = struct{}{}
		b.add(share, claim.Bytes)
	}
	b.mu.Unlock()
	evictAll(evicted)
	if refusal != nil {
		return nil, refusal
	}
	return share, nil
}

// evictAll calls the claims' owners, without the lock.
func evictAll(shares []*Share) {
	for _, share := range shares {
		if share.claim.Evict != nil {
			share.claim.Evict()
		}
	}
}

// makeRoom makes room for more bytes of a share. It returns the shares that give way.
func (b *Budget) makeRoom(now time.Time, share *Share, bytes int64) ([]*Share, *Refusal) {
	isLarge := share.bytes+bytes > b.config.SmallBytes
	// A share that becomes large counts as such with all of its bytes.
	largeBytes := bytes
	if !share.isLarge() {
		largeBytes += share.bytes
	}
	if total := share.bytes + bytes; isLarge && total > b.largeLimit() || total > b.usage.Bytes {
		b.usage.Refused++
		return nil, &Refusal{IsTooLarge: true, RetryAfter: minRetryAfter}
	}
	// What large claims hold beyond their part, after the budget has shrunk, is not taken from
	// the small ones.
	excess := max(0, b.usage.HeldLarge-b.largeLimit())
	lacking := b.usage.Held - excess + bytes - b.usage.Bytes
	if share.bytes+bytes > b.config.SmallBytes/tinyDivisor {
		lacking += int64(float64(b.usage.Bytes) * tinyShare)
	}
	lackingLarge := int64(0)
	if isLarge {
		lackingLarge = b.usage.HeldLarge + largeBytes - b.largeLimit()
	}
	if lacking <= 0 && lackingLarge <= 0 {
		return nil, nil
	}
	var victims []*Share
	for element := b.arriving.Front(); element != nil && (lacking > 0 || lackingLarge > 0); element = element.Next() {
		candidate := element.Value.(*Share)
		if now.Sub(candidate.progressed) < b.config.StallTime {
			break
		}
		if candidate == share || lacking <= 0 && !candidate.isLarge() {
			continue
		}
		victims = append(victims, candidate)
		lacking -= candidate.bytes
		if candidate.isLarge() {
			lackingLarge -= candidate.bytes
		}
	}
	if lacking > 0 || lackingLarge > 0 {
		b.usage.Refused++
		return nil, &Refusal{RetryAfter: b.retryTime(now, lacking, lackingLarge)}
	}
	for _, victim := range victims {
		b.usage.Evicted++
		b.remove(victim)
	}
	return victims, nil
}

// retryTime returns how long it takes until enough requests have ended.
func (b *Budget) retryTime(now time.Time, lacking, lackingLarge int64) time.Duration {
	if now.Sub(b.refusedAt) < refusalInterval {
		return b.retryAfter
	}
	shares := make([]*Share, 0, len(b.shares))
	for share := range b.shares {
		shares = append(shares, share)
	}
	slices.SortFunc(shares, func(x, y *Share) int { return x.expectedEnd().Compare(y.expectedEnd()) })
	wait := minRetryAfter
	for _, share := range shares {
		if lacking <= 0 && lackingLarge <= 0 {
			break
		}
		if lacking <= 0 && !share.isLarge() {
			continue
		}
		lacking -= share.bytes
		if share.isLarge() {
			lackingLarge -= share.bytes
		}
		wait = max(wait, share.expectedEnd().Sub(now))
	}
	wait = (wait + time.Second - 1).Truncate(time.Second)
	b.refusedAt, b.retryAfter = now, wait
	return wait
}

func (b *Budget) largeLimit() int64 {
	return int64(float64(b.usage.Bytes) * b.config.LargeShare)
}

// add adds bytes to a share.
func (b *Budget) add(share *Share, bytes int64) {
	if share.isLarge() {
		b.usage.HeldLarge -= share.bytes
	}
	share.bytes += bytes
	b.usage.Held += bytes
	if share.isLarge() {
		b.usage.HeldLarge += share.bytes
	}
}

// remove ends a share, once.
func (b *Budget) remove(share *Share) {
	if _, ok := b.shares[share]; !ok {
		return
	}
	delete(b.shares, share)
	b.complete(share)
	b.add(share, -share.bytes)
	share.isOver = true
}

// complete takes a share out of those that can give way.
func (b *Budget) complete(share *Share) {
	if share.element != nil {
		b.arriving.Remove(share.element)
		share.element = nil
	}
}

// Share is the part of the budget that a request has.
type Share struct {
	budget *Budget
	claim  Claim
	bytes  int64
	// progressed is when ProgressBytes had arrived last, and arrived is what has since.
	progressed time.Time
	arrived    int
	// element is the share's place among those that can give way, nil once it is complete.
	element *list.Element
	isOver  bool
}

// expectedEnd returns when the share is given back, or can give way if its request makes no more
// progress.
func (s *Share) expectedEnd() time.Time {
	stalled := s.progressed.Add(s.budget.config.StallTime)
	if s.element == nil || stalled.After(s.claim.Deadline) {
		return s.claim.Deadline
	}
	return stalled
}

func (s *Share) isLarge() bool { return s.bytes > s.budget.config.SmallBytes }

// Grow adds bytes to the share, or says why not. A share that has given way does not grow.
func (s *Share) Grow(now time.Time, bytes int64) *Refusal {
	b := s.budget
	b.mu.Lock()
	if s.isOver {
		b.mu.Unlock()
		return &Refusal{RetryAfter: minRetryAfter}
	}
	evicted, refusal := b.makeRoom(now, s, bytes)
	if refusal == nil {
		b.add(s, bytes)
	}
	b.mu.Unlock()
	evictAll(evicted)
	return refusal
}

// Shrink gives bytes back.
func (s *Share) Shrink(bytes int64) {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !s.isOver {
		b.add(s, -min(bytes, s.bytes))
	}
}

// Progress records that bytes of the request have arrived. It is called by one goroutine at a
// time.
func (s *Share) Progress(now time.Time, bytes int) {
	s.arrived += bytes
	if s.arrived < ProgressBytes {
		return
	}
	s.arrived = 0
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	s.progressed = now
	if s.element != nil {
		b.arriving.MoveToBack(s.element)
	}
}

// Complete records that the request has arrived: the share gives way no more. It returns
// false if it has before.
func (s *Share) Complete() bool {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.complete(s)
	return !s.isOver
}

// Release gives the share back.
func (s *Share) Release() {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(s)
}
