package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/runtimes"
)

// isKnown reports whether the endpoint's current incarnation has reported under the
// leader's token, as far as is known.
func (e *endpoint) isKnown() bool {
	return e.reached && !e.mayHaveRestarted
}

// nextLease returns the expiry, on the endpoint's clock, of a lease that is sent now.
func (e *endpoint) nextLease(now time.Time, length time.Duration) time.Duration {
	if e.clockAt.IsZero() {
		return 0
	}
	e.leaseUntil = max(e.leaseUntil, e.clockNow(now)+length)
	return e.leaseUntil
}

// leaseExpired reports whether each lease that the endpoint may hold has expired, even if
// the endpoint's clock is as slow as maxClockDrift allows.
func (e *endpoint) leaseExpired(now time.Time) bool {
	minClock := e.clock + time.Duration(float64(now.Sub(e.clockAt))*(1-maxClockDrift))
	return minClock > max(e.leaseUntil, e.foreignLeaseUntil, e.suspectedLeaseUntil)+leaseMargin
}

// limitForeignLease lowers the bound of leases from orders for an earlier incarnation: the
// endpoint cuts each lease to the longest one when it receives it.
func (l *Leader) limitForeignLease(e *endpoint, now time.Time) {
	if e.foreignLeaseUntil == 0 || e.clockAt.IsZero() || l.config.Bounds.MaxLease <= 0 {
		return
	}
	longest := l.longestLease(e, now)
	limit := longest
	for _, r := range e.runs {
		if r.isUnresolved() && !r.incarnation.Equal(e.startedAt) {
			limit = max(limit, min(r.lease, longest+maxOrderDelay))
		}
	}
	e.foreignLeaseUntil = min(e.foreignLeaseUntil, limit)
}

// longestLease returns the latest lease that an order received until now may have set.
func (l *Leader) longestLease(e *endpoint, now time.Time) time.Duration {
	return e.clockNow(now) + l.config.Bounds.MaxLease + orderDuration
}

// suspectedLease returns the latest lease of runs that a new incarnation, which has not
// reported yet, may have accepted, or 0 without such runs.
func (l *Leader) suspectedLease(e *endpoint, now time.Time) time.Duration {
	for _, r := range e.runs {
		if !r.reported {
			return l.longestLease(e, now)
		}
	}
	return 0
}

// suspectRestart requests a report from an endpoint that may have restarted, and gives it
// no work and no acknowledgement until then. Only reports tell incarnations apart: they
// arrive in order, since renewals do not overlap, whereas the list lags and wall clocks can
// be set back.
func (l *Leader) suspectRestart(e *endpoint, source string, now time.Time) {
	e.suspectedAt = now
	if e.mayHaveRestarted {
		return
	}
	l.log("endpoint may have restarted", "endpoint", e.row.ID, "source", source, "runs", len(e.runs),
		"life", e.startedAt.UnixMilli(), "report-age", age(e.reportedAt, now))
	e.mayHaveRestarted = true
	e.suspectedLeaseUntil = l.suspectedLease(e, now)
}

// endsByPlan reports whether the endpoint drains, or its host is being moved or maintained.
func (l *Leader) endsByPlan(e *endpoint) bool {
	h := l.hosts.byID[e.hostID()]
	isChanged := h != nil && (h.pendingChange != nil && h.pendingChange.ends(e) || h.shown.State == HostMoving || h.shown.State == HostMaintenance)
	return e.row.Draining || isChanged
}

// newIncarnation resets what is known of an endpoint whose report shows that it has
// restarted. Its runs are judged by the report: orders name an endpoint by its ID alone,
// so that the new incarnation may have carried out, or may yet carry out, starts that were
// meant for the earlier one.
func (l *Leader) newIncarnation(e *endpoint, startedAt, now time.Time) {
	if !e.gone {
		l.judgeRuns(endpointEnd{endpoint: e, reason: "report of a new incarnation", isPlanned: l.endsByPlan(e), isRestart: true, at: now, together: 1}, now)
	}
	l.log("endpoint has a new life", "endpoint", e.row.ID, "runs", len(e.runs), "life", startedAt.UnixMilli(),
		"earlier-life", e.startedAt.UnixMilli(), "listed-life", e.row.StartedAt.UnixMilli(), "report-age", age(e.reportedAt, now))
	e.foreignLeaseUntil = 0
	for _, r := range e.runs {
		// The new incarnation does not know of stops that the earlier one accepted.
		r.reported, r.stopAcceptedAt, r.stopAt = false, time.Time{}, now
		e.foreignLeaseUntil = max(e.foreignLeaseUntil, r.lease)
	}
	// The new incarnation would forget its own ends, unread, for an acknowledgement that was
	// meant for the earlier one.
	e.noWorkUntil = e.lateAckUntil
	l.hasSeenRestart = true
	e.startedAt, e.restartedAt, e.mayHaveRestarted = startedAt, now, false
	e.reached, e.gone, e.presumed, e.listedAt = false, false, nil, now
	e.clock, e.clockAt, e.leaseUntil = 0, time.Time{}, 0
	e.hungUpAt, e.refusedAt = time.Time{}, time.Time{}
	e.lastRead, e.ackable, e.acked, e.unpersisted = 0, 0, 0, nil
	e.failureStreak = failureStreak{}
	e.endedUnanswered = nil
	e.slowness, e.reportsWork, e.overdueSinceEnd = runtimes.Slowness{}, false, 0
}
