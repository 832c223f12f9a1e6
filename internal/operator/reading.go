package operator

import (
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/lovagedyke/lovagedyke/internal/revision"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

// getRevision tells where a revision is in force, and waits for it on request.
func (h *Handler) getRevision(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	wait, ok := durationParameter(w, r, "wait")
	if !ok {
		return
	}
	number, given, ok := revisionParameter(w, r, "revision")
	if !ok {
		return
	}
	if !given {
		head, err := revision.Head(r.Context(), h.config.Store)
		if err != nil {
			writeError(w, err)
			return
		}
		number = head
	}
	writeJSON(w, http.StatusOK, h.inForce(r, number, wait))
}

func (h *Handler) inForce(r *http.Request, number uint64, wait time.Duration) api.RevisionResponse {
	ctx := r.Context()
	deadline := time.NewTimer(min(wait, longestWait))
	defer deadline.Stop()
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for {
		answer := h.confirmations(r, number)
		if answer.InForce || wait == 0 {
			return answer
		}
		select {
		case <-ctx.Done():
			return answer
		case <-deadline.C:
			return h.confirmations(r, number)
		case <-ticker.C:
		}
	}
}

func (h *Handler) confirmations(r *http.Request, number uint64) api.RevisionResponse {
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

func durationParameter(w http.ResponseWriter, r *http.Request, name string) (time.Duration, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, true
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		writeProblem(w, malformed(name, "want a duration such as 2s"))
		return 0, false
	}
	return d, true
}

func revisionParameter(w http.ResponseWriter, r *http.Request, name string) (number uint64, given, ok bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, false, true
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		writeProblem(w, malformed(name, "want a revision, a whole number"))
		return 0, true, false
	}
	return number, true, true
}

// operationOf reads the parameters of a change that has no body.
func operationOf(w http.ResponseWriter, r *http.Request, content string) (revision.Operation, bool) {
	op := revision.Operation{ID: r.URL.Query().Get("operation-id"), Digest: digest([]byte(content))}
	expected, given, ok := revisionParameter(w, r, "expected-revision")
	if given {
		op.Expected = &expected
	}
	return op, ok
}
