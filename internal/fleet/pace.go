package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

const (
	// tailHigh and tailLow are parts of a serving task's target between which
	// fillers beside it keep their pace.
	tailHigh, tailLow = 0.85, 0.6
	// paceCut and paceRaise change the fillers' share of their full speed.
	paceCut, paceRaise = 0.5, 10
	// paceFloor is the least share in percent; below it a filler is held at 0.
	paceFloor = 10
	// paceEvery is the time between two changes on one endpoint: reports cover half a second.
	paceEvery = 600 * time.Millisecond
)

// tailState is how an endpoint's fillers are paced.
type tailState struct {
	percent   int
	changedAt time.Time
}

// paceEndpoint slows fillers beside serving tasks that are near their target, and
// lets them work again.
func (l *Leader) paceEndpoint(e *endpoint, orders *Orders, now time.Time) {
	fillers := e.fillers()
	if len(fillers) == 0 || now.Sub(e.tail.changedAt) < paceEvery || now.Sub(e.lookedAt) > reportFresh {
		return
	}
	worst := e.worstTail()
	percent := e.tail.percent
	if e.tail.changedAt.IsZero() {
		percent = 100
	}
	switch {
	case worst > tailHigh:
		percent = int(float64(percent) * paceCut)
		if percent < paceFloor {
			percent = 0
		}
	case worst < tailLow:
		percent = min(100, percent+paceRaise)
	}
	e.tail.percent = percent
	for _, r := range fillers {
		if r.percent == percent {
			continue
		}
		r.percent = percent
		e.tail.changedAt = now
		orders.Throttles = append(orders.Throttles, Throttle{Endpoint: e.row.ID, Task: r.key.task, Run: r.key.run, Percent: percent})
		l.note("run paced", "job", r.key.task.Job, "step", r.key.task.Step, "index", r.key.task.Index, "endpoint", e.row.ID, "percent", percent, "tail-of-target", worst)
	}
}

// fillers lists the endpoint's live runs of filler tasks.
func (e *endpoint) fillers() []*run {
	var fillers []*run
	for _, r := range e.runs {
		if r.state == runLive && r.job != nil && r.step().BestEffort {
			fillers = append(fillers, r)
		}
	}
	return fillers
}

// step returns the run's step.
func (r *run) step() job.Step {
	return r.job.submission.Steps[r.key.task.Step]
}

// worstTail is the highest tail of the endpoint's serving tasks as a part of their target.
func (e *endpoint) worstTail() float64 {
	worst := 0.0
	for _, r := range e.runs {
		if r.job == nil || r.state != runLive || r.step().TailTarget <= 0 || r.step().BestEffort {
			continue
		}
		worst = max(worst, float64(r.tail)/float64(r.step().TailTarget))
	}
	return worst
}
