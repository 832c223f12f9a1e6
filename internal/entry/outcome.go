package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/charge"
	"github.com/lovagedyke/lovagedyke/internal/claim"
)

// maxRecordedResponse bounds the header and body of a response that is kept for
// repeats of an idempotent request, in bytes. It is stored in table rows.
const maxRecordedResponse = 16 << 10

// chargeRecorder records the runs to charge and the unproven runs.
type chargeRecorder interface {
	recordCharge(record charge.Charge)
	recordUnproven(record charge.Charge, reason charge.Reason)
}

// outcomeRecorder records the outcome of each attempt in the charges and in the
// claims of idempotent requests.
type outcomeRecorder struct {
	claims  *claims
	charges chargeRecorder
	// runInBackground runs work that the caller does not wait for.
	runInBackground func(func(ctx context.Context))
}

// finishTimeout bounds how long a response waits for the claim's primary to
// record the outcome.
const finishTimeout = 100 * time.Millisecond

// recordCompleted records a run with a complete response. It finishes the claim
// before the caller gets the response, unless the primary takes longer than
// finishTimeout to record it.
func (r *outcomeRecorder) recordCompleted(c *call, a *attempt, res attemptResult, now time.Time) {
	r.charges.recordCharge(newCharge(c, a, now, chargeOutcome(res.response.StatusCode)))
	if c.claim == nil {
		return
	}
	record, result := *c.claim, claimResult(res)
	recorded := make(chan struct{})
	r.runInBackground(func(ctx context.Context) {
		defer close(recorded)
		r.claims.finish(ctx, record, claim.StateRan, result)
	})
	timer := time.NewTimer(finishTimeout)
	defer timer.Stop()
	select {
	case <-recorded:
	case <-timer.C:
	}
}

// claimResult returns the part of a response that is kept for repeats: all of
// it, or only the status if it is over maxRecordedResponse.
func claimResult(res attemptResult) *claim.Result {
	result := &claim.Result{Status: res.response.StatusCode}
	header := endToEndHeader(res.response.Header)
	if !res.complete || len(res.prefix)+headerSize(header) > maxRecordedResponse {
		return result
	}
	result.Header = header
	result.Body = res.prefix
	result.Complete = true
	return result
}

// headerSize returns the size of the header's names and values in bytes.
func headerSize(header http.Header) int {
	size := 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// recordUnproven records an attempt that was sent and got no complete response.
func (r *outcomeRecorder) recordUnproven(c *call, a *attempt, err error, now time.Time) {
	r.charges.recordUnproven(newCharge(c, a, now, ""), unprovenReason(err))
	if c.claim == nil {
		return
	}
	record := *c.claim
	r.runInBackground(func(ctx context.Context) {
		r.claims.finish(ctx, record, claim.StateUnknown, nil)
	})
}

// recordNotRun records an attempt that did not run.
func (r *outcomeRecorder) recordNotRun(c *call) {
	if c.claim == nil {
		return
	}
	id, token := c.claim.ID, c.claim.Token
	r.runInBackground(func(ctx context.Context) { r.claims.release(ctx, id, token) })
}

// newCharge returns the charge record of an attempt that ended now.
func newCharge(c *call, a *attempt, now time.Time, outcome charge.Outcome) charge.Charge {
	record := charge.Charge{
		Run: a.runID, Team: c.team, Service: c.entry.Name, Endpoint: a.endpoint.String(),
		Started: a.started, Duration: now.Sub(a.started), Outcome: outcome,
	}
	if c.claim != nil {
		record.ClaimRow = c.claim.ID.RowKey()
	}
	return record
}

// chargeOutcome returns the outcome of a run with the given HTTP status.
func chargeOutcome(status int) charge.Outcome {
	if status >= http.StatusInternalServerError {
		return charge.OutcomeFailed
	}
	return charge.OutcomeSucceeded
}

// unprovenReason returns the reason why a run is unproven.
func unprovenReason(err error) charge.Reason {
	if errors.Is(err, context.DeadlineExceeded) {
		return charge.ReasonTimedOut
	}
	return charge.ReasonAborted
}
