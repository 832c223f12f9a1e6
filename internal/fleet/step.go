package fleet

import (
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// stopAgain is the time between two stops of a run that got no answer.
const stopAgain = 300 * time.Millisecond

// Step decides what to do now. now is steady; wall is the time of day, by
// which scheduled jobs are due.
func (l *Leader) Step(now, wall time.Time) Orders {
	var orders Orders
	if !l.loaded {
		return orders
	}
	orders.Lookups = l.dueLookups(now)
	pools := map[string][]*jobState{}
	for _, j := range l.live {
		if j.due < j.submission.Occurrences() {
			l.open(j, now, wall)
		}
		pool := l.poolOf(j)
		pools[pool] = append(pools[pool], j)
	}
	if l.confirmed(now) {
		for pool, jobs := range pools {
			l.schedule(pool, jobs, &orders, now)
		}
		l.findOverdue(&orders, now)
		l.planHosts(pools, &orders, now)
	}
	l.evacuate(now)
	for _, e := range l.endpoints {
		l.stopsOn(e, &orders, now)
		l.paceEndpoint(e, &orders, now)
	}
	return orders
}

// stopsOn collects the stops that are due on an endpoint.
func (l *Leader) stopsOn(e *endpoint, orders *Orders, now time.Time) {
	for _, r := range e.runs {
		if r.state != runStopping || now.Before(r.stopAt) {
			continue
		}
		r.stopAt = now.Add(stopAgain)
		orders.Stops = append(orders.Stops, Stop{Endpoint: e.row.ID, Task: r.key.task, Run: r.key.run})
		l.note("run stop", "job", r.key.task.Job, "step", r.key.task.Step, "index", r.key.task.Index, "run", r.key.run, "endpoint", e.row.ID, "why", r.why)
	}
}

// group is a step whose tasks wait, with what decides its turn.
type group struct {
	job  *jobState
	step *stepState
	rank rank
}

// schedule starts a pool's waiting tasks, the most urgent first, while there is room.
func (l *Leader) schedule(pool string, jobs []*jobState, orders *Orders, now time.Time) {
	covered := l.covered(now)
	var groups []group
	for _, j := range jobs {
		if j.inherited && !covered {
			continue
		}
		for _, step := range j.steps {
			if len(step.pending) > 0 && !now.Before(step.notBefore) {
				groups = append(groups, group{job: j, step: step, rank: l.rankOf(j, step, now)})
			}
		}
	}
	if len(groups) == 0 {
		return
	}
	slices.SortFunc(groups, func(a, b group) int { return a.rank.compare(b.rank) })
	rooms := l.rooms(pool, now)
	var full fullness
	for _, g := range groups {
		l.startGroup(g, rooms, &full, orders, now)
		l.noteWait(g, rooms, now)
	}
}

const (
	// waitNoteAfter is how long a step waits before its journal says why, and
	// waitNoteEvery the time between two such lines.
	waitNoteAfter = time.Second
	waitNoteEvery = 2 * time.Second
)

// noteWait says why tasks of a step wait.
func (l *Leader) noteWait(g group, rooms []*endpointRoom, now time.Time) {
	if len(g.step.pending) == 0 || now.Sub(g.step.openedAt) < waitNoteAfter || now.Sub(g.step.waitNotedAt) < waitNoteEvery {
		return
	}
	g.step.waitNotedAt = now
	cause := "no endpoint has room"
	switch {
	case !l.underCap(g.job.submission.Account, g.step.step.Resources, 1):
		cause = "the client account is at its cap"
	case len(rooms) == 0:
		cause = "no endpoint takes work"
	case g.step.granted == nil && g.step.asked:
		cause = "advice is awaited"
	}
	l.note("tasks wait", "job", g.job.submission.ID, "step", g.step.key.Step, "tasks", len(g.step.pending), "cause", cause,
		"pool", l.poolOf(g.job), "endpoints", len(rooms), "account", g.job.submission.Account,
		"account-cpu", l.inUse[g.job.submission.Account].CPU, "hope", int(g.rank.hope),
		"waited", now.Sub(g.step.openedAt).Round(time.Millisecond).String())
}

// endpointRoom is an endpoint's room while starts are being decided.
type endpointRoom struct {
	endpoint *endpoint
	room     policy.Resources
	lasting  int
}

// rooms lists the endpoints of a pool that take work, in a fixed order.
func (l *Leader) rooms(pool string, now time.Time) []*endpointRoom {
	var rooms []*endpointRoom
	for _, e := range l.endpoints {
		if e.row.Pool != pool || !e.takesWork(now) {
			continue
		}
		rooms = append(rooms, &endpointRoom{endpoint: e, room: e.room(), lasting: e.lastingRuns()})
	}
	slices.SortFunc(rooms, func(a, b *endpointRoom) int {
		switch {
		case a.endpoint.row.ID < b.endpoint.row.ID:
			return -1
		case a.endpoint.row.ID > b.endpoint.row.ID:
			return 1
		default:
			return 0
		}
	})
	return rooms
}

// lastingRuns counts the endpoint's runs of lasting tasks.
func (e *endpoint) lastingRuns() int {
	count := 0
	for _, r := range e.runs {
		if r.isLasting() {
			count++
		}
	}
	return count
}

// isLasting reports whether the run's task lasts until the job is cancelled.
func (r *run) isLasting() bool {
	return r.job != nil && r.job.submission.Steps[r.key.task.Step].Persistent
}

// startGroup starts as many of a step's waiting tasks as fit.
func (l *Leader) startGroup(g group, rooms []*endpointRoom, full *fullness, orders *Orders, now time.Time) {
	if !l.hasTickets(g, rooms, orders, now) || full.covers(g.step.step.Reserved()) {
		return
	}
	if g.step.step.Gang {
		l.startGang(g, rooms, orders, now)
		return
	}
	var left []int
	for i, index := range g.step.pending {
		if !l.underCap(g.job.submission.Account, g.step.step.Resources, 1) {
			left = append(left, g.step.pending[i:]...)
			break
		}
		task := g.job.taskAt(g.step.key, index)
		target := l.choose(g, task, rooms)
		if target == nil {
			// What bounds a task bounds the others of its step, too.
			left = append(left, g.step.pending[i:]...)
			if fitsNowhere(g.step.step.Reserved(), rooms) {
				full.note(g.step.step.Reserved())
			}
			break
		}
		l.start(g, task, target, l.nextRun(g.job, task), orders, now)
	}
	g.step.pending = left
}

// taskAt names a task of a step.
func (j *jobState) taskAt(key job.StepKey, index int) job.Task {
	return job.Task{Job: j.submission.ID, Occurrence: key.Occurrence, Step: key.Step, Index: index}
}

// nextRun returns a run above all earlier ones of the task.
func (l *Leader) nextRun(j *jobState, task job.Task) int64 {
	base := int64(l.config.Token-1) * runsPerToken
	return max(base, j.lastRun[task]) + 1
}

// underCap reports whether a client account may have more running.
func (l *Leader) underCap(account string, each policy.Resources, count int64) bool {
	limit := l.policy.Accounts[account].Cap
	then := l.inUse[account]
	then.CPU += each.CPU * count
	then.Memory += each.Memory * count
	then.GPU += each.GPU * count
	within := func(amount, limit int64) bool { return limit <= 0 || amount <= limit }
	return within(then.CPU, limit.CPU) && within(then.Memory, limit.Memory) && within(then.GPU, limit.GPU)
}

// start notes a run and orders it.
func (l *Leader) start(g group, task job.Task, target *endpointRoom, number int64, orders *Orders, now time.Time) {
	e := target.endpoint
	r := &run{
		key: runKey{task, number}, endpoint: e, job: g.job, state: runStarting, orderedAt: now,
		percent: 100, reserved: g.step.step.Reserved(), saved: g.job.saved[task],
	}
	e.runs[r.key] = r
	l.claim(r)
	g.job.noteRun(r.key)
	g.job.begun = true
	target.room = target.room.Minus(r.reserved)
	if r.isLasting() {
		target.lasting++
	}
	orders.Starts = append(orders.Starts, Start{
		Endpoint: e.row.ID, Task: task, Run: number, Spec: g.job.submission.Spec, Lease: e.nextLease(now, l.leaseTime()),
		Checkpoint: r.saved, Ticket: g.step.granted[e.row.ID],
	})
	l.note("run start", "job", task.Job, "step", task.Step, "index", task.Index, "run", number, "endpoint", e.row.ID,
		"endpoint-seen-ago", now.Sub(e.lookedAt).Round(time.Millisecond).String(), "waited", now.Sub(g.step.openedAt).Round(time.Millisecond).String())
}
