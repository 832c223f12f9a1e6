package share

import (
	"cmp"
	"time"
)

// Config configures a Scheduler. Zero values take the defaults below.
type Config struct {
	// Entry is the name of this entry, unique in the fleet.
	Entry string
	// Weights holds the weight of each team. The default is 1.
	Weights map[string]float64
	// Capacity is the number of the service's slots at healthy endpoints,
	// fleet-wide.
	Capacity int
	// QueueLimit is the maximum number of queued tickets of a flow at this entry.
	QueueLimit int
	// ExpectedDuration is the assumed run time until one is measured.
	ExpectedDuration time.Duration
	// PeerTimeout is the time after which the demand of a silent peer is dropped.
	PeerTimeout time.Duration
	// MaxRetryAfter limits RetryAfter, also for a flow that gets no slots.
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
	minDivideInterval = 2 * time.Millisecond
	maxCredit         = 500 * time.Millisecond
	quotaTimeConstant = 2 * time.Second
	durationSamples   = 16 // runs in the moving average of run times
	maxDebt           = 1  // slot-seconds
)

func (c *Config) setDefaults() {
	c.QueueLimit = cmp.Or(c.QueueLimit, DefaultQueueLimit)
	c.ExpectedDuration = cmp.Or(c.ExpectedDuration, DefaultExpectedDuration)
	c.PeerTimeout = cmp.Or(c.PeerTimeout, DefaultPeerTimeout)
	c.MaxRetryAfter = cmp.Or(c.MaxRetryAfter, DefaultMaxRetryAfter)
}
