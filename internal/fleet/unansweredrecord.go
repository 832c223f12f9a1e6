package fleet

import (
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

// Starts that got no answer are recorded in their job's row, so that the next leader knows which ones
// endpoints may carry out late. One that is recorded for longer than it may be late does no harm.

// recordUnanswered records a start that got no answer.
func (l *Leader) recordUnanswered(r *run) {
	if r.job == nil || r.job.over() || r.step().Speculative {
		return
	}
	start := job.UnansweredStart{
		Run: r.key.run, Endpoint: string(r.endpoint.row.ID), SentAt: r.sentAt.Round(0), AfterRestarts: l.hasSeenRestart,
	}
	if r.job.progress.RecordUnanswered(r.key.task, start) {
		l.markDirty(r.job)
	}
}

// forgetUnanswered removes the record of a start that was carried out or cannot be any more, with the row's next change.
func (l *Leader) forgetUnanswered(r *run) {
	if r.job != nil && (r.wasUnconfirmed || r.awaitsAnswer) {
		r.job.progress.ForgetUnanswered(r.key.task, r.key.run)
	}
}

// loadUnanswered takes over the starts of a job that former leaders have recorded as unanswered.
func (l *Leader) loadUnanswered(j *jobState, now time.Time) {
	if j.over() {
		return
	}
	for key, step := range j.progress.Steps {
		for index, starts := range step.Unanswered {
			for _, start := range slices.Clone(starts) {
				l.loadUnansweredStart(j, j.taskAt(key, index), start, now)
			}
		}
	}
}

// loadUnansweredStart lets the task of a start of a former leader wait, or start on the same endpoint only, for as long
// as the start may be carried out late.
func (l *Leader) loadUnansweredStart(j *jobState, task job.Task, start job.UnansweredStart, now time.Time) {
	if !j.submission.Has(task) || start.Endpoint == "" || start.Run <= 0 || !l.isFormerRun(start.Run) {
		l.log("unanswered start in a row is invalid", "job", task.Job, "step", task.Step, "index", task.Index, "run", start.Run)
		return
	}
	sentAgo := max(now.Round(0).Sub(start.SentAt)-maxWallClockSkew, 0)
	e := l.endpoints[EndpointID(start.Endpoint)]
	if e == nil {
		e = newEndpoint(EndpointRow{ID: EndpointID(start.Endpoint)}, now)
	}
	r := &run{
		key: runKey{task, start.Run}, endpoint: e, job: j, state: runUnconfirmed, percent: 100, wasUnconfirmed: true,
		orderedAt: now.Add(-sentAgo), sentAt: now.Add(-sentAgo), reserved: j.submission.Steps[task.Step].Reserved(),
	}
	if !l.noteLateStart(r, now) {
		l.forgetUnanswered(r)
		return
	}
	l.hasSeenRestart = l.hasSeenRestart || start.AfterRestarts
	l.log("start of a former leader may come late", "job", task.Job, "step", task.Step, "index", task.Index, "run", start.Run,
		"endpoint", start.Endpoint, "sent-ago", sentAgo.Round(time.Millisecond).String())
}
