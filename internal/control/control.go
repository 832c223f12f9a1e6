package control

import (
	"context"
	"sync"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// Endpoints gives orders to endpoints.
type Endpoints interface {
	Start(ctx context.Context, to fleet.EndpointAddress, token uint64, start fleet.Start) fleet.Reply
	Stop(ctx context.Context, to fleet.EndpointAddress, token uint64, stop fleet.Stop) fleet.Reply
	Throttle(ctx context.Context, to fleet.EndpointAddress, token uint64, pace fleet.Throttle) fleet.Reply
	RenewLease(ctx context.Context, to fleet.EndpointAddress, token uint64, hold fleet.LeaseRenewal) (fleet.Report, fleet.Reply)
}

// EndpointList is the platform's list of endpoints.
type EndpointList interface {
	All(ctx context.Context) (endpoints []fleet.EndpointRow, version uint64, err error)
	Changes(ctx context.Context, after uint64, wait time.Duration) (listed []fleet.EndpointRow, gone []fleet.EndpointID, next uint64, err error)
}

// Hosts is the platform's host interface.
type Hosts interface {
	List(ctx context.Context) ([]fleet.Host, error)
	Move(ctx context.Context, token uint64, host fleet.HostID, pool string) fleet.ChangeOutcome
	StartMaintenance(ctx context.Context, token uint64, host fleet.HostID, wave int64) fleet.ChangeOutcome
}

// Advice names the endpoints that may run a step.
type Advice interface {
	Ask(ctx context.Context, ask fleet.AdviceRequest) (fleet.AdviceGrant, error)
}

// Feed tells of changed rows.
type Feed interface {
	ScanAt(ctx context.Context, prefix string) ([]table.Row, uint64, error)
	Follow(ctx context.Context, tableName string, after uint64, wait time.Duration) ([]table.Change, uint64, error)
}

// WaveStatus names and encodes the row in which operators read a wave's state.
type WaveStatus interface {
	Key(wave int64) string
	Encode(wave int64, complete bool) []byte
}

// Journal takes decisions.
type Journal interface {
	Info(event string, fields ...any)
}

// Config is what a Control is built from.
type Config struct {
	Store        table.Store
	Feed         Feed
	Endpoints    Endpoints
	EndpointList EndpointList
	Hosts        Hosts
	// Advice may be nil.
	Advice     Advice
	WaveStatus WaveStatus
	Bounds     fleet.Bounds
	Journal    Journal
	// Lost is called when a leadership turns out to be over.
	Lost func(token uint64, why string)
	// Followed returns when most of the other processes last said that we lead.
	MajorityConfirmedAt func() time.Time
	// StoreAnswered is told how each call of the feeds ended.
	ObserveStore func(err error)
}

// Control is the fleet's part of a process, which may or may not lead.
type Control struct {
	config Config

	mu     sync.Mutex
	policy *policy.Policy
	waves  map[int64]fleet.WaveRow
	reign  *reign
	reigns chan *reign
}

// New returns a part that does not lead.
func New(config Config) *Control {
	return &Control{config: config, waves: map[int64]fleet.WaveRow{}, reigns: make(chan *reign, 1)}
}

// Lead starts a leadership that ends with ctx.
func (c *Control) Lead(ctx context.Context, claim record.Claim, version uint64) {
	r := newReign(ctx, c, claim, version)
	select {
	case c.reigns <- r:
	default:
		// Two leaderships at once: the older one has ended, and Run is about to see it.
		c.config.Lost(claim.Token, "the process is still ending an earlier leadership")
	}
}

// Run carries out leaderships one after the other until ctx ends.
func (c *Control) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-c.reigns:
			c.mu.Lock()
			c.reign = r
			c.mu.Unlock()
			r.run()
			c.mu.Lock()
			c.reign = nil
			c.mu.Unlock()
		}
	}
}

// SetPolicy puts a configuration in force.
func (c *Control) SetPolicy(current *policy.Policy) {
	c.mu.Lock()
	c.policy = current
	r := c.reign
	c.mu.Unlock()
	if r != nil {
		r.setPolicy(current)
	}
}

// SetWave takes a wave of upkeep.
func (c *Control) SetWave(wave fleet.WaveRow) {
	c.mu.Lock()
	c.waves[wave.Number] = wave
	r := c.reign
	c.mu.Unlock()
	if r != nil {
		r.setWave(wave)
	}
}

// current returns the leadership if it knows all jobs.
func (c *Control) current() *reign {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reign == nil || !c.reign.isLoaded() {
		return nil
	}
	return c.reign
}

// Leading implements member.Fleet.
func (c *Control) Leading() bool {
	return c.current() != nil
}

// Accept implements member.Fleet.
func (c *Control) Accept(submissions [][]byte) bool {
	r := c.current()
	if r == nil {
		return false
	}
	for _, value := range submissions {
		submission, err := job.DecodeSubmission(value)
		if err != nil {
			c.config.Journal.Info("job not readable", "error", err.Error())
			continue
		}
		r.accept(submission)
	}
	return true
}

// Cancel implements member.Fleet.
func (c *Control) Cancel(id job.ID) bool {
	r := c.current()
	if r == nil {
		return false
	}
	r.cancelled(id)
	return true
}

// State implements member.Fleet.
func (c *Control) State(id job.ID) (job.State, bool) {
	r := c.current()
	if r == nil {
		return "", false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader.StateOf(id)
}

// Largest returns the most that one host has of each resource, or zeros
// while this process does not lead.
func (c *Control) MaxHostResources() policy.Resources {
	r := c.current()
	if r == nil {
		return policy.Resources{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader.Largest()
}

// Waiting implements member.Fleet.
func (c *Control) Waiting() map[string]int {
	r := c.current()
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader.Waiting()
}

// Dump returns the leader's state for operators, or nil if this process does not lead.
func (c *Control) Dump() any {
	r := c.current()
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader.Dump()
}
