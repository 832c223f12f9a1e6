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

// refuse returns a problem for work that did not run.
func refuse(status int, reason, field, detail string) *api.Problem {
	return &api.Problem{
		Title: http.StatusText(status), Status: status, Detail: detail,
		Reason: reason, Field: field, Outcome: api.OutcomeNotRun,
	}
}

// busy returns a refusal with the time to come back.
func busy(reason, detail string, retryAfter time.Duration) *api.Problem {
	problem := refuse(http.StatusServiceUnavailable, reason, "", detail)
	problem.RetryAfter = api.Duration(retryAfter)
	return problem
}

// uncertain returns the answer to a request of which it is not known whether
// its work ran.
func uncertain(status int, reason, detail string) *api.Problem {
	return &api.Problem{
		Title: http.StatusText(status), Status: status, Detail: detail,
		Reason: reason, Outcome: api.OutcomeUnknown,
	}
}

// writeProblem answers with a problem; Retry-After is in whole seconds, rounded up.
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
	// The caller may be gone; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(problem)
}

// writeAnswer passes an endpoint's answer to the caller. It returns false when
// the endpoint's body broke off, and the caller's connection must then be cut
// so that a part is not taken for the whole.
func writeAnswer(w http.ResponseWriter, rep reply) (whole bool) {
	header := w.Header()
	for name, values := range endToEnd(rep.response.Header) {
		header[name] = values
	}
	for name := range rep.response.Trailer {
		header.Add("Trailer", name)
	}
	header.Set(headerOutcome, string(api.OutcomeRan))
	w.WriteHeader(rep.response.StatusCode)
	_, writeErr := w.Write(rep.prefix)
	if !rep.whole {
		defer closeBody(rep.response)
		if writeErr != nil {
			return discard(rep.response.Body)
		}
		if !stream(w, rep.response.Body) {
			return false
		}
	}
	for name, values := range rep.response.Trailer {
		header[name] = values
	}
	return true
}

// stream copies the rest of a body; after the caller is gone it reads on, to
// learn whether the run ended.
func stream(w http.ResponseWriter, body io.Reader) (whole bool) {
	flusher := http.NewResponseController(w)
	buffer := make([]byte, maxAnswerPrefix)
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

// maxDiscarded bounds how much of an answer that nobody waits for is read.
const maxDiscarded = 16 << 20

// discard reads the body to its end and reports whether it came whole.
func discard(body io.Reader) (whole bool) {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscarded+1))
	return err == nil && n <= maxDiscarded
}

// closeBody closes an endpoint's answer; a body that was not read to its end
// takes its connection with it.
func closeBody(response *http.Response) {
	_ = response.Body.Close()
}
