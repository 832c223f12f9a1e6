// Package retry decides whether a request may be tried on another endpoint.
//
// A service's retries are limited by a budget that grows with its new requests,
// so that retries add little load when all endpoints fail. A request that must
// not be repeated is never retried once a byte of it may have been sent, not even
// if an endpoint refused it.
//
// # Usage
//
// One Budget serves one service at one entry. It has no lock: the caller holds
// one lock per service around every call.
//
//	b := retry.New(retry.Config{})
//	b.RecordRequest() // once for each request, before its first attempt
//	attempt := retry.Attempt{Number: 1, NotRepeatable: !repeatable, Sent: sent, Deadline: deadline}
//	if b.Allow(now, attempt) == retry.Allowed {
//		// send the request to an endpoint that was not tried
//	}
package retry

import (
	"cmp"
	"time"
)

// Verdict decides whether a failed attempt may be retried.
type Verdict uint8

// Verdicts on a retry. All but Allowed end the request.
const (
	Allowed Verdict = iota
	// MayHaveRun means that the request must not be repeated and may have run.
	MayHaveRun
	// TooLate means that the deadline leaves no time for another attempt.
	TooLate
	// TooManyAttempts means that the request has used all of its attempts.
	TooManyAttempts
	// BudgetExhausted means that the service has used up its retry budget.
	BudgetExhausted
)

// String returns the name of the verdict in logs and metrics.
func (v Verdict) String() string {
	names := [...]string{"again", "may-have-run", "too-late", "too-many", "exhausted"}
	if int(v) < len(names) {
		return names[v]
	}
	return "unknown"
}

// Attempt describes a failed attempt.
type Attempt struct {
	// Number counts the attempts of the request, starting at 1.
	Number int
	// NotRepeatable means that the request must not be sent twice.
	NotRepeatable bool
	// Sent means that the first byte of the request may have been sent.
	Sent bool
	// Deadline is the deadline of the request.
	Deadline time.Time
}

// Config configures a Budget. Zero values take the defaults below.
type Config struct {
	// Ratio is the number of retries allowed per new request.
	Ratio float64
	// Burst is the maximum number of retries that can accumulate.
	Burst float64
	// MaxAttempts is the maximum number of attempts of a request.
	MaxAttempts int
	// MinAttemptTime is the minimum time before the deadline for an attempt.
	MinAttemptTime time.Duration
}

// Defaults of Config.
const (
	DefaultRatio          = 0.1
	DefaultBurst          = 10
	DefaultMaxAttempts    = 3
	DefaultMinAttemptTime = 10 * time.Millisecond
)

// Budget is a token bucket that new requests fill and retries drain.
type Budget struct {
	cfg      Config
	tokens   float64
	requests uint64
	retries  uint64
	denied   uint64
}

// New returns a full budget.
func New(cfg Config) *Budget {
	cfg.Ratio = cmp.Or(cfg.Ratio, DefaultRatio)
	cfg.Burst = cmp.Or(cfg.Burst, DefaultBurst)
	cfg.MaxAttempts = cmp.Or(cfg.MaxAttempts, DefaultMaxAttempts)
	cfg.MinAttemptTime = cmp.Or(cfg.MinAttemptTime, DefaultMinAttemptTime)
	return &Budget{cfg: cfg, tokens: cfg.Burst}
}

// RecordRequest counts a new request, before its first attempt.
func (b *Budget) RecordRequest() {
	b.requests++
	b.tokens = min(b.tokens+b.cfg.Ratio, b.cfg.Burst)
}

// Allow decides whether a failed attempt may be retried, and takes a token if so.
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
	b.retries++
	return Allowed
}

// State is the state of a budget in a dump.
type State struct {
	Tokens   float64 `json:"tokens"`
	Requests uint64  `json:"fresh"`
	Retries  uint64  `json:"retries"`
	Denied   uint64  `json:"denied"`
}

// State returns the tokens and the counts since the start.
func (b *Budget) State() State {
	return State{Tokens: b.tokens, Requests: b.requests, Retries: b.retries, Denied: b.denied}
}
