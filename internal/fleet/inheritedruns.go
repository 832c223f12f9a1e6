package fleet

import (
	"iter"
	"time"
)

// unknownRuns says where tasks may run that this leader does not know of: former leaders may have
// started them on endpoints that have not reported to it yet. Each start of an inherited task depends on it.
type unknownRuns struct {
	// isAnywhere is true if tasks of any pool may run unknown. inPools holds, by pool, an endpoint on which its
	// tasks may.
	isAnywhere bool
	inPools    map[string]EndpointID
	// endpoint is one for which tasks of all pools wait, or "" if the lists may lack some.
	endpoint EndpointID
}

// add adds a pool whose tasks may run unknown on an endpoint.
func (u *unknownRuns) add(pool string, on EndpointID) {
	if u.inPools == nil {
		u.inPools = map[string]EndpointID{}
	}
	u.inPools[pool] = on
}

// arePossible reports whether any task may run unknown.
func (u unknownRuns) arePossible() bool {
	return u.isAnywhere || len(u.inPools) > 0
}

// mayInclude reports whether a task of a job, which now runs in a pool, may run unknown.
func (u unknownRuns) mayInclude(j *jobState, pool string) bool {
	if !j.inherited {
		return false
	}
	// A queue whose pool has changed may have had others in between.
	return u.isAnywhere || u.inPools[pool] != "" || len(u.inPools) > 0 && j.submission.Pool != pool
}

// endpointFor returns an endpoint for which the inherited tasks of a pool wait, or "" if the lists may lack it.
func (u unknownRuns) endpointFor(pool string) EndpointID {
	if u.isAnywhere {
		return u.endpoint
	}
	return u.inPools[pool]
}

// allRunsKnown reports whether no endpoint can have an unknown run of an earlier leader.
func (l *Leader) allRunsKnown(now time.Time) bool {
	return !l.findUnknownRuns(now).arePossible()
}

// findUnknownRuns returns where tasks may run unknown. An endpoint has none once it has reported, its end is
// known, or each lease has expired that it may hold. Leases of the usual length are waited for by tasks of all pools.
func (l *Leader) findUnknownRuns(now time.Time) unknownRuns {
	if !l.loaded {
		return unknownRuns{isAnywhere: true}
	}
	l.visit(2 * len(l.endpoints))
	for _, e := range l.endpointList {
		if e.blocked {
			// The endpoint reports a job that is still being looked up.
			return unknownRuns{isAnywhere: true, endpoint: e.row.ID}
		}
	}
	var unknown unknownRuns
	areLeasesOver := now.After(l.inheritedLeasesEnd())
	for _, e := range l.endpointList {
		switch {
		case !l.mayHaveInheritedRuns(e, now):
		case !areLeasesOver || e.leaseUntil > 0 && !l.leaseExpired(e, now):
			return unknownRuns{isAnywhere: true, endpoint: e.row.ID}
		default:
			unknown.add(e.row.Pool, e.row.ID)
		}
	}
	if !areLeasesOver && (len(l.endpoints) == 0 || !l.allHostsReached()) {
		return unknownRuns{isAnywhere: true}
	}
	for h := range l.hostsOfUnlisted(now) {
		unknown.add(h.row.Pool, h.row.Endpoint)
	}
	return unknown
}

// mayHaveInheritedRuns reports whether an endpoint may have runs of former leaders that this one does not know.
func (l *Leader) mayHaveInheritedRuns(e *endpoint, now time.Time) bool {
	return !e.reached && !e.gone && !l.inheritedLeasesOver(e, now)
}

// hostsOfUnlisted returns the hosts that are up and whose endpoint this leader has never known, as long as that may
// have runs of former leaders.
func (l *Leader) hostsOfUnlisted(now time.Time) iter.Seq[*hostState] {
	return func(yield func(*hostState) bool) {
		if l.config.Token <= 1 || now.After(l.longestLeaseEnd(l.config.Now.Add(formerLeaderGrace))) {
			return
		}
		l.visit(len(l.hosts.byID))
		for _, h := range l.hosts.list {
			isUnknown := h.row.Endpoint != "" && l.endpoints[h.row.Endpoint] == nil && l.lastEndpoints[h.id] != h.row.Endpoint
			if h.listed && h.row.State == HostUp && isUnknown && !yield(h) {
				return
			}
		}
	}
}

// logUnknownRuns logs, for each endpoint that has not reported to this leader, that inherited tasks wait for it,
// and the evidence for which they no longer do.
func (l *Leader) logUnknownRuns(now time.Time) {
	if l.areUnknownRunsLogged || l.config.Token <= 1 || !l.loaded {
		return
	}
	l.areUnknownRunsLogged = true
	for _, e := range l.endpointList {
		mayHaveRuns := l.mayHaveInheritedRuns(e, now)
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
		evidence := "it has reported its runs"
		switch {
		case e.reached:
		case e.gone:
			evidence = "it is gone"
			l.inheritedEvidence[e.row.Pool] = "endpoint " + string(e.row.ID) + " is gone"
		default:
			evidence = "its leases are over"
			l.inheritedEvidence[e.row.Pool] = "leases of endpoint " + string(e.row.ID) + " are over"
		}
		l.logAwaited("inherited tasks wait no longer for an endpoint", e, evidence, now)
	}
}

// evidenceFor says, for the journal, on what evidence runs of former leaders of a pool's tasks were taken for ended.
func (l *Leader) evidenceFor(pool string) string {
	if evidence := l.inheritedEvidence[pool]; evidence != "" {
		return evidence
	}
	return "all endpoints have reported"
}

// logInheritedWait logs, once, that tasks of a step wait since former leaders may have started them.
func (l *Leader) logInheritedWait(j *jobState, step *stepState, pool string, unknown unknownRuns, now time.Time) {
	if len(step.pending) == 0 || now.Sub(step.openedAt) < waitLogDelay || !step.waitLoggedAt.IsZero() {
		return
	}
	step.waitLoggedAt = now
	l.log("tasks wait", "job", j.submission.ID, "step", step.key.Step, "tasks", len(step.pending),
		"cause", "a run of a former leader may be left on an endpoint that is not reached",
		"endpoint", unknown.endpointFor(pool), "pool", pool, "takeover-ago", age(l.config.Now, now))
}

// logAwaited logs that inherited tasks wait, or no longer wait, for an endpoint.
func (l *Leader) logAwaited(event string, e *endpoint, evidence string, now time.Time) {
	l.log(event, "endpoint", e.row.ID, "pool", e.row.Pool, "evidence", evidence, "listed", e.listed,
		"life", e.startedAt.UnixMilli(), "listed-life", e.row.StartedAt.UnixMilli(), "life-age", age(e.row.StartedAt, now.Round(0)),
		"takeover-ago", age(l.config.Now, now), "leases-end-in", later(l.inheritedLeasesEnd(), l.formerLifeLeasesEnd(e)).Sub(now).Round(time.Millisecond).String(),
		"list-age", age(l.endpointsAsOf, now))
}
