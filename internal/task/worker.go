package task

import (
	"maps"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/place"
)

const (
	// pollAgeDivisor divides an attempt's age to get its poll interval, so that
	// the end of a task is detected with a delay of at most about an eighth of
	// its run time.
	pollAgeDivisor  = 8
	minPollInterval = 100 * time.Millisecond
	// renewalsPerLease is the number of renewal attempts within one lease.
	renewalsPerLease = 3
)

// workerState is a worker with the attempts placed on it.
type workerState struct {
	name        string
	incarnation string
	items       map[string]*item
	nextPollAt  time.Time
	// pollInFlight is set until the result of a poll arrives.
	pollInFlight bool
	silent       bool
	leaving      bool
	gone         bool
}

// pollBy moves the next poll forward to that time if it is due later.
func (w *workerState) pollBy(at time.Time) {
	if at.Before(w.nextPollAt) {
		w.nextPollAt = at
	}
}

// attach adds the item's attempt to its worker.
func (c *Controller) attach(now time.Time, it *item) {
	worker := c.ensureWorker(it.record.Attempt.Worker)
	worker.items[it.record.Name()] = it
	worker.pollBy(now.Add(minPollInterval))
	if worker.gone && it.lostAt.IsZero() {
		it.lostAt = now
	}
}

// ensureWorker returns the worker's state, and creates it if necessary.
func (c *Controller) ensureWorker(name string) *workerState {
	worker, ok := c.workers[name]
	if !ok {
		worker = &workerState{name: name, items: make(map[string]*item)}
		c.workers[name] = worker
		at, _ := slices.BinarySearch(c.workerNames, name)
		c.workerNames = slices.Insert(c.workerNames, at, name)
	}
	return worker
}

// detach removes the item's attempt from the worker.
func (c *Controller) detach(name string, it *item) {
	worker, ok := c.workers[name]
	if !ok {
		return
	}
	delete(worker.items, it.record.Name())
	c.removeIfEmpty(worker)
}

// removeIfEmpty removes a worker that is gone and has no attempts.
func (c *Controller) removeIfEmpty(worker *workerState) {
	if !worker.gone || len(worker.items) > 0 {
		return
	}
	delete(c.workers, worker.name)
	if at, found := slices.BinarySearch(c.workerNames, worker.name); found {
		c.workerNames = slices.Delete(c.workerNames, at, at+1)
	}
}

// Join adds or updates a worker that answers with this incarnation and accepts
// tasks. It is called after each report from a worker that is not leaving.
func (c *Controller) Join(now time.Time, worker place.Worker, incarnation string) {
	state := c.ensureWorker(worker.Name)
	state.leaving = false
	c.cfg.Placer.Join(worker)
	c.setSilent(worker.Name, false)
	if state.incarnation == incarnation && !state.gone {
		return
	}
	state.incarnation = incarnation
	state.gone = false
	state.nextPollAt = now
	c.nextScheduleAt = now
	for _, it := range state.items {
		// The worker itself will report the state of the attempt.
		it.lostAt = time.Time{}
	}
}

// ActiveAttempts returns the number of attempts that may be running or may still
// be started on the worker. Once it is 0 for a leaving worker, it stays 0 during
// this epoch.
func (c *Controller) ActiveAttempts(worker string) int {
	return c.attemptsByWorker[worker]
}

// Silent reports whether the worker has stopped answering or has not joined. The
// caller should then request a report from it.
func (c *Controller) Silent(worker string) bool {
	state, ok := c.workers[worker]
	return !ok || state.silent || state.incarnation == ""
}

// setSilent records whether the worker has stopped answering.
func (c *Controller) setSilent(worker string, silent bool) {
	if state, ok := c.workers[worker]; ok {
		state.silent = silent
	}
	c.cfg.Placer.SetSilent(worker, silent)
}

// Workers returns the names of the workers that are not known to be gone, so that
// the caller can find those missing from the platform's host list.
func (c *Controller) Workers() []string {
	var names []string
	for _, name := range c.workerNames {
		if !c.workers[name].gone {
			names = append(names, name)
		}
	}
	return names
}

// Leave stops placing tasks on a worker. With drain, tasks that may be moved are
// checkpointed and requeued for other workers; the others run to their end.
func (c *Controller) Leave(now time.Time, worker string, drain bool) {
	c.cfg.Placer.Leave(worker)
	state, ok := c.workers[worker]
	if !ok {
		return
	}
	state.leaving = true
	if !drain {
		return
	}
	for _, name := range sortedNames(state.items) {
		it := state.items[name]
		it.checkpoint = !it.record.Once
		c.reconcile(now, it)
	}
}

// MarkGone marks a worker as gone. It must be called only if the host has been absent
// from the platform's list for longer than the list's maximum lag, so that none
// of the worker's processes will answer again. A worker that merely doesn't
// answer is silent, not gone.
func (c *Controller) MarkGone(now time.Time, worker string) {
	c.cfg.Placer.Remove(worker)
	state, ok := c.workers[worker]
	if !ok {
		return
	}
	state.gone = true
	state.incarnation = ""
	for _, name := range sortedNames(state.items) {
		it := state.items[name]
		if it.lostAt.IsZero() {
			it.lostAt = now
		}
		c.reconcile(now, it)
	}
	c.removeIfEmpty(state)
}

// poll renews the leases on each worker whose poll is due.
func (c *Controller) poll(now time.Time) {
	for _, name := range c.workerNames {
		worker := c.workers[name]
		if worker.pollInFlight && now.Before(worker.nextPollAt.Add(c.cfg.Lease/renewalsPerLease)) {
			continue
		}
		if worker.gone || now.Before(worker.nextPollAt) {
			continue
		}
		var ids []string
		interval := c.cfg.Lease / renewalsPerLease
		for _, itemName := range sortedNames(worker.items) {
			it := worker.items[itemName]
			if it.record.State != Running && it.starts == 0 && !c.holdsStart(it) {
				continue
			}
			ids = append(ids, it.record.StartID())
			interval = min(interval, now.Sub(it.record.Attempt.PlacedAt)/pollAgeDivisor)
		}
		if len(ids) == 0 {
			continue
		}
		worker.nextPollAt = now.Add(max(interval, minPollInterval))
		worker.pollInFlight = true
		c.emit(Poll{Worker: name, Epoch: c.cfg.Epoch, Lease: c.cfg.Lease, StartIDs: ids, IssuedAt: now})
	}
}

// sortedNames returns the keys in order, so that equal inputs give the same
// actions.
func sortedNames(items map[string]*item) []string {
	return slices.Sorted(maps.Keys(items))
}
