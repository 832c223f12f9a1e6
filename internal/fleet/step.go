package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// stopRetryDelay is the time between two stops of a run that got no answer.
const stopRetryDelay = 300 * time.Millisecond

// Step returns the orders to execute now. now is a monotonic time; wall is the wall
// clock, which determines when scheduled jobs are due.
func (l *Leader) Step(now, wall time.Time) Orders {
	var orders Orders
	if !l.loaded {
		return orders
	}
	l.steppedAt = now
	orders.Lookups = l.dueLookups(now)
	l.recordBegins(now)
	l.abandonGangs(now)
	l.retryRefusedRows(now)
	l.meanHost = l.hostSize()
	pools := map[string][]*jobState{}
	l.visit(len(l.live) + len(l.endpoints))
	for _, j := range l.live {
		if j.occurrences.next < j.submission.Occurrences() {
			l.open(j, now, wall)
		}
		pool := l.poolOf(j)
		pools[pool] = append(pools[pool], j)
	}
	if l.confirmed(now) {
		unknown := l.findUnknownRuns(now)
		l.logUnknownRuns(now)
		l.refreshUnknownUse(unknown, now)
		l.settleFormerStarts(unknown, now)
		l.startPending(pools, unknown, &orders, now)
		l.findOverdue(&orders, now)
		if l.hosts.planIsDue(now) {
			l.planHosts(pools, &orders, now)
		}
	}
	l.sendTrials(&orders, now)
	l.relocatePersistent(now)
	l.logEvacuations(now)
	l.expireLateStarts(now)
	for _, e := range l.endpointList {
		if e.tally.stopping > 0 {
			l.orderStops(e, &orders, now)
		}
		if e.tally.bestEffort > 0 {
			l.throttleBestEffort(e, &orders, now)
		}
	}
	return orders
}

// orderStops orders the stops that are due on an endpoint.
func (l *Leader) orderStops(e *endpoint, orders *Orders, now time.Time) {
	for _, r := range e.runs {
		if r.state != runStopping || now.Before(r.stopAt) {
			continue
		}
		r.stopAt = now.Add(stopRetryDelay)
		orders.Stops = append(orders.Stops, Stop{Endpoint: e.row.ID, Task: r.key.task, Run: r.key.run, incarnation: e.startedAt})
		l.log("run stop", "job", r.key.task.Job, "step", r.key.task.Step, "index", r.key.task.Index, "run", r.key.run, "endpoint", e.row.ID, "why", r.reason)
	}
}

// taskGroup is a step with pending tasks, and its rank.
type taskGroup struct {
	job  *jobState
	step *stepState
	rank rank
	// attempt is the start of the step's gang that is being decided, or nil.
	attempt *gangAttempt
}

// startPending starts pending tasks of all pools. While the leader is behind with sending starts,
// what can still be in time goes first in all pools: what is late would make it late as well.
func (l *Leader) startPending(pools map[string][]*jobState, unknown unknownRuns, orders *Orders, now time.Time) {
	l.starts.refill(now)
	var passes []*pass
	for _, pool := range slices.Sorted(maps.Keys(pools)) {
		if p := l.preparePass(pool, pools[pool], unknown, orders, now); p != nil {
			passes = append(passes, p)
		}
	}
	late := l.lateTasksBySteps()
	for _, p := range passes {
		l.startBound(late, p, orders, now)
	}
	if l.starts.isBehind {
		for _, p := range passes {
			l.startGroups(p.inTime(), p, orders, now)
		}
	}
	// Each pool has its part of the starts, and then what the others leave.
	for i, p := range passes {
		reserved := l.starts.reserve(len(passes) - i - 1)
		l.startGroups(p.groups, p, orders, now)
		l.starts.left += reserved
	}
	for _, p := range passes {
		if p.isCut && l.starts.left > 0 {
			l.startGroups(p.groups, p, orders, now)
		}
		for _, g := range p.groups {
			l.logWait(g, p.candidates, now)
		}
	}
}

// startGroups starts the pending tasks of groups of a pass, in the order of their ranks, while there is
// free capacity.
func (l *Leader) startGroups(groups []taskGroup, p *pass, orders *Orders, now time.Time) {
	for _, g := range groups {
		if len(g.step.pending) > 0 {
			l.startGroup(g, p, orders, now)
		}
	}
}

// preparePass returns a pass over a pool's waiting steps in the order of their ranks, or nil if there
// are none, and starts those on trial. Inherited jobs wait while their tasks may run unknown.
func (l *Leader) preparePass(pool string, jobs []*jobState, unknown unknownRuns, orders *Orders, now time.Time) *pass {
	var groups []taskGroup
	for _, j := range jobs {
		if unknown.mayInclude(j, pool) {
			for _, step := range j.steps {
				l.logInheritedWait(j, step, pool, unknown, now)
			}
			continue
		}
		if j.isRowRefused() {
			continue
		}
		for _, step := range j.steps {
			if len(step.pending) > 0 && !now.Before(step.notBefore) {
				groups = append(groups, taskGroup{job: j, step: step, rank: l.rankOf(j, step, now)})
			}
		}
	}
	if len(groups) == 0 {
		return nil
	}
	l.visitSorted(len(groups))
	slices.SortFunc(groups, func(a, b taskGroup) int { return a.rank.compare(b.rank) })
	candidates := l.candidates(pool, now)
	l.deferCheapest(pool, groups, candidates, now)
	l.startTrials(groups, candidates, orders, now)
	l.visit(len(candidates) + len(groups))
	return newPass(candidates, groups)
}

const (
	// waitLogDelay is how long a step waits before the reason is logged, and
	// waitLogInterval the time between two such logs.
	waitLogDelay    = time.Second
	waitLogInterval = 2 * time.Second
)

// logWait logs why tasks of a step wait.
func (l *Leader) logWait(g taskGroup, candidates []*candidateEndpoint, now time.Time) {
	if len(g.step.pending) == 0 || now.Sub(g.step.openedAt) < waitLogDelay || now.Sub(g.step.waitLoggedAt) < waitLogInterval {
		return
	}
	g.step.waitLoggedAt = now
	cause := "no endpoint has room"
	switch {
	case !l.underCap(g.job.submission.Account, g.step.step.Resources, 1):
		cause = "the client account is at its cap"
		if l.unknownUseOf(g.job.submission.Account) != (policy.Resources{}) {
			cause = "endpoints that are not reached may use up the client account's cap"
		}
	case l.isEvacuationWait(g):
		cause = "the endpoints that could run it are being evacuated"
	case !l.knowsCapacity(l.poolOf(g.job), now):
		cause = "the list of endpoints is outdated"
	case len(candidates) == 0:
		cause = "no endpoint of the pool accepts work"
	case l.isBehindFor(g):
		cause = "the leader is behind with sending starts"
	case g.step.step.Gang && len(g.step.pending) < g.step.step.Count:
		cause = "members of the gang's last run have not ended"
	case len(g.step.gangLimits) > 0:
		cause = "the gang could not be started on some endpoints, and does not fit on the others"
	case g.step.step.Gang && l.isGangSlowed(g.step, candidates, now):
		cause = "the gang's starts could not be sent in time"
	case !l.rowHasRoom(g, g.job.taskAt(g.step.key, g.step.pending[0])):
		cause = "the job's row has no room for more runs"
	case g.step.tickets == nil && g.step.adviceRequested:
		cause = "waiting for the advice service"
	case len(l.lateTasks[g.job.taskAt(g.step.key, g.step.pending[0])]) > 0:
		cause = "an earlier start may still be carried out on its endpoint"
	}
	l.log("tasks wait", "job", g.job.submission.ID, "step", g.step.key.Step, "tasks", len(g.step.pending), "cause", cause,
		"pool", l.poolOf(g.job), "endpoints", len(candidates), "account", g.job.submission.Account,
		"account-cpu", l.inUse[g.job.submission.Account].CPU,
		"account-cpu-unknown", l.unknownUseOf(g.job.submission.Account).CPU, "hope", int(g.rank.lateness),
		"waited", now.Sub(g.step.openedAt).Round(time.Millisecond).String())
}

// isPersistent reports whether the run belongs to a persistent task.
func (r *run) isPersistent() bool {
	return r.job != nil && r.job.submission.Steps[r.key.task.Step].Persistent
}

// startGroup starts as many of a step's pending tasks as fit on the open candidates.
func (l *Leader) startGroup(g taskGroup, p *pass, orders *Orders, now time.Time) {
	if !l.hasAdvice(g, p.candidates, orders, now) || p.isHopeless(g) {
		return
	}
	if l.isBehindFor(g) {
		p.isCut = true
		return
	}
	if g.step.step.Gang {
		if len(g.step.pending) > 0 && !g.job.isSuspect(g.job.taskAt(g.step.key, g.step.pending[0])) {
			l.startGang(g, p.open, orders, now)
		}
		return
	}
	var remaining []int
	keepFrom := func(i int) {
		if len(remaining) == 0 {
			remaining = g.step.pending[i:]
			return
		}
		remaining = append(remaining, g.step.pending[i:]...)
	}
	var target *candidateEndpoint
	for i, index := range g.step.pending {
		task := g.job.taskAt(g.step.key, index)
		if g.job.isSuspect(task) || !l.rowHasRoom(g, task) {
			remaining = append(remaining, index)
			continue
		}
		if !l.mayStartMore(g, p) {
			keepFrom(i)
			break
		}
		// The endpoint of the task before has become fuller, and so is preferred for alike tasks.
		mayBeLate := len(l.lateTasks[task]) > 0
		if target == nil || len(g.job.avoid) > 0 || mayBeLate || !g.allows(target) {
			target = l.choose(g, task, p.open, now)
		}
		if target == nil && mayBeLate {
			remaining = append(remaining, index)
			continue
		}
		if target == nil {
			// The same limits apply to the other tasks of the step.
			keepFrom(i)
			p.noteUnplaced(g, len(remaining))
			break
		}
		l.start(g, task, target, l.nextRun(g.job, task), orders, now)
		p.used(target)
	}
	g.step.pending = remaining
}

// mayStartMore reports whether the client account and the leader may start another task of a group.
func (l *Leader) mayStartMore(g taskGroup, p *pass) bool {
	if !l.underCap(g.job.submission.Account, g.step.step.Resources, 1) {
		return false
	}
	if l.isBehindFor(g) {
		p.isCut = true
		return false
	}
	return true
}

// isBehindFor reports whether a group waits since more starts are decided than can be sent soon.
func (l *Leader) isBehindFor(g taskGroup) bool {
	return l.starts.left <= 0 && !g.step.step.Persistent
}

// taskAt returns the identifier of a step's task.
func (j *jobState) taskAt(key job.StepKey, index int) job.Task {
	return job.Task{Job: j.submission.ID, Occurrence: key.Occurrence, Step: key.Step, Index: index}
}

// nextRun returns a run number above all earlier ones of the task.
func (l *Leader) nextRun(j *jobState, task job.Task) int64 {
	base := int64(l.config.Token-1) * runsPerToken
	return max(base, j.lastRun[task]) + 1
}

// underCap reports whether count more tasks stay within a client account's cap, whatever endpoints
// that have not been reached may run.
func (l *Leader) underCap(account string, perTask policy.Resources, count int64) bool {
	limit := l.policy.Accounts[account].Cap
	if limit == (policy.Resources{}) {
		return true
	}
	usage := l.inUse[account].Plus(l.unknownUseOf(account))
	usage.CPU += perTask.CPU * count
	usage.Memory += perTask.Memory * count
	usage.GPU += perTask.GPU * count
	within := func(amount, limit int64) bool { return limit <= 0 || amount <= limit }
	return within(usage.CPU, limit.CPU) && within(usage.Memory, limit.Memory) && within(usage.GPU, limit.GPU)
}

// start creates a run and orders its start.
func (l *Leader) start(g taskGroup, task job.Task, target *candidateEndpoint, number int64, orders *Orders, now time.Time) {
	e := target.endpoint
	r := &run{
		key: runKey{task, number}, endpoint: e, job: g.job, state: runStarting, orderedAt: now, sentAt: now,
		percent: 100, reserved: g.step.step.Reserved(), checkpoint: g.job.checkpoint[task], gang: g.attempt,
	}
	if g.attempt != nil {
		g.attempt.members = append(g.attempt.members, r)
	}
	r.awaitsAnswer, r.onTrial = true, g.job.isSuspect(task)
	r.isSolo = r.onTrial && (g.step.step.Gang || trial{record: g.job.crashRecordOf(task)}.isSolo())
	r.incarnation, r.lease = e.startedAt, e.nextLease(now, l.leaseDuration())
	e.addRun(r)
	l.trackRun(r)
	g.job.recordRun(r.key)
	g.job.noteScheduled(g.rank.lateness)
	l.startDecided(r)
	target.available = target.available.Minus(r.reserved)
	if r.isPersistent() {
		target.persistent++
	}
	order := Start{
		Endpoint: e.row.ID, Task: task, Run: number, Spec: g.job.submission.Spec, Lease: r.lease,
		Checkpoint: r.checkpoint, Ticket: g.step.tickets[e.row.ID], DataCentre: l.dataCentreOf(e), incarnation: e.startedAt, clock: e.minClock(now) - leaseMargin,
		IsGangMember: g.attempt != nil,
	}
	if r.onTrial {
		l.holdTrial(r, order, now)
	} else {
		if g.job.inherited || r.crashRecord() != nil {
			// Endpoints may have crashed under it, also unnoticed under a former leader.
			l.recordStart(r)
		}
		orders.Starts = append(orders.Starts, order)
	}
	formerRuns := ""
	if g.job.inherited {
		formerRuns = l.evidenceFor(e.row.Pool)
	}
	l.log("run start", "job", task.Job, "step", task.Step, "index", task.Index, "run", number, "endpoint", e.row.ID,
		"endpoint-seen-ago", now.Sub(e.reportedAt).Round(time.Millisecond).String(), "waited", now.Sub(g.step.openedAt).Round(time.Millisecond).String(),
		"former-runs", formerRuns)
}
