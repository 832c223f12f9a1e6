package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/policy"
)

const (
	// defaultCapacityNotice is CapacityNotice if the platform does not say it.
	defaultCapacityNotice = 3 * time.Second
	// maxRoomPause is the longest time that an endpoint gets no work after it rejected starts
	// for lack of capacity, again and again.
	maxRoomPause = 1600 * time.Millisecond
)

// ConfirmEndpoints records that the endpoints' rows were current at the given time.
func (l *Leader) ConfirmEndpoints(at time.Time) {
	if at.After(l.endpointsAsOf) {
		l.endpointsAsOf = at
	}
}

// NoteStoreReturn records since when the store has been reachable.
func (l *Leader) NoteStoreReturn(at time.Time) {
	l.storeReturnedAt = at
}

// knowsCapacity reports whether starts in a pool stay within what its endpoints can take now. An
// endpoint that takes whatever it is told to may have shrunk since its row was read.
func (l *Leader) knowsCapacity(pool string, now time.Time) bool {
	if known, ok := l.policy.Pools[pool]; ok && known.Guarded {
		return true
	}
	notice := l.config.Bounds.CapacityNotice
	if notice <= 0 {
		notice = defaultCapacityNotice
	}
	return now.Sub(l.endpointsAsOf) <= notice-orderDuration
}

// hasRoomFor reports whether the endpoint's runs, of which r is one, leave room for r. The
// capacity may have shrunk since r was ordered.
func (e *endpoint) hasRoomFor(r *run) bool {
	available := e.available().Plus(r.reserved)
	return r.reserved.FitsIn(available)
}

// roomRefused pauses the endpoint after it rejected a start for lack of capacity. Its row does
// not say yet that it has shrunk.
func (e *endpoint) roomRefused(now time.Time) {
	e.roomPause = min(maxRoomPause, max(startRetryDelay, 2*e.roomPause))
	e.fullUntil = now.Add(e.roomPause)
}

// setCapacity notes the capacity in the endpoint's newest row.
func (l *Leader) setCapacity(e *endpoint, capacity policy.Resources) {
	if capacity == e.row.Capacity {
		return
	}
	l.log("endpoint changed its capacity", "endpoint", e.row.ID, "pool", e.row.Pool, "cpu", capacity.CPU, "memory", capacity.Memory, "gpu", capacity.GPU,
		"former-cpu", e.row.Capacity.CPU, "former-memory", e.row.Capacity.Memory, "reserved-cpu", e.tally.reserved.CPU, "runs", len(e.runs))
	e.roomPause, e.fullUntil = 0, time.Time{}
}
