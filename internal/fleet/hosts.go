package fleet

import (
	"cmp"
	"slices"
	"time"
)

// hosts is the leader's state of the hosts and maintenance waves.
type hosts struct {
	byID map[HostID]*hostState
	// list holds them in the order of their IDs.
	list             []*hostState
	waves            map[int64]*waveState
	shortageLoggedAt time.Time
	// plannedAt is when moves and maintenance were last planned.
	plannedAt time.Time
	// unplannedSteps counts the steps since then.
	unplannedSteps int
	// changes limits the rate of moves and maintenance orders.
	changes changeBudget
	// isLoaded is true once the platform's list has been read.
	isLoaded bool
	// needed is the recent maximum of the hosts that all pools together need.
	needed recentMax
	// poolSizesLoggedAt is when the pools' sizes were last logged.
	poolSizesLoggedAt time.Time
}

func newHosts() hosts {
	return hosts{byID: map[HostID]*hostState{}, waves: map[int64]*waveState{}}
}

// get returns a host's state and creates it if there is none.
func (h *hosts) get(id HostID) *hostState {
	host := h.byID[id]
	if host == nil {
		host = &hostState{id: id}
		h.byID[id] = host
		at, _ := slices.BinarySearchFunc(h.list, id, func(host *hostState, id HostID) int { return cmp.Compare(host.id, id) })
		// A copy: the former list may be in iteration.
		h.list = slices.Insert(slices.Clone(h.list), at, host)
	}
	return host
}

const (
	// planTimePerHost sets how often moves and maintenance are planned in a fleet of more
	// than smallFleet hosts. They take a step of a large fleet as long as the starts do,
	// and tasks wait meanwhile.
	planTimePerHost = 20 * time.Microsecond
	smallFleet      = 400
	// planStride is the number of steps of which one plans hosts in such a fleet: when steps take long,
	// they follow each other at more than that interval.
	planStride = 2
)

// planIsDue reports whether to plan moves and maintenance now, and notes that it is done.
func (h *hosts) planIsDue(now time.Time) bool {
	h.unplannedSteps++
	excess := len(h.byID) - smallFleet
	if excess > 0 && (h.unplannedSteps < planStride || now.Sub(h.plannedAt) < time.Duration(excess)*planTimePerHost) {
		return false
	}
	h.plannedAt, h.unplannedSteps = now, 0
	return true
}

// hostState is a host and its pending change.
type hostState struct {
	id            HostID
	row           Host
	pendingChange *pendingChange
	// shown is the newest row in the list, and shownSince when the list was requested that
	// first showed its state and endpoint. Unlike row, they disregard the pending change.
	shown      Host
	shownSince time.Time
	// notBefore delays the next change after a rejected one.
	notBefore time.Time
	// idleSince is since when its endpoint has been empty, or zero.
	idleSince time.Time
	// unknownSince is since when its endpoint has been unlisted or unresponsive, or zero.
	unknownSince time.Time
	// isOccupied is true while an endpoint that names the host, or was on it, may have runs or
	// unacknowledged completions.
	isOccupied bool
	// crashedAt holds when endpoints on it have crashed recently.
	crashedAt []time.Time
	// listed is false once two lists in a row lack the host, isMissing true once one does.
	listed, isMissing bool
	// missingSince and missingUntil are when the first and the last of the lists in a row were
	// requested that lack the host, or zero.
	missingSince, missingUntil time.Time
	// formerWave is the wave for which an earlier leader ordered the host's maintenance, which may
	// last until formerUntil.
	formerWave  int64
	formerUntil time.Time
	// awaitsEndpoint is true after a change until the next cold endpoint is listed on it.
	awaitsEndpoint bool
	// speaks is true if an endpoint on it answers.
	speaks bool
}

// hasLeft reports whether a host has left the fleet: the list has lacked it for longer than the list
// lags, and no endpoint on it answers.
func (h *hostState) hasLeft() bool {
	return !h.speaks && h.missingUntil.Sub(h.missingSince) >= maxHostListLag
}

// canChange reports whether a host may be changed.
func (h *hostState) canChange(now time.Time) bool {
	return h.listed && !h.isMissing && h.pendingChange == nil && h.row.State == HostUp && !now.Before(h.notBefore)
}

// isDownFor reports whether the host may be down for a wave.
func (h *hostState) isDownFor(wave int64, now time.Time) bool {
	if h.pendingChange != nil && h.pendingChange.wave == wave || h.row.State == HostMaintenance {
		return true
	}
	return h.formerWave == wave && now.Before(h.formerUntil)
}

// endpointOf returns the listed endpoint on a host, or nil.
func (l *Leader) endpointOf(h *hostState) *endpoint {
	e := l.endpoints[h.row.Endpoint]
	if e == nil || !e.listed || e.gone {
		return nil
	}
	return e
}

// UpdateHosts processes the platform's host list, which was requested at sentAt. It returns the
// endpoints that have to be asked whether they run.
func (l *Leader) UpdateHosts(list []Host, sentAt, now time.Time) []EndpointID {
	listed, speakers := map[HostID]bool{}, l.speakers()
	for _, row := range list {
		listed[row.ID] = true
		h := l.hosts.get(row.ID)
		h.listed, h.isMissing = true, false
		h.missingSince, h.missingUntil = time.Time{}, time.Time{}
		if h.shownSince.IsZero() || h.shown.State != row.State || h.shown.Endpoint != row.Endpoint {
			h.shownSince = sentAt
		}
		h.shown = row
		l.updateHost(h, row, speakers[row.ID], sentAt, now)
	}
	l.hosts.isLoaded = true
	for _, h := range l.hosts.list {
		if !listed[h.id] {
			h.listed, h.isMissing = h.listed && !h.isMissing, true
			updateSince(&h.missingSince, true, sentAt)
			h.missingUntil = sentAt
		}
	}
	return l.presumeUnnamedEnded(list, sentAt, now)
}

// updateHost applies a host's row, unless the row predates the host's change. speaker is the
// endpoint that speaks from the host, or nil.
func (l *Leader) updateHost(h *hostState, row Host, speaker *endpoint, sentAt, now time.Time) {
	c := h.pendingChange
	if c == nil {
		l.applyRow(h, speaker, now)
		return
	}
	if c.isOnItsWay() || sentAt.Before(c.acceptedAt) {
		return
	}
	h.row = row
	if c.isUnconfirmed {
		l.askAfterChange(c, row, now)
	}
	if !c.acceptedAt.IsZero() && l.isOver(c, row, now) {
		l.hostBack(h, row.correctedBy(speaker), "list", now)
	}
}

// NeedsHostList reports whether the host list should be read soon: a change is due
// to end, an endpoint that is unresponsive or missing from the list may have crashed, or runs
// were answered after the evidence that their endpoint has ended.
func (l *Leader) NeedsHostList(now time.Time) bool {
	l.visit(len(l.endpoints))
	for _, e := range l.endpointList {
		if e.gone && e.hasLiveRun() || e.isMissing() && len(e.runs) > 0 {
			return true
		}
		isUnresponsive := (e.unresponsive || e.mayHaveRestarted) && len(e.runs) > 0 || !e.reached && !l.inheritedLeasesOver(e, now)
		if isUnresponsive && !e.gone && len(l.hosts.byID) > 0 {
			return true
		}
	}
	return l.HostChangeDue(now)
}

// isOccupied reports whether an endpoint occupies a host.
func (l *Leader) isOccupied(id HostID, now time.Time) bool {
	for e := range l.endpointsOf(id) {
		if e.occupiesHost() || l.mayHoldInheritedRuns(e, now) {
			return true
		}
	}
	return false
}

// mayHoldInheritedRuns reports whether an endpoint that has not reported to this leader may run
// tasks that a former one started. It cannot if another endpoint answers from its host.
func (l *Leader) mayHoldInheritedRuns(e *endpoint, now time.Time) bool {
	if e.reached || e.gone || !e.listed || l.config.Token <= 1 || l.inheritedLeasesOver(e, now) {
		return false
	}
	h := l.hosts.byID[e.hostID()]
	return h == nil || !h.speaks
}

// planHosts orders maintenance and moves.
func (l *Leader) planHosts(pools map[string][]*jobState, orders *Orders, now time.Time) {
	l.applyRows(now)
	clear(l.evacuations.heldLabels)
	l.visit(len(l.endpoints))
	for _, e := range l.endpointList {
		e.leaving = l.mayEndByChange(e)
	}
	l.recordIdle(now)
	l.repeatChanges(orders, now)
	needs := l.poolNeeds(pools, now)
	free := l.freeHosts(needs, now)
	for _, number := range l.waveNumbers() {
		free -= l.planWave(l.hosts.waves[number], free, orders, now)
	}
	budget := l.hosts.changes.take(l.config.Bounds.HostChangesPerSecond, len(orders.Maintenance), l.unansweredChanges(), now)
	l.planMoves(needs, budget, orders, now)
	l.hosts.changes.spend(len(orders.Moves))
	if len(orders.Moves)+len(orders.Maintenance) == 0 {
		return
	}
	for _, e := range l.endpointList {
		e.leaving = e.leaving || l.mayEndByChange(e)
	}
}

// recordIdle updates since when each host's endpoint has been empty, or unknown.
func (l *Leader) recordIdle(now time.Time) {
	l.visit(len(l.hosts.byID) + len(l.endpoints))
	for _, h := range l.hosts.list {
		e := l.endpointOf(h)
		isKnown := e != nil && e.isKnown() && !e.unresponsive
		updateSince(&h.idleSince, isKnown && e.isEmpty(), now)
		updateSince(&h.unknownSince, !isKnown, now)
		h.isOccupied = false
	}
	for _, e := range l.endpointList {
		if h := l.hosts.byID[e.hostID()]; h != nil && (e.occupiesHost() || l.mayHoldInheritedRuns(e, now)) {
			h.isOccupied = true
		}
	}
}

// updateSince sets since to when a condition began to hold, or to zero if it does not hold.
func updateSince(since *time.Time, holds bool, now time.Time) {
	switch {
	case !holds:
		*since = time.Time{}
	case since.IsZero():
		*since = now
	}
}

// isEmpty reports whether changing a host ends no run: it has no endpoint, its
// endpoint is empty, or the endpoint has been unknown for longer than any lease. An
// endpoint with runs counts although its host does not name it, or the platform's list
// lacks it.
func (l *Leader) isEmpty(h *hostState, now time.Time) bool {
	if h.isOccupied {
		return false
	}
	if h.row.Endpoint == "" || !h.idleSince.IsZero() {
		return true
	}
	return !h.unknownSince.IsZero() && now.Sub(h.unknownSince) > maxElapsed(l.leaseDuration()+maxIdleClockDrift)+confirmationTimeout
}

// waveNumbers returns the numbers of all waves in ascending order.
func (l *Leader) waveNumbers() []int64 {
	var numbers []int64
	for number := range l.hosts.waves {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers
}
