package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/policy"
)

const (
	// minReturning is the number of endpoints of a data centre that become cold together for it to
	// return as a whole: fewer are restarts of single hosts.
	minReturning = 3
	// returnWindow is how far apart they may become cold.
	returnWindow = 3 * time.Second
)

// availableForStarts returns the capacity that the endpoint has for new runs. While it is cold after the return
// of its data centre, its runs get at most half of its capacity: all work that waits would else
// start at once where it is slowest. Single GPUs are not divided.
func (e *endpoint) availableForStarts() policy.Resources {
	if !e.isReturning {
		return e.available()
	}
	capacity := e.row.Capacity
	half := policy.Resources{CPU: capacity.CPU / 2, Memory: capacity.Memory / 2, GPU: (capacity.GPU + 1) / 2}
	return half.Minus(e.tally.reserved)
}

// noteWarmUp notes whether an endpoint has become cold, by its newest row. former is its row before
// that, or nil if it is new.
func (l *Leader) noteWarmUp(e *endpoint, former *EndpointRow, now time.Time) {
	isNew := former == nil || !former.StartedAt.Equal(e.row.StartedAt)
	hadOther, isByChange := l.noteEndpointOf(e, isNew)
	switch {
	case e.row.WarmUp <= 0:
		e.coldSince, e.isReturning = time.Time{}, false
	case !isNew && former.WarmUp > 0:
		// It has been cold before.
	case isByChange || former == nil && !hadOther:
		// It is cold after a change of its host, or this leader does not know it as warm.
		e.coldSince, e.isReturning = time.Time{}, false
	default:
		e.coldSince = now
		l.noteReturn(l.dataCentreOf(e), now)
	}
}

// noteEndpointOf notes the endpoint that its host was last known to have. It returns whether the
// host had another one, and, for a new incarnation, whether a change of the host explains it.
func (l *Leader) noteEndpointOf(e *endpoint, isNew bool) (hadOther, isByChange bool) {
	id := e.hostID()
	if id == "" {
		return false, false
	}
	last, ok := l.lastEndpoints[id]
	l.lastEndpoints[id] = e.row.ID
	h := l.hosts.byID[id]
	if h == nil {
		return ok && last != e.row.ID, false
	}
	isByChange = h.pendingChange != nil || h.awaitsEndpoint
	if isNew && e.row.WarmUp > 0 {
		h.awaitsEndpoint = false
	}
	return ok && last != e.row.ID, isByChange
}

// noteReturn limits the endpoints of a data centre that have become cold, if enough of them have
// within a short time.
func (l *Leader) noteReturn(dataCentre string, now time.Time) {
	if dataCentre == "" {
		return
	}
	var returning []*endpoint
	for _, e := range l.endpointList {
		if !e.coldSince.IsZero() && now.Sub(e.coldSince) < returnWindow && l.dataCentreOf(e) == dataCentre {
			returning = append(returning, e)
		}
	}
	if len(returning) < minReturning {
		return
	}
	if len(returning) == minReturning {
		l.log("endpoints of a data centre return cold", "data-centre", dataCentre, "endpoints", len(returning))
	}
	for _, e := range returning {
		e.isReturning = true
	}
}

// limitCold limits the endpoints of a data centre that are cold when its evacuation is withdrawn.
func (l *Leader) limitCold(dataCentre string) {
	for _, e := range l.endpointList {
		if e.row.WarmUp > 0 && l.dataCentreOf(e) == dataCentre {
			e.isReturning = true
		}
	}
}
