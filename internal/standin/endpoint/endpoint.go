// Package endpoint is a small fake of one service's endpoint. It runs requests
// in a fixed number of slots, misbehaves on request, and keeps the truth about
// what ran.
//
// # Usage
//
//	server := endpoint.New(endpoint.Config{Name: "orders-1", Service: "orders", RunTime: 5 * time.Millisecond})
//	err := web.Serve(ctx, web.Config{
//		Address: address, Handler: server.Handler(), ConnState: server.ConnState, Log: logger,
//	})
//
// Every path outside /standin is a request of the service. A run goes on to its
// end when the caller leaves. Without a free slot the answer is 503 with
// RefusedHeader, and nothing ran.
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

// Headers that the endpoint reads or sets.
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
	defaultSlots       = 8
	defaultConnections = 64
	maxRunTime         = 10 * time.Minute
	runHeaderLimit     = 256
)

// Config describes the endpoint; zero slots and connections mean 8 and 64.
type Config struct {
	Name        string
	Service     string
	Slots       int
	Connections int
	RunTime     time.Duration
}

// Faults are the process-wide misbehaviours.
type Faults struct {
	// FailEverything runs each request and answers 500.
	FailEverything bool `json:"fail-everything,omitempty"`
	// Slow is added to each run's time.
	Slow duration.Text `json:"slow,omitzero"`
	// Down cuts each connection without running anything.
	Down bool `json:"down,omitempty"`
}

// Answer is the JSON body of an ordinary answer.
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

// Server is the fake. It is safe for concurrent use.
type Server struct {
	cfg    Config
	ledger *ledger

	mu       sync.Mutex
	faults   Faults
	leaving  bool
	open     int
	greatest int
}

// New returns an endpoint without faults.
func New(cfg Config) *Server {
	if cfg.Slots == 0 {
		cfg.Slots = defaultSlots
	}
	if cfg.Connections == 0 {
		cfg.Connections = defaultConnections
	}
	return &Server{cfg: cfg, ledger: newLedger(cfg.Slots)}
}

// Handler returns the HTTP interface.
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

// ConnState closes connections above the limit.
func (s *Server) ConnState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.open++
		s.greatest = max(s.greatest, s.open)
		if s.open > s.cfg.Connections {
			_ = conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.open--
	}
}

// serve runs one request of the service.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	faults := s.faults
	leaving := s.leaving
	s.mu.Unlock()
	if faults.Down {
		panic(http.ErrAbortHandler) // The server's own way to cut a connection.
	}
	w.Header().Set(EndpointHeader, s.cfg.Name)
	if leaving {
		w.Header().Set("Connection", "close")
	}
	wanted, err := parseBehaviour(r.Header.Get(BehaviourHeader))
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
	if !s.ledger.start(run) {
		w.Header().Set(RefusedHeader, "slots")
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	s.run(w, r, run, wanted, runTime, faults)
}

// run does the work of a request that holds a slot and answers it.
func (s *Server) run(w http.ResponseWriter, r *http.Request, run Run, wanted behaviour, runTime time.Duration, faults Faults) {
	run.Status = http.StatusOK
	defer func() {
		run.End = time.Now()
		s.ledger.end(run)
	}()
	nonce := r.Header.Get(NonceHeader)
	w.Header().Set(NonceHeader, nonce)
	if wanted.name == Echo {
		time.Sleep(runTime)
		echo(w, r)
		return
	}
	answer := s.answer(r, run)
	if wanted.name == Hang {
		hang(r)
	}
	if wanted.name != SlowBody {
		time.Sleep(runTime)
	}
	if faults.FailEverything {
		wanted = behaviour{name: Status, amount: http.StatusInternalServerError}
	}
	if wanted.name == Status {
		run.Status = wanted.amount
	}
	body, err := json.Marshal(answer)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	wanted.write(w, body, nonce, runTime)
}

// answer reads the request's body and describes the request.
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

// runTime returns the time that the request takes.
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

// Stats returns the truth about what ran so far.
func (s *Server) Stats() Stats {
	stats := s.ledger.stats()
	s.mu.Lock()
	defer s.mu.Unlock()
	stats.Endpoint = s.cfg.Name
	stats.Service = s.cfg.Service
	stats.Leaving = s.leaving
	stats.MaxConnections = s.greatest
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

// newRun describes the run that a request asks for.
func newRun(r *http.Request) Run {
	return Run{
		ID:    bounded(r.Header.Get(RunHeader)),
		Team:  bounded(r.Header.Get(TeamHeader)),
		Key:   bounded(r.Header.Get(KeyHeader)),
		Start: time.Now(),
	}
}

// bounded keeps a foreign string from filling the ledger.
func bounded(text string) string {
	return text[:min(len(text), runHeaderLimit)]
}

// echo streams the request's body back while it arrives.
func echo(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex()
	w.Header().Set("Content-Type", "application/octet-stream")
	_ = controller.Flush()
	_, _ = io.Copy(w, r.Body)
}

// hang waits until the caller has left.
func hang(r *http.Request) {
	timer := time.NewTimer(maxHang)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
	case <-timer.C:
	}
}
