// Package operations serves a process's operations port: its metrics, its
// health and a dump of its whole state.
//
// # Usage
//
//	port := operations.New(operations.Config{
//		Ready: node.Ready,
//		Dump:  func() any { return node.Snapshot() },
//	})
//	server.Handler = port
//
// GET /metrics is in the Prometheus text format, /healthz answers 200 while
// the process runs, /readyz 200 or 503 with the reason, /dump JSON without
// secrets.
package operations

import (
	"encoding/json"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/julienschmidt/httprouter"
)

// Config connects the port to the process.
type Config struct {
	// Ready returns nil when the process takes work, or the reason why not.
	Ready func() error
	// Dump returns the state, which is encoded as JSON.
	Dump func() any
}

// Port is the handler of the operations port.
type Port struct {
	config Config
	router *httprouter.Router
}

// New returns the port's handler.
func New(config Config) *Port {
	port := &Port{config: config, router: httprouter.New()}
	port.router.GET("/metrics", port.metrics)
	port.router.GET("/healthz", port.healthz)
	port.router.GET("/readyz", port.readyz)
	port.router.GET("/dump", port.dump)
	return port
}

// ServeHTTP implements http.Handler.
func (p *Port) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.router.ServeHTTP(w, r)
}

// metrics answers in the Prometheus text format.
func (p *Port) metrics(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	metrics.WritePrometheus(w, true)
}

// healthz answers while the process runs.
func (p *Port) healthz(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	_, _ = w.Write([]byte("ok\n"))
}

// readyz tells the balancer whether to send work here.
func (p *Port) readyz(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if err := p.config.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// dump writes the process's state.
func (p *Port) dump(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(p.config.Dump()); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
