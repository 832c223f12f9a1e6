package place

import (
	"slices"
	"time"
)

// Place records the placement of the task on the worker. It is also called for
// existing placements when a manager takes over.
func (p *Placer) Place(now time.Time, d Demand, name string) {
	p.removeTask(d.Task)
	w, ok := p.workers[name]
	if !ok {
		// An existing placement on a worker that has not joined: only its name
		// is known.
		w = p.newWorker(Worker{Name: name})
		w.leaving = true
		p.workers[name] = w
		at, _ := slices.BinarySearch(p.names, name)
		p.names = slices.Insert(p.names, at, name)
	}
	task := &placedTask{demand: d, worker: w, need: p.Need(d), placedAt: now}
	p.tasks[d.Task] = task
	p.releaseReservation(d.Task)
	w.add(task)
	p.adjustSpread(task, 1)
}

// adjustSpread adds n to the count of the queue's tasks in the rack of the task's
// worker.
func (p *Placer) adjustSpread(task *placedTask, n int) {
	key := rackQueue{dataCentre: task.worker.DataCentre, rack: task.worker.Rack, queue: task.demand.Queue}
	p.spread[key] += n
	if p.spread[key] == 0 {
		delete(p.spread, key)
	}
}

// releaseReservation drops the reservation for a task, if any.
func (p *Placer) releaseReservation(task string) {
	w, ok := p.reservations[task]
	if !ok {
		return
	}
	delete(p.reservations, task)
	if w.reservation != nil && w.reservation.task == task {
		w.reservation = nil
	}
}

// ReportUsage records the usage that a worker reported for a task.
func (p *Placer) ReportUsage(now time.Time, task string, usage Size) {
	placed, ok := p.tasks[task]
	if !ok || p.cfg.TrustDeclared {
		return
	}
	before := placed.need
	placed.observe(now, usage, p.estimate(placed.demand.Queue).need(placed.demand.Declared))
	// Rounding errors are removed by the recount when the next task leaves.
	placed.worker.used = placed.worker.used.Minus(before).Plus(placed.need)
}

// Release ends a task's placement, and updates the queue's estimate and the
// worker's health with the result.
func (p *Placer) Release(now time.Time, task string, result Result) {
	placed, ok := p.tasks[task]
	if !ok {
		return
	}
	p.removeTask(task)
	queueEstimate := p.estimate(placed.demand.Queue)
	if result != Ended {
		queueEstimate.observeUsage(placed.demand.Declared, placed.peak)
	}
	switch result {
	case Succeeded:
		queueEstimate.observeRunTime(placed.demand.RunTime, now.Sub(placed.placedAt))
		placed.worker.health.recordSuccess()
		p.attributeEarlierFailures(now, task, placed.worker)
	case Failed:
		p.attributeFailure(now, task, placed.worker)
	}
}

// Forget drops all state of a task that will not run again.
func (p *Placer) Forget(task string) {
	p.removeTask(task)
	delete(p.failures, task)
	p.releaseReservation(task)
}

// attributeFailure attributes a failure to the worker or to the task. A task that
// fails on a second worker is considered the cause of its failures on both.
func (p *Placer) attributeFailure(now time.Time, task string, failedOn *worker) {
	earlier := p.failures[task]
	if !slices.Contains(earlier, failedOn.Name) {
		p.failures[task] = append(earlier, failedOn.Name)
	}
	if len(p.failures[task]) == 1 {
		failedOn.health.recordFailure(now, task, p.mayQuarantine(now))
		return
	}
	for _, name := range p.failures[task] {
		if w, ok := p.workers[name]; ok {
			w.health.dropFailure(task)
		}
	}
}

// attributeEarlierFailures attributes the earlier failures of a task that has
// succeeded to the workers on which it failed.
func (p *Placer) attributeEarlierFailures(now time.Time, task string, succeededOn *worker) {
	for _, name := range p.failures[task] {
		if w, ok := p.workers[name]; ok && w != succeededOn && !w.health.hasFailure(task) {
			w.health.recordFailure(now, task, p.mayQuarantine(now))
		}
	}
	delete(p.failures, task)
}

// mayQuarantine reports whether one more worker may be quarantined. Evacuated
// workers do not count, since they cannot take the quarantined ones' tasks.
func (p *Placer) mayQuarantine(now time.Time) bool {
	quarantined, open := 0, 0
	for _, w := range p.workers {
		if w.evacuated {
			continue
		}
		open++
		if w.health.quarantined(now) {
			quarantined++
		}
	}
	return float64(quarantined+1) <= maxQuarantinedFraction*float64(open)
}

// removeTask removes a task from its worker.
func (p *Placer) removeTask(task string) {
	placed, ok := p.tasks[task]
	if !ok {
		return
	}
	delete(p.tasks, task)
	delete(p.throttled, task)
	p.adjustSpread(placed, -1)
	placed.worker.remove(placed)
	p.removeIfEmpty(placed.worker)
}
