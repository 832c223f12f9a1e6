// Package entry serves callers. It accepts requests for services and queues,
// admits them within the teams' limits and shares, sends them to endpoints or
// queue managers, and returns the responses.
//
// The first path segment of a request names the service. The team's key is in
// "Authorization: Bearer". "Lovagedyke-Deadline" is the time the caller is
// willing to wait, and "Idempotency-Key" identifies a request that must run at
// most once. Responses from the entry itself are problem details
// (application/problem+json) with an outcome, a reason and, where a retry makes
// sense, Retry-After.
//
// # Usage
//
//	e := entry.New(entry.Config{Node: n, Hosts: platform, Objects: platform, Log: log})
//	n.Add(e)
//	done := e.Run(ctx)
//	server.Handler = e
//
// For a planned stop, shut down the servers, then call Drain, and cancel ctx
// last.
package entry

import (
	"context"
	"maps"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagedyke/lovagedyke/internal/budget"
	"github.com/lovagedyke/lovagedyke/internal/catalogue"
	"github.com/lovagedyke/lovagedyke/internal/intake"
	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/internal/node"
	"github.com/lovagedyke/lovagedyke/internal/platform"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

const (
	// scheduleInterval is the time between two ticks of the services'
	// schedulers.
	scheduleInterval = 10 * time.Millisecond
	// hostPollInterval is the time between two reads of the platform's host
	// list.
	hostPollInterval = 500 * time.Millisecond
	// permitsTimeout bounds the wait for the teams' permits at startup.
	permitsTimeout = 5 * time.Second
	// permitsPollInterval is the time between two checks for permits at
	// startup.
	permitsPollInterval = 100 * time.Millisecond
	// gossipCachePercent is the percentage of the gossip interval during which
	// all peers get the same demand and load. It is below 100 because the
	// interval is jittered by a tenth.
	gossipCachePercent = 80
	// maxConnectionsPerEndpoint bounds this entry's connections to one
	// endpoint. The effective bound is the picker's.
	maxConnectionsPerEndpoint = 64
)

// HostLister returns the platform's host list, which may lag behind.
type HostLister interface {
	Hosts(ctx context.Context) ([]platform.Host, error)
}

// Config configures an Entry.
type Config struct {
	Node  *node.Node
	Hosts HostLister
	// Objects reads large task results.
	Objects ObjectGetter
	Log     *log.Logger
	// MaxBody bounds the body of a request in bytes, in addition to the
	// catalogue's limit. 0 sets no bound.
	MaxBody int64
	// Bodies reads the callers' bodies; nil means without a common bound.
	Bodies *intake.Bodies
	// ClaimRetention is how long a repeat of an idempotent request is
	// recognised.
	ClaimRetention time.Duration
}

// Entry serves callers. It implements node.Part and http.Handler.
type Entry struct {
	config     Config
	node       *node.Node
	permits    *permits
	claims     *claims
	outcomes   *outcomeRecorder
	charges    *charges
	forwarder  *forwarder
	lastTicket atomic.Uint64
	// outstanding counts the attempts at each endpoint, to confirm that a host
	// is drained.
	outstanding *outstanding
	hostView    hostView
	// appliedRevision is the revision whose evacuations the services follow.
	appliedRevision atomic.Uint64
	gossipCache     gossipDataCache

	// attemptsCtx is cancelled when attempts in progress must be aborted.
	attemptsCtx    context.Context
	cancelAttempts context.CancelFunc
	// backgroundTasks tracks work that continues after the caller was answered.
	backgroundTasks sync.WaitGroup

	// servicesMu serialises additions to services. The map is copied on write.
	servicesMu sync.Mutex
	services   atomic.Pointer[map[string]*service]

	// hostsLoaded is closed after the first successful read of the host list.
	hostsLoaded     chan struct{}
	hostsLoadedOnce sync.Once

	metrics *requestMetrics
}

// New returns an entry on top of config.Node. Call Run to start it.
func New(config Config) *Entry {
	if config.MaxBody == 0 {
		config.MaxBody = math.MaxInt64
	}
	if config.Bodies == nil {
		config.Bodies = intake.NewBodies(intake.BodiesConfig{Budget: budget.New(budget.Config{Bytes: budget.Unbounded, LargeShare: 1})})
	}
	attemptsCtx, cancelAttempts := context.WithCancel(context.Background())
	e := &Entry{
		config:         config,
		node:           config.Node,
		permits:        newPermits(config.Node.Ledger(), config.Node.RequestPermits),
		claims:         newClaims(config.Node, config.ClaimRetention),
		forwarder:      newForwarder(maxConnectionsPerEndpoint),
		attemptsCtx:    attemptsCtx,
		cancelAttempts: cancelAttempts,
		hostsLoaded:    make(chan struct{}),
		outstanding:    &outstanding{},
		metrics:        newRequestMetrics(),
	}
	e.services.Store(&map[string]*service{})
	e.gossipCache.interval = config.Node.GossipInterval() * gossipCachePercent / 100
	e.claims.runInBackground = e.runInBackground
	e.charges = newCharges(config.Node, config.Log)
	e.outcomes = &outcomeRecorder{claims: e.claims, charges: e.charges, runInBackground: e.runInBackground}
	return e
}

func (e *Entry) now() time.Time { return time.Now() }

// runInBackground runs fn in a goroutine that Drain waits for.
func (e *Entry) runInBackground(fn func(ctx context.Context)) {
	e.backgroundTasks.Go(func() { fn(e.attemptsCtx) })
}

// Run runs the loops for claims, charges, scheduling and host polling until the
// context ends. The returned channel then delivers one error.
func (e *Entry) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		group := loops.New(ctx)
		group.Go(e.claims.run)
		group.Go(e.charges.run)
		group.Go(e.scheduleLoop)
		group.Go(e.hostsLoop)
		group.Wait()
		done <- ctx.Err()
	}()
	return done
}

// AwaitReady waits until the entry has read the host list, and then for at most
// permitsTimeout until it holds permits of every team. Permits may be missing
// after that, because the peers may have none to spare.
func (e *Entry) AwaitReady(ctx context.Context) error {
	select {
	case <-e.hostsLoaded:
	case <-ctx.Done():
		return ctx.Err()
	}
	deadline := e.now().Add(permitsTimeout)
	for !e.hasAllPermits() && e.now().Before(deadline) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(permitsPollInterval):
		}
	}
	return nil
}

// hasAllPermits reports whether the entry holds an idle permit of every team,
// and requests the missing ones.
func (e *Entry) hasAllPermits() bool {
	all := true
	for team := range e.node.Configuration().View().State.Catalogue.Teams {
		if hasIdlePermit(e.node.Ledger(), team) {
			continue
		}
		all = false
		if !e.node.Ledger().IsMember(team, e.node.Member()) {
			e.node.PollNow()
			continue
		}
		if e.node.Ledger().Acquire(team) {
			e.node.Ledger().Release(team)
		}
		e.node.RequestPermits(team)
	}
	return all
}

// Drain waits for the work that continues after callers were answered. When the
// context ends, it aborts the attempts that are left.
func (e *Entry) Drain(ctx context.Context) error {
	drained := make(chan struct{})
	go func() {
		e.backgroundTasks.Wait()
		e.forwarder.close()
		close(drained)
	}()
	select {
	case <-drained:
		e.cancelAttempts()
		return nil
	case <-ctx.Done():
		e.cancelAttempts()
		<-drained
		return ctx.Err()
	}
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := e.now()
	c, problem := e.serve(w, r, started)
	if problem == nil {
		e.metrics.observeResponse(c, e.now().Sub(started))
		return
	}
	problem.RequestID = c.id
	e.metrics.countProblem(problem)
	e.config.Log.Debug("request answered with a problem",
		"request-id", c.id, "reason", problem.Reason, "outcome", problem.Outcome, "service", c.entry.Name, "team", c.team)
	writeProblem(w, problem)
}

// serve handles one request. It returns a nil problem if the response has been
// written.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, now time.Time) (*call, *api.Problem) {
	view := e.node.Configuration().View()
	if !view.Fresh(now) {
		c := &call{id: newID()}
		return c, unavailableProblem("configuration-stale", "it is not known whether keys were withdrawn", defaultRetryAfter)
	}
	c, refusal := checkCall(&view.State, e.config.MaxBody, e.config.Bodies, w, r, now)
	if refusal != nil {
		intake.BoundDrain(w, r)
		return c, refusal
	}
	defer c.release()
	if c.entry.Kind == catalogue.KindQueue {
		return c, e.serveQueue(w, c)
	}
	if c.isIdempotent() {
		return c, e.serveIdempotent(w, c)
	}
	adm, refusal := e.admit(c, e.service(c.entry.Name))
	if refusal != nil {
		return c, refusal
	}
	return c, e.dispatch(w, c, adm)
}

// service returns the state of the named service and creates it on first use.
func (e *Entry) service(name string) *service {
	if s, ok := (*e.services.Load())[name]; ok {
		return s
	}
	e.servicesMu.Lock()
	defer e.servicesMu.Unlock()
	services := *e.services.Load()
	if s, ok := services[name]; ok {
		return s
	}
	self := e.node.Self()
	s := newService(self.Name, self.DataCentre, self.Incarnation+uint64(len(services)), e.outstanding)
	updated := maps.Clone(services)
	updated[name] = s
	e.services.Store(&updated)
	return s
}

func (e *Entry) forEachService(fn func(name string, s *service)) {
	for name, s := range *e.services.Load() {
		fn(name, s)
	}
}

// scheduleLoop ticks the services, so that queued requests are started or
// refused in time.
func (e *Entry) scheduleLoop(ctx context.Context) {
	ticker := time.NewTicker(scheduleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.followEvacuations()
			e.forEachService(func(_ string, s *service) { s.tick(e.now()) })
		}
	}
}

// PermitsChanged implements node.Part.
func (e *Entry) PermitsChanged() { e.permits.serveAllWaiters() }

// RosterChanged implements node.Part.
func (e *Entry) RosterChanged(members roster.Roster, rowVersion uint64) {
	e.claims.rosterChanged(members, rowVersion)
	e.charges.rosterChanged(members)
}

// HandOver transfers the idle permits to another entry before a planned stop.
func (e *Entry) HandOver(ctx context.Context) { e.node.HandOver(ctx) }

// Flush waits until all charges of this entry are in the table, or the context
// ends.
func (e *Entry) Flush(ctx context.Context) { e.charges.flush(ctx) }
