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
// Run campaigns for the shard and manages its tasks while it holds it. Every
// process that may manage the shard runs one; requests go to the holder.
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

// ErrNotHolder means that this process does not manage the shard.
var ErrNotHolder = errors.New("another process manages the shard")

// Objects is the object store; *platform.Client is one.
type Objects interface {
	PutObject(ctx context.Context, name string, data []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// Hosts is the platform's lagging list; *platform.Client is one.
type Hosts interface {
	Hosts(ctx context.Context) ([]platform.Host, error)
}

// Workers calls workers; *worker.Client is one.
type Workers interface {
	Start(ctx context.Context, address netip.AddrPort, start worker.Start) (worker.Status, error)
	Stop(ctx context.Context, address netip.AddrPort, id string, order worker.Order) (worker.Status, error)
	Checkpoint(ctx context.Context, address netip.AddrPort, id string, order worker.Order) (worker.Status, error)
	Throttle(ctx context.Context, address netip.AddrPort, id string, order worker.Order) (worker.Status, error)
	RenewAll(ctx context.Context, address netip.AddrPort, renewal worker.Renewal) (worker.Renewed, error)
	Report(ctx context.Context, address netip.AddrPort) (worker.Report, error)
}

const (
	defaultPatience = 10 * time.Second
	defaultTick     = 50 * time.Millisecond
	defaultListLag  = 5 * time.Second
	beatsInPatience = 4
	hostsEvery      = time.Second
	reportEvery     = 10 * time.Second
	maxCalls        = 128
)

// Config describes one shard's runner. Zero durations mean the defaults.
type Config struct {
	Shard string
	// Pool is the pool of hosts whose workers run the tasks.
	Pool   string
	Queues []string
	// Holder names this process and differs from incarnation to incarnation.
	Holder  string
	Store   table.Store
	Objects Objects
	Hosts   Hosts
	Workers Workers
	Log     *log.Logger
	// Patience is how long a silent holder keeps the shard.
	HeartbeatTimeout time.Duration
	// ListLag is the most that the host list lags behind the truth.
	ListLag      time.Duration
	StepInterval time.Duration
	// Handicap, if set, is how long to let others claim a free shard first; it
	// should grow with the number of shards that this process holds.
	ClaimDelay func() time.Duration
	// Task is handed to the controller; shard, epoch, fence and placer are set.
	Task task.Config
}

// Runner runs one shard. Its methods are safe for concurrent use.
type Runner struct {
	cfg      Config
	election *task.Election

	mu     sync.Mutex
	reign  *reign
	limits map[task.TeamQueue]task.Limit
	// leaving are the workers that must get nothing new.
	leaving map[string]bool
}

// New returns a runner that does nothing until Run.
func New(cfg Config) *Runner {
	if cfg.HeartbeatTimeout == 0 {
		cfg.HeartbeatTimeout = defaultPatience
	}
	if cfg.ListLag == 0 {
		cfg.ListLag = defaultListLag
	}
	if cfg.StepInterval == 0 {
		cfg.StepInterval = defaultTick
	}
	return &Runner{cfg: cfg, election: task.NewElection(task.ElectionConfig{
		Shard: cfg.Shard, Holder: cfg.Holder, HeartbeatTimeout: cfg.HeartbeatTimeout,
	})}
}

// Run campaigns and manages until ctx ends; then it releases the shard.
func (r *Runner) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		fence, epoch, won := r.campaign(ctx)
		if !won {
			r.pause(ctx, r.cfg.HeartbeatTimeout/beatsInPatience)
			continue
		}
		r.cfg.Log.Info("shard taken over", "shard", r.cfg.Shard, "epoch", epoch)
		r.rule(ctx, fence, epoch)
		r.cfg.Log.Info("shard given up", "shard", r.cfg.Shard, "epoch", epoch)
	}
	return ctx.Err()
}

// pause waits, or returns early with ctx.
func (r *Runner) pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// campaign claims the shard if it is free.
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
		// A claim that another made meanwhile makes this one's conditions fail.
		r.pause(ctx, r.cfg.ClaimDelay())
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

// rule manages the shard under one epoch, until it is lost or ctx ends.
func (r *Runner) rule(ctx context.Context, fence table.Condition, epoch uint64) {
	current, err := newReign(ctx, r.cfg, fence, epoch)
	if err != nil {
		r.cfg.Log.Warn("shard cannot be loaded", "shard", r.cfg.Shard, "error", err.Error())
		r.release(ctx, fence)
		return
	}
	r.mu.Lock()
	current.controller.SetLimits(maps.Clone(r.limits))
	current.leaving = maps.Clone(r.leaving)
	r.reign = current
	r.mu.Unlock()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { current.watchHosts(ctx) })
	group.Go(func() {
		defer stop()
		r.beat(ctx, fence)
	})
	current.run(ctx)
	stop()
	group.Wait()
	r.mu.Lock()
	r.reign = nil
	r.mu.Unlock()
	r.release(ctx, fence)
}

// beat commits the heartbeat until ctx ends or another has claimed the shard. A
// heartbeat that fails otherwise is followed by the next.
func (r *Runner) beat(ctx context.Context, fence table.Condition) {
	for ctx.Err() == nil {
		err := r.cfg.Store.Commit(ctx, r.election.Heartbeat(fence, false))
		if table.IsConflict(err) {
			return
		}
		if err != nil && ctx.Err() == nil {
			r.cfg.Log.Warn("heartbeat failed", "shard", r.cfg.Shard, "error", err.Error())
		}
		r.pause(ctx, r.cfg.HeartbeatTimeout/beatsInPatience)
	}
}

// release lets others claim the shard at once. Without it they wait out their
// patience.
func (r *Runner) release(ctx context.Context, fence table.Condition) {
	ctx = context.WithoutCancel(ctx)
	_ = r.cfg.Store.Commit(ctx, r.election.Heartbeat(fence, true))
}

// current returns the present reign.
func (r *Runner) current() (*reign, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reign == nil {
		return nil, errors.Wrapf(ErrNotHolder, "shard %q", r.cfg.Shard)
	}
	return r.reign, nil
}

// Submit asks for a task to be taken and waits for the reply. An error other
// than ErrNotHolder leaves it unknown whether the task is taken; submitting it
// again is harmless.
func (r *Runner) Submit(ctx context.Context, spec task.Spec) (task.Reply, error) {
	return r.ask(ctx, func(c *task.Controller, now time.Time, request uint64) { c.Submit(now, request, spec) })
}

// Cancel asks for a task to be cancelled and waits for the reply.
func (r *Runner) Cancel(ctx context.Context, queue, id string) (task.Reply, error) {
	return r.ask(ctx, func(c *task.Controller, now time.Time, request uint64) { c.Cancel(now, request, queue, id) })
}

// ask makes a request of the present reign's controller.
func (r *Runner) ask(ctx context.Context, request func(*task.Controller, time.Time, uint64)) (task.Reply, error) {
	current, err := r.current()
	if err != nil {
		return task.Reply{}, err
	}
	return current.ask(ctx, request)
}

// Holder returns the claim in force, so that a request can be passed on. Its
// holder may have stopped since.
func (r *Runner) Holder(ctx context.Context) (task.Claim, error) {
	rows, err := r.cfg.Store.Get(ctx, r.election.Keys()...)
	if err != nil {
		return task.Claim{}, err
	}
	return r.election.CurrentClaim(rows), nil
}

// Task returns a task's row, whoever manages the shard.
func (r *Runner) Task(ctx context.Context, queue, id string) (task.Record, bool, error) {
	rows, err := r.cfg.Store.Get(ctx, task.Key(queue, id))
	if err != nil || rows[0].Version == table.Absent {
		return task.Record{}, false, err
	}
	record, err := task.Decode(rows[0])
	return record, err == nil, err
}

// SetLimits replaces the limits of this and later reigns.
func (r *Runner) SetLimits(limits map[task.TeamQueue]task.Limit) {
	r.mu.Lock()
	r.limits = maps.Clone(limits)
	current := r.reign
	r.mu.Unlock()
	if current != nil {
		current.step(func(c *task.Controller, _ time.Time) { c.SetLimits(maps.Clone(limits)) })
	}
}

// SetLeaving replaces the set of workers that must get nothing new, whatever the
// host list says. Their tasks are checkpointed and go elsewhere, but for those
// not to be repeated, which end where they are.
func (r *Runner) SetLeaving(workers []string) {
	leaving := make(map[string]bool, len(workers))
	for _, name := range workers {
		leaving[name] = true
	}
	r.mu.Lock()
	r.leaving = leaving
	current := r.reign
	r.mu.Unlock()
	if current != nil {
		current.setLeaving(maps.Clone(leaving))
	}
}

// Drained reports whether the worker, which must have been told to leave, holds
// nothing of this shard and will be given nothing. That is so as long as the
// returned fence stands: a transaction that relies on it takes it as a condition.
func (r *Runner) Drained(worker string) (fence table.Condition, drained bool, err error) {
	current, err := r.current()
	if err != nil {
		return table.Condition{}, false, err
	}
	return current.fence, current.drained(worker), nil
}

// Dump is a shard's whole state in this process.
type Dump struct {
	task.Dump
	Workers []place.WorkerState `json:"workers"`
}

// Dump returns the state; it is empty unless the shard is held.
func (r *Runner) Dump() Dump {
	current, err := r.current()
	if err != nil {
		return Dump{Dump: task.Dump{Shard: r.cfg.Shard, Superseded: true}}
	}
	return current.dump()
}
