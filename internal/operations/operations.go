// Package operations implements the HTTP handler that operators and the load balancer
// use: a process's metrics, its health and readiness checks, and a dump of its state.
//
// # Usage
//
//	handler := operations.New(operations.Config{
//		Ready: node.Ready,
//		Dump:  func() any { return node.Snapshot() },
//	})
//	server.Handler = handler
//
// GET /metrics returns the metrics in the Prometheus text format. /healthz returns
// 200 while the process runs. /readyz returns 200, or 503 with the reason why the
// process is not ready. /dump returns the state as JSON, without secrets.
package operations

import (
	"encoding/json"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/julienschmidt/httprouter"
)

// Config configures a Handler.
type Config struct {
	// Ready returns nil if the process accepts work, or an error that says why
	// not.
	Ready func() error
	// Dump returns the state without secrets, to be encoded as JSON.
	Dump func() any
}

// Handler serves metrics, health checks and state dumps.
type Handler struct {
	config Config
	router *httprouter.Router
}

// New returns a Handler.
func New(config Config) *Handler {
	h := &Handler{config: config, router: httprouter.New()}
	h.router.GET("/metrics", h.metrics)
	h.router.GET("/healthz", h.healthz)
	h.router.GET("/readyz", h.readyz)
	h.router.GET("/dump", h.dump)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.router.ServeHTTP(w, r)
}

// metrics writes the metrics in the Prometheus text format.
func (h *Handler) metrics(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	metrics.WritePrometheus(w, true)
}

// healthz reports that the process runs.
func (h *Handler) healthz(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	_, _ = w.Write([]byte("ok\n"))
}

// readyz reports to the load balancer whether to send requests to this process.
func (h *Handler) readyz(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if err := h.config.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// dump writes the process's state as JSON.
func (h *Handler) dump(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(h.config.Dump()); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
