package pool

import (
	"cmp"
	"math"
	"time"
)

// Reason says why a move starts.
type Reason string

// Reasons of a move, the most pressing first.
const (
	// ReasonMinimum: the pool has fewer hosts than its availability budget asks.
	ReasonMinimum Reason = "below-minimum"
	// ReasonLoad: observed load and backlog exceed the pool.
	ReasonLoad Reason = "load"
	// ReasonForecast: a burst is expected by the time the host arrives.
	ReasonForecast Reason = "forecast"
	// ReasonMaintenance: hosts are lent so that a wave goes on faster.
	ReasonMaintenance Reason = "maintenance"
	// ReasonSurplus: the host was not needed for long and goes to the spare pool.
	ReasonSurplus Reason = "surplus"
)

// PlannedMove is one move to start.
type PlannedMove struct {
	Host   string `json:"host"`
	From   string `json:"from"`
	To     string `json:"to"`
	Reason Reason `json:"reason"`
}

// Standing is how the planner sees a pool, for dumps.
type Status struct {
	Name     string `json:"name"`
	Serving  int    `json:"serving"`
	Incoming int    `json:"incoming"`
	// Need is the number of hosts that load and backlog ask for now.
	Need     int       `json:"need"`
	Bursting bool      `json:"bursting"`
	Forecast *Forecast `json:"forecast,omitempty"`
	// Short pools are below their minimum and no host could be found.
	Short bool `json:"short,omitempty"`
}

// Plan is the outcome of one step.
type Plan struct {
	Moves []PlannedMove `json:"moves,omitempty"`
	Pools []Status      `json:"pools"`
	// Stale means that the loads were too old to act upon: only moves for
	// minimums start.
	Stale bool `json:"stale,omitempty"`
}

// Weights say how much a deployment cares about each measure; only their
// ratios matter. All zero means all equal.
type Weights struct {
	BufferCost, Moves, ShareNearness, RollOutTime float64
}

// normal scales the weights to a mean of one.
func (w Weights) normal() Weights {
	sum := w.BufferCost + w.Moves + w.ShareNearness + w.RollOutTime
	if sum <= 0 {
		return Weights{1, 1, 1, 1}
	}
	f := 4 / sum
	return Weights{w.BufferCost * f, w.Moves * f, w.ShareNearness * f, w.RollOutTime * f}
}

// Exchange rates between the measures at equal weights.
const (
	// moveCost is the idle time of one host that is as bad as a move.
	moveCost = 30 * time.Second
	// lateCost is the idle time that is as bad as the same time of late work.
	lateCost = 20
	// lentValue is the idle time that the first host lent to a wave is worth.
	lentValue = 2 * moveCost
	// minWeight keeps a measure that counts for nothing from dividing by zero.
	minWeight = 0.05
)

// Defaults of PlannerConfig.
const (
	DefaultUtilisation = 0.9
	DefaultLag         = time.Second
	DefaultStaleAfter  = 10 * time.Second
	DefaultBurstLength = 15 * time.Second
	DefaultMaxWait     = time.Second
)

// PlannerConfig constructs a Planner; zero values take the defaults.
type PlannerConfig struct {
	// Spare is the name of the spare pool.
	Spare   string
	Weights Weights
	// Utilisation is the part of a host that load may fill, 0 to 1.
	Utilisation float64
	// Lag is how far observed loads are behind.
	Lag time.Duration
	// StaleAfter is the age of loads that are no longer acted upon.
	StaleAfter time.Duration
	// FirstBurst is the length that is assumed of bursts before one was seen.
	BurstLength time.Duration
	// Patience is how long work may wait before it is late. It lets a pool with
	// fewer hosts than the load asks for carry a short burst.
	MaxWait time.Duration
	// Memory is what an earlier planner has learnt, empty for none.
	History History
}

// Planner decides which hosts to move between pools and the spare pool. Each
// move is weighed: the late work that it saves against the cost of the move
// and of idle hosts. It is not safe for concurrent use.
type Planner struct {
	config  PlannerConfig
	weights Weights
	rhythm  *rhythm
	// needed holds each pool's needs within the hold time.
	needed map[string][]neededAt
}

// neededAt is a pool's need at a time.
type neededAt struct {
	at    time.Time
	hosts int
}

// NewPlanner returns a planner that has observed nothing.
func NewPlanner(config PlannerConfig) *Planner {
	config.Utilisation = cmp.Or(config.Utilisation, DefaultUtilisation)
	config.Lag = cmp.Or(config.Lag, DefaultLag)
	config.StaleAfter = cmp.Or(config.StaleAfter, DefaultStaleAfter)
	config.BurstLength = cmp.Or(config.BurstLength, DefaultBurstLength)
	config.MaxWait = cmp.Or(config.MaxWait, DefaultMaxWait)
	p := &Planner{
		config: config, weights: config.Weights.normal(),
		rhythm: newRhythm(), needed: make(map[string][]neededAt),
	}
	p.rhythm.recall(config.History)
	return p
}

// Step takes the newest observation and returns the moves to start now.
func (p *Planner) Step(now time.Time, view View) Plan {
	s := &step{planner: p, now: now, view: view, members: group(view, p.config.Spare)}
	s.plan.Stale = now.Sub(view.Observed) > p.config.StaleAfter
	for _, pool := range view.Pools {
		s.take(pool)
	}
	s.forecasts = p.rhythm.forecast(now, p.config.Lag)
	s.fillMinimums()
	if !s.plan.Stale {
		s.fillByValue()
		s.release()
	}
	s.describe()
	return s.plan
}

// hold is how long a host stays in a pool that does not need it: until its
// idle time has cost as much as a move, which is at most twice the cost of the
// best choice with knowledge of the future.
func (p *Planner) hold() time.Duration {
	return time.Duration(float64(moveCost) * p.weights.Moves / max(minWeight, p.weights.BufferCost))
}

// moveValue is the cost of a move in idle seconds of a host.
func (p *Planner) moveValue() float64 {
	return p.weights.Moves * moveCost.Seconds()
}

// lateValue is the cost of one second of late work in idle seconds of a host.
// Work that waits is what keeps teams from their shares.
func (p *Planner) lateValue() float64 {
	return lateCost * (1 + p.weights.ShareNearness) / 2
}

// need is the number of hosts for a load.
func (p *Planner) need(load float64) int {
	return int(math.Ceil(load / p.config.Utilisation))
}
