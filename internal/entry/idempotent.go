package entry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/claim"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

// serveIdempotent serves a request with an idempotency key. It claims the
// request's only attempt before admission: otherwise a refusal for lack of
// capacity could report "not run" for a request that an earlier attempt has
// run.
func (e *Entry) serveIdempotent(w http.ResponseWriter, c *call) *api.Problem {
	request := claimRequest(c)
	ctx, cancel := context.WithDeadline(c.request.Context(), c.deadline)
	defer cancel()
	answer, err := e.claims.acquire(ctx, request)
	if err != nil {
		e.releaseInBackground(request.ID, answer.Token)
		return unknownOutcomeProblem(http.StatusServiceUnavailable, "claim-unanswered",
			"this attempt was not sent; whether an earlier one ran is not known")
	}
	if answer.Outcome != claim.OutcomeGranted {
		return e.writeRepeat(w, answer)
	}
	c.claim = &answer.Record
	adm, refusal := e.admit(c, e.service(c.entry.Name))
	if refusal != nil {
		e.releaseInBackground(request.ID, answer.Token)
		return refusal
	}
	return e.dispatch(w, c, adm)
}

// releaseInBackground releases a claim without delaying the caller.
func (e *Entry) releaseInBackground(id claim.ID, token claim.Token) {
	e.backgroundTasks.Go(func() { e.claims.release(e.attemptsCtx, id, token) })
}

// writeRepeat responds to a request whose claim was not granted.
func (e *Entry) writeRepeat(w http.ResponseWriter, answer claim.Answer) *api.Problem {
	retryAfter := e.retryAfter(answer.RetryAt)
	switch answer.Outcome {
	case claim.OutcomeRan:
		return writeRecordedResponse(w, answer.Record)
	case claim.OutcomeRunning:
		return &api.Problem{
			Title: http.StatusText(http.StatusConflict), Status: http.StatusConflict,
			Reason: "running", Outcome: api.OutcomeRunning,
			Detail: "an earlier attempt is under way", RetryAfter: api.Duration(retryAfter),
		}
	case claim.OutcomeConflict:
		problem := notRunProblem(http.StatusUnprocessableEntity, "idempotency-key-reused", headerIdempotencyKey,
			"the key came before with another request")
		return problem
	case claim.OutcomeNotRun:
		return unavailableProblem(problemReason(answer.Reason), "no attempt was sent", retryAfter)
	case claim.OutcomeMoved:
		problem := unknownOutcomeProblem(http.StatusServiceUnavailable, "claim-moving", "the entries are changing over")
		problem.RetryAfter = api.Duration(retryAfter)
		return problem
	default:
		problem := unknownOutcomeProblem(http.StatusServiceUnavailable, problemReason(answer.Reason), "whether an earlier attempt ran is not known")
		problem.RetryAfter = api.Duration(retryAfter)
		return problem
	}
}

// retryAfter returns the time until at, at least defaultPermitWait, or
// defaultRetryAfter if at is not set.
func (e *Entry) retryAfter(at time.Time) time.Duration {
	if at.IsZero() {
		return defaultRetryAfter
	}
	return max(at.Sub(e.now()), defaultPermitWait)
}

// problemReason returns the problem's reason for a claim's reason.
func problemReason(reason claim.Reason) string {
	if reason == claim.ReasonNone {
		return "outcome-unknown"
	}
	return string(reason)
}

// writeRecordedResponse repeats the recorded response of a run. If it was not
// kept, it returns a problem that says that the request ran.
func writeRecordedResponse(w http.ResponseWriter, record claim.Record) *api.Problem {
	result := record.Result
	if result == nil || !result.Complete {
		return &api.Problem{
			Title: "the request ran", Status: http.StatusConflict, Reason: "answer-not-kept",
			Outcome: api.OutcomeRan, Detail: "the request ran; its answer was too large to keep",
		}
	}
	header := w.Header()
	for name, values := range result.Header {
		header[name] = values
	}
	header.Set(headerOutcome, string(api.OutcomeRan))
	header.Set(headerRepeated, "true")
	header.Set("Content-Length", fmt.Sprint(len(result.Body)))
	w.WriteHeader(result.Status)
	_, _ = w.Write(result.Body)
	return nil
}
