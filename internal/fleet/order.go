package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

// Start orders an endpoint to start a run.
type Start struct {
	Endpoint EndpointID
	Task     job.Task
	Run      int64
	Spec     string
	// Lease is when the endpoint's lease expires, on the endpoint's clock.
	Lease time.Duration
	// Checkpoint is the checkpoint to resume from, or "".
	Checkpoint string
	// Ticket is the advice service's ticket, or "".
	Ticket string
	// DataCentre is the endpoint's data centre, or "" if it is not known.
	DataCentre string
	// IsGangMember is true if the others of a gang wait for the run: up to GangStartsPerEndpoint such
	// starts are sent to an endpoint at the same time.
	IsGangMember bool
	// incarnation is the start time of the endpoint's incarnation that was known when the start was
	// ordered, and clock the lowest reading that its clock could have then.
	incarnation time.Time
	clock       time.Duration
}

// Stop orders an endpoint to end a run, or prevents the run if it has not started.
type Stop struct {
	Endpoint EndpointID
	Task     job.Task
	Run      int64
	// incarnation is the start time of the endpoint's incarnation that was known when the
	// stop was ordered.
	incarnation time.Time
}

// Throttle limits the speed of a run to a percentage of full speed.
type Throttle struct {
	Endpoint EndpointID
	Task     job.Task
	Run      int64
	Percent  int
}

// LeaseRenewal renews an endpoint's lease and requests a report.
type LeaseRenewal struct {
	// Lease is the expiry on the endpoint's clock, or 0 if the lease is not to be extended.
	Lease     time.Duration
	AckedUpTo int64
	// Wait is how long the endpoint may wait for a completion before it reports.
	Wait time.Duration
	// IsQuestion is true if the endpoint is presumed ended, and taken for ended without an
	// answer: it is asked by the leader itself, on a new connection.
	IsQuestion bool
}

// AdviceRequest asks the advice service which endpoints may run a step.
type AdviceRequest struct {
	Job       job.ID
	Step      job.StepKey
	Endpoints []EndpointID
}

// AdviceGrant is the advice service's answer.
type AdviceGrant struct {
	Tickets        map[EndpointID]string
	TicketLifetime time.Duration
}

// Move orders the move of a host to another pool.
type Move struct {
	Host HostID
	Pool string
}

// MaintenanceOrder takes a host down for its part of a wave.
type MaintenanceOrder struct {
	Host HostID
	Wave int64
}

// Orders holds the decisions of a Step.
type Orders struct {
	Starts         []Start
	Stops          []Stop
	Throttles      []Throttle
	AdviceRequests []AdviceRequest
	Moves          []Move
	Maintenance    []MaintenanceOrder
	// Lookups lists jobs to read from the store; pass the results to HandleLookup.
	Lookups []job.ID
}
