package fleet

import (
	"math"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/policy"
)

const (
	// arrivalWindow is the time over which a pool's arriving work is measured.
	arrivalWindow = 1100 * time.Millisecond
	// burstWindow is the same for a sudden rise, which burstLeast jobs have to show.
	burstWindow = 400 * time.Millisecond
	burstLeast  = 10
	// flowMargin is how much more room than the mean of arriving work is kept.
	flowMargin = 1.15
)

// arrival is the work of a job that arrived.
type arrival struct {
	at time.Time
	// cpu is in thousandths of a core times seconds, memory in MiB times seconds.
	cpu, memory float64
}

// rhythm is what a pool's work has shown so far.
type rhythm struct {
	arrivals []arrival
}

// rhythmOf returns a pool's rhythm.
func (l *Leader) rhythmOf(pool string) *rhythm {
	known, ok := l.rhythms[pool]
	if !ok {
		known = &rhythm{}
		l.rhythms[pool] = known
	}
	return known
}

// noteArrival notes a new job's work.
func (l *Leader) noteArrival(j *jobState, now time.Time) {
	work := arrival{at: now}
	for _, step := range j.submission.Steps {
		if step.Persistent {
			continue
		}
		each := step.Reserved()
		taskSeconds := float64(step.Count) * l.durationsOf(j.submission.Queue).mean(step.Estimate).Seconds()
		work.cpu += float64(each.CPU) * taskSeconds
		work.memory += float64(each.Memory) * taskSeconds
	}
	r := l.rhythmOf(l.poolOf(j))
	r.arrivals = append(r.arrivals, work)
}

// flow returns how much would run at one time if work went on arriving as it
// did within the last window, or the last short one if that shows a steeper rise.
func (r *rhythm) flow(now time.Time) policy.Resources {
	first := 0
	for first < len(r.arrivals) && now.Sub(r.arrivals[first].at) > arrivalWindow {
		first++
	}
	r.arrivals = r.arrivals[first:]
	recent := len(r.arrivals)
	for recent > 0 && now.Sub(r.arrivals[recent-1].at) <= burstWindow {
		recent--
	}
	flow := flowOf(r.arrivals, arrivalWindow)
	burst := r.arrivals[recent:]
	if len(burst) < burstLeast {
		return flow
	}
	// What a count may exceed its mean by is not taken for a rise.
	sure := 1 - 1/math.Sqrt(float64(len(burst)))
	rise := flowOf(burst, time.Duration(float64(burstWindow)/sure))
	return largerOf(flow, rise)
}

// flowOf is what runs at one time of work that arrives within a window.
func flowOf(arrivals []arrival, window time.Duration) policy.Resources {
	var cpu, memory float64
	for _, work := range arrivals {
		cpu += work.cpu
		memory += work.memory
	}
	scale := flowMargin / window.Seconds()
	return policy.Resources{CPU: int64(scale * cpu), Memory: int64(scale * memory)}
}
