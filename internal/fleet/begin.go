package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

// noteScheduled records that the start of a task has been decided.
func (j *jobState) noteScheduled(lateness lateness) {
	j.isScheduled = true
	if !j.hasBegun {
		j.startLateness = lateness
	}
}

// needsStartMargin reports whether a job must have slack to count as in time. A job of which a start
// has been decided continues.
func (j *jobState) needsStartMargin() bool {
	return !j.isScheduled
}

// mayBeDeferred reports whether the steps of a job may wait for those of others.
func (j *jobState) mayBeDeferred() bool {
	return !j.isScheduled
}

// isProtected reports whether a job keeps its place while its pool is short of capacity.
func (l *Leader) isProtected(j *jobState) bool {
	return j.isScheduled || j.submission.Returned || l.sizesOf(j.submission.Queue).IsFavoured(j.size)
}

// runBegan records, once, that an endpoint has confirmed the start of a run.
func (l *Leader) runBegan(r *run, now time.Time) {
	if r.hasBegun || r.job == nil {
		return
	}
	r.hasBegun = true
	if r.gang != nil {
		r.gang.memberBegan(now)
	}
	isFirst := !r.job.hasBegun
	l.taskBegan(r.job, r.key.task, now)
	if r.sentAt.IsZero() {
		// An earlier leader has started it.
		return
	}
	if isFirst {
		r.job.startedAfter = now.Sub(r.job.submission.Accepted)
	}
	l.noteStart(r.job, r.step(), now)
	l.countSize(r.job, r.step(), r.job.startLateness)
}

// taskBegan records that an endpoint has confirmed a start of a task. j may be nil: the endpoint may
// name a job that is not known.
func (l *Leader) taskBegan(j *jobState, task job.Task, now time.Time) {
	if j == nil {
		return
	}
	j.occurrences.begun(task.Occurrence)
	if j.hasBegun {
		return
	}
	j.hasBegun = true
	l.begunJobs = append(l.begunJobs, begunJob{job: j, at: now})
}

// beginRecordDelay is how long after a job's first start its row records that it has begun, if no end
// has been recorded by then: most jobs have one. Counts of waiting jobs may be two seconds old, and a
// leader that takes over later than that must not count the job again.
const beginRecordDelay = 1500 * time.Millisecond

// begunJob is a job that has begun, and may not have a row that records it.
type begunJob struct {
	job *jobState
	at  time.Time
}

// recordBegins records of jobs that they have begun. Otherwise a new leader would count those as waiting
// whose endpoints it does not reach, or have crashed.
func (l *Leader) recordBegins(now time.Time) {
	for len(l.begunJobs) > 0 && now.Sub(l.begunJobs[0].at) >= beginRecordDelay {
		j := l.begunJobs[0].job
		l.begunJobs = l.begunJobs[1:]
		if !j.over() && !j.progress.HasBegun() {
			j.progress.State = job.Running
			l.markDirty(j)
		}
	}
}
