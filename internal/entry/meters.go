package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lovagedyke/lovagedyke/pkg/api"
)

// meters counts what callers get.
type meters struct {
	set *metrics.Set
}

// newMeters returns counters that are part of the process's metrics.
func newMeters() *meters {
	set := metrics.NewSet()
	metrics.RegisterSet(set)
	return &meters{set: set}
}

// answered counts an endpoint's answer that was passed on.
func (m *meters) answered(c *call, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`lovagedyke_entry_answers_total{service=%q,team=%q}`, c.entry.Name, c.team)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`lovagedyke_entry_answer_seconds{service=%q}`, c.entry.Name)).Update(took.Seconds())
}

// refused counts an answer of the entry's own.
func (m *meters) refused(problem *api.Problem) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`lovagedyke_entry_problems_total{reason=%q,outcome=%q}`, problem.Reason, string(problem.Outcome))).Inc()
}
