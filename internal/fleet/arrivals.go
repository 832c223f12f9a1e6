package fleet

import (
	"math"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/policy"
)

const (
	// arrivalWindow is the time over which a pool's arriving work is measured.
	arrivalWindow = 1100 * time.Millisecond
	// burstWindow is the shorter window for detecting a burst, which must have at least
	// minBurstJobs jobs.
	burstWindow  = 400 * time.Millisecond
	minBurstJobs = 10
	// inflowMargin is the factor of spare capacity over the mean of arriving work.
	inflowMargin = 1.15
)

// arrival is the work of an arrived job.
type arrival struct {
	at time.Time
	// cpu is in thousandths of a core times seconds, memory in MiB times seconds.
	cpu, memory float64
	// account is the client account, and beyondShare is true if the job exceeded its share.
	account     string
	beyondShare bool
}

// arrivalHistory holds the recent arrivals in a pool.
type arrivalHistory struct {
	arrivals []arrival
}

// arrivalHistoryOf returns a pool's arrival history.
func (l *Leader) arrivalHistoryOf(pool string) *arrivalHistory {
	history, ok := l.arrivalHistories[pool]
	if !ok {
		history = &arrivalHistory{}
		l.arrivalHistories[pool] = history
	}
	return history
}

// recordArrival adds a new job's estimated work to its pool's arrival history.
func (l *Leader) recordArrival(j *jobState, now time.Time) {
	work := arrival{at: now, account: j.submission.Account, beyondShare: j.beyondShare}
	for _, step := range j.submission.Steps {
		if step.Persistent {
			continue
		}
		perTask := step.Reserved()
		taskSeconds := float64(step.Count) * l.durationsOf(j.submission.Queue).Mean(step.Estimate).Seconds()
		work.cpu += float64(perTask.CPU) * taskSeconds
		work.memory += float64(perTask.Memory) * taskSeconds
	}
	h := l.arrivalHistoryOf(l.poolOf(j))
	h.arrivals = append(h.arrivals, work)
}

// inflow returns the resources that arriving work needs if it continues at the rate
// of the last arrivalWindow, or of the last burstWindow if that is a steeper rise.
func (h *arrivalHistory) inflow(now time.Time) policy.Resources {
	first := 0
	for first < len(h.arrivals) && now.Sub(h.arrivals[first].at) > arrivalWindow {
		first++
	}
	h.arrivals = h.arrivals[first:]
	burstStart := len(h.arrivals)
	for burstStart > 0 && now.Sub(h.arrivals[burstStart-1].at) <= burstWindow {
		burstStart--
	}
	inflow := inflowOf(h.arrivals, arrivalWindow)
	burst := h.arrivals[burstStart:]
	if len(burst) < minBurstJobs {
		return inflow
	}
	// Discount one standard deviation of the count, which is no evidence of a rise.
	confidence := 1 - 1/math.Sqrt(float64(len(burst)))
	burstInflow := inflowOf(burst, time.Duration(float64(burstWindow)/confidence))
	return maxResources(inflow, burstInflow)
}

// inflowOf returns the resources in use at one time if the arrivals of one window repeat.
func inflowOf(arrivals []arrival, window time.Duration) policy.Resources {
	var cpu, memory float64
	for _, work := range arrivals {
		cpu += work.cpu
		memory += work.memory
	}
	scale := inflowMargin / window.Seconds()
	return policy.Resources{CPU: int64(scale * cpu), Memory: int64(scale * memory)}
}
