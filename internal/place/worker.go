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

// worker is a worker with what it holds.
type worker struct {
	Worker
	health  *health
	leaving bool
	silent  bool
	gone    bool
	used    Size
	tasks   map[string]*held
	hold    *hold
}

// newWorker returns an empty worker.
func newWorker(description Worker) *worker {
	return &worker{Worker: description, health: newHealth(), tasks: make(map[string]*held)}
}

// room is what is left of the worker.
func (w *worker) room() Size {
	return w.Size.Minus(w.used)
}

// open reports whether the worker may get the task at all now.
func (w *worker) open(now time.Time, d Demand) bool {
	if w.leaving || w.silent || slices.Contains(d.Avoid, w.Name) {
		return false
	}
	if w.hold.blocks(now, d) {
		return false
	}
	return w.health.allows(now, len(w.tasks))
}

// add counts a task.
func (w *worker) add(task *held) {
	w.tasks[task.demand.Task] = task
	w.used = w.used.Plus(task.need)
}

// remove takes a task out of the count.
func (w *worker) remove(task *held) {
	delete(w.tasks, task.demand.Task)
	w.recount()
}

// recount sums the needs afresh, so that rounding errors do not add up.
func (w *worker) recount() {
	w.used = Size{}
	for _, task := range w.sorted() {
		w.used = w.used.Plus(task.need)
	}
}

// sorted returns the tasks in the order of their names.
func (w *worker) sorted() []*held {
	tasks := make([]*held, 0, len(w.tasks))
	for _, task := range w.tasks {
		tasks = append(tasks, task)
	}
	slices.SortFunc(tasks, func(a, b *held) int { return strings.Compare(a.demand.Task, b.demand.Task) })
	return tasks
}

// hold keeps a worker's room for one task until it has been placed.
type hold struct {
	task  string
	class Class
	until time.Time
}

// blocks reports whether the hold keeps another task out.
func (h *hold) blocks(now time.Time, d Demand) bool {
	return h.inForce(now) && h.task != d.Task && !d.Class.above(h.class)
}

// inForce reports whether there is a hold that has not run out.
func (h *hold) inForce(now time.Time) bool {
	return h != nil && now.Before(h.until)
}

// held is a task on its worker.
type held struct {
	demand Demand
	worker *worker
	need   Size
	peak   Size
	placed time.Time
	// throttled is set while a more urgent task has the processors.
	throttled bool
	// going is set when the task was told to make room.
	going bool
}

// observe takes in a lagging usage report and corrects the need.
func (h *held) observe(now time.Time, usage Size, expected Size) {
	h.peak = h.peak.largest(usage)
	if now.Sub(h.placed) < settleTime {
		h.need = h.need.largest(h.peak)
		return
	}
	// A task may still grow: keep headroom, and never less than a part of what
	// is expected of its queue.
	h.need = Size{
		CPUs:         max(h.peak.CPUs*headroom, expected.CPUs/trustBound),
		Memory:       max(scaleMemory(h.peak.Memory, headroom), scaleMemory(expected.Memory, 1/trustBound)),
		Accelerators: h.demand.Declared.Accelerators,
	}
	if h.throttled {
		h.need.CPUs *= throttledRate
	}
}
