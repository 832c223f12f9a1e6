package limit_test

import (
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/table"
)

// action is a weighted simulation step on a process and the i-th manager.
type action struct {
	weight int
	run    func(s *simulation, p *process, i int)
}

// baseActions are part of every run.
var baseActions = []action{
	{6, func(s *simulation, _ *process, _ int) { s.burst(s.busiest()) }},
	{2, func(s *simulation, _ *process, _ int) { s.flood() }},
	{3, func(s *simulation, _ *process, _ int) { s.withRandomWork(s.end) }},
	{1, func(s *simulation, _ *process, _ int) { s.drain() }},
	{1, func(s *simulation, _ *process, _ int) { s.busy = s.intn(memberCount) }},
	{12, func(s *simulation, _ *process, _ int) { s.deliver() }},
	{10, func(s *simulation, p *process, _ int) { s.gossip(p) }},
	{7, func(s *simulation, p *process, _ int) { s.readRow(p) }},
	{6, func(s *simulation, _ *process, i int) { s.manage(i) }},
	{6, func(s *simulation, _ *process, i int) { s.commit(i) }},
	{2, func(s *simulation, _ *process, _ int) { s.advance(time.Duration(s.intn(5000)) * time.Millisecond) }},
}

// faultActions get random weights in each run, so that some runs lack some.
var faultActions = []action{
	{2, func(s *simulation, _ *process, _ int) { s.withRandomWork(s.timeOut) }},
	{1, func(s *simulation, p *process, _ int) { s.pause(p, true) }},
	{2, func(s *simulation, p *process, _ int) { s.pause(p, false) }},
	{1, func(s *simulation, _ *process, _ int) { s.cut(true) }},
	{1, func(s *simulation, _ *process, _ int) { s.cut(false) }},
	{1, func(s *simulation, p *process, _ int) { s.crashSometimes(p) }},
	{1, func(s *simulation, _ *process, _ int) { s.setFaults(table.Faults{Down: true}) }},
	{1, func(s *simulation, _ *process, _ int) { s.setFaults(table.Faults{LoseAnswers: true}) }},
	{4, func(s *simulation, _ *process, _ int) { s.setFaults(table.Faults{}) }},
	{2, func(s *simulation, _ *process, _ int) { s.setLimit(1 + s.intn(8)) }},
	{1, func(s *simulation, _ *process, i int) { s.restartManager(i) }},
	{2, func(s *simulation, p *process, _ int) { s.replayRow(p) }},
}

// drawWeights draws the weights of this run.
func (s *simulation) drawWeights() {
	s.actions = slices.Clone(baseActions)
	for _, a := range faultActions {
		a.weight *= s.intn(3)
		s.actions = append(s.actions, a)
	}
}

// busiest returns the member that currently has most of the load, or a random
// one.
func (s *simulation) busiest() *process {
	if s.intn(2) == 0 {
		return s.procs[s.intn(len(s.procs))]
	}
	return s.procs[s.busy]
}

// step takes one action.
func (s *simulation) step() {
	s.counts["step"]++
	p := s.procs[s.intn(len(s.procs))]
	total := 0
	for _, a := range s.actions {
		total += a.weight
	}
	pick := s.intn(total)
	for _, a := range s.actions {
		if pick < a.weight {
			a.run(s, p, s.intn(len(s.managers)))
			return
		}
		pick -= a.weight
	}
}

// burst starts several pieces of work at one member.
func (s *simulation) burst(p *process) {
	for range 1 + s.intn(6) {
		s.start(p)
	}
}

// flood starts as much work as all members are permitted.
func (s *simulation) flood() {
	for _, p := range s.procs {
		for range 9 {
			s.start(p)
		}
	}
}

func (s *simulation) drain() {
	if s.intn(3) > 0 {
		return
	}
	for len(s.running) > 0 {
		s.end(0)
	}
}

// cut separates a data centre's members from the table and the managers, but
// not from each other and the other members.
func (s *simulation) cut(cut bool) {
	if cut {
		s.counts["cut"]++
	}
	for _, p := range s.procs[:2] {
		p.cut = cut
	}
}

func (s *simulation) crashSometimes(p *process) {
	if s.intn(3) == 0 {
		s.crash(slices.Index(s.procs, p))
	}
}

// withRandomWork applies f to one piece of running work.
func (s *simulation) withRandomWork(f func(i int)) {
	if len(s.running) > 0 {
		f(s.intn(len(s.running)))
	}
}

func (s *simulation) pause(p *process, paused bool) {
	if paused && !p.paused {
		s.counts["pause"]++
	}
	if !paused && p.paused {
		s.counts["wake"]++
	}
	p.paused = paused
}

func (s *simulation) replayRow(p *process) {
	if len(s.committedRows) > 0 && !p.paused && !p.cut {
		s.applyRow(p, s.committedRows[s.intn(len(s.committedRows))])
	}
}
