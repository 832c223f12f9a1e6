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
	stepEvery = 100 * time.Millisecond
	// stepPause gathers events that arrive together into one step.
	stepPause = 8 * time.Millisecond
	// stepRest times what a step took is left for other work before the next one,
	// up to stepPauseMost: at the peak steps would else take half of the processor.
	stepRest      = 4
	stepPauseMost = 50 * time.Millisecond
	// batchPause is the shortest time between two batches, since each call to the store is charged.
	batchPause = 30 * time.Millisecond
	// batchRetry is the time before a batch that was not written is tried again.
	batchRetry = 100 * time.Millisecond
	// renewEvery is the time between two renewals of the claim.
	renewEvery = time.Second
	// loadRetry is the time before the rows are read again after a failure.
	loadRetry = 150 * time.Millisecond
	// pendingLookups is how many jobs wait to be looked up, and lookupReaders how
	// many are read at a time.
	pendingLookups = 256
	lookupReaders  = 4
	// forgetEvery is the time between two removals of old rows, and forgetMost
	// how many jobs one removes: a transaction has 100 entries.
	forgetEvery = 5 * time.Second
	forgetMost  = 40
)

// reign is one leadership.
type reign struct {
	control *Control
	config  Config
	ctx     context.Context
	claim   record.Claim
	writer  *writer
	group   *loops.Group

	mu        sync.Mutex
	leader    *fleet.Leader
	loaded    bool
	endpoints map[fleet.EndpointID]*endpointWorker
	// kicks wakes the step loop, dirty the batch loop.
	kicks, dirty chan struct{}
	orders       chan hostOrder
	asks         chan fleet.AdviceRequest
	lookups      chan job.ID
}

func newReign(ctx context.Context, c *Control, claim record.Claim, version uint64) *reign {
	r := &reign{
		control: c, config: c.config, ctx: ctx, claim: claim,
		leader: fleet.New(fleet.Config{
			Token: claim.Token, Now: time.Now(), Bounds: c.config.Bounds, Journal: c.config.Journal,
		}),
		endpoints: map[fleet.EndpointID]*endpointWorker{},
		kicks:     make(chan struct{}, 1), dirty: make(chan struct{}, 1),
		orders: make(chan hostOrder, hostOrders), asks: make(chan fleet.AdviceRequest, pendingAsks),
		lookups: make(chan job.ID, pendingLookups),
	}
	r.writer = newWriter(writerConfig{
		Store: c.config.Store, Journal: c.config.Journal, Token: claim.Token, ClaimVersion: version,
		Confirmed: func(sentAt time.Time) { r.locked(func() { r.leader.ConfirmLeadership(sentAt) }) },
		Lost:      func() { c.config.Lost(claim.Token, "the claim has changed") },
	})
	return r
}

// run leads until the leadership's context ends.
func (r *reign) run() {
	if !r.load() {
		return
	}
	r.group = loops.New(r.ctx)
	r.group.Go(r.endpointFeed)
	r.group.Go(func(ctx context.Context) { r.rowFeed(ctx, record.JobTable, r.jobRow) })
	r.group.Go(func(ctx context.Context) { r.rowFeed(ctx, record.CancelTable, r.cancelRow) })
	r.group.Go(r.batchLoop)
	r.group.Go(r.stepLoop)
	r.group.Go(r.hostFeed)
	r.group.Go(r.hostLoop)
	r.group.Go(r.forgetLoop)
	for range lookupReaders {
		r.group.Go(r.lookupLoop)
	}
	if r.config.Advice != nil {
		for range adviceCallers {
			r.group.Go(r.adviceLoop)
		}
	}
	r.group.Wait()
}

// locked runs f under the leader's lock, which it gives back also when f finds
// a broken invariant: the process has to be able to end.
func (r *reign) locked(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// kick asks for a step.
func (r *reign) kick() {
	signal(r.kicks)
	signal(r.dirty)
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

func (r *reign) isLoaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// setPolicy puts a configuration in force.
func (r *reign) setPolicy(current *policy.Policy) {
	r.locked(func() { r.leader.SetPolicy(current) })
	r.kick()
}

// setWave takes a wave.
func (r *reign) setWave(wave fleet.WaveRow) {
	r.locked(func() { r.leader.UpdateWave(wave, time.Now()) })
	r.kick()
}

// accept takes a job that the store holds.
func (r *reign) accept(submission *job.Submission) {
	now := time.Now()
	r.locked(func() { r.leader.AddJob(submission, now, now) })
	r.kick()
}

// cancelled takes a cancel that the store holds.
func (r *reign) cancelled(id job.ID) {
	r.locked(func() { r.leader.CancelJob(id, time.Now()) })
	r.kick()
}

// jobRow takes a job's row from the feed.
func (r *reign) jobRow(change table.Change) {
	if change.Removed {
		return
	}
	submission, err := job.DecodeSubmission(change.Row.Value)
	if err != nil {
		r.config.Journal.Info("job not readable", "key", change.Row.Key, "version", change.Row.Version, "error", err.Error())
		return
	}
	r.accept(submission)
}

// cancelRow takes a cancel's row from the feed.
func (r *reign) cancelRow(change table.Change) {
	if !change.Removed {
		r.cancelled(job.ID(record.LastSegment(change.Row.Key)))
	}
}

// stepLoop lets the leader decide, and sends its orders.
func (r *reign) stepLoop(ctx context.Context) {
	for {
		timer := time.NewTimer(stepEvery)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-r.kicks:
		case <-timer.C:
		}
		timer.Stop()
		took := r.step()
		if !sleep(ctx, min(stepPauseMost, max(stepPause, stepRest*took))) {
			return
		}
	}
}

// step decides once, and returns how long that took.
func (r *reign) step() time.Duration {
	started := time.Now()
	followed := r.config.MajorityConfirmedAt()
	r.locked(func() {
		r.leader.ConfirmLeadership(followed)
		r.sendAll(r.leader.Step(started, started))
	})
	metrics.GetOrCreateHistogram("leader_step_seconds").UpdateDuration(started)
	return time.Since(started)
}

// sendAll queues orders; r.mu is held.
func (r *reign) sendAll(orders fleet.Orders) {
	r.syncWorkers()
	workers := r.endpoints
	for _, start := range orders.Starts {
		r.send(workers[start.Endpoint], order{start: &start})
	}
	for _, stop := range orders.Stops {
		r.send(workers[stop.Endpoint], order{stop: &stop})
	}
	for _, pace := range orders.Throttles {
		r.send(workers[pace.Endpoint], order{pace: &pace})
	}
	for _, id := range orders.Lookups {
		select {
		case r.lookups <- id:
		default:
			// It is asked for again.
		}
	}
	for _, ask := range orders.AdviceRequests {
		r.sendAsk(ask)
	}
	for _, move := range orders.Moves {
		r.sendHost(hostOrder{move: &move})
	}
	for _, upkeep := range orders.Maintenance {
		r.sendHost(hostOrder{upkeep: &upkeep})
	}
}
