package entry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/claim"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

// serveMarked claims the call's only attempt before it is admitted: a refusal
// for lack of room must not say "not run" of a request that ran before.
func (e *Entry) serveMarked(w http.ResponseWriter, c *call) *api.Problem {
	request := claimRequest(c)
	ctx, cancel := context.WithDeadline(c.request.Context(), c.deadline)
	defer cancel()
	answer, err := e.claims.claim(ctx, request)
	if err != nil {
		e.releaseLater(request.ID, answer.Token)
		return uncertain(http.StatusServiceUnavailable, "claim-unanswered",
			"this attempt was not sent; whether an earlier one ran is not known")
	}
	if answer.Outcome != claim.OutcomeGranted {
		return e.answerRepeat(w, answer)
	}
	c.claim = &answer.Record
	adm, refusal := e.admit(c, e.service(c.entry.Name))
	if refusal != nil {
		e.releaseLater(request.ID, answer.Token)
		return refusal
	}
	return e.run(w, c, adm)
}

// releaseLater gives a claim back without holding up the caller.
func (e *Entry) releaseLater(id claim.ID, token claim.Token) {
	e.late.Go(func() { e.claims.release(e.runs, id, token) })
}

// answerRepeat answers a claim that was not granted.
func (e *Entry) answerRepeat(w http.ResponseWriter, answer claim.Answer) *api.Problem {
	retryAfter := e.untilRetry(answer.RetryAt)
	switch answer.Outcome {
	case claim.OutcomeRan:
		return answerRecorded(w, answer.Record)
	case claim.OutcomeRunning:
		return &api.Problem{
			Title: http.StatusText(http.StatusConflict), Status: http.StatusConflict,
			Reason: "running", Outcome: api.OutcomeRunning,
			Detail: "an earlier attempt is under way", RetryAfter: api.Duration(retryAfter),
		}
	case claim.OutcomeConflict:
		problem := refuse(http.StatusUnprocessableEntity, "idempotency-key-reused", headerKey,
			"the key came before with another request")
		return problem
	case claim.OutcomeNotRun:
		return busy(reasonOf(answer.Reason), "no attempt was sent", retryAfter)
	case claim.OutcomeMoved:
		problem := uncertain(http.StatusServiceUnavailable, "claim-moving", "the entries are changing over")
		problem.RetryAfter = api.Duration(retryAfter)
		return problem
	default:
		problem := uncertain(http.StatusServiceUnavailable, reasonOf(answer.Reason), "whether an earlier attempt ran is not known")
		problem.RetryAfter = api.Duration(retryAfter)
		return problem
	}
}

// untilRetry returns how long to wait until at, at least a moment.
func (e *Entry) untilRetry(at time.Time) time.Duration {
	if at.IsZero() {
		return comeBackSoon
	}
	return max(at.Sub(e.now()), firstPermitWait)
}

// reasonOf returns the reason for the caller.
func reasonOf(reason claim.Reason) string {
	if reason == claim.ReasonNone {
		return "outcome-unknown"
	}
	return string(reason)
}

// answerRecorded repeats the recorded answer of a run, or says that it ran.
func answerRecorded(w http.ResponseWriter, record claim.Record) *api.Problem {
	result := record.Result
	if result == nil || !result.Whole {
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
