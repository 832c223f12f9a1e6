package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

// evacuate moves lasting tasks off endpoints that are leaving or draining, as far
// as their steps may miss some: each is stopped and starts elsewhere.
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

// canStop reports whether another of the step's tasks may be away.
func (l *Leader) canStop(r *run, now time.Time) bool {
	key := job.StepKey{Occurrence: r.key.task.Occurrence, Step: r.key.task.Step}
	return l.unavailableTasks(r.job, key, now) < max(1, r.step().MaxUnavailable)
}

// unavailableTasks counts the tasks of a lasting step that are not at work.
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

// maxReportAge is how old an endpoint's report may be to count as what is true now:
// a look waits for an end at most lookWait, and takes some time itself.
const maxReportAge = reportWait + 600*time.Millisecond

// isAtFullSpeed reports whether the endpoint said lately that the run has its full
// speed; a paced filler does what it was told.
func (r *run) isAtFullSpeed(now time.Time) bool {
	return r.endpoint.listed && now.Sub(r.endpoint.reportedAt) < maxReportAge && !r.fullSpeedAt.IsZero() && r.speedPercent >= min(100, r.percent)
}

// hasAlternative reports whether another endpoint of the pool can take the run's task now.
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
