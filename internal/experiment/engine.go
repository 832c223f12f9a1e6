package experiment

import (
	"container/heap"
	"time"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// engine runs events in virtual time; equal times run in the order of planning.
type engine struct {
	now     time.Time
	planned eventHeap
	count   uint64
}

func newEngine() *engine {
	return &engine{now: epoch}
}

func (e *engine) after(d time.Duration, run func()) {
	e.count++
	heap.Push(&e.planned, event{at: e.now.Add(d), order: e.count, run: run})
}

func (e *engine) every(phase, period time.Duration, run func()) {
	e.after(phase, func() {
		run()
		e.every(period, period, run)
	})
}

func (e *engine) runFor(d time.Duration) {
	end := e.now.Add(d)
	for len(e.planned) > 0 && !e.planned[0].at.After(end) {
		next := heap.Pop(&e.planned).(event)
		e.now = next.at
		next.run()
	}
	e.now = end
}

// elapsed is the virtual time since the start.
func (e *engine) elapsed() time.Duration {
	return e.now.Sub(epoch)
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	out := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return out
}
