package manager

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/charge"
	"github.com/lovagedyke/lovagedyke/internal/operator"
	"github.com/lovagedyke/lovagedyke/internal/table"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

// records reads charges and unproven runs for the operators' API.
type records struct {
	store table.Store
}

// Charge implements operator.Records. It traces a charge to its run and, for an
// idempotent request, to its claim.
func (r records) Charge(ctx context.Context, id string) (api.Charge, error) {
	run, err := charge.ParseRunID(id)
	if err != nil {
		return api.Charge{}, errors.Wrap(operator.ErrNotFound, err.Error())
	}
	rows, err := r.store.Get(ctx, charge.TraceKeys(run)...)
	if err != nil {
		return api.Charge{}, err
	}
	trace, claimRow, err := charge.NewTrace(run, rows)
	if err != nil {
		return api.Charge{}, err
	}
	if claimRow != "" {
		claims, err := r.store.Get(ctx, claimRow)
		if err != nil {
			return api.Charge{}, err
		}
		if trace, err = trace.WithClaim(claims[0]); err != nil {
			return api.Charge{}, err
		}
	}
	if trace.Charge == nil {
		return api.Charge{}, operator.ErrNotFound
	}
	return api.Charge{ID: id, Run: apiRun(*trace.Charge, evidence(trace))}, nil
}

// Unproven implements operator.Records.
func (r records) Unproven(ctx context.Context) ([]api.Run, error) {
	rows, err := r.store.Scan(ctx, charge.UnprovenPrefix)
	if err != nil {
		return nil, err
	}
	runs := make([]api.Run, 0, len(rows))
	for _, row := range rows {
		var unproven charge.Unproven
		if err := json.Unmarshal(row.Value, &unproven); err != nil {
			return nil, errors.Wrapf(err, "decode row %q", row.Key)
		}
		runs = append(runs, apiRun(unproven.Charge, string(unproven.Reason)))
	}
	return runs, nil
}

// apiRun converts a charge to its run in the operators' API.
func apiRun(c charge.Charge, evidence string) api.Run {
	return api.Run{
		Run: c.Run.String(), Entry: c.Service, Team: c.Team, Endpoint: c.Endpoint,
		Process: c.Run.Entry.Name, Started: c.Started, Ended: c.Started.Add(c.Duration), Evidence: evidence,
	}
}

// evidence describes the findings that prove a charge.
func evidence(trace charge.Trace) string {
	findings := make([]string, len(trace.Findings))
	for i, finding := range trace.Findings {
		findings[i] = string(finding)
	}
	return "whole answer of the endpoint (" + strings.Join(findings, ", ") + ")"
}
