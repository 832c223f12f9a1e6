package fleet

import (
	"slices"
	"time"
)

const (
	// changeLost is how long a change without an answer is waited for in the
	// machines' list before it is ordered again.
	changeLost = 3 * time.Second
	// changeRetry is the time before a refused change is ordered again.
	changeRetry = 400 * time.Millisecond
	// listSlack is how much later than expected a machine may be back before it
	// is looked up without haste.
	listSlack = 2 * time.Second
)

// wallTolerance is how far the times of day of two processes may be apart.
const wallTolerance = 2500 * time.Millisecond

// machines is what the leader knows of the machines and waves of upkeep.
type machines struct {
	byID        map[MachineID]*machineState
	waves       map[int64]*waveState
	lackNotedAt time.Time
	// needsNotedAt is when the journal last told the pools' sizes.
	needsNotedAt time.Time
}

func newMachines() machines {
	return machines{byID: map[MachineID]*machineState{}, waves: map[int64]*waveState{}}
}

// change is a change of a machine that is under way.
type change struct {
	pool string
	wave int64
	// orderedAt is when it was decided, takenAt when the platform took it.
	orderedAt, takenAt time.Time
	isUnknown          bool
}

// machineState is a machine and what is being done with it.
type machineState struct {
	row    Machine
	change *change
	// notBefore holds back the next change after a refusal.
	notBefore time.Time
	// idleSince is when its host was last seen to become empty, or zero.
	idleSince time.Time
	// unknownSince is since when its host has not been listed or not answered, or zero.
	unknownSince time.Time
	listed       bool
}

// isFree reports whether a machine may be changed.
func (m *machineState) isFree(now time.Time) bool {
	return m.listed && m.change == nil && m.row.State == MachineUp && !now.Before(m.notBefore)
}

// hostOf returns the host that runs on a machine, or nil.
func (l *Leader) hostOf(m *machineState) *host {
	h := l.hosts[m.row.Host]
	if h == nil || !h.listed {
		return nil
	}
	return h
}

// MachinesListed takes the platform's list, which was asked for at sentAt.
func (l *Leader) MachinesListed(list []Machine, sentAt, now time.Time) {
	listed := map[MachineID]bool{}
	for _, row := range list {
		listed[row.ID] = true
		m := l.machines.byID[row.ID]
		if m == nil {
			m = &machineState{}
			l.machines.byID[row.ID] = m
		}
		m.listed = true
		l.machineListed(m, row, sentAt, now)
	}
	for id, m := range l.machines.byID {
		if !listed[id] {
			m.listed = false
		}
	}
	l.settleHosts(list, sentAt, now)
}

// settleHosts ends hosts that run on no machine any more: the platform knows of
// a crash or a change before the host's lease is over. A host that is only cut
// off is still on its machine.
func (l *Leader) settleHosts(list []Machine, sentAt, now time.Time) {
	onMachine := map[HostID]bool{}
	for _, row := range list {
		if row.Host != "" {
			onMachine[row.Host] = true
		}
	}
	if len(onMachine) == 0 {
		return
	}
	for _, h := range l.hosts {
		if h.gone || onMachine[h.row.ID] || !h.listedAt.Before(sentAt) || h.lookedAt.After(sentAt) {
			continue
		}
		l.note("host gone", "host", h.row.ID, "pool", h.row.Pool, "runs", len(h.runs), "list-age", now.Sub(sentAt).Round(time.Millisecond).String())
		h.gone = true
		for _, r := range h.runs {
			l.runLost(r, "machine no longer runs the host", now)
		}
		l.forgetHost(h, now)
	}
}

// machineListed takes a machine's row, unless it is from before its change.
func (l *Leader) machineListed(m *machineState, row Machine, sentAt, now time.Time) {
	c := m.change
	if c == nil {
		if m.row.State != row.State || m.row.Host != row.Host {
			l.note("machine listed", "machine", row.ID, "pool", row.Pool, "state", string(row.State), "host", row.Host)
		}
		m.row = row
		return
	}
	if c.takenAt.IsZero() && !c.isUnknown || sentAt.Before(c.takenAt) {
		return
	}
	m.row = row
	if c.isUnknown {
		l.settleChange(m, now)
		return
	}
	if row.State == MachineUp && (c.wave != 0 || row.Pool == c.pool) && now.Sub(c.takenAt) > l.awayTime(c)/2 {
		l.note("machine back", "machine", row.ID, "pool", row.Pool, "wave", c.wave, "took", now.Sub(c.takenAt).Round(time.Millisecond).String())
		m.change = nil
	}
}

// settleChange finds out from the list whether a change without an answer was made.
func (l *Leader) settleChange(m *machineState, now time.Time) {
	c := m.change
	isMade := c.wave != 0 && m.row.State == MachineUpkeep || c.wave == 0 && (m.row.State == MachineMoving || m.row.Pool == c.pool)
	switch {
	case isMade:
		l.changeTaken(m, now)
	case m.row.State == MachineUp && now.Sub(c.orderedAt) > changeLost:
		m.change = nil
	}
}

// awayTime is how long a change takes.
func (l *Leader) awayTime(c *change) time.Duration {
	if c.wave != 0 {
		return l.config.Bounds.Upkeep
	}
	return l.config.Bounds.Move
}

// WantsMachines reports whether the list is worth reading soon: a change is
// about to be over, or a host is silent that may have crashed.
func (l *Leader) WantsMachines(now time.Time) bool {
	for _, h := range l.hosts {
		isSilent := h.silent && len(h.runs) > 0 || !h.reached && now.Before(l.inheritedUntil())
		if isSilent && !h.gone && len(l.machines.byID) > 0 {
			return true
		}
	}
	return l.MachinesChanging(now)
}

// MachinesChanging reports whether a change is about to be over.
func (l *Leader) MachinesChanging(now time.Time) bool {
	for _, m := range l.machines.byID {
		c := m.change
		if c == nil || !m.listed {
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

// changeTaken notes that a machine is away: what ran on it is over.
func (l *Leader) changeTaken(m *machineState, now time.Time) {
	c := m.change
	c.takenAt, c.isUnknown = now, false
	if h := l.hosts[m.row.Host]; h != nil {
		for _, r := range h.runs {
			l.runLost(r, "machine is changed", now)
		}
		h.listed, h.gone = false, true
		l.forgetHost(h, now)
	}
	m.idleSince = time.Time{}
	if c.wave == 0 {
		m.row.State = MachineMoving
		return
	}
	m.row.State = MachineUpkeep
	if wave := l.machines.waves[c.wave]; wave != nil {
		wave.done[m.row.ID] = true
		wave.dirty = true
	}
}

// changeAnswered takes the platform's answer to a change.
func (l *Leader) changeAnswered(id MachineID, outcome ChangeOutcome, now time.Time) {
	m := l.machines.byID[id]
	if m == nil || m.change == nil {
		return
	}
	c := m.change
	l.note("machine change answered", "machine", id, "to", c.pool, "wave", c.wave, "outcome", string(outcome))
	switch outcome {
	case ChangeTaken:
		l.changeTaken(m, now)
	case ChangeUnknown:
		c.isUnknown = true
	case ChangeOtherWave, ChangeImpossible:
		if wave := l.machines.waves[c.wave]; wave != nil {
			// It will never be part of this wave.
			wave.done[id] = true
			wave.dirty = true
		}
		m.change = nil
		m.notBefore = now.Add(changeLost)
	default:
		m.change = nil
		m.notBefore = now.Add(changeRetry)
	}
}

// MoveAnswered takes the platform's answer to a move.
func (l *Leader) MoveAnswered(move Move, outcome ChangeOutcome, now time.Time) {
	l.changeAnswered(move.Machine, outcome, now)
}

// UpkeepAnswered takes the platform's answer to an upkeep.
func (l *Leader) UpkeepAnswered(upkeep Upkeep, outcome ChangeOutcome, now time.Time) {
	l.changeAnswered(upkeep.Machine, outcome, now)
}

// ChangeLoaded takes when, by the time of day of its process, an earlier leader
// was about to change a machine. Two leaders must not take turns at a machine
// within a short time.
func (l *Leader) ChangeLoaded(id MachineID, at, wall, now time.Time) {
	wait := l.config.Bounds.TurnWithin + wallTolerance - wall.Sub(at)
	if wait <= 0 {
		return
	}
	m := l.machines.byID[id]
	if m == nil {
		m = &machineState{}
		l.machines.byID[id] = m
	}
	m.notBefore = now.Add(min(wait, l.config.Bounds.TurnWithin+2*wallTolerance))
}

// planMachines decides on upkeep and moves.
func (l *Leader) planMachines(pools map[string][]*jobState, orders *Orders, now time.Time) {
	for _, h := range l.hosts {
		h.leaving = false
	}
	for _, m := range l.machines.byID {
		if h := l.hostOf(m); h != nil && m.change != nil {
			h.leaving = true
		}
	}
	l.noteIdle(now)
	for _, number := range l.waveNumbers() {
		l.planWave(l.machines.waves[number], orders, now)
	}
	l.planMoves(pools, orders, now)
}

// noteIdle keeps since when each machine's host has been empty, or unknown.
func (l *Leader) noteIdle(now time.Time) {
	for _, m := range l.machines.byID {
		h := l.hostOf(m)
		isKnown := h != nil && h.reached && !h.silent
		keepSince(&m.idleSince, isKnown && len(h.runs) == 0, now)
		keepSince(&m.unknownSince, !isKnown, now)
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

// isEmpty reports whether changing a machine ends nothing: no host is on it, it
// is known to be empty, or it has been unknown for longer than leases last.
func (l *Leader) isEmpty(m *machineState, now time.Time) bool {
	if m.row.Host == "" || !m.idleSince.IsZero() {
		return true
	}
	return !m.unknownSince.IsZero() && now.Sub(m.unknownSince) > stretched(leaseTime+idleDrift)+confirmTime
}

// waveNumbers lists the waves in order.
func (l *Leader) waveNumbers() []int64 {
	var numbers []int64
	for number := range l.machines.waves {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers
}
