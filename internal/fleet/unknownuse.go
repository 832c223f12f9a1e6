package fleet

import (
	"math"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// unknownTasksLifetime is how long the tasks that may run unknown are counted once. Meanwhile their
// number can only fall, but for jobs that are added.
const unknownTasksLifetime = 100 * time.Millisecond

// unlimited is more than any account uses.
var unlimited = policy.Resources{CPU: math.MaxInt64 / 4, Memory: math.MaxInt64 / 4, GPU: math.MaxInt64 / 4}

// unknownUse bounds what client accounts may have running on endpoints that this leader has not
// reached: runs of former leaders count against the accounts' caps until their leases are over.
type unknownUse struct {
	// isPossible is true until no endpoint can have an unknown run.
	isPossible bool
	// unreached is the capacity of the endpoints that have not been reached, or unlimited while the
	// lists may lack some. blocked is that of the endpoints that report runs of unknown jobs.
	unreached, blocked policy.Resources
	// tasks holds, by account, what tasks need that a former leader may have started, as of
	// countedAt.
	tasks     map[string]unknownTasks
	countedAt time.Time
}

// unknownTasks is what tasks need that may run unknown.
type unknownTasks struct {
	// reserved is their part that endpoints reserve, idle the CPU of best-effort tasks, which take
	// what others leave.
	reserved, idle policy.Resources
}

// add adds a number of a step's tasks.
func (u *unknownTasks) add(step job.Step, count int64) {
	u.reserved = u.reserved.Plus(step.Reserved().Times(count))
	u.idle = u.idle.Plus(step.Resources.Minus(step.Reserved()).Times(count))
}

// refreshUnknownUse brings up to date which endpoints may have unknown runs.
func (l *Leader) refreshUnknownUse(unknown unknownRuns, now time.Time) {
	u := &l.unknownUse
	u.isPossible = unknown.arePossible() && l.config.Token > 1
	if !u.isPossible {
		u.tasks = nil
		return
	}
	u.unreached, u.blocked = policy.Resources{}, policy.Resources{}
	for _, e := range l.endpointList {
		switch {
		case e.blocked:
			u.blocked = u.blocked.Plus(l.largestCapacity(e))
		case l.mayHaveInheritedRuns(e, now):
			u.unreached = u.unreached.Plus(l.largestCapacity(e))
		}
	}
	if !now.After(l.inheritedLeasesEnd()) && (!l.hosts.isLoaded || !l.areEntriesBack()) {
		u.unreached = unlimited
		return
	}
	for h := range l.hostsOfUnlisted(now) {
		u.unreached = u.unreached.Plus(h.row.Capacity)
	}
}

// largestCapacity returns the larger of the capacities that an endpoint's row and its host's show:
// after either has shrunk, more may run.
func (l *Leader) largestCapacity(e *endpoint) policy.Resources {
	capacity := e.row.Capacity
	if h := l.hosts.byID[e.hostID()]; h != nil {
		capacity = maxResources(capacity, h.row.Capacity)
	}
	return capacity
}

// unknownUseOf bounds what a client account may have running unknown: no more than the endpoints
// hold, and than its tasks need of which a former leader may have started some.
func (l *Leader) unknownUseOf(account string) policy.Resources {
	u := &l.unknownUse
	if !u.isPossible {
		return policy.Resources{}
	}
	if u.unreached == (policy.Resources{}) {
		return u.blocked
	}
	limit := u.unreached
	idle := unlimited
	if l.knowsFormerJobs() {
		tasks := l.unknownTasksOf(account)
		limit, idle = minResources(limit, tasks.reserved), tasks.idle
	}
	return limit.Plus(idle).Plus(u.blocked)
}

// knowsFormerJobs reports whether the leader knows all jobs of which a former leader may have
// started tasks.
func (l *Leader) knowsFormerJobs() bool {
	return !l.jobsAsOf.Before(l.config.Now.Add(formerLeaderGrace))
}

// ConfirmJobs records that all jobs are known that were stored before a time.
func (l *Leader) ConfirmJobs(asOf time.Time) {
	if asOf.After(l.jobsAsOf) {
		l.jobsAsOf = asOf
	}
}

// unknownTasksOf returns what an account's tasks need that may run unknown.
func (l *Leader) unknownTasksOf(account string) unknownTasks {
	u := &l.unknownUse
	if u.tasks != nil && l.steppedAt.Sub(u.countedAt) < unknownTasksLifetime {
		return u.tasks[account]
	}
	u.tasks, u.countedAt = map[string]unknownTasks{}, l.steppedAt
	l.visit(len(l.jobs))
	for _, j := range l.jobs {
		account := j.submission.Account
		if !j.inherited || l.policy.Accounts[account].Cap == (policy.Resources{}) || !l.mayRunUnknown(j) {
			continue
		}
		tasks := u.tasks[account]
		for number, count := range l.unknownTaskCounts(j) {
			tasks.add(j.submission.Steps[number], int64(count))
		}
		u.tasks[account] = tasks
	}
	return u.tasks[account]
}

// mayRunUnknown reports whether tasks of an inherited job may still run although the job had ended
// before the takeover: its runs are stopped, but on endpoints that are out of reach.
func (l *Leader) mayRunUnknown(j *jobState) bool {
	ended := j.inheritedEnd
	if ended.IsZero() {
		return true
	}
	longest := maxElapsed(l.longestLease()+maxIdleClockDrift) + leaseMargin + maxWallClockSkew
	return ended.Add(longest).After(l.config.Now.Round(0))
}

// unknownTaskCounts bounds, by step, how many tasks run unknown of the occurrences that were due while
// a former leader could start them.
func (l *Leader) unknownTaskCounts(j *jobState) []int {
	due := j.submission.DueCount(l.config.Now.Round(0).Add(formerLeaderGrace + maxWallClockSkew))
	counts, done := make([]int, len(j.submission.Steps)), j.progress.DoneTasks(j.submission)
	for number, step := range j.submission.Steps {
		counts[number] = due * step.Count
		switch {
		case step.Speculative:
			// Each task may have a copy, also once it is done.
			counts[number] *= 2
		case j.progress.State == job.Complete:
			counts[number] = 0
		default:
			counts[number] -= done[number]
		}
	}
	for key, active := range j.activeTasks {
		counts[key.Step] -= active
	}
	for number, count := range counts {
		counts[number] = max(0, count)
	}
	return counts
}

// minResources returns the element-wise minimum.
func minResources(a, b policy.Resources) policy.Resources {
	return policy.Resources{CPU: min(a.CPU, b.CPU), Memory: min(a.Memory, b.Memory), GPU: min(a.GPU, b.GPU)}
}
