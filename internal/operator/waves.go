package operator

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/lovagedyke/lovagedyke/pkg/api"
)

func (h *Handler) listWaves(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	waves, err := h.config.Waves.Waves(r.Context())
	writeResult(w, append([]api.Wave{}, waves...), err)
}

func (h *Handler) startWave(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request api.WaveRequest
	if !readJSON(w, r, &request) {
		return
	}
	switch {
	case request.Pool == "":
		writeProblem(w, malformedRequest("pool", "want the name of a pool"))
		return
	case request.Need < 0:
		writeProblem(w, malformedRequest("need", "want the number of hosts that carry the pool's load"))
		return
	}
	wave, err := h.config.Waves.StartWave(r.Context(), request)
	writeResult(w, wave, err)
}

func (h *Handler) resumeWave(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	wave, err := h.config.Waves.ResumeWave(r.Context(), params.ByName("pool"))
	writeResult(w, wave, err)
}

func (h *Handler) stopWave(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	wave, err := h.config.Waves.StopWave(r.Context(), params.ByName("pool"))
	writeResult(w, wave, err)
}
