package fleet

import (
	"math"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/overload"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// sizesOf returns the sizes of a queue's jobs.
func (l *Leader) sizesOf(queue string) *overload.Sizes {
	sizes, ok := l.sizes[queue]
	if !ok {
		sizes = overload.New(overload.Config{})
		l.sizes[queue] = sizes
	}
	return sizes
}

// recordSize records the size of a job, once. The hosts by which it is measured are not known yet
// when a new leader loads the jobs: the size is then recorded when the job is compared with others.
func (l *Leader) recordSize(j *jobState, size policy.Resources) {
	if j.isSized || size.CPU == 0 || j.submission.Persistent() {
		return
	}
	j.isSized = true
	for _, step := range j.submission.Steps {
		j.hostSeconds += l.hostSecondsOf(j, step, step.Count, size)
	}
	sizes := l.sizesOf(j.submission.Queue)
	j.size = sizes.Observe(j.hostSeconds)
	j.value = sizes.Value(j.hostSeconds)
}

// hostSecondsOf returns the capacity that tasks of a step need: the share of a host of the given
// size, times their expected duration in seconds.
func (l *Leader) hostSecondsOf(j *jobState, step job.Step, count int, size policy.Resources) float64 {
	return float64(count) * hostShare(step.Reserved(), size) * l.durationOf(j, step).Seconds()
}

// hostShare returns the largest share of a host's capacity that an amount takes.
func hostShare(amount, size policy.Resources) float64 {
	return max(float64(amount.CPU)/float64(max(1, size.CPU)), float64(amount.Memory)/float64(max(1, size.Memory)))
}

// countSize counts whether a job started in time, once, by the lateness of one of its steps.
func (l *Leader) countSize(j *jobState, step job.Step, lateness lateness) {
	if j.isCounted || j.inherited || step.Persistent {
		return
	}
	j.isCounted = true
	l.sizesOf(j.submission.Queue).Count(j.size, lateness == onTime)
}

// deferralInterval is the time between two decisions on what a pool defers. At peak load a leader
// takes many steps a second, and the decision looks at all runs of the pool.
const deferralInterval = 100 * time.Millisecond

// deferCheapest defers steps that wait in a pool that is short of capacity, so that others of their
// level whose delay would cost callers more can be in time. The groups must be in the order of their
// ranks, and are so again afterwards.
func (l *Leader) deferCheapest(pool string, groups []taskGroup, candidates []*candidateEndpoint, now time.Time) {
	if l.config.DeadlineOrder || l.meanHost.CPU == 0 {
		return
	}
	isDue := now.Sub(l.deferralsAt[pool]) >= deferralInterval
	if isDue {
		l.deferralsAt[pool] = now
		l.decideDeferrals(pool, groups, candidates, now)
	}
	isAnyDeferred := false
	for i := range groups {
		g := &groups[i]
		g.rank.isDeferred = g.step.isDeferred && g.job.mayBeDeferred() && g.rank.lateness == onTime
		isAnyDeferred = isAnyDeferred || g.rank.isDeferred
	}
	if isAnyDeferred || isDue {
		l.visitSorted(len(groups))
		slices.SortFunc(groups, func(a, b taskGroup) int { return a.rank.compare(b.rank) })
	}
}

// decideDeferrals decides which of a pool's waiting steps are deferred.
func (l *Leader) decideDeferrals(pool string, groups []taskGroup, candidates []*candidateEndpoint, now time.Time) {
	size := l.meanHost
	backlog := l.backlogOf(pool, candidates, size, now)
	for start := 0; start < len(groups); {
		end := start + 1
		for end < len(groups) && groups[end].rank.isLevelOf(groups[start].rank) {
			end++
		}
		level := groups[start:end]
		switch {
		case level[0].step.step.Persistent:
		case level[0].rank.lateness == onTime:
			backlog = l.deferInLevel(level, backlog, size, now)
		default:
			// Late work starts by its deadlines: once the shortage is over, most of it can still be
			// in time to be of value.
			for _, g := range level {
				l.countSize(g.job, g.step.step, g.rank.lateness)
			}
		}
		start = end
	}
}

// deferInLevel decides which steps of one level are deferred. It returns the backlog with the others.
func (l *Leader) deferInLevel(level []taskGroup, backlog overload.Backlog, size policy.Resources, now time.Time) overload.Backlog {
	slices.SortFunc(level, func(a, b taskGroup) int { return a.rank.latestStart.Compare(b.rank.latestStart) })
	works := make([]overload.Work, len(level))
	for i, g := range level {
		l.recordSize(g.job, size)
		works[i] = overload.Work{
			Deadline: g.rank.latestStart, HostSeconds: l.hostSecondsOf(g.job, g.step.step, len(g.step.pending), size),
			Remaining: l.remainingHostSeconds(g, size), Value: g.job.value,
			Protected: l.isProtected(g.job),
		}
	}
	deferred, kept := overload.Defer(works, backlog, now)
	for i, g := range level {
		if g.step.isDeferred = deferred[i]; deferred[i] {
			l.noteDeferred(g, works[i], kept, now)
		}
	}
	return kept
}

// noteDeferred logs and counts a job that is deferred for the first time.
func (l *Leader) noteDeferred(g taskGroup, work overload.Work, kept overload.Backlog, now time.Time) {
	if g.job.isDeferred {
		return
	}
	g.job.isDeferred = true
	l.deferredJobs++
	l.log("job deferred", "job", g.job.submission.ID, "queue", g.job.submission.Queue, "account", g.job.submission.Account, "pool", l.poolOf(g.job),
		"value", round(work.Value), "host-seconds", round(work.Remaining), "start-due-in", g.rank.latestStart.Sub(now).Round(time.Millisecond).String(),
		"ahead-host-seconds", round(kept.HostSeconds), "hosts", round(kept.Hosts))
}

// DeferredJobs returns how many jobs have been deferred for others.
func (l *Leader) DeferredJobs() int {
	return l.deferredJobs
}

// round rounds a figure for the journal.
func round(v float64) float64 {
	return math.Round(100*v) / 100
}

// isLevelOf reports whether two ranks may only differ in their deadlines and costs.
func (r rank) isLevelOf(other rank) bool {
	return r.persistent == other.persistent && r.priority == other.priority && r.beyondShare == other.beyondShare && r.lateness == other.lateness
}

// isOnItsWayTo reports whether a host is being moved to a pool.
func (h *hostState) isOnItsWayTo(pool string) bool {
	if h.pendingChange != nil {
		return h.pendingChange.pool == pool
	}
	return h.row.Pool == pool && h.row.State == HostMoving
}

// backlogOf returns what runs on a pool's endpoints, apart from persistent tasks, and the hosts
// that can start more, with those on their way.
func (l *Leader) backlogOf(pool string, candidates []*candidateEndpoint, size policy.Resources, now time.Time) overload.Backlog {
	var backlog overload.Backlog
	for _, candidate := range candidates {
		e := candidate.endpoint
		l.visit(len(e.runs))
		backlog.Hosts += hostShare(e.row.Capacity, size)
		for _, r := range e.runs {
			if r.job == nil {
				continue
			}
			if r.isPersistent() {
				backlog.Hosts -= hostShare(r.reserved, size)
				continue
			}
			if r.expected == 0 {
				r.expected = l.durationOf(r.job, r.step())
			}
			left := r.expected - now.Sub(r.orderedAt)
			backlog.HostSeconds += hostShare(r.reserved, size) * max(0, left).Seconds()
		}
	}
	l.visit(len(l.hosts.byID))
	for _, h := range l.hosts.list {
		if h.isOnItsWayTo(pool) {
			backlog.Hosts += hostShare(h.row.Capacity, size)
		}
	}
	backlog.Hosts /= packingFactor
	return backlog
}

// remainingHostSeconds returns the capacity that a job needs from a step on, apart from what runs.
func (l *Leader) remainingHostSeconds(g taskGroup, size policy.Resources) float64 {
	sum := l.hostSecondsOf(g.job, g.step.step, len(g.step.pending), size)
	for number := g.step.key.Step + 1; number < len(g.job.submission.Steps); number++ {
		key := job.StepKey{Occurrence: g.step.key.Occurrence, Step: number}
		if g.job.steps[key] == nil && !g.job.progress.StepDone(g.job.submission, key) {
			step := g.job.submission.Steps[number]
			sum += l.hostSecondsOf(g.job, step, step.Count, size)
		}
	}
	return sum
}
