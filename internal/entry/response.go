package entry

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/lovagedyke/lovagedyke/pkg/api"
)

// notRunProblem returns a problem for work that did not run.
func notRunProblem(status int, reason, field, detail string) *api.Problem {
	return &api.Problem{
		Title: http.StatusText(status), Status: status, Detail: detail,
		Reason: reason, Field: field, Outcome: api.OutcomeNotRun,
	}
}

// unavailableProblem returns a 503 refusal with a Retry-After.
func unavailableProblem(reason, detail string, retryAfter time.Duration) *api.Problem {
	problem := notRunProblem(http.StatusServiceUnavailable, reason, "", detail)
	problem.RetryAfter = api.Duration(retryAfter)
	return problem
}

// unknownOutcomeProblem returns a problem for work that may or may not have
// run.
func unknownOutcomeProblem(status int, reason, detail string) *api.Problem {
	return &api.Problem{
		Title: http.StatusText(status), Status: status, Detail: detail,
		Reason: reason, Outcome: api.OutcomeUnknown,
	}
}

// writeProblem responds with a problem. Retry-After is in whole seconds,
// rounded up.
func writeProblem(w http.ResponseWriter, problem *api.Problem) {
	header := w.Header()
	header.Set("Content-Type", api.ProblemType)
	header.Set(headerOutcome, string(problem.Outcome))
	if problem.RetryAfter > 0 {
		seconds := math.Ceil(time.Duration(problem.RetryAfter).Seconds())
		header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	if problem.Status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", `Bearer realm="lovagedyke"`)
	}
	w.WriteHeader(problem.Status)
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(problem)
}

// writeResponse writes an endpoint's response to the caller. It returns false
// if the endpoint's body ended early. The caller's connection must then be
// closed, so that the caller does not take a partial response for a complete
// one.
func writeResponse(w http.ResponseWriter, res attemptResult) (complete bool) {
	header := w.Header()
	for name, values := range endToEndHeader(res.response.Header) {
		header[name] = values
	}
	for name := range res.response.Trailer {
		header.Add("Trailer", name)
	}
	header.Set(headerOutcome, string(api.OutcomeRan))
	w.WriteHeader(res.response.StatusCode)
	_, writeErr := w.Write(res.prefix)
	if !res.complete {
		defer closeBody(res.response)
		if writeErr != nil {
			return discard(res.response.Body)
		}
		if !streamBody(w, res.response.Body) {
			return false
		}
	}
	for name, values := range res.response.Trailer {
		header[name] = values
	}
	return true
}

// streamBody copies the rest of a body. If the caller disconnects, it reads on
// to find out whether the run completed.
func streamBody(w http.ResponseWriter, body io.Reader) (complete bool) {
	flusher := http.NewResponseController(w)
	buffer := make([]byte, maxResponsePrefix)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return discard(body)
			}
			_ = flusher.Flush()
		}
		if err == io.EOF {
			return true
		}
		if err != nil {
			return false
		}
	}
}

// maxDiscardedBytes bounds how much of a response is read after the caller has
// disconnected.
const maxDiscardedBytes = 16 << 20

// discard reads the body to its end and reports whether it was complete.
func discard(body io.Reader) (complete bool) {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardedBytes+1))
	return err == nil && n <= maxDiscardedBytes
}

// closeBody closes an endpoint's response. If the body was not read to its end,
// this also closes the connection.
func closeBody(response *http.Response) {
	_ = response.Body.Close()
}
