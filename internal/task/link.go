package task

import (
	"maps"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/place"
)

const (
	// pollFraction of an attempt's age passes between polls, so that the end of a
	// task is known late by a small part of its run time.
	pollFraction = 8
	shortestPoll = 100 * time.Millisecond
	// renewals is how often a lease is renewed before it would lapse.
	renewals = 3
)

// link is a worker with the attempts that are on it.
type link struct {
	name        string
	incarnation string
	items       map[string]*item
	pollAt      time.Time
	// outstanding is set while a poll has not ended.
	outstanding bool
	silent      bool
	leaving     bool
	gone        bool
}

// pollBy brings the next poll forward to that time.
func (l *link) pollBy(at time.Time) {
	if at.Before(l.pollAt) {
		l.pollAt = at
	}
}

// attach puts the item's attempt on its worker.
func (c *Controller) attach(now time.Time, it *item) {
	known := c.link(it.record.Attempt.Worker)
	known.items[it.record.Name()] = it
	known.pollBy(now.Add(shortestPoll))
	if known.gone && it.lostAt.IsZero() {
		it.lostAt = now
	}
}

// link returns the worker's link, which it makes if need be.
func (c *Controller) link(name string) *link {
	known, ok := c.links[name]
	if !ok {
		known = &link{name: name, items: make(map[string]*item)}
		c.links[name] = known
		at, _ := slices.BinarySearch(c.names, name)
		c.names = slices.Insert(c.names, at, name)
	}
	return known
}

// unlink takes an attempt off the worker.
func (c *Controller) unlink(name string, it *item) {
	known, ok := c.links[name]
	if !ok {
		return
	}
	delete(known.items, it.record.Name())
	c.sweep(known)
}

// sweep removes a worker that is gone and has no attempts.
func (c *Controller) sweep(known *link) {
	if !known.gone || len(known.items) > 0 {
		return
	}
	delete(c.links, known.name)
	if at, found := slices.BinarySearch(c.names, known.name); found {
		c.names = slices.Delete(c.names, at, at+1)
	}
}

// Join says that the worker answers as this incarnation and may take tasks. It
// is called after each report of a worker that is not leaving.
func (c *Controller) Join(now time.Time, worker place.Worker, incarnation string) {
	known := c.link(worker.Name)
	known.leaving = false
	c.cfg.Placer.Join(worker)
	c.setSilent(worker.Name, false)
	if known.incarnation == incarnation && !known.gone {
		return
	}
	known.incarnation = incarnation
	known.gone = false
	known.pollAt = now
	c.scheduleAt = now
	for _, it := range known.items {
		// The worker itself will say what has become of the attempt.
		it.lostAt = time.Time{}
	}
}

// Held is the number of attempts that may run or be started on the worker. Once
// it is 0 for a worker that was told to leave, it stays so under this epoch.
func (c *Controller) ActiveAttempts(worker string) int {
	return c.heldAt[worker]
}

// Silent reports whether the worker has stopped answering or has not joined; a
// report of it is then wanted.
func (c *Controller) Silent(worker string) bool {
	known, ok := c.links[worker]
	return !ok || known.silent || known.incarnation == ""
}

// setSilent notes whether the worker answers.
func (c *Controller) setSilent(worker string, silent bool) {
	if known, ok := c.links[worker]; ok {
		known.silent = silent
	}
	c.cfg.Placer.SetSilent(worker, silent)
}

// Workers names the workers that are not known to be gone, so that those which
// the platform lists no more can be reported.
func (c *Controller) Workers() []string {
	var names []string
	for _, name := range c.names {
		if !c.links[name].gone {
			names = append(names, name)
		}
	}
	return names
}

// Leave keeps new tasks from a worker. With drain, the tasks that may be moved
// are checkpointed and go elsewhere; the others end where they are.
func (c *Controller) Leave(now time.Time, worker string, drain bool) {
	c.cfg.Placer.Leave(worker)
	known, ok := c.links[worker]
	if !ok {
		return
	}
	known.leaving = true
	if !drain {
		return
	}
	for _, name := range sortedNames(known.items) {
		it := known.items[name]
		it.checkpoint = !it.record.Once
		c.act(now, it)
	}
}

// Gone says that the platform has listed the worker's host as gone for longer
// than the list lags: none of its processes will answer again. Silence alone
// is no reason to call it.
func (c *Controller) Gone(now time.Time, worker string) {
	c.cfg.Placer.Remove(worker)
	known, ok := c.links[worker]
	if !ok {
		return
	}
	known.gone = true
	known.incarnation = ""
	for _, name := range sortedNames(known.items) {
		it := known.items[name]
		if it.lostAt.IsZero() {
			it.lostAt = now
		}
		c.act(now, it)
	}
	c.sweep(known)
}

// poll renews the leases on each worker whose time has come.
func (c *Controller) poll(now time.Time) {
	for _, name := range c.names {
		known := c.links[name]
		if known.outstanding && now.Before(known.pollAt.Add(c.cfg.Lease/renewals)) {
			continue
		}
		if known.gone || now.Before(known.pollAt) {
			continue
		}
		var ids []string
		interval := c.cfg.Lease / renewals
		for _, itemName := range sortedNames(known.items) {
			it := known.items[itemName]
			if it.record.State != Running && it.starts == 0 {
				continue
			}
			ids = append(ids, it.record.StartID())
			interval = min(interval, now.Sub(it.record.Attempt.PlacedAt)/pollFraction)
		}
		if len(ids) == 0 {
			continue
		}
		known.pollAt = now.Add(max(interval, shortestPoll))
		known.outstanding = true
		c.emit(Poll{Worker: name, Epoch: c.cfg.Epoch, Lease: c.cfg.Lease, StartIDs: ids, IssuedAt: now})
	}
}

// sortedNames returns the keys in order, so that equal inputs give equal actions.
func sortedNames(items map[string]*item) []string {
	return slices.Sorted(maps.Keys(items))
}
