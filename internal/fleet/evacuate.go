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
			if r.isLasting() && r.state == runLive && l.mayStop(r, now) && l.hasPlace(r, now) {
				l.stopRun(r, "endpoint is leaving", now)
			}
		}
	}
}

// mayStop reports whether another of the step's tasks may be away.
func (l *Leader) mayStop(r *run, now time.Time) bool {
	key := job.StepKey{Occurrence: r.key.task.Occurrence, Step: r.key.task.Step}
	return l.awayOf(r.job, key, now) < max(1, r.step().MaxUnavailable)
}

// awayOf counts the tasks of a lasting step that are not at work.
func (l *Leader) awayOf(j *jobState, key job.StepKey, now time.Time) int {
	away := 0
	for index := range j.submission.Steps[key.Step].Count {
		isAtWork := false
		for _, r := range j.active[j.taskAt(key, index)] {
			isAtWork = isAtWork || r.state == runLive && r.isAtWork(now)
		}
		if !isAtWork {
			away++
		}
	}
	return away
}

// reportFresh is how old an endpoint's report may be to count as what is true now:
// a look waits for an end at most lookWait, and takes some time itself.
const reportFresh = lookWait + 600*time.Millisecond

// isAtWork reports whether the endpoint said lately that the run has its full
// speed; a paced filler does what it was told.
func (r *run) isAtWork(now time.Time) bool {
	return r.endpoint.listed && now.Sub(r.endpoint.lookedAt) < reportFresh && !r.atWorkAt.IsZero() && r.share >= min(100, r.percent)
}

// hasPlace reports whether another endpoint of the pool can take the run's task now.
func (l *Leader) hasPlace(r *run, now time.Time) bool {
	key := job.StepKey{Occurrence: r.key.task.Occurrence, Step: r.key.task.Step}
	opened := r.job.steps[key]
	if opened == nil {
		return false
	}
	g := group{job: r.job, step: opened}
	for _, room := range l.rooms(r.endpoint.row.Pool, now) {
		if room.endpoint != r.endpoint && g.allows(room) {
			return true
		}
	}
	return false
}
