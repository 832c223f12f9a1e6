package place

import (
	"slices"
	"strings"
	"time"
)

// WorkerState is a worker as the dump shows it.
type WorkerState struct {
	Worker
	Used             Size     `json:"used"`
	Tasks            []string `json:"tasks"`
	Leaving          bool     `json:"leaving"`
	Silent           bool     `json:"silent"`
	QuarantinedUntil string   `json:"aside-until,omitempty"`
	Reservation      string   `json:"hold,omitempty"`
}

// Dump returns the workers in name order.
func (p *Placer) Dump() []WorkerState {
	states := make([]WorkerState, 0, len(p.names))
	for _, name := range p.names {
		w := p.workers[name]
		state := WorkerState{
			Worker: w.Worker, Used: w.used, Leaving: w.leaving, Silent: w.silent, Tasks: []string{},
		}
		if w.hold != nil {
			state.Reservation = w.hold.task
		}
		for task := range w.tasks {
			state.Tasks = append(state.Tasks, task)
		}
		slices.SortFunc(state.Tasks, strings.Compare)
		if !w.health.asideUntil.IsZero() {
			state.QuarantinedUntil = w.health.asideUntil.Format(time.RFC3339)
		}
		states = append(states, state)
	}
	return states
}
