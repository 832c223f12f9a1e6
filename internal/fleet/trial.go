package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

const (
	// trialShare is the part of a pool's endpoints on which runs may be on trial at once,
	// and minTrials the number in a small pool.
	trialShare = 3
	minTrials  = 2
	// trialPatience is how long a suspected task waits for an empty endpoint. After that it
	// is tried beside other work, and after hostPatience also on hosts on which it has crashed.
	trialPatience = 500 * time.Millisecond
	hostPatience  = 2 * time.Second
	// maxSharedTrials is the number of runs that are tried together on one endpoint.
	maxSharedTrials = 8
)

// isSuspect reports whether a task may only start on trial.
func (j *jobState) isSuspect(task job.Task) bool {
	return j.crashRecordOf(task).isSuspect()
}

// trial is a suspected task that waits for its next start.
type trial struct {
	group  taskGroup
	task   job.Task
	record *crashRecord
}

// isSolo reports whether the task is tried alone: it is the first suspect of a crash, or has been
// suspected again. The many others of a crash, most of them sound, are tried together.
func (t trial) isSolo() bool {
	return t.record.counted.Total > 1 || t.record.counted.Total == 1 && t.record.order == 0
}

// startTrials starts suspected tasks on endpoints without other work: a crash then tells more
// about its cause, and takes no other work along. While too few endpoints are empty, it holds
// back those with the least work.
func (l *Leader) startTrials(groups []taskGroup, candidates []*candidateEndpoint, orders *Orders, now time.Time) {
	waiting := l.waitingTrials(groups, now)
	if len(waiting) == 0 {
		return
	}
	free := max(minTrials, len(candidates)/trialShare)
	for _, candidate := range candidates {
		if candidate.endpoint.tally.trials > 0 {
			free--
		}
	}
	unplaced := 0
	for _, t := range waiting {
		if !l.hasAdvice(t.group, candidates, orders, now) || !t.isSolo() && l.joinTrial(t, candidates, orders, now) {
			continue
		}
		if free <= 0 {
			continue
		}
		used := l.startTrial(t, candidates, orders, now)
		free -= used
		if used == 0 {
			unplaced++
		}
	}
	holdForTrials(candidates, min(unplaced, free))
}

// waitingTrials returns the suspected tasks that may be tried now, most suspected first.
func (l *Leader) waitingTrials(groups []taskGroup, now time.Time) []trial {
	var waiting []trial
	for _, g := range groups {
		if len(g.job.crashRecords) == 0 {
			continue
		}
		for _, index := range g.step.pending {
			task := g.job.taskAt(g.step.key, index)
			record := g.job.crashRecordOf(task)
			isFirst := !g.step.step.Gang || index == slices.Min(g.step.pending)
			if record.isSuspect() && isFirst && l.isStored(g.job, record.withdrawn) {
				waiting = append(waiting, trial{group: g, task: task, record: record})
			}
		}
	}
	slices.SortStableFunc(waiting, func(a, b trial) int {
		return cmp.Or(cmp.Compare(b.record.counted.Total, a.record.counted.Total), cmp.Compare(a.record.order, b.record.order))
	})
	return waiting
}

// joinTrial starts a suspected task beside others that are tried together, and reports whether
// there is room.
func (l *Leader) joinTrial(t trial, candidates []*candidateEndpoint, orders *Orders, now time.Time) bool {
	step := t.group.step.step
	if step.Gang || !l.underCap(t.group.job.submission.Account, step.Resources, 1) {
		return false
	}
	for _, candidate := range l.candidatesFor(t.task, candidates, now) {
		if !candidate.isShared || candidate.trials >= maxSharedTrials || !step.Reserved().FitsIn(candidate.trialRoom) || !t.group.allowsWithRoom(candidate) {
			continue
		}
		l.startOnTrial(t, candidate, orders, now)
		return true
	}
	return false
}

// startTrial starts a suspected task, or the gang to which it belongs, on endpoints without
// other work. It returns how many endpoints that takes, or 0.
func (l *Leader) startTrial(t trial, candidates []*candidateEndpoint, orders *Orders, now time.Time) int {
	var suitable []*candidateEndpoint
	isPatient := now.Sub(t.record.since) < trialPatience
	// A crash on a host on which the task has crashed already tells nothing new.
	elsewhere := slices.DeleteFunc(slices.Clone(candidates), func(c *candidateEndpoint) bool { return t.record.hasCrashed(c.endpoint) })
	if len(elsewhere) == 0 || now.Sub(t.record.since) >= hostPatience {
		elsewhere = candidates
	}
	for _, candidate := range elsewhere {
		isFree := len(candidate.endpoint.runs) == 0 && !candidate.isTaken && !l.isUnsteady(candidate.endpoint, now)
		if isFree || !isPatient && candidate.mayRiskTrial() {
			suitable = append(suitable, candidate)
		}
	}
	// hostRisk orders the hosts by how likely a crash would be their own doing.
	hostRisk := func(c *candidateEndpoint) int {
		switch {
		case t.record.hasCrashed(c.endpoint):
			return 2
		case l.isUnsteady(c.endpoint, now):
			return 1
		default:
			return 0
		}
	}
	// The least work is at risk beside the fewest runs.
	slices.SortStableFunc(suitable, func(a, b *candidateEndpoint) int {
		return cmp.Or(cmp.Compare(hostRisk(a), hostRisk(b)), cmp.Compare(a.endpoint.tally.persistent, b.endpoint.tally.persistent),
			cmp.Compare(len(a.endpoint.runs), len(b.endpoint.runs)))
	})
	if t.group.step.step.Gang {
		return l.startGangOnTrial(t, suitable, orders, now)
	}
	if !l.underCap(t.group.job.submission.Account, t.group.step.step.Resources, 1) {
		return 0
	}
	for _, candidate := range l.candidatesFor(t.task, suitable, now) {
		if t.group.allows(candidate) {
			l.startOnTrial(t, candidate, orders, now)
			return 1
		}
	}
	return 0
}

// startOnTrial starts a suspected task on an endpoint that takes no other work from then on,
// but for others that are tried together.
func (l *Leader) startOnTrial(t trial, candidate *candidateEndpoint, orders *Orders, now time.Time) {
	l.start(t.group, t.task, candidate, l.nextRun(t.group.job, t.task), orders, now)
	t.group.step.removePending(t.task.Index)
	candidate.isShared = !t.isSolo()
	candidate.trials++
	candidate.trialRoom = candidate.endpoint.availableForStarts()
	candidate.take()
}

// startGangOnTrial starts a suspected gang and returns the number of its endpoints, or 0.
func (l *Leader) startGangOnTrial(t trial, suitable []*candidateEndpoint, orders *Orders, now time.Time) int {
	held := len(l.heldTrials)
	l.startGang(t.group, suitable, orders, now)
	used := map[EndpointID]bool{}
	for _, trial := range l.heldTrials[held:] {
		for _, start := range trial.starts {
			used[start.Endpoint] = true
		}
	}
	for _, candidate := range suitable {
		if used[candidate.endpoint.row.ID] {
			candidate.take()
		}
	}
	return len(used)
}

// mayRiskTrial reports whether a suspected task may be tried beside the endpoint's runs: all of
// them have shown that they do not crash it.
func (c *candidateEndpoint) mayRiskTrial() bool {
	if c.isTaken || c.endpoint.tally.trials > 0 {
		return false
	}
	for _, r := range c.endpoint.runs {
		if !r.isProven() {
			return false
		}
	}
	return true
}

// showTrials notes the runs on trial on the endpoint, beside which only others that are tried
// together may start.
func (c *candidateEndpoint) showTrials() {
	c.trials, c.isShared = c.endpoint.tally.trials, true
	for _, r := range c.endpoint.runs {
		c.isShared = c.isShared && !(r.onTrial && r.isSolo)
	}
	c.trialRoom = c.endpoint.availableForStarts()
	c.take()
}

// take keeps all other work of the step from an endpoint.
func (c *candidateEndpoint) take() {
	c.isTaken, c.isHeld = true, true
	c.available = policy.Resources{}
}

// holdForTrials keeps new work from the endpoints with the fewest runs, so that they become
// empty, or all their runs have shown that they do not crash them.
func holdForTrials(candidates []*candidateEndpoint, count int) {
	var able []*candidateEndpoint
	for _, candidate := range candidates {
		if !candidate.isTaken && candidate.endpoint.tally.trials == 0 {
			able = append(able, candidate)
		}
	}
	slices.SortStableFunc(able, func(a, b *candidateEndpoint) int {
		return cmp.Or(cmp.Compare(a.endpoint.tally.persistent, b.endpoint.tally.persistent), cmp.Compare(len(a.endpoint.runs), len(b.endpoint.runs)))
	})
	for _, candidate := range able[:max(0, min(count, len(able)))] {
		candidate.take()
	}
}

// trialHosts returns how many hosts of their own the suspected tasks of jobs need now.
func (l *Leader) trialHosts(jobs []*jobState) int {
	count := 0
	for _, j := range jobs {
		for _, record := range j.crashRecords {
			if record.isSuspect() {
				count++
			}
		}
	}
	return count
}

// trialWait returns how long the endpoint may wait before it reports that a run on trial has
// worked for long enough, or false if it has no such run.
func (e *endpoint) trialWait() (time.Duration, bool) {
	if e.tally.trials == 0 {
		return 0, false
	}
	wait := reportWait
	for _, r := range e.runs {
		if r.onTrial && r.wasConfirmed() {
			wait = min(wait, max(unresolvedReportWait, r.crashRecord().requiredWork()-r.workedFor()))
		}
	}
	return wait, true
}
