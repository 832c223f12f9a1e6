package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/lovagedyke/lovagedyke/internal/catalogue"
	"github.com/lovagedyke/lovagedyke/internal/keyring"
	"github.com/lovagedyke/lovagedyke/internal/problem"
	"github.com/lovagedyke/lovagedyke/internal/revision"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

func (h *Handler) getCatalogue(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	state, err := revision.Load(r.Context(), h.config.Store)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, api.CatalogueResponse{Revision: state.Revision, Catalogue: state.Catalogue.API()})
}

func (h *Handler) applyCatalogue(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request api.ApplyRequest
	if !readJSON(w, r, &request) {
		return
	}
	desired, problems := catalogue.FromAPI(request.Catalogue)
	if len(problems) > 0 {
		writeProblem(w, invalidCatalogue(problems))
		return
	}
	if request.DryRun {
		h.writeDryRun(w, r, desired)
		return
	}
	var changes []catalogue.Change
	edit := func(current revision.State) (revision.State, error) {
		changes = catalogue.Diff(current.Catalogue, desired)
		current.Catalogue, current.Keys = desired, withdrawOrphanedKeys(current.Keys, desired)
		return current, nil
	}
	op := revision.Operation{ID: request.Operation, Digest: digest(catalogue.Format(desired)), Expected: request.Expected}
	change, err := h.commit(r.Context(), op, edit)
	if err != nil {
		writeError(w, err)
		return
	}
	writeChange(w, change, request.Operation, changes)
}

// withdrawOrphanedKeys withdraws the keys of teams that are not in the catalogue,
// so that a later team of the same name does not inherit them.
func withdrawOrphanedKeys(keys keyring.Keyring, desired catalogue.Catalogue) keyring.Keyring {
	for _, key := range keys.Keys() {
		if _, known := desired.Teams[key.Team]; !known && !key.Withdrawn {
			key.Withdrawn = true
			keys = keys.With(key)
		}
	}
	return keys
}

// writeDryRun writes the changes that applying the catalogue would make.
func (h *Handler) writeDryRun(w http.ResponseWriter, r *http.Request, desired catalogue.Catalogue) {
	state, err := revision.Load(r.Context(), h.config.Store)
	if err != nil {
		writeError(w, err)
		return
	}
	changes := catalogue.Diff(state.Catalogue, desired)
	writeJSON(w, http.StatusOK, api.ChangeResponse{
		Revision:  state.Revision,
		Changes:   apiDifferences(changes),
		Unchanged: len(changes) == 0,
	})
}

func (h *Handler) removeEntry(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	name := params.ByName("name")
	op, ok := parseOperation(w, r, "remove entry "+name)
	if !ok {
		return
	}
	var changes []catalogue.Change
	edit := func(current revision.State) (revision.State, error) {
		if _, known := current.Catalogue.Entries[name]; !known {
			return current, unknownNameProblem("name", name, current.Catalogue.EntryNames())
		}
		next := current.Catalogue.Clone()
		delete(next.Entries, name)
		changes = catalogue.Diff(current.Catalogue, next)
		current.Catalogue = next
		return current, nil
	}
	change, err := h.commit(r.Context(), op, edit)
	if err != nil {
		writeError(w, err)
		return
	}
	writeChange(w, change, op.ID, changes)
}

func writeChange(w http.ResponseWriter, change revision.Change, operation string, changes []catalogue.Change) {
	response := api.ChangeResponse{Revision: change.Revision, Operation: operation, Changes: []api.Difference{}}
	if !change.Empty() {
		response.Changes = apiDifferences(changes)
	}
	writeChangeResponse(w, change, response)
}

// writeChangeResponse writes the response for an accepted change.
func writeChangeResponse(w http.ResponseWriter, change revision.Change, response api.ChangeResponse) {
	status := http.StatusAccepted
	if change.Empty() {
		status = http.StatusOK
	}
	response.Accepted, response.Unchanged = true, change.Empty()
	writeJSON(w, status, response)
}

func apiDifferences(changes []catalogue.Change) []api.Difference {
	out := make([]api.Difference, 0, len(changes))
	for _, change := range changes {
		out = append(out, api.Difference{Op: string(change.Op), Kind: change.Kind, Name: change.Name, Fields: change.Fields})
	}
	return out
}

// digest returns a hash that identifies the content of an operation.
func digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:8])
}

func unknownNameProblem(field, name string, known []string) *api.Problem {
	return &api.Problem{
		Status:  http.StatusNotFound,
		Title:   fmt.Sprintf("%q is unknown", name),
		Detail:  "want " + problem.Unknown(name, known),
		Reason:  api.ReasonNotFound,
		Field:   field,
		Outcome: api.OutcomeNotRun,
	}
}

func invalidCatalogue(problems problem.List) api.Problem {
	out := api.Problem{
		Status:  http.StatusUnprocessableEntity,
		Title:   "catalogue is invalid",
		Reason:  api.ReasonInvalid,
		Outcome: api.OutcomeNotRun,
		Field:   problems[0].Field,
	}
	for _, p := range problems {
		out.Problems = append(out.Problems, api.FieldProblem{Field: p.Field, Message: p.Message, Want: p.Want})
	}
	return out
}
