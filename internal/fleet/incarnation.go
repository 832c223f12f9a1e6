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
	if e.hasUnreportedRun() {
		e.unreportedSince = now
	}
}

// hasUnreportedRun reports whether the endpoint has not reported one of its runs.
func (e *endpoint) hasUnreportedRun() bool {
	for _, r := range e.runs {
		if !r.reported {
			return true
		}
	}
	return false
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
	for _, r := range e.runs {
		// The new incarnation does not know of stops that the earlier one accepted.
		r.reported, r.stopAcceptedAt, r.stopAt = false, time.Time{}, now
	}
	// The new incarnation would forget its own ends, unread, for an acknowledgement that was
	// meant for the earlier one.
	e.noWorkUntil = e.lateAckUntil
	l.hasSeenRestart = true
	e.startedAt, e.restartedAt, e.mayHaveRestarted = startedAt, now, false
	e.reached, e.gone, e.presumed, e.listedAt = false, false, nil, now
	e.clock, e.clockAt, e.leaseUntil, e.foreignLeaseUntil, e.isSuccessor = 0, time.Time{}, 0, 0, true
	e.hungUpAt, e.refusedAt = time.Time{}, time.Time{}
	e.lastRead, e.ackable, e.acked, e.unpersisted = 0, 0, 0, nil
	e.failureStreak = failureStreak{}
	e.endedUnanswered = nil
	e.slowness, e.reportsWork, e.overdueSinceEnd = runtimes.Slowness{}, false, 0
}

// unansweredOrders is until when orders that an endpoint has left unanswered may be carried out.
type unansweredOrders struct {
	ackUntil, leaseUntil time.Time
}

// keepOrders keeps the orders that an endpoint, which is forgotten, has left unanswered: it may be listed again.
func (l *Leader) keepOrders(e *endpoint, now time.Time) {
	if e.sendsLease {
		e.lateLeaseUntil = now.Add(maxOrderDelay)
	}
	if e.sentAck > 0 {
		e.lateAckUntil = now.Add(maxOrderDelay)
	}
	if !e.lateAckUntil.IsZero() || !e.lateLeaseUntil.IsZero() {
		l.unansweredOrders[e.row.ID] = unansweredOrders{ackUntil: e.lateAckUntil, leaseUntil: e.lateLeaseUntil}
	}
}

// recallOrders lets an endpoint that is listed have the orders that an earlier one of its ID left unanswered.
func (l *Leader) recallOrders(e *endpoint) {
	orders, ok := l.unansweredOrders[e.row.ID]
	if !ok {
		return
	}
	delete(l.unansweredOrders, e.row.ID)
	e.isSuccessor = true
	e.lateAckUntil, e.noWorkUntil, e.lateLeaseUntil = orders.ackUntil, orders.ackUntil, orders.leaseUntil
}

// expireOrders forgets the orders to forgotten endpoints that cannot be carried out any more.
func (l *Leader) expireOrders(now time.Time) {
	for id, orders := range l.unansweredOrders {
		if now.After(orders.ackUntil) && now.After(orders.leaseUntil) {
			delete(l.unansweredOrders, id)
		}
	}
}
