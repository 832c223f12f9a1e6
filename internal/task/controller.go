// Package task decides the life of the tasks of one shard: which are placed,
// started, asked after, stopped, given up and removed.
//
// Each task is a row of the table. A row is written only on condition that it
// still has the version that was read and that the shard's fence row is
// unchanged, so that a manager that lost the shard can write nothing. A start
// goes out only after its placement is in the table, always under the same id
// to the same process of the same worker, and a worker runs an id at most once.
// A task is placed elsewhere only once its worker said that the attempt has
// ended, or once that process of the worker is known to be gone.
//
// # Usage
//
//	// After the fence row was written with this manager's epoch, which is higher
//	// than any before it:
//	controller := task.New(task.Config{Shard: "pool-a", Epoch: 7, Fence: fence, Placer: placer})
//	broken := controller.Load(now, rows) // a scan of task.Prefix of each queue, read after that write
//	controller.Join(now, place.Worker{...}, incarnation)
//	controller.Submit(now, request, spec)
//	for _, action := range controller.Step(now) {
//		// Carry it out, and report its end to Committed, Read, Called, Polled
//		// or Stored. A Reply ends a request of Submit or Cancel.
//	}
//
// Every action must be reported on, also when it failed.
// Step is called after each report and at least every 100 ms. A Controller is
// not safe for concurrent use; time is an argument.
package task

import (
	"container/heap"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/place"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// Placer chooses workers; *place.Placer is one.
type Placer interface {
	Join(worker place.Worker)
	Leave(worker string)
	Remove(worker string)
	SetSilent(worker string, silent bool)
	Fits(declared place.Size) (fits, known bool)
	Choose(now time.Time, demand place.Demand) place.Decision
	Place(now time.Time, demand place.Demand, worker string)
	ReportUsage(now time.Time, task string, usage place.Size)
	Release(now time.Time, task string, result place.Result)
	Forget(task string)
	Unthrottle(now time.Time) []string
	ExpectedRunTime(queue string, declared time.Duration) time.Duration
}

// Config describes a shard under one manager's epoch. Zero durations and counts
// mean the defaults.
type Config struct {
	Shard string
	Epoch uint64
	// Fence is the row that a later manager of the shard will have changed.
	Fence  table.Condition
	Placer Placer
	// Lease is how long a worker runs a task without hearing from a manager.
	Lease time.Duration
	// RetryAfter is the wait before a call without an answer is made again.
	RetryAfter time.Duration
	// CommitEvery is the mean time between transactions of up to 100 rows; a few
	// may follow each other at once.
	CommitInterval time.Duration
	// Retain is how long the row of an ended task is kept.
	RetentionPeriod time.Duration
	// MaxWorkers is the number of workers on which a task may fail.
	MaxFailedWorkers int
	// MaxFailures is the number of failures of a task on any workers.
	MaxFailures int
	// MaxInline bounds the bytes of a body or a result in a row.
	MaxInlineBytes int
}

const (
	defaultLease       = 30 * time.Second
	defaultRetryAfter  = 500 * time.Millisecond
	defaultCommitEvery = 200 * time.Millisecond
	defaultRetain      = 24 * time.Hour
	defaultMaxWorkers  = 3
	defaultMaxFailures = 5
	defaultMaxInline   = 4096
	maxBatchRows       = 100
	commitBurst        = 5
)

// withDefaults fills in what is zero.
func (c Config) withDefaults() Config {
	c.Lease = orDefault(c.Lease, defaultLease)
	c.RetryAfter = orDefault(c.RetryAfter, defaultRetryAfter)
	c.CommitInterval = orDefault(c.CommitInterval, defaultCommitEvery)
	c.RetentionPeriod = orDefault(c.RetentionPeriod, defaultRetain)
	c.MaxFailedWorkers = orDefault(c.MaxFailedWorkers, defaultMaxWorkers)
	c.MaxFailures = orDefault(c.MaxFailures, defaultMaxFailures)
	c.MaxInlineBytes = orDefault(c.MaxInlineBytes, defaultMaxInline)
	return c
}

// orDefault returns value unless it is zero.
func orDefault[T comparable](value, standard T) T {
	var zero T
	if value == zero {
		return standard
	}
	return value
}

// Controller holds the tasks of one shard.
type Controller struct {
	cfg     Config
	items   map[string]*item
	lanes   map[place.Class]*laneSet
	running map[TeamQueue]int
	open    map[TeamQueue]int
	// heldAt counts the attempts on each worker that may run or be started there.
	heldAt   map[string]int
	limits   map[TeamQueue]Limit
	links    map[string]*link
	names    []string
	timers   timerHeap
	dirty    [][]*item
	batch    *batch
	batches  uint64
	writes   uint64
	commitAt time.Time
	backoff  time.Duration
	// scheduleAt is when waiting tasks are next looked at.
	scheduleAt time.Time
	actions    []Action
	deposed    bool
}

// item is a task with what this manager is doing about it.
type item struct {
	record  Record
	version uint64
	// next is the write that is wanted but not known to be in the table.
	next     *Record
	remove   bool
	dirty    bool
	inflight bool
	// uncertain is set when an earlier write of the submission may yet land.
	uncertain bool
	waiters   []uint64

	// digest stands for the spec, whose body is not kept once the task has ended.
	digest  uint64
	open    bool
	cancel  bool
	waiting bool
	wakeAt  time.Time
	counted bool
	heldAt  string
	// starts is the number of starts that this manager sent for the attempt.
	starts int
	// runsAt is when this manager learned that the attempt runs.
	runsAt     time.Time
	callAt     time.Time
	lostAt     time.Time
	checkpoint bool
	forgotten  bool
	rate       float64
	wantRate   float64
	// result is the answer whose result is being put into the object store.
	result *Answer
}

// current is the record as it will be once the wanted write is made.
func (it *item) current() Record {
	if it.next != nil {
		return *it.next
	}
	return it.record
}

// New returns a controller without tasks.
func New(cfg Config) *Controller {
	c := &Controller{
		cfg:     cfg.withDefaults(),
		items:   make(map[string]*item),
		lanes:   make(map[place.Class]*laneSet),
		running: make(map[TeamQueue]int),
		open:    make(map[TeamQueue]int),
		heldAt:  make(map[string]int),
		links:   make(map[string]*link),
		dirty:   make([][]*item, len(place.Classes())),
	}
	for _, class := range place.Classes() {
		c.lanes[class] = newLaneSet()
	}
	return c
}

// Load takes in the rows of the shard's queues. They must have been read after
// the fence row was written. It returns the keys of rows that are not tasks.
func (c *Controller) Load(now time.Time, rows []table.Row) []string {
	var broken []string
	for _, row := range rows {
		record, err := Decode(row)
		if err != nil {
			broken = append(broken, row.Key)
			continue
		}
		it := &item{rate: 1, wantRate: 1}
		c.items[record.Name()] = it
		c.adopt(now, it, record, row.Version)
		c.act(now, it)
	}
	return broken
}

// Step returns what there is to do at now.
func (c *Controller) Step(now time.Time) []Action {
	if !c.deposed {
		c.runTimers(now)
		c.schedule(now)
		c.restore(now)
		c.poll(now)
		c.flush(now)
	}
	actions := c.actions
	c.actions = nil
	return actions
}

// Deposed reports whether another manager has taken the shard over. Every
// request that was open has then been answered, and Step does nothing more.
func (c *Controller) Superseded() bool {
	return c.deposed
}

// Task returns a task's record as known to be in the table.
func (c *Controller) Task(queue, id string) (Record, bool) {
	it, ok := c.items[queue+"/"+id]
	if !ok || it.version == table.Absent {
		return Record{}, false
	}
	return it.record, true
}

// depose ends this controller's say over the shard.
func (c *Controller) depose() {
	if c.deposed {
		return
	}
	c.deposed = true
	c.actions = slices.DeleteFunc(c.actions, func(action Action) bool {
		_, isReply := action.(Reply)
		return !isReply
	})
	for _, name := range sortedNames(c.items) {
		c.reply(c.items[name], Unknown, ReasonManagerMoved, c.cfg.RetryAfter)
	}
}

// emit queues an action for the end of the step.
func (c *Controller) emit(action Action) {
	c.actions = append(c.actions, action)
}

// timer is a time at which to look at an item again.
type timer struct {
	at   time.Time
	name string
}

// timerHeap orders timers by time.
type timerHeap []timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].name < h[j].name
	}
	return h[i].at.Before(h[j].at)
}

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(value any) { *h = append(*h, value.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}

// wake looks at the item again at that time, or earlier if that is due before.
func (c *Controller) wake(it *item, at time.Time) {
	if !it.wakeAt.IsZero() && !it.wakeAt.After(at) {
		return
	}
	it.wakeAt = at
	heap.Push(&c.timers, timer{at: at, name: it.current().Name()})
}

// runTimers looks at the items whose time has come.
func (c *Controller) runTimers(now time.Time) {
	for len(c.timers) > 0 && !c.timers[0].at.After(now) {
		due := heap.Pop(&c.timers).(timer)
		it, ok := c.items[due.name]
		if !ok || !it.wakeAt.Equal(due.at) {
			continue
		}
		it.wakeAt = time.Time{}
		c.act(now, it)
	}
}
