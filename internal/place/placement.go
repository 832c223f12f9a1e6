package place

import (
	"slices"
	"time"
)

// Place counts the task on the worker. It is called for each placement in
// force, also for those found when a manager takes over.
func (p *Placer) Place(now time.Time, d Demand, name string) {
	p.drop(d.Task)
	w, ok := p.workers[name]
	if !ok {
		// A placement from before: the worker is known by name only.
		w = newWorker(Worker{Name: name})
		w.leaving = true
		p.workers[name] = w
		at, _ := slices.BinarySearch(p.names, name)
		p.names = slices.Insert(p.names, at, name)
	}
	task := &held{demand: d, worker: w, need: p.Need(d), placed: now}
	p.tasks[d.Task] = task
	p.releaseHold(d.Task)
	w.add(task)
	p.count(task, 1)
}

// count adds to the tasks of the queue in the rack of the task's worker.
func (p *Placer) count(task *held, n int) {
	where := rackQueue{dataCentre: task.worker.DataCentre, rack: task.worker.Rack, queue: task.demand.Queue}
	p.spread[where] += n
	if p.spread[where] == 0 {
		delete(p.spread, where)
	}
}

// releaseHold gives up the room kept for a task.
func (p *Placer) releaseHold(task string) {
	w, ok := p.holds[task]
	if !ok {
		return
	}
	delete(p.holds, task)
	if w.hold != nil && w.hold.task == task {
		w.hold = nil
	}
}

// Report takes in the usage that a worker reported for a task.
func (p *Placer) ReportUsage(now time.Time, task string, usage Size) {
	known, ok := p.tasks[task]
	if !ok || p.cfg.TrustDeclared {
		return
	}
	before := known.need
	known.observe(now, usage, p.estimate(known.demand.Queue).need(known.demand.Declared))
	// The sum's rounding errors go with the next task that leaves.
	known.worker.used = known.worker.used.Minus(before).Plus(known.need)
}

// Release ends a task's placement and learns from how it went.
func (p *Placer) Release(now time.Time, task string, result Result) {
	known, ok := p.tasks[task]
	if !ok {
		return
	}
	p.drop(task)
	learned := p.estimate(known.demand.Queue)
	if result != Ended {
		learned.learn(known.demand.Declared, known.peak)
	}
	switch result {
	case Succeeded:
		learned.learnRunTime(known.demand.RunTime, now.Sub(known.placed))
		known.worker.health.succeeded()
		p.acquit(now, task, known.worker)
	case Failed:
		p.blame(now, task, known.worker)
	}
}

// Forget drops what is remembered of a task that will not run again.
func (p *Placer) Forget(task string) {
	p.drop(task)
	delete(p.failures, task)
	p.releaseHold(task)
}

// blame decides whether a failure is the worker's or the task's: a task that
// fails on a second worker is itself at fault, on both.
func (p *Placer) blame(now time.Time, task string, at *worker) {
	earlier := p.failures[task]
	if !slices.Contains(earlier, at.Name) {
		p.failures[task] = append(earlier, at.Name)
	}
	if len(p.failures[task]) == 1 {
		at.health.failed(now, task, p.mayRest(now))
		return
	}
	for _, name := range p.failures[task] {
		if w, ok := p.workers[name]; ok {
			w.health.explained(task)
		}
	}
}

// acquit clears a task that succeeded: its failures elsewhere were the workers'.
func (p *Placer) acquit(now time.Time, task string, at *worker) {
	for _, name := range p.failures[task] {
		if w, ok := p.workers[name]; ok && w != at && !w.health.suspects(task) {
			w.health.failed(now, task, p.mayRest(now))
		}
	}
	delete(p.failures, task)
}

// mayRest reports whether one more worker may be set aside.
func (p *Placer) mayRest(now time.Time) bool {
	aside := 0
	for _, w := range p.workers {
		if w.health.aside(now) {
			aside++
		}
	}
	return float64(aside+1) <= asideBound*float64(len(p.workers))
}

// drop takes a task off its worker.
func (p *Placer) drop(task string) {
	known, ok := p.tasks[task]
	if !ok {
		return
	}
	delete(p.tasks, task)
	delete(p.throttled, task)
	p.count(known, -1)
	known.worker.remove(known)
	p.sweep(known.worker)
}
