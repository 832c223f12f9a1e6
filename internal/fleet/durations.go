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
