package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

// relocatePersistent stops persistent tasks on endpoints that are leaving or draining, or whose
// data centre is evacuated, as far as their steps' MaxUnavailable allows, so that they start
// elsewhere.
func (l *Leader) relocatePersistent(now time.Time) {
	alternatives := l.newAlternatives(now)
	for _, e := range l.endpoints {
		isEvacuated := l.mustLeave(e)
		if e.tally.persistent == 0 || !e.leaving && !e.row.Draining && !isEvacuated {
			continue
		}
		reason := "endpoint is leaving"
		if isEvacuated {
			reason = "data centre is evacuated"
		}
		for _, r := range e.runs {
			if r.isPersistent() && r.state == runLive && l.heldReason(r, alternatives, now) == "" {
				l.stopRun(r, reason, now)
			}
		}
	}
}

// heldReason returns why a persistent run cannot leave its endpoint now, or "".
func (l *Leader) heldReason(r *run, alternatives *alternatives, now time.Time) string {
	switch {
	case !l.canStop(r, now):
		return "the step's limit of unavailable tasks is reached"
	case !alternatives.hasRoomFor(r):
		return "no other endpoint can take the task"
	default:
		return ""
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

// alternatives holds, by pool, the endpoints that can take a run that leaves another one. They do
// not change while one step's runs are looked at, and there are many of both in a large fleet.
type alternatives struct {
	leader *Leader
	now    time.Time
	byPool map[string][]*candidateEndpoint
}

func (l *Leader) newAlternatives(now time.Time) *alternatives {
	return &alternatives{leader: l, now: now, byPool: map[string][]*candidateEndpoint{}}
}

// hasRoomFor reports whether another endpoint of the pool can run the task now.
func (a *alternatives) hasRoomFor(r *run) bool {
	opened := r.job.steps[job.StepKey{Occurrence: r.key.task.Occurrence, Step: r.key.task.Step}]
	if opened == nil {
		return false
	}
	pool := r.endpoint.row.Pool
	candidates, ok := a.byPool[pool]
	if !ok {
		candidates = a.leader.candidates(pool, a.now)
		a.byPool[pool] = candidates
	}
	g := taskGroup{job: r.job, step: opened}
	for _, candidate := range candidates {
		if candidate.endpoint != r.endpoint && g.allows(candidate) {
			return true
		}
	}
	return false
}
