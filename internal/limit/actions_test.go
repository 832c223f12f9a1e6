package limit_test

import (
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/table"
)

// action is one thing that may happen next, to a member and a manager.
type action struct {
	weight int
	do     func(w *world, p *process, i int)
}

// common actions happen in every run.
var common = []action{
	{6, func(w *world, _ *process, _ int) { w.burst(w.busiest()) }},
	{2, func(w *world, _ *process, _ int) { w.flood() }},
	{3, func(w *world, _ *process, _ int) { w.one(w.end) }},
	{1, func(w *world, _ *process, _ int) { w.drain() }},
	{1, func(w *world, _ *process, _ int) { w.busy = w.intn(memberCount) }},
	{12, func(w *world, _ *process, _ int) { w.deliver() }},
	{10, func(w *world, p *process, _ int) { w.trade(p) }},
	{7, func(w *world, p *process, _ int) { w.readRow(p) }},
	{6, func(w *world, _ *process, i int) { w.manage(i) }},
	{6, func(w *world, _ *process, i int) { w.commit(i) }},
	{2, func(w *world, _ *process, _ int) { w.advance(time.Duration(w.intn(5000)) * time.Millisecond) }},
}

// disturbances are weighed anew for each run, so that some runs lack some.
var disturbances = []action{
	{2, func(w *world, _ *process, _ int) { w.one(w.timeOut) }},
	{1, func(w *world, p *process, _ int) { w.pause(p, true) }},
	{2, func(w *world, p *process, _ int) { w.pause(p, false) }},
	{1, func(w *world, _ *process, _ int) { w.cut(true) }},
	{1, func(w *world, _ *process, _ int) { w.cut(false) }},
	{1, func(w *world, p *process, _ int) { w.mayCrash(p) }},
	{1, func(w *world, _ *process, _ int) { w.setFaults(table.Faults{Down: true}) }},
	{1, func(w *world, _ *process, _ int) { w.setFaults(table.Faults{LoseAnswers: true}) }},
	{4, func(w *world, _ *process, _ int) { w.setFaults(table.Faults{}) }},
	{2, func(w *world, _ *process, _ int) { w.setLimit(1 + w.intn(8)) }},
	{1, func(w *world, _ *process, i int) { w.restartManager(i) }},
	{2, func(w *world, p *process, _ int) { w.replayRow(p) }},
}

// weigh draws the weights of this run.
func (w *world) weigh() {
	w.actions = slices.Clone(common)
	for _, a := range disturbances {
		a.weight *= w.intn(3)
		w.actions = append(w.actions, a)
	}
}

// busiest returns the member that has most of the load for now, or another.
func (w *world) busiest() *process {
	if w.intn(2) == 0 {
		return w.procs[w.intn(len(w.procs))]
	}
	return w.procs[w.busy]
}

// step takes one action.
func (w *world) step() {
	w.counts["step"]++
	p := w.procs[w.intn(len(w.procs))]
	total := 0
	for _, a := range w.actions {
		total += a.weight
	}
	pick := w.intn(total)
	for _, a := range w.actions {
		if pick < a.weight {
			a.do(w, p, w.intn(len(w.managers)))
			return
		}
		pick -= a.weight
	}
}

// burst starts some work at once.
func (w *world) burst(p *process) {
	for range 1 + w.intn(6) {
		w.start(p)
	}
}

// flood starts all that anyone may.
func (w *world) flood() {
	for _, p := range w.procs {
		for range 9 {
			w.start(p)
		}
	}
}

func (w *world) drain() {
	if w.intn(3) > 0 {
		return
	}
	for len(w.running) > 0 {
		w.end(0)
	}
}

// cut takes a data centre's members away from table and managers, but not from
// each other and the other members.
func (w *world) cut(cut bool) {
	if cut {
		w.counts["cut"]++
	}
	for _, p := range w.procs[:2] {
		p.cut = cut
	}
}

func (w *world) mayCrash(p *process) {
	if w.intn(3) == 0 {
		w.crash(slices.Index(w.procs, p))
	}
}

// one applies f to one piece of running work.
func (w *world) one(f func(i int)) {
	if len(w.running) > 0 {
		f(w.intn(len(w.running)))
	}
}

func (w *world) pause(p *process, paused bool) {
	if paused && !p.paused {
		w.counts["pause"]++
	}
	if !paused && p.paused {
		w.counts["wake"]++
	}
	p.paused = paused
}

func (w *world) replayRow(p *process) {
	if len(w.rows) > 0 && !p.paused && !p.cut {
		w.adopt(p, w.rows[w.intn(len(w.rows))])
	}
}
