package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// crowdedAfter is how long a task must wait for capacity for its pool to be crowded.
const crowdedAfter = 300 * time.Millisecond

// demand is the current demand of a pool's jobs.
type demand struct {
	// active and pending are the resources of active and of pending tasks.
	active, pending policy.Resources
	// spread is the number of hosts required by the steps' MaxPerEndpoint.
	spread int
	// isCrowded is true if tasks below their account's cap have not fitted for a while,
	// and isServiceDown if persistent ones are among them.
	isCrowded, isServiceDown bool
}

// demandOf sums the demand of a pool's jobs.
func (l *Leader) demandOf(jobs []*jobState, now time.Time) demand {
	var out demand
	l.visit(len(jobs))
	for _, j := range jobs {
		for _, step := range j.steps {
			perTask, active, pending := step.step.Reserved(), j.activeTasks[step.key], l.pendingDemand(step)
			out.active = out.active.Plus(perTask.Times(int64(active)))
			if limit := step.step.MaxPerEndpoint; limit > 0 {
				out.spread = max(out.spread, (active+pending+limit-1)/limit)
			}
			if pending == 0 {
				continue
			}
			out.pending = out.pending.Plus(perTask.Times(int64(pending)))
			if now.Sub(step.openedAt) > crowdedAfter && l.underCap(j.submission.Account, step.step.Resources, 1) {
				out.isCrowded = true
				out.isServiceDown = out.isServiceDown || step.step.Persistent
			}
		}
	}
	return out
}

// pendingDemand counts a step's pending tasks that more hosts could run.
func (l *Leader) pendingDemand(step *stepState) int {
	if l.isLabelHeld(step.step.Requires) {
		return 0
	}
	return len(step.pending)
}

// expectedDemand returns a pool's demand in the near future: pending tasks, plus the
// larger of running tasks and arriving work. Hosts for arriving work alone would
// not reduce the backlog.
func (l *Leader) expectedDemand(pool string, demand demand, now time.Time) policy.Resources {
	inflow := l.arrivalHistoryOf(pool).inflow(now)
	return demand.pending.Plus(maxResources(demand.active, inflow)).Plus(l.expectedBacklog(pool, inflow))
}

// backlogClearTime is how soon to clear the backlog that grows until hosts that are
// ordered now arrive.
const backlogClearTime = 2 * time.Second

// expectedBacklog returns the capacity that clears, within backlogClearTime, the work
// that arrives beyond the pool's capacity while more hosts are on their way.
func (l *Leader) expectedBacklog(pool string, inflow policy.Resources) policy.Resources {
	if inflow == (policy.Resources{}) {
		return policy.Resources{}
	}
	var capacity policy.Resources
	l.visit(len(l.endpoints))
	for _, e := range l.endpointList {
		if e.row.Pool == pool && e.listed && e.reached && !e.gone && !e.leaving && !l.isEvacuated(e) {
			capacity = capacity.Plus(e.row.Capacity)
		}
	}
	fraction := float64(l.config.Bounds.Move+endpointStartTime) / float64(backlogClearTime)
	scale := func(amount int64) int64 { return int64(fraction * float64(max(0, amount))) }
	excess := inflow.Minus(capacity)
	return policy.Resources{CPU: scale(excess.CPU), Memory: scale(excess.Memory)}
}

// activeSince counts the active tasks of a step that were started at a time or before.
func (l *Leader) activeSince(j *jobState, key job.StepKey, at, now time.Time) int64 {
	if j.activeTasks[key] == 0 || !at.Before(now) {
		return int64(j.activeTasks[key])
	}
	count := int64(0)
	if tasks := j.submission.Steps[key.Step].Count; tasks < len(j.active) {
		l.visit(tasks)
		for index := range tasks {
			if runs := j.active[j.taskAt(key, index)]; len(runs) > 0 && !runs[0].orderedAt.After(at) {
				count++
			}
		}
		return count
	}
	l.visit(len(j.active))
	for task, runs := range j.active {
		if task.Step == key.Step && task.Occurrence == key.Occurrence && len(runs) > 0 && !runs[0].orderedAt.After(at) {
			count++
		}
	}
	return count
}

// maxResources returns the element-wise maximum.
func maxResources(a, b policy.Resources) policy.Resources {
	return policy.Resources{CPU: max(a.CPU, b.CPU), Memory: max(a.Memory, b.Memory), GPU: max(a.GPU, b.GPU)}
}

// demandByTier returns a pool's cumulative demand by tier. Running tasks count as
// on time if they were started so, else with their job's tier: those of a late
// backlog are replaced by others as they end, and would keep the pool's hosts for as
// long as the backlog lasts. Arriving work counts as on time, as far as it exceeds
// what runs on time.
func (l *Leader) demandByTier(jobs []*jobState, inflow policy.Resources, now time.Time) [tierCount]policy.Resources {
	var sums [tierCount]policy.Resources
	var runningOnTime policy.Resources
	l.visit(len(jobs))
	for _, j := range jobs {
		for _, step := range j.steps {
			perTask := step.step.Reserved()
			active, pending := int64(j.activeTasks[step.key]), int64(l.pendingDemand(step))
			if active+pending == 0 {
				continue
			}
			if step.step.Persistent {
				sums[tierMinimum] = sums[tierMinimum].Plus(perTask.Times(active + pending))
				continue
			}
			rank := l.rankOf(j, step, now)
			startedInTime := l.activeSince(j, step.key, rank.latestStart, now)
			runningOnTime = runningOnTime.Plus(perTask.Times(startedInTime))
			t := tierOf(rank.lateness)
			sums[t] = sums[t].Plus(perTask.Times(active - startedInTime + pending))
		}
	}
	sums[tierOnTime] = sums[tierOnTime].Plus(maxResources(runningOnTime, inflow))
	for t := tierOnTime; t < tierCount; t++ {
		sums[t] = sums[t].Plus(sums[t-1])
	}
	return sums
}

// tierOf returns the tier of work with the given lateness.
func tierOf(v lateness) tier {
	switch v {
	case onTime:
		return tierOnTime
	case late:
		return tierLate
	default:
		return tierAll
	}
}

// hostsFor returns the number of hosts that a demand needs.
func hostsFor(demand, size policy.Resources) int {
	share := max(float64(demand.CPU)/float64(size.CPU), float64(demand.Memory)/float64(size.Memory))
	count := int(share * packingFactor)
	if float64(count) < share*packingFactor {
		count++
	}
	return count
}
