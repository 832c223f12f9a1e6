package share

import (
	"cmp"
	"time"
)

// Config constructs a Scheduler. Zero values take the defaults below.
type Config struct {
	// Entry is this entry's name, unique in the fleet.
	Entry string
	// Weights gives each team's share; a missing team counts as 1.
	Weights map[string]float64
	// Capacity is the service's slots at healthy endpoints, fleet-wide.
	Capacity int
	// QueueLimit bounds the queued tickets of one flow at this entry.
	QueueLimit int
	// ExpectedDuration stands for the run time until one is measured.
	ExpectedDuration time.Duration
	// PeerTimeout is the silence after which a peer's demand is dropped.
	PeerTimeout time.Duration
	// MaxRetryAfter caps RetryAfter, also for a flow that gets no slots.
	MaxRetryAfter time.Duration
}

// Defaults of Config.
const (
	DefaultQueueLimit       = 256
	DefaultExpectedDuration = 100 * time.Millisecond
	DefaultPeerTimeout      = time.Second
	DefaultMaxRetryAfter    = 30 * time.Second
)

const (
	minRetryAfter     = 10 * time.Millisecond
	minRecompute      = 2 * time.Millisecond
	creditLimit       = 500 * time.Millisecond
	quotaSmoothing    = 2 * time.Second
	durationSmoothing = 16 // samples
	debtLimit         = 1  // slot-seconds
)

func (c *Config) setDefaults() {
	c.QueueLimit = cmp.Or(c.QueueLimit, DefaultQueueLimit)
	c.ExpectedDuration = cmp.Or(c.ExpectedDuration, DefaultExpectedDuration)
	c.PeerTimeout = cmp.Or(c.PeerTimeout, DefaultPeerTimeout)
	c.MaxRetryAfter = cmp.Or(c.MaxRetryAfter, DefaultMaxRetryAfter)
}
