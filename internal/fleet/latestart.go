package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

// lateStartCheckInterval is the time between two removals of starts that cannot come late any
// more.
const lateStartCheckInterval = time.Second

// lateStart is a start without an answer whose run is no longer tracked: until a time, the
// endpoint's next incarnation may carry it out.
type lateStart struct {
	run   *run
	until time.Time
	// stoppedOn identifies the incarnation that has accepted a stop of the run, or is zero.
	stoppedOn time.Time
	// isHeld is true if the run's task waits until the start cannot come late any more.
	isHeld bool
}

// lateStartKey identifies a start that may be carried out late.
type lateStartKey struct {
	endpoint EndpointID
	run      runKey
}

// mayComeLate reports whether the start of a run that is no longer tracked may still be
// carried out by some incarnation of its endpoint: a stop binds one incarnation alone.
func (r *run) mayComeLate(now time.Time) bool {
	hasAnswer := !r.awaitsAnswer && !r.wasUnconfirmed
	return !hasAnswer && r.seenAt.IsZero() && now.Before(r.sentAt.Add(maxOrderDelay))
}

// noteLateStart remembers the start of a run that is no longer tracked, and reports whether it may still be
// carried out.
func (l *Leader) noteLateStart(r *run, now time.Time) bool {
	if !r.mayComeLate(now) {
		return false
	}
	id := r.endpoint.row.ID
	if l.lateStarts[id] == nil {
		l.lateStarts[id] = map[runKey]lateStart{}
	}
	late := lateStart{run: r, until: r.sentAt.Add(maxOrderDelay), isHeld: l.holdsTask(r, now)}
	if !r.stopAcceptedAt.IsZero() {
		late.stoppedOn = r.endpoint.startedAt
	}
	if late.isHeld {
		l.heldTasks[r.key.task]++
		l.log("task held", "job", r.key.task.Job, "step", r.key.task.Step, "index", r.key.task.Index, "run", r.key.run,
			"endpoint", id, "for", late.until.Sub(now).Round(time.Millisecond).String())
	}
	l.lateStarts[id][r.key] = late
	if r.job != nil && !r.step().Speculative {
		l.lateTasks[r.key.task] = append(l.lateTasks[r.key.task], lateStartKey{id, r.key})
	}
	l.recordUnanswered(r)
	return true
}

// boundTo returns the only endpoint on which a task may start, or nil for none, while earlier starts of it may yet be
// carried out by other incarnations of theirs: the same one, in the incarnation that has accepted a stop. Should that
// end, the task's run ends with it, before the next one can carry out the start. It returns false if the task is free.
func (l *Leader) boundTo(task job.Task, now time.Time) (*endpoint, bool) {
	var only *endpoint
	isBound := false
	for _, key := range l.lateTasks[task] {
		late := l.lateStarts[key.endpoint][key.run]
		if !l.binds(late, now) {
			continue
		}
		e := l.endpoints[key.endpoint]
		if e == nil || !late.stoppedOn.Equal(e.startedAt) || only != nil && only != e {
			return nil, true
		}
		only, isBound = e, true
	}
	return only, isBound
}

// candidatesFor returns those of the candidates on which a task may start although earlier starts of it may yet be
// carried out.
func (l *Leader) candidatesFor(task job.Task, candidates []*candidateEndpoint, now time.Time) []*candidateEndpoint {
	only, isBound := l.boundTo(task, now)
	if !isBound {
		return candidates
	}
	for i, candidate := range candidates {
		if candidate.endpoint == only {
			return candidates[i : i+1]
		}
	}
	return nil
}

// lateTasksBySteps returns the tasks with earlier starts that may yet be carried out, by their steps and in order.
func (l *Leader) lateTasksBySteps() map[stepRef][]job.Task {
	if len(l.lateTasks) == 0 {
		return nil
	}
	l.visit(len(l.lateTasks))
	bySteps := map[stepRef][]job.Task{}
	for task := range l.lateTasks {
		ref := stepRef{l.jobs[task.Job], task.StepKey()}
		bySteps[ref] = append(bySteps[ref], task)
	}
	for _, tasks := range bySteps {
		slices.SortFunc(tasks, func(a, b job.Task) int { return cmp.Compare(a.Index, b.Index) })
	}
	return bySteps
}

// startBound starts those tasks first that may start on one endpoint only, as earlier starts of theirs may yet be carried
// out: other tasks would take the room that these had there.
func (l *Leader) startBound(late map[stepRef][]job.Task, p *pass, orders *Orders, now time.Time) {
	if len(late) == 0 {
		return
	}
	for _, g := range p.groups {
		tasks := late[stepRef{g.job, g.step.key}]
		if len(tasks) == 0 || g.step.step.Gang || !l.hasAdvice(g, p.candidates, orders, now) {
			continue
		}
		for _, task := range tasks {
			if slices.Contains(g.step.pending, task.Index) && l.startBoundTask(g, task, p, orders, now) {
				g.step.removePending(task.Index)
			}
		}
	}
}

// startBoundTask starts a task on the only endpoint on which it may start, and reports whether it did.
func (l *Leader) startBoundTask(g taskGroup, task job.Task, p *pass, orders *Orders, now time.Time) bool {
	only, _ := l.boundTo(task, now)
	if only == nil || g.job.isSuspect(task) || !l.rowHasRoom(g, task) || !l.mayStartMore(g, p) {
		return false
	}
	at, ok := slices.BinarySearchFunc(p.candidates, only.row.ID, func(candidate *candidateEndpoint, id EndpointID) int {
		return cmp.Compare(candidate.endpoint.row.ID, id)
	})
	if !ok || !g.allows(p.candidates[at]) {
		return false
	}
	target := p.candidates[at]
	l.start(g, task, target, l.nextRun(g.job, task), orders, now)
	p.used(target)
	return true
}

// binds reports whether a start that may be carried out late keeps its task from other endpoints: its own one is not
// to end by plan. One that is gone, or silent for its leases, may still be followed by another incarnation where some
// endpoints restart under their IDs. Persistent tasks are not to wait for one that takes no work.
func (l *Leader) binds(late lateStart, now time.Time) bool {
	e := l.endpoints[late.run.endpoint.row.ID]
	switch {
	case l.isLateStartOver(late, now):
		return false
	case e != nil && e.mayHaveRestarted:
		// The next incarnation is there, and has accepted no stop.
		return true
	case late.run.step().Persistent:
		return e != nil && l.acceptsWork(e, now)
	case e == nil || e.gone || e.unresponsive && l.leasesOver(e, now):
		return l.hasSeenRestart
	default:
		return !e.leaving && !l.endsByPlan(e) && !l.isEvacuated(e)
	}
}

// isLateStartOver reports whether a start can neither be carried out any more nor run on an endpoint that is silent since.
func (l *Leader) isLateStartOver(late lateStart, now time.Time) bool {
	e := l.endpoints[late.run.endpoint.row.ID]
	switch {
	case e == nil || e.gone || e.askedAt.After(late.until):
		return !now.Before(late.until)
	case e.unresponsive:
		return now.After(l.longestLeaseEnd(late.until))
	default:
		return now.After(late.until.Add(orderDuration))
	}
}

// holdsTask reports whether a task waits while the start of its run may come late: the next
// incarnation may carry the start out before it can be stopped. It waits only for an endpoint
// that seems to carry orders out late and to restart. Persistent tasks are not to wait that long,
// and copies of speculative ones do no harm.
func (l *Leader) holdsTask(r *run, now time.Time) bool {
	if r.job == nil || r.step().Persistent || r.step().Speculative {
		return false
	}
	e := r.endpoint
	carriesOutLate := !e.stopUnansweredAt.IsZero() && now.Sub(e.stopUnansweredAt) < maxOrderDelay
	return carriesOutLate && l.mayRestartAgain(e, now)
}

// mayRestartAgain reports whether the endpoint has just restarted under its ID. Right after a
// takeover, the former leader may have seen it do so: then it counts as restarted if it has just
// begun and another one has restarted under its ID since, as they do on some platforms only.
func (l *Leader) mayRestartAgain(e *endpoint, now time.Time) bool {
	isRestarted := !e.restartedAt.IsZero() && now.Sub(e.restartedAt) < maxOrderDelay
	isTakeover := l.config.Token > 1 && l.hasSeenRestart && now.Sub(l.config.Now) < maxOrderDelay
	return isRestarted || isTakeover && now.Sub(e.startedAt) < maxOrderDelay+maxWallClockSkew
}

// releaseLateStart forgets a start that cannot come late any more. Its task waits no longer.
func (l *Leader) releaseLateStart(id EndpointID, key runKey, now time.Time) {
	late := l.forgetLateStart(id, key)
	if late.run != nil {
		l.forgetUnanswered(late.run)
	}
	if late.isHeld {
		l.requeue(l.jobs[key.task.Job], key.task, now)
	}
}

// forgetLateStart forgets a start, and returns what was known of it.
func (l *Leader) forgetLateStart(id EndpointID, key runKey) lateStart {
	late := l.lateStarts[id][key]
	delete(l.lateStarts[id], key)
	if len(l.lateStarts[id]) == 0 {
		delete(l.lateStarts, id)
	}
	if keys := l.lateTasks[key.task]; len(keys) > 0 {
		keys = slices.DeleteFunc(keys, func(other lateStartKey) bool { return other == lateStartKey{id, key} })
		l.lateTasks[key.task] = keys
		if len(keys) == 0 {
			delete(l.lateTasks, key.task)
		}
	}
	if late.isHeld {
		l.heldTasks[key.task]--
		if l.heldTasks[key.task] == 0 {
			delete(l.heldTasks, key.task)
		}
	}
	return late
}

// hasLateStart reports whether a start that was given up may yet be carried out on an
// endpoint.
func (l *Leader) hasLateStart(id EndpointID, now time.Time) bool {
	for _, late := range l.lateStarts[id] {
		if now.Before(late.until) {
			return true
		}
	}
	return false
}

// expireLateStarts forgets the starts that cannot be carried out any more, also those on
// endpoints that are no longer known.
func (l *Leader) expireLateStarts(now time.Time) {
	if now.Sub(l.lateStartsCheckedAt) < lateStartCheckInterval {
		return
	}
	l.lateStartsCheckedAt = now
	l.expireOrders(now)
	for id, starts := range l.lateStarts {
		for key, late := range starts {
			if l.isLateStartOver(late, now) {
				l.releaseLateStart(id, key, now)
			}
		}
	}
}

// stopLateStarts tracks again the runs whose starts may be carried out late on an endpoint
// that has reported, unless this incarnation has accepted their stops: their tasks do not
// start until it has.
func (l *Leader) stopLateStarts(e *endpoint, now time.Time) {
	for key, late := range l.lateStarts[e.row.ID] {
		if late.stoppedOn.Equal(e.startedAt) {
			continue
		}
		if e.runs[key] != nil || !now.Before(late.until) {
			l.releaseLateStart(e.row.ID, key, now)
			continue
		}
		l.forgetLateStart(e.row.ID, key)
		l.trackLateStart(e, late.run, now)
	}
}

// trackLateStart tracks a run again whose start may be carried out late, to stop it.
func (l *Leader) trackLateStart(e *endpoint, given *run, now time.Time) {
	r := &run{
		key: given.key, endpoint: e, state: runStopping, reason: "start may be carried out late", percent: 100,
		incarnation: given.incarnation, lease: given.lease, awaitsAnswer: given.awaitsAnswer, wasUnconfirmed: true,
		orderedAt: given.orderedAt, sentAt: given.sentAt, answeredAt: given.answeredAt, stopAt: now, reserved: given.reserved,
	}
	if j := l.jobs[r.key.task.Job]; j != nil {
		r.job, r.onTrial = j, j.isSuspect(r.key.task)
		j.dropPending(r.key.task)
	}
	e.addRun(r)
	if r.job != nil {
		l.trackRun(r)
	}
	l.log("run may start late", "job", r.key.task.Job, "step", r.key.task.Step, "index", r.key.task.Index, "run", r.key.run,
		"endpoint", e.row.ID, "life", e.startedAt.UnixMilli(), "sent-ago", age(r.sentAt, now))
}
