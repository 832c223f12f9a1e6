package fleet

import (
	"math"
	"slices"
	"time"
)

const (
	// GangStartsPerEndpoint is the number of starts of gangs that are sent to one endpoint at the same
	// time: all members have to be there soon after the first.
	GangStartsPerEndpoint = 32
	// gangTimeDivisor is the part of Bounds.GangAssembly within which the starts of a gang are to be sent.
	// The rest is for answers that take longer than usual.
	gangTimeDivisor = 2
	// minGangPause is for how long an endpoint on which a gang could not be started gets no more of its
	// members than it took. It doubles with each attempt that fails, up to maxGangPause.
	minGangPause = time.Second
	maxGangPause = 16 * time.Second
)

// gangAttempt is one start of all members of a gang, under a common run number. Until all have begun, the
// loss of one ends the attempt: the others could only wait for it.
type gangAttempt struct {
	members []*run
	// begun counts the members whose start an endpoint has confirmed, and firstBegunAt is when that was
	// first so.
	begun        int
	firstBegunAt time.Time
	// lost is the first member that was lost before all had begun, or nil.
	lost *run
}

// isAssembled reports whether all members have begun. From then on the platform ends them together.
func (a *gangAttempt) isAssembled() bool {
	return a.begun == len(a.members)
}

// memberBegan records that an endpoint has confirmed the start of a member.
func (a *gangAttempt) memberBegan(now time.Time) {
	if a.begun == 0 {
		a.firstBegunAt = now
	}
	a.begun++
}

// isOverdue reports whether a member has waited for others for so long that those whose starts have not
// been sent would come too late.
func (a *gangAttempt) isOverdue(assembly time.Duration, now time.Time) bool {
	if a.begun == 0 || assembly <= 0 || now.Sub(a.firstBegunAt) < assembly-assembly/gangTimeDivisor/2 {
		return false
	}
	return a.firstUnsent() != nil
}

// firstUnsent returns the first member whose start has not been sent, or nil.
func (a *gangAttempt) firstUnsent() *run {
	for _, r := range a.members {
		if r.isUnsent {
			return r
		}
	}
	return nil
}

// leaveGang records that a run is over, or is being stopped.
func (r *run) leaveGang() {
	if r.gang != nil && r.gang.lost == nil && !r.gang.isAssembled() {
		r.gang.lost = r
	}
}

// gangLimit bounds the members of a gang on an endpoint for a time.
type gangLimit struct {
	members int
	until   time.Time
}

// abandonGangs ends the attempts of which a member was lost before all had begun: starts that have not
// been sent are withdrawn, and runs that have are stopped.
func (l *Leader) abandonGangs(now time.Time) {
	kept := l.assembling[:0]
	for _, a := range l.assembling {
		if a.lost == nil && a.isOverdue(l.config.Bounds.GangAssembly, now) {
			a.lost = a.firstUnsent()
		}
		switch {
		case a.lost != nil:
			l.abandonGang(a, now)
		case a.isAssembled():
			first := a.members[0]
			if step := first.job.steps[first.key.task.StepKey()]; step != nil {
				step.gangPause = 0
			}
		default:
			kept = append(kept, a)
		}
	}
	clear(l.assembling[len(kept):])
	l.assembling = kept
}

// abandonGang withdraws or stops what is left of a gang that could not be started as a whole.
func (l *Leader) abandonGang(a *gangAttempt, now time.Time) {
	j, key := a.lost.job, a.lost.key
	if j.over() || j.progress.IsDone(key.task) {
		return
	}
	l.limitGang(a, now)
	withdrawn, stopped := 0, 0
	for _, r := range a.members {
		switch {
		case r.endpoint.runs[r.key] != r:
		case r.isUnsent:
			withdrawn++
			l.untrackRun(r)
			l.requeue(j, r.key.task, now.Add(startRetryDelay))
		default:
			stopped++
			l.stopRun(r, "other members of the gang are missing", now)
		}
	}
	l.log("gang not started", "job", key.task.Job, "step", key.task.Step, "run", key.run, "members", len(a.members), "begun", a.begun,
		"lost", key.task.Index, "lost-begun", a.lost.hasBegun, "endpoint", a.lost.endpoint.row.ID, "withdrawn", withdrawn, "stopped", stopped)
}

// stopFormerGang stops the members of a gang that a former leader has started in part: the others are not
// there, now that all runs are known.
func (l *Leader) stopFormerGang(g taskGroup, now time.Time) {
	for index := range g.step.step.Count {
		for _, r := range g.job.active[g.job.taskAt(g.step.key, index)] {
			if r.gang == nil && r.state == runLive {
				l.stopRun(r, "other members of the former leader's gang are missing", now)
			}
		}
	}
}

// limitGang bounds the members of a gang on the endpoint of the one that was lost: the same attempt would
// fail there again. If that one had begun, it was given up for those that had not.
func (l *Leader) limitGang(a *gangAttempt, now time.Time) {
	step := a.lost.job.steps[a.lost.key.task.StepKey()]
	if step == nil || a.lost.isHeld {
		// Nothing was sent: the record of the start was not stored in time.
		return
	}
	step.gangPause = min(maxGangPause, max(minGangPause, 2*step.gangPause))
	if step.gangLimits == nil {
		step.gangLimits = map[EndpointID]gangLimit{}
	}
	begun := map[EndpointID]int{}
	for _, r := range a.members {
		if r.hasBegun {
			begun[r.endpoint.row.ID]++
		}
	}
	for _, r := range a.members {
		if id := r.endpoint.row.ID; r == a.lost || a.lost.hasBegun && !r.hasBegun {
			step.gangLimits[id] = gangLimit{members: begun[id], until: now.Add(step.gangPause)}
		}
	}
}

// dropGangLimits drops the bounds whose time is over.
func (l *Leader) dropGangLimits(step *stepState, now time.Time) {
	for id, limit := range step.gangLimits {
		if !now.Before(limit.until) {
			delete(step.gangLimits, id)
		}
	}
}

// gangTime returns within which time the starts of a gang are to be sent, or 0 if that does not matter.
func (l *Leader) gangTime() time.Duration {
	return l.config.Bounds.GangAssembly / gangTimeDivisor
}

// isGangSlowed reports whether a step's gang cannot start on some endpoints since its starts could not be
// sent there in time.
func (l *Leader) isGangSlowed(step *stepState, candidates []*candidateEndpoint, now time.Time) bool {
	if limit := l.gangTime(); limit > 0 && l.starts.timeFor(step.step.Count) > limit {
		return true
	}
	return slices.ContainsFunc(candidates, func(c *candidateEndpoint) bool { return l.sendableMembers(c.endpoint, now) < step.step.Count })
}

// sendableMembers returns how many starts of a gang can be sent to an endpoint in time, after those that
// wait for it.
func (l *Leader) sendableMembers(e *endpoint, now time.Time) int {
	took := max(e.startTime.at(now), l.startTime.at(now))
	if l.gangTime() <= 0 || took <= 0 {
		return math.MaxInt
	}
	return int(GangStartsPerEndpoint*l.gangTime()/took) - e.unsentStarts
}

// maxGangMembers returns how many members of a step's gang may be started on an endpoint at once.
func (l *Leader) maxGangMembers(step *stepState, e *endpoint, now time.Time) int {
	most := math.MaxInt
	if step.step.MaxPerEndpoint > 0 {
		most = step.step.MaxPerEndpoint
	}
	if limit, ok := step.gangLimits[e.row.ID]; ok {
		most = min(most, limit.members)
	}
	return min(most, l.sendableMembers(e, now))
}
