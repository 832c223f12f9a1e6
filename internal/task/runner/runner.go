// Package runner connects a shard's task controller to the table, the object
// store, the host list and the workers.
//
// # Usage
//
//	r := runner.New(runner.Config{
//		Shard: "pool-a", Pool: "pool-a", Queues: []string{"plans"}, Holder: process,
//		Store: platformClient, Objects: platformClient, Hosts: platformClient,
//		Workers: workerClient, Log: logger,
//	})
//	group.Go(func() { done <- r.Run(ctx) })
//	reply, err := r.Submit(ctx, spec)
//
// Run campaigns for the shard and manages its tasks while it holds the shard.
// Every process that may manage the shard runs one. Requests must be sent to the
// holder.
package runner

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/place"
	"github.com/lovagedyke/lovagedyke/internal/platform"
	"github.com/lovagedyke/lovagedyke/internal/table"
	"github.com/lovagedyke/lovagedyke/internal/task"
	"github.com/lovagedyke/lovagedyke/internal/worker"
)

// ErrNotHolder is returned if this process does not manage the shard.
var ErrNotHolder = errors.New("another process manages the shard")

// Objects is the object store. It is implemented by *platform.Client.
type Objects interface {
	PutObject(ctx context.Context, name string, data []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// Hosts is the platform's host list, which lags behind the actual state. It is
// implemented by *platform.Client.
type Hosts interface {
	Hosts(ctx context.Context) ([]platform.Host, error)
}

// Workers calls workers. It is implemented by *worker.Client.
type Workers interface {
	Start(ctx context.Context, address netip.AddrPort, start worker.Start) (worker.Status, error)
	Stop(ctx context.Context, address netip.AddrPort, id string, order worker.Order) (worker.Status, error)
	Checkpoint(ctx context.Context, address netip.AddrPort, id string, order worker.Order) (worker.Status, error)
	Throttle(ctx context.Context, address netip.AddrPort, id string, order worker.Order) (worker.Status, error)
	RenewAll(ctx context.Context, address netip.AddrPort, renewal worker.Renewal) (worker.RenewalReport, error)
	Report(ctx context.Context, address netip.AddrPort) (worker.Report, error)
}

const (
	defaultHeartbeatTimeout = 10 * time.Second
	defaultStepInterval     = 50 * time.Millisecond
	defaultListLag          = 5 * time.Second
	heartbeatsPerTimeout    = 4
	hostListInterval        = time.Second
	reportInterval          = 10 * time.Second
	maxConcurrentCalls      = 128
)

// Config configures the Runner of one shard. Zero durations mean the defaults.
type Config struct {
	Shard string
	// Pool is the pool of hosts whose workers run the tasks.
	Pool   string
	Queues []string
	// Holder names this process. It must differ between incarnations.
	Holder  string
	Store   table.Store
	Objects Objects
	Hosts   Hosts
	Workers Workers
	Log     *log.Logger
	// HeartbeatTimeout is how long a holder keeps the shard without heartbeats.
	HeartbeatTimeout time.Duration
	// ListLag is the maximum lag of the host list behind the actual state.
	ListLag      time.Duration
	StepInterval time.Duration
	// ClaimDelay, if set, returns how long to wait before claiming a free shard, so
	// that others can claim it first. It should grow with the number of shards that
	// this process holds.
	ClaimDelay func() time.Duration
	// Task configures the controller. Shard, Epoch, Fence and Placer are filled in
	// by the runner.
	Task task.Config
	// Evacuated, if set, returns the evacuated data centres, sorted. Their workers
	// must not receive new tasks; their tasks run to their end there. It is called
	// before each step, and must not block.
	Evacuated func() []string
}

// Runner campaigns for one shard and manages it while holding it. Its methods are
// safe for concurrent use.
type Runner struct {
	cfg      Config
	election *task.Election

	mu     sync.Mutex
	term   *term
	limits map[task.TeamQueue]task.Limit
	// leaving are the workers that must not receive new tasks.
	leaving map[string]bool
}

// New returns a runner. It does nothing until Run is called.
func New(cfg Config) *Runner {
	if cfg.HeartbeatTimeout == 0 {
		cfg.HeartbeatTimeout = defaultHeartbeatTimeout
	}
	if cfg.ListLag == 0 {
		cfg.ListLag = defaultListLag
	}
	if cfg.StepInterval == 0 {
		cfg.StepInterval = defaultStepInterval
	}
	return &Runner{cfg: cfg, election: task.NewElection(task.ElectionConfig{
		Shard: cfg.Shard, Holder: cfg.Holder, HeartbeatTimeout: cfg.HeartbeatTimeout,
	})}
}

// Run campaigns for and manages the shard until ctx is cancelled. It then releases
// the shard.
func (r *Runner) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		fence, epoch, won := r.campaign(ctx)
		if !won {
			r.sleep(ctx, r.cfg.HeartbeatTimeout/heartbeatsPerTimeout)
			continue
		}
		r.cfg.Log.Info("shard taken over", "shard", r.cfg.Shard, "epoch", epoch)
		r.manage(ctx, fence, epoch)
		r.cfg.Log.Info("shard released", "shard", r.cfg.Shard, "epoch", epoch)
	}
	return ctx.Err()
}

// sleep waits for the duration or until ctx is cancelled.
func (r *Runner) sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// campaign claims the shard if it is free, and reports whether the claim won.
func (r *Runner) campaign(ctx context.Context) (table.Condition, uint64, bool) {
	rows, err := r.cfg.Store.Get(ctx, r.election.Keys()...)
	if err != nil {
		r.election.ResetTimeout()
		return table.Condition{}, 0, false
	}
	txn, claims := r.election.Observe(time.Now(), rows)
	if !claims {
		return table.Condition{}, 0, false
	}
	if r.cfg.ClaimDelay != nil {
		// If another process claims the shard meanwhile, this claim's conditions
		// fail.
		r.sleep(ctx, r.cfg.ClaimDelay())
	}
	if err := r.cfg.Store.Commit(ctx, txn); err != nil && !table.IsUnknown(err) {
		return table.Condition{}, 0, false
	}
	rows, err = r.cfg.Store.Get(ctx, r.election.Keys()...)
	if err != nil {
		return table.Condition{}, 0, false
	}
	return r.election.Won(rows)
}

// manage manages the shard for one term, until it is lost or ctx is cancelled.
func (r *Runner) manage(ctx context.Context, fence table.Condition, epoch uint64) {
	current, err := newTerm(ctx, r.cfg, fence, epoch)
	if err != nil {
		r.cfg.Log.Warn("loading the shard's tasks failed", "shard", r.cfg.Shard, "error", err.Error())
		r.release(ctx, fence)
		return
	}
	r.mu.Lock()
	current.controller.SetLimits(maps.Clone(r.limits))
	current.leaving = maps.Clone(r.leaving)
	r.term = current
	r.mu.Unlock()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { current.watchHosts(ctx) })
	group.Go(func() {
		defer stop()
		r.sendHeartbeats(ctx, fence)
	})
	current.run(ctx)
	stop()
	group.Wait()
	r.mu.Lock()
	r.term = nil
	r.mu.Unlock()
	r.release(ctx, fence)
}

// sendHeartbeats commits heartbeats until ctx is cancelled or another process has
// claimed the shard. Any other failure is logged, and the next heartbeat retries.
func (r *Runner) sendHeartbeats(ctx context.Context, fence table.Condition) {
	for ctx.Err() == nil {
		err := r.cfg.Store.Commit(ctx, r.election.Heartbeat(fence, false))
		if table.IsConflict(err) {
			return
		}
		if err != nil && ctx.Err() == nil {
			r.cfg.Log.Warn("shard heartbeat failed", "shard", r.cfg.Shard, "error", err.Error())
		}
		r.sleep(ctx, r.cfg.HeartbeatTimeout/heartbeatsPerTimeout)
	}
}

// release lets others claim the shard at once. If it fails, they claim it after the
// heartbeat timeout.
func (r *Runner) release(ctx context.Context, fence table.Condition) {
	ctx = context.WithoutCancel(ctx)
	_ = r.cfg.Store.Commit(ctx, r.election.Heartbeat(fence, true))
}

// currentTerm returns the current term, or ErrNotHolder.
func (r *Runner) currentTerm() (*term, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.term == nil {
		return nil, errors.Wrapf(ErrNotHolder, "shard %q", r.cfg.Shard)
	}
	return r.term, nil
}

// Submit submits a task and waits for the reply. After an error other than
// ErrNotHolder it is unknown whether the task was accepted; submitting it again is
// safe.
func (r *Runner) Submit(ctx context.Context, spec task.Spec) (task.Reply, error) {
	return r.request(ctx, func(c *task.Controller, now time.Time, request uint64) { c.Submit(now, request, spec) })
}

// Cancel cancels a task and waits for the reply.
func (r *Runner) Cancel(ctx context.Context, queue, id string) (task.Reply, error) {
	return r.request(ctx, func(c *task.Controller, now time.Time, request uint64) { c.Cancel(now, request, queue, id) })
}

// request sends a request to the controller of the current term.
func (r *Runner) request(ctx context.Context, send func(*task.Controller, time.Time, uint64)) (task.Reply, error) {
	current, err := r.currentTerm()
	if err != nil {
		return task.Reply{}, err
	}
	return current.request(ctx, send)
}

// Holder returns the current claim, so that a request can be forwarded to its
// holder. That process may have stopped since.
func (r *Runner) Holder(ctx context.Context) (task.Claim, error) {
	rows, err := r.cfg.Store.Get(ctx, r.election.Keys()...)
	if err != nil {
		return task.Claim{}, err
	}
	return r.election.CurrentClaim(rows), nil
}

// Task reads a task's record from the table. It also works if another process
// manages the shard.
func (r *Runner) Task(ctx context.Context, queue, id string) (task.Record, bool, error) {
	rows, err := r.cfg.Store.Get(ctx, task.Key(queue, id))
	if err != nil || rows[0].Version == table.Absent {
		return task.Record{}, false, err
	}
	record, err := task.Decode(rows[0])
	return record, err == nil, err
}

// SetLimits replaces the limits of the current and later terms.
func (r *Runner) SetLimits(limits map[task.TeamQueue]task.Limit) {
	r.mu.Lock()
	r.limits = maps.Clone(limits)
	current := r.term
	r.mu.Unlock()
	if current != nil {
		current.update(func(c *task.Controller, _ time.Time) { c.SetLimits(maps.Clone(limits)) })
	}
}

// SetLeaving replaces the set of workers that must not receive new tasks,
// regardless of the host list. Their tasks are checkpointed and moved to other
// workers, except tasks that must not be repeated, which run to their end.
func (r *Runner) SetLeaving(workers []string) {
	leaving := make(map[string]bool, len(workers))
	for _, name := range workers {
		leaving[name] = true
	}
	r.mu.Lock()
	r.leaving = leaving
	current := r.term
	r.mu.Unlock()
	if current != nil {
		current.setLeaving(maps.Clone(leaving))
	}
}

// Drained reports whether the worker, which must have been passed to SetLeaving,
// has no tasks of this shard and will receive none. The result holds as long as
// the returned fence row is unchanged: a transaction that relies on it must
// include the fence as a condition.
func (r *Runner) Drained(worker string) (fence table.Condition, drained bool, err error) {
	current, err := r.currentTerm()
	if err != nil {
		return table.Condition{}, false, err
	}
	return current.fence, current.drained(worker), nil
}

// ActiveAttempts returns the number of attempts that may be running or may still be
// started on the worker. It is 0 if this process does not hold the shard.
func (r *Runner) ActiveAttempts(worker string) int {
	current, err := r.currentTerm()
	if err != nil {
		return 0
	}
	return current.activeAttempts(worker)
}

// Dump is a snapshot of a shard's state in this process.
type Dump struct {
	task.Dump
	Workers []place.WorkerState `json:"workers"`
}

// Dump returns a snapshot. It is empty if this process does not hold the shard.
func (r *Runner) Dump() Dump {
	current, err := r.currentTerm()
	if err != nil {
		return Dump{Dump: task.Dump{Shard: r.cfg.Shard, Superseded: true}}
	}
	return current.dump()
}
