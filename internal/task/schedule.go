package task

import (
	"slices"
	"strings"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/place"
)

const (
	// scheduleEvery is the least time between looks at a backlog that could not
	// be placed, unless room was freed.
	scheduleEvery = 100 * time.Millisecond
	// lookAhead is how many tasks of a lane may overtake one that finds no room.
	lookAhead = 8
	// exhaustedRetry is the wait before a task goes back to a worker it failed on.
	exhaustedRetry = 5 * time.Second
)

// LaneKey names one team's tasks of one queue.
type TeamQueue struct {
	Queue string `json:"queue"`
	Team  string `json:"team"`
}

// Limit bounds a lane; zero values mean no bound on Running, 10,000 open tasks
// and a weight of 1.
type Limit struct {
	// Running is the greatest number of tasks that are placed or running.
	MaxRunning int
	// Closed lets no further task start, whatever Running says.
	Closed  bool
	MaxOpen int
	// Weight is the lane's share when tasks compete.
	Weight float64
}

// SetLimits replaces the limits in force. Lowering one cuts nothing that runs.
func (c *Controller) SetLimits(limits map[TeamQueue]Limit) {
	c.limits = limits
	c.scheduleAt = time.Time{}
}

// limit returns a lane's limit with its defaults.
func (c *Controller) limit(key TeamQueue) Limit {
	limit := c.limits[key]
	limit.MaxOpen = orDefault(limit.MaxOpen, defaultMaxOpen)
	limit.Weight = orDefault(limit.Weight, 1)
	return limit
}

// laneKey is the lane of a record.
func laneKey(record Record) TeamQueue {
	return TeamQueue{Queue: record.Queue, Team: record.Team}
}

// laneSet holds the waiting tasks of one class by lane.
type laneSet struct {
	lanes map[TeamQueue][]*item
	keys  []TeamQueue
}

// newLaneSet returns an empty set.
func newLaneSet() *laneSet {
	return &laneSet{lanes: make(map[TeamQueue][]*item)}
}

// add appends an item to its lane.
func (s *laneSet) add(key TeamQueue, it *item) {
	if _, known := s.lanes[key]; !known {
		at, _ := slices.BinarySearchFunc(s.keys, key, compareLanes)
		s.keys = slices.Insert(s.keys, at, key)
	}
	s.lanes[key] = append(s.lanes[key], it)
}

// len is the number of tasks in a lane.
func (s *laneSet) len(key TeamQueue) int {
	return len(s.lanes[key])
}

// head returns the next items of a lane, all of which wait. It drops those that
// wait no more, and the lane if it is empty.
func (s *laneSet) head(key TeamQueue) []*item {
	lane := s.lanes[key]
	for len(lane) > 0 && lane[0].left() {
		lane = lane[1:]
	}
	s.lanes[key] = lane
	if slices.ContainsFunc(lane[:min(len(lane), lookAhead)], (*item).left) {
		lane = slices.DeleteFunc(lane, (*item).left)
		s.lanes[key] = lane
	}
	if len(lane) > 0 {
		return slices.Clone(lane[:min(len(lane), lookAhead)])
	}
	delete(s.lanes, key)
	at, found := slices.BinarySearchFunc(s.keys, key, compareLanes)
	if found {
		s.keys = slices.Delete(s.keys, at, at+1)
	}
	return nil
}

// left reports whether the item waits no more.
func (it *item) left() bool {
	return !it.waiting
}

// compareLanes orders lanes by queue and team.
func compareLanes(a, b TeamQueue) int {
	if order := strings.Compare(a.Queue, b.Queue); order != 0 {
		return order
	}
	return strings.Compare(a.Team, b.Team)
}

// enqueue makes the item wait for a worker.
func (c *Controller) enqueue(now time.Time, it *item) {
	if it.waiting {
		return
	}
	it.waiting = true
	c.lanes[class(it.record.Class)].add(laneKey(it.record), it)
	if it.record.Class == place.Urgent {
		c.scheduleAt = now
	}
}

// schedule places waiting tasks: class before class, and in a class the lane
// that runs least for its weight.
func (c *Controller) schedule(now time.Time) {
	if now.Before(c.scheduleAt) {
		return
	}
	c.scheduleAt = now.Add(scheduleEvery)
	budget := maxBatchRows
	for _, class := range place.Classes() {
		set := c.lanes[class]
		open := slices.Clone(set.keys)
		for budget > 0 && len(open) > 0 {
			next := c.leastServed(open)
			if c.placeOne(now, set, open[next]) {
				budget--
				continue
			}
			open = slices.Delete(open, next, next+1)
		}
	}
}

// leastServed returns the index of the lane that runs least for its weight.
func (c *Controller) leastServed(open []TeamQueue) int {
	least := 0
	for i, key := range open {
		if c.served(key) < c.served(open[least]) {
			least = i
		}
	}
	return least
}

// served is what a lane runs for its weight.
func (c *Controller) served(key TeamQueue) float64 {
	return float64(c.running[key]) / c.limit(key).Weight
}

// placeOne places the first of the lane's next tasks that finds a worker.
func (c *Controller) placeOne(now time.Time, set *laneSet, key TeamQueue) bool {
	limit := c.limit(key)
	if limit.Closed || limit.MaxRunning > 0 && c.running[key] >= limit.MaxRunning {
		return false
	}
	for _, it := range set.head(key) {
		if it.waiting && c.tryPlace(now, it) {
			return true
		}
	}
	return false
}

// tryPlace asks the placer for a worker and carries out its decision.
func (c *Controller) tryPlace(now time.Time, it *item) bool {
	wanted := demand(now, it.record)
	decision := c.cfg.Placer.Choose(now, wanted)
	if decision.Outcome == place.Exhausted {
		// Workers are too few to tell: the task may go back to one it failed on.
		if now.Before(it.record.Changed.Add(exhaustedRetry)) {
			return false
		}
		wanted.Avoid = nil
		decision = c.cfg.Placer.Choose(now, wanted)
	}
	for _, name := range decision.Checkpoint {
		c.makeRoom(now, name, func(victim *item) { victim.checkpoint = true })
	}
	for _, name := range decision.Throttle {
		c.makeRoom(now, name, func(victim *item) { victim.wantRate = place.ThrottledRate })
	}
	worker, known := c.links[decision.Worker]
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
	c.hold(now, it, record)
	c.propose(now, it, record)
	return true
}

// makeRoom changes what a task's worker should do with it.
func (c *Controller) makeRoom(now time.Time, name string, change func(*item)) {
	it, ok := c.items[name]
	if !ok {
		return
	}
	change(it)
	c.act(now, it)
}

// restore brings throttled tasks back to full speed where there is room.
func (c *Controller) restore(now time.Time) {
	for _, name := range c.cfg.Placer.Unthrottle(now) {
		c.makeRoom(now, name, func(it *item) { it.wantRate = 1 })
	}
}
