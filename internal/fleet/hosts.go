package fleet

import (
	"slices"
	"time"
)

const (
	// changeTimeout is how long a move without an answer counts as under way.
	changeTimeout = 3 * time.Second
	// changeRetryDelay is the time before a rejected change is ordered again.
	changeRetryDelay = 400 * time.Millisecond
	// hostReturnSlack is how long after its expected return a host is still polled for
	// frequently.
	hostReturnSlack = 2 * time.Second
)

// maxWallClockSkew is the maximum difference of the wall clocks of two processes.
const maxWallClockSkew = 2500 * time.Millisecond

// hosts is the leader's state of the hosts and maintenance waves.
type hosts struct {
	byID             map[HostID]*hostState
	waves            map[int64]*waveState
	shortageLoggedAt time.Time
	// plannedAt is when moves and maintenance were last planned.
	plannedAt time.Time
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
		host = &hostState{}
		h.byID[id] = host
	}
	return host
}

const (
	// planTimePerHost sets how often moves and maintenance are planned in a fleet of more
	// than smallFleet hosts. They take a step of a large fleet as long as the starts do,
	// and tasks wait meanwhile.
	planTimePerHost = 20 * time.Microsecond
	smallFleet      = 400
)

// planIsDue reports whether to plan moves and maintenance now, and notes that it is done.
func (h *hosts) planIsDue(now time.Time) bool {
	if now.Sub(h.plannedAt) < time.Duration(len(h.byID)-smallFleet)*planTimePerHost {
		return false
	}
	h.plannedAt = now
	return true
}

// pendingChange is a host change that is under way.
type pendingChange struct {
	pool string
	wave int64
	// endpoint and incarnation are the endpoint that was on the host when the change was
	// ordered, and its start time, or zero if the endpoint was not known. The change ends it.
	endpoint    EndpointID
	incarnation time.Time
	// orderedAt is when it was ordered, acceptedAt when the platform accepted it.
	orderedAt, acceptedAt time.Time
	// isUnconfirmed is true while an order that got no answer waits to be repeated, which is due
	// at retryAt. unansweredAt is when the last one got none, and isRepeated true once another
	// one has been sent.
	isUnconfirmed, isRepeated bool
	unansweredAt, retryAt     time.Time
}

// retryLater lets an order be repeated that got no answer.
func (c *pendingChange) retryLater(now time.Time) {
	c.isUnconfirmed, c.retryAt = true, now.Add(changeRetryDelay)
}

// ends reports whether the change ends the endpoint, rather than a later one on the host.
func (c *pendingChange) ends(e *endpoint) bool {
	return e.row.ID == c.endpoint && (c.incarnation.IsZero() || c.incarnation.Equal(e.startedAt))
}

// maxDelay returns how long a change without an answer counts as under way although an endpoint on
// its host answers. The platform may make it that late, and the maintenance then counts for its wave.
func (c *pendingChange) maxDelay() time.Duration {
	if c.wave != 0 {
		return maxOrderDelay
	}
	return changeTimeout
}

// isOnItsWay reports whether an order was sent, or is about to be, and has not been answered.
func (c *pendingChange) isOnItsWay() bool {
	return c.acceptedAt.IsZero() && !c.isUnconfirmed
}

// mayEndByChange reports whether a change of its host may end the endpoint. An order that is on its
// way ends whatever is on the host, known or not at the order.
func (l *Leader) mayEndByChange(e *endpoint) bool {
	h := l.hosts.byID[e.hostID()]
	return h != nil && h.pendingChange != nil && (h.pendingChange.isOnItsWay() || h.pendingChange.ends(e))
}

// startChange marks a host as being changed from now on.
func (l *Leader) startChange(h *hostState, change pendingChange, now time.Time) {
	change.orderedAt, change.endpoint = now, h.row.Endpoint
	if e := l.endpoints[h.row.Endpoint]; e != nil {
		change.incarnation = e.startedAt
	}
	h.pendingChange = &change
}

// hostState is a host and its pending change.
type hostState struct {
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
	for id, h := range l.hosts.byID {
		if !listed[id] {
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

// isOver reports whether an accepted change is over, according to the host's row. Until the time
// that the change takes has passed, a row that shows the host as up lags.
func (l *Leader) isOver(c *pendingChange, row Host, now time.Time) bool {
	elapsed := now.Sub(c.acceptedAt)
	isThere := c.wave != 0 || row.Pool == c.pool || elapsed >= l.changeDuration(c)+maxHostListLag
	return row.State == HostUp && isThere && elapsed >= maxElapsed(l.changeDuration(c))
}

// askAfterChange asks the endpoint that was on a host, and that its row still names, whether it has
// restarted, if the row looks as if an unanswered change of the host had been made.
func (l *Leader) askAfterChange(c *pendingChange, row Host, now time.Time) {
	e := l.endpoints[row.Endpoint]
	if e != nil && !e.gone && c.ends(e) && c.wave == 0 && row.State == HostUp && row.Pool == c.pool {
		l.suspectRestart(e, "host change", now)
	}
}

// changeDuration returns how long a change takes.
func (l *Leader) changeDuration(c *pendingChange) time.Duration {
	if c.wave != 0 {
		return l.config.Bounds.Maintenance
	}
	return l.config.Bounds.Move
}

// NeedsHostList reports whether the host list should be read soon: a change is due
// to end, an endpoint that is unresponsive or missing from the list may have crashed, or runs
// were answered after the evidence that their endpoint has ended.
func (l *Leader) NeedsHostList(now time.Time) bool {
	for _, e := range l.endpoints {
		if e.gone && e.hasLiveRun() || e.isMissing() && len(e.runs) > 0 {
			return true
		}
		isUnresponsive := (e.unresponsive || e.mayHaveRestarted) && len(e.runs) > 0 || !e.reached && !l.inheritedLeaseOver(e, now)
		if isUnresponsive && !e.gone && len(l.hosts.byID) > 0 {
			return true
		}
	}
	return l.HostChangeDue(now)
}

// HostChangeDue reports whether a change is due to end, or its outcome is unknown.
func (l *Leader) HostChangeDue(now time.Time) bool {
	for _, h := range l.hosts.byID {
		c := h.pendingChange
		if c == nil || !h.listed {
			continue
		}
		if c.isUnconfirmed {
			return true
		}
		elapsed := now.Sub(c.acceptedAt)
		if !c.acceptedAt.IsZero() && elapsed >= l.changeDuration(c) && elapsed < l.changeDuration(c)+hostReturnSlack {
			return true
		}
	}
	return false
}

// ConfirmHostChange reports whether a host change that has waited may be sent now: the host is
// as it was when the change was ordered, no run would end, and no other process leads.
// Otherwise it withdraws the change, which was never sent.
func (l *Leader) ConfirmHostChange(id HostID, now time.Time) bool {
	h := l.hosts.byID[id]
	if h == nil || h.pendingChange == nil {
		return false
	}
	c := h.pendingChange
	speaker := l.speakers()[id]
	if speaker != nil && speaker.presumed != nil {
		speaker = nil
	}
	row := h.shown.correctedBy(speaker)
	isSame := row.State == HostUp && row.Endpoint == c.endpoint
	isOccupied := l.isOccupied(id, now)
	if (isSame || c.isRepeated) && !isOccupied && l.confirmed(now) {
		return true
	}
	l.log("host change withdrawn", "host", id, "to", c.pool, "wave", c.wave, "ordered-ago", age(c.orderedAt, now),
		"state", string(row.State), "endpoint", row.Endpoint, "occupied", isOccupied, "confirmed-ago", age(l.confirmedAt, now))
	if c.isRepeated {
		c.retryLater(now)
		return false
	}
	h.pendingChange, h.row = nil, row
	h.notBefore = now.Add(changeRetryDelay)
	return false
}

// isOccupied reports whether an endpoint occupies a host.
func (l *Leader) isOccupied(id HostID, now time.Time) bool {
	for _, e := range l.endpoints {
		if e.hostID() == id && (e.occupiesHost() || l.mayHoldInheritedRuns(e, now)) {
			return true
		}
	}
	return false
}

// mayHoldInheritedRuns reports whether an endpoint that has not reported to this leader may run
// tasks that a former one started. It cannot if another endpoint answers from its host.
func (l *Leader) mayHoldInheritedRuns(e *endpoint, now time.Time) bool {
	if e.reached || e.gone || !e.listed || l.config.Token <= 1 || l.inheritedLeaseOver(e, now) {
		return false
	}
	h := l.hosts.byID[e.hostID()]
	return h == nil || !h.speaks
}

// changeAccepted handles the platform's acceptance of a change: the endpoint that was on the
// host has ended. The answer may arrive when the host is back with another endpoint, or with
// another incarnation of the same one.
func (l *Leader) changeAccepted(h *hostState, now time.Time) {
	c := h.pendingChange
	if e := l.endpoints[c.endpoint]; e != nil && c.ends(e) {
		l.endpointEnded(endpointEnd{endpoint: e, reason: "host is being moved or maintained", isPlanned: true, at: c.orderedAt}, now)
	}
	l.changeMade(h, now)
	h.row.State = HostMoving
	if c.wave != 0 {
		h.row.State = HostMaintenance
	}
}

// changeMade records that the change of a host was made.
func (l *Leader) changeMade(h *hostState, now time.Time) {
	c := h.pendingChange
	c.acceptedAt, c.isUnconfirmed = now, false
	h.idleSince = time.Time{}
	if wave := l.hosts.waves[c.wave]; c.wave != 0 && wave != nil {
		wave.done[h.row.ID] = true
		wave.dirty = true
	}
}

// handleChangeReply processes the platform's answer to a host change.
func (l *Leader) handleChangeReply(id HostID, outcome ChangeOutcome, now time.Time) {
	h := l.hosts.byID[id]
	if h == nil || h.pendingChange == nil {
		return
	}
	c := h.pendingChange
	l.log("host change answered", "host", id, "to", c.pool, "wave", c.wave, "outcome", string(outcome))
	switch outcome {
	case ChangeAccepted:
		l.changeAccepted(h, now)
	case ChangeUnknown:
		c.unansweredAt = now
		c.retryLater(now)
	case ChangeOtherWave, ChangeImpossible:
		if wave := l.hosts.waves[c.wave]; wave != nil {
			// The host can never take part in this wave.
			wave.done[id] = true
			wave.dirty = true
		}
		h.pendingChange = nil
		h.notBefore = now.Add(changeTimeout)
	case ChangeFenced:
		l.dropChange(h, now)
	case ChangeBusy:
		// The host may be busy with the change itself, until that is over.
		if c.isRepeated && now.Sub(c.unansweredAt) < maxElapsed(l.changeDuration(c))+c.maxDelay() {
			c.retryLater(now)
			return
		}
		l.dropChange(h, now)
	default:
		if c.isRepeated {
			c.retryLater(now)
			return
		}
		l.dropChange(h, now)
	}
}

// dropChange ends a change that was not made, or is over.
func (l *Leader) dropChange(h *hostState, now time.Time) {
	h.pendingChange = nil
	h.notBefore = now.Add(changeRetryDelay)
}

// repeatChanges orders the changes again that got no answer. Only the platform's answer tells
// whether they were made, and repeating one that was does nothing.
func (l *Leader) repeatChanges(orders *Orders, now time.Time) {
	for id, h := range l.hosts.byID {
		c := h.pendingChange
		if c == nil || !c.isUnconfirmed || now.Before(c.retryAt) || h.isOccupied {
			continue
		}
		c.isUnconfirmed, c.isRepeated = false, true
		if c.wave != 0 {
			orders.Maintenance = append(orders.Maintenance, MaintenanceOrder{Host: id, Wave: c.wave})
		} else {
			orders.Moves = append(orders.Moves, Move{Host: id, Pool: c.pool})
		}
		l.log("host change repeated", "host", id, "to", c.pool, "wave", c.wave, "ordered-ago", age(c.orderedAt, now))
	}
}

// HandleMoveReply processes the platform's answer to a move.
func (l *Leader) HandleMoveReply(move Move, outcome ChangeOutcome, now time.Time) {
	l.handleChangeReply(move.Host, outcome, now)
}

// HandleMaintenanceReply processes the platform's answer to a maintenance order.
func (l *Leader) HandleMaintenanceReply(order MaintenanceOrder, outcome ChangeOutcome, now time.Time) {
	l.handleChangeReply(order.Host, outcome, now)
}

// LoadHostChange records when, by its wall clock, an earlier leader announced a change
// of a host. Two leaders must not change the same host within HostChangeExclusion.
func (l *Leader) LoadHostChange(id HostID, at, wall, now time.Time) {
	wait := l.config.Bounds.HostChangeExclusion + maxWallClockSkew - wall.Sub(at)
	if wait <= 0 {
		return
	}
	h := l.hosts.get(id)
	h.notBefore = now.Add(min(wait, l.config.Bounds.HostChangeExclusion+2*maxWallClockSkew))
}

// LoadMaintenance records when, by its wall clock, an earlier leader announced the maintenance of
// a host for a wave. The host counts as down until that is surely over.
func (l *Leader) LoadMaintenance(id HostID, wave int64, at, wall, now time.Time) {
	longest := maxElapsed(l.config.Bounds.Maintenance) + orderDuration
	wait := longest + maxWallClockSkew - wall.Sub(at)
	if wait <= 0 {
		return
	}
	h := l.hosts.get(id)
	h.formerWave, h.formerUntil = wave, now.Add(min(wait, longest+2*maxWallClockSkew))
}

// planHosts orders maintenance and moves.
func (l *Leader) planHosts(pools map[string][]*jobState, orders *Orders, now time.Time) {
	l.applyRows(now)
	for _, e := range l.endpoints {
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
	for _, e := range l.endpoints {
		e.leaving = e.leaving || l.mayEndByChange(e)
	}
}

// unansweredChanges counts the changes that were ordered and that the platform has not
// answered.
func (l *Leader) unansweredChanges() int {
	count := 0
	for _, h := range l.hosts.byID {
		if h.pendingChange != nil && h.pendingChange.isOnItsWay() {
			count++
		}
	}
	return count
}

// recordIdle updates since when each host's endpoint has been empty, or unknown.
func (l *Leader) recordIdle(now time.Time) {
	for _, h := range l.hosts.byID {
		e := l.endpointOf(h)
		isKnown := e != nil && e.isKnown() && !e.unresponsive
		updateSince(&h.idleSince, isKnown && e.isEmpty(), now)
		updateSince(&h.unknownSince, !isKnown, now)
		h.isOccupied = false
	}
	for _, e := range l.endpoints {
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
