// Package endpoint simulates an endpoint of a service for tests. It runs requests
// in a fixed number of slots, injects faults on request, and records every run.
//
// # Usage
//
//	server := endpoint.New(endpoint.Config{Name: "orders-1", Service: "orders", RunTime: 5 * time.Millisecond})
//	err := web.Serve(ctx, web.Config{
//		Address: address, Handler: server.Handler(), ConnState: server.ConnState, Log: logger,
//	})
//
// Every path outside /standin is a request to the service. A run continues to its
// end if the caller disconnects. Without a free slot, the response is 503 with
// RefusedHeader, and the request does not run.
package endpoint

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/julienschmidt/httprouter"

	"github.com/lovagedyke/lovagedyke/internal/duration"
	"github.com/lovagedyke/lovagedyke/internal/standin/web"
)

// Names of headers that the endpoint reads or sets.
const (
	EndpointHeader  = "Lovagedyke-Endpoint"
	RunHeader       = "Lovagedyke-Run"
	TeamHeader      = "Lovagedyke-Team"
	RefusedHeader   = "Lovagedyke-Endpoint-Refused"
	KeyHeader       = "Idempotency-Key"
	RunTimeHeader   = "Standin-Run-Time"
	BehaviourHeader = "Standin-Behaviour"
	NonceHeader     = "Standin-Nonce"
	TrailerHeader   = "Standin-Trailer"
)

const (
	defaultSlots           = 8
	defaultConnections     = 64
	maxRunTime             = 10 * time.Minute
	maxRecordedHeaderBytes = 256
)

// Config configures an endpoint. Zero Slots mean 8 and zero Connections mean 64.
type Config struct {
	Name        string
	Service     string
	Slots       int
	Connections int
	RunTime     time.Duration
}

// Faults are the faults of the whole process.
type Faults struct {
	// FailEverything runs each request and responds with 500.
	FailEverything bool `json:"fail-everything,omitempty"`
	// Slow is added to the time of each run.
	Slow duration.Text `json:"slow,omitzero"`
	// Down closes each connection without running the request.
	Down bool `json:"down,omitempty"`
}

// Answer is the JSON body of a successful response.
type Answer struct {
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	Run      string `json:"run"`
	Team     string `json:"team"`
	Key      string `json:"idempotency-key,omitempty"`
	Nonce    string `json:"nonce"`
	Bytes    int64  `json:"body-bytes"`
	Hash     uint64 `json:"body-hash,string"`
}

// Server is a simulated endpoint. It is safe for concurrent use.
type Server struct {
	cfg  Config
	runs *runLog

	mu      sync.Mutex
	faults  Faults
	leaving bool
	open    int
	maxOpen int
}

// New returns an endpoint without faults.
func New(cfg Config) *Server {
	if cfg.Slots == 0 {
		cfg.Slots = defaultSlots
	}
	if cfg.Connections == 0 {
		cfg.Connections = defaultConnections
	}
	return &Server{cfg: cfg, runs: newRunLog(cfg.Slots)}
}

// Handler returns the HTTP handler of the endpoint.
func (s *Server) Handler() http.Handler {
	router := httprouter.New()
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.HandleMethodNotAllowed = false
	router.HandleOPTIONS = false
	router.GET("/standin/stats", s.getStats)
	router.PUT("/standin/faults", s.putFaults)
	router.POST("/standin/leave", s.leave)
	router.NotFound = http.HandlerFunc(s.serve)
	return router
}

// ConnState is an http.Server.ConnState hook that closes new connections above the
// limit.
func (s *Server) ConnState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.open++
		s.maxOpen = max(s.maxOpen, s.open)
		if s.open > s.cfg.Connections {
			_ = conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.open--
	}
}

// serve handles one request to the service.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	faults := s.faults
	leaving := s.leaving
	s.mu.Unlock()
	if faults.Down {
		panic(http.ErrAbortHandler) // net/http then closes the connection.
	}
	w.Header().Set(EndpointHeader, s.cfg.Name)
	if leaving {
		w.Header().Set("Connection", "close")
	}
	requested, err := parseBehaviour(r.Header.Get(BehaviourHeader))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	runTime, err := s.runTime(r, faults)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	run := newRun(r)
	if !s.runs.start(run) {
		w.Header().Set(RefusedHeader, "slots")
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	s.run(w, r, run, requested, runTime, faults)
}

// run executes a request that holds a slot, and responds to it.
func (s *Server) run(w http.ResponseWriter, r *http.Request, run Run, requested behaviour, runTime time.Duration, faults Faults) {
	run.Status = http.StatusOK
	defer func() {
		run.End = time.Now()
		s.runs.end(run)
	}()
	nonce := r.Header.Get(NonceHeader)
	w.Header().Set(NonceHeader, nonce)
	if requested.name == Echo {
		time.Sleep(runTime)
		echo(w, r)
		return
	}
	answer := s.answer(r, run)
	if requested.name == Hang {
		hang(r)
	}
	if requested.name != SlowBody {
		time.Sleep(runTime)
	}
	if faults.FailEverything {
		requested = behaviour{name: Status, amount: http.StatusInternalServerError}
	}
	if requested.name == Status {
		run.Status = requested.amount
	}
	body, err := json.Marshal(answer)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	requested.write(w, body, nonce, runTime)
}

// answer reads the request body and describes the request.
func (s *Server) answer(r *http.Request, run Run) Answer {
	hash := xxhash.New()
	size, _ := io.Copy(hash, r.Body)
	return Answer{
		Endpoint: s.cfg.Name,
		Service:  s.cfg.Service,
		Method:   r.Method,
		Path:     r.URL.RequestURI(),
		Run:      run.ID,
		Team:     run.Team,
		Key:      run.Key,
		Nonce:    r.Header.Get(NonceHeader),
		Bytes:    size,
		Hash:     hash.Sum64(),
	}
}

// runTime returns how long the request runs: as RunTimeHeader says, or else as
// configured.
func (s *Server) runTime(r *http.Request, faults Faults) (time.Duration, error) {
	text := r.Header.Get(RunTimeHeader)
	if text == "" {
		return s.cfg.RunTime + faults.Slow.Duration, nil
	}
	runTime, err := time.ParseDuration(text)
	if err != nil {
		return 0, err
	}
	return min(runTime, maxRunTime) + faults.Slow.Duration, nil
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	web.WriteJSON(w, http.StatusOK, s.Stats())
}

// Stats returns the runs and counts so far.
func (s *Server) Stats() Stats {
	stats := s.runs.stats()
	s.mu.Lock()
	defer s.mu.Unlock()
	stats.Endpoint = s.cfg.Name
	stats.Service = s.cfg.Service
	stats.Leaving = s.leaving
	stats.MaxConnections = s.maxOpen
	return stats
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var faults Faults
	if !web.ReadJSON(w, r, &faults) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) leave(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	w.WriteHeader(http.StatusNoContent)
}

// newRun returns the run of a request that starts now.
func newRun(r *http.Request) Run {
	return Run{
		ID:    truncate(r.Header.Get(RunHeader)),
		Team:  truncate(r.Header.Get(TeamHeader)),
		Key:   truncate(r.Header.Get(KeyHeader)),
		Start: time.Now(),
	}
}

// truncate limits the length of a caller's string, to bound the run log.
func truncate(text string) string {
	return text[:min(len(text), maxRecordedHeaderBytes)]
}

// echo streams the request body back while it arrives.
func echo(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex()
	w.Header().Set("Content-Type", "application/octet-stream")
	_ = controller.Flush()
	_, _ = io.Copy(w, r.Body)
}

// hang waits until the caller has disconnected, at most maxHang.
func hang(r *http.Request) {
	timer := time.NewTimer(maxHang)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
	case <-timer.C:
	}
}
