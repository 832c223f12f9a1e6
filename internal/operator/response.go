package operator

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/pool"
	"github.com/lovagedyke/lovagedyke/internal/revision"
	"github.com/lovagedyke/lovagedyke/internal/table"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

// retryAfter is the advised delay before a retry after a transient error.
const retryAfter = api.Duration(time.Second)

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // fails only if the client has disconnected
}

func writeProblem(w http.ResponseWriter, p api.Problem) {
	w.Header().Set("Content-Type", api.ProblemType)
	if p.RetryAfter > 0 {
		seconds := math.Ceil(time.Duration(p.RetryAfter).Seconds())
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // fails only if the client has disconnected
}

// writeError writes an error as a problem.
func writeError(w http.ResponseWriter, err error) {
	writeProblem(w, problemOf(err))
}

// problemOf converts an error to a problem. Its outcome is OutcomeNotRun only if
// nothing can have been written.
func problemOf(err error) api.Problem {
	var apiProblem *api.Problem
	var stale *revision.StaleRevisionError
	var reused *revision.ReusedError
	var phase *pool.PhaseError
	var evacuated *pool.EvacuatedError
	p := api.Problem{Status: http.StatusServiceUnavailable, Title: err.Error(), Outcome: api.OutcomeNotRun, RetryAfter: retryAfter}
	switch {
	case errors.As(err, &apiProblem):
		return *apiProblem
	case errors.As(err, &stale):
		p.Status, p.Reason, p.Field, p.RetryAfter = http.StatusConflict, api.ReasonRevision, "expected-revision", 0
		p.Expected, p.Found = stale.Expected, stale.Found
	case errors.As(err, &reused):
		p.Status, p.Reason, p.Field, p.RetryAfter = http.StatusConflict, api.ReasonOperationReused, "operation-id", 0
	case table.IsUnknown(err):
		p.Reason, p.Outcome = api.ReasonUnknown, api.OutcomeUnknown
		p.Detail = "repeat the request with the same operation-id"
	case errors.Is(err, table.ErrUnavailable):
		p.Reason = api.ReasonTableUnavailable
	case errors.Is(err, revision.ErrContended):
		p.Reason = api.ReasonContended
	case errors.Is(err, revision.ErrJoining):
		p.Reason = api.ReasonJoining
	case errors.Is(err, revision.ErrFenced):
		p.Reason = api.ReasonNotMember
	case errors.As(err, &phase):
		p.Status, p.Reason, p.Field, p.RetryAfter = http.StatusConflict, api.ReasonPhase, "phase", 0
	case errors.As(err, &evacuated):
		p.Status, p.Reason, p.Field, p.RetryAfter = http.StatusConflict, api.ReasonEvacuated, "target", 0
	case errors.Is(err, ErrNotFound):
		p.Status, p.Reason, p.Field, p.RetryAfter = http.StatusNotFound, api.ReasonNotFound, "id", 0
	default:
		p.Status, p.Reason, p.Outcome, p.RetryAfter = http.StatusInternalServerError, api.ReasonInternal, api.OutcomeUnknown, 0
	}
	return p
}

func malformedRequest(field, detail string) api.Problem {
	return api.Problem{
		Status: http.StatusBadRequest, Title: "request is malformed", Detail: detail,
		Reason: api.ReasonMalformed, Field: field, Outcome: api.OutcomeNotRun,
	}
}

// readJSON decodes the request's body. If it fails, it writes a problem that names
// the field and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil && decoder.More() {
		err = errors.New("more than one JSON value")
	}
	if err == nil {
		return true
	}
	writeProblem(w, decodeProblem(err))
	return false
}

func decodeProblem(err error) api.Problem {
	var tooLarge *http.MaxBytesError
	var wrongType *json.UnmarshalTypeError
	_, unknown, isUnknown := strings.Cut(err.Error(), "unknown field ")
	switch {
	case errors.As(err, &tooLarge):
		p := malformedRequest("body", err.Error())
		p.Status, p.Reason = http.StatusRequestEntityTooLarge, api.ReasonTooLarge
		return p
	case errors.As(err, &wrongType):
		return malformedRequest(wrongType.Field, err.Error())
	case isUnknown:
		return malformedRequest(strings.Trim(unknown, `"`), "field is unknown")
	case errors.Is(err, io.EOF):
		return malformedRequest("body", "body is empty, want a JSON object")
	}
	return malformedRequest("body", err.Error())
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, api.Problem{
		Status: http.StatusNotFound, Title: "no such resource", Detail: r.URL.Path,
		Reason: api.ReasonNotFound, Field: "path", Outcome: api.OutcomeNotRun,
	})
}

func wrongMethod(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, api.Problem{
		Status: http.StatusMethodNotAllowed, Title: "method is not allowed", Detail: r.Method + " " + r.URL.Path,
		Reason: api.ReasonWrongMethod, Field: "method", Outcome: api.OutcomeNotRun,
	})
}
