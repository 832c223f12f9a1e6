package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

const (
	// tailHigh and tailLow are parts of a serving task's target between which
	// fillers beside it keep their pace.
	tailHigh, tailLow = 0.85, 0.6
	// throttleCutFactor and paceRaise change the fillers' share of their full speed.
	throttleCutFactor, throttleRaisePercent = 0.5, 10
	// minThrottlePercent is the least share in percent; below it a filler is held at 0.
	minThrottlePercent = 10
	// throttleInterval is the time between two changes on one endpoint: reports cover half a second.
	throttleInterval = 600 * time.Millisecond
)

// throttleState is how an endpoint's fillers are paced.
type throttleState struct {
	percent   int
	changedAt time.Time
}

// throttleBestEffort slows fillers beside serving tasks that are near their target, and
// lets them work again.
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

// bestEffortRuns lists the endpoint's live runs of filler tasks.
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

// worstTailRatio is the highest tail of the endpoint's serving tasks as a part of their target.
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
