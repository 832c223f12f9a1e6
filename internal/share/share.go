// Package share divides the slots of a service among teams across all entries.
//
// The division is a weighted max-min: classes in strict order (urgent, normal,
// batch), teams by weight inside a class, entries evenly inside a team. Each
// entry knows the demand of every entry through gossip and computes the same
// division from it, so a team gets its share of the fleet although its load
// meets only some entries. The quotas of an entry add up to a whole number of
// slots; the remainders rotate between entries by the rounding debt that each
// entry publishes with its demand.
//
// # Usage
//
// One Scheduler serves one service at one entry. It has no lock: the caller
// holds one lock per service around every call.
//
//	s := share.New(share.Config{Entry: "entry-1", Weights: weights, Capacity: 80})
//	switch out := s.Submit(now, share.Ticket{ID: 1, Team: "bookings", Deadline: latestStart}); out.Decision {
//	case share.Start: // send it now, then call s.Finish(now, 1)
//	case share.Queued: // a later Actions.Start or Actions.Refuse names it, or s.Cancel ends it
//	case share.Refused: // answer "not run" with out.RetryAfter
//	}
//	acts := s.Tick(now) // every 5 to 20 ms; also SetPeer, SetCapacity, Finish and Cancel
//	// start acts.Start, refuse acts.Refuse before the next call
//
// Every gossip interval send s.Demand() to the peers, and hand each received
// message to s.SetPeer.
package share

import "time"

// Class orders work: a class gets slots only when all earlier ones are served.
type Class uint8

// The classes in the order in which they are served.
const (
	Urgent Class = iota
	Normal
	Batch
)

// String returns the class's name in settings and dumps.
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

// Ticket is one request that wants a slot. Deadline is the latest useful start.
type Ticket struct {
	ID       uint64
	Team     string
	Class    Class
	Deadline time.Time
}

// Decision says what becomes of a submitted ticket.
type Decision uint8

// The decisions on a submitted ticket.
const (
	Start Decision = iota
	Queued
	Refused
)

// Outcome answers Submit. RetryAfter is set for Refused: the time in which the
// queue ahead and the requests refused before drain at the present rate.
type Outcome struct {
	Decision   Decision
	RetryAfter time.Duration
}

// Refusal ends a queued ticket that did not run.
type Refusal struct {
	ID         uint64
	RetryAfter time.Duration
}

// Actions lists the tickets that an event started or refused. The slices are
// valid until the scheduler's next call.
type Actions struct {
	Start  []uint64
	Refuse []Refusal
}

// FlowDemand is the load of one flow at one entry, in requests. Lag is the
// slot-seconds by which the flow has run less than its part of late.
type FlowDemand struct {
	Flow
	InFlight int     `json:"in-flight"`
	Queued   int     `json:"queued"`
	Lag      float64 `json:"lag"`
}

// Demand is the load of one service at one entry, as gossiped. Debt is the
// entry's rounding debt in slot-seconds: quota that whole slots did not give it.
type Demand struct {
	Entry string       `json:"entry"`
	Debt  float64      `json:"debt"`
	Flows []FlowDemand `json:"flows"`
}
