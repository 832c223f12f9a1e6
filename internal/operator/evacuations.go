package operator

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/lovagedyke/lovagedyke/internal/revision"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

// warningAllEvacuated is the warning of a change that leaves no data centre.
const warningAllEvacuated = "all data centres are evacuated: new work is refused until one is released"

func (h *Handler) listEvacuations(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	evacuations, err := h.config.Evacuations.Evacuations(r.Context())
	writeResult(w, append([]api.Evacuation{}, evacuations...), err)
}

// startEvacuation evacuates a data centre. A repeat changes nothing.
func (h *Handler) startEvacuation(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	dataCentre := params.ByName("name")
	op, ok := parseOperation(w, r, "start evacuation "+dataCentre)
	if !ok {
		return
	}
	known, err := h.dataCentres(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	since, response := time.Now(), api.ChangeResponse{Operation: op.ID, Changes: []api.Difference{}}
	edit := func(current revision.State) (revision.State, error) {
		_, inForce := current.Evacuations[dataCentre]
		if !inForce && !slices.Contains(known, dataCentre) {
			return current, unknownNameProblem("data-centre", dataCentre, known)
		}
		next := current.WithEvacuation(dataCentre, since)
		response.Warning = ""
		if allEvacuated(next, known) {
			response.Warning = warningAllEvacuated
		}
		return next, nil
	}
	h.commitEvacuation(w, r, op, edit, &response)
}

// stopEvacuation releases a data centre. It also accepts one that the platform no
// longer lists, and changes nothing if the data centre is not evacuated.
func (h *Handler) stopEvacuation(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	dataCentre := params.ByName("name")
	op, ok := parseOperation(w, r, "stop evacuation "+dataCentre)
	if !ok {
		return
	}
	edit := func(current revision.State) (revision.State, error) {
		return current.WithoutEvacuation(dataCentre), nil
	}
	h.commitEvacuation(w, r, op, edit, &api.ChangeResponse{Operation: op.ID, Changes: []api.Difference{}})
}

// commitEvacuation commits the edit and writes the response, which the edit may
// have changed.
func (h *Handler) commitEvacuation(w http.ResponseWriter, r *http.Request, op revision.Operation, edit revision.Edit, response *api.ChangeResponse) {
	change, err := h.commit(r.Context(), op, edit)
	if err != nil {
		writeError(w, err)
		return
	}
	response.Revision = change.Revision
	writeChangeResponse(w, change, *response)
}

// dataCentres returns the sorted names of the data centres of the platform's
// hosts.
func (h *Handler) dataCentres(ctx context.Context) ([]string, error) {
	hosts, err := h.config.Hosts.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, host := range hosts {
		if host.DataCentre != "" {
			names = append(names, host.DataCentre)
		}
	}
	slices.Sort(names)
	return slices.Compact(names), nil
}

// allEvacuated reports whether no known data centre is left for new work.
func allEvacuated(state revision.State, known []string) bool {
	return len(known) > 0 && !slices.ContainsFunc(known, func(dataCentre string) bool { return !state.IsEvacuated(dataCentre) })
}
