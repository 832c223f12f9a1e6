package operator

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/lovagedyke/lovagedyke/internal/pool"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

func (h *Handler) listHosts(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	hosts, err := h.config.Hosts.Hosts(r.Context())
	writeResult(w, append([]api.Host{}, hosts...), err)
}

func (h *Handler) drainHost(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	var request api.DrainRequest
	if !readJSON(w, r, &request) {
		return
	}
	purpose := pool.Purpose(request.Purpose)
	switch {
	case purpose != pool.Move && purpose != pool.Maintenance:
		writeProblem(w, malformedRequest("purpose", "want move or maintenance"))
		return
	case purpose == pool.Move && request.Target == "":
		writeProblem(w, malformedRequest("target", "a move needs the pool that the host serves next"))
		return
	}
	host, err := h.config.Hosts.DrainHost(r.Context(), params.ByName("name"), purpose, request.Target)
	writeResult(w, host, err)
}

func (h *Handler) returnHost(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	host, err := h.config.Hosts.ReturnHost(r.Context(), params.ByName("name"))
	writeResult(w, host, err)
}
