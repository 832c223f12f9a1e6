package fleet

import (
	"cmp"
	"slices"
	"time"
)

// endpointEnd is evidence that an endpoint's incarnation has ended.
type endpointEnd struct {
	endpoint *endpoint
	reason   string
	// isPlanned is true if the endpoint was drained, or its host moved or maintained.
	isPlanned bool
	// isRestart is true if a new incarnation under the same ID shows the end.
	isRestart bool
	// at is when the evidence was requested.
	at time.Time
	// together is how many endpoints the same evidence shows as ended without a plan.
	together int
}

// maxLoggedRuns bounds the runs that a log line lists.
const maxLoggedRuns = 16

// workedFor returns for how long the run is known to have worked: its endpoint reported it
// that long after it had confirmed the start.
func (r *run) workedFor() time.Duration {
	if r.answeredAt.IsZero() || !r.seenAt.After(r.answeredAt) {
		return 0
	}
	return r.seenAt.Sub(r.answeredAt)
}

// logCrash logs which runs an endpoint had when it ended without a plan.
func (l *Leader) logCrash(end endpointEnd, now time.Time) {
	e := end.endpoint
	if end.isPlanned || len(e.runs) == 0 {
		return
	}
	runs := make([]*run, 0, len(e.runs))
	for _, r := range e.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.workedFor(), b.workedFor()) })
	var listed []string
	for _, r := range runs[:min(len(runs), maxLoggedRuns)] {
		listed = append(listed, r.key.String()+" "+r.state.String()+" "+r.workedFor().Round(time.Millisecond).String())
	}
	l.log("endpoint crashed", "endpoint", e.row.ID, "pool", e.row.Pool, "why", end.reason, "restarted", end.isRestart,
		"evidence-age", age(end.at, now), "report-age", age(e.reportedAt, now), "together", end.together, "runs", len(runs), "worked", listed)
}
