package runner

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/place"
	"github.com/lovagedyke/lovagedyke/internal/table"
	"github.com/lovagedyke/lovagedyke/internal/task"
)

// term is one leadership term of this process as the manager of a shard.
type term struct {
	cfg   Config
	fence table.Condition
	// wake triggers a step before the next tick.
	wake chan struct{}

	mu          sync.Mutex
	controller  *task.Controller
	placer      *place.Placer
	lastRequest uint64
	replies     map[uint64]chan task.Reply
	addresses   map[string]netip.AddrPort
	leaving     map[string]bool
	// pendingCalls are actions that wait because maxConcurrentCalls are active.
	pendingCalls []task.Action
	activeCalls  int
}

// newTerm creates a controller for the epoch and loads the shard's rows.
func newTerm(ctx context.Context, cfg Config, fence table.Condition, epoch uint64) (*term, error) {
	taskConfig := cfg.Task
	taskConfig.Shard = cfg.Shard
	taskConfig.Fence = fence
	taskConfig.Epoch = epoch
	placer := place.New(place.Config{})
	taskConfig.Placer = placer
	controller := task.New(taskConfig)
	for _, queue := range cfg.Queues {
		rows, err := cfg.Store.Scan(ctx, task.Prefix(queue))
		if err != nil {
			return nil, errors.Wrapf(err, "scan the task rows of queue %q", queue)
		}
		for _, key := range controller.Load(time.Now(), rows) {
			cfg.Log.Error("task row cannot be decoded, skipped", "key", key)
		}
	}
	return &term{
		cfg:        cfg,
		fence:      fence,
		wake:       make(chan struct{}, 1),
		controller: controller,
		placer:     placer,
		replies:    make(map[uint64]chan task.Reply),
		addresses:  make(map[string]netip.AddrPort),
	}, nil
}

// update changes the controller under the lock and wakes the loop to execute the
// resulting actions.
func (r *term) update(change func(*task.Controller, time.Time)) {
	r.mu.Lock()
	change(r.controller, time.Now())
	r.mu.Unlock()
	r.wakeLoop()
}

// setLeaving replaces the set of workers that must not receive new tasks.
func (r *term) setLeaving(leaving map[string]bool) {
	r.update(func(c *task.Controller, now time.Time) {
		r.leaving = leaving
		for _, name := range slices.Sorted(maps.Keys(leaving)) {
			c.Leave(now, name, true)
		}
	})
}

// drained reports whether the worker is leaving and has no active attempts.
func (r *term) drained(worker string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving[worker] && r.controller.ActiveAttempts(worker) == 0
}

// isLeaving reports whether the worker must not receive new tasks.
func (r *term) isLeaving(worker string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving[worker]
}

// dump returns a snapshot of the controller and the placer.
func (r *term) dump() Dump {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Dump{Dump: r.controller.Dump(), Workers: r.placer.Dump()}
}

// wakeLoop wakes the loop of run. It does not block.
func (r *term) wakeLoop() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run executes the controller's actions until the controller is superseded or ctx
// is cancelled.
func (r *term) run(ctx context.Context) {
	ticker := time.NewTicker(r.cfg.StepInterval)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	defer r.answerOpenRequests()
	for {
		superseded := r.step(ctx, &group)
		if superseded {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.wake:
		}
	}
}

// step steps the controller once and starts executing its actions.
func (r *term) step(ctx context.Context, group *sync.WaitGroup) (superseded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, action := range r.controller.Step(time.Now()) {
		switch action := action.(type) {
		case task.Reply:
			r.deliverReply(action)
		case task.Commit:
			group.Go(func() { r.commit(ctx, action) })
		case task.Read:
			group.Go(func() { r.read(ctx, action) })
		default:
			r.pendingCalls = append(r.pendingCalls, action)
		}
	}
	for len(r.pendingCalls) > 0 && r.activeCalls < maxConcurrentCalls {
		action := r.pendingCalls[0]
		r.pendingCalls = r.pendingCalls[1:]
		r.activeCalls++
		group.Go(func() { r.execute(ctx, action) })
	}
	return r.controller.Superseded()
}

// execute executes one call to a worker or to the object store.
func (r *term) execute(ctx context.Context, action task.Action) {
	defer r.update(func(*task.Controller, time.Time) { r.activeCalls-- })
	switch action := action.(type) {
	case task.Call:
		r.call(ctx, action)
	case task.Poll:
		r.poll(ctx, action)
	case task.Store:
		err := r.cfg.Objects.PutObject(ctx, action.Name, action.Data)
		r.update(func(c *task.Controller, now time.Time) { c.HandleStoreResult(now, action, err == nil) })
	}
}

// commit commits a transaction and passes the result to the controller.
func (r *term) commit(ctx context.Context, action task.Commit) {
	err := r.cfg.Store.Commit(ctx, withCharges(action.Txn))
	result := commitResult(err)
	r.update(func(c *task.Controller, now time.Time) { c.HandleCommitResult(now, action.Number, result) })
}

// commitResult converts an error of table.Store.
func commitResult(err error) task.CommitResult {
	switch {
	case err == nil:
		return task.CommitApplied
	case table.IsConflict(err):
		return task.CommitConflict
	case errors.Is(err, table.ErrUnavailable):
		return task.CommitUnavailable
	default:
		return task.CommitUnknown
	}
}

// read reads rows and passes them to the controller.
func (r *term) read(ctx context.Context, action task.Read) {
	rows, err := r.cfg.Store.Get(ctx, action.Keys...)
	r.update(func(c *task.Controller, now time.Time) { c.HandleReadResult(now, action.Number, rows, err == nil) })
}

// request sends a request to the controller and waits for its reply.
func (r *term) request(ctx context.Context, send func(*task.Controller, time.Time, uint64)) (task.Reply, error) {
	reply := make(chan task.Reply, 1)
	r.mu.Lock()
	if r.replies == nil {
		r.mu.Unlock()
		return task.Reply{}, errors.Wrapf(ErrNotHolder, "shard %q", r.cfg.Shard)
	}
	r.lastRequest++
	number := r.lastRequest
	r.replies[number] = reply
	send(r.controller, time.Now(), number)
	r.mu.Unlock()
	r.wakeLoop()
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		r.mu.Lock()
		delete(r.replies, number)
		r.mu.Unlock()
		return task.Reply{}, ctx.Err()
	}
}

// deliverReply passes a reply to its waiting request. The caller holds the lock.
func (r *term) deliverReply(reply task.Reply) {
	waiter, ok := r.replies[reply.Request]
	if !ok {
		return
	}
	delete(r.replies, reply.Request)
	waiter <- reply
}

// answerOpenRequests answers the open requests at the end of the term.
func (r *term) answerOpenRequests() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for number := range r.replies {
		r.deliverReply(task.Reply{Request: number, Outcome: task.Unknown, Reason: task.ReasonManagerMoved})
	}
	r.replies = nil
}
