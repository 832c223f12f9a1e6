// Package overload decides which waiting work is deferred while a pool has less capacity than its
// work needs in time. It does no I/O and reads no clock.
//
// Work is started in the order of its deadlines as long as all of it can be in time. Where that is
// not possible, the work whose delay costs callers least is deferred until the rest can be. The
// cost is what a job is worth to callers for the capacity that it still needs: one answer that a
// caller waits for, and the amount of work that the answer stands for.
//
// # Usage
//
//	sizes := overload.New(overload.Config{})           // one for each queue
//	class := sizes.Observe(hostSeconds)                // at submission
//	deferred := overload.Defer(works, backlog, now)    // works by deadline
//	sizes.Count(class, startedInTime)                  // once known
package overload

import (
	"container/heap"
	"time"
)

// Backlog is what a pool has to do before it can start waiting work.
type Backlog struct {
	// Hosts is the number of hosts on which the pool can start work.
	Hosts float64
	// HostSeconds is the capacity that the work ahead still needs: the share of a host times the
	// seconds.
	HostSeconds float64
}

// Work is waiting work of one level: the same priority, lateness and relation to its client
// account's share. Levels are never traded for each other.
type Work struct {
	// Deadline is when the work has to start.
	Deadline time.Time
	// HostSeconds is the capacity that is needed until the deadline, and Remaining what the job
	// still needs in all.
	HostSeconds, Remaining float64
	// Value is what the job is worth to callers.
	Value float64
	// Protected work is not deferred: its job has used capacity that would be lost, was refused
	// before, or is of a size that has been in time less often than its queue.
	Protected bool
}

// minHostSeconds bounds the cost of tiny work from below, so that its order stays defined.
const minHostSeconds = 1e-6

// density is the value for each host-second.
func (w Work) density() float64 {
	return w.Value / max(minHostSeconds, w.Remaining)
}

// Defer returns which of the works to defer, so that the others can start by their deadlines, and
// the backlog with these others. The works must be in the order of their deadlines. Of all that
// start before a deadline that would be missed, the least dense is deferred first.
func Defer(works []Work, backlog Backlog, now time.Time) ([]bool, Backlog) {
	deferred := make([]bool, len(works))
	kept := &leastDense{works: works}
	for i, work := range works {
		backlog.HostSeconds += work.HostSeconds
		if !work.Protected {
			heap.Push(kept, i)
		}
		for kept.Len() > 0 && now.Add(backlog.wait()).After(work.Deadline) {
			least := heap.Pop(kept).(int)
			deferred[least] = true
			backlog.HostSeconds -= works[least].HostSeconds
		}
	}
	return deferred, backlog
}

// maxWait bounds the waits that are computed, and is the wait without any host.
const maxWait = time.Hour

// wait returns how long the backlog takes.
func (b Backlog) wait() time.Duration {
	// A longer wait may exceed the longest duration.
	if b.Hosts <= 0 || b.HostSeconds >= b.Hosts*maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(b.HostSeconds / b.Hosts * float64(time.Second))
}

// leastDense is a heap of indexes of works, the least dense first.
type leastDense struct {
	works   []Work
	indexes []int
}

// Len implements heap.Interface.
func (l *leastDense) Len() int { return len(l.indexes) }

// Less implements heap.Interface.
func (l *leastDense) Less(i, j int) bool {
	return l.works[l.indexes[i]].density() < l.works[l.indexes[j]].density()
}

// Swap implements heap.Interface.
func (l *leastDense) Swap(i, j int) { l.indexes[i], l.indexes[j] = l.indexes[j], l.indexes[i] }

// Push implements heap.Interface.
func (l *leastDense) Push(index any) { l.indexes = append(l.indexes, index.(int)) }

// Pop implements heap.Interface.
func (l *leastDense) Pop() any {
	last := l.indexes[len(l.indexes)-1]
	l.indexes = l.indexes[:len(l.indexes)-1]
	return last
}
