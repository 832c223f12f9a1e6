package fleet

import "time"

// recentSpan is how far back a recentMost reaches at least, and at most twice that.
const recentSpan = 1500 * time.Millisecond

// recentMost is the largest of the latest figures.
type recentMost struct {
	// since is when the current span began, whose largest figure is most.
	since        time.Time
	most, before int
}

// note takes a figure and returns the largest of late.
func (m *recentMost) note(figure int, now time.Time) int {
	switch passed := now.Sub(m.since); {
	case passed > 2*recentSpan:
		*m = recentMost{since: now}
	case passed > recentSpan:
		m.since, m.before, m.most = now, m.most, 0
	}
	m.most = max(m.most, figure)
	return max(m.most, m.before)
}
