package place

import (
	"slices"
	"strings"
	"time"
)

// Worker describes a worker to the placer.
type Worker struct {
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`
	Rack       string `json:"rack"`
	Size       Size   `json:"size"`
}

// worker is the placer's state of a worker.
type worker struct {
	Worker
	health      *health
	leaving     bool
	evacuated   bool
	silent      bool
	removing    bool
	used        Size
	tasks       map[string]*placedTask
	reservation *reservation
}

// newWorker returns a worker without tasks.
func (p *Placer) newWorker(description Worker) *worker {
	return &worker{
		Worker: description, health: newHealth(), tasks: make(map[string]*placedTask),
		evacuated: p.isEvacuated(description.DataCentre),
	}
}

// free returns the unused part of the worker.
func (w *worker) free() Size {
	return w.Size.Minus(w.used)
}

// accepts reports whether the worker may get the task now, apart from the task's
// size.
func (w *worker) accepts(now time.Time, d Demand) bool {
	if w.leaving || w.evacuated || w.silent || slices.Contains(d.Avoid, w.Name) {
		return false
	}
	if w.reservation.blocks(now, d) {
		return false
	}
	return w.health.allows(now, len(w.tasks))
}

// add adds a task and its need.
func (w *worker) add(task *placedTask) {
	w.tasks[task.demand.Task] = task
	w.used = w.used.Plus(task.need)
}

// remove removes a task and its need.
func (w *worker) remove(task *placedTask) {
	delete(w.tasks, task.demand.Task)
	w.recount()
}

// recount recomputes the sum of all needs, so that rounding errors do not add up.
func (w *worker) recount() {
	w.used = Size{}
	for _, task := range w.sorted() {
		w.used = w.used.Plus(task.need)
	}
}

// sorted returns the tasks sorted by name.
func (w *worker) sorted() []*placedTask {
	tasks := make([]*placedTask, 0, len(w.tasks))
	for _, task := range w.tasks {
		tasks = append(tasks, task)
	}
	slices.SortFunc(tasks, func(a, b *placedTask) int { return strings.Compare(a.demand.Task, b.demand.Task) })
	return tasks
}

// reservation reserves a worker for one task until the task has been placed.
type reservation struct {
	task  string
	class Class
	until time.Time
}

// blocks reports whether the reservation excludes the task.
func (r *reservation) blocks(now time.Time, d Demand) bool {
	return r.inForce(now) && r.task != d.Task && !d.Class.before(r.class)
}

// inForce reports whether there is a reservation that has not expired.
func (r *reservation) inForce(now time.Time) bool {
	return r != nil && now.Before(r.until)
}

// placedTask is a task that is placed on a worker.
type placedTask struct {
	demand   Demand
	worker   *worker
	need     Size
	peak     Size
	placedAt time.Time
	// throttled is set while a more urgent task uses the task's processors.
	throttled bool
	// checkpointing is set once the task has been chosen for a checkpoint.
	checkpointing bool
}

// observe records a usage report, which may lag, and updates the need.
func (t *placedTask) observe(now time.Time, usage Size, expected Size) {
	t.peak = t.peak.componentMax(usage)
	if now.Sub(t.placedAt) < warmUpTime {
		t.need = t.need.componentMax(t.peak)
		return
	}
	// The task may still grow, so keep headroom and at least a fraction of the
	// usage expected of its queue.
	t.need = Size{
		CPUs:         max(t.peak.CPUs*headroom, expected.CPUs/maxShrinkFactor),
		Memory:       max(scaleMemory(t.peak.Memory, headroom), scaleMemory(expected.Memory, 1/maxShrinkFactor)),
		Accelerators: t.demand.Declared.Accelerators,
	}
	if t.throttled {
		t.need.CPUs *= throttledRate
	}
}
