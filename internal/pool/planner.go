package pool

import (
	"cmp"
	"math"
	"time"
)

// Reason is the reason for a move.
type Reason string

// Reasons for a move, the most urgent first.
const (
	// ReasonMinimum: the pool has fewer hosts than its availability budget
	// requires.
	ReasonMinimum Reason = "below-minimum"
	// ReasonLoad: the observed load and backlog exceed the pool's capacity.
	ReasonLoad Reason = "load"
	// ReasonForecast: a burst is expected by the time the host arrives.
	ReasonForecast Reason = "forecast"
	// ReasonMaintenance: the pool gets a spare host so that its maintenance wave
	// finishes sooner.
	ReasonMaintenance Reason = "maintenance"
	// ReasonSurplus: the host was not needed for the hold time and returns to
	// the spare pool.
	ReasonSurplus Reason = "surplus"
)

// PlannedMove is a move to start.
type PlannedMove struct {
	Host   string `json:"host"`
	From   string `json:"from"`
	To     string `json:"to"`
	Reason Reason `json:"reason"`
}

// Status describes a pool's capacity and forecast, for dumps.
type Status struct {
	Name     string `json:"name"`
	Serving  int    `json:"serving"`
	Incoming int    `json:"incoming"`
	// Need is the number of hosts required for the current load, and at least
	// the pool's minimum.
	Need     int       `json:"need"`
	Bursting bool      `json:"bursting"`
	Forecast *Forecast `json:"forecast,omitempty"`
	// Short is set if the pool is below its minimum and no host was available.
	Short bool `json:"short,omitempty"`
}

// Plan is the result of Planner.Step.
type Plan struct {
	Moves []PlannedMove `json:"moves,omitempty"`
	Pools []Status      `json:"pools"`
	// Stale means that the observed loads were too old to act on, so that only
	// moves to restore minimums start.
	Stale bool `json:"stale,omitempty"`
}

// Weights are the relative weights of the planner's objectives in a deployment.
// Only their ratios matter. All zero means equal weights.
type Weights struct {
	BufferCost, Moves, ShareNearness, RollOutTime float64
}

// normalise returns the weights scaled to a mean of one.
func (w Weights) normalise() Weights {
	sum := w.BufferCost + w.Moves + w.ShareNearness + w.RollOutTime
	if sum <= 0 {
		return Weights{1, 1, 1, 1}
	}
	f := 4 / sum
	return Weights{w.BufferCost * f, w.Moves * f, w.ShareNearness * f, w.RollOutTime * f}
}

// Costs in idle time of one host, at equal weights.
const (
	// moveCost is the idle time that costs as much as one move.
	moveCost = 30 * time.Second
	// lateCost is the idle seconds that cost as much as one second of late work.
	lateCost = 20
	// lendingValue is the value of the first host lent to a wave.
	lendingValue = 2 * moveCost
	// minWeight prevents a division by zero when a weight is zero.
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

// PlannerConfig configures a Planner. Zero values take the defaults.
type PlannerConfig struct {
	// Spare is the name of the spare pool.
	Spare   string
	Weights Weights
	// Utilisation is the target utilisation of a host, 0 to 1.
	Utilisation float64
	// Lag is the delay of observed loads.
	Lag time.Duration
	// StaleAfter is the age from which observed loads are not acted on.
	StaleAfter time.Duration
	// BurstLength is the assumed length of a burst before any was observed.
	BurstLength time.Duration
	// MaxWait is how long work may wait before it is late. It allows a pool
	// with fewer hosts than the load requires to absorb a short burst.
	MaxWait time.Duration
	// History holds the bursts that an earlier planner observed, if any.
	History History
}

// Planner decides which hosts to move between pools and the spare pool. It
// starts a move if the late work that the move prevents outweighs the cost of
// the move and of idle hosts. It is not safe for concurrent use.
type Planner struct {
	config       PlannerConfig
	weights      Weights
	burstPattern *burstPattern
	// recentNeeds holds the needs of each pool within the hold time.
	recentNeeds map[string][]needSample
}

// needSample is the number of hosts that a pool needed at a time.
type needSample struct {
	at    time.Time
	hosts int
}

// NewPlanner returns a planner that starts from the configured history.
func NewPlanner(config PlannerConfig) *Planner {
	config.Utilisation = cmp.Or(config.Utilisation, DefaultUtilisation)
	config.Lag = cmp.Or(config.Lag, DefaultLag)
	config.StaleAfter = cmp.Or(config.StaleAfter, DefaultStaleAfter)
	config.BurstLength = cmp.Or(config.BurstLength, DefaultBurstLength)
	config.MaxWait = cmp.Or(config.MaxWait, DefaultMaxWait)
	p := &Planner{
		config: config, weights: config.Weights.normalise(),
		burstPattern: newBurstPattern(), recentNeeds: make(map[string][]needSample),
	}
	p.burstPattern.restore(config.History)
	return p
}

// Step processes the newest observations and returns the moves to start now.
func (p *Planner) Step(now time.Time, view View) Plan {
	s := &step{planner: p, now: now, view: view, members: groupByPool(view, p.config.Spare)}
	s.plan.Stale = now.Sub(view.Observed) > p.config.StaleAfter
	for _, pool := range view.Pools {
		s.record(pool)
	}
	s.forecasts = p.burstPattern.forecast(now, p.config.Lag)
	s.fillMinimums()
	if !s.plan.Stale {
		s.fillByValue()
		s.releaseSurplus()
	}
	s.addPoolStatuses()
	return s.plan
}

// holdTime returns how long a host stays in a pool that does not need it: until
// its idle time has cost as much as a move. The resulting cost is at most twice
// that of the best choice with knowledge of the future.
func (p *Planner) holdTime() time.Duration {
	return time.Duration(float64(moveCost) * p.weights.Moves / max(minWeight, p.weights.BufferCost))
}

// moveValue returns the cost of a move in idle seconds of a host.
func (p *Planner) moveValue() float64 {
	return p.weights.Moves * moveCost.Seconds()
}

// lateValue returns the cost of one second of late work in idle seconds of a
// host. It grows with the weight of share nearness, because teams miss their
// shares when their work waits.
func (p *Planner) lateValue() float64 {
	return lateCost * (1 + p.weights.ShareNearness) / 2
}

// need returns the number of hosts required for a load.
func (p *Planner) need(load float64) int {
	return int(math.Ceil(load / p.config.Utilisation))
}
