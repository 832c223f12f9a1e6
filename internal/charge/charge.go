// Package charge writes one charge for each run that is proven to have taken
// place, and lists the runs that cannot be proved.
//
// The proof is the endpoint's whole answer. A charge's row is named after its
// run, and its value never differs, so writing it twice changes nothing. A run
// that timed out or was cut goes to a row of its own for the operator and is
// not charged; if its whole answer arrives later, the charge replaces it.
//
// Rows go to the platform's table in batches. While the table is down they are
// buffered here and mirrored at one peer, which writes them if this process
// ends first. Both buffers are bounded: what does not fit is not charged, and
// counted (see Snapshot). A charge is lost as well if this process ends before
// its first mirror is taken. Neither ever charges for work that did not run.
//
// A Book does no input or output: each method takes the present time and
// returns the effects to carry out. It is not safe for concurrent use; one
// goroutine of the adapter owns it.
//
// # Usage
//
//	book := charge.New(charge.Config{Self: self})
//	run := book.Run() // one for each attempt that is dispatched
//	effects := book.Answered(now, charge.Charge{Run: run, Team: "tanoa"})
//	effects = append(effects, book.Tick(now)...)
//	for _, effect := range effects {
//		switch effect := effect.(type) {
//		case charge.Commit: // call the table, then book.TableAnswer
//		case charge.Mirror: // send to the peer, which calls book.Hold
//		}
//	}
package charge

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// Prefixes of the rows.
const (
	Prefix         = "charge/"
	UnprovenPrefix = "charge-unproven/"
)

// RunID names one attempt that was dispatched; no attempt shares it.
type RunID struct {
	Entry    roster.Identity `json:"entry"`
	Sequence uint64          `json:"sequence"`
}

// runIDParts are entry, incarnation and sequence.
const runIDParts = 3

// ParseRunID reads what String returns.
func ParseRunID(text string) (RunID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != runIDParts {
		return RunID{}, fmt.Errorf("run id %q is malformed, want <entry>.<incarnation>.<sequence>", text)
	}
	incarnation, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return RunID{}, fmt.Errorf("run id %q has no incarnation", text)
	}
	sequence, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return RunID{}, fmt.Errorf("run id %q has no sequence", text)
	}
	entry := roster.Identity{Name: parts[0], Incarnation: incarnation}
	return RunID{Entry: entry, Sequence: sequence}, nil
}

// String returns the id as it stands in row keys and headers.
func (id RunID) String() string {
	return fmt.Sprintf("%s.%d.%d", id.Entry.Name, id.Entry.Incarnation, id.Sequence)
}

// Outcome tells how a proven run ended.
type Outcome string

// Outcomes of a charged run.
const (
	OutcomeSucceeded Outcome = "succeeded"
	OutcomeFailed    Outcome = "failed"
)

// Charge is the value of a charge row. ClaimRow is the key of the claim if the
// request was marked not to be repeated.
type Charge struct {
	Run      RunID         `json:"run"`
	Team     string        `json:"team"`
	Service  string        `json:"service"`
	Endpoint string        `json:"endpoint"`
	Started  time.Time     `json:"started"`
	Duration time.Duration `json:"duration"`
	Outcome  Outcome       `json:"outcome"`
	ClaimRow string        `json:"claim-row,omitempty"`
}

// Reason says why a run is not charged.
type Reason string

// Reasons.
const (
	ReasonTimedOut Reason = "timed-out"
	ReasonAborted  Reason = "cut"
	// ReasonSuperseded: another attempt of the same request gave the answer.
	ReasonSuperseded Reason = "superseded"
)

// Unproven is the value of a row for the operator.
type Unproven struct {
	Charge
	Reason Reason `json:"reason"`
}

// Entry is a charge, or an unproven run if Reason is set.
type Record struct {
	Charge Charge `json:"charge"`
	Reason Reason `json:"reason,omitempty"`
}

// writes returns the row changes for the entry.
func (e Record) writes() []table.Write {
	run := e.Charge.Run.String()
	if e.Reason != "" {
		value := encode(Unproven{Charge: e.Charge, Reason: e.Reason})
		return []table.Write{{Key: UnprovenPrefix + run, Value: value}}
	}
	return []table.Write{
		{Key: Prefix + run, Value: encode(e.Charge)},
		{Key: UnprovenPrefix + run, Delete: true},
	}
}

// encode returns a row's value.
func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}
