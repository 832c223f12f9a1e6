package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/policy"
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
		if step.Lasting {
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
	return policy.Resources{CPU: int64(1.4 * cpu / window), Memory: int64(1.4 * memory / window)}
}
