package control

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/internal/policy"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

const (
	// maxStepInterval is the longest time between two scheduling steps, for
	// decisions that depend on time alone.
	maxStepInterval = 100 * time.Millisecond
	// minBatchPause is the shortest time between two batches: each call to the
	// store is charged.
	minBatchPause = 30 * time.Millisecond
	// commitRetryDelay is the time before a failed commit is retried.
	commitRetryDelay = 100 * time.Millisecond
	// renewInterval is the time between two renewals of the claim.
	renewInterval = time.Second
	// loadRetryDelay is the time before a failed load is retried.
	loadRetryDelay = 150 * time.Millisecond
	// lookupQueueSize is the number of job lookups that may wait, and
	// lookupWorkers the number of concurrent ones.
	lookupQueueSize = 256
	lookupWorkers   = 4
	// cleanupInterval is the time between two cleanups of old jobs, and
	// maxCleanupJobs the number of jobs per cleanup: a transaction has at most
	// 100 entries.
	cleanupInterval = 5 * time.Second
	maxCleanupJobs  = 40
	// largestHostsInterval is the time between two records of the largest hosts.
	largestHostsInterval = 250 * time.Millisecond
	// evacuationMetricsInterval is the time between two updates of the metrics of evacuations.
	evacuationMetricsInterval = time.Second
)

// term is one leadership term of this process.
type term struct {
	control *Control
	config  Config
	ctx     context.Context
	claim   record.Claim
	writer  *writer
	group   *loops.Group

	// maxHostResources, hostSizes and loaded are in the answer to a hello, which must not wait for
	// the decisions of a busy leader: others would take over.
	maxHostResources atomic.Pointer[policy.Resources]
	hostSizes        atomic.Pointer[[]fleet.HostSize]
	// outlook is the encoded outlook for new jobs, which is in these answers as well.
	outlook atomic.Pointer[[]byte]
	loaded  atomic.Bool

	mu       sync.Mutex
	leader   *fleet.Leader
	sessions map[fleet.EndpointID]*endpointSession
	// extraSenders is the number of senders that were added for gangs.
	extraSenders int
	// endpointChanges is the leader's count for which the sessions are up to date, and
	// largestHostsAt when the largest hosts were last recorded.
	endpointChanges int
	largestHostsAt  time.Time
	// wakeStep wakes stepLoop, wakeBatch wakes batchLoop.
	wakeStep, wakeBatch chan struct{}
	hostOrders          chan hostOrder
	adviceRequests      chan fleet.AdviceRequest
	lookups             chan job.ID
	// evacuationsAsOf is the version of the set of evacuated data centres that the leader has.
	evacuationsAsOf uint64
	// crashes, overdue and deferredJobs hold the leader's counts that the metrics show already.
	crashes      fleet.CrashCounts
	overdue      fleet.OverdueCounts
	deferredJobs int
	// evacuationMetrics holds the data centres of which there are metrics, and
	// evacuationsMeasuredAt is when these were last updated.
	evacuationMetrics     map[string]bool
	evacuationsMeasuredAt time.Time
	refusals              refusals
	work                  work
}

func newTerm(ctx context.Context, c *Control, claim record.Claim, version uint64) *term {
	t := &term{
		control: c, config: c.config, ctx: ctx, claim: claim,
		leader: fleet.New(fleet.Config{
			Token: claim.Token, Now: time.Now(), Bounds: c.config.Bounds, Journal: c.config.Journal,
			DeadlineOrder: c.config.DeadlineOrder, RowBytes: c.config.RowBytes,
		}),
		sessions: map[fleet.EndpointID]*endpointSession{},
		wakeStep: make(chan struct{}, 1), wakeBatch: make(chan struct{}, 1),
		hostOrders: make(chan hostOrder, hostOrderQueueSize), adviceRequests: make(chan fleet.AdviceRequest, adviceQueueSize),
		lookups: make(chan job.ID, lookupQueueSize), evacuationMetrics: map[string]bool{}, work: newWork(time.Now()),
	}
	t.maxHostResources.Store(&policy.Resources{})
	t.hostSizes.Store(new([]fleet.HostSize))
	t.outlook.Store(new([]byte))
	t.writer = newWriter(writerConfig{
		Store: c.config.Store, Journal: c.config.Journal, Token: claim.Token, ClaimVersion: version,
		Confirmed: func(sentAt time.Time) { t.locked(partOther, func() { t.leader.ConfirmLeadership(sentAt) }) },
		Lost:      func() { c.config.Lost(claim.Token, "another process has changed the leadership claim") },
	})
	return t
}

// run leads until the term's context ends. The leases of the endpoints are renewed
// while the jobs are being read: that takes seconds in a large fleet.
func (t *term) run() {
	t.group = loops.New(t.ctx)
	t.group.Go(t.endpointFeed)
	t.group.Go(t.batchLoop)
	t.group.Go(t.stepLoop)
	t.group.Go(t.loadAndLead)
	t.group.Wait()
	t.locked(partOther, func() { t.removeEvacuationMetrics(nil) })
}

// loadAndLead reads the jobs, and then starts the loops that need them.
func (t *term) loadAndLead(context.Context) {
	versions, ok := t.load()
	if !ok {
		return
	}
	t.group.Go(func(ctx context.Context) { t.rowFeed(ctx, record.JobTable, versions[record.JobTable], t.applyJobRow) })
	t.group.Go(func(ctx context.Context) {
		t.rowFeed(ctx, record.CancelTable, versions[record.CancelTable], t.applyCancelRow)
	})
	t.group.Go(t.hostFeed)
	for range hostWorkers {
		t.group.Go(t.hostLoop)
	}
	t.group.Go(t.cleanupLoop)
	for range lookupWorkers {
		t.group.Go(t.lookupLoop)
	}
	if t.config.Advice != nil {
		for range adviceWorkers {
			t.group.Go(t.adviceLoop)
		}
	}
}

// locked runs f, which is work of part p, under the leader's lock. It releases the lock also when
// f panics over a broken invariant: otherwise the process could not shut down.
func (t *term) locked(p part, f func()) {
	asked := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	started := time.Now()
	f()
	t.work.add(p, started.Sub(asked), time.Since(started))
}

// requestStep wakes stepLoop and batchLoop.
func (t *term) requestStep() {
	signal(t.wakeStep)
	signal(t.wakeBatch)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (t *term) isLoaded() bool {
	return t.loaded.Load()
}

// setPolicy applies a new configuration.
func (t *term) setPolicy(current *policy.Policy) {
	t.locked(partOther, func() { t.leader.SetPolicy(current) })
	t.requestStep()
}

// setWave adds or updates a maintenance wave.
func (t *term) setWave(wave fleet.WaveRow) {
	t.locked(partOther, func() { t.leader.UpdateWave(wave, time.Now()) })
	t.requestStep()
}

// accept adds a job that is stored.
func (t *term) accept(submission *job.Submission) {
	now := time.Now()
	t.locked(partJobs, func() { t.leader.AddJob(submission, now, now) })
	t.requestStep()
}

// cancel applies a cancel that is stored.
func (t *term) cancel(id job.ID) {
	t.locked(partJobs, func() { t.leader.CancelJob(id, time.Now()) })
	t.requestStep()
}

// knows reports whether the leader has a job, as it does of most rows of the feed: the
// process that stored them has notified it.
func (t *term) knows(id job.ID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leader.Knows(id)
}

// applyJobRow handles a job row of the feed.
func (t *term) applyJobRow(change table.Change) {
	if change.Removed || t.knows(job.ID(record.LastSegment(change.Row.Key))) {
		return
	}
	if job.IsRefusal(change.Row.Value) {
		t.refusals.note(job.ID(record.LastSegment(change.Row.Key)), change.Row.Version, time.Now())
		return
	}
	submission, err := job.DecodeSubmission(change.Row.Value)
	if err != nil {
		t.config.Journal.Info("job row cannot be decoded", "key", change.Row.Key, "version", change.Row.Version, "error", err.Error())
		return
	}
	t.accept(submission)
}

// applyCancelRow handles a cancel row of the feed.
func (t *term) applyCancelRow(change table.Change) {
	if !change.Removed {
		t.cancel(job.ID(record.LastSegment(change.Row.Key)))
	}
}

// stepLoop runs the leader's scheduling steps and queues their orders.
func (t *term) stepLoop(ctx context.Context) {
	for {
		timer := time.NewTimer(maxStepInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-t.wakeStep:
		case <-timer.C:
		}
		timer.Stop()
		took, isBehind := t.step()
		if !loops.Sleep(ctx, fleet.StepPause(took, isBehind)) {
			return
		}
	}
}

// step runs one scheduling step. It returns its duration, and whether the leader is behind with
// sending starts.
func (t *term) step() (took time.Duration, isBehind bool) {
	started := time.Now()
	confirmedAt := t.config.MajorityConfirmedAt()
	t.locked(partDecisions, func() {
		t.applyEvacuations(started)
		t.leader.ConfirmLeadership(confirmedAt)
		t.queueOrders(t.leader.Step(started, started), started)
		if started.Sub(t.largestHostsAt) >= largestHostsInterval {
			t.largestHostsAt = started
			t.recordHostSizes()
		}
		t.countDecisions()
		t.countOverdue(t.leader.OverdueCounts())
		t.measureEvacuations(started)
		t.recordOutlook(started)
		isBehind = t.leader.IsBehind()
		t.work.log(t.config.Journal, t.leader.Effort(), t.leader.UnsentStarts(), started)
	})
	metrics.GetOrCreateHistogram("leader_step_seconds").UpdateDuration(started)
	return time.Since(started), isBehind
}

// applyEvacuations passes the newest set of evacuated data centres to the leader; t.mu must be
// held. It is called before each decision that may start a task.
func (t *term) applyEvacuations(now time.Time) {
	set := t.config.Evacuations.Current()
	if set.AsOf == t.evacuationsAsOf {
		return
	}
	t.evacuationsAsOf = set.AsOf
	t.leader.SetEvacuations(set.DataCentres, now)
}

// recordHostSizes records the largest hosts, and the sizes of all, for answers to hellos; t.mu must be
// held.
func (t *term) recordHostSizes() {
	largest, sizes := t.leader.MaxHostResources(), t.leader.HostSizes()
	t.maxHostResources.Store(&largest)
	t.hostSizes.Store(&sizes)
}

// measureEvacuations updates the metrics of how many runs are left in each evacuated data centre;
// t.mu must be held.
func (t *term) measureEvacuations(now time.Time) {
	if now.Sub(t.evacuationsMeasuredAt) < evacuationMetricsInterval {
		return
	}
	t.evacuationsMeasuredAt = now
	left := t.leader.EvacuationRunsLeft()
	t.removeEvacuationMetrics(left)
	for dataCentre, runs := range left {
		t.evacuationMetrics[dataCentre] = true
		metrics.GetOrCreateGauge(runsLeftMetric(dataCentre), nil).Set(float64(runs))
	}
}

// removeEvacuationMetrics removes the metrics of data centres that are not in left; t.mu must be
// held.
func (t *term) removeEvacuationMetrics(left map[string]int) {
	for dataCentre := range t.evacuationMetrics {
		if _, ok := left[dataCentre]; !ok {
			metrics.UnregisterMetric(runsLeftMetric(dataCentre))
			delete(t.evacuationMetrics, dataCentre)
		}
	}
}

// runsLeftMetric returns the name of a data centre's metric.
func runsLeftMetric(dataCentre string) string {
	return fmt.Sprintf("evacuation_runs_left{data_centre=%q}", dataCentre)
}

// recordOutlook records the outlook for answers to hellos; t.mu must be held.
func (t *term) recordOutlook(now time.Time) {
	encoded := t.leader.Outlook(now).Encode()
	t.outlook.Store(&encoded)
}

// countDecisions adds what the leader has counted since the last call to the metrics; t.mu must
// be held.
func (t *term) countDecisions() {
	counts := t.leader.CrashCounts()
	metrics.GetOrCreateCounter("endpoint_crashes_total").Add(counts.Endpoints - t.crashes.Endpoints)
	metrics.GetOrCreateCounter("tasks_suspected_total").Add(counts.Suspects - t.crashes.Suspects)
	metrics.GetOrCreateCounter("tasks_given_up_total").Add(counts.GivenUp - t.crashes.GivenUp)
	metrics.GetOrCreateCounter("endpoints_gone_contradicted_total").Add(counts.Contradicted - t.crashes.Contradicted)
	t.crashes = counts
	deferred := t.leader.DeferredJobs()
	metrics.GetOrCreateCounter("jobs_deferred_total").Add(deferred - t.deferredJobs)
	t.deferredJobs = deferred
}

// countOverdue adds what the leader has counted since the last call to the metrics; t.mu must
// be held.
func (t *term) countOverdue(counts fleet.OverdueCounts) {
	add := func(decision string, count int) {
		metrics.GetOrCreateCounter(fmt.Sprintf("runs_overdue_total{decision=%q}", decision)).Add(count)
	}
	add("stopped", counts.Stopped-t.overdue.Stopped)
	add("copied", counts.Copied-t.overdue.Copied)
	add("kept", counts.Kept-t.overdue.Kept)
	t.overdue = counts
}

// queueOrders queues the orders of a step that began at decidedAt; t.mu must be held.
func (t *term) queueOrders(orders fleet.Orders, decidedAt time.Time) {
	t.syncSessions()
	byEndpoint := t.sessions
	for _, start := range orders.Starts {
		t.queueOrder(byEndpoint[start.Endpoint], order{start: &start, decidedAt: decidedAt})
	}
	for _, stop := range orders.Stops {
		t.queueOrder(byEndpoint[stop.Endpoint], order{stop: &stop})
	}
	for _, throttle := range orders.Throttles {
		t.queueOrder(byEndpoint[throttle.Endpoint], order{throttle: &throttle})
	}
	for _, id := range orders.Lookups {
		select {
		case t.lookups <- id:
		default:
			// The leader requests the lookup again.
		}
	}
	for _, request := range orders.AdviceRequests {
		t.queueAdviceRequest(request)
	}
	for _, move := range orders.Moves {
		t.queueHostOrder(hostOrder{move: &move, decidedAt: decidedAt})
	}
	for _, maintenance := range orders.Maintenance {
		t.queueHostOrder(hostOrder{maintenance: &maintenance, decidedAt: decidedAt})
	}
}
