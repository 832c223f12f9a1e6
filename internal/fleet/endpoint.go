package fleet

import (
	"net/netip"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// EndpointID names one incarnation of an endpoint, unless the endpoint starts again under
// the ID that it had: then Born tells the two apart.
type EndpointID string

// EndpointRow is what an endpoint says of itself in the platform's list.
type EndpointRow struct {
	ID      EndpointID
	Address netip.AddrPort
	// Born is when this life of the endpoint began.
	StartedAt time.Time
	Pool      string
	// DataCentre is where the endpoint is.
	DataCentre string
	// Host is the host that the endpoint runs on; it may be unknown.
	Host     string
	Capacity policy.Resources
	// Labels holds the endpoint's kind and its rack.
	Labels   []string
	Draining bool
	// Leaves is the least time that a draining endpoint has left, or 0.
	MinTimeLeft time.Duration
	// Cold is how much longer the endpoint is slow after its start.
	WarmUp time.Duration
}

// EndpointAddress is where an endpoint is, and which incarnation is meant.
type EndpointAddress struct {
	ID      EndpointID
	Address netip.AddrPort
}

// RunningTask is a run that an endpoint reports.
type RunningTask struct {
	Task job.Task
	Run  int64
	// Saved is the newest checkpoint, or "".
	Checkpoint string
	// Share is the part of full speed, in percent, at which the run works. It
	// is 100 when the task is at work.
	SpeedPercent int
	// Tail is the tail of a serving task's response times over the last half
	// second; for any other task it holds no meaning.
	TailLatency time.Duration
	// CPU is the processor in use, in thousandths of a core, of a task that does not serve.
	CPU int64
}

// EndKind tells how a run ended.
type CompletionKind string

// Kinds of ends.
const (
	CompletionDone    CompletionKind = "done"
	CompletionFailed  CompletionKind = "failed"
	CompletionStopped CompletionKind = "stopped"
	// EndLapsed runs were killed when the endpoint's lease ran out.
	CompletionLeaseExpired CompletionKind = "lapsed"
	// EndBroken runs ended since another member of their gang did.
	CompletionGangBroken CompletionKind = "broken"
	// EndAlone runs waited in vain for the other members of their gang.
	CompletionGangIncomplete CompletionKind = "alone"
)

// EndedTask is an end that an endpoint reports until it is acknowledged.
type Completion struct {
	// Number counts the ends of one life of an endpoint, from 1.
	Number     int64
	Task       job.Task
	Run        int64
	Kind       CompletionKind
	Checkpoint string
}

// Look is an endpoint's report of what runs on it and what has ended.
type Report struct {
	// Clock is the endpoint's own steady clock.
	Clock time.Duration
	// Born is when this life of the endpoint began.
	StartedAt   time.Time
	Running     []RunningTask
	Completions []Completion
}

// OrderOutcome is an endpoint's answer to an order.
type OrderOutcome string

// Outcomes of orders to endpoints.
const (
	// OrderTaken orders were carried out, now or before.
	OrderAccepted OrderOutcome = "taken"
	// OrderFenced orders came from a leader that has a successor.
	OrderFenced OrderOutcome = "fenced"
	// OrderOld starts have a run that is not above one that ended there.
	OrderStaleRun OrderOutcome = "old"
	// OrderLate starts came after their lease had run out.
	OrderLeaseExpired OrderOutcome = "late"
	// OrderNoRoom starts do not fit the endpoint.
	OrderNoCapacity OrderOutcome = "no-room"
	// OrderTicket starts had no valid ticket.
	OrderInvalidTicket OrderOutcome = "ticket"
	// OrderMalformed orders were not understood.
	OrderMalformed OrderOutcome = "malformed"
	// OrderUnhealthy orders met an endpoint that does nothing now.
	OrderUnhealthy OrderOutcome = "unhealthy"
	// OrderOtherLife orders met a later life of the endpoint.
	OrderOtherIncarnation OrderOutcome = "other-life"
	// OrderUnsent orders cannot have reached the endpoint.
	OrderNotSent OrderOutcome = "unsent"
	// OrderUnknown orders got no answer: they may have been carried out, or may
	// still be, seconds later.
	OrderUnknown OrderOutcome = "unknown"
)

// Reply is an endpoint's answer to an order.
type Reply struct {
	Outcome OrderOutcome
	// Clock is the endpoint's own steady clock, or 0 if the answer does not tell.
	Clock time.Duration
}
