package place

import "time"

const (
	// quarantineThreshold is the number of unexplained failures, of different
	// tasks and without a success in between, that quarantines a worker.
	quarantineThreshold = 3
	// probationTasks is how many tasks a worker with unexplained failures may
	// hold at a time until one succeeds.
	probationTasks = 2
	// maxUnexplained limits the unexplained failures recorded for a worker.
	maxUnexplained = 64
	minBackoff     = 30 * time.Second
	maxBackoff     = 30 * time.Minute
)

// health tracks the health of a worker by the tasks that failed on it. A failure
// is explained, and no longer counts against the worker, when the same task also
// fails on another worker.
type health struct {
	unexplained      map[string]struct{}
	proven           bool
	quarantinedUntil time.Time
	backoff          time.Duration
}

// newHealth returns the health of a worker that has run no task yet.
func newHealth() *health {
	return &health{unexplained: make(map[string]struct{})}
}

// recordSuccess clears the worker's failures and ends its quarantine.
func (h *health) recordSuccess() {
	clear(h.unexplained)
	h.proven = true
	h.quarantinedUntil = time.Time{}
	h.backoff = 0
}

// recordFailure records a task's failure on the worker, and quarantines the
// worker if it has too many and mayQuarantine is set.
func (h *health) recordFailure(now time.Time, task string, mayQuarantine bool) {
	if len(h.unexplained) < maxUnexplained {
		h.unexplained[task] = struct{}{}
	}
	if len(h.unexplained) < quarantineThreshold || !mayQuarantine {
		return
	}
	h.proven = false
	h.backoff = min(max(2*h.backoff, minBackoff), maxBackoff)
	h.quarantinedUntil = now.Add(h.backoff)
}

// hasFailure reports whether a failure of the task counts against the worker.
func (h *health) hasFailure(task string) bool {
	_, ok := h.unexplained[task]
	return ok
}

// dropFailure removes a failure that is explained. It ends the quarantine if the
// remaining failures are below the threshold.
func (h *health) dropFailure(task string) {
	if !h.hasFailure(task) {
		return
	}
	delete(h.unexplained, task)
	if len(h.unexplained) < quarantineThreshold {
		h.quarantinedUntil = time.Time{}
		h.backoff = 0
	}
}

// quarantined reports whether the worker is quarantined at the given time.
func (h *health) quarantined(now time.Time) bool {
	return now.Before(h.quarantinedUntil)
}

// allows reports whether the worker may get another task in addition to those it
// holds. A worker with unexplained failures gets only a few. After a quarantine
// it gets a single task, whose failure quarantines the worker again.
func (h *health) allows(now time.Time, held int) bool {
	switch {
	case h.quarantined(now):
		return false
	case h.backoff > 0:
		return held == 0
	case len(h.unexplained) > 0:
		return h.proven || held < probationTasks
	default:
		return true
	}
}
