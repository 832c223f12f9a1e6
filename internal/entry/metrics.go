package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lovagedyke/lovagedyke/pkg/api"
)

// requestMetrics counts the responses to callers.
type requestMetrics struct {
	set *metrics.Set
}

// newRequestMetrics returns metrics that are registered with those of the
// process.
func newRequestMetrics() *requestMetrics {
	set := metrics.NewSet()
	metrics.RegisterSet(set)
	return &requestMetrics{set: set}
}

// observeResponse counts an endpoint's response and its latency.
func (m *requestMetrics) observeResponse(c *call, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`lovagedyke_entry_answers_total{service=%q,team=%q}`, c.entry.Name, c.team)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`lovagedyke_entry_answer_seconds{service=%q}`, c.entry.Name)).Update(took.Seconds())
}

// countProblem counts a problem that the entry responded with.
func (m *requestMetrics) countProblem(problem *api.Problem) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`lovagedyke_entry_problems_total{reason=%q,outcome=%q}`, problem.Reason, string(problem.Outcome))).Inc()
}
