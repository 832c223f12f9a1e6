// Package worker simulates a worker for tests: it runs tasks under leases, each id
// at most once, and reports their resource usage with a delay.
//
// # Usage
//
//	server := worker.New(worker.Config{Name: "worker-1", Incarnation: "a"})
//	err := web.Serve(ctx, web.Config{Address: address, Handler: server.Handler(), Log: logger})
//
// A task's body may be a Workload in JSON, which describes what the task really does.
// Tasks use no CPU: each call computes their progress from the elapsed time.
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
	defaultCPUs       = 16
	defaultMemory     = 64 << 30
	pausePollInterval = 10 * time.Millisecond
)

// Config configures a worker. The default capacity is 16 CPUs and 64 GiB.
type Config struct {
	Name string
	// Incarnation identifies the process; a restarted worker has another one.
	Incarnation string
	Capacity    api.Resources
	UsageLag    time.Duration
	// Now is the clock; time.Now if nil.
	Now func() time.Time
}

// Faults are the faults that the worker injects.
type Faults struct {
	// FailEverything makes each task fail at its start.
	FailEverything bool `json:"fail-everything,omitempty"`
	// SlowStart is the time before a started task makes progress.
	SlowStart duration.Text `json:"slow-start,omitzero"`
	// LoseAnswers is the number of calls that take effect without a response; the
	// connection is closed instead.
	LoseAnswers int `json:"lose-answers,omitempty"`
	// Paused delays every call until the pause ends. It then takes effect, even if
	// its caller has disconnected.
	Paused bool `json:"paused,omitempty"`
}

// Run is the record of a run.
type Run struct {
	ID    string    `json:"id"`
	Task  string    `json:"task"`
	Queue string    `json:"queue"`
	Team  string    `json:"team"`
	State api.State `json:"state"`
	Start time.Time `json:"start"`
	End   time.Time `json:"end,omitzero"`
}

// Stats is the response to GET /standin/stats.
type Stats struct {
	Worker      string         `json:"worker"`
	Incarnation string         `json:"incarnation"`
	RunsPerTask map[string]int `json:"runs-per-task"`
	Runs        []Run          `json:"runs"`
}

// Server is a simulated worker. It is safe for concurrent use.
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

// Handler returns the HTTP handler of the worker.
func (s *Server) Handler() http.Handler {
	router := httprouter.New()
	router.POST(api.TasksPath, s.start)
	router.GET(api.TasksPath, s.report)
	router.POST(api.RenewPath, s.renew)
	// Ids may contain slashes, so the action is split from the path in the handler.
	router.GET(api.TasksPath+"/*id", s.status)
	router.POST(api.TasksPath+"/*id", s.execute)
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
	s.handle(w, func(now time.Time) (any, refusal) { return s.runner.start(now, start) })
}

func (s *Server) execute(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
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
	s.handle(w, func(now time.Time) (any, refusal) { return s.runner.execute(now, id, action, order) })
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	id := params.ByName("id")[1:]
	s.handle(w, func(now time.Time) (any, refusal) { return s.runner.lookUp(now, id) })
}

func (s *Server) renew(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var renewal api.Renewal
	if !web.ReadJSON(w, r, &renewal) {
		return
	}
	s.handle(w, func(now time.Time) (any, refusal) { return s.runner.renew(now, renewal) })
}

func (s *Server) report(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.waitWhilePaused()
	s.mu.Lock()
	defer s.mu.Unlock()
	web.WriteJSON(w, http.StatusOK, s.runner.laggedReport(s.now()))
}

// handle executes one call on the runner and writes the response.
func (s *Server) handle(w http.ResponseWriter, call func(time.Time) (any, refusal)) {
	s.waitWhilePaused()
	s.mu.Lock()
	answer, refused := call(s.now())
	lost := s.runner.faults.LoseAnswers > 0
	if lost {
		s.runner.faults.LoseAnswers--
	}
	s.mu.Unlock()
	switch {
	case lost:
		panic(http.ErrAbortHandler) // net/http then closes the connection.
	case refused == "":
		web.WriteJSON(w, http.StatusOK, answer)
	default:
		web.WriteJSON(w, refusalStatus(refused), api.Refusal{Reason: string(refused)})
	}
}

// waitWhilePaused returns as soon as the worker is not paused.
func (s *Server) waitWhilePaused() {
	for {
		s.mu.Lock()
		paused := s.runner.faults.Paused
		s.mu.Unlock()
		if !paused {
			return
		}
		time.Sleep(pausePollInterval)
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

// Stats returns the runs so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runner.stats(s.now())
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	web.WriteJSON(w, http.StatusOK, s.Stats())
}

// stats returns the runs so far.
func (r *runner) stats(now time.Time) Stats {
	r.advance(now)
	stats := Stats{Worker: r.cfg.Name, Incarnation: r.cfg.Incarnation, RunsPerTask: make(map[string]int), Runs: []Run{}}
	for _, t := range r.tasks {
		if !t.ran {
			continue
		}
		stats.RunsPerTask[t.start.Task]++
		stats.Runs = append(stats.Runs, Run{
			ID:    t.start.ID,
			Task:  t.start.Task,
			Queue: t.start.Queue,
			Team:  t.start.Team,
			State: t.state,
			Start: t.startedAt,
			End:   t.endedAt,
		})
	}
	return stats
}

// splitAction splits "/<id>/<action>", where the id may contain slashes.
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

// refusalStatus returns the HTTP status of a refusal.
func refusalStatus(reason refusal) int {
	switch reason {
	case api.ReasonNoTask:
		return http.StatusNotFound
	case api.ReasonDoesNotFit:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusConflict
	}
}
