package claim

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// Request requests permission to dispatch an attempt. Version is the claimant's
// roster version, Digest identifies the request's content, and RunLimit is the
// service's maximum run time.
type Request struct {
	ID       ID            `json:"id"`
	Digest   string        `json:"digest"`
	Token    Token         `json:"token"`
	Version  uint64        `json:"version"`
	RunLimit time.Duration `json:"run-limit"`
}

// Outcome is the outcome of a Request.
type Outcome string

// Outcomes of a Request.
const (
	// OutcomeGranted means that the claimant may dispatch now, once.
	OutcomeGranted Outcome = "granted"
	// OutcomeRan means that an earlier attempt ran. The record holds its result.
	OutcomeRan Outcome = "ran"
	// OutcomeRunning means that an earlier attempt may still be running.
	OutcomeRunning Outcome = "running"
	// OutcomeUnknown means that it is unknown whether an attempt was dispatched.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeNotRun means that the claim was refused and no attempt has been
	// dispatched.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeConflict means that the key was used with different content.
	OutcomeConflict Outcome = "conflict"
	// OutcomeMoved means that the ID has another primary at roster version Version.
	OutcomeMoved Outcome = "moved"
)

// Reason is the reason why a claim was refused.
type Reason string

// Reasons for refusing a claim.
const (
	ReasonNone             Reason = ""
	ReasonNotSynced        Reason = "not-synced"
	ReasonSecondaryMissing Reason = "second-missing"
	ReasonFull             Reason = "claims-full"
	ReasonReplicasLost     Reason = "holders-lost"
)

// Effect is an operation that the adapter executes for a Replica. It is one of
// Commit, Get, Scan, AskSecondary, Confirm, Answer and StaleRoster.
type Effect interface{ effect() }

// Commit requests a table transaction. Each table call must be answered with one
// TableResult. A timeout counts as table.ErrUnknown for a Commit and as
// table.ErrUnavailable for a Get or Scan.
type Commit struct {
	Call uint64
	Txn  table.Txn
}

// Get requests rows of the table by key.
type Get struct {
	Call uint64
	Keys []string
}

// Scan requests the rows of the table whose keys have a prefix.
type Scan struct {
	Call   uint64
	Prefix string
}

// AskSecondary asks the peer To, which is the secondary, to record a claim too.
type AskSecondary struct {
	To      roster.Member   `json:"to"`
	From    roster.Identity `json:"from"`
	Version uint64          `json:"version"`
	Record  Record          `json:"record"`
}

// Confirm answers an AskSecondary. Version is the roster version of the secondary.
// Recorded is false if it did not record the claim.
type Confirm struct {
	To       roster.Identity `json:"to"`
	From     roster.Identity `json:"from"`
	Version  uint64          `json:"version"`
	Record   Record          `json:"record"`
	Recorded bool            `json:"recorded"`
}

// Answer is sent to the claimant of Token. RetryAt is when a retry may succeed.
type Answer struct {
	Token   Token     `json:"token"`
	Outcome Outcome   `json:"outcome"`
	Reason  Reason    `json:"reason,omitempty"`
	Record  Record    `json:"record"`
	Version uint64    `json:"version"`
	RetryAt time.Time `json:"retry-at"`
}

// StaleRoster asks the adapter to reread the roster row.
type StaleRoster struct{}

func (Commit) effect()       {}
func (Get) effect()          {}
func (Scan) effect()         {}
func (AskSecondary) effect() {}
func (Confirm) effect()      {}
func (Answer) effect()       {}
func (StaleRoster) effect()  {}

// TableResult is the result of a Commit, Get or Scan effect.
type TableResult struct {
	Call uint64
	Rows []table.Row
	Err  error
}
