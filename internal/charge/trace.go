package charge

import (
	"encoding/json"
	"fmt"

	"github.com/lovagedyke/lovagedyke/internal/claim"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// Finding is a fact about a run found by its trace.
type Finding string

// Findings of a Trace.
const (
	FindingCharged  Finding = "charged"
	FindingUnproven Finding = "unproven"
	// FindingMissing: the run is neither charged nor listed as unproven.
	FindingMissing Finding = "missing"
	// FindingClaimMissing: the claim has expired, or was never written.
	FindingClaimMissing Finding = "claim-missing"
	// FindingClaimNotRun: the claim states that the work did not run.
	FindingClaimNotRun Finding = "claim-not-run"
)

// Trace combines the stored rows about one run.
type Trace struct {
	Run      RunID         `json:"run"`
	Findings []Finding     `json:"findings"`
	Charge   *Charge       `json:"charge,omitempty"`
	Unproven *Unproven     `json:"unproven,omitempty"`
	Claim    *claim.Record `json:"claim,omitempty"`
}

// TraceKeys returns the keys of the rows to read for a trace.
func TraceKeys(run RunID) []string {
	return []string{Prefix + run.String(), UnprovenPrefix + run.String()}
}

// NewTrace decodes the rows of TraceKeys, in that order. If claimRow is not
// empty, WithClaim completes the trace with the row of that key.
func NewTrace(run RunID, rows []table.Row) (trace Trace, claimRow string, err error) {
	trace.Run = run
	if len(rows) != len(TraceKeys(run)) {
		return trace, "", fmt.Errorf("run %q: got %d rows, want %d", run, len(rows), len(TraceKeys(run)))
	}
	if rows[0].Version != table.Absent {
		trace.Charge = new(Charge)
		if err := json.Unmarshal(rows[0].Value, trace.Charge); err != nil {
			return trace, "", fmt.Errorf("row %q does not decode: %w", rows[0].Key, err)
		}
		trace.Findings = append(trace.Findings, FindingCharged)
		return trace, trace.Charge.ClaimRow, nil
	}
	if rows[1].Version == table.Absent {
		trace.Findings = append(trace.Findings, FindingMissing)
		return trace, "", nil
	}
	trace.Unproven = new(Unproven)
	if err := json.Unmarshal(rows[1].Value, trace.Unproven); err != nil {
		return trace, "", fmt.Errorf("row %q does not decode: %w", rows[1].Key, err)
	}
	trace.Findings = append(trace.Findings, FindingUnproven)
	return trace, trace.Unproven.ClaimRow, nil
}

// WithClaim adds the run's claim to the trace.
func (t Trace) WithClaim(row table.Row) (Trace, error) {
	if row.Version == table.Absent {
		t.Findings = append(t.Findings, FindingClaimMissing)
		return t, nil
	}
	t.Claim = new(claim.Record)
	if err := json.Unmarshal(row.Value, t.Claim); err != nil {
		return t, fmt.Errorf("row %q does not decode: %w", row.Key, err)
	}
	if t.Charge != nil && t.Claim.State == claim.StateNotRun {
		t.Findings = append(t.Findings, FindingClaimNotRun)
	}
	return t, nil
}
