package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/runtimes"
)

// durationsOf returns the duration model of a queue.
func (l *Leader) durationsOf(queue string) *runtimes.Model {
	model, ok := l.durations[queue]
	if !ok {
		model = runtimes.New(runtimes.Config{})
		l.durations[queue] = model
	}
	return model
}

// durationOf predicts the duration of a step's task.
func (l *Leader) durationOf(j *jobState, step job.Step) time.Duration {
	return l.durationsOf(j.submission.Queue).Median(step.Estimate)
}

// compareRun compares the duration of a run that is done with those of the queue's other
// tasks, and counts the difference for its endpoint.
func (l *Leader) compareRun(r *run, completion Completion, took time.Duration) {
	if r == nil || r.job == nil || completion.Checkpoint != "" || !r.showsSpeed() {
		return
	}
	deviation := l.durationsOf(r.job.submission.Queue).ObserveRatio(r.step().Estimate, took)
	r.endpoint.slowness.Observe(deviation)
}

// showsSpeed reports whether the duration of the run shows how fast its endpoint is: the
// start is known, and nothing else than the endpoint has slowed the run down.
func (r *run) showsSpeed() bool {
	step := r.step()
	return r.inheritedStopsEnd.IsZero() && r.endpoint.row.WarmUp == 0 && !step.Persistent && !step.Gang && !step.BestEffort
}

// noteActivity notes what a report says about the run's progress.
func (r *run) noteActivity(running RunningTask, now time.Time) {
	used := running.CPU
	if r.job != nil && r.step().TailTarget > 0 {
		// The figure is a latency.
		used = 0
	}
	r.activity.Report(now, running.SpeedPercent, used, running.Checkpoint != "" && running.Checkpoint != r.checkpoint)
	r.endpoint.reportsWork = r.endpoint.reportsWork || used > 0
	if r.activity.WorkedAt().Equal(now) {
		r.endpoint.workedAt = now
	}
}
