package fleet

import (
	"time"
)

// endpointsOn returns the endpoint on a host. If the host names none, or one that is not
// known, it returns those whose entries name the host.
func (l *Leader) endpointsOn(h *hostState) []*endpoint {
	if e := l.endpointOf(h); e != nil {
		return []*endpoint{e}
	}
	var named []*endpoint
	for e := range l.endpointsOf(h.row.ID) {
		if !e.gone {
			named = append(named, e)
		}
	}
	return named
}

// presumeUnnamedEnded presumes the endpoints ended that no host runs according to a host list,
// which was requested at sentAt: the platform knows of a crash or a change before the endpoint's
// lease expires. It returns the endpoints to ask.
func (l *Leader) presumeUnnamedEnded(list []Host, sentAt, now time.Time) []EndpointID {
	rows, onHost := make(map[HostID]Host, len(list)), map[EndpointID]Host{}
	for _, row := range list {
		rows[row.ID] = row
		if row.Endpoint != "" {
			onHost[row.Endpoint] = row
		}
	}
	if len(onHost) == 0 {
		return nil
	}
	var ends []endpointEnd
	crashes := 0
	for _, e := range l.endpointList {
		row, isNamed := onHost[e.row.ID]
		if !isNamed {
			if end, ok := l.handleUnnamed(e, rows[e.hostID()], sentAt, now); ok {
				ends = append(ends, end)
				if !end.isPlanned && !e.gone {
					crashes++
				}
			}
			continue
		}
		e.lastHost, e.missingSince = row.ID, time.Time{}
		if e.presumed != nil && e.presumed.isFromList {
			e.presumed = nil
		}
		if e.gone && row.State == HostUp && !sentAt.Before(e.goneAt) {
			// It has restarted, or the earlier list was wrong.
			e.gone = false
			l.suspectRestart(e, "host list", now)
		}
	}
	for i := range ends {
		ends[i].together = crashes
	}
	return l.presumeListedEnds(ends, sentAt, now)
}

// presumeListedEnds presumes the endpoints ended that a host list shows as ended, unless they may
// be newer than the list, and returns those to ask.
func (l *Leader) presumeListedEnds(ends []endpointEnd, sentAt, now time.Time) []EndpointID {
	var asked []EndpointID
	for _, end := range ends {
		e := end.endpoint
		if e.gone && !e.hasRunBefore(end.at) {
			l.forgetEndpoint(e, now)
			continue
		}
		if e.hasExited() || sentAt.Sub(e.knownSince()) >= maxHostListLag {
			l.presumeEnded(presumedEnd{end: end, since: now, isFromList: true})
			asked = append(asked, e.row.ID)
		}
	}
	return asked
}

// hasRunBefore reports whether evidence that was requested at a time may end a run.
func (e *endpoint) hasRunBefore(at time.Time) bool {
	for _, r := range e.runs {
		if r.wasRunningBefore(at) {
			return true
		}
	}
	return false
}

// handleUnnamed handles an endpoint that no host names in the list requested at sentAt. It
// returns the end that the list shows, or false. Its own host, whose row is zero if the host is
// missing, shows the end if it shows why. Otherwise the endpoint has to be missing from two lists
// in a row, and silent meanwhile: the parts of a list are read at different moments, and a host
// that has just come back may not name its endpoint yet.
func (l *Leader) handleUnnamed(e *endpoint, row Host, sentAt, now time.Time) (endpointEnd, bool) {
	isNewer := !e.listedAt.Before(sentAt) || e.reportedAt.After(sentAt)
	switch {
	case isNewer:
		// The list may be older than the endpoint, or than its last report.
	case l.showsEnd(e, row):
		isChanged := row.State == HostMoving || row.State == HostMaintenance || row.State == HostUp && row.Pool != e.row.Pool
		return endpointEnd{
			endpoint: e, reason: "host no longer runs the endpoint", isPlanned: isChanged || e.row.Draining, at: sentAt,
		}, true
	case e.isMissing() && !e.unresponsive && now.Sub(e.missingSince) < maxReportAge:
		// Its report may be on its way.
	case e.isMissing():
		end := endpointEnd{endpoint: e, reason: "two host lists lack the endpoint", isPlanned: e.row.Draining, at: e.missingSince}
		e.missingSince = sentAt
		return end, true
	default:
		e.missingSince = sentAt
	}
	return endpointEnd{}, false
}

// showsEnd reports whether the row of an endpoint's host, which does not name the endpoint,
// shows that the endpoint has ended. A row that has not changed since before the endpoint was
// listed may lag.
func (l *Leader) showsEnd(e *endpoint, row Host) bool {
	isReplaced := row.State == HostUp && row.Endpoint != ""
	isOut := row.State == HostDown || row.State == HostMoving || row.State == HostMaintenance
	if !isReplaced && !isOut {
		return false
	}
	h := l.hosts.byID[row.ID]
	return h != nil && !e.listedAt.After(h.shownSince)
}

// endpointEnded takes an endpoint's incarnation for ended. Its remaining runs, which were answered
// later or not at all, may be on the next incarnation: they are resolved by their answers, its
// report, later evidence or the end of the lease.
func (l *Leader) endpointEnded(end endpointEnd, now time.Time) {
	e := end.endpoint
	if !e.gone {
		l.logGone(end, now)
		l.judgeRuns(end, now)
	}
	e.gone, e.goneAt, e.blocked, e.presumed = true, now, false, nil
	for _, r := range e.runs {
		if r.wasRunningBefore(end.at) {
			l.runLost(r, end.reason, now)
		}
	}
	l.forgetEndpoint(e, now)
}

// logGone logs why an endpoint is taken for gone, and what the evidence is worth: how old the
// endpoint, its last report, and the row of its host are.
func (l *Leader) logGone(end endpointEnd, now time.Time) {
	e := end.endpoint
	var shown Host
	shownSince := time.Time{}
	if h := l.hosts.byID[e.hostID()]; h != nil {
		shown, shownSince = h.shown, h.shownSince
	}
	l.log("endpoint gone", "endpoint", e.row.ID, "pool", e.row.Pool, "why", end.reason, "planned", end.isPlanned, "runs", len(e.runs),
		"evidence-age", age(end.at, now), "host", e.hostID(), "host-state", string(shown.State), "host-endpoint", shown.Endpoint,
		"host-shown-ago", age(shownSince, now), "named-before", e.lastHost != "", "listed-ago", age(e.listedAt, now),
		"life", e.startedAt.UnixMilli(), "report-age", age(e.reportedAt, now), "answers", !e.unresponsive)
}
