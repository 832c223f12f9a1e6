package task

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/place"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// Action is an operation that a Controller's caller executes for it: a table
// transaction or read, a call to a worker, a write to the object store, or a
// reply to a client.
type Action interface {
	action()
}

// Commit asks the caller to apply a table transaction and to pass the result to
// Controller.HandleCommitResult.
type Commit struct {
	Number uint64
	Txn    table.Txn
}

// Read asks the caller to read the current version of rows and to pass them to
// Controller.HandleReadResult.
type Read struct {
	Number uint64
	Keys   []string
}

// Order is the operation that a Call requests from a worker.
type Order string

// Operations that a Call can request.
const (
	OrderStart      Order = "start"
	OrderStop       Order = "stop"
	OrderCheckpoint Order = "checkpoint"
	OrderThrottle   Order = "throttle"
)

// Call asks the caller to send an order about one attempt to a worker, and to
// pass the call and its answer to Controller.HandleCallResult.
type Call struct {
	Order   Order
	Worker  string
	StartID string
	Epoch   uint64
	// Lease and Record are set for OrderStart. The start request must carry the
	// worker incarnation of the record's attempt.
	Lease  time.Duration
	Record Record
	// Rate is the share of full CPU speed; it is set for OrderThrottle.
	Rate float64
}

// Poll asks the caller to renew the leases of a worker's attempts and to read
// their states, in one request, and to pass the poll and its result to
// Controller.HandlePollResult.
type Poll struct {
	Worker   string
	Epoch    uint64
	Lease    time.Duration
	StartIDs []string
	// IssuedAt is when the controller requested the poll. If an attempt was first
	// reported running after that, its absence from the result proves nothing.
	IssuedAt time.Time
}

// Store asks the caller to write a large result to the object store and to pass
// the outcome to Controller.HandleStoreResult.
type Store struct {
	Name string
	Data []byte
}

// Outcome is the result of a Submit or Cancel request.
type Outcome string

// Outcomes of Submit and Cancel requests.
const (
	// Accepted means that the request has been written to the table.
	Accepted Outcome = "accepted"
	// Exists means that the task was already submitted or, for a cancellation,
	// already cancelled or ended.
	Exists Outcome = "exists"
	// Refused means that the request had no effect.
	Refused Outcome = "refused"
	// Unknown means that the request may have taken effect; repeating it gives
	// a definite answer.
	Unknown Outcome = "unknown"
)

// Reply completes a Submit or Cancel request. Task is the task's current record,
// if it is known.
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

// CommitResult is the result of a Commit.
type CommitResult string

// Results of a Commit. After any of them but CommitUnavailable, the controller
// reads the rows back.
const (
	CommitApplied     CommitResult = "applied"
	CommitConflict    CommitResult = "conflict"
	CommitUnavailable CommitResult = "unavailable"
	CommitUnknown     CommitResult = "unknown"
)

// AnswerKind is the state of an attempt as its worker reported it, or the reason
// why there is no report.
type AnswerKind string

// Kinds of an Answer.
const (
	AnswerRunning      AnswerKind = "running"
	AnswerDone         AnswerKind = "done"
	AnswerFailed       AnswerKind = "failed"
	AnswerStopped      AnswerKind = "stopped"
	AnswerCheckpointed AnswerKind = "checkpointed"
	AnswerLapsed       AnswerKind = "lapsed"
	// AnswerRefused means that the worker did not start the attempt and will not.
	AnswerRefused AnswerKind = "refused"
	// AnswerNoTask means that the worker does not know the attempt.
	AnswerNoTask AnswerKind = "no-task"
	// AnswerOtherIncarnation means that a different process of the worker answered.
	AnswerOtherIncarnation AnswerKind = "other-incarnation"
	// AnswerStale means that a manager with a later epoch has called the worker.
	AnswerStale AnswerKind = "stale"
	// AnswerNone means that no answer arrived; the call may have taken effect.
	AnswerNone AnswerKind = "none"
)

// Answer is the result of a Call, or one attempt's part of the result of a Poll.
type Answer struct {
	Kind    AnswerKind
	StartID string
	// Incarnation identifies the worker process that answered.
	Incarnation string
	// Ran is false for an attempt that was stopped before it started.
	Ran        bool
	Reason     string
	Result     []byte
	Checkpoint []byte
	Usage      place.Size
}

// PollResult is the result of a Poll. Answers holds the attempts that the worker
// knows. A Kind other than AnswerRunning is the reason why the whole poll failed.
type PollResult struct {
	Kind        AnswerKind
	Incarnation string
	Answers     []Answer
}
