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
	for _, j := range l.jobs {
		if j.over() {
			continue
		}
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
		l.planHosts(pools, &orders, now)
	}
	l.evacuate(now)
	for _, h := range l.endpoints {
		l.stopsOn(h, &orders, now)
		l.paceEndpoint(h, &orders, now)
	}
	return orders
}

// stopsOn collects the stops that are due on an endpoint.
func (l *Leader) stopsOn(h *endpoint, orders *Orders, now time.Time) {
	for _, r := range h.runs {
		if r.state != runStopping || now.Before(r.stopAt) {
			continue
		}
		r.stopAt = now.Add(stopAgain)
		orders.Stops = append(orders.Stops, Stop{Endpoint: h.row.ID, Task: r.key.task, Run: r.key.run})
		l.note("run stop", "job", r.key.task.Job, "step", r.key.task.Step, "index", r.key.task.Index, "run", r.key.run, "endpoint", h.row.ID, "why", r.why)
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
	for _, g := range groups {
		l.startGroup(g, rooms, orders, now)
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
	for _, h := range l.endpoints {
		if h.row.Pool != pool || !h.takesWork(now) {
			continue
		}
		rooms = append(rooms, &endpointRoom{endpoint: h, room: h.room(), lasting: h.lastingRuns()})
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
func (h *endpoint) lastingRuns() int {
	count := 0
	for _, r := range h.runs {
		if r.isLasting() {
			count++
		}
	}
	return count
}

// isLasting reports whether the run's task lasts until the job is cancelled.
func (r *run) isLasting() bool {
	return r.job != nil && r.job.submission.Steps[r.key.task.Step].Lasting
}

// startGroup starts as many of a step's waiting tasks as fit.
func (l *Leader) startGroup(g group, rooms []*endpointRoom, orders *Orders, now time.Time) {
	if !l.hasTickets(g, rooms, orders, now) {
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
			left = append(left, index)
			continue
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
	h := target.endpoint
	r := &run{
		key: runKey{task, number}, endpoint: h, job: g.job, state: runStarting, orderedAt: now,
		percent: 100, reserved: g.step.step.Reserved(), saved: g.job.saved[task],
	}
	h.runs[r.key] = r
	l.claim(r)
	g.job.noteRun(r.key)
	g.job.begun = true
	target.room = target.room.Minus(r.reserved)
	if r.isLasting() {
		target.lasting++
	}
	orders.Starts = append(orders.Starts, Start{
		Endpoint: h.row.ID, Task: task, Run: number, Spec: g.job.submission.Spec, Lease: h.nextLease(now),
		Saved: r.saved, Ticket: g.step.granted[h.row.ID],
	})
	l.note("run start", "job", task.Job, "step", task.Step, "index", task.Index, "run", number, "endpoint", h.row.ID,
		"endpoint-seen-ago", now.Sub(h.lookedAt).Round(time.Millisecond).String(), "waited", now.Sub(g.step.openedAt).Round(time.Millisecond).String())
}

// choose returns the best endpoint for a task, or nil.
func (l *Leader) choose(g group, task job.Task, rooms []*endpointRoom) *endpointRoom {
	var best *endpointRoom
	bestScore := 0.0
	for _, candidate := range rooms {
		if !g.allows(candidate) {
			continue
		}
		score := g.score(task, candidate)
		if best == nil || score > bestScore {
			best, bestScore = candidate, score
		}
	}
	return best
}

// allows reports whether a task of the step may start on an endpoint.
func (g group) allows(candidate *endpointRoom) bool {
	step := g.step.step
	if !step.Reserved().Fits(candidate.room) || !candidate.endpoint.hasLabel(step.Requires) {
		return false
	}
	if g.step.granted != nil {
		if _, ok := g.step.granted[candidate.endpoint.row.ID]; !ok {
			return false
		}
	}
	return step.MaxPerEndpoint == 0 || candidate.endpoint.runsOf(g.job, g.step.key) < step.MaxPerEndpoint
}

// runsOf counts a step's runs on an endpoint.
func (h *endpoint) runsOf(j *jobState, key job.StepKey) int {
	count := 0
	for _, r := range h.runs {
		if r.job == j && r.key.task.Step == key.Step && r.key.task.Occurrence == key.Occurrence {
			count++
		}
	}
	return count
}

// Weights of an endpoint's score; each outweighs all that stand after it.
const (
	scoreUntried  = 1000
	scoreAffinity = 100
	scoreLasting  = 10
	scoreCold     = -50
)

// score prefers endpoints on which the task has not failed, near its data, that
// cannot be given back since lasting tasks run there, and that are fullest.
func (g group) score(task job.Task, candidate *endpointRoom) float64 {
	h := candidate.endpoint
	score := 0.0
	if !slices.Contains(g.job.avoid[task], h.row.ID) {
		score += scoreUntried
	}
	if g.step.step.Affinity != "" && h.hasLabel(g.step.step.Affinity) {
		score += scoreAffinity
	}
	if candidate.lasting > 0 {
		score += scoreLasting
	}
	if h.row.Cold > 0 {
		score += scoreCold
	}
	return score + 1 - float64(candidate.room.CPU)/float64(max(1, h.row.Capacity.CPU))
}

// StartAnswered takes an endpoint's answer to a start. It returns false if the endpoint
// knows a later leader.
func (l *Leader) StartAnswered(start Start, reply Reply, now time.Time) bool {
	h := l.endpoints[start.Endpoint]
	if h == nil {
		return reply.Outcome != OrderFenced
	}
	r := h.runs[runKey{start.Task, start.Run}]
	if r == nil {
		return reply.Outcome != OrderFenced
	}
	l.journalReply("start answered", r, reply)
	switch reply.Outcome {
	case OrderTaken:
		l.runTaken(r, now)
	case OrderFenced:
		return false
	case OrderUnknown:
		if r.state == runStarting {
			r.state = runDoubtful
			r.answeredAt = now
			r.wasDoubtful = true
		}
	case OrderOtherLife:
		l.newLife(h, h.born, "refusal", now)
		h.listed = false
		l.forgetEndpoint(h, now)
	default:
		l.startRefused(r, reply, now)
	}
	return true
}

// runTaken notes that an endpoint runs a task.
func (l *Leader) runTaken(r *run, now time.Time) {
	if r.state == runStarting || r.state == runDoubtful {
		r.state = runLive
	}
	r.answeredAt = now
}

// startRefused takes back a run that the endpoint did not begin.
func (l *Leader) startRefused(r *run, reply Reply, now time.Time) {
	h := r.endpoint
	notBefore := now.Add(retryPause)
	switch reply.Outcome {
	case OrderNoRoom:
		h.fullUntil = now.Add(retryPause)
	case OrderLate:
		// Our estimate of the endpoint's clock is off: look before the next start.
		h.reached = false
	case OrderUnhealthy, OrderUnsent:
		h.pausedUntil = now.Add(unhealthyPause)
	case OrderTicket:
		if step := r.job.steps[job.StepKey{Occurrence: r.key.task.Occurrence, Step: r.key.task.Step}]; step != nil {
			step.granted, step.asked = nil, false
		}
	case OrderMalformed:
		notBefore = now.Add(time.Second)
	}
	l.release(r)
	l.requeue(r.job, r.key.task, notBefore)
}

// journalReply notes answers that are not the expected one.
func (l *Leader) journalReply(event string, r *run, reply Reply) {
	if reply.Outcome == OrderTaken {
		return
	}
	l.note(event, "job", r.key.task.Job, "step", r.key.task.Step, "index", r.key.task.Index, "run", r.key.run,
		"endpoint", r.endpoint.row.ID, "outcome", string(reply.Outcome))
}

// StopAnswered takes an endpoint's answer to a stop. It returns false if the endpoint
// knows a later leader.
func (l *Leader) StopAnswered(stop Stop, reply Reply, now time.Time) bool {
	h := l.endpoints[stop.Endpoint]
	if h == nil {
		return reply.Outcome != OrderFenced
	}
	r := h.runs[runKey{stop.Task, stop.Run}]
	if r == nil {
		return reply.Outcome != OrderFenced
	}
	l.journalReply("stop answered", r, reply)
	switch reply.Outcome {
	case OrderFenced:
		return false
	case OrderTaken, OrderOld:
		// Whether it ran or not, it cannot begin any more: the next report tells.
		r.stopAt = now.Add(looksEvery)
		r.stopTakenAt = now
	case OrderOtherLife:
		l.newLife(h, h.born, "refusal", now)
		h.listed = false
		l.forgetEndpoint(h, now)
	}
	return true
}
