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
	// evacuated are the evacuated data centres that the controller follows.
	evacuated []string
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
	evacuated := cfg.evacuated()
	placer.SetEvacuated(evacuated) // before Load, which may send starts
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
		evacuated:  evacuated,
	}, nil
}

// evacuated returns the evacuated data centres.
func (c Config) evacuated() []string {
	if c.Evacuated == nil {
		return nil
	}
	return c.Evacuated()
}

// followEvacuations passes changed evacuations to the controller. The caller holds
// the lock.
func (t *term) followEvacuations(now time.Time) {
	if evacuated := t.cfg.evacuated(); !slices.Equal(t.evacuated, evacuated) {
		t.evacuated = evacuated
		t.controller.SetEvacuated(now, evacuated)
	}
}

// update changes the controller under the lock and wakes the loop to execute the
// resulting actions.
func (t *term) update(change func(*task.Controller, time.Time)) {
	t.mu.Lock()
	change(t.controller, time.Now())
	t.mu.Unlock()
	t.wakeLoop()
}

// setLeaving replaces the set of workers that must not receive new tasks.
func (t *term) setLeaving(leaving map[string]bool) {
	t.update(func(c *task.Controller, now time.Time) {
		t.leaving = leaving
		for _, name := range slices.Sorted(maps.Keys(leaving)) {
			c.Leave(now, name, true)
		}
	})
}

// drained reports whether the worker is leaving and has no active attempts.
func (t *term) drained(worker string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaving[worker] && t.controller.ActiveAttempts(worker) == 0
}

// activeAttempts returns the number of attempts on the worker.
func (t *term) activeAttempts(worker string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.controller.ActiveAttempts(worker)
}

// isLeaving reports whether the worker must not receive new tasks.
func (t *term) isLeaving(worker string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaving[worker]
}

// dump returns a snapshot of the controller and the placer.
func (t *term) dump() Dump {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Dump{Dump: t.controller.Dump(), Workers: t.placer.Dump()}
}

// wakeLoop wakes the loop of run. It does not block.
func (t *term) wakeLoop() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// run executes the controller's actions until the controller is superseded or ctx
// is cancelled.
func (t *term) run(ctx context.Context) {
	ticker := time.NewTicker(t.cfg.StepInterval)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	defer t.answerOpenRequests()
	for {
		superseded := t.step(ctx, &group)
		if superseded {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-t.wake:
		}
	}
}

// step steps the controller once and starts executing its actions.
func (t *term) step(ctx context.Context, group *sync.WaitGroup) (superseded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.followEvacuations(now)
	for _, action := range t.controller.Step(now) {
		switch action := action.(type) {
		case task.Reply:
			t.deliverReply(action)
		case task.Commit:
			group.Go(func() { t.commit(ctx, action) })
		case task.Read:
			group.Go(func() { t.read(ctx, action) })
		default:
			t.pendingCalls = append(t.pendingCalls, action)
		}
	}
	for len(t.pendingCalls) > 0 && t.activeCalls < maxConcurrentCalls {
		action := t.pendingCalls[0]
		t.pendingCalls = t.pendingCalls[1:]
		t.activeCalls++
		group.Go(func() { t.execute(ctx, action) })
	}
	return t.controller.Superseded()
}

// execute executes one call to a worker or to the object store.
func (t *term) execute(ctx context.Context, action task.Action) {
	defer t.update(func(*task.Controller, time.Time) { t.activeCalls-- })
	switch action := action.(type) {
	case task.Call:
		t.call(ctx, action)
	case task.Poll:
		t.poll(ctx, action)
	case task.Store:
		err := t.cfg.Objects.PutObject(ctx, action.Name, action.Data)
		t.update(func(c *task.Controller, now time.Time) { c.HandleStoreResult(now, action, err == nil) })
	}
}

// commit commits a transaction and passes the result to the controller.
func (t *term) commit(ctx context.Context, action task.Commit) {
	err := t.cfg.Store.Commit(ctx, withCharges(action.Txn))
	result := commitResult(err)
	t.update(func(c *task.Controller, now time.Time) { c.HandleCommitResult(now, action.Number, result) })
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
func (t *term) read(ctx context.Context, action task.Read) {
	rows, err := t.cfg.Store.Get(ctx, action.Keys...)
	t.update(func(c *task.Controller, now time.Time) { c.HandleReadResult(now, action.Number, rows, err == nil) })
}

// request sends a request to the controller and waits for its reply.
func (t *term) request(ctx context.Context, send func(*task.Controller, time.Time, uint64)) (task.Reply, error) {
	reply := make(chan task.Reply, 1)
	t.mu.Lock()
	if t.replies == nil {
		t.mu.Unlock()
		return task.Reply{}, errors.Wrapf(ErrNotHolder, "shard %q", t.cfg.Shard)
	}
	t.lastRequest++
	number := t.lastRequest
	t.replies[number] = reply
	now := time.Now()
	t.followEvacuations(now)
	send(t.controller, now, number)
	t.mu.Unlock()
	t.wakeLoop()
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		t.mu.Lock()
		delete(t.replies, number)
		t.mu.Unlock()
		return task.Reply{}, ctx.Err()
	}
}

// deliverReply passes a reply to its waiting request. The caller holds the lock.
func (t *term) deliverReply(reply task.Reply) {
	waiter, ok := t.replies[reply.Request]
	if !ok {
		return
	}
	delete(t.replies, reply.Request)
	waiter <- reply
}

// answerOpenRequests answers the open requests at the end of the term.
func (t *term) answerOpenRequests() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for number := range t.replies {
		t.deliverReply(task.Reply{Request: number, Outcome: task.Unknown, Reason: task.ReasonManagerMoved})
	}
	t.replies = nil
}
