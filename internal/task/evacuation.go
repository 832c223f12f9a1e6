package task

import (
	"slices"
	"time"
)

// lostStartDelay is how long after the last start request a worker that does not
// know the attempt proves that the request was lost. It is longer than a call to a
// worker takes, in multiples of Config.RetryAfter.
const lostStartDelay = 5

// SetEvacuated replaces the evacuated data centres. Nothing starts there, including
// attempts that are placed but have not been sent. Running tasks run to their end.
func (c *Controller) SetEvacuated(now time.Time, dataCentres []string) {
	c.cfg.Placer.SetEvacuated(dataCentres)
	c.nextScheduleAt = time.Time{}
	for _, name := range slices.Clone(c.workerNames) {
		items := c.workers[name].items
		for _, itemName := range sortedNames(items) {
			c.reconcile(now, items[itemName])
		}
	}
}

// holdsStart reports whether the attempt's start must not be sent, again or at all,
// because its worker is evacuated. A poll tells whether an earlier start arrived.
func (c *Controller) holdsStart(it *item) bool {
	return it.record.State == Placed && c.cfg.Placer.IsEvacuated(it.record.Attempt.Worker)
}

// isStartLost reports whether an attempt that its worker does not know can be
// withdrawn, because its start is held back and earlier requests do not arrive any
// more. A worker that answers this manager refuses those of former managers. One of
// this manager might still arrive before the stop and be cut, so a task that must
// not be repeated waits until the evacuation or the worker's process ends.
func (c *Controller) isStartLost(now time.Time, it *item) bool {
	switch {
	case !c.holdsStart(it):
		return false
	case it.starts == 0:
		return true
	}
	return !it.record.Once && !now.Before(it.nextCallAt.Add((lostStartDelay-1)*c.cfg.RetryAfter))
}
