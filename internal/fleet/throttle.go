package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

const (
	// tailHigh and tailLow are the fractions of a serving task's latency target between
	// which best-effort runs on the same endpoint keep their throttle.
	tailHigh, tailLow = 0.85, 0.6
	// throttleCutFactor and throttleRaisePercent adjust the throttle down and up.
	throttleCutFactor, throttleRaisePercent = 0.5, 10
	// minThrottlePercent is the lowest throttle; below it, best-effort runs are paused.
	minThrottlePercent = 10
	// throttleInterval is the time between two changes on one endpoint: reports cover half a second.
	throttleInterval = 600 * time.Millisecond
)

// throttleState is the throttle of an endpoint's best-effort runs.
type throttleState struct {
	percent   int
	changedAt time.Time
}

// throttleBestEffort slows best-effort runs beside serving tasks that are close to
// their latency target, and speeds them up again.
func (l *Leader) throttleBestEffort(e *endpoint, orders *Orders, now time.Time) {
	bestEffortRuns := e.bestEffortRuns()
	if len(bestEffortRuns) == 0 || now.Sub(e.throttle.changedAt) < throttleInterval || now.Sub(e.reportedAt) > maxReportAge {
		return
	}
	worst := e.worstTailRatio()
	percent := e.throttle.percent
	if e.throttle.changedAt.IsZero() {
		percent = 100
	}
	switch {
	case worst > tailHigh:
		percent = int(float64(percent) * throttleCutFactor)
		if percent < minThrottlePercent {
			percent = 0
		}
	case worst < tailLow:
		percent = min(100, percent+throttleRaisePercent)
	}
	e.throttle.percent = percent
	for _, r := range bestEffortRuns {
		if r.percent == percent {
			continue
		}
		r.percent = percent
		e.throttle.changedAt = now
		orders.Throttles = append(orders.Throttles, Throttle{Endpoint: e.row.ID, Task: r.key.task, Run: r.key.run, Percent: percent})
		l.log("run paced", "job", r.key.task.Job, "step", r.key.task.Step, "index", r.key.task.Index, "endpoint", e.row.ID, "percent", percent, "tail-of-target", worst)
	}
}

// bestEffortRuns returns the endpoint's live runs of best-effort tasks.
func (e *endpoint) bestEffortRuns() []*run {
	var bestEffortRuns []*run
	for _, r := range e.runs {
		if r.state == runLive && r.job != nil && r.step().BestEffort {
			bestEffortRuns = append(bestEffortRuns, r)
		}
	}
	return bestEffortRuns
}

// step returns the run's step.
func (r *run) step() job.Step {
	return r.job.submission.Steps[r.key.task.Step]
}

// worstTailRatio returns the highest ratio of tail latency to target among the
// endpoint's serving tasks.
func (e *endpoint) worstTailRatio() float64 {
	worst := 0.0
	for _, r := range e.runs {
		if r.job == nil || r.state != runLive || r.step().TailTarget <= 0 || r.step().BestEffort {
			continue
		}
		worst = max(worst, float64(r.tailLatency)/float64(r.step().TailTarget))
	}
	return worst
}
