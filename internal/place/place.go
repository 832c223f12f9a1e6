// Package place decides which worker runs which task.
//
// Declared sizes are corrected, within limits, by the observed usage of earlier
// tasks of the same queue. A worker on which every task fails is quarantined and
// tried again with exponential backoff. Urgent work preempts lower classes by
// throttling or checkpointing them. The caller passes the time to each call.
//
// # Usage
//
//	placer := place.New(place.Config{})
//	placer.Join(place.Worker{Name: "worker-1", Rack: "a", Size: place.Size{CPUs: 16, Memory: 64 << 30}})
//	decision := placer.Choose(now, place.Demand{Task: "plans/7", Queue: "plans", Class: place.Normal, Declared: size})
//	if decision.Outcome == place.Placed {
//		placer.Place(now, demand, decision.Worker)
//	}
//	placer.ReportUsage(now, "plans/7", usage)
//	placer.Release(now, "plans/7", place.Succeeded)
//
// A Placer is not safe for concurrent use: only the owner of its pool calls it.
package place

import (
	"slices"
	"time"
)

const (
	// warmUpTime is the age of a task from which reports represent its usage.
	warmUpTime = 5 * time.Second
	// starvingAfter is the wait after which a worker is reserved for a task.
	starvingAfter = 30 * time.Second
	// headroom is the factor on the reported usage that leaves room for growth.
	headroom = 1.25
	// maxShrinkFactor limits how far a report can reduce a task's need below the
	// usage expected of its queue.
	maxShrinkFactor = 4.0
	throttledRate   = 0.25
	// maxQuarantinedFraction is the maximum fraction of workers in quarantine. If
	// more of them fail, the workers are not the cause.
	maxQuarantinedFraction = 0.5
)

// ThrottledRate is the speed of a throttled task as a fraction of full speed.
const ThrottledRate = throttledRate

// Class is the priority class of a task.
type Class string

// Classes, from first to last.
const (
	Urgent Class = "urgent"
	Normal Class = "normal"
	Batch  Class = "batch"
)

// Classes lists the classes from first to last.
func Classes() []Class {
	return []Class{Urgent, Normal, Batch}
}

// Rank returns the index of the class in Classes. Unknown classes have the rank
// of the last one.
func (c Class) Rank() int {
	switch c {
	case Urgent:
		return 0
	case Normal:
		return 1
	default:
		return 2
	}
}

// before reports whether the class has priority over the other.
func (c Class) before(other Class) bool {
	return c.Rank() < other.Rank()
}

// Demand describes a task that needs a worker.
type Demand struct {
	Task     string
	Queue    string
	Class    Class
	Declared Size
	RunTime  time.Duration
	// Avoid names the workers on which the task failed.
	Avoid []string
	// MemoryFailures counts the runs that failed for lack of memory.
	MemoryFailures int
	// Movable means that the task may be checkpointed and restarted elsewhere.
	Movable bool
	Waited  time.Duration
}

// Outcome is the kind of a Decision.
type Outcome string

// Outcomes of Choose.
const (
	// Placed means that the worker has free capacity for the task.
	Placed Outcome = "placed"
	// Preempts means that the worker has free capacity once the tasks in
	// Checkpoint are checkpointed.
	Preempts Outcome = "preempts"
	// Waits means that no worker has free capacity for the task now.
	Waits Outcome = "waits"
	// Exhausted means that the task must avoid every worker that it fits.
	Exhausted Outcome = "exhausted"
)

// Decision names the worker for a task, and the tasks to throttle and to
// checkpoint for it.
type Decision struct {
	Outcome    Outcome
	Worker     string
	Throttle   []string
	Checkpoint []string
}

// Result is the result of a run.
type Result string

// Results of a run.
const (
	Succeeded Result = "succeeded"
	Failed    Result = "failed"
	// Ended is any other end: stopped, checkpointed, or lost with its worker.
	Ended Result = "ended"
)

// Config configures a Placer.
type Config struct {
	// TrustDeclared disables the correction of declared sizes, as a baseline for
	// comparisons.
	TrustDeclared bool
}

// Placer places tasks on the workers of one pool.
type Placer struct {
	cfg       Config
	workers   map[string]*worker
	names     []string
	tasks     map[string]*placedTask
	estimates map[string]*estimate
	// failures maps a task to the workers it failed on, to distinguish failures
	// caused by the worker from those caused by the task.
	failures map[string][]string
	// reservations maps a task to the worker that is reserved for it.
	reservations map[string]*worker
	throttled    map[string]*placedTask
	// spread counts the tasks of each queue in each rack.
	spread map[rackQueue]int
	// evacuated holds the data centres whose workers get no new tasks.
	evacuated map[string]bool
}

// rackQueue identifies a queue in a rack.
type rackQueue struct {
	dataCentre string
	rack       string
	queue      string
}

// New returns a placer without workers.
func New(cfg Config) *Placer {
	return &Placer{
		cfg:          cfg,
		workers:      make(map[string]*worker),
		tasks:        make(map[string]*placedTask),
		estimates:    make(map[string]*estimate),
		failures:     make(map[string][]string),
		reservations: make(map[string]*worker),
		throttled:    make(map[string]*placedTask),
		spread:       make(map[rackQueue]int),
		evacuated:    make(map[string]bool),
	}
}

// Join adds a worker, or updates the worker of that name and makes it available
// again.
func (p *Placer) Join(description Worker) {
	if existing, ok := p.workers[description.Name]; ok {
		p.updateWorker(existing, description)
		existing.leaving = false
		existing.removing = false
		return
	}
	p.workers[description.Name] = p.newWorker(description)
	at, _ := slices.BinarySearch(p.names, description.Name)
	p.names = slices.Insert(p.names, at, description.Name)
}

// updateWorker replaces a worker's description and adjusts the task counts of its
// old and new rack.
func (p *Placer) updateWorker(w *worker, description Worker) {
	for _, task := range w.tasks {
		p.adjustSpread(task, -1)
	}
	w.Worker = description
	w.evacuated = p.isEvacuated(description.DataCentre)
	for _, task := range w.tasks {
		p.adjustSpread(task, 1)
	}
}

// Leave stops the placement of new tasks on a worker.
func (p *Placer) Leave(name string) {
	if w, ok := p.workers[name]; ok {
		w.leaving = true
	}
}

// SetSilent sets whether the worker has stopped responding. A silent worker gets
// no new tasks.
func (p *Placer) SetSilent(name string, silent bool) {
	if w, ok := p.workers[name]; ok {
		w.silent = silent
	}
}

// Remove stops the placement of new tasks on a worker and removes it once it
// holds no tasks.
func (p *Placer) Remove(name string) {
	w, ok := p.workers[name]
	if !ok {
		return
	}
	w.leaving = true
	w.removing = true
	p.removeIfEmpty(w)
}

// removeIfEmpty removes a worker that is to be removed and holds no tasks.
func (p *Placer) removeIfEmpty(w *worker) {
	if !w.removing || len(w.tasks) > 0 {
		return
	}
	name := w.Name
	delete(p.workers, name)
	at, _ := slices.BinarySearch(p.names, name)
	p.names = slices.Delete(p.names, at, at+1)
}

// Fits reports whether any worker, when empty, could run a task of the declared
// size. The result is known only if there is a worker.
func (p *Placer) Fits(declared Size) (fits, known bool) {
	for _, w := range p.workers {
		if declared.Fits(w.Size) {
			return true, true
		}
	}
	return false, len(p.workers) > 0
}

// Need returns the expected usage of the task, at most the size of a worker. Memory is
// doubled for each run that failed for lack of memory.
func (p *Placer) Need(d Demand) Size {
	need := d.Declared
	if !p.cfg.TrustDeclared {
		need = p.estimate(d.Queue).need(d.Declared)
	}
	need.Memory = scaleMemory(need.Memory, float64(int(1)<<min(d.MemoryFailures, 8)))
	return p.capToLargestWorker(need, d.Declared)
}

// capToLargestWorker limits a need that fits no worker to the size of the largest
// worker that the declaration fits. Evacuated workers do not count.
func (p *Placer) capToLargestWorker(need, declared Size) Size {
	var largest Size
	for _, name := range p.names {
		size := p.workers[name].Size
		if p.workers[name].evacuated {
			continue
		}
		if need.Fits(size) {
			return need
		}
		if declared.Fits(size) && size.Memory > largest.Memory {
			largest = size
		}
	}
	if largest == (Size{}) {
		return need
	}
	need.CPUs = min(need.CPUs, largest.CPUs)
	need.Memory = min(need.Memory, largest.Memory)
	return need
}

// estimate returns the estimate of a queue, creating it if needed.
func (p *Placer) estimate(queue string) *estimate {
	existing, ok := p.estimates[queue]
	if !ok {
		existing = newEstimate()
		p.estimates[queue] = existing
	}
	return existing
}
