package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// forecastLifetime is how long a job's forecast is used while none of its own tasks ends. The model
// of durations, from which it is made, changes with each task that ends in the queue, and waiting
// jobs are looked at many times a second.
const forecastLifetime = 200 * time.Millisecond

// forecast is what is expected of a job's duration.
type forecast struct {
	madeAt time.Time
	// policy is the configuration that was in force.
	policy    *policy.Policy
	objective time.Duration
	// remaining holds, by step, the time from its start to the end of the job.
	remaining []time.Duration
}

// forecastOf returns a job's forecast, which is made anew once it has outlived its use.
func (l *Leader) forecastOf(j *jobState, now time.Time) *forecast {
	f := &j.forecast
	if f.remaining != nil && f.policy == l.policy && now.Sub(f.madeAt) < forecastLifetime {
		l.visit(1)
		return f
	}
	l.effort.Forecasts++
	f.madeAt, f.policy = now, l.policy
	l.forecastDurations(j, f)
	return f
}

// forecastDurations estimates a job's objective and, from each step, its remaining time.
func (l *Leader) forecastDurations(j *jobState, f *forecast) {
	steps := j.submission.Steps
	if f.remaining == nil {
		f.remaining = make([]time.Duration, len(steps))
	}
	model := l.durationsOf(j.submission.Queue)
	endTimes, longest := make([]time.Duration, len(steps)), time.Duration(0)
	for i, step := range steps {
		f.remaining[i] = model.Median(step.Estimate)
		for _, predecessor := range step.After {
			endTimes[i] = max(endTimes[i], endTimes[predecessor])
		}
		endTimes[i] += f.remaining[i]
		longest = max(longest, endTimes[i])
	}
	following := endTimes
	clear(following)
	for i := len(steps) - 1; i >= 0; i-- {
		f.remaining[i] += following[i]
		for _, predecessor := range steps[i].After {
			following[predecessor] = max(following[predecessor], f.remaining[i])
		}
	}
	stretch, target := j.submission.Stretch, j.submission.Target
	if queue, ok := l.policy.Queues[j.submission.Queue]; ok {
		stretch, target = queue.Stretch, queue.Target
	}
	f.objective = time.Duration(float64(longest)*max(1, stretch)) + target
}
