package task

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/place"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// Action is something that the owner of a Controller carries out for it.
type Action interface {
	action()
}

// Commit is a transaction to apply; its end goes to Controller.Committed.
type Commit struct {
	Number uint64
	Txn    table.Txn
}

// Read asks for rows as they are now; they go to Controller.Read.
type Read struct {
	Number uint64
	Keys   []string
}

// Order is what a Call asks of a worker.
type Order string

// Orders of a Call.
const (
	OrderStart      Order = "start"
	OrderStop       Order = "stop"
	OrderCheckpoint Order = "checkpoint"
	OrderThrottle   Order = "throttle"
)

// Call is a call to a worker about one attempt; its end goes to
// Controller.Called, with the call itself.
type Call struct {
	Order   Order
	Worker  string
	StartID string
	Epoch   uint64
	// Lease and Record are set for OrderStart. The start must name the
	// incarnation of the record's attempt.
	Lease  time.Duration
	Record Record
	// Rate is set for OrderThrottle.
	Rate float64
}

// Poll renews the leases of a worker's attempts and asks for their states, in
// one call; its end goes to Controller.Polled, with the poll itself.
type Poll struct {
	Worker   string
	Epoch    uint64
	Lease    time.Duration
	StartIDs []string
	// At is when the poll was wanted. What it does not tell of an attempt that
	// was first heard of later proves nothing.
	IssuedAt time.Time
}

// Store puts a large result into the object store; its end goes to
// Controller.Stored.
type Store struct {
	Name string
	Data []byte
}

// Outcome answers a request of Submit or Cancel.
type Outcome string

// Outcomes of a request.
const (
	// Accepted means that the request is in the table.
	Accepted Outcome = "accepted"
	// Exists means that the task had been submitted, or had ended, before.
	Exists Outcome = "exists"
	// Refused means that the request had no effect.
	Refused Outcome = "refused"
	// Unknown means that the request may have had its effect; a repeat tells.
	Unknown Outcome = "unknown"
)

// Reply ends a request. Task is the task as it stands, if it is known.
type Reply struct {
	Request    uint64
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration
	Task       Record
}

func (Commit) action() {}
func (Read) action()   {}
func (Call) action()   {}
func (Poll) action()   {}
func (Store) action()  {}
func (Reply) action()  {}

// CommitResult is how a Commit ended.
type CommitResult string

// Results of a Commit. Anything but CommitUnavailable is settled by reading.
const (
	CommitApplied     CommitResult = "applied"
	CommitConflict    CommitResult = "conflict"
	CommitUnavailable CommitResult = "unavailable"
	CommitUnknown     CommitResult = "unknown"
)

// AnswerKind is what a worker said of an attempt, or why it said nothing.
type AnswerKind string

// Kinds of an Answer.
const (
	AnswerRunning      AnswerKind = "running"
	AnswerDone         AnswerKind = "done"
	AnswerFailed       AnswerKind = "failed"
	AnswerStopped      AnswerKind = "stopped"
	AnswerCheckpointed AnswerKind = "checkpointed"
	AnswerLapsed       AnswerKind = "lapsed"
	// AnswerRefused means that the worker did not and will not start it.
	AnswerRefused AnswerKind = "refused"
	// AnswerNoTask means that the worker has not heard of the attempt.
	AnswerNoTask AnswerKind = "no-task"
	// AnswerOtherIncarnation means that another process of the worker answered.
	AnswerOtherIncarnation AnswerKind = "other-incarnation"
	// AnswerStale means that the worker has heard from a later epoch.
	AnswerStale AnswerKind = "stale"
	// AnswerNone means that no answer came; the call may have had its effect.
	AnswerNone AnswerKind = "none"
)

// Answer is the end of a Call, or one attempt's part of the end of a Poll.
type Answer struct {
	Kind    AnswerKind
	StartID string
	// Incarnation is the process that answered.
	Incarnation string
	// Ran is false for a stopped attempt that had not been started.
	Ran        bool
	Reason     string
	Result     []byte
	Checkpoint []byte
	Usage      place.Size
}

// PollResult is the end of a Poll. Answers holds the attempts that the worker
// knows; with another Kind than AnswerRunning the poll as a whole failed so.
type PollResult struct {
	Kind        AnswerKind
	Incarnation string
	Answers     []Answer
}
