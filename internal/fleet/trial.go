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
	// is tried beside other work.
	trialPatience = 500 * time.Millisecond
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

// startTrials starts suspected tasks, each alone on an endpoint: a crash then shows whether it
// is the task's doing, and takes no other work along. While too few endpoints are empty, it
// holds back those with the least work.
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
		if free <= 0 {
			break
		}
		if !l.hasAdvice(t.group, candidates, orders, now) {
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

// waitingTrials returns the suspected tasks that may be started now, most suspected first. A
// crash is stored before the next start, which it has to outlive.
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
			if record.isSuspect() && isFirst && record.batch <= l.writeQueue.written {
				waiting = append(waiting, trial{group: g, task: task, record: record})
			}
		}
	}
	slices.SortStableFunc(waiting, func(a, b trial) int {
		return cmp.Or(cmp.Compare(b.record.counted.Total, a.record.counted.Total), cmp.Compare(a.record.order, b.record.order))
	})
	return waiting
}

// startTrial starts a suspected task, or the gang to which it belongs, and returns how many
// endpoints that takes, or 0.
func (l *Leader) startTrial(t trial, candidates []*candidateEndpoint, orders *Orders, now time.Time) int {
	var suitable []*candidateEndpoint
	isPatient := now.Sub(t.record.since) < trialPatience
	for _, candidate := range candidates {
		if len(candidate.endpoint.runs) == 0 && !candidate.isTaken || !isPatient && candidate.mayRiskTrial() {
			suitable = append(suitable, candidate)
		}
	}
	// The least work is at risk on endpoints with the fewest runs.
	slices.SortStableFunc(suitable, func(a, b *candidateEndpoint) int {
		return cmp.Or(cmp.Compare(a.endpoint.tally.persistent, b.endpoint.tally.persistent), cmp.Compare(len(a.endpoint.runs), len(b.endpoint.runs)))
	})
	g := t.group
	starts := len(orders.Starts)
	if g.step.step.Gang {
		l.startGang(g, suitable, orders, now)
	} else if l.underCap(g.job.submission.Account, g.step.step.Resources, 1) {
		for _, candidate := range suitable {
			if g.allows(candidate) {
				l.start(g, t.task, candidate, l.nextRun(g.job, t.task), orders, now)
				g.step.pending = slices.DeleteFunc(g.step.pending, func(index int) bool { return index == t.task.Index })
				break
			}
		}
	}
	used := map[EndpointID]bool{}
	for _, start := range orders.Starts[starts:] {
		used[start.Endpoint] = true
	}
	for _, candidate := range candidates {
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

// take keeps all other work of the step from an endpoint.
func (c *candidateEndpoint) take() {
	c.isTaken, c.isHeld = true, true
	c.available = policy.Resources{}
}

// holdForTrials keeps new work from the endpoints with the fewest runs, so that they become
// empty.
func holdForTrials(candidates []*candidateEndpoint, count int) {
	var able []*candidateEndpoint
	for _, candidate := range candidates {
		if !candidate.isTaken && candidate.endpoint.tally.trials == 0 && candidate.endpoint.tally.persistent == 0 {
			able = append(able, candidate)
		}
	}
	slices.SortStableFunc(able, func(a, b *candidateEndpoint) int {
		return cmp.Compare(len(a.endpoint.runs), len(b.endpoint.runs))
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
			wait = min(wait, max(unresolvedReportWait, r.job.crashRecordOf(r.key.task).requiredWork()-r.workedFor()))
		}
	}
	return wait, true
}
