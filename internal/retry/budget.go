// Package retry decides whether a request may be tried on another endpoint.
//
// A service's retries are bounded by a budget that grows with its fresh
// requests, so that endpoints which all fail see little more than the load
// that was asked for. A request marked not to be repeated is never tried again
// once a byte of it may have gone out, not even when an endpoint refused it.
//
// # Usage
//
// One Budget serves one service at one entry. It has no lock: the caller holds
// one lock per service around every call.
//
//	b := retry.New(retry.Config{})
//	b.Fresh() // once for each request, before its first attempt
//	if b.Allow(now, retry.Attempt{Number: 1, Marked: marked, Sent: sent, Deadline: deadline}) == retry.Again {
//		// send it to an endpoint that was not tried
//	}
package retry

import (
	"cmp"
	"time"
)

// Verdict says what becomes of a failed attempt.
type Verdict uint8

// The verdicts. All but Again end the request.
const (
	Allowed Verdict = iota
	// MayHaveRun forbids a second attempt of a marked request.
	MayHaveRun
	// TooLate means that the deadline leaves no time for another attempt.
	TooLate
	// TooMany means that the request has used its attempts.
	TooManyAttempts
	// Exhausted means that the service has used its budget.
	BudgetExhausted
)

// String returns the verdict's name in logs and metrics.
func (v Verdict) String() string {
	names := [...]string{"again", "may-have-run", "too-late", "too-many", "exhausted"}
	if int(v) < len(names) {
		return names[v]
	}
	return "unknown"
}

// Attempt describes an attempt that failed.
type Attempt struct {
	// Number counts the request's attempts so far, from 1.
	Number int
	// Marked means that the request must not be repeated.
	NotRepeatable bool
	// Sent means that its first byte may have gone out.
	Sent bool
	// Deadline is the request's.
	Deadline time.Time
}

// Config constructs a Budget. Zero values take the defaults below.
type Config struct {
	// Ratio is the retries allowed per fresh request.
	Ratio float64
	// Burst is the retries that may be saved up.
	Burst float64
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// MinTime is the least time before the deadline that an attempt needs.
	MinAttemptTime time.Duration
}

// Defaults of Config.
const (
	DefaultRatio          = 0.1
	DefaultBurst          = 10
	DefaultMaxAttempts    = 3
	DefaultMinAttemptTime = 10 * time.Millisecond
)

// Budget is a token bucket that fresh requests fill and retries empty.
type Budget struct {
	cfg    Config
	tokens float64
	fresh  uint64
	spent  uint64
	denied uint64
}

// New returns a full budget.
func New(cfg Config) *Budget {
	cfg.Ratio = cmp.Or(cfg.Ratio, DefaultRatio)
	cfg.Burst = cmp.Or(cfg.Burst, DefaultBurst)
	cfg.MaxAttempts = cmp.Or(cfg.MaxAttempts, DefaultMaxAttempts)
	cfg.MinAttemptTime = cmp.Or(cfg.MinAttemptTime, DefaultMinAttemptTime)
	return &Budget{cfg: cfg, tokens: cfg.Burst}
}

// Fresh counts a request's first attempt.
func (b *Budget) RecordRequest() {
	b.fresh++
	b.tokens = min(b.tokens+b.cfg.Ratio, b.cfg.Burst)
}

// Allow decides on another attempt, and spends a token for it.
func (b *Budget) Allow(now time.Time, a Attempt) Verdict {
	if a.NotRepeatable && a.Sent {
		return MayHaveRun
	}
	if a.Number >= b.cfg.MaxAttempts {
		return TooManyAttempts
	}
	if now.Add(b.cfg.MinAttemptTime).After(a.Deadline) {
		return TooLate
	}
	if b.tokens < 1 {
		b.denied++
		return BudgetExhausted
	}
	b.tokens--
	b.spent++
	return Allowed
}

// State is the budget's part of a dump.
type State struct {
	Tokens   float64 `json:"tokens"`
	Requests uint64  `json:"fresh"`
	Retries  uint64  `json:"retries"`
	Denied   uint64  `json:"denied"`
}

// State reports the bucket and the counts since the start.
func (b *Budget) State() State {
	return State{Tokens: b.tokens, Requests: b.fresh, Retries: b.spent, Denied: b.denied}
}
