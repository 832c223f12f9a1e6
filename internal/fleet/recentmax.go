package fleet

import "time"

// recentWindow is how far back a recentMost reaches at least, and at most twice that.
const recentWindow = 1500 * time.Millisecond

// recentMax is the largest of the latest figures.
type recentMax struct {
	// windowStart is when the current span began, whose largest figure is most.
	windowStart       time.Time
	current, previous int
}

// observe takes a figure and returns the largest of late.
func (m *recentMax) observe(value int, now time.Time) int {
	switch elapsed := now.Sub(m.windowStart); {
	case elapsed > 2*recentWindow:
		*m = recentMax{windowStart: now}
	case elapsed > recentWindow:
		m.windowStart, m.previous, m.current = now, m.current, 0
	}
	m.current = max(m.current, value)
	return max(m.current, m.previous)
}
