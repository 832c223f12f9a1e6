// Package platform simulates the platform's services for tests: the transactional
// table, the object store and the delayed host list. It enforces rate limits and
// injects faults that a test sets over HTTP.
//
// # Usage
//
//	server := platform.New(platform.Config{ListLag: 2 * time.Second})
//	err := web.Serve(ctx, web.Config{Address: address, Handler: server.Handler(), Log: logger})
//
// PUT /faults sets the faults. GET /stats returns the number of reads, writes and
// rejected calls of each caller. PUT and DELETE /hosts/<name> change the hosts.
package platform

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"

	api "github.com/lovagedyke/lovagedyke/internal/platform"
	"github.com/lovagedyke/lovagedyke/internal/standin/web"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

const (
	defaultWritesPerSecond = 400
	defaultReadsPerSecond  = 2000
	defaultRebootTime      = time.Second
	rowsPerOperation       = 100
	maxObjectBytes         = 64 << 20
)

// Config configures a platform. Zero values mean the defaults; the default ListLag
// is 0.
type Config struct {
	WritesPerSecond int
	ReadsPerSecond  int
	ListLag         time.Duration
	// RebootTime is how long a reboot takes; 1 s if zero.
	RebootTime time.Duration
	// Now is the clock; time.Now if nil.
	Now func() time.Time
}

// CallerStats counts the operations of one process. An operation covers up to 100
// rows.
type CallerStats struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Refused int `json:"refused"`
	Lost    int `json:"lost"`
}

// Stats is the response to GET /stats.
type Stats struct {
	Callers map[string]CallerStats `json:"callers"`
	Total   CallerStats            `json:"total"`
}

// Server is a simulated platform. It is safe for concurrent use.
type Server struct {
	now        func() time.Time
	rebootTime time.Duration
	store      *table.Memory

	mu      sync.Mutex
	writes  *bucket
	reads   *bucket
	faults  *faultSet
	hosts   *hostList
	objects map[string][]byte
	callers map[string]*CallerStats
}

// New returns a platform without rows, objects, hosts or faults.
func New(cfg Config) *Server {
	if cfg.WritesPerSecond == 0 {
		cfg.WritesPerSecond = defaultWritesPerSecond
	}
	if cfg.ReadsPerSecond == 0 {
		cfg.ReadsPerSecond = defaultReadsPerSecond
	}
	if cfg.RebootTime == 0 {
		cfg.RebootTime = defaultRebootTime
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Server{
		now:        cfg.Now,
		rebootTime: cfg.RebootTime,
		store:      table.NewMemory(),
		writes:     newBucket(cfg.WritesPerSecond),
		reads:      newBucket(cfg.ReadsPerSecond),
		faults:     newFaultSet(cfg.ListLag),
		hosts:      newHostList(),
		objects:    make(map[string][]byte),
		callers:    make(map[string]*CallerStats),
	}
}

// Handler returns the HTTP handler of the platform.
func (s *Server) Handler() http.Handler {
	router := httprouter.New()
	router.POST(api.GetPath, s.withFaults(s.get))
	router.POST(api.ScanPath, s.withFaults(s.scan))
	router.POST(api.CommitPath, s.withFaults(s.commit))
	router.GET(api.HostsPath, s.withFaults(s.listHosts))
	router.PUT(api.HostsPath+"/:name", s.putHost)
	router.DELETE(api.HostsPath+"/:name", s.deleteHost)
	router.POST(api.HostsPath+"/:name"+api.RebootAction, s.withFaults(s.rebootHost))
	router.PUT(api.ObjectPath+"*name", s.withFaults(s.putObject))
	router.GET(api.ObjectPath+"*name", s.withFaults(s.getObject))
	router.DELETE(api.ObjectPath+"*name", s.withFaults(s.deleteObject))
	router.PUT("/faults", s.putFaults)
	router.GET("/stats", s.getStats)
	return router
}

// withFaults applies the caller's faults to a handler.
func (s *Server) withFaults(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		s.mu.Lock()
		faults := *s.faults.of(r.Header.Get(api.ProcessHeader))
		s.mu.Unlock()
		// The sleep ignores the request's context: a commit takes effect even if its
		// caller has disconnected meanwhile.
		time.Sleep(faults.Slow.Duration / 2)
		if faults.Down {
			s.reject(w, r, http.StatusServiceUnavailable)
			return
		}
		next(w, r, params)
	}
}

// delayAnswer sleeps for the second half of a slow call's delay.
func (s *Server) delayAnswer(r *http.Request) {
	s.mu.Lock()
	slow := s.faults.of(r.Header.Get(api.ProcessHeader)).Slow.Duration
	s.mu.Unlock()
	time.Sleep(slow / 2)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request api.GetRequest
	if !web.ReadJSON(w, r, &request) || !s.consumeOperations(w, r, 0, operationCount(len(request.Keys))) {
		return
	}
	rows, err := s.store.Get(r.Context(), request.Keys...)
	s.writeRows(w, r, rows, err)
}

func (s *Server) scan(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request api.ScanRequest
	if !web.ReadJSON(w, r, &request) {
		return
	}
	rows, err := s.store.Scan(r.Context(), request.Prefix)
	if !s.consumeOperations(w, r, 0, operationCount(len(rows))) {
		return
	}
	s.writeRows(w, r, rows, err)
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var txn table.Txn
	if !web.ReadJSON(w, r, &txn) || !s.consumeOperations(w, r, operationCount(len(txn.Writes)), 0) {
		return
	}
	err := s.store.Commit(r.Context(), txn)
	s.delayAnswer(r)
	var conflict *table.ConflictError
	switch {
	case errors.As(err, &conflict):
		web.WriteJSON(w, http.StatusConflict, api.ConflictResponse{Key: conflict.Key, Want: conflict.Want, Got: conflict.Got})
	case err != nil:
		s.reject(w, r, http.StatusServiceUnavailable)
	case s.loseAnswer(r):
		panic(http.ErrAbortHandler) // net/http then closes the connection.
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

// loseAnswer reports whether the response to a commit is to be lost, and counts it.
func (s *Server) loseAnswer(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	process := r.Header.Get(api.ProcessHeader)
	lost := s.faults.of(process).LoseAnswers.lose()
	if lost {
		s.caller(process).Lost++
	}
	return lost
}

func (s *Server) writeRows(w http.ResponseWriter, r *http.Request, rows []table.Row, err error) {
	if err != nil {
		s.reject(w, r, http.StatusServiceUnavailable)
		return
	}
	s.delayAnswer(r)
	web.WriteJSON(w, http.StatusOK, api.RowsResponse{Rows: rows})
}

func (s *Server) listHosts(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	hosts := s.hosts.list(s.now(), s.faults.listLag)
	s.mu.Unlock()
	web.WriteJSON(w, http.StatusOK, api.HostsResponse{Hosts: hosts})
}

func (s *Server) putHost(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	host := api.Host{State: api.Live}
	if !web.ReadJSON(w, r, &host) {
		return
	}
	host.Name = params.ByName("name")
	s.changeHost(w, host, false)
}

func (s *Server) deleteHost(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	s.changeHost(w, api.Host{Name: params.ByName("name")}, true)
}

// rebootHost takes a host down. It comes back after the reboot time, unless a fault
// prevents it.
func (s *Server) rebootHost(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	name := params.ByName("name")
	host, ok := s.hosts.latest(name)
	if !ok {
		http.Error(w, "no such host", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
	if host.State == api.Rebooting {
		return
	}
	host.State = api.Rebooting
	s.hosts.change(now, host, false)
	if slices.Contains(s.faults.of(r.Header.Get(api.ProcessHeader)).BrokenReboots, name) {
		return
	}
	host.State = api.Live
	host.Boot++
	s.hosts.change(now.Add(s.rebootTime), host, false)
}

func (s *Server) changeHost(w http.ResponseWriter, host api.Host, remove bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.change(s.now(), host, remove)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.consumeOperations(w, r, 1, 0) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[params.ByName("name")] = data
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	if !s.consumeOperations(w, r, 0, 1) {
		return
	}
	s.mu.Lock()
	data, ok := s.objects[params.ByName("name")]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "object does not exist", http.StatusNotFound)
		return
	}
	_, _ = w.Write(data)
}

func (s *Server) deleteObject(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	if !s.consumeOperations(w, r, 1, 0) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, params.ByName("name"))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var faults Faults
	if !web.ReadJSON(w, r, &faults) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.set(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := Stats{Callers: make(map[string]CallerStats, len(s.callers))}
	for name, caller := range s.callers {
		stats.Callers[name] = *caller
		stats.Total.Reads += caller.Reads
		stats.Total.Writes += caller.Writes
		stats.Total.Refused += caller.Refused
		stats.Total.Lost += caller.Lost
	}
	web.WriteJSON(w, http.StatusOK, stats)
}

// consumeOperations takes the call's operations from the rate limits. If they are
// exceeded, it responds with 429 and returns false.
func (s *Server) consumeOperations(w http.ResponseWriter, r *http.Request, writes, reads int) bool {
	s.mu.Lock()
	now := s.now()
	allowed := s.writes.take(now, writes) && s.reads.take(now, reads)
	if allowed {
		caller := s.caller(r.Header.Get(api.ProcessHeader))
		caller.Writes += writes
		caller.Reads += reads
	}
	s.mu.Unlock()
	if !allowed {
		s.reject(w, r, http.StatusTooManyRequests)
	}
	return allowed
}

// reject counts the rejected call and responds with the status.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, status int) {
	s.mu.Lock()
	s.caller(r.Header.Get(api.ProcessHeader)).Refused++
	s.mu.Unlock()
	http.Error(w, http.StatusText(status), status)
}

// caller returns the counters of a process. s.mu must be held.
func (s *Server) caller(process string) *CallerStats {
	stats, ok := s.callers[process]
	if !ok {
		stats = &CallerStats{}
		s.callers[process] = stats
	}
	return stats
}

// operationCount returns the number of operations of a call on the given number of
// rows.
func operationCount(rows int) int {
	return max(1, (rows+rowsPerOperation-1)/rowsPerOperation)
}
