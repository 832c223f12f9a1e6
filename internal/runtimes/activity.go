package runtimes

import "time"

// Activity is what an endpoint's reports say about the progress of one run. The zero value
// has seen none.
type Activity struct {
	reportedAt time.Time
	// reportedFor is the time between the first and the newest report, and atFullSpeed the
	// time that the run would have needed for the same work at full speed.
	reportedFor, atFullSpeed time.Duration
	newestPercent            int
	workedAt                 time.Time
}

// Report adds a report. used is the CPU usage, and hasSaved is true if there is a new
// checkpoint.
func (a *Activity) Report(at time.Time, speedPercent int, used int64, hasSaved bool) {
	if elapsed := at.Sub(a.reportedAt); !a.reportedAt.IsZero() && elapsed > 0 {
		a.reportedFor += elapsed
		a.atFullSpeed += elapsed * time.Duration(max(0, speedPercent)) / 100
	}
	a.reportedAt, a.newestPercent = at, max(0, speedPercent)
	if speedPercent > 0 && used > 0 || hasSaved {
		a.workedAt = at
	}
}

// Speed returns the run's speed as a fraction of full speed, or 1 if it is not known: the
// higher one of the mean and the newest, so that neither a short dip nor the time in which
// the endpoint was cold counts.
func (a *Activity) Speed() float64 {
	if a.reportedFor <= 0 {
		return 1
	}
	mean := float64(a.atFullSpeed) / float64(a.reportedFor)
	return min(1, max(mean, float64(a.newestPercent)/100))
}

// WorkedAt returns when the run was last reported to work, or zero.
func (a *Activity) WorkedAt() time.Time {
	return a.workedAt
}
