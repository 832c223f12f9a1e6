package place

import "time"

const (
	// suspicionLimit is the number of unexplained failures, of as many tasks and
	// without a success in between, that sets a worker aside.
	suspicionLimit = 3
	// trialTasks is how many tasks a suspected worker may hold until one succeeds.
	trialTasks = 2
	// maxUnexplained bounds the failures that are remembered of a worker.
	maxUnexplained = 64
	firstRest      = 30 * time.Second
	longestRest    = 30 * time.Minute
)

// health judges a worker by the tasks that failed there. A failure is explained,
// and no longer held against the worker, when the same task fails elsewhere too.
type health struct {
	unexplained map[string]struct{}
	proven      bool
	asideUntil  time.Time
	rest        time.Duration
}

// newHealth returns the health of a worker on which nothing has run.
func newHealth() *health {
	return &health{unexplained: make(map[string]struct{})}
}

// succeeded clears the worker.
func (h *health) succeeded() {
	clear(h.unexplained)
	h.proven = true
	h.asideUntil = time.Time{}
	h.rest = 0
}

// failed holds a task's failure against the worker and sets it aside for too
// many of them, if it may rest.
func (h *health) failed(now time.Time, task string, mayRest bool) {
	if len(h.unexplained) < maxUnexplained {
		h.unexplained[task] = struct{}{}
	}
	if len(h.unexplained) < suspicionLimit || !mayRest {
		return
	}
	h.proven = false
	h.rest = min(max(2*h.rest, firstRest), longestRest)
	h.asideUntil = now.Add(h.rest)
}

// suspects reports whether the task's failure is held against the worker.
func (h *health) suspects(task string) bool {
	_, held := h.unexplained[task]
	return held
}

// explained takes a task's failure back. A worker that was set aside for too
// few failures then returns.
func (h *health) explained(task string) {
	if !h.suspects(task) {
		return
	}
	delete(h.unexplained, task)
	if len(h.unexplained) < suspicionLimit {
		h.asideUntil = time.Time{}
		h.rest = 0
	}
}

// aside reports whether the worker is set aside at now.
func (h *health) aside(now time.Time) bool {
	return now.Before(h.asideUntil)
}

// allows reports whether one more task may join those held by the worker. A
// worker under suspicion gets few; after its rest it gets a single one, whose
// failure sets it aside again.
func (h *health) allows(now time.Time, held int) bool {
	switch {
	case h.aside(now):
		return false
	case h.rest > 0:
		return held == 0
	case len(h.unexplained) > 0:
		return h.proven || held < trialTasks
	default:
		return true
	}
}
