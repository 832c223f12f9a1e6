package operator

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"

	"github.com/julienschmidt/httprouter"

	"github.com/lovagedyke/lovagedyke/internal/keyring"
	"github.com/lovagedyke/lovagedyke/internal/revision"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

func (h *Handler) listKeys(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	state, err := revision.Load(r.Context(), h.config.Store)
	if err != nil {
		writeError(w, err)
		return
	}
	keys := []api.Key{}
	for _, key := range state.Keys.Keys() {
		keys = append(keys, api.Key{ID: key.ID, Team: key.Team, Withdrawn: key.Withdrawn, Revision: key.Revision})
	}
	writeJSON(w, http.StatusOK, keys)
}

// registerKey registers a key by its hash, so the secret never reaches a manager.
// A repeat after a lost answer changes nothing.
func (h *Handler) registerKey(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request api.IssueKeyRequest
	if !readJSON(w, r, &request) {
		return
	}
	key := keyring.Key{ID: request.ID, Team: request.Team, Hash: request.Hash}
	if err := key.Validate(); err != nil {
		writeProblem(w, api.Problem{
			Status: http.StatusUnprocessableEntity, Title: "key is malformed", Detail: err.Error(),
			Reason: api.ReasonMalformed, Field: "id", Outcome: api.OutcomeNotRun,
		})
		return
	}
	edit := func(current revision.State) (revision.State, error) {
		if _, known := current.Catalogue.Teams[key.Team]; !known {
			return current, unknownNameProblem("team", key.Team, current.Catalogue.TeamNames())
		}
		if existing, exists := current.Keys.Get(key.ID); exists {
			return current, checkSameKey(existing, key)
		}
		current.Keys = current.Keys.With(key)
		return current, nil
	}
	op := revision.Operation{ID: request.Operation, Digest: digest(slices.Concat([]byte("give key "+key.ID+key.Team), key.Hash))}
	change, err := h.commit(r.Context(), op, edit)
	if err != nil {
		writeError(w, err)
		return
	}
	writeChange(w, change, request.Operation, nil)
}

// checkSameKey returns a problem unless both keys are the same: an id can't be
// registered for a second key.
func checkSameKey(existing, key keyring.Key) error {
	if existing.Team == key.Team && bytes.Equal(existing.Hash, key.Hash) {
		return nil
	}
	return &api.Problem{
		Status: http.StatusConflict, Title: fmt.Sprintf("key id %q is taken", key.ID),
		Reason: api.ReasonMalformed, Field: "id", Outcome: api.OutcomeNotRun,
	}
}

// withdrawKey marks a key as withdrawn. It keeps the key's row, so that
// registering the same key again can't make it valid.
func (h *Handler) withdrawKey(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	id := params.ByName("id")
	op, ok := parseOperation(w, r, "withdraw key "+id)
	if !ok {
		return
	}
	edit := func(current revision.State) (revision.State, error) {
		key, known := current.Keys.Get(id)
		if !known {
			return current, unknownNameProblem("id", id, nil)
		}
		key.Withdrawn = true
		current.Keys = current.Keys.With(key)
		return current, nil
	}
	change, err := h.commit(r.Context(), op, edit)
	if err != nil {
		writeError(w, err)
		return
	}
	writeChange(w, change, op.ID, nil)
}
