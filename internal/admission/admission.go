package admission

import (
	"hash/fnv"
	"math"
	"slices"
	"time"
)

const (
	// LateFactor times its objective is how long a job is still of some use to its caller.
	LateFactor = 3
	// MaxOutlookAge is the age from which an outlook is disregarded: a change of leader
	// takes up to about 2 s.
	MaxOutlookAge = 3 * time.Second
	// estimateError is the factor by which estimates may be wrong without the refusal of a
	// job that could have been in time.
	estimateError = 1.5
	// rounding is added to what a job can wait, so that the rounding of durations refuses none.
	rounding = time.Millisecond
	// minRetryAfter leaves every process time to learn that the refusal is stored: it reads
	// the store's version every second.
	minRetryAfter = 2 * time.Second
	maxRetryAfter = 30 * time.Second
	// retrySpread is the largest fraction by which Retry-After is lengthened, so that the
	// refused do not return all at once.
	retrySpread = 0.5
	// unavailableRetryAfter is the Retry-After of jobs that no endpoint may run now. When
	// that ends is not known.
	unavailableRetryAfter = 10 * time.Second
)

// Reason is why a job is refused.
type Reason string

// Reasons of refusals.
const (
	// ReasonDeadline is that the caller no longer waits.
	ReasonDeadline Reason = "deadline"
	// ReasonLoad is that the job would end too late to be of use.
	ReasonLoad Reason = "load"
	// ReasonLabel is that no endpoint with a label that the job requires accepts work.
	ReasonLabel Reason = "label"
	// ReasonDataCentre is that no data centre accepts work.
	ReasonDataCentre Reason = "data-centre"
)

// Request is a job that asks for admission.
type Request struct {
	// ID spreads the jobs' Retry-After.
	ID       string
	Pool     string
	Priority int
	// Account is empty for callers without one, which are always within their share.
	Account string
	// Labels lists the labels that endpoints must carry to run the job's tasks.
	Labels []string
	// Chain is the estimated duration of the job's longest chain of steps. Stretch times
	// Chain, plus Target, is the job's objective. It has none if both are 0.
	Chain   time.Duration
	Stretch float64
	Target  time.Duration
	// CallerTimeout is how much longer the caller waits for the answer.
	CallerTimeout time.Duration
	Persistent    bool
	// Occurrences is the number of scheduled occurrences, or 0.
	Occurrences int
	// Returned is set if the job was refused before: it is not refused for load again.
	Returned bool
}

// Decision is the answer to a Request.
type Decision struct {
	Admit bool
	// Reason and RetryAfter are set if the job is refused. RetryAfter is in whole seconds,
	// or 0.
	Reason     Reason
	RetryAfter time.Duration
	// ExpectedStart is how long the job is expected to wait for its start.
	ExpectedStart time.Duration
}

// Decide decides whether to admit a job, by an outlook that was received age ago.
func Decide(request Request, outlook Outlook, age time.Duration) Decision {
	if request.CallerTimeout <= 0 {
		return Decision{Reason: ReasonDeadline}
	}
	if age > MaxOutlookAge {
		return Decision{Admit: true}
	}
	if reason := request.unavailable(outlook); reason != "" {
		return Decision{Reason: reason, RetryAfter: request.spread(unavailableRetryAfter)}
	}
	pool, isShort := outlook.Pools[request.Pool]
	if !isShort || pool.Cores <= 0 || request.isExempt() {
		return Decision{Admit: true}
	}
	isBeyondShare := slices.Contains(outlook.AccountsBeyondShare, request.Account)
	return pool.decide(request, isBeyondShare, age)
}

// unavailable returns why no endpoint may run the job now, or "".
func (r Request) unavailable(outlook Outlook) Reason {
	if outlook.NoDataCentre {
		return ReasonDataCentre
	}
	for _, label := range r.Labels {
		if slices.Contains(outlook.UnavailableLabels, label) {
			return ReasonLabel
		}
	}
	return ""
}

// isExempt reports whether the job is never refused for load.
func (r Request) isExempt() bool {
	hasObjective := r.Stretch > 0 || r.Target > 0
	return r.Returned || r.Persistent || r.Occurrences > 0 || !hasObjective
}

// Objective returns the job's objective.
func (r Request) Objective() time.Duration {
	return time.Duration(float64(r.Chain)*max(1, r.Stretch)) + r.Target
}

// slack returns how long the job can wait and still meet its objective, if its chain
// takes factor times the estimate.
func (r Request) slack(factor float64) time.Duration {
	return time.Duration(float64(r.Chain)*factor*(max(1, r.Stretch)-1)) + r.Target
}

// decide decides on a job of a pool that is short.
func (p PoolOutlook) decide(request Request, isBeyondShare bool, age time.Duration) Decision {
	// The bounds that favour the job decide whether it can be in time.
	expected := p.startInTime(request.Priority, isBeyondShare, age, 1)
	measured := p.measuredWait(request.Priority, isBeyondShare)
	earliest := max(p.startInTime(request.Priority, isBeyondShare, age, estimateError), min(expected, measured))
	if earliest <= request.slack(estimateError)+rounding {
		return Decision{Admit: true, ExpectedStart: expected}
	}
	start := p.startLate(request.Priority, isBeyondShare)
	if start+request.Chain <= LateFactor*request.Objective() {
		return Decision{Admit: true, ExpectedStart: start}
	}
	if measured > 0 {
		expected = min(expected, measured)
	}
	wait := max(p.ShortFor, expected-request.slack(1))
	return Decision{Reason: ReasonLoad, RetryAfter: request.spread(wait), ExpectedStart: start}
}

// startInTime returns when a new job starts behind the work that precedes it, if the
// estimates of work are too high by a factor. An outlook that was received age ago is
// brought forward by what the pool can have done since beyond the arriving work.
func (p PoolOutlook) startInTime(priority int, isBeyondShare bool, age time.Duration, factor float64) time.Duration {
	inflow := p.Inflow / factor
	ahead, cores := at(p.AheadByPriority, priority), p.Cores
	if isBeyondShare {
		ahead += at(p.LateByPriority, priority) + at(p.BeyondByPriority, priority)
		cores = max(0, p.Cores-inflow)
	}
	ahead = max(0, ahead/factor-max(0, p.Cores-inflow)*age.Seconds())
	return waitFor(ahead, cores)
}

// measuredWait returns how long the work that precedes a new job takes to start at the
// measured rate, which depends on no estimate, or 0 if that is not known.
func (p PoolOutlook) measuredWait(priority int, isBeyondShare bool) time.Duration {
	if isBeyondShare {
		return at(p.BeyondWaitByPriority, priority)
	}
	return at(p.WaitByPriority, priority)
}

// startLate returns when a job starts that cannot be in time: after the shortage, which
// is expected to last for as long again as it has lasted, and after the work that is
// late already.
func (p PoolOutlook) startLate(priority int, isBeyondShare bool) time.Duration {
	late := at(p.LateByPriority, priority)
	if isBeyondShare {
		late += at(p.BeyondLateByPriority, priority)
	}
	return p.ShortFor + waitFor(late, p.Cores)
}

// maxWait bounds the waits that are computed: a longer one exceeds every objective.
const maxWait = time.Hour

// waitFor returns how long a number of cores takes for an amount of work.
func waitFor(coreSeconds, cores float64) time.Duration {
	if coreSeconds <= 0 {
		return 0
	}
	if coreSeconds >= cores*maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(coreSeconds / cores * float64(time.Second))
}

// at returns the amount at a priority.
func at[T float64 | time.Duration](byPriority []T, priority int) T {
	if len(byPriority) == 0 {
		return 0
	}
	return byPriority[min(max(0, priority), len(byPriority)-1)]
}

// spread returns the Retry-After for a wait: lengthened by up to retrySpread, the same
// for each attempt of a job, and rounded up to seconds.
func (r Request) spread(wait time.Duration) time.Duration {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(r.ID)) // never fails
	fraction := float64(hash.Sum32()) / math.MaxUint32
	seconds := max(wait, minRetryAfter).Seconds() * (1 + retrySpread*fraction)
	return min(maxRetryAfter, time.Duration(math.Ceil(seconds))*time.Second)
}
