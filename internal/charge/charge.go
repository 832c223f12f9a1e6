// Package charge writes one charge for each run that is proven to have taken
// place, and lists the runs that cannot be proven.
//
// The proof is the endpoint's complete response. A charge's row is named after
// its run and its value never differs, so writing it is idempotent. A run that
// timed out or was aborted is not charged; it is written to a row of its own
// for the operator. If its complete response arrives later, the charge replaces
// that row.
//
// Rows are written to the platform's table in batches. While the table is down
// they are buffered here and mirrored at one peer, which writes them if this
// process ends first. Both buffers are bounded: runs that don't fit are not
// charged, but counted (see Snapshot). A charge is also lost if this process
// ends before the peer has its first mirror. In neither case is work charged
// that did not run.
//
// A Recorder does no input or output: each method takes the current time and
// returns the effects to execute. It is not safe for concurrent use; one
// goroutine of the adapter owns it.
//
// # Usage
//
//	recorder := charge.New(charge.Config{Self: self})
//	run := recorder.NewRunID() // one for each attempt that is dispatched
//	effects := recorder.RecordCharge(now, charge.Charge{Run: run, Team: "tanoa"})
//	effects = append(effects, recorder.Tick(now)...)
//	for _, effect := range effects {
//		switch effect := effect.(type) {
//		case charge.Commit: // call the table, then recorder.HandleTableResult
//		case charge.Mirror: // send to the peer, which calls recorder.HandleMirror
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

// Key prefixes of charge rows and of rows for unproven runs.
const (
	Prefix         = "charge/"
	UnprovenPrefix = "charge-unproven/"
)

// RunID identifies one dispatched attempt. It is never reused.
type RunID struct {
	Entry    roster.Identity `json:"entry"`
	Sequence uint64          `json:"sequence"`
}

// runIDParts counts the parts of a run ID: entry, incarnation and sequence.
const runIDParts = 3

// ParseRunID parses a run ID as formatted by String.
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

// String returns the ID as it is written in row keys and headers.
func (id RunID) String() string {
	return fmt.Sprintf("%s.%d.%d", id.Entry.Name, id.Entry.Incarnation, id.Sequence)
}

// Outcome is the result of a proven run.
type Outcome string

// Outcomes of a charged run.
const (
	OutcomeSucceeded Outcome = "succeeded"
	OutcomeFailed    Outcome = "failed"
)

// Charge is the value of a charge row. ClaimRow is the key of the claim's row
// if the request is idempotent.
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

// Reasons for not charging a run.
const (
	ReasonTimedOut Reason = "timed-out"
	ReasonAborted  Reason = "cut"
	// ReasonSuperseded: the response came from another attempt of the request.
	ReasonSuperseded Reason = "superseded"
)

// Unproven is the value of a row for the operator.
type Unproven struct {
	Charge
	Reason Reason `json:"reason"`
}

// Record is a charge, or an unproven run if Reason is set.
type Record struct {
	Charge Charge `json:"charge"`
	Reason Reason `json:"reason,omitempty"`
}

// rowWrites returns the row changes that store the record.
func (r Record) rowWrites() []table.Write {
	run := r.Charge.Run.String()
	if r.Reason != "" {
		value := encode(Unproven{Charge: r.Charge, Reason: r.Reason})
		return []table.Write{{Key: UnprovenPrefix + run, Value: value}}
	}
	return []table.Write{
		{Key: Prefix + run, Value: encode(r.Charge)},
		{Key: UnprovenPrefix + run, Delete: true},
	}
}

// encode returns the JSON of a row's value.
func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}
