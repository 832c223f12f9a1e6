package fleet

import (
	"slices"
	"time"
)

const (
	// changeLost is how long a change without an answer is waited for in the
	// hosts' list before it is ordered again.
	changeLost = 3 * time.Second
	// changeRetry is the time before a refused change is ordered again.
	changeRetry = 400 * time.Millisecond
	// listSlack is how much later than expected a host may be back before it
	// is looked up without haste.
	listSlack = 2 * time.Second
)

// wallTolerance is how far the times of day of two processes may be apart.
const wallTolerance = 2500 * time.Millisecond

// hosts is what the leader knows of the hosts and waves of upkeep.
type hosts struct {
	byID        map[HostID]*hostState
	waves       map[int64]*waveState
	lackNotedAt time.Time
	// isListed is true once the platform's list has been read.
	isListed bool
	// needed is how many hosts all pools together have needed lately.
	needed recentMost
	// needsNotedAt is when the journal last told the pools' sizes.
	needsNotedAt time.Time
}

func newHosts() hosts {
	return hosts{byID: map[HostID]*hostState{}, waves: map[int64]*waveState{}}
}

// change is a change of a host that is under way.
type change struct {
	pool string
	wave int64
	// orderedAt is when it was decided, takenAt when the platform took it.
	orderedAt, takenAt time.Time
	isUnknown          bool
}

// hostState is a host and what is being done with it.
type hostState struct {
	row    Host
	change *change
	// notBefore holds back the next change after a refusal.
	notBefore time.Time
	// idleSince is when its endpoint was last seen to become empty, or zero.
	idleSince time.Time
	// unknownSince is since when its endpoint has not been listed or not answered, or zero.
	unknownSince time.Time
	listed       bool
}

// isFree reports whether a host may be changed.
func (h *hostState) isFree(now time.Time) bool {
	return h.listed && h.change == nil && h.row.State == HostUp && !now.Before(h.notBefore)
}

// endpointOf returns the endpoint that runs on a host, or nil.
func (l *Leader) endpointOf(h *hostState) *endpoint {
	e := l.endpoints[h.row.Endpoint]
	if e == nil || !e.listed {
		return nil
	}
	return e
}

// HostsListed takes the platform's list, which was asked for at sentAt.
func (l *Leader) UpdateHosts(list []Host, sentAt, now time.Time) {
	listed := map[HostID]bool{}
	for _, row := range list {
		listed[row.ID] = true
		h := l.hosts.byID[row.ID]
		if h == nil {
			h = &hostState{}
			l.hosts.byID[row.ID] = h
		}
		h.listed = true
		l.hostListed(h, row, sentAt, now)
	}
	l.hosts.isListed = true
	for id, h := range l.hosts.byID {
		if !listed[id] {
			h.listed = false
		}
	}
	l.settleEndpoints(list, sentAt, now)
}

// settleEndpoints ends endpoints that run on no host any more: the platform knows of
// a crash or a change before the endpoint's lease is over. An endpoint that is only cut
// off is still on its host.
func (l *Leader) settleEndpoints(list []Host, sentAt, now time.Time) {
	onHost := map[EndpointID]bool{}
	for _, row := range list {
		if row.Endpoint != "" {
			onHost[row.Endpoint] = true
		}
	}
	if len(onHost) == 0 {
		return
	}
	for _, e := range l.endpoints {
		if e.gone && onHost[e.row.ID] && e.listedAt.Before(sentAt) {
			// An earlier list was wrong, or older than it seemed.
			e.gone, e.reached = false, false
		}
		if e.gone || onHost[e.row.ID] || !e.listedAt.Before(sentAt) || e.lookedAt.After(sentAt) {
			continue
		}
		l.note("endpoint gone", "endpoint", e.row.ID, "pool", e.row.Pool, "runs", len(e.runs), "list-age", now.Sub(sentAt).Round(time.Millisecond).String())
		e.gone = true
		for _, r := range e.runs {
			l.runLost(r, "host no longer runs the endpoint", now)
		}
		l.forgetEndpoint(e, now)
	}
}

// hostListed takes a host's row, unless it is from before its change.
func (l *Leader) hostListed(h *hostState, row Host, sentAt, now time.Time) {
	c := h.change
	if c == nil {
		if h.row.State != row.State || h.row.Endpoint != row.Endpoint {
			l.note("host listed", "host", row.ID, "pool", row.Pool, "state", string(row.State), "endpoint", row.Endpoint)
		}
		h.row = row
		return
	}
	if c.takenAt.IsZero() && !c.isUnknown || sentAt.Before(c.takenAt) {
		return
	}
	h.row = row
	if c.isUnknown {
		l.settleChange(h, now)
		return
	}
	if row.State == HostUp && (c.wave != 0 || row.Pool == c.pool) && now.Sub(c.takenAt) > l.awayTime(c)/2 {
		l.note("host back", "host", row.ID, "pool", row.Pool, "wave", c.wave, "took", now.Sub(c.takenAt).Round(time.Millisecond).String())
		h.change = nil
	}
}

// settleChange finds out from the list whether a change without an answer was made.
func (l *Leader) settleChange(h *hostState, now time.Time) {
	c := h.change
	isMade := c.wave != 0 && h.row.State == HostMaintenance || c.wave == 0 && (h.row.State == HostMoving || h.row.Pool == c.pool)
	switch {
	case isMade:
		l.changeTaken(h, now)
	case h.row.State == HostUp && now.Sub(c.orderedAt) > changeLost:
		h.change = nil
	}
}

// awayTime is how long a change takes.
func (l *Leader) awayTime(c *change) time.Duration {
	if c.wave != 0 {
		return l.config.Bounds.Maintenance
	}
	return l.config.Bounds.Move
}

// WantsHosts reports whether the list is worth reading soon: a change is
// about to be over, or an endpoint is silent that may have crashed.
func (l *Leader) NeedsHostList(now time.Time) bool {
	for _, e := range l.endpoints {
		isSilent := e.silent && len(e.runs) > 0 || !e.reached && now.Before(l.inheritedUntil())
		if isSilent && !e.gone && len(l.hosts.byID) > 0 {
			return true
		}
	}
	return l.HostChangeDue(now)
}

// HostsChanging reports whether a change is about to be over.
func (l *Leader) HostChangeDue(now time.Time) bool {
	for _, h := range l.hosts.byID {
		c := h.change
		if c == nil || !h.listed {
			continue
		}
		if c.isUnknown {
			return true
		}
		away := now.Sub(c.takenAt)
		if !c.takenAt.IsZero() && away >= l.awayTime(c) && away < l.awayTime(c)+listSlack {
			return true
		}
	}
	return false
}

// changeTaken notes that a host is away: what ran on it is over.
func (l *Leader) changeTaken(h *hostState, now time.Time) {
	c := h.change
	c.takenAt, c.isUnknown = now, false
	if e := l.endpoints[h.row.Endpoint]; e != nil {
		for _, r := range e.runs {
			l.runLost(r, "host is changed", now)
		}
		e.listed, e.gone = false, true
		l.forgetEndpoint(e, now)
	}
	h.idleSince = time.Time{}
	if c.wave == 0 {
		h.row.State = HostMoving
		return
	}
	h.row.State = HostMaintenance
	if wave := l.hosts.waves[c.wave]; wave != nil {
		wave.done[h.row.ID] = true
		wave.dirty = true
	}
}

// changeAnswered takes the platform's answer to a change.
func (l *Leader) changeAnswered(id HostID, outcome ChangeOutcome, now time.Time) {
	h := l.hosts.byID[id]
	if h == nil || h.change == nil {
		return
	}
	c := h.change
	l.note("host change answered", "host", id, "to", c.pool, "wave", c.wave, "outcome", string(outcome))
	switch outcome {
	case ChangeAccepted:
		l.changeTaken(h, now)
	case ChangeUnknown:
		c.isUnknown = true
	case ChangeOtherWave, ChangeImpossible:
		if wave := l.hosts.waves[c.wave]; wave != nil {
			// It will never be part of this wave.
			wave.done[id] = true
			wave.dirty = true
		}
		h.change = nil
		h.notBefore = now.Add(changeLost)
	default:
		h.change = nil
		h.notBefore = now.Add(changeRetry)
	}
}

// MoveAnswered takes the platform's answer to a move.
func (l *Leader) HandleMoveReply(move Move, outcome ChangeOutcome, now time.Time) {
	l.changeAnswered(move.Host, outcome, now)
}

// UpkeepAnswered takes the platform's answer to an upkeep.
func (l *Leader) HandleMaintenanceReply(upkeep MaintenanceOrder, outcome ChangeOutcome, now time.Time) {
	l.changeAnswered(upkeep.Host, outcome, now)
}

// ChangeLoaded takes when, by the time of day of its process, an earlier leader
// was about to change a host. Two leaders must not take turns at a host
// within a short time.
func (l *Leader) LoadHostChange(id HostID, at, wall, now time.Time) {
	wait := l.config.Bounds.HostChangeExclusion + wallTolerance - wall.Sub(at)
	if wait <= 0 {
		return
	}
	h := l.hosts.byID[id]
	if h == nil {
		h = &hostState{}
		l.hosts.byID[id] = h
	}
	h.notBefore = now.Add(min(wait, l.config.Bounds.HostChangeExclusion+2*wallTolerance))
}

// planHosts decides on upkeep and moves.
func (l *Leader) planHosts(pools map[string][]*jobState, orders *Orders, now time.Time) {
	for _, e := range l.endpoints {
		e.leaving = false
	}
	for _, h := range l.hosts.byID {
		if e := l.endpointOf(h); e != nil && h.change != nil {
			e.leaving = true
		}
	}
	l.noteIdle(now)
	needs := l.poolNeeds(pools, now)
	free := l.freeHosts(needs, now)
	for _, number := range l.waveNumbers() {
		free -= l.planWave(l.hosts.waves[number], free, orders, now)
	}
	l.planMoves(needs, orders, now)
}

// noteIdle keeps since when each host's endpoint has been empty, or unknown.
func (l *Leader) noteIdle(now time.Time) {
	for _, h := range l.hosts.byID {
		e := l.endpointOf(h)
		isKnown := e != nil && e.reached && !e.silent
		keepSince(&h.idleSince, isKnown && e.isEmpty(), now)
		keepSince(&h.unknownSince, !isKnown, now)
	}
}

// keepSince keeps since when a condition has held, or the zero time.
func keepSince(since *time.Time, holds bool, now time.Time) {
	switch {
	case !holds:
		*since = time.Time{}
	case since.IsZero():
		*since = now
	}
}

// isEmpty reports whether changing a host ends nothing: no endpoint is on it, it
// is known to be empty, or it has been unknown for longer than leases last.
func (l *Leader) isEmpty(h *hostState, now time.Time) bool {
	if h.row.Endpoint == "" || !h.idleSince.IsZero() {
		return true
	}
	return !h.unknownSince.IsZero() && now.Sub(h.unknownSince) > stretched(l.leaseTime()+idleDrift)+confirmTime
}

// waveNumbers lists the waves in order.
func (l *Leader) waveNumbers() []int64 {
	var numbers []int64
	for number := range l.hosts.waves {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers
}
