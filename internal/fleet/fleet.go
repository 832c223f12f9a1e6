package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

const (
	// leaseTarget is how long an endpoint's lease is where that is allowed: longer than it takes to replace
	// all processes, shorter than a caller waits for a lost lasting task.
	leaseTarget = 5 * time.Second
	// clockSlowness is how much slower an endpoint's clock may be than ours (the
	// platform's page of calls).
	clockSlowness = 0.02
	// leaseMargin covers the rounding of clocks to milliseconds.
	leaseMargin = 100 * time.Millisecond
	// runsPerToken keeps the runs of different leaders apart: a run is above
	// each run of an earlier leader without a row that remembers it.
	runsPerToken = 1 << 16
	// confirmTime is how long a leader goes on without a sign that it still leads.
	// Its successor waits that much longer for the leases that it may have given.
	confirmTime = 1500 * time.Millisecond
	// depositionTime is how long after a takeover the leader before may still give
	// orders: confirmTime, and the time that an order takes.
	depositionTime = confirmTime + time.Second
	// retryPause is the time before a task starts again after its run was refused.
	retryPause = 50 * time.Millisecond
)

// Journal takes the decisions that explain what became of a request.
type Journal interface {
	// Note records one decision, with pairs of names and values.
	Info(event string, fields ...any)
}

// Config is what a Leader is built from.
type Config struct {
	// Token orders leaders; endpoints refuse orders with a lower one.
	Token uint64
	// Now is when the leader took over.
	Now     time.Time
	Bounds  Bounds
	Journal Journal
}

// Bounds holds the platform's periods that decisions rest on.
type Bounds struct {
	// LeaseMost is the longest lease that an endpoint grants.
	MaxLease time.Duration
	// StatusKept is how long a job's state can be asked for after its end.
	StatusRetention time.Duration
	// Stop is how long an endpoint takes at most to stop a run.
	Stop time.Duration
	// Move and Upkeep are how long a host is away for either.
	Move, Maintenance time.Duration
	// TurnWithin is the time within which two leaders must not change one host.
	HostChangeExclusion time.Duration
}

// Leader is the state of the process that leads the fleet. It is not safe for
// concurrent use; its owner locks it.
type Leader struct {
	config    Config
	policy    *policy.Policy
	endpoints map[EndpointID]*endpoint
	jobs      map[job.ID]*jobState
	hosts     hosts
	rhythms   map[string]*rhythm
	durations map[string]*durations
	// earlyCancels holds cancels of jobs that are not known yet.
	earlyCancels map[job.ID]time.Time
	// lookups holds jobs that endpoints know and we do not.
	lookups map[job.ID]lookup
	// shares holds what each client account may still hand in within its share.
	shares map[string]*shareState
	// inUse is what each client account has running over all pools.
	inUse map[string]policy.Resources
	// confirmedAt is when the store, or most other processes, last showed that no
	// other process leads.
	confirmedAt time.Time
	// overdueAt is when overdue runs were last looked for.
	overdueAt time.Time
	// live holds the jobs that are not over; the others are kept for their states.
	live map[job.ID]*jobState
	// loaded is true when all rows of before the takeover are known.
	loaded bool
	ledger ledger
}

// New returns a leader that knows nothing yet.
func New(config Config) *Leader {
	leader := &Leader{
		config: config, confirmedAt: config.Now, policy: policy.New(policy.Config{}),
		endpoints: map[EndpointID]*endpoint{}, jobs: map[job.ID]*jobState{}, live: map[job.ID]*jobState{}, inUse: map[string]policy.Resources{},
		earlyCancels: map[job.ID]time.Time{},
		lookups:      map[job.ID]lookup{}, shares: map[string]*shareState{},
		hosts: newHosts(), rhythms: map[string]*rhythm{}, durations: map[string]*durations{}, ledger: newLedger(),
	}
	return leader
}

// SetPolicy puts a configuration in force.
func (l *Leader) SetPolicy(current *policy.Policy) {
	l.policy = current
}

// Policy returns the configuration in force.
func (l *Leader) Policy() *policy.Policy {
	return l.policy
}

// poolOf returns the pool that runs a job's tasks.
func (l *Leader) poolOf(j *jobState) string {
	if queue, ok := l.policy.Queues[j.submission.Queue]; ok {
		return queue.Pool
	}
	return j.submission.Pool
}

// attemptsOf returns how often a job's task may fail.
func (l *Leader) attemptsOf(j *jobState) int {
	if queue, ok := l.policy.Queues[j.submission.Queue]; ok {
		return queue.MaxAttempts
	}
	return max(1, j.submission.MaxAttempts)
}

// covered reports whether no endpoint can hold a run of an earlier leader that is
// not known here: each was reached, or its lease is over.
func (l *Leader) covered(now time.Time) bool {
	if !l.loaded {
		return false
	}
	for _, e := range l.endpoints {
		if e.blocked {
			// It runs something of a job that we are about to know.
			return false
		}
	}
	if now.After(l.inheritedUntil()) {
		return true
	}
	for _, e := range l.endpoints {
		if !e.reached && !e.gone {
			return false
		}
	}
	return len(l.endpoints) > 0 && l.hostsCovered()
}

// hostsCovered reports whether each host that runs an endpoint is known to. The
// list of endpoints is not enough: entries lapse while the store is away, and
// are back seconds after it.
func (l *Leader) hostsCovered() bool {
	if !l.hosts.isListed {
		return false
	}
	for _, h := range l.hosts.byID {
		if !h.listed || h.row.State != HostUp || h.row.Endpoint == "" {
			continue
		}
		if e := l.endpoints[h.row.Endpoint]; e == nil || !e.reached && !e.gone {
			return false
		}
	}
	return true
}

// inheritedUntil is when the last lease that an earlier leader gave is over.
func (l *Leader) inheritedUntil() time.Time {
	return l.config.Now.Add(confirmTime + stretched(l.leaseTime()+idleDrift) + leaseMargin)
}

// leaseTime is how long the leases are that the leader gives.
func (l *Leader) leaseTime() time.Duration {
	if most := l.config.Bounds.MaxLease; most > 0 {
		return min(leaseTarget, most)
	}
	return leaseTarget
}

// Confirm notes a sign of the given time that no other process leads.
func (l *Leader) ConfirmLeadership(at time.Time) {
	if at.After(l.confirmedAt) {
		l.confirmedAt = at
	}
}

// confirmed reports whether the leader may give leases and start tasks.
func (l *Leader) confirmed(now time.Time) bool {
	return now.Sub(l.confirmedAt) < confirmTime
}

// stretched is the longest that a period on an endpoint's clock takes on ours.
func stretched(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + 2*clockSlowness))
}
