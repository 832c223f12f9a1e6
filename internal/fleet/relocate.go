package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

// relocatePersistent stops persistent tasks on endpoints that are leaving or draining, or whose
// data centre is evacuated, as far as their steps' MaxUnavailable allows, so that they start
// elsewhere.
func (l *Leader) relocatePersistent(now time.Time) {
	relocation := l.newRelocation(now)
	for _, e := range l.endpointList {
		isEvacuated := l.mustLeave(e)
		if e.tally.persistent == 0 || !e.leaving && !e.row.Draining && !isEvacuated {
			continue
		}
		reason := "endpoint is leaving"
		if isEvacuated {
			reason = "data centre is evacuated"
		}
		for _, r := range e.runs {
			if r.isPersistent() && r.state == runLive && relocation.heldReason(r) == "" {
				l.stopRun(r, reason, now)
				delete(relocation.unavailable, r.stepRef())
				relocation.reserve(r)
			}
		}
	}
}

// stepRef identifies a step among those of all jobs.
type stepRef struct {
	job *jobState
	key job.StepKey
}

func (r *run) stepRef() stepRef {
	return stepRef{job: r.job, key: r.key.task.StepKey()}
}

// relocation looks for other endpoints for persistent runs. It keeps what is the same for all runs
// of a pool or of a step: an evacuated data centre of a large fleet has many of them.
type relocation struct {
	leader *Leader
	now    time.Time
	// targets holds the endpoints that accept work, by pool, and unavailable, by step, the number of
	// tasks that do not run at full speed.
	targets     map[string]*relocationTargets
	unavailable map[stepRef]int
}

// relocationTargets holds a pool's endpoints that accept work, less what is reserved for persistent
// tasks that are being stopped elsewhere, and sizes that fit on none.
type relocationTargets struct {
	candidates  []*candidateEndpoint
	unplaceable unplaceableSizes
}

func (l *Leader) newRelocation(now time.Time) *relocation {
	return &relocation{leader: l, now: now, targets: map[string]*relocationTargets{}, unavailable: map[stepRef]int{}}
}

// targetsOf returns a pool's endpoints that accept work.
func (m *relocation) targetsOf(pool string) *relocationTargets {
	targets := m.targets[pool]
	if targets == nil {
		targets = &relocationTargets{candidates: m.leader.candidates(pool, m.now)}
		m.targets[pool] = targets
		m.reserveForStopping(pool)
	}
	return targets
}

// reserveForStopping reserves capacity for the persistent runs of a pool that are being stopped:
// they start elsewhere once they have ended.
func (m *relocation) reserveForStopping(pool string) {
	for _, e := range m.leader.endpoints {
		if e.row.Pool != pool || e.tally.stopping == 0 || e.tally.persistent == 0 {
			continue
		}
		for _, r := range e.runs {
			if r.isPersistent() && r.state == runStopping {
				m.reserve(r)
			}
		}
	}
}

// reserve reserves capacity for a persistent run that is being stopped on the endpoint that has
// the first place for it, so that no other run is stopped for the same capacity.
func (m *relocation) reserve(r *run) {
	if target := m.alternative(r); target != nil {
		target.available = target.available.Minus(r.reserved)
	}
}

// heldReason returns why a persistent run cannot leave its endpoint now, or "".
func (m *relocation) heldReason(r *run) string {
	switch {
	case !m.canStop(r):
		return "the step's limit of unavailable tasks is reached"
	case !m.hasAlternative(r):
		return "no other endpoint can take the task"
	default:
		return ""
	}
}

// canStop reports whether one more of the step's tasks may be unavailable.
func (m *relocation) canStop(r *run) bool {
	step := r.stepRef()
	unavailable, ok := m.unavailable[step]
	if !ok {
		unavailable = m.leader.unavailableTasks(r.job, step.key, m.now)
		m.unavailable[step] = unavailable
	}
	return unavailable < max(1, r.step().MaxUnavailable)
}

// hasAlternative reports whether another endpoint of the pool can run the task now.
func (m *relocation) hasAlternative(r *run) bool {
	return m.alternative(r) != nil
}

// alternative returns another endpoint of the pool that can run the task now, or nil.
func (m *relocation) alternative(r *run) *candidateEndpoint {
	opened := r.job.steps[r.stepRef().key]
	if opened == nil {
		return nil
	}
	targets, size := m.targetsOf(r.endpoint.row.Pool), opened.step.Reserved()
	if targets.unplaceable.contains(size) {
		return nil
	}
	g := taskGroup{job: r.job, step: opened}
	for _, candidate := range targets.candidates {
		if candidate.endpoint != r.endpoint && g.allows(candidate) {
			return candidate
		}
	}
	if fitsNowhere(size, targets.candidates) {
		targets.unplaceable.add(size)
	}
	return nil
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
