package fleet

import (
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

// HostChangeDue reports whether a change is due to end, or its outcome is unknown.
func (l *Leader) HostChangeDue(now time.Time) bool {
	l.visit(len(l.hosts.byID))
	for _, h := range l.hosts.list {
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
// as it was when the change was ordered, no run would end, it is no move of an evacuated host into
// a pool that runs tasks, and no other process leads.
// Otherwise it withdraws the change, which was never sent.
func (l *Leader) ConfirmHostChange(id HostID, now time.Time) bool {
	h := l.hosts.byID[id]
	if h == nil || h.pendingChange == nil {
		return false
	}
	c := h.pendingChange
	speaker := l.speakerOn(id)
	if speaker != nil && speaker.presumed != nil {
		speaker = nil
	}
	row := h.shown.correctedBy(speaker)
	isSame := row.State == HostUp && row.Endpoint == c.endpoint
	isOccupied := l.isOccupied(id, now)
	// Only the platform's answer to a repeated order tells whether the earlier one was carried out.
	isProhibited := !c.isRepeated && c.wave == 0 && l.isHostEvacuated(h) && !l.policy.Pools[c.pool].Spare
	if (isSame || c.isRepeated) && !isOccupied && !isProhibited && l.confirmed(now) {
		return true
	}
	l.log("host change withdrawn", "host", id, "to", c.pool, "wave", c.wave, "ordered-ago", age(c.orderedAt, now),
		"state", string(row.State), "endpoint", row.Endpoint, "occupied", isOccupied, "evacuated", isProhibited, "confirmed-ago", age(l.confirmedAt, now))
	if c.isRepeated {
		c.retryLater(now)
		return false
	}
	h.pendingChange, h.row = nil, row
	h.notBefore = now.Add(changeRetryDelay)
	return false
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
	h.idleSince, h.awaitsEndpoint = time.Time{}, true
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
	l.visit(len(l.hosts.byID))
	for _, h := range l.hosts.list {
		id, c := h.id, h.pendingChange
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
	h.awaitsEndpoint = true
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

// unansweredChanges counts the changes that were ordered and that the platform has not
// answered.
func (l *Leader) unansweredChanges() int {
	count := 0
	l.visit(len(l.hosts.byID))
	for _, h := range l.hosts.list {
		if h.pendingChange != nil && h.pendingChange.isOnItsWay() {
			count++
		}
	}
	return count
}
