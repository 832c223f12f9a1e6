package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

const (
	// durationMemory is the weight of a new duration in a pool's mean ratio.
	durationMemory = 0.05
	// ratioLeast and ratioMost bound how far estimates are corrected.
	ratioLeast, ratioMost = 0.3, 4
	// durationLeast stands in for a missing estimate.
	durationLeast = 200 * time.Millisecond
)

// arrivalWindow is the time over which a pool's arriving work is measured.
const arrivalWindow = 1100 * time.Millisecond

// arrival is the work of a job that arrived.
type arrival struct {
	at time.Time
	// cpu is in thousandths of a core times seconds, memory in MiB times seconds.
	cpu, memory float64
}

// rhythm is what a pool's work has shown so far.
type rhythm struct {
	// ratio is the mean of duration over estimate.
	ratio    float64
	arrivals []arrival
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

// arrived notes a new job's work.
func (r *rhythm) arrived(j *jobState, now time.Time) {
	var work arrival
	for _, step := range j.submission.Steps {
		if step.Lasting {
			continue
		}
		each := step.Reserved()
		taskSeconds := float64(step.Count) * r.estimate(step).Seconds()
		work.cpu += float64(each.CPU) * taskSeconds
		work.memory += float64(each.Memory) * taskSeconds
	}
	work.at = now
	r.arrivals = append(r.arrivals, work)
}

// flow returns how much would run at one time if work went on arriving as it
// did within the last window.
func (r *rhythm) flow(now time.Time) policy.Resources {
	var cpu, memory float64
	first := len(r.arrivals)
	for i, work := range r.arrivals {
		if now.Sub(work.at) > arrivalWindow {
			continue
		}
		first = min(first, i)
		cpu += work.cpu
		memory += work.memory
	}
	r.arrivals = r.arrivals[first:]
	window := arrivalWindow.Seconds()
	return policy.Resources{CPU: int64(cpu / window), Memory: int64(memory / window)}
}

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
