package endpoint

import (
	"sync"
	"time"
)

// maxRecords bounds the completed runs and the keys that are kept.
const maxRecords = 200_000

// Run is one run that took place, as the endpoint saw it.
type Run struct {
	ID     string    `json:"run"`
	Team   string    `json:"team"`
	Key    string    `json:"idempotency-key,omitempty"`
	Status int       `json:"status"`
	Start  time.Time `json:"start"`
	End    time.Time `json:"end"`
}

// KeyRuns counts the runs started under one team's idempotency key.
type KeyRuns struct {
	Team string `json:"team"`
	Key  string `json:"idempotency-key"`
	Runs int    `json:"runs"`
}

// Counts are the runs of one team, or of all.
type Counts struct {
	Started    int `json:"started"`
	Completed  int `json:"completed"`
	Running    int `json:"running"`
	MaxRunning int `json:"greatest-running"`
}

// Stats is the answer to GET /standin/stats.
type Stats struct {
	Endpoint       string            `json:"endpoint"`
	Service        string            `json:"service"`
	Leaving        bool              `json:"leaving"`
	Total          Counts            `json:"total"`
	Teams          map[string]Counts `json:"teams"`
	Refused        int               `json:"refused"`
	MaxConnections int               `json:"greatest-connections"`
	LastStart      time.Time         `json:"last-start,omitzero"`
	KeyRuns        []KeyRuns         `json:"runs-per-key"`
	Runs           []Run             `json:"runs"`
	Dropped        int               `json:"dropped-records"`
}

// teamKey identifies an idempotency key within its team.
type teamKey struct {
	team string
	key  string
}

// ledger is the truth about what ran.
type ledger struct {
	mu        sync.Mutex
	slots     int
	total     Counts
	teams     map[string]*Counts
	keys      map[teamKey]int
	runs      []Run
	refused   int
	dropped   int
	lastStart time.Time
}

// newLedger returns a ledger of an endpoint with so many slots.
func newLedger(slots int) *ledger {
	return &ledger{slots: slots, teams: make(map[string]*Counts), keys: make(map[teamKey]int)}
}

// start takes a slot for the run and reports false if none is free.
func (l *ledger) start(run Run) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.total.Running >= l.slots {
		l.refused++
		return false
	}
	l.lastStart = run.Start
	l.total.begin()
	l.team(run.Team).begin()
	if run.Key == "" {
		return true
	}
	key := teamKey{team: run.Team, key: run.Key}
	if _, known := l.keys[key]; !known && len(l.keys) >= maxRecords {
		l.dropped++
		return true
	}
	l.keys[key]++
	return true
}

// end frees the run's slot and records it.
func (l *ledger) end(run Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total.finish()
	l.team(run.Team).finish()
	if len(l.runs) >= maxRecords {
		l.dropped++
		return
	}
	l.runs = append(l.runs, run)
}

// team returns the counts of a team; the caller holds the lock.
func (l *ledger) team(name string) *Counts {
	counts, ok := l.teams[name]
	if !ok {
		counts = &Counts{}
		l.teams[name] = counts
	}
	return counts
}

// stats copies the ledger into an answer.
func (l *ledger) stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats := Stats{
		Total:     l.total,
		Teams:     make(map[string]Counts, len(l.teams)),
		Refused:   l.refused,
		LastStart: l.lastStart,
		KeyRuns:   make([]KeyRuns, 0, len(l.keys)),
		Runs:      append([]Run{}, l.runs...),
		Dropped:   l.dropped,
	}
	for name, counts := range l.teams {
		stats.Teams[name] = *counts
	}
	for key, runs := range l.keys {
		stats.KeyRuns = append(stats.KeyRuns, KeyRuns{Team: key.team, Key: key.key, Runs: runs})
	}
	return stats
}

func (c *Counts) begin() {
	c.Started++
	c.Running++
	c.MaxRunning = max(c.MaxRunning, c.Running)
}

func (c *Counts) finish() {
	c.Running--
	c.Completed++
}
