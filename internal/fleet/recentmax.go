package fleet

import "time"

// recentWindow is the length of a window; a recentMax covers between one and two.
const recentWindow = 1500 * time.Millisecond

// recentMax tracks the maximum of recent values.
type recentMax struct {
	// windowStart is when the current window began; current and previous are the
	// maxima of that window and the one before.
	windowStart       time.Time
	current, previous int
}

// observe adds a value and returns the recent maximum.
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
