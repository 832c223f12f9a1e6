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

// retryAfter is when to ask again after a refusal that passes by itself.
const retryAfter = api.Duration(time.Second)

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // the client has gone
}

func writeProblem(w http.ResponseWriter, p api.Problem) {
	w.Header().Set("Content-Type", api.ProblemType)
	if p.RetryAfter > 0 {
		seconds := math.Ceil(time.Duration(p.RetryAfter).Seconds())
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // the client has gone
}

// writeError turns an error into a problem. "Not run" is said only of errors
// after which nothing can have been written.
func writeError(w http.ResponseWriter, err error) {
	writeProblem(w, problemOf(err))
}

func problemOf(err error) api.Problem {
	var given *api.Problem
	var race *revision.StaleRevisionError
	var reused *revision.ReusedError
	var phase *pool.PhaseError
	p := api.Problem{Status: http.StatusServiceUnavailable, Title: err.Error(), Outcome: api.OutcomeNotRun, RetryAfter: retryAfter}
	switch {
	case errors.As(err, &given):
		return *given
	case errors.As(err, &race):
		p.Status, p.Reason, p.Field, p.RetryAfter = http.StatusConflict, api.ReasonRevision, "expected-revision", 0
		p.Expected, p.Found = race.Expected, race.Found
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
	case errors.Is(err, ErrNotFound):
		p.Status, p.Reason, p.Field, p.RetryAfter = http.StatusNotFound, api.ReasonNotFound, "id", 0
	default:
		p.Status, p.Reason, p.Outcome, p.RetryAfter = http.StatusInternalServerError, api.ReasonInternal, api.OutcomeUnknown, 0
	}
	return p
}

func malformed(field, detail string) api.Problem {
	return api.Problem{
		Status: http.StatusBadRequest, Title: "request is malformed", Detail: detail,
		Reason: api.ReasonMalformed, Field: field, Outcome: api.OutcomeNotRun,
	}
}

// readJSON decodes the body, or answers with a problem that names the field.
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
		p := malformed("body", err.Error())
		p.Status, p.Reason = http.StatusRequestEntityTooLarge, api.ReasonTooLarge
		return p
	case errors.As(err, &wrongType):
		return malformed(wrongType.Field, err.Error())
	case isUnknown:
		return malformed(strings.Trim(unknown, `"`), "field is unknown")
	case errors.Is(err, io.EOF):
		return malformed("body", "body is empty, want a JSON object")
	}
	return malformed("body", err.Error())
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
