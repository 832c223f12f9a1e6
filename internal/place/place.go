// Package place decides which worker runs which task.
//
// Declared sizes are a first guess: each queue's declarations are corrected by
// what its tasks were seen to use, within bounds. A worker on which everything
// fails is set aside and tried again ever more slowly. Urgent work takes room
// from lower classes by throttling or by checkpoints. Time is an argument.
//
// # Usage
//
//	placer := place.New(place.Config{})
//	placer.Join(place.Worker{Name: "worker-1", Rack: "a", Size: place.Size{CPUs: 16, Memory: 64 << 30}})
//	decision := placer.Choose(now, place.Demand{Task: "plans/7", Queue: "plans", Class: place.Normal, Declared: size})
//	if decision.Outcome == place.Placed {
//		placer.Place(now, demand, decision.Worker)
//	}
//	placer.Report(now, "worker-1", "plans/7", usage)
//	placer.Release(now, "plans/7", place.Succeeded)
//
// A Placer is not safe for concurrent use; the owner of its pool steps it.
package place

import (
	"slices"
	"time"
)

const (
	// settleTime is the age from which reports are trusted to show a task's use.
	settleTime = 5 * time.Second
	// starvingAfter is the wait after which room is kept for a task.
	starvingAfter = 30 * time.Second
	headroom      = 1.25
	trustBound    = 4.0
	throttledRate = 0.25
	// asideBound is the greatest part of the workers that may be set aside; when
	// more fail, the fault is not the workers'.
	asideBound = 0.5
)

// ThrottledRate is the speed of a throttled task, as a part of full speed.
const ThrottledRate = throttledRate

// Class orders work; what is urgent goes first.
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

// Rank is the class's place in Classes; unknown classes come last.
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

// above reports whether the class goes before the other.
func (c Class) above(other Class) bool {
	return c.Rank() < other.Rank()
}

// Demand is a task that needs a worker.
type Demand struct {
	Task     string
	Queue    string
	Class    Class
	Declared Size
	RunTime  time.Duration
	// Avoid names the workers on which the task failed.
	Avoid []string
	// MemoryFailures counts the runs that failed for want of memory.
	MemoryFailures int
	// Movable tasks may be checkpointed and started elsewhere.
	Movable bool
	Waited  time.Duration
}

// Outcome is the kind of a Decision.
type Outcome string

// Outcomes of Choose.
const (
	// Placed names the worker that has room.
	Placed Outcome = "placed"
	// Preempts names the worker that has room once Checkpoint has been done.
	Preempts Outcome = "preempts"
	// Waits means that no worker has room now.
	Waits Outcome = "waits"
	// Exhausted means that every worker the task fits is to be avoided.
	Exhausted Outcome = "exhausted"
)

// Decision says where a task goes and which tasks make room for it.
type Decision struct {
	Outcome    Outcome
	Worker     string
	Throttle   []string
	Checkpoint []string
}

// Result is how a task left its worker.
type Result string

// Results of a run, as Release takes them.
const (
	Succeeded Result = "succeeded"
	Failed    Result = "failed"
	// Ended is any other end: stopped, checkpointed, lost with its worker.
	Ended Result = "ended"
)

// Config holds the policy's switches, for measuring it against its baselines.
type Config struct {
	// TrustDeclared takes declared sizes as they are.
	TrustDeclared bool
}

// Placer holds the workers of one pool.
type Placer struct {
	cfg       Config
	workers   map[string]*worker
	names     []string
	tasks     map[string]*held
	estimates map[string]*estimate
	// failures maps a task to the workers it failed on, for telling bad workers
	// from bad tasks.
	failures map[string][]string
	// holds maps a task to the worker whose room is kept for it.
	holds     map[string]*worker
	throttled map[string]*held
	// spread counts each queue's tasks in each rack.
	spread map[rackQueue]int
}

// rackQueue is one queue's part of a rack.
type rackQueue struct {
	dataCentre string
	rack       string
	queue      string
}

// New returns a placer without workers.
func New(cfg Config) *Placer {
	return &Placer{
		cfg:       cfg,
		workers:   make(map[string]*worker),
		tasks:     make(map[string]*held),
		estimates: make(map[string]*estimate),
		failures:  make(map[string][]string),
		holds:     make(map[string]*worker),
		throttled: make(map[string]*held),
		spread:    make(map[rackQueue]int),
	}
}

// Join adds a worker, or updates the one of that name and lets it take work.
func (p *Placer) Join(description Worker) {
	if known, ok := p.workers[description.Name]; ok {
		p.move(known, description)
		known.leaving = false
		known.gone = false
		return
	}
	p.workers[description.Name] = newWorker(description)
	at, _ := slices.BinarySearch(p.names, description.Name)
	p.names = slices.Insert(p.names, at, description.Name)
}

// move changes a worker's description and with it the counts of its rack.
func (p *Placer) move(known *worker, description Worker) {
	for _, task := range known.tasks {
		p.count(task, -1)
	}
	known.Worker = description
	for _, task := range known.tasks {
		p.count(task, 1)
	}
}

// Leave keeps new tasks from a worker.
func (p *Placer) Leave(name string) {
	if known, ok := p.workers[name]; ok {
		known.leaving = true
	}
}

// Silent says whether the worker has stopped answering; a silent worker gets
// nothing new.
func (p *Placer) SetSilent(name string, silent bool) {
	if known, ok := p.workers[name]; ok {
		known.silent = silent
	}
}

// Gone removes a worker once nothing is held there.
func (p *Placer) Remove(name string) {
	known, ok := p.workers[name]
	if !ok {
		return
	}
	known.leaving = true
	known.gone = true
	p.sweep(known)
}

// sweep removes a worker that is gone and empty.
func (p *Placer) sweep(known *worker) {
	if !known.gone || len(known.tasks) > 0 {
		return
	}
	name := known.Name
	delete(p.workers, name)
	at, _ := slices.BinarySearch(p.names, name)
	p.names = slices.Delete(p.names, at, at+1)
}

// Fits reports whether an empty worker could ever run the declared size, and
// whether there is any worker to judge by.
func (p *Placer) Fits(declared Size) (fits, known bool) {
	for _, w := range p.workers {
		if declared.Fits(w.Size) {
			return true, true
		}
	}
	return false, len(p.workers) > 0
}

// Need is what the task is expected to use, at most a whole worker.
func (p *Placer) Need(d Demand) Size {
	need := d.Declared
	if !p.cfg.TrustDeclared {
		need = p.estimate(d.Queue).need(d.Declared)
	}
	need.Memory = scaleMemory(need.Memory, float64(int(1)<<min(d.MemoryFailures, 8)))
	return p.bounded(need, d.Declared)
}

// bounded cuts a need that outgrew the workers down to the largest worker that
// the declaration fits.
func (p *Placer) bounded(need, declared Size) Size {
	var largest Size
	for _, name := range p.names {
		size := p.workers[name].Size
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

// estimate returns what is known of a queue.
func (p *Placer) estimate(queue string) *estimate {
	known, ok := p.estimates[queue]
	if !ok {
		known = newEstimate()
		p.estimates[queue] = known
	}
	return known
}
