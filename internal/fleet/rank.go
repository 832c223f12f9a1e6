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
	startMargin = 100 * time.Millisecond
	restMargin  = 0.25
)

// hope tells what starting a job can still bring.
type hope int

const (
	// hopeInTime jobs can meet their objective.
	hopeInTime hope = iota
	// hopeLate jobs can be done while they are still of some use.
	hopeLate
	// hopeNone jobs are later than that.
	hopeNone
)

// rank orders waiting steps: lower goes first.
type rank struct {
	priority int
	lasting  bool
	// excess jobs came beyond their client account's share.
	excess bool
	hope   hope
	// latest is when the step has to start for the job to be in time.
	latest time.Time
	id     job.ID
}

// compare returns the order of two ranks.
func (r rank) compare(other rank) int {
	if r.lasting != other.lasting {
		// A lasting task that is away is a service that is down.
		if r.lasting {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(r.priority, other.priority),
		compareBool(r.excess, other.excess),
		cmp.Compare(r.hope, other.hope),
		r.latest.Compare(other.latest),
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
	out := rank{priority: j.submission.Priority, lasting: step.step.Persistent, excess: j.excess, id: j.submission.ID}
	queue, ok := l.policy.Queues[j.submission.Queue]
	stretch, target := j.submission.Stretch, j.submission.Target
	if ok {
		out.priority = queue.Priority
		stretch, target = queue.Stretch, queue.Target
	}
	chain := l.chainOf(j)
	objective := time.Duration(float64(chain)*max(1, stretch)) + target
	begin := j.submission.Accepted
	if due := j.submission.Due(step.key.Occurrence); !due.IsZero() {
		begin = due
	}
	rest := l.restOf(j, step)
	out.latest = begin.Add(objective - rest)
	margin := time.Duration(0)
	if !j.begun {
		// What has begun goes on; what has not must have time to spare.
		margin = startMargin + time.Duration(restMargin*float64(rest))
	}
	switch {
	case !now.Add(margin).After(out.latest):
		out.hope = hopeInTime
	case !now.After(begin.Add(lateFactor*objective - rest)):
		out.hope = hopeLate
	default:
		out.hope = hopeNone
	}
	return out
}

// chainOf estimates a job's longest chain of work.
func (l *Leader) chainOf(j *jobState) time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(j.submission.Steps))
	for i, step := range j.submission.Steps {
		for _, before := range step.After {
			ends[i] = max(ends[i], ends[before])
		}
		ends[i] += l.durationOf(j, step)
		longest = max(longest, ends[i])
	}
	return longest
}

// restOf estimates how long a job takes from the start of a step.
func (l *Leader) restOf(j *jobState, from *stepState) time.Duration {
	steps := j.submission.Steps
	rests := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		rests[i] += l.durationOf(j, steps[i])
		for _, before := range steps[i].After {
			rests[before] = max(rests[before], rests[i])
		}
	}
	return rests[from.key.Step]
}
