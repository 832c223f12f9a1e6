package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

const (
	// durationMemory is the weight of a new duration in a pool's mean ratio.
	durationMemory = 0.05
	// ratioLeast and ratioMost bound how far estimates are corrected.
	ratioLeast, ratioMost = 0.3, 4
	// durationLeast stands in for a missing estimate.
	durationLeast = 200 * time.Millisecond
)

// rhythm is what a pool's work has shown so far.
type rhythm struct {
	// ratio is the mean of duration over estimate.
	ratio float64
}

// rhythmOf returns a pool's rhythm.
func (l *Leader) rhythmOf(pool string) *rhythm {
	known, ok := l.rhythms[pool]
	if !ok {
		known = &rhythm{ratio: 1}
		l.rhythms[pool] = known
	}
	return known
}

// arrived notes a new job.
func (r *rhythm) arrived(_ *jobState, _ time.Time) {}

// tookFor notes how long a task took.
func (r *rhythm) tookFor(step job.Step, took time.Duration) {
	if step.Estimate <= 0 {
		return
	}
	ratio := min(ratioMost, max(ratioLeast, float64(took)/float64(step.Estimate)))
	r.ratio += durationMemory * (ratio - r.ratio)
}

// estimate corrects a caller's guess of a task's duration.
func (r *rhythm) estimate(step job.Step) time.Duration {
	return max(durationLeast, time.Duration(float64(step.Estimate)*r.ratio))
}
