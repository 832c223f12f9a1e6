package fleet

import (
	"cmp"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

// lateFactor times a job's objective is how long it still earns something (the
// platform's page of rules).
const lateFactor = 3

const (
	// startMargin and restMargin, a part of the work left, are the time that a job
	// must have to spare when it begins to count as in time: estimates are rough.
	// Where all is full, jobs would else begin at the last moment and end late.
	startMargin             = 100 * time.Millisecond
	remainingMarginFraction = 0.25
)

// lateness tells what starting a job can still bring.
type lateness int

const (
	// onTime jobs can meet their objective.
	onTime lateness = iota
	// late jobs can be done while they are still of some use.
	late
	// tooLate jobs are later than that.
	tooLate
)

// rank orders waiting steps: lower goes first.
type rank struct {
	priority   int
	persistent bool
	// beyondShare jobs came beyond their client account's share.
	beyondShare bool
	lateness    lateness
	// latestStart is when the step has to start for the job to be in time.
	latestStart time.Time
	id          job.ID
}

// compare returns the order of two ranks.
func (r rank) compare(other rank) int {
	if r.persistent != other.persistent {
		// A lasting task that is away is a service that is down.
		if r.persistent {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(r.priority, other.priority),
		compareBool(r.beyondShare, other.beyondShare),
		cmp.Compare(r.lateness, other.lateness),
		r.latestStart.Compare(other.latestStart),
		cmp.Compare(r.id, other.id),
	)
}

// compareBool puts false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// rankOf returns a step's rank now.
func (l *Leader) rankOf(j *jobState, step *stepState, now time.Time) rank {
	out := rank{priority: j.submission.Priority, persistent: step.step.Persistent, beyondShare: j.beyondShare, id: j.submission.ID}
	queue, ok := l.policy.Queues[j.submission.Queue]
	stretch, target := j.submission.Stretch, j.submission.Target
	if ok {
		out.priority = queue.Priority
		stretch, target = queue.Stretch, queue.Target
	}
	path := l.criticalPath(j)
	objective := time.Duration(float64(path)*max(1, stretch)) + target
	begin := j.submission.Accepted
	if due := j.submission.Due(step.key.Occurrence); !due.IsZero() {
		begin = due
	}
	remaining := l.remainingTime(j, step)
	out.latestStart = begin.Add(objective - remaining)
	margin := time.Duration(0)
	if !j.started {
		// What has begun goes on; what has not must have time to spare.
		margin = startMargin + time.Duration(remainingMarginFraction*float64(remaining))
	}
	switch {
	case !now.Add(margin).After(out.latestStart):
		out.lateness = onTime
	case !now.After(begin.Add(lateFactor*objective - remaining)):
		out.lateness = late
	default:
		out.lateness = tooLate
	}
	return out
}

// criticalPath estimates a job's longest chain of work.
func (l *Leader) criticalPath(j *jobState) time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(j.submission.Steps))
	for i, step := range j.submission.Steps {
		for _, predecessor := range step.After {
			ends[i] = max(ends[i], ends[predecessor])
		}
		ends[i] += l.durationOf(j, step)
		longest = max(longest, ends[i])
	}
	return longest
}

// remainingTime estimates how long a job takes from the start of a step.
func (l *Leader) remainingTime(j *jobState, from *stepState) time.Duration {
	steps := j.submission.Steps
	remaining := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		remaining[i] += l.durationOf(j, steps[i])
		for _, predecessor := range steps[i].After {
			remaining[predecessor] = max(remaining[predecessor], remaining[i])
		}
	}
	return remaining[from.key.Step]
}
