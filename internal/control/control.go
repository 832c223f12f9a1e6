package control

import (
	"context"
	"sync"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/evacuation"
	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// Endpoints sends orders and lease renewals to endpoints.
type Endpoints interface {
	Start(ctx context.Context, to fleet.EndpointAddress, token uint64, start fleet.Start) fleet.Reply
	Stop(ctx context.Context, to fleet.EndpointAddress, token uint64, stop fleet.Stop) fleet.Reply
	Throttle(ctx context.Context, to fleet.EndpointAddress, token uint64, throttle fleet.Throttle) fleet.Reply
	RenewLease(ctx context.Context, to fleet.EndpointAddress, token uint64, renewal fleet.LeaseRenewal) (fleet.Report, fleet.Reply)
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

// Advice requests tickets for a step's endpoints from the advice service.
type Advice interface {
	Request(ctx context.Context, request fleet.AdviceRequest) (fleet.AdviceGrant, error)
}

// Feed reads tables and follows their changes.
type Feed interface {
	ScanAt(ctx context.Context, prefix string) ([]table.Row, uint64, error)
	Follow(ctx context.Context, tableName string, after uint64, wait time.Duration) ([]table.Change, uint64, error)
}

// WaveStatus encodes the row in which operators read a maintenance wave's state.
type WaveStatus interface {
	Key(wave int64) string
	Encode(wave int64, complete bool) []byte
}

// EvacuationHolder is this process's copy of the set of evacuated data centres.
type EvacuationHolder interface {
	Current() evacuation.Set
	// Update puts a set in force if it is newer.
	Update(set evacuation.Set, source string) bool
}

// EvacuationRows decodes the operators' evacuation requests.
type EvacuationRows interface {
	Prefix() string
	Decode(rows []table.Row, version uint64) evacuation.Set
}

// Journal logs events, at level error those that an operator has to mend.
type Journal interface {
	Info(event string, fields ...any)
	Error(event string, fields ...any)
}

// Config configures a Control.
type Config struct {
	Store     table.Store
	Feed      Feed
	Endpoints Endpoints
	// OrdersPerEndpoint returns how many orders to one endpoint may be sent at the same time; nil
	// means a few.
	OrdersPerEndpoint func() int
	EndpointList      EndpointList
	Hosts             Hosts
	// Advice may be nil.
	Advice     Advice
	WaveStatus WaveStatus
	Bounds     fleet.Bounds
	// DeadlineOrder is passed to the leader.
	DeadlineOrder bool
	Journal       Journal
	// Lost is called when the leadership with this token is found to be over.
	Lost func(token uint64, reason string)
	// MajorityConfirmedAt returns when a majority of the processes last
	// confirmed this process as leader.
	MajorityConfirmedAt func() time.Time
	// ObserveStore is called with the result of each call of the feeds.
	ObserveStore func(err error)
	// StoreReachableSince returns since when the store has answered this process, apart from
	// brief failures, or zero if it always has.
	StoreReachableSince func() time.Time
	// Evacuations is the set that the leader follows; nil means that it starts empty.
	Evacuations EvacuationHolder
	// EvacuationRows decodes the rows that a new leader reads; nil means that there are none.
	EvacuationRows EvacuationRows
	// RowBytes is the store's maximum row size, or 0 if it is not known.
	RowBytes int
	// RowFormat returns the newest form of rows that all processes read; nil means job.RowJSON.
	RowFormat func() job.RowFormat
}

// ordersPerEndpoint returns how many orders to one endpoint may be sent at the same time.
func (c *Config) ordersPerEndpoint() int {
	if c.OrdersPerEndpoint == nil {
		return sendersPerEndpoint
	}
	return c.OrdersPerEndpoint()
}

// Control runs the fleet's leader in a process while that process leads.
type Control struct {
	config Config

	mu     sync.Mutex
	policy *policy.Policy
	waves  map[int64]fleet.WaveRow
	term   *term
	terms  chan *term
}

// New returns a Control that does not lead yet.
func New(config Config) *Control {
	if config.Evacuations == nil {
		config.Evacuations = evacuation.New(evacuation.Config{Journal: config.Journal})
	}
	if config.RowFormat == nil {
		config.RowFormat = func() job.RowFormat { return job.RowJSON }
	}
	return &Control{config: config, waves: map[int64]fleet.WaveRow{}, terms: make(chan *term, 1)}
}

// Lead starts a leadership term that ends with ctx.
func (c *Control) Lead(ctx context.Context, claim record.Claim, version uint64) {
	t := newTerm(ctx, c, claim, version)
	select {
	case c.terms <- t:
	default:
		// The previous term has ended, but Run has not finished it yet.
		c.config.Lost(claim.Token, "the process is still ending its previous term")
	}
}

// Run executes leadership terms one after the other until ctx ends.
func (c *Control) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-c.terms:
			c.mu.Lock()
			c.term = t
			c.mu.Unlock()
			t.run()
			c.mu.Lock()
			c.term = nil
			c.mu.Unlock()
		}
	}
}

// SetPolicy applies a new configuration.
func (c *Control) SetPolicy(current *policy.Policy) {
	c.mu.Lock()
	c.policy = current
	t := c.term
	c.mu.Unlock()
	if t != nil {
		t.setPolicy(current)
	}
}

// SetWave adds or updates a maintenance wave.
func (c *Control) SetWave(wave fleet.WaveRow) {
	c.mu.Lock()
	c.waves[wave.Number] = wave
	t := c.term
	c.mu.Unlock()
	if t != nil {
		t.setWave(wave)
	}
}

// EvacuationsChanged tells that the set of evacuated data centres differs from the one before. It
// does not wait for the leader's decisions, since sets come with hellos.
func (c *Control) EvacuationsChanged() {
	c.mu.Lock()
	t := c.term
	c.mu.Unlock()
	if t != nil {
		t.requestStep()
	}
}

// current returns the running term once it has loaded all jobs, else nil.
func (c *Control) current() *term {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term == nil || !c.term.isLoaded() {
		return nil
	}
	return c.term
}

// Leading implements member.Fleet.
func (c *Control) Leading() bool {
	return c.current() != nil
}

// Accept implements member.Fleet.
func (c *Control) Accept(submissions [][]byte) bool {
	t := c.current()
	if t == nil {
		return false
	}
	for _, value := range submissions {
		submission, err := job.DecodeSubmission(value)
		if err != nil {
			c.config.Journal.Info("submitted job cannot be decoded", "error", err.Error())
			continue
		}
		t.accept(submission)
	}
	return true
}

// Cancel implements member.Fleet.
func (c *Control) Cancel(id job.ID) bool {
	t := c.current()
	if t == nil {
		return false
	}
	t.cancel(id)
	return true
}

// State implements member.Fleet.
func (c *Control) State(id job.ID) (job.State, bool) {
	t := c.current()
	if t == nil {
		return "", false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leader.StateOf(id)
}

// MaxHostResources returns, per resource, the largest amount that a single host
// has, or zeros while this process does not lead.
func (c *Control) MaxHostResources() policy.Resources {
	t := c.current()
	if t == nil {
		return policy.Resources{}
	}
	return *t.maxHostResources.Load()
}

// HostSizes returns the sizes of all hosts, or nil while they are not known or this process does not lead.
func (c *Control) HostSizes() []fleet.HostSize {
	t := c.current()
	if t == nil {
		return nil
	}
	return *t.hostSizes.Load()
}

// Outlook implements member.Fleet.
func (c *Control) Outlook() []byte {
	t := c.current()
	if t == nil {
		return nil
	}
	return *t.outlook.Load()
}

// EndpointCount returns how many endpoints the leader has, also while it still reads
// the jobs, or 0 while this process does not lead.
func (c *Control) EndpointCount() int {
	c.mu.Lock()
	t := c.term
	c.mu.Unlock()
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leader.EndpointCount()
}

// Waiting implements member.Fleet.
func (c *Control) Waiting() map[string]int {
	t := c.current()
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leader.Waiting()
}

// Dump returns the leader's state for the operators' state dump, or nil if this
// process does not lead.
func (c *Control) Dump() any {
	t := c.current()
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leader.Dump(time.Now())
}
