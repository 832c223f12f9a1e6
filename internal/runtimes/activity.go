package runtimes

import "time"

// Activity is what an endpoint's reports say about the progress of one run. The zero value
// has seen none.
type Activity struct {
	workedAt time.Time
}

// Report adds a report. percent is the run's reported percentage, used its CPU usage, and hasSaved
// is true if there is a new checkpoint. Only a percentage of zero tells something: others are low
// also for runs on sound endpoints.
func (a *Activity) Report(at time.Time, percent int, used int64, hasSaved bool) {
	if percent > 0 && used > 0 || hasSaved {
		a.workedAt = at
	}
}

// WorkedAt returns when the run was last reported to work, or zero.
func (a *Activity) WorkedAt() time.Time {
	return a.workedAt
}
