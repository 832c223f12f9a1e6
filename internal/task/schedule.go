package task

import (
	"slices"
	"strings"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/place"
)

const (
	// scheduleInterval is the minimum time between attempts to place the backlog,
	// unless capacity was released.
	scheduleInterval = 100 * time.Millisecond
	// maxLookAhead is how many tasks at the head of a team queue are tried, so that
	// one that fits nowhere doesn't block those behind it.
	maxLookAhead = 8
	// exhaustedRetryDelay is the delay before a task that has failed on all fitting
	// workers may return to one of them.
	exhaustedRetryDelay = 5 * time.Second
)

// TeamQueue identifies one team's tasks in one queue.
type TeamQueue struct {
	Queue string `json:"queue"`
	Team  string `json:"team"`
}

// Limit bounds a team queue. Zero values mean no limit on running tasks, 10,000
// open tasks and a weight of 1.
type Limit struct {
	// MaxRunning is the maximum number of tasks that are placed or running.
	MaxRunning int
	// Closed prevents further starts, regardless of MaxRunning.
	Closed  bool
	MaxOpen int
	// Weight is the team queue's relative share when tasks compete.
	Weight float64
}

// SetLimits replaces the limits. Lowering a limit doesn't stop running tasks.
func (c *Controller) SetLimits(limits map[TeamQueue]Limit) {
	c.limits = limits
	c.nextScheduleAt = time.Time{}
}

// limit returns a team queue's limit with defaults applied.
func (c *Controller) limit(key TeamQueue) Limit {
	limit := c.limits[key]
	limit.MaxOpen = orDefault(limit.MaxOpen, defaultMaxOpen)
	limit.Weight = orDefault(limit.Weight, 1)
	return limit
}

// teamQueueOf returns the team queue of a record.
func teamQueueOf(record Record) TeamQueue {
	return TeamQueue{Queue: record.Queue, Team: record.Team}
}

// waitingTasks holds the waiting tasks of one class by team queue.
type waitingTasks struct {
	queues map[TeamQueue][]*item
	keys   []TeamQueue
}

// newWaitingTasks returns an empty set of team queues.
func newWaitingTasks() *waitingTasks {
	return &waitingTasks{queues: make(map[TeamQueue][]*item)}
}

// add appends an item to its team queue.
func (s *waitingTasks) add(key TeamQueue, it *item) {
	if _, known := s.queues[key]; !known {
		at, _ := slices.BinarySearchFunc(s.keys, key, compareTeamQueues)
		s.keys = slices.Insert(s.keys, at, key)
	}
	s.queues[key] = append(s.queues[key], it)
}

// len returns the number of tasks in a team queue.
func (s *waitingTasks) len(key TeamQueue) int {
	return len(s.queues[key])
}

// head returns up to maxLookAhead waiting items from the front of a team queue.
// It removes items that no longer wait, and the team queue if it becomes empty.
func (s *waitingTasks) head(key TeamQueue) []*item {
	queue := s.queues[key]
	for len(queue) > 0 && queue[0].notWaiting() {
		queue = queue[1:]
	}
	s.queues[key] = queue
	if slices.ContainsFunc(queue[:min(len(queue), maxLookAhead)], (*item).notWaiting) {
		queue = slices.DeleteFunc(queue, (*item).notWaiting)
		s.queues[key] = queue
	}
	if len(queue) > 0 {
		return slices.Clone(queue[:min(len(queue), maxLookAhead)])
	}
	delete(s.queues, key)
	at, found := slices.BinarySearchFunc(s.keys, key, compareTeamQueues)
	if found {
		s.keys = slices.Delete(s.keys, at, at+1)
	}
	return nil
}

// notWaiting reports whether the item no longer waits for a worker.
func (it *item) notWaiting() bool {
	return !it.waiting
}

// compareTeamQueues orders team queues by queue and team.
func compareTeamQueues(a, b TeamQueue) int {
	if order := strings.Compare(a.Queue, b.Queue); order != 0 {
		return order
	}
	return strings.Compare(a.Team, b.Team)
}

// enqueue adds the item to the tasks waiting for a worker.
func (c *Controller) enqueue(now time.Time, it *item) {
	if it.waiting {
		return
	}
	it.waiting = true
	c.waitingByClass[knownClass(it.record.Class)].add(teamQueueOf(it.record), it)
	if it.record.Class == place.Urgent {
		c.nextScheduleAt = now
	}
}

// schedule places waiting tasks by class. Within a class, the team queue with the
// fewest running tasks relative to its weight is served first.
func (c *Controller) schedule(now time.Time) {
	if now.Before(c.nextScheduleAt) {
		return
	}
	c.nextScheduleAt = now.Add(scheduleInterval)
	budget := maxBatchRows
	for _, class := range place.Classes() {
		tasks := c.waitingByClass[class]
		open := slices.Clone(tasks.keys)
		for budget > 0 && len(open) > 0 {
			next := c.leastServed(open)
			if c.placeOne(now, tasks, open[next]) {
				budget--
				continue
			}
			open = slices.Delete(open, next, next+1)
		}
	}
}

// leastServed returns the index of the team queue with the fewest running tasks
// relative to its weight.
func (c *Controller) leastServed(open []TeamQueue) int {
	least := 0
	for i, key := range open {
		if c.runningPerWeight(key) < c.runningPerWeight(open[least]) {
			least = i
		}
	}
	return least
}

// runningPerWeight returns a team queue's running tasks divided by its weight.
func (c *Controller) runningPerWeight(key TeamQueue) float64 {
	return float64(c.running[key]) / c.limit(key).Weight
}

// placeOne places the first task at the head of the team queue for which there is
// a worker.
func (c *Controller) placeOne(now time.Time, tasks *waitingTasks, key TeamQueue) bool {
	limit := c.limit(key)
	if limit.Closed || limit.MaxRunning > 0 && c.running[key] >= limit.MaxRunning {
		return false
	}
	for _, it := range tasks.head(key) {
		if it.waiting && c.tryPlace(now, it) {
			return true
		}
	}
	return false
}

// tryPlace asks the placer for a worker and applies its decision.
func (c *Controller) tryPlace(now time.Time, it *item) bool {
	wanted := demand(now, it.record)
	decision := c.cfg.Placer.Choose(now, wanted)
	if decision.Outcome == place.Exhausted {
		// The task has failed on every fitting worker. These are too few to tell
		// whether the task is at fault, so after a delay it may return to one.
		if now.Before(it.record.Changed.Add(exhaustedRetryDelay)) {
			return false
		}
		wanted.Avoid = nil
		decision = c.cfg.Placer.Choose(now, wanted)
	}
	for _, name := range decision.Checkpoint {
		c.updateItem(now, name, func(victim *item) { victim.checkpoint = true })
	}
	for _, name := range decision.Throttle {
		c.updateItem(now, name, func(victim *item) { victim.targetRate = place.ThrottledRate })
	}
	worker, known := c.workers[decision.Worker]
	if decision.Outcome != place.Placed || !known || worker.incarnation == "" {
		return false
	}
	record := it.record
	record.State = Placed
	record.Attempts++
	record.Attempt = &Attempt{
		Number:      record.Attempts,
		Worker:      decision.Worker,
		Incarnation: worker.incarnation,
		Epoch:       c.cfg.Epoch,
		PlacedAt:    now,
	}
	c.reserve(now, it, record)
	c.propose(now, it, record)
	return true
}

// updateItem changes the desired state of the named task and reconciles it.
func (c *Controller) updateItem(now time.Time, name string, change func(*item)) {
	it, ok := c.items[name]
	if !ok {
		return
	}
	change(it)
	c.reconcile(now, it)
}

// restoreThrottled returns throttled tasks to full speed where capacity allows.
func (c *Controller) restoreThrottled(now time.Time) {
	for _, name := range c.cfg.Placer.Unthrottle(now) {
		c.updateItem(now, name, func(it *item) { it.targetRate = 1 })
	}
}
