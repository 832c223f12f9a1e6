package catalogue

import "time"

// Kind tells services from queues.
type Kind string

// The kinds of entries.
const (
	KindService Kind = "service"
	KindQueue   Kind = "queue"
)

// Class orders work before shares do.
type Class string

// The classes, most urgent first.
const (
	ClassUrgent Class = "urgent"
	ClassNormal Class = "normal"
	ClassBatch  Class = "batch"
)

// Entry is a service or queue.
type Entry struct {
	Name string
	Kind Kind
	// Team owns the entry.
	Team  string
	Class Class
	// Open admits work without a key; queues only.
	Open bool
	// Shares holds the weight of each team that may use the entry, its owner
	// always among them.
	Shares map[string]int
	// Limit bounds what runs at once for the entry; 0 sets no bound.
	Limit int
	// MaxBody bounds a request's body, in bytes.
	MaxBody int64
	// Deadline is the one of a request that brings none.
	Deadline time.Duration
	// LongestRun is how long work may still run after it was given up on.
	LongestRun time.Duration
	// Availability is the share of requests to be served, such as 0.999.
	Availability float64
	Pool         string
	// Revision is the one that last changed the entry.
	Revision uint64
}

// Admits reports whether the team may use the entry: its owner, a team in its
// shares, or any team when it is open.
func (e Entry) Admits(team string) bool {
	if e.Open || team == e.Team {
		return true
	}
	_, listed := e.Shares[team]
	return listed
}
