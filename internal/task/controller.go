// Package task manages the lifecycle of one shard's tasks: it places them on
// workers, starts, polls, throttles and stops them, retries failures, and removes
// the rows of ended tasks.
//
// Each task is a row of the table. A row is written only on condition that its
// version and the shard's fence row are unchanged since they were read, so a
// manager that has lost the shard cannot write. A start request is sent only
// after the placement has been written to the table. It always carries the same
// ID and goes to the same process of the same worker, and a worker runs an ID at
// most once. A task is placed on another worker only after the first worker has
// reported the end of the attempt, or after that worker process is known to be
// gone.
//
// # Usage
//
//	// The fence row already holds this manager's epoch, which must be higher
//	// than all earlier ones.
//	controller := task.New(task.Config{Shard: "pool-a", Epoch: 7, Fence: fence, Placer: placer})
//	// The rows are scans of task.Prefix of each queue, read after the fence write.
//	broken := controller.Load(now, rows)
//	controller.Join(now, place.Worker{...}, incarnation)
//	controller.Submit(now, request, spec)
//	for _, action := range controller.Step(now) {
//		// Execute it and pass the result to HandleCommitResult,
//		// HandleReadResult, HandleCallResult, HandlePollResult or
//		// HandleStoreResult. A Reply completes a Submit or Cancel request.
//	}
//
// The result of every action but Reply must be passed back, also if it failed.
// Call Step after each result and at least every 100 ms. A Controller is not
// safe for concurrent use. It reads no clock: the time is an argument.
package task

import (
	"container/heap"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/place"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// Placer chooses workers for tasks. It is implemented by *place.Placer.
type Placer interface {
	Join(worker place.Worker)
	Leave(worker string)
	Remove(worker string)
	SetSilent(worker string, silent bool)
	SetEvacuated(dataCentres []string)
	IsEvacuated(worker string) bool
	Fits(declared place.Size) (fits, known bool)
	FitsOnlyEvacuated(declared place.Size) bool
	Choose(now time.Time, demand place.Demand) place.Decision
	Place(now time.Time, demand place.Demand, worker string)
	ReportUsage(now time.Time, task string, usage place.Size)
	Release(now time.Time, task string, result place.Result)
	Forget(task string)
	Unthrottle(now time.Time) []string
	ExpectedRunTime(queue string, declared time.Duration) time.Duration
}

// Config configures a Controller. Zero durations and counts mean the defaults.
type Config struct {
	Shard string
	Epoch uint64
	// Fence is the condition that the shard's fence row is unchanged. A later
	// manager of the shard changes that row.
	Fence  table.Condition
	Placer Placer
	// Lease is how long a worker runs a task without a renewal from a manager.
	Lease time.Duration
	// RetryAfter is the delay before an unanswered call is retried.
	RetryAfter time.Duration
	// CommitInterval is the mean time between transactions of up to 100 rows each.
	// A few may follow each other without a pause.
	CommitInterval time.Duration
	// RetentionPeriod is how long the row of an ended task is kept.
	RetentionPeriod time.Duration
	// MaxFailedWorkers is the number of different workers on which a task may fail
	// before it is given up.
	MaxFailedWorkers int
	// MaxFailures is the total number of failures after which a task is given up.
	MaxFailures int
	// MaxInlineBytes is the maximum size of a body or result stored in the row.
	MaxInlineBytes int
}

const (
	defaultLease            = 30 * time.Second
	defaultRetryAfter       = 500 * time.Millisecond
	defaultCommitInterval   = 200 * time.Millisecond
	defaultRetentionPeriod  = 24 * time.Hour
	defaultMaxFailedWorkers = 3
	defaultMaxFailures      = 5
	defaultMaxInlineBytes   = 4096
	maxBatchRows            = 100
	commitBurst             = 5
)

// withDefaults replaces zero values by the defaults.
func (c Config) withDefaults() Config {
	c.Lease = orDefault(c.Lease, defaultLease)
	c.RetryAfter = orDefault(c.RetryAfter, defaultRetryAfter)
	c.CommitInterval = orDefault(c.CommitInterval, defaultCommitInterval)
	c.RetentionPeriod = orDefault(c.RetentionPeriod, defaultRetentionPeriod)
	c.MaxFailedWorkers = orDefault(c.MaxFailedWorkers, defaultMaxFailedWorkers)
	c.MaxFailures = orDefault(c.MaxFailures, defaultMaxFailures)
	c.MaxInlineBytes = orDefault(c.MaxInlineBytes, defaultMaxInlineBytes)
	return c
}

// orDefault returns value, or fallback if value is zero.
func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// Controller is the state machine that manages the tasks of one shard.
type Controller struct {
	cfg            Config
	items          map[string]*item
	waitingByClass map[place.Class]*waitingTasks
	running        map[TeamQueue]int
	openTasks      map[TeamQueue]int
	// attemptsByWorker counts, per worker, the attempts that may be running or may
	// still be started there.
	attemptsByWorker map[string]int
	limits           map[TeamQueue]Limit
	workers          map[string]*workerState
	workerNames      []string
	timers           timerHeap
	dirty            [][]*item
	batch            *batch
	lastBatch        uint64
	lastWrite        uint64
	nextCommitAt     time.Time
	backoff          time.Duration
	// nextScheduleAt is the earliest time of the next attempt to place waiting
	// tasks.
	nextScheduleAt time.Time
	actions        []Action
	superseded     bool
}

// item is a task with this manager's in-memory state about it.
type item struct {
	record  Record
	version uint64
	// pending is the write that is not known to be in the table yet.
	pending  *Record
	remove   bool
	dirty    bool
	inflight bool
	// uncertain is set if an earlier write of the submission may still be applied.
	uncertain bool
	waiters   []uint64

	// digest identifies the spec, whose body is dropped once the task has ended.
	digest         uint64
	open           bool
	cancel         bool
	waiting        bool
	wakeAt         time.Time
	countedRunning bool
	reservedOn     string
	// starts counts the start requests that this manager has sent for the attempt.
	starts int
	// runningSince is when this manager first observed that the attempt runs.
	runningSince    time.Time
	nextCallAt      time.Time
	lostAt          time.Time
	checkpoint      bool
	unknownToWorker bool
	rate            float64
	targetRate      float64
	// storingResult is the answer whose result is being written to the object
	// store.
	storingResult *Answer
}

// current returns the record with the pending write applied.
func (it *item) current() Record {
	if it.pending != nil {
		return *it.pending
	}
	return it.record
}

// New returns a controller without tasks.
func New(cfg Config) *Controller {
	c := &Controller{
		cfg:              cfg.withDefaults(),
		items:            make(map[string]*item),
		waitingByClass:   make(map[place.Class]*waitingTasks),
		running:          make(map[TeamQueue]int),
		openTasks:        make(map[TeamQueue]int),
		attemptsByWorker: make(map[string]int),
		workers:          make(map[string]*workerState),
		dirty:            make([][]*item, len(place.Classes())),
	}
	for _, class := range place.Classes() {
		c.waitingByClass[class] = newWaitingTasks()
	}
	return c
}

// Load adds the tasks of the shard's queues. The rows must have been read after
// the fence row was written. Load returns the keys of rows that are not valid
// tasks.
func (c *Controller) Load(now time.Time, rows []table.Row) []string {
	var broken []string
	for _, row := range rows {
		record, err := Decode(row)
		if err != nil {
			broken = append(broken, row.Key)
			continue
		}
		it := &item{rate: 1, targetRate: 1}
		c.items[record.Name()] = it
		c.applyRecord(now, it, record, row.Version)
		c.reconcile(now, it)
	}
	return broken
}

// Step advances the controller to now and returns the actions to execute.
func (c *Controller) Step(now time.Time) []Action {
	if !c.superseded {
		c.runTimers(now)
		c.schedule(now)
		c.restoreThrottled(now)
		c.poll(now)
		c.flush(now)
	}
	actions := c.actions
	c.actions = nil
	return actions
}

// Superseded reports whether another manager has taken the shard over. By then
// every open request has been answered, and Step has no further effect.
func (c *Controller) Superseded() bool {
	return c.superseded
}

// Task returns the record of a task that is known to be in the table.
func (c *Controller) Task(queue, id string) (Record, bool) {
	it, ok := c.items[queue+"/"+id]
	if !ok || it.version == table.Absent {
		return Record{}, false
	}
	return it.record, true
}

// supersede stops the controller: it drops the queued actions other than replies
// and answers all open requests.
func (c *Controller) supersede() {
	if c.superseded {
		return
	}
	c.superseded = true
	c.actions = slices.DeleteFunc(c.actions, func(action Action) bool {
		_, isReply := action.(Reply)
		return !isReply
	})
	for _, name := range sortedNames(c.items) {
		c.reply(c.items[name], Unknown, ReasonManagerMoved, c.cfg.RetryAfter)
	}
}

// emit queues an action to be returned by Step.
func (c *Controller) emit(action Action) {
	c.actions = append(c.actions, action)
}

// timer is the time at which an item is to be reconciled again.
type timer struct {
	at   time.Time
	name string
}

// timerHeap is a min-heap of timers by time.
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

// wake schedules a reconciliation of the item at that time, unless an earlier one
// is already scheduled.
func (c *Controller) wake(it *item, at time.Time) {
	if !it.wakeAt.IsZero() && !it.wakeAt.After(at) {
		return
	}
	it.wakeAt = at
	heap.Push(&c.timers, timer{at: at, name: it.current().Name()})
}

// runTimers reconciles the items whose timers are due.
func (c *Controller) runTimers(now time.Time) {
	for len(c.timers) > 0 && !c.timers[0].at.After(now) {
		due := heap.Pop(&c.timers).(timer)
		it, ok := c.items[due.name]
		if !ok || !it.wakeAt.Equal(due.at) {
			continue
		}
		it.wakeAt = time.Time{}
		c.reconcile(now, it)
	}
}
