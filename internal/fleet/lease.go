package fleet

import (
	"time"
)

// Runs end with the lease of their endpoint. What this leader sends is not all that an endpoint may hold: former
// leaders have sent leases, too, and orders name an endpoint by its ID alone. One that is meant for an earlier
// incarnation, whose clock was ahead, gives the next one the longest lease that the platform grants.

// foreignOrderReach is how long after the begin of an incarnation orders may be sent that are meant for the
// one before: the leader hears from each endpoint in that time.
const foreignOrderReach = idleRenewalInterval + orderDuration

// entryLifetime is for how long the platform's list shows an endpoint that renews its row no longer: three heartbeats.
const entryLifetime = 4500 * time.Millisecond

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
func (l *Leader) leaseExpired(e *endpoint, now time.Time) bool {
	return e.minClock(now) > max(e.leaseUntil, e.foreignLeaseUntil)+leaseMargin && now.After(l.unreportedLeasesEnd(e))
}

// minClock returns the endpoint's clock if that is as slow as maxClockDrift allows.
func (e *endpoint) minClock(now time.Time) time.Duration {
	return e.clock + time.Duration(float64(now.Sub(e.clockAt))*(1-maxClockDrift))
}

// leasesOver reports whether the runs that are tracked on an endpoint have lost their
// lease. Adopted runs keep that of the earlier leader until this one has granted its own.
func (l *Leader) leasesOver(e *endpoint, now time.Time) bool {
	if e.leaseUntil == 0 && !now.After(l.inheritedLeasesEnd()) {
		return false
	}
	return l.leaseExpired(e, now)
}

// foreignLease returns the latest lease, on the endpoint's clock, that orders meant for an earlier incarnation may
// give the one that has just reported for the first time, or 0. It has seen this leader's token: orders of former
// leaders that are not carried out yet are not any more.
func (l *Leader) foreignLease(e *endpoint, now time.Time) time.Duration {
	if l.config.Bounds.MaxLease <= 0 || !e.isSuccessor && !l.mayHaveFormerOrders(e) {
		return 0
	}
	until := later(now.Add(orderDuration), e.lateLeaseUntil)
	for _, r := range e.runs {
		if r.isUnresolved() {
			until = later(until, r.sentAt.Add(maxOrderDelay))
		}
	}
	received := min(e.clockNow(until), foreignOrderReach+maxOrderDelay)
	return received + l.config.Bounds.MaxLease
}

// limitForeignLease lowers the bound of the leases from orders meant for an earlier incarnation once less is
// possible, as orders have been answered.
func (l *Leader) limitForeignLease(e *endpoint, now time.Time) {
	if e.foreignLeaseUntil > 0 {
		e.foreignLeaseUntil = min(e.foreignLeaseUntil, l.foreignLease(e, now))
	}
}

// mayHaveFormerOrders reports whether orders of former leaders may have been carried out by the endpoint's
// incarnation: it began early enough.
func (l *Leader) mayHaveFormerOrders(e *endpoint) bool {
	lastOrder := l.config.Now.Round(0).Add(formerLeaderGrace + maxOrderDelay + maxWallClockSkew)
	return l.config.Token > 1 && e.startedAt.Before(lastOrder)
}

// unreportedLeasesEnd returns when the leases are over of the runs that a new incarnation, which has not reported yet,
// may have accepted, or zero without such runs.
func (l *Leader) unreportedLeasesEnd(e *endpoint) time.Time {
	if e.unreportedSince.IsZero() {
		return time.Time{}
	}
	return l.longestLeaseEnd(later(e.unreportedSince.Add(orderDuration), e.lateLeaseUntil))
}

// inheritedLeasesOver reports whether the runs that former leaders started on an endpoint, which has not reported
// to this one, have lost each lease that they may have. This leader may have renewed it before it had read the jobs.
func (l *Leader) inheritedLeasesOver(e *endpoint, now time.Time) bool {
	return now.After(l.inheritedLeasesEnd()) && now.After(l.formerLifeLeasesEnd(e)) && (e.leaseUntil == 0 || l.leaseExpired(e, now))
}

// inheritedLeasesEnd returns when the last lease has expired that former leaders sent to the incarnation for which
// it was meant.
func (l *Leader) inheritedLeasesEnd() time.Time {
	return l.config.Now.Add(confirmationTimeout + maxElapsed(l.leaseDuration()+maxIdleClockDrift) + leaseMargin)
}

// formerLifeLeasesEnd returns when the last lease has expired that orders of former leaders may have given another
// incarnation of an endpoint than they were meant for, or zero if its incarnation is too old for that.
func (l *Leader) formerLifeLeasesEnd(e *endpoint) time.Time {
	if l.config.Token <= 1 {
		return time.Time{}
	}
	lastOrder := l.config.Now.Add(formerLeaderGrace)
	end := l.longestLeaseEnd(earlier(lastOrder, l.begun(e).Add(foreignOrderReach)).Add(maxOrderDelay))
	if !e.listed || l.endpointsAsOf.Before(lastOrder.Add(entryLifetime)) {
		// It may have restarted, before the last order, since its row was written.
		end = later(end, l.longestLeaseEnd(lastOrder))
	}
	return end
}

// begun returns when the endpoint's incarnation began at the latest, by its row.
func (l *Leader) begun(e *endpoint) time.Time {
	started := later(e.startedAt, e.row.StartedAt)
	return l.config.Now.Add(started.Sub(l.config.Now.Round(0)) + maxWallClockSkew)
}

// longestLeaseEnd returns when a lease has expired that an endpoint has got by a time.
func (l *Leader) longestLeaseEnd(received time.Time) time.Time {
	return received.Add(maxElapsed(l.longestLease()) + leaseMargin)
}

// longestLease returns the length of the longest lease that an endpoint grants.
func (l *Leader) longestLease() time.Duration {
	return max(l.config.Bounds.MaxLease, l.leaseDuration())
}

// leaseDuration returns the length of the leases that the leader grants.
func (l *Leader) leaseDuration() time.Duration {
	if maxLease := l.config.Bounds.MaxLease; maxLease > 0 {
		return min(leaseTarget, maxLease)
	}
	return leaseTarget
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// maxElapsed returns the longest time on the leader's clock that a period on an
// endpoint's clock can take.
func maxElapsed(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + 2*maxClockDrift))
}
