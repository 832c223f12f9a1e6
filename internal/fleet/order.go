package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

// Start orders a run.
type Start struct {
	Endpoint EndpointID
	Task     job.Task
	Run      int64
	Spec     string
	// Lease ends what runs on the endpoint; it is a time on the endpoint's clock.
	Lease time.Duration
	// Saved is the checkpoint to resume from, or "".
	Checkpoint string
	// Ticket is the advice service's, or "".
	Ticket string
}

// Stop ends a run, or prevents it if it has not begun.
type Stop struct {
	Endpoint EndpointID
	Task     job.Task
	Run      int64
}

// Pace lets a run work at a share of its speed.
type Throttle struct {
	Endpoint EndpointID
	Task     job.Task
	Run      int64
	Percent  int
}

// Hold is what a look at an endpoint carries.
type LeaseRenewal struct {
	// Lease is a time on the endpoint's clock, or 0 while the clock is not known.
	Lease     time.Duration
	AckedUpTo int64
	// Wait is how long the endpoint may wait for an end before it answers.
	Wait time.Duration
}

// Ask asks the advice service which endpoints may run a step.
type AdviceRequest struct {
	Job       job.ID
	Step      job.StepKey
	Endpoints []EndpointID
}

// Granted is the advice service's answer.
type AdviceGrant struct {
	Tickets        map[EndpointID]string
	TicketLifetime time.Duration
}

// Move takes a host to another pool.
type Move struct {
	Host HostID
	Pool string
}

// Upkeep takes a host down for its part of a wave.
type MaintenanceOrder struct {
	Host HostID
	Wave int64
}

// Orders is what Step decided.
type Orders struct {
	Starts         []Start
	Stops          []Stop
	Throttles      []Throttle
	AdviceRequests []AdviceRequest
	Moves          []Move
	Maintenance    []MaintenanceOrder
	// Lookups lists jobs whose rows are to be read; Found takes the answers.
	Lookups []job.ID
}
