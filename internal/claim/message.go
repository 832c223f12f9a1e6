package claim

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// Request asks for the right to dispatch. Version is the claimant's roster
// version, Digest identifies the request's content, and RunLimit is the
// service's longest run time.
type Request struct {
	ID       ID            `json:"id"`
	Digest   string        `json:"digest"`
	Token    Token         `json:"token"`
	Version  uint64        `json:"version"`
	RunLimit time.Duration `json:"run-limit"`
}

// Outcome is what a claimant is told.
type Outcome string

// Outcomes of a Request.
const (
	// OutcomeGranted: dispatch now, once.
	OutcomeGranted Outcome = "granted"
	// OutcomeRan: an earlier attempt ran; the record holds its result.
	OutcomeRan Outcome = "ran"
	// OutcomeRunning: an earlier attempt is under way.
	OutcomeRunning Outcome = "running"
	// OutcomeUnknown: whether an attempt was dispatched is not known.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeNotRun: refused, and no attempt was ever dispatched.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeConflict: the key was used with other content.
	OutcomeConflict Outcome = "conflict"
	// OutcomeMoved: the id has another home at roster version Version.
	OutcomeMoved Outcome = "moved"
)

// Reason says why a claim was refused.
type Reason string

// Reasons of a refusal.
const (
	ReasonNone             Reason = ""
	ReasonNotSynced        Reason = "not-synced"
	ReasonSecondaryMissing Reason = "second-missing"
	ReasonFull             Reason = "claims-full"
	ReasonReplicasLost     Reason = "holders-lost"
)

// Effect is one of Commit, Get, Scan, AskSecond, Confirm, Answer, StaleRoster.
type Effect interface{ effect() }

// Commit asks for a table transaction. Every call gets one TableAnswer; a
// timeout is ErrUnknown for a commit and ErrUnavailable for the others.
type Commit struct {
	Call uint64
	Txn  table.Txn
}

// Get asks for rows.
type Get struct {
	Call uint64
	Keys []string
}

// Scan asks for the rows of a prefix.
type Scan struct {
	Call   uint64
	Prefix string
}

// AskSecond asks the peer To to record a claim too.
type AskSecondary struct {
	To      roster.Member   `json:"to"`
	From    roster.Identity `json:"from"`
	Version uint64          `json:"version"`
	Record  Record          `json:"record"`
}

// Confirm answers an AskSecond. If Recorded is false, the peer holds Version.
type Confirm struct {
	To       roster.Identity `json:"to"`
	From     roster.Identity `json:"from"`
	Version  uint64          `json:"version"`
	Record   Record          `json:"record"`
	Recorded bool            `json:"recorded"`
}

// Answer goes to the claimant of Token. RetryAt is when asking again may help.
type Answer struct {
	Token   Token     `json:"token"`
	Outcome Outcome   `json:"outcome"`
	Reason  Reason    `json:"reason,omitempty"`
	Record  Record    `json:"record"`
	Version uint64    `json:"version"`
	RetryAt time.Time `json:"retry-at"`
}

// StaleRoster asks the adapter to read the roster row again.
type StaleRoster struct{}

func (Commit) effect()       {}
func (Get) effect()          {}
func (Scan) effect()         {}
func (AskSecondary) effect() {}
func (Confirm) effect()      {}
func (Answer) effect()       {}
func (StaleRoster) effect()  {}

// TableAnswer is the result of a table call.
type TableResult struct {
	Call uint64
	Rows []table.Row
	Err  error
}
