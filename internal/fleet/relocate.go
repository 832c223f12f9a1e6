package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

// evacuate stops persistent tasks on endpoints that are leaving or draining, as far as
// their steps' MaxUnavailable allows, so that they start elsewhere.
func (l *Leader) evacuate(now time.Time) {
	for _, e := range l.endpoints {
		if !e.leaving && !e.row.Draining {
			continue
		}
		for _, r := range e.runs {
			if r.isPersistent() && r.state == runLive && l.canStop(r, now) && l.hasAlternative(r, now) {
				l.stopRun(r, "endpoint is leaving", now)
			}
		}
	}
}

// canStop reports whether one more of the step's tasks may be unavailable.
func (l *Leader) canStop(r *run, now time.Time) bool {
	key := job.StepKey{Occurrence: r.key.task.Occurrence, Step: r.key.task.Step}
	return l.unavailableTasks(r.job, key, now) < max(1, r.step().MaxUnavailable)
}

// unavailableTasks counts the tasks of a persistent step that do not run at full speed.
func (l *Leader) unavailableTasks(j *jobState, key job.StepKey, now time.Time) int {
	unavailable := 0
	for index := range j.submission.Steps[key.Step].Count {
		isAtFullSpeed := false
		for _, r := range j.active[j.taskAt(key, index)] {
			isAtFullSpeed = isAtFullSpeed || r.state == runLive && r.isAtFullSpeed(now)
		}
		if !isAtFullSpeed {
			unavailable++
		}
	}
	return unavailable
}

// maxReportAge is the age up to which a report counts as current: the endpoint waits
// for a completion for at most reportWait, and the call itself takes time.
const maxReportAge = reportWait + 600*time.Millisecond

// isAtFullSpeed reports whether a recent report shows the run at full speed, or a
// throttled run at the speed that was ordered.
func (r *run) isAtFullSpeed(now time.Time) bool {
	return r.endpoint.listed && !r.endpoint.gone && now.Sub(r.endpoint.reportedAt) < maxReportAge && !r.fullSpeedAt.IsZero() && r.speedPercent >= min(100, r.percent)
}

// hasAlternative reports whether another endpoint of the pool can run the task now.
func (l *Leader) hasAlternative(r *run, now time.Time) bool {
	key := job.StepKey{Occurrence: r.key.task.Occurrence, Step: r.key.task.Step}
	opened := r.job.steps[key]
	if opened == nil {
		return false
	}
	g := taskGroup{job: r.job, step: opened}
	for _, candidate := range l.candidates(r.endpoint.row.Pool, now) {
		if candidate.endpoint != r.endpoint && g.allows(candidate) {
			return true
		}
	}
	return false
}
