package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// waveState is a wave of upkeep and how far it is.
type waveState struct {
	row      WaveRow
	listedAt time.Time
	// done holds the hosts whose upkeep has begun.
	done     map[HostID]bool
	complete bool
	dirty    bool
}

// WaveNews is what has changed of a wave since it was last written.
type WaveProgress struct {
	Number   int64
	Done     []string
	Complete bool
}

// wave returns a wave's state, which it creates.
func (l *Leader) wave(number int64) *waveState {
	wave := l.hosts.waves[number]
	if wave == nil {
		wave = &waveState{done: map[HostID]bool{}}
		l.hosts.waves[number] = wave
	}
	return wave
}

// WaveListed takes a wave as operators ask for it.
func (l *Leader) UpdateWave(row WaveRow, now time.Time) {
	wave := l.wave(row.Number)
	if wave.listedAt.IsZero() {
		wave.listedAt = now
		wave.dirty = true
		l.note("wave listed", "wave", row.Number, "hosts", len(row.Hosts), "at-once", row.MaxDown, "within", row.TimeLimit.String())
	}
	wave.row = row
}

// WaveLoaded takes what an earlier leader has written of a wave.
func (l *Leader) LoadWave(number int64, done []string, complete bool) {
	wave := l.wave(number)
	wave.complete = complete
	for _, id := range done {
		wave.done[HostID(id)] = true
	}
}

// WaveNews returns the waves that have to be written.
func (l *Leader) WaveProgress() []WaveProgress {
	var news []WaveProgress
	for _, number := range l.waveNumbers() {
		wave := l.hosts.waves[number]
		if !wave.dirty {
			continue
		}
		wave.dirty = false
		entry := WaveProgress{Number: number, Complete: wave.complete}
		for id := range wave.done {
			entry.Done = append(entry.Done, string(id))
		}
		slices.Sort(entry.Done)
		news = append(news, entry)
	}
	return news
}

// planWave takes the wave's next hosts down, those that cost least first,
// and empties the ones after them. It takes as many as are free, or as have to be
// down at once for the wave to be over in time. It returns how many it began with.
func (l *Leader) planWave(wave *waveState, free int, orders *Orders, now time.Time) int {
	if wave.complete || wave.listedAt.IsZero() {
		return 0
	}
	var due []*hostState
	down, known := 0, 0
	for _, id := range wave.row.Hosts {
		h := l.hosts.byID[id]
		if h == nil || !h.listed {
			continue
		}
		known++
		isDown := h.change != nil && h.change.wave == wave.row.Number || h.row.State == HostMaintenance
		if isDown {
			down++
		}
		if !wave.done[id] && h.isFree(now) {
			due = append(due, h)
		}
	}
	if known > 0 && down == 0 && l.waveDone(wave) {
		wave.complete, wave.dirty = true, true
		l.note("wave complete", "wave", wave.row.Number, "took", now.Sub(wave.listedAt).Round(time.Millisecond).String())
		return 0
	}
	atOnce := min(wave.row.MaxDown, max(down+free, l.wavePace(wave, len(due), now)))
	begun := 0
	slices.SortFunc(due, func(a, b *hostState) int {
		return cmp.Or(cmp.Compare(l.upkeepCost(a), l.upkeepCost(b)), cmp.Compare(a.row.ID, b.row.ID))
	})
	// As many as may be down at once are emptied ahead.
	for i, h := range due {
		if i >= 2*atOnce-down {
			break
		}
		e := l.endpointOf(h)
		if e != nil {
			e.leaving = true
		}
		if down < atOnce && l.isEmpty(h, now) {
			down++
			begun++
			h.change = &change{wave: wave.row.Number, orderedAt: now}
			orders.Maintenance = append(orders.Maintenance, MaintenanceOrder{Host: h.row.ID, Wave: wave.row.Number})
			l.note("upkeep", "host", h.row.ID, "pool", h.row.Pool, "wave", wave.row.Number, "down", down, "at-once", atOnce)
		}
	}
	return begun
}

const (
	// wavePart is the part of a wave's time in which it should be over where hosts
	// are short; the rest is for hosts that are slow to be emptied.
	wavePart = 0.4
	// emptyingTime is about how long a busy host takes until it is empty.
	emptyingTime = 3 * time.Second
)

// wavePace returns how many hosts have to be down at once for the wave to be
// over in good time.
func (l *Leader) wavePace(wave *waveState, due int, now time.Time) int {
	left := time.Duration(wavePart*float64(wave.row.TimeLimit)) - now.Sub(wave.listedAt)
	each := l.config.Bounds.Maintenance + emptyingTime
	if left < each {
		return due
	}
	return int(math.Ceil(float64(due) * each.Seconds() / left.Seconds()))
}

// waveDone reports whether the upkeep of all the wave's hosts has begun.
func (l *Leader) waveDone(wave *waveState) bool {
	for _, id := range wave.row.Hosts {
		h := l.hosts.byID[id]
		if h != nil && h.listed && !wave.done[id] {
			return false
		}
	}
	return true
}

// Weights of a run in the cost of taking its host down: a lasting task has
// to be started elsewhere, any other ends by itself.
const (
	costLasting = 1000
	costRun     = 1
	// costUnknown ranks a host whose endpoint is not known yet after all others.
	costUnknown = 1_000_000
)

// upkeepCost ranks a host by what its upkeep disturbs.
func (l *Leader) upkeepCost(h *hostState) int {
	e := l.endpointOf(h)
	if e == nil || !e.reached {
		if h.row.Endpoint == "" {
			return 0
		}
		return costUnknown
	}
	lasting := e.lastingRuns()
	return lasting*costLasting + (len(e.runs)-lasting)*costRun
}
