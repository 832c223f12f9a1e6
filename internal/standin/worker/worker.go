// Package worker is a small fake of one worker: it runs tasks under leases,
// each id at most once, and reports their usage with a lag.
//
// # Usage
//
//	server := worker.New(worker.Config{Name: "worker-1", Incarnation: "a"})
//	err := web.Serve(ctx, web.Config{Address: address, Handler: server.Handler(), Log: logger})
//
// A task's body may be a Job in JSON, which tells what the task really does.
// Tasks run in the arithmetic of time alone: a call brings them to the present.
package worker

import (
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/lovagedyke/lovagedyke/internal/duration"
	"github.com/lovagedyke/lovagedyke/internal/standin/web"
	api "github.com/lovagedyke/lovagedyke/internal/worker"
)

const (
	defaultCPUs   = 16
	defaultMemory = 64 << 30
	pausePoll     = 10 * time.Millisecond
)

// Config describes the worker; a zero capacity means 16 CPUs and 64 GiB.
type Config struct {
	Name string
	// Incarnation differs from process to process.
	Incarnation string
	Capacity    api.Resources
	UsageLag    time.Duration
	// Now is the clock; time.Now if nil.
	Now func() time.Time
}

// Faults are the ways in which the worker misbehaves on request.
type Faults struct {
	// FailEverything fails each task when it starts.
	FailEverything bool `json:"fail-everything,omitempty"`
	// SlowStart is the time before a started task makes progress.
	SlowStart duration.Text `json:"slow-start,omitzero"`
	// LoseAnswers cuts the connection after that many calls took effect.
	LoseAnswers int `json:"lose-answers,omitempty"`
	// Paused holds every call until the pause ends; then it takes effect, even
	// if its caller has left.
	Paused bool `json:"paused,omitempty"`
}

// Run is one run that took place, as the worker saw it.
type Run struct {
	ID    string    `json:"id"`
	Task  string    `json:"task"`
	Queue string    `json:"queue"`
	Team  string    `json:"team"`
	State api.State `json:"state"`
	Start time.Time `json:"start"`
	End   time.Time `json:"end,omitzero"`
}

// Stats is the answer to GET /standin/stats.
type Stats struct {
	Worker      string         `json:"worker"`
	Incarnation string         `json:"incarnation"`
	RunsPerTask map[string]int `json:"runs-per-task"`
	Runs        []Run          `json:"runs"`
}

// Server is the fake. It is safe for concurrent use.
type Server struct {
	now func() time.Time

	mu     sync.Mutex
	runner *runner
}

// New returns a worker without tasks or faults.
func New(cfg Config) *Server {
	if cfg.Capacity.CPUs == 0 {
		cfg.Capacity.CPUs = defaultCPUs
	}
	if cfg.Capacity.Memory == 0 {
		cfg.Capacity.Memory = defaultMemory
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Server{now: cfg.Now, runner: newRunner(cfg)}
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	router := httprouter.New()
	router.POST(api.TasksPath, s.start)
	router.GET(api.TasksPath, s.report)
	router.POST(api.RenewPath, s.renew)
	// Ids hold slashes, so that the action is the last element of the path.
	router.GET(api.TasksPath+"/*id", s.status)
	router.POST(api.TasksPath+"/*id", s.act)
	router.PUT("/standin/faults", s.putFaults)
	router.GET("/standin/stats", s.getStats)
	return router
}

func (s *Server) start(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var start api.Start
	if !web.ReadJSON(w, r, &start) {
		return
	}
	if start.ID == "" || start.Lease.Duration <= 0 {
		http.Error(w, "id and lease must be set", http.StatusBadRequest)
		return
	}
	if start.Task == "" {
		start.Task = start.ID
	}
	s.do(w, func(now time.Time) (any, refusal) { return s.runner.start(now, start) })
}

func (s *Server) act(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	id, action := splitAction(params.ByName("id"))
	switch action {
	case api.RenewAction, api.StopAction, api.CheckpointAction, api.ThrottleAction:
	default:
		http.Error(w, "action does not exist", http.StatusNotFound)
		return
	}
	var order api.Order
	if !web.ReadJSON(w, r, &order) {
		return
	}
	s.do(w, func(now time.Time) (any, refusal) { return s.runner.act(now, id, action, order) })
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	id := params.ByName("id")[1:]
	s.do(w, func(now time.Time) (any, refusal) { return s.runner.lookUp(now, id) })
}

func (s *Server) renew(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var renewal api.Renewal
	if !web.ReadJSON(w, r, &renewal) {
		return
	}
	s.do(w, func(now time.Time) (any, refusal) { return s.runner.renew(now, renewal) })
}

func (s *Server) report(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.awaitPause()
	s.mu.Lock()
	defer s.mu.Unlock()
	web.WriteJSON(w, http.StatusOK, s.runner.lagging(s.now()))
}

// do runs one call on the runner and answers with its outcome.
func (s *Server) do(w http.ResponseWriter, call func(time.Time) (any, refusal)) {
	s.awaitPause()
	s.mu.Lock()
	answer, why := call(s.now())
	lost := s.runner.faults.LoseAnswers > 0
	if lost {
		s.runner.faults.LoseAnswers--
	}
	s.mu.Unlock()
	switch {
	case lost:
		panic(http.ErrAbortHandler) // The server's own way to cut a connection.
	case why == "":
		web.WriteJSON(w, http.StatusOK, answer)
	default:
		web.WriteJSON(w, refusalStatus(why), api.Refusal{Reason: string(why)})
	}
}

// awaitPause returns when the worker is not paused.
func (s *Server) awaitPause() {
	for {
		s.mu.Lock()
		paused := s.runner.faults.Paused
		s.mu.Unlock()
		if !paused {
			return
		}
		time.Sleep(pausePoll)
	}
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var faults Faults
	if !web.ReadJSON(w, r, &faults) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runner.faults = faults
	w.WriteHeader(http.StatusNoContent)
}

// Stats returns the truth about what ran.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runner.stats(s.now())
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	web.WriteJSON(w, http.StatusOK, s.Stats())
}

// stats returns the truth about what ran.
func (r *runner) stats(now time.Time) Stats {
	r.advance(now)
	stats := Stats{Worker: r.cfg.Name, Incarnation: r.cfg.Incarnation, RunsPerTask: make(map[string]int), Runs: []Run{}}
	for _, known := range r.tasks {
		if !known.ran {
			continue
		}
		stats.RunsPerTask[known.start.Task]++
		stats.Runs = append(stats.Runs, Run{
			ID:    known.start.ID,
			Task:  known.start.Task,
			Queue: known.start.Queue,
			Team:  known.start.Team,
			State: known.state,
			Start: known.began,
			End:   known.ended,
		})
	}
	return stats
}

// splitAction splits "/<id>/<action>".
func splitAction(path string) (id, action string) {
	last := len(path) - 1
	for last > 0 && path[last] != '/' {
		last--
	}
	if last == 0 {
		return "", ""
	}
	return path[1:last], path[last+1:]
}

// refusalStatus is the HTTP status of a refusal.
func refusalStatus(why refusal) int {
	switch why {
	case api.ReasonNoTask:
		return http.StatusNotFound
	case api.ReasonDoesNotFit:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusConflict
	}
}
