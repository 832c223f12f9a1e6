package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// waveState is a maintenance wave and its progress.
type waveState struct {
	row      WaveRow
	listedAt time.Time
	// done holds the hosts whose maintenance has begun.
	done     map[HostID]bool
	complete bool
	dirty    bool
}

// WaveProgress is a wave's progress that has changed since it was last written.
type WaveProgress struct {
	Number   int64
	Done     []string
	Complete bool
}

// wave returns a wave's state and creates it if there is none.
func (l *Leader) wave(number int64) *waveState {
	wave := l.hosts.waves[number]
	if wave == nil {
		wave = &waveState{done: map[HostID]bool{}}
		l.hosts.waves[number] = wave
	}
	return wave
}

// UpdateWave processes a wave as requested by operators.
func (l *Leader) UpdateWave(row WaveRow, now time.Time) {
	wave := l.wave(row.Number)
	if wave.listedAt.IsZero() {
		wave.listedAt = now
		wave.dirty = true
		l.log("wave listed", "wave", row.Number, "hosts", len(row.Hosts), "at-once", row.MaxDown, "within", row.TimeLimit.String())
	}
	wave.row = row
	for _, id := range row.Hosts {
		// Lists that lack the host are counted from now on.
		l.hosts.get(id)
	}
}

// LoadWave restores a wave's progress as written by an earlier leader.
func (l *Leader) LoadWave(number int64, done []string, complete bool) {
	wave := l.wave(number)
	wave.complete = complete
	for _, id := range done {
		wave.done[HostID(id)] = true
	}
}

// WaveProgress returns the progress of at most limit waves to be written.
func (l *Leader) WaveProgress(limit int) []WaveProgress {
	var updates []WaveProgress
	for _, number := range l.waveNumbers() {
		wave := l.hosts.waves[number]
		if !wave.dirty || len(updates) == limit {
			continue
		}
		wave.dirty = false
		entry := WaveProgress{Number: number, Complete: wave.complete}
		for id := range wave.done {
			entry.Done = append(entry.Done, string(id))
		}
		slices.Sort(entry.Done)
		updates = append(updates, entry)
	}
	return updates
}

// planWave orders maintenance of the wave's next hosts, those with the lowest cost
// first, and drains the ones after them. It takes as many hosts as are free, or as have
// to be down at once for the wave to end in time. It returns how many it ordered.
func (l *Leader) planWave(wave *waveState, free int, orders *Orders, now time.Time) int {
	if wave.complete || wave.listedAt.IsZero() {
		return 0
	}
	var due []*hostState
	down, known := 0, 0
	for _, id := range wave.row.Hosts {
		h := l.hosts.byID[id]
		if h == nil || h.hasLeft() {
			continue
		}
		if h.listed {
			known++
		}
		if h.isDownFor(wave.row.Number, now) {
			down++
		}
		if !wave.done[id] && h.canChange(now) {
			due = append(due, h)
		}
	}
	if known > 0 && down == 0 && l.allMaintenanceBegun(wave) {
		wave.complete, wave.dirty = true, true
		l.log("wave complete", "wave", wave.row.Number, "took", now.Sub(wave.listedAt).Round(time.Millisecond).String())
		return 0
	}
	maxDown := min(wave.row.MaxDown, max(down+free, l.minWaveConcurrency(wave, len(due), now)))
	started := 0
	slices.SortFunc(due, func(a, b *hostState) int {
		return cmp.Or(cmp.Compare(l.maintenanceCost(a), l.maintenanceCost(b)), cmp.Compare(a.row.ID, b.row.ID))
	})
	ahead := maxDown - down + maxDown/drainAheadDivisor
	for i, h := range due {
		if i >= ahead {
			break
		}
		for _, e := range l.endpointsOn(h) {
			e.leaving = true
		}
		if down < maxDown && l.isEmpty(h, now) {
			down++
			started++
			l.startChange(h, pendingChange{wave: wave.row.Number}, now)
			orders.Maintenance = append(orders.Maintenance, MaintenanceOrder{Host: h.row.ID, Wave: wave.row.Number})
			l.log("upkeep", "host", h.row.ID, "pool", h.row.Pool, "wave", wave.row.Number, "down", down, "at-once", maxDown)
		}
	}
	return started
}

const (
	// waveTimeFraction is the fraction of a wave's time limit to aim for when hosts are
	// short; the rest is a reserve for hosts that are slow to drain.
	waveTimeFraction = 0.8
	// drainTime is about how long a busy host takes to drain.
	drainTime = 3 * time.Second
	// drainAheadDivisor sets how many hosts are drained for when others come back: this
	// part of those that may be down at once.
	drainAheadDivisor = 2
)

// minWaveConcurrency returns how many hosts have to be down at once, although pools
// need them, for the wave to end within waveTimeFraction of its time limit. While
// there is much time for the hosts that are due, it is few: they may be free later.
func (l *Leader) minWaveConcurrency(wave *waveState, due int, now time.Time) int {
	remaining := time.Duration(waveTimeFraction*float64(wave.row.TimeLimit)) - now.Sub(wave.listedAt)
	perHost := l.config.Bounds.Maintenance + drainTime
	if remaining < perHost {
		return due
	}
	atOnce := float64(max(1, wave.row.MaxDown))
	urgency := float64(due) * perHost.Seconds() / atOnce / remaining.Seconds()
	return int(math.Ceil(atOnce * urgency * urgency))
}

// allMaintenanceBegun reports whether the maintenance of all the wave's hosts has begun that have
// not left the fleet.
func (l *Leader) allMaintenanceBegun(wave *waveState) bool {
	for _, id := range wave.row.Hosts {
		if !wave.done[id] && !l.hosts.get(id).hasLeft() {
			return false
		}
	}
	return true
}

// Costs of the runs on a host that is taken down: a persistent task has to be
// started elsewhere, others end by themselves.
const (
	costPersistent = 1000
	costRun        = 1
	// costUnknown ranks hosts whose endpoint is not known yet behind all others.
	costUnknown = 1_000_000
)

// maintenanceCost ranks a host by what its maintenance disrupts.
func (l *Leader) maintenanceCost(h *hostState) int {
	e := l.endpointOf(h)
	if e == nil || !e.isKnown() {
		if h.row.Endpoint == "" {
			return 0
		}
		return costUnknown
	}
	persistent := e.tally.persistent
	return persistent*costPersistent + (len(e.runs)-persistent)*costRun
}
