package catalogue

import "time"

// Kind distinguishes services from queues.
type Kind string

// The kinds of entries.
const (
	KindService Kind = "service"
	KindQueue   Kind = "queue"
)

// Class is a priority class. It takes precedence over shares.
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
	// Open admits work without a key. Only queues can be open.
	Open bool
	// Shares holds the weight of each team that may use the entry. It always
	// includes the owner.
	Shares map[string]int
	// Limit bounds the entry's concurrently running work; 0 means no bound.
	Limit int
	// MaxBody bounds a request's body, in bytes.
	MaxBody int64
	// Deadline is the default for requests that don't set one.
	Deadline time.Duration
	// LongestRun bounds how long work can run, also after its caller has
	// stopped waiting.
	LongestRun time.Duration
	// Availability is the target fraction of requests served, such as 0.999.
	Availability float64
	Pool         string
	// Revision is the configuration revision that last changed the entry.
	Revision uint64
}

// Admits reports whether the team may use the entry: the owner, the teams in
// its shares and, if it is open, any team.
func (e Entry) Admits(team string) bool {
	if e.Open || team == e.Team {
		return true
	}
	_, listed := e.Shares[team]
	return listed
}
