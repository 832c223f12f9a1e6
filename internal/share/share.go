// Package share divides the slots of a service among teams across all entries.
//
// Slots are divided by weighted max-min fairness: classes in strict order
// (urgent, normal, batch), teams by weight within a class, and entries evenly
// within a team. Each entry learns the demand of every entry through gossip and
// computes the same division from it, so a team gets its share of the fleet even
// if its load arrives at only some entries. Each entry gets a whole number of
// slots. The remainders rotate between entries by the rounding debt that each
// entry publishes with its demand.
//
// # Usage
//
// One Scheduler serves one service at one entry. It has no lock: the caller
// holds one lock per service around every call.
//
//	s := share.New(share.Config{Entry: "entry-1", Weights: weights, Capacity: 80})
//	switch out := s.Submit(now, share.Ticket{ID: 1, Team: "bookings", Deadline: latestStart}); out.Decision {
//	case share.Start: // send the request now, then call s.Finish(now, 1)
//	case share.Queued: // a later Actions.Start or Actions.Refuse contains it, unless s.Cancel removes it
//	case share.Refused: // answer "not run" with out.RetryAfter
//	}
//	actions := s.Tick(now) // every 5 to 20 ms; SetPeer, SetCapacity and Finish return actions too
//	// start actions.Start, refuse actions.Refuse before the next call
//
// At every gossip interval send s.Demand() to the peers, and pass each received
// message to s.SetPeer.
package share

import "time"

// Class is the priority class of work. A class gets slots only once the demand of
// all earlier classes is met.
type Class uint8

// Classes in the order in which they are served.
const (
	Urgent Class = iota
	Normal
	Batch
)

// String returns the name of the class in settings and dumps.
func (c Class) String() string {
	switch c {
	case Urgent:
		return "urgent"
	case Normal:
		return "normal"
	case Batch:
		return "batch"
	}
	return "unknown"
}

// MarshalText implements encoding.TextMarshaler.
func (c Class) MarshalText() ([]byte, error) {
	return []byte(c.String()), nil
}

// Flow is the work of one team in one class.
type Flow struct {
	Team  string `json:"team"`
	Class Class  `json:"class"`
}

// Ticket is a request for a slot. Deadline is the latest useful start time.
type Ticket struct {
	ID       uint64
	Team     string
	Class    Class
	Deadline time.Time
}

// Decision is the result of submitting a ticket.
type Decision uint8

// Decisions on a submitted ticket.
const (
	Start Decision = iota
	Queued
	Refused
)

// Outcome is the result of Submit. RetryAfter is set for Refused: the estimated
// time until the queue ahead and the requests refused earlier have drained.
type Outcome struct {
	Decision   Decision
	RetryAfter time.Duration
}

// Refusal refuses a queued ticket, which did not run.
type Refusal struct {
	ID         uint64
	RetryAfter time.Duration
}

// Actions lists the tickets that the caller must start or refuse. The slices are
// valid until the next call of the scheduler.
type Actions struct {
	Start  []uint64
	Refuse []Refusal
}

// FlowDemand is the load of one flow at one entry, in requests. Lag is how many
// slot-seconds the flow has recently run less than its fair share.
type FlowDemand struct {
	Flow
	InFlight int     `json:"in-flight"`
	Queued   int     `json:"queued"`
	Lag      float64 `json:"lag"`
}

// Demand is the gossiped load of one service at one entry. Debt is the entry's
// rounding debt in slot-seconds: the quota that it lost by rounding to whole
// slots.
type Demand struct {
	Entry string       `json:"entry"`
	Debt  float64      `json:"debt"`
	Flows []FlowDemand `json:"flows"`
}
