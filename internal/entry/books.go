package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/charge"
	"github.com/lovagedyke/lovagedyke/internal/claim"
)

// maxRecorded bounds the answer that is kept for repeats of a marked request,
// header and body, in bytes; it travels in table rows.
const maxRecorded = 16 << 10

// charger takes the runs that are to be charged or listed as unproven.
type charger interface {
	proven(run charge.Charge)
	unproven(run charge.Charge, reason charge.Reason)
}

// books records how each attempt ended: charges, and the claims of marked calls.
type books struct {
	claims  *claims
	charges charger
	// background runs what need not hold up the caller.
	background func(func(ctx context.Context))
}

// finishPatience is how long an answer waits for its claim's home to record it.
const finishPatience = 100 * time.Millisecond

// proven records a run with its endpoint's whole answer. The claim is settled
// before the caller has the answer, unless the home is slow to record it.
func (b *books) proven(c *call, a *attempt, rep reply, now time.Time) {
	b.charges.proven(newCharge(c, a, now, outcomeOf(rep.response.StatusCode)))
	if c.claim == nil {
		return
	}
	record, result := *c.claim, recordedResult(rep)
	recorded := make(chan struct{})
	b.background(func(ctx context.Context) {
		defer close(recorded)
		b.claims.finish(ctx, record, claim.StateRan, result)
	})
	timer := time.NewTimer(finishPatience)
	defer timer.Stop()
	select {
	case <-recorded:
	case <-timer.C:
	}
}

// recordedResult returns what is kept of an answer for repeats: all of it, or
// the status alone when it is large.
func recordedResult(rep reply) *claim.Result {
	result := &claim.Result{Status: rep.response.StatusCode}
	header := endToEnd(rep.response.Header)
	if !rep.whole || len(rep.prefix)+headerSize(header) > maxRecorded {
		return result
	}
	result.Header = header
	result.Body = rep.prefix
	result.Whole = true
	return result
}

// headerSize returns the bytes of the header's names and values.
func headerSize(header http.Header) int {
	size := 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// unproven records an attempt that was sent and has no whole answer.
func (b *books) unproven(c *call, a *attempt, err error, now time.Time) {
	b.charges.unproven(newCharge(c, a, now, ""), reasonOfFailure(err))
	if c.claim == nil {
		return
	}
	record := *c.claim
	b.background(func(ctx context.Context) {
		b.claims.finish(ctx, record, claim.StateUnknown, nil)
	})
}

// notRun records an attempt of which no byte went out.
func (b *books) notRun(c *call) {
	if c.claim == nil {
		return
	}
	id, token := c.claim.ID, c.claim.Token
	b.background(func(ctx context.Context) { b.claims.release(ctx, id, token) })
}

// newCharge describes an attempt that ended now.
func newCharge(c *call, a *attempt, now time.Time, outcome charge.Outcome) charge.Charge {
	run := charge.Charge{
		Run: a.run, Team: c.team, Service: c.entry.Name, Endpoint: a.endpoint.String(),
		Started: a.started, Duration: now.Sub(a.started), Outcome: outcome,
	}
	if c.claim != nil {
		run.ClaimRow = c.claim.ID.RowKey()
	}
	return run
}

// outcomeOf tells how a run with that status ended.
func outcomeOf(status int) charge.Outcome {
	if status >= http.StatusInternalServerError {
		return charge.OutcomeFailed
	}
	return charge.OutcomeSucceeded
}

// reasonOfFailure tells why a run is not proven.
func reasonOfFailure(err error) charge.Reason {
	if errors.Is(err, context.DeadlineExceeded) {
		return charge.ReasonTimedOut
	}
	return charge.ReasonAborted
}
