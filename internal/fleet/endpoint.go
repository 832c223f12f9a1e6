package fleet

import (
	"net/netip"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// EndpointID identifies one incarnation of an endpoint. If an endpoint restarts under
// the same ID, StartedAt distinguishes the two incarnations.
type EndpointID string

// EndpointRow is an endpoint's own entry in the platform's list.
type EndpointRow struct {
	ID      EndpointID
	Address netip.AddrPort
	// StartedAt is when this incarnation started.
	StartedAt time.Time
	Pool      string
	// DataCentre is the data centre in which the endpoint runs.
	DataCentre string
	// Host is the host that the endpoint runs on, or "" if unknown.
	Host     string
	Capacity policy.Resources
	// Labels holds the endpoint's kind and its rack.
	Labels   []string
	Draining bool
	// MinTimeLeft is the minimum time until a draining endpoint ends, or 0.
	MinTimeLeft time.Duration
	// WarmUp is how much longer the endpoint is slow after its start.
	WarmUp time.Duration
}

// EndpointAddress is the address of a specific incarnation of an endpoint.
type EndpointAddress struct {
	ID      EndpointID
	Address netip.AddrPort
}

// RunningTask is a run in an endpoint's report.
type RunningTask struct {
	Task job.Task
	Run  int64
	// Checkpoint is the newest checkpoint, or "".
	Checkpoint string
	// SpeedPercent is the current speed of the run as a percentage of full speed.
	SpeedPercent int
	// TailLatency is the tail latency of a serving task over the last half second; it is
	// meaningless for other tasks.
	TailLatency time.Duration
	// CPU is the CPU usage of a task that does not serve, in thousandths of a core.
	CPU int64
}

// CompletionKind is how a run ended.
type CompletionKind string

// Kinds of completions.
const (
	CompletionDone    CompletionKind = "done"
	CompletionFailed  CompletionKind = "failed"
	CompletionStopped CompletionKind = "stopped"
	// CompletionLeaseExpired runs were killed when the endpoint's lease expired.
	CompletionLeaseExpired CompletionKind = "lapsed"
	// CompletionGangBroken runs ended because another member of their gang did.
	CompletionGangBroken CompletionKind = "broken"
	// CompletionGangIncomplete runs ended because other members of their gang did not arrive.
	CompletionGangIncomplete CompletionKind = "alone"
)

// Completion is the end of a run, which an endpoint reports until it is acknowledged.
type Completion struct {
	// Number counts the completions of one incarnation of an endpoint, from 1.
	Number     int64
	Task       job.Task
	Run        int64
	Kind       CompletionKind
	Checkpoint string
}

// Report is an endpoint's answer to a lease renewal: its active and its completed runs.
type Report struct {
	// Clock is the reading of the endpoint's monotonic clock.
	Clock time.Duration
	// StartedAt is when this incarnation of the endpoint started, by the host's wall clock,
	// or zero if the endpoint does not say.
	StartedAt   time.Time
	Running     []RunningTask
	Completions []Completion
}

// OrderOutcome is an endpoint's answer to an order.
type OrderOutcome string

// Outcomes of orders to endpoints.
const (
	// OrderAccepted orders have been executed, now or earlier.
	OrderAccepted OrderOutcome = "taken"
	// OrderFenced orders were rejected because a newer leader has contacted the endpoint.
	OrderFenced OrderOutcome = "fenced"
	// OrderStaleRun starts were rejected because their run number is not above that of a
	// run that ended on the endpoint.
	OrderStaleRun OrderOutcome = "old"
	// OrderLeaseExpired starts arrived after their lease had expired.
	OrderLeaseExpired OrderOutcome = "late"
	// OrderNoCapacity starts exceed the endpoint's free capacity.
	OrderNoCapacity OrderOutcome = "no-room"
	// OrderInvalidTicket starts carried no valid ticket.
	OrderInvalidTicket OrderOutcome = "ticket"
	// OrderMalformed orders were not understood by the endpoint.
	OrderMalformed OrderOutcome = "malformed"
	// OrderUnhealthy orders reached an endpoint that currently executes none.
	OrderUnhealthy OrderOutcome = "unhealthy"
	// OrderOtherIncarnation orders reached a later incarnation of the endpoint.
	OrderOtherIncarnation OrderOutcome = "other-life"
	// OrderNotSent orders cannot have reached the endpoint.
	OrderNotSent OrderOutcome = "unsent"
	// OrderNotTaken orders were not sent, for a reason other than the endpoint: the process that carries
	// orders for the leader takes no more, or held them up.
	OrderNotTaken OrderOutcome = "not-taken"
	// OrderUnknown orders got no answer: they may have been executed, or may still be
	// executed seconds later.
	OrderUnknown OrderOutcome = "unknown"
	// OrderHungUp renewals got no answer either: the other side closed the connection, as it
	// does when the endpoint's process exits.
	OrderHungUp OrderOutcome = "hung-up"
	// OrderRefused renewals found that nothing listens at the endpoint's address.
	OrderRefused OrderOutcome = "refused"
)

// IsKnown reports whether this is one of the outcomes above.
func (o OrderOutcome) IsKnown() bool {
	switch o {
	case OrderAccepted, OrderFenced, OrderStaleRun, OrderLeaseExpired, OrderNoCapacity, OrderInvalidTicket,
		OrderMalformed, OrderUnhealthy, OrderOtherIncarnation, OrderNotSent, OrderNotTaken, OrderUnknown, OrderHungUp, OrderRefused:
		return true
	default:
		return false
	}
}

// isUnanswered reports whether the endpoint was asked and gave no answer.
func (o OrderOutcome) isUnanswered() bool {
	return o == OrderUnknown || o == OrderHungUp || o == OrderRefused
}

// Reply is an endpoint's answer to an order.
type Reply struct {
	Outcome OrderOutcome
	// Clock is the reading of the endpoint's monotonic clock, or 0 if the reply has none.
	Clock time.Duration
	// SentAt is when the order was sent.
	SentAt time.Time
	// Failure says why there is no answer, for the journal, or "".
	Failure string
}
