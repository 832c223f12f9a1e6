package fleet

import "time"

// speaks reports whether the endpoint answered when it was last asked. What others say of it since
// then does not count.
func (e *endpoint) speaks() bool {
	return e.isKnown() && !e.gone && !e.unresponsive
}

// speakers returns, by host, the endpoint that speaks from it. It goes before the host's row in
// the host list, which lags.
func (l *Leader) speakers() map[HostID]*endpoint {
	l.visit(len(l.endpoints))
	speakers := make(map[HostID]*endpoint, len(l.endpoints))
	for _, e := range l.endpointList {
		if id := HostID(e.row.Host); id != "" && e.speaks() && e.isNewerThan(speakers[id]) {
			speakers[id] = e
		}
	}
	return speakers
}

// speakerOn returns the endpoint that speaks from a host, or nil.
func (l *Leader) speakerOn(id HostID) *endpoint {
	var speaker *endpoint
	for e := range l.endpointsOf(id) {
		if e.row.Host != "" && e.speaks() && e.isNewerThan(speaker) {
			speaker = e
		}
	}
	return speaker
}

// isNewerThan reports whether the endpoint has been listed later than another one, which may be nil.
func (e *endpoint) isNewerThan(other *endpoint) bool {
	return other == nil || e.listedAt.After(other.listedAt) || e.listedAt.Equal(other.listedAt) && e.row.ID > other.row.ID
}

// correctedBy returns a host's row as the endpoint that speaks from the host, or nil, shows it.
func (h Host) correctedBy(speaker *endpoint) Host {
	if speaker == nil || h.Endpoint == speaker.row.ID && h.State == HostUp {
		return h
	}
	h.State, h.Pool, h.Endpoint = HostUp, speaker.row.Pool, speaker.row.ID
	return h
}

// applyRows updates the rows of the hosts, and ends the changes of those that are back.
func (l *Leader) applyRows(now time.Time) {
	speakers := l.speakers()
	l.visit(len(l.hosts.byID))
	for _, h := range l.hosts.list {
		speaker := speakers[h.id]
		h.speaks = speaker != nil
		if h.speaks && speaker.askedAt.Sub(l.config.Now) >= formerLeaderGrace {
			h.formerUntil = time.Time{}
		}
		if !h.shownSince.IsZero() {
			l.applyRow(h, speaker, now)
		}
	}
}

// applyRow updates a host's row, unless the host is being changed, which ends once the endpoint
// that speaks from it has answered a later question: the host is back, or the change was not made.
func (l *Leader) applyRow(h *hostState, speaker *endpoint, now time.Time) {
	c := h.pendingChange
	if c != nil && !c.acceptedAt.IsZero() && speaker != nil && speaker.askedAt.After(c.acceptedAt) {
		l.hostBack(h, h.shown.correctedBy(speaker), "endpoint", now)
		return
	}
	if c != nil && c.isUnconfirmed && speaker != nil && speaker.askedAt.Sub(c.unansweredAt) >= c.maxDelay() {
		l.log("host change not answered", "host", h.shown.ID, "to", c.pool, "wave", c.wave, "ordered-ago", age(c.orderedAt, now),
			"endpoint", speaker.row.ID, "same-endpoint", c.ends(speaker))
		h.pendingChange, c = nil, nil
	}
	if c != nil {
		return
	}
	row := h.shown.correctedBy(speaker)
	if h.row.State != row.State || h.row.Endpoint != row.Endpoint {
		l.log("host state changed", "host", row.ID, "pool", row.Pool, "state", string(row.State), "endpoint", row.Endpoint,
			"shown-state", string(h.shown.State), "shown-endpoint", h.shown.Endpoint)
	}
	h.row = row
}

// hostBack ends the accepted change of a host that is up again.
func (l *Leader) hostBack(h *hostState, row Host, source string, now time.Time) {
	c := h.pendingChange
	l.log("host back", "host", row.ID, "pool", row.Pool, "wave", c.wave, "took", age(c.acceptedAt, now), "source", source)
	h.pendingChange, h.row = nil, row
}
