package control

import (
	"context"
	"sync"
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
	// stepEvery is the longest time between two steps, for what depends on time alone.
	maxStepInterval = 100 * time.Millisecond
	// stepPause gathers events that arrive together into one step.
	minStepPause = 8 * time.Millisecond
	// stepRest times what a step took is left for other work before the next one,
	// up to stepPauseMost: at the peak steps would else take half of the processor.
	stepPauseFactor = 4
	maxStepPause    = 50 * time.Millisecond
	// batchPause is the shortest time between two batches, since each call to the store is charged.
	batchPause = 30 * time.Millisecond
	// batchRetry is the time before a batch that was not written is tried again.
	commitRetryDelay = 100 * time.Millisecond
	// renewEvery is the time between two renewals of the claim.
	renewInterval = time.Second
	// loadRetry is the time before the rows are read again after a failure.
	loadRetryDelay = 150 * time.Millisecond
	// pendingLookups is how many jobs wait to be looked up, and lookupReaders how
	// many are read at a time.
	lookupQueueSize = 256
	lookupWorkers   = 4
	// forgetEvery is the time between two removals of old rows, and forgetMost
	// how many jobs one removes: a transaction has 100 entries.
	cleanupInterval = 5 * time.Second
	maxCleanupJobs  = 40
)

// reign is one leadership.
type term struct {
	control *Control
	config  Config
	ctx     context.Context
	claim   record.Claim
	writer  *writer
	group   *loops.Group

	mu       sync.Mutex
	leader   *fleet.Leader
	loaded   bool
	sessions map[fleet.EndpointID]*endpointSession
	// kicks wakes the step loop, dirty the batch loop.
	wakeStep, wakeBatch chan struct{}
	hostOrders          chan hostOrder
	adviceQueries       chan fleet.Ask
	lookups             chan job.ID
}

func newTerm(ctx context.Context, c *Control, claim record.Claim, version uint64) *term {
	t := &term{
		control: c, config: c.config, ctx: ctx, claim: claim,
		leader: fleet.New(fleet.Config{
			Token: claim.Token, Now: time.Now(), Bounds: c.config.Bounds, Journal: c.config.Journal,
		}),
		sessions: map[fleet.EndpointID]*endpointSession{},
		wakeStep: make(chan struct{}, 1), wakeBatch: make(chan struct{}, 1),
		hostOrders: make(chan hostOrder, hostOrderQueueSize), adviceQueries: make(chan fleet.Ask, adviceQueueSize),
		lookups: make(chan job.ID, lookupQueueSize),
	}
	t.writer = newWriter(writerConfig{
		Store: c.config.Store, Journal: c.config.Journal, Token: claim.Token, ClaimVersion: version,
		Confirmed: func(sentAt time.Time) { t.locked(func() { t.leader.Confirm(sentAt) }) },
		Lost:      func() { c.config.Lost(claim.Token, "the claim has changed") },
	})
	return t
}

// run leads until the leadership's context ends.
func (t *term) run() {
	if !t.load() {
		return
	}
	t.group = loops.New(t.ctx)
	t.group.Go(t.endpointFeed)
	t.group.Go(func(ctx context.Context) { t.rowFeed(ctx, record.JobTable, t.applyJobRow) })
	t.group.Go(func(ctx context.Context) { t.rowFeed(ctx, record.CancelTable, t.applyCancelRow) })
	t.group.Go(t.batchLoop)
	t.group.Go(t.stepLoop)
	t.group.Go(t.hostFeed)
	t.group.Go(t.hostLoop)
	t.group.Go(t.cleanupLoop)
	for range lookupWorkers {
		t.group.Go(t.lookupLoop)
	}
	if t.config.Advice != nil {
		for range adviceWorkers {
			t.group.Go(t.adviceLoop)
		}
	}
	t.group.Wait()
}

// locked runs f under the leader's lock, which it gives back also when f finds
// a broken invariant: the process has to be able to end.
func (t *term) locked(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
}

// kick asks for a step.
func (t *term) wake() {
	signal(t.wakeStep)
	signal(t.wakeBatch)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits; it reports whether ctx still lives.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (t *term) isLoaded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loaded
}

// setPolicy puts a configuration in force.
func (t *term) setPolicy(current *policy.Policy) {
	t.locked(func() { t.leader.SetPolicy(current) })
	t.wake()
}

// setWave takes a wave.
func (t *term) setWave(wave fleet.WaveRow) {
	t.locked(func() { t.leader.WaveListed(wave, time.Now()) })
	t.wake()
}

// accept takes a job that the store holds.
func (t *term) accept(submission *job.Submission) {
	now := time.Now()
	t.locked(func() { t.leader.Accepted(submission, now, now) })
	t.wake()
}

// cancelled takes a cancel that the store holds.
func (t *term) cancel(id job.ID) {
	t.locked(func() { t.leader.Cancelled(id, time.Now()) })
	t.wake()
}

// jobRow takes a job's row from the feed.
func (t *term) applyJobRow(change table.Change) {
	if change.Removed {
		return
	}
	submission, err := job.DecodeSubmission(change.Row.Value)
	if err != nil {
		t.config.Journal.Info("job not readable", "key", change.Row.Key, "version", change.Row.Version, "error", err.Error())
		return
	}
	t.accept(submission)
}

// cancelRow takes a cancel's row from the feed.
func (t *term) applyCancelRow(change table.Change) {
	if !change.Removed {
		t.cancel(job.ID(record.IDOf(change.Row.Key)))
	}
}

// stepLoop lets the leader decide, and sends its orders.
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
		took := t.step()
		if !sleep(ctx, min(maxStepPause, max(minStepPause, stepPauseFactor*took))) {
			return
		}
	}
}

// step decides once, and returns how long that took.
func (t *term) step() time.Duration {
	started := time.Now()
	confirmedAt := t.config.MajorityConfirmedAt()
	t.locked(func() {
		t.leader.Confirm(confirmedAt)
		t.queueOrders(t.leader.Step(started, started))
	})
	metrics.GetOrCreateHistogram("leader_step_seconds").UpdateDuration(started)
	return time.Since(started)
}

// sendAll queues orders; r.mu is held.
func (t *term) queueOrders(orders fleet.Orders) {
	t.syncSessions()
	sessions := t.sessions
	for _, start := range orders.Starts {
		t.queueOrder(sessions[start.Endpoint], order{start: &start})
	}
	for _, stop := range orders.Stops {
		t.queueOrder(sessions[stop.Endpoint], order{stop: &stop})
	}
	for _, throttle := range orders.Paces {
		t.queueOrder(sessions[throttle.Endpoint], order{throttle: &throttle})
	}
	for _, id := range orders.Lookups {
		select {
		case t.lookups <- id:
		default:
			// It is asked for again.
		}
	}
	for _, query := range orders.Asks {
		t.queueAdviceQuery(query)
	}
	for _, move := range orders.Moves {
		t.queueHostOrder(hostOrder{move: &move})
	}
	for _, maintenance := range orders.Upkeeps {
		t.queueHostOrder(hostOrder{maintenance: &maintenance})
	}
}
