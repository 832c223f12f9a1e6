package fleet

import (
	"time"
)

// unknownRuns says where tasks may run that this leader does not know of: former leaders may have
// started them on endpoints that have not reported to it yet. Each start of an inherited task depends on it.
type unknownRuns struct {
	// isAnywhere is true if tasks of any pool may run unknown.
	isAnywhere bool
}

// arePossible reports whether any task may run unknown.
func (u unknownRuns) arePossible() bool {
	return u.isAnywhere
}

// mayInclude reports whether a task of a job may run unknown.
func (u unknownRuns) mayInclude(j *jobState) bool {
	return j.inherited && u.isAnywhere
}

// allRunsKnown reports whether no endpoint can have an unknown run of an earlier leader.
func (l *Leader) allRunsKnown(now time.Time) bool {
	return !l.findUnknownRuns(now).arePossible()
}

// findUnknownRuns returns where tasks may run unknown. An endpoint has none once it has reported, its end is
// known, or each lease has expired that it may hold.
func (l *Leader) findUnknownRuns(now time.Time) unknownRuns {
	if !l.loaded {
		return unknownRuns{isAnywhere: true}
	}
	l.visit(2 * len(l.endpoints))
	for _, e := range l.endpointList {
		if e.blocked {
			// The endpoint reports a job that is still being looked up.
			return unknownRuns{isAnywhere: true}
		}
	}
	areLeasesOver := now.After(l.inheritedLeasesEnd())
	for _, e := range l.endpointList {
		if !e.reached && !e.gone && !l.inheritedLeaseOver(e, now) {
			return unknownRuns{isAnywhere: true}
		}
	}
	return unknownRuns{isAnywhere: !areLeasesOver && (len(l.endpoints) == 0 || !l.allHostsReached())}
}

// logUnknownRuns logs, for each endpoint that has not reported to this leader, that inherited tasks wait for it,
// and the evidence for which they no longer do.
func (l *Leader) logUnknownRuns(now time.Time) {
	if l.areUnknownRunsLogged || l.config.Token <= 1 || !l.loaded {
		return
	}
	l.areUnknownRunsLogged = true
	for _, e := range l.endpointList {
		mayHaveRuns := !e.reached && !e.gone && !l.inheritedLeaseOver(e, now)
		if mayHaveRuns {
			l.areUnknownRunsLogged = false
		}
		if mayHaveRuns == e.isAwaited {
			continue
		}
		e.isAwaited = mayHaveRuns
		if mayHaveRuns {
			l.logAwaited("inherited tasks wait for an endpoint", e, "", now)
			continue
		}
		evidence := "its leases are over"
		switch {
		case e.reached:
			evidence = "it has reported its runs"
		case e.gone:
			evidence = "it is gone"
		}
		l.logAwaited("inherited tasks wait no longer for an endpoint", e, evidence, now)
	}
}

// logAwaited logs that inherited tasks wait, or no longer wait, for an endpoint.
func (l *Leader) logAwaited(event string, e *endpoint, evidence string, now time.Time) {
	l.log(event, "endpoint", e.row.ID, "pool", e.row.Pool, "evidence", evidence, "listed", e.listed,
		"life", e.startedAt.UnixMilli(), "listed-life", e.row.StartedAt.UnixMilli(), "life-age", age(e.row.StartedAt, now.Round(0)),
		"takeover-ago", age(l.config.Now, now), "leases-end", l.inheritedLeasesEnd().Sub(now).Round(time.Millisecond).String(),
		"list-age", age(l.endpointsAsOf, now))
}
