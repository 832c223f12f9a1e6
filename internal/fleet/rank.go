package fleet

import (
	"cmp"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

// lateFactor times its objective is how long a job still has value under the
// platform's scoring rules.
const lateFactor = 3

const (
	// startMargin, plus remainingMarginFraction of the remaining work, is the slack that
	// an unstarted job needs to count as on time, since estimates are rough. Without it,
	// jobs in a full pool would start at the last moment and end late.
	startMargin             = 100 * time.Millisecond
	remainingMarginFraction = 0.25
)

// lateness is whether a job that starts now can still meet its objective.
type lateness int

const (
	// onTime jobs can meet their objective.
	onTime lateness = iota
	// late jobs will miss their objective but can still end within lateFactor of it.
	late
	// tooLate jobs cannot end in time to have any value.
	tooLate
)

// rank orders steps with pending tasks; lower ranks start first.
type rank struct {
	priority   int
	persistent bool
	// beyondShare jobs exceeded their client account's share.
	beyondShare bool
	lateness    lateness
	// latestStart is when the step has to start for the job to meet its objective.
	latestStart time.Time
	// isDeferred is true while the pool is short of capacity and others of the same level cost
	// callers more.
	isDeferred bool
	id         job.ID
}

// compare returns a negative number if r comes before other.
func (r rank) compare(other rank) int {
	if r.persistent != other.persistent {
		// A persistent task that does not run is a service that is down.
		if r.persistent {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(r.priority, other.priority),
		compareBool(r.beyondShare, other.beyondShare),
		cmp.Compare(r.lateness, other.lateness),
		compareBool(r.isDeferred, other.isDeferred),
		r.latestStart.Compare(other.latestStart),
		cmp.Compare(r.id, other.id),
	)
}

// compareBool orders false before true.
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

// rankOf returns a step's current rank.
func (l *Leader) rankOf(j *jobState, step *stepState, now time.Time) rank {
	out := rank{priority: j.submission.Priority, persistent: step.step.Persistent, beyondShare: j.beyondShare, id: j.submission.ID}
	queue, ok := l.policy.Queues[j.submission.Queue]
	if ok {
		out.priority = queue.Priority
	}
	expected := l.forecastOf(j, now)
	objective, remaining := expected.objective, expected.remaining[step.key.Step]
	dueAt := j.submission.Accepted
	if due := j.submission.Due(step.key.Occurrence); !due.IsZero() {
		dueAt = due
	}
	out.latestStart = dueAt.Add(objective - remaining)
	margin := time.Duration(0)
	if j.needsStartMargin() {
		margin = startMargin + time.Duration(remainingMarginFraction*float64(remaining))
	}
	switch {
	case !now.Add(margin).After(out.latestStart):
		out.lateness = onTime
	case !now.After(dueAt.Add(lateFactor*objective - remaining)):
		out.lateness = late
	default:
		out.lateness = tooLate
	}
	return out
}
