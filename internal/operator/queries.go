package operator

import (
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/lovagedyke/lovagedyke/internal/revision"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

// getRevision reports which processes have a revision in force. If the request
// names no revision, it reports on the newest one.
func (h *Handler) getRevision(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	wait, ok := parseDuration(w, r, "wait")
	if !ok {
		return
	}
	number, present, ok := parseRevision(w, r, "revision")
	if !ok {
		return
	}
	if !present {
		head, err := revision.Head(r.Context(), h.config.Store)
		if err != nil {
			writeError(w, err)
			return
		}
		number = head
	}
	writeJSON(w, http.StatusOK, h.awaitInForce(r, number, wait))
}

// awaitInForce waits until the revision is in force in every process, at most for
// the given time and maxRevisionWait, and returns the last status.
func (h *Handler) awaitInForce(r *http.Request, number uint64, wait time.Duration) api.RevisionResponse {
	ctx := r.Context()
	deadline := time.NewTimer(min(wait, maxRevisionWait))
	defer deadline.Stop()
	ticker := time.NewTicker(confirmationInterval)
	defer ticker.Stop()
	for {
		response := h.revisionResponse(r, number)
		if response.InForce || wait == 0 {
			return response
		}
		select {
		case <-ctx.Done():
			return response
		case <-deadline.C:
			return h.revisionResponse(r, number)
		case <-ticker.C:
		}
	}
}

func (h *Handler) revisionResponse(r *http.Request, number uint64) api.RevisionResponse {
	confirmed, missing := h.config.Fleet.InForce(r.Context(), number)
	return api.RevisionResponse{
		Revision:  number,
		InForce:   len(missing) == 0,
		Confirmed: append([]string{}, confirmed...),
		Missing:   append([]string{}, missing...),
	}
}

func (h *Handler) getCharge(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	charge, err := h.config.Records.Charge(r.Context(), params.ByName("id"))
	writeResult(w, charge, err)
}

func (h *Handler) listUnproven(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	runs, err := h.config.Records.Unproven(r.Context())
	writeResult(w, append([]api.Run{}, runs...), err)
}

func (h *Handler) listRoster(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	members, err := h.config.Fleet.Roster(r.Context())
	writeResult(w, append([]api.Member{}, members...), err)
}

func (h *Handler) getDump(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if h.config.Dump == nil {
		notFound(w, r)
		return
	}
	writeJSON(w, http.StatusOK, h.config.Dump())
}

func writeResult(w http.ResponseWriter, value any, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, value)
}

func parseDuration(w http.ResponseWriter, r *http.Request, name string) (time.Duration, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, true
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		writeProblem(w, malformedRequest(name, "want a duration such as 2s"))
		return 0, false
	}
	return d, true
}

func parseRevision(w http.ResponseWriter, r *http.Request, name string) (number uint64, present, ok bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, false, true
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		writeProblem(w, malformedRequest(name, "want a revision, a whole number"))
		return 0, true, false
	}
	return number, true, true
}

// parseOperation reads the query parameters of a change request without a body.
func parseOperation(w http.ResponseWriter, r *http.Request, content string) (revision.Operation, bool) {
	op := revision.Operation{ID: r.URL.Query().Get("operation-id"), Digest: digest([]byte(content))}
	expected, present, ok := parseRevision(w, r, "expected-revision")
	if present {
		op.Expected = &expected
	}
	return op, ok
}
