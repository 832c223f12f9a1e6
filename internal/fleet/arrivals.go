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
	burstWindow  = 400 * time.Millisecond
	minBurstJobs = 10
	// inflowMargin is how much more room than the mean of arriving work is kept.
	inflowMargin = 1.15
)

// arrival is the work of a job that arrived.
type arrival struct {
	at time.Time
	// cpu is in thousandths of a core times seconds, memory in MiB times seconds.
	cpu, memory float64
}

// arrivalHistory is what a pool's work has shown so far.
type arrivalHistory struct {
	arrivals []arrival
}

// arrivalHistoryOf returns a pool's rhythm.
func (l *Leader) arrivalHistoryOf(pool string) *arrivalHistory {
	history, ok := l.arrivalHistories[pool]
	if !ok {
		history = &arrivalHistory{}
		l.arrivalHistories[pool] = history
	}
	return history
}

// recordArrival notes a new job's work.
func (l *Leader) recordArrival(j *jobState, now time.Time) {
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
	r := l.arrivalHistoryOf(l.poolOf(j))
	r.arrivals = append(r.arrivals, work)
}

// inflow returns how much would run at one time if work went on arriving as it
// did within the last window, or the last short one if that shows a steeper rise.
func (r *arrivalHistory) inflow(now time.Time) policy.Resources {
	first := 0
	for first < len(r.arrivals) && now.Sub(r.arrivals[first].at) > arrivalWindow {
		first++
	}
	r.arrivals = r.arrivals[first:]
	burstStart := len(r.arrivals)
	for burstStart > 0 && now.Sub(r.arrivals[burstStart-1].at) <= burstWindow {
		burstStart--
	}
	inflow := inflowOf(r.arrivals, arrivalWindow)
	burst := r.arrivals[burstStart:]
	if len(burst) < minBurstJobs {
		return inflow
	}
	// What a count may exceed its mean by is not taken for a rise.
	confidence := 1 - 1/math.Sqrt(float64(len(burst)))
	burstInflow := inflowOf(burst, time.Duration(float64(burstWindow)/confidence))
	return maxResources(inflow, burstInflow)
}

// inflowOf is what runs at one time of work that arrives within a window.
func inflowOf(arrivals []arrival, window time.Duration) policy.Resources {
	var cpu, memory float64
	for _, work := range arrivals {
		cpu += work.cpu
		memory += work.memory
	}
	scale := inflowMargin / window.Seconds()
	return policy.Resources{CPU: int64(scale * cpu), Memory: int64(scale * memory)}
}
