package experiment

import (
	"container/heap"
	"time"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// engine is a discrete event simulator. Events at the same virtual time run in
// the order in which they were scheduled.
type engine struct {
	now     time.Time
	events  eventHeap
	lastSeq uint64
}

func newEngine() *engine {
	return &engine{now: epoch}
}

func (e *engine) after(d time.Duration, run func()) {
	e.lastSeq++
	heap.Push(&e.events, event{at: e.now.Add(d), seq: e.lastSeq, run: run})
}

func (e *engine) every(phase, period time.Duration, run func()) {
	e.after(phase, func() {
		run()
		e.every(period, period, run)
	})
}

func (e *engine) runFor(d time.Duration) {
	end := e.now.Add(d)
	for len(e.events) > 0 && !e.events[0].at.After(end) {
		next := heap.Pop(&e.events).(event)
		e.now = next.at
		next.run()
	}
	e.now = end
}

// elapsed returns the virtual time since the start.
func (e *engine) elapsed() time.Duration {
	return e.now.Sub(epoch)
}

type event struct {
	at  time.Time
	seq uint64
	run func()
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
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
