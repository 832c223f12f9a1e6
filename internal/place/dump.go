package place

import (
	"slices"
	"strings"
	"time"
)

// WorkerState describes a worker in a dump.
type WorkerState struct {
	Worker
	Used             Size     `json:"used"`
	Tasks            []string `json:"tasks"`
	Leaving          bool     `json:"leaving"`
	Evacuated        bool     `json:"evacuated"`
	Silent           bool     `json:"silent"`
	QuarantinedUntil string   `json:"aside-until,omitempty"`
	Reservation      string   `json:"hold,omitempty"`
}

// Dump returns the state of all workers, sorted by name.
func (p *Placer) Dump() []WorkerState {
	states := make([]WorkerState, 0, len(p.names))
	for _, name := range p.names {
		w := p.workers[name]
		state := WorkerState{
			Worker: w.Worker, Used: w.used, Leaving: w.leaving, Evacuated: w.evacuated, Silent: w.silent, Tasks: []string{},
		}
		if w.reservation != nil {
			state.Reservation = w.reservation.task
		}
		for task := range w.tasks {
			state.Tasks = append(state.Tasks, task)
		}
		slices.SortFunc(state.Tasks, strings.Compare)
		if !w.health.quarantinedUntil.IsZero() {
			state.QuarantinedUntil = w.health.quarantinedUntil.Format(time.RFC3339)
		}
		states = append(states, state)
	}
	return states
}
