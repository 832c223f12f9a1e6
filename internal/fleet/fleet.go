package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/overload"
	"github.com/lovagedyke/lovagedyke/internal/policy"
	"github.com/lovagedyke/lovagedyke/internal/runtimes"
)

const (
	// leaseTarget is the lease length if the endpoints allow it: longer than the
	// replacement of all processes takes, shorter than callers tolerate the loss of a
	// persistent task.
	leaseTarget = 5 * time.Second
	// maxClockDrift is how much slower an endpoint's clock may run than the leader's, as
	// guaranteed by the platform.
	maxClockDrift = 0.02
	// leaseMargin covers the rounding of clocks to milliseconds.
	leaseMargin = 100 * time.Millisecond
	// runsPerToken separates the run numbers of different leaders: a new leader's runs
	// are above those of earlier leaders, without a row that records them.
	runsPerToken = 1 << 16
	// confirmationTimeout is how long a leader acts without confirmation that it still
	// leads. Its successor adds this time to the leases that it may have granted.
	confirmationTimeout = 1500 * time.Millisecond
	// orderDuration is how long an order may be on its way.
	orderDuration = time.Second
	// overdueAnswer is how long after an order its answer is late. Tasks run for longer.
	overdueAnswer = 100 * time.Millisecond
	// maxOrderDelay is how late an endpoint may carry out an order that it has not answered.
	maxOrderDelay = 15 * time.Second
	// entryReturnTime is how long after the return of the store the entries of endpoints may be
	// missing that expired meanwhile: about two seconds by the platform's promise.
	entryReturnTime = 2500 * time.Millisecond
	// formerLeaderGrace is how long after a takeover the former leader may still send
	// orders.
	formerLeaderGrace = confirmationTimeout + orderDuration
	// startRetryDelay is the time before a task starts again after a rejected start.
	startRetryDelay = 50 * time.Millisecond
)

// Journal records the decisions that explain what happened to a request.
type Journal interface {
	// Info records one decision, with alternating names and values.
	Info(event string, fields ...any)
}

// Config holds the arguments of New.
type Config struct {
	// Token increases with each leader; endpoints reject orders with a lower one.
	Token uint64
	// Now is when the leader took over.
	Now     time.Time
	Bounds  Bounds
	Journal Journal
	// DeadlineOrder starts work by its deadlines also while a pool is short of capacity.
	DeadlineOrder bool
	// RowBytes is the store's maximum row size; 0 means DefaultRowBytes.
	RowBytes int
}

// Bounds holds the platform's time limits that decisions depend on.
type Bounds struct {
	// MaxLease is the longest lease that an endpoint grants.
	MaxLease time.Duration
	// StatusRetention is how long a job's state can be queried after its end.
	StatusRetention time.Duration
	// Stop is the maximum time that an endpoint takes to stop a run.
	Stop time.Duration
	// Move and Maintenance are how long a host is unavailable during a move and maintenance.
	Move, Maintenance time.Duration
	// HostChangeExclusion is the time within which two leaders must not change the same host.
	HostChangeExclusion time.Duration
	// GangAssembly is how long a member of a gang waits on its endpoint for the others before it ends
	// alone, or 0 if the platform does not say.
	GangAssembly time.Duration
	// CapacityNotice is for how long after an endpoint has announced a smaller capacity starts
	// may still exceed it, or 0 if the platform does not say.
	CapacityNotice time.Duration
	// HostChangesPerSecond is how many changes of hosts the platform accepts, or 0 if
	// that is not known.
	HostChangesPerSecond float64
}

// Leader is the state of the process that leads the fleet. It is not safe for
// concurrent use; the caller must lock it.
type Leader struct {
	config    Config
	policy    *policy.Policy
	endpoints map[EndpointID]*endpoint
	// endpointList holds them in the order of their IDs: iterations over a map take several times
	// as long. endpointChanges counts its changes.
	endpointList    []*endpoint
	endpointChanges int
	// endpointsByHost holds them by the host that their rows name, or "".
	endpointsByHost map[HostID][]*endpoint
	// lastEndpoints holds, by host, the endpoint that was last listed on it.
	lastEndpoints    map[HostID]EndpointID
	jobs             map[job.ID]*jobState
	hosts            hosts
	evacuations      evacuations
	arrivalHistories map[string]*arrivalHistory
	durations        map[string]*runtimes.Model
	// sizes compares, by queue, the capacity that jobs need.
	sizes map[string]*overload.Sizes
	// deferredJobs counts the jobs that were deferred for others, and deferralsAt holds, by pool,
	// when it was last decided which steps are.
	deferredJobs int
	deferralsAt  map[string]time.Time
	// meanHost is the mean size of a host as of the last step, or zero.
	meanHost policy.Resources
	// pendingCancels holds cancels of jobs that are not known yet.
	pendingCancels map[job.ID]time.Time
	// lookups holds unknown jobs that endpoints have reported.
	lookups map[job.ID]lookup
	// lateStarts holds, by endpoint, the starts that were given up and may yet be carried out.
	lateStarts map[EndpointID]map[runKey]lateStart
	// heldTasks counts, by task, the late starts for which it waits.
	heldTasks map[job.Task]int
	// lateTasks holds, by task, those of its starts.
	lateTasks map[job.Task][]lateStartKey
	// unansweredOrders holds those to endpoints that are forgotten.
	unansweredOrders map[EndpointID]unansweredOrders
	// hasSeenRestart is true once an endpoint has restarted under its ID.
	hasSeenRestart bool
	// lateStartsCheckedAt is when those that cannot be any more were last removed.
	lateStartsCheckedAt time.Time
	// shareBuckets holds each client account's token bucket of submissions within its share.
	shareBuckets map[string]*tokenBucket
	// inUse is what each client account uses across all pools.
	inUse      map[string]policy.Resources
	unknownUse unknownUse
	// areUnknownRunsLogged is true once it is logged that inherited tasks wait for no endpoint any more.
	areUnknownRunsLogged bool
	// inheritedEvidence holds, by pool, the evidence on which runs of former leaders were last taken for ended.
	inheritedEvidence map[string]string
	// jobsAsOf is when the jobs were last known to be current, steppedAt the time of the last step.
	jobsAsOf, steppedAt time.Time
	// confirmedAt is when the store, or a majority of the other processes, last
	// confirmed that no other process leads.
	confirmedAt time.Time
	// endpointsAsOf is when the endpoints' rows were last known to be current.
	endpointsAsOf time.Time
	// storeReturnedAt is since when the store has been reachable, or zero if it was never away.
	storeReturnedAt time.Time
	// overdueCheckedAt is when overdue runs were last searched for.
	overdueCheckedAt time.Time
	overdue          OverdueCounts
	// live holds the jobs that have not ended; jobs also keeps those that have, to report
	// their states.
	live map[job.ID]*jobState
	// loaded is true once all rows from before the takeover are known.
	loaded     bool
	writeQueue writeQueue
	// rowFormat is the newest form of rows that all processes read.
	rowFormat job.RowFormat
	// unpersisted holds the endpoints with completions that have not been written yet.
	unpersisted map[EndpointID]*endpoint
	crashes     CrashCounts
	// heldTrials are trials whose record is not stored yet.
	heldTrials []heldTrial
	// hasFormerStarts is true if jobs have starts that former leaders recorded, and that
	// are not settled.
	hasFormerStarts bool
	outlook         outlookState
	effort          Effort
	starts          startBudget
	// begunJobs holds the jobs that have begun lately, in the order of that.
	begunJobs []begunJob
	// assembling holds the attempts to start gangs of which not all members have begun, and
	// startTime is how long starts take to be answered.
	assembling []*gangAttempt
	startTime  recentTime
}

// New returns a leader without jobs, endpoints or hosts.
func New(config Config) *Leader {
	if config.RowBytes <= 0 {
		config.RowBytes = DefaultRowBytes
	}
	leader := &Leader{
		config: config, confirmedAt: config.Now, policy: policy.New(policy.Config{}),
		endpoints: map[EndpointID]*endpoint{}, endpointsByHost: map[HostID][]*endpoint{}, unpersisted: map[EndpointID]*endpoint{}, lastEndpoints: map[HostID]EndpointID{}, jobs: map[job.ID]*jobState{}, live: map[job.ID]*jobState{}, inUse: map[string]policy.Resources{},
		pendingCancels: map[job.ID]time.Time{},
		lookups:        map[job.ID]lookup{}, lateStarts: map[EndpointID]map[runKey]lateStart{}, heldTasks: map[job.Task]int{}, lateTasks: map[job.Task][]lateStartKey{}, unansweredOrders: map[EndpointID]unansweredOrders{}, shareBuckets: map[string]*tokenBucket{},
		hosts: newHosts(), arrivalHistories: map[string]*arrivalHistory{}, durations: map[string]*runtimes.Model{}, sizes: map[string]*overload.Sizes{}, deferralsAt: map[string]time.Time{}, writeQueue: newWriteQueue(),
		rowFormat: job.NewestRowFormat, inheritedEvidence: map[string]string{},
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

// maxAttemptsOf returns after how many failed runs of a task the job fails.
func (l *Leader) maxAttemptsOf(j *jobState) int {
	if queue, ok := l.policy.Queues[j.submission.Queue]; ok {
		return queue.MaxAttempts
	}
	return max(1, j.submission.MaxAttempts)
}

// allHostsReached reports whether the endpoint of each host that is up has been
// reached. The endpoint list does not suffice: its entries lapse while the store is
// unavailable, and return seconds after it. The host list lags, and does not suffice until then.
func (l *Leader) allHostsReached() bool {
	if !l.hosts.isLoaded || !l.areEntriesBack() {
		return false
	}
	l.visit(len(l.hosts.byID))
	for _, h := range l.hosts.list {
		if !h.listed || h.row.State != HostUp || h.row.Endpoint == "" {
			continue
		}
		if e := l.endpoints[h.row.Endpoint]; e == nil || !e.reached && !e.gone {
			return false
		}
	}
	return true
}

// areEntriesBack reports whether the endpoints' rows include those that had expired while the store
// was unavailable.
func (l *Leader) areEntriesBack() bool {
	return l.storeReturnedAt.IsZero() || l.endpointsAsOf.Sub(l.storeReturnedAt) >= entryReturnTime
}

// ConfirmLeadership records that no other process led at the given time.
func (l *Leader) ConfirmLeadership(at time.Time) {
	if at.After(l.confirmedAt) {
		l.confirmedAt = at
	}
}

// confirmed reports whether the leader may grant leases and start tasks.
func (l *Leader) confirmed(now time.Time) bool {
	return now.Sub(l.confirmedAt) < confirmationTimeout
}
