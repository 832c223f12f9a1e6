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

// reign is the time of one process as the manager of a shard.
type reign struct {
	cfg   Config
	fence table.Condition
	// wake asks for a step before the next tick.
	wake chan struct{}

	mu         sync.Mutex
	controller *task.Controller
	placer     *place.Placer
	requests   uint64
	replies    map[uint64]chan task.Reply
	addresses  map[string]netip.AddrPort
	leaving    map[string]bool
	// pending are calls to workers beyond those that are on their way.
	pending []task.Action
	calls   int
}

// newReign loads the shard's rows under the fence.
func newReign(ctx context.Context, cfg Config, fence table.Condition, epoch uint64) (*reign, error) {
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
			return nil, errors.Wrapf(err, "queue %q", queue)
		}
		for _, key := range controller.Load(time.Now(), rows) {
			cfg.Log.Error("row is not a task", "key", key)
		}
	}
	return &reign{
		cfg:        cfg,
		fence:      fence,
		wake:       make(chan struct{}, 1),
		controller: controller,
		placer:     placer,
		replies:    make(map[uint64]chan task.Reply),
		addresses:  make(map[string]netip.AddrPort),
	}, nil
}

// step changes the controller and asks for its actions to be carried out.
func (r *reign) step(change func(*task.Controller, time.Time)) {
	r.mu.Lock()
	change(r.controller, time.Now())
	r.mu.Unlock()
	r.poke()
}

// setLeaving replaces the workers that must get nothing new.
func (r *reign) setLeaving(leaving map[string]bool) {
	r.step(func(c *task.Controller, now time.Time) {
		r.leaving = leaving
		for _, name := range slices.Sorted(maps.Keys(leaving)) {
			c.Leave(now, name, true)
		}
	})
}

// drained reports whether a leaving worker holds nothing.
func (r *reign) drained(worker string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving[worker] && r.controller.ActiveAttempts(worker) == 0
}

// isLeaving reports whether the worker must get nothing new.
func (r *reign) isLeaving(worker string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving[worker]
}

// dump returns the state of the controller and of the placer.
func (r *reign) dump() Dump {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Dump{Dump: r.controller.Dump(), Workers: r.placer.Dump()}
}

// poke wakes the loop without waiting for it.
func (r *reign) poke() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run carries out the controller's actions until it is deposed or ctx ends.
func (r *reign) run(ctx context.Context) {
	ticker := time.NewTicker(r.cfg.StepInterval)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	defer r.abandon()
	for {
		deposed := r.turn(ctx, &group)
		if deposed {
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

// turn steps the controller once and starts its actions.
func (r *reign) turn(ctx context.Context, group *sync.WaitGroup) (deposed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, action := range r.controller.Step(time.Now()) {
		switch action := action.(type) {
		case task.Reply:
			r.answer(action)
		case task.Commit:
			group.Go(func() { r.commit(ctx, action) })
		case task.Read:
			group.Go(func() { r.read(ctx, action) })
		default:
			r.pending = append(r.pending, action)
		}
	}
	for len(r.pending) > 0 && r.calls < maxCalls {
		action := r.pending[0]
		r.pending = r.pending[1:]
		r.calls++
		group.Go(func() { r.carryOut(ctx, action) })
	}
	return r.controller.Superseded()
}

// carryOut carries out one call to a worker or to the object store.
func (r *reign) carryOut(ctx context.Context, action task.Action) {
	defer r.step(func(*task.Controller, time.Time) { r.calls-- })
	switch action := action.(type) {
	case task.Call:
		r.call(ctx, action)
	case task.Poll:
		r.poll(ctx, action)
	case task.Store:
		err := r.cfg.Objects.PutObject(ctx, action.Name, action.Data)
		r.step(func(c *task.Controller, now time.Time) { c.HandleStoreResult(now, action, err == nil) })
	}
}

// commit applies a transaction.
func (r *reign) commit(ctx context.Context, action task.Commit) {
	err := r.cfg.Store.Commit(ctx, withCharges(action.Txn))
	result := commitResult(err)
	r.step(func(c *task.Controller, now time.Time) { c.HandleCommitResult(now, action.Number, result) })
}

// commitResult maps the errors of table.Store.
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

// read reads rows.
func (r *reign) read(ctx context.Context, action task.Read) {
	rows, err := r.cfg.Store.Get(ctx, action.Keys...)
	r.step(func(c *task.Controller, now time.Time) { c.HandleReadResult(now, action.Number, rows, err == nil) })
}

// ask makes a request and waits for its reply.
func (r *reign) ask(ctx context.Context, request func(*task.Controller, time.Time, uint64)) (task.Reply, error) {
	reply := make(chan task.Reply, 1)
	r.mu.Lock()
	if r.replies == nil {
		r.mu.Unlock()
		return task.Reply{}, errors.Wrapf(ErrNotHolder, "shard %q", r.cfg.Shard)
	}
	r.requests++
	number := r.requests
	r.replies[number] = reply
	request(r.controller, time.Now(), number)
	r.mu.Unlock()
	r.poke()
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

// answer hands a reply to its request; the caller holds the lock.
func (r *reign) answer(reply task.Reply) {
	waiting, ok := r.replies[reply.Request]
	if !ok {
		return
	}
	delete(r.replies, reply.Request)
	waiting <- reply
}

// abandon answers what is left open when the reign ends.
func (r *reign) abandon() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for number := range r.replies {
		r.answer(task.Reply{Request: number, Outcome: task.Unknown, Reason: task.ReasonManagerMoved})
	}
	r.replies = nil
}
