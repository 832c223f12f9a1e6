package endpoint

import (
	"sync"
	"time"
)

// maxRecords limits the completed runs, and the idempotency keys, in a run log.
const maxRecords = 200_000

// Run is the record of a completed run.
type Run struct {
	ID     string    `json:"run"`
	Team   string    `json:"team"`
	Key    string    `json:"idempotency-key,omitempty"`
	Status int       `json:"status"`
	Start  time.Time `json:"start"`
	End    time.Time `json:"end"`
}

// KeyRuns is the number of runs that were started with a team's idempotency key.
type KeyRuns struct {
	Team string `json:"team"`
	Key  string `json:"idempotency-key"`
	Runs int    `json:"runs"`
}

// Counts holds the number of runs of one team, or of all teams.
type Counts struct {
	Started    int `json:"started"`
	Completed  int `json:"completed"`
	Running    int `json:"running"`
	MaxRunning int `json:"greatest-running"`
}

// Stats is the response to GET /standin/stats.
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

// teamKey identifies an idempotency key, which belongs to a team.
type teamKey struct {
	team string
	key  string
}

// runLog records the runs of an endpoint. It is safe for concurrent use.
type runLog struct {
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

// newRunLog returns an empty log of an endpoint with the given number of slots.
func newRunLog(slots int) *runLog {
	return &runLog{slots: slots, teams: make(map[string]*Counts), keys: make(map[teamKey]int)}
}

// start occupies a slot for the run. It reports false if no slot is free.
func (l *runLog) start(run Run) bool {
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
func (l *runLog) end(run Run) {
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
func (l *runLog) team(name string) *Counts {
	counts, ok := l.teams[name]
	if !ok {
		counts = &Counts{}
		l.teams[name] = counts
	}
	return counts
}

// stats returns a copy of the log.
func (l *runLog) stats() Stats {
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
