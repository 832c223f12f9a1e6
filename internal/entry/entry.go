// Package entry is the callers' side: it takes requests for services, admits
// them within limits and shares, sends them to endpoints and passes on the
// whole answers.
//
// A request names its service by the first segment of its path and carries the
// team's key in "Authorization: Bearer". "Lovagedyke-Deadline" bounds the
// caller's patience, and "Idempotency-Key" marks a request that must not be
// repeated. Answers that the entry itself makes are problem details
// (application/problem+json) with an outcome, a reason and Retry-After.
//
// # Usage
//
//	e := entry.New(entry.Config{Node: n, Hosts: platform, Objects: platform, Log: log})
//	n.Add(e)
//	done := e.Run(ctx)
//	server.Handler = e
//
// On a planned stop the caller shuts its servers down first, then calls Drain,
// and ends ctx last.
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

	"github.com/lovagedyke/lovagedyke/internal/catalogue"
	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/internal/node"
	"github.com/lovagedyke/lovagedyke/internal/platform"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

const (
	// scheduleTick is the interval at which queued requests are looked at.
	scheduleTick = 10 * time.Millisecond
	// hostsInterval is the time between two readings of the platform's list.
	hostsInterval = 500 * time.Millisecond
	// permitsPatience bounds the wait for the teams' permits at the start.
	permitsPatience = 5 * time.Second
	// permitsPoll is the time between two looks at them.
	permitsPoll = 100 * time.Millisecond
	// sayingsShare is the part of a gossip interval, in percent, for which all
	// peers are told the same; intervals vary by a tenth.
	sayingsShare = 80
	// connectionsPerEndpoint bounds this entry's connections to one endpoint;
	// the picker's bound is the one that counts.
	connectionsPerEndpoint = 64
)

// HostLister returns the platform's lagging list of hosts.
type HostLister interface {
	Hosts(ctx context.Context) ([]platform.Host, error)
}

// Config constructs an Entry.
type Config struct {
	Node  *node.Node
	Hosts HostLister
	// Objects holds large results of tasks.
	Objects ObjectGetter
	Log     *log.Logger
	// MaxBody bounds a request's body, in bytes, whatever the catalogue says;
	// 0 sets no bound.
	MaxBody int64
	// ClaimRetention is how long a repeat of a marked request is recognised.
	ClaimRetention time.Duration
}

// Entry serves callers. It is a node.Part and an http.Handler.
type Entry struct {
	config    Config
	node      *node.Node
	permits   *permits
	claims    *claims
	books     *books
	charges   *charges
	forwarder *forwarder
	tickets   atomic.Uint64
	// outstanding counts attempts at endpoints, for drains.
	outstanding *outstanding
	view        hostView
	said        sayingsCache

	// runs ends when attempts under way must be given up.
	runs     context.Context
	stopRuns context.CancelFunc
	// late tracks what goes on after a caller was answered.
	late sync.WaitGroup

	// grow serialises additions to services, which is replaced as a whole.
	grow     sync.Mutex
	services atomic.Pointer[map[string]*service]

	// hostsRead is closed when the endpoints are known.
	hostsRead chan struct{}
	hostsOnce sync.Once

	metrics *meters
}

// New returns an entry over the node.
func New(config Config) *Entry {
	if config.MaxBody == 0 {
		config.MaxBody = math.MaxInt64
	}
	runs, stopRuns := context.WithCancel(context.Background())
	e := &Entry{
		config:      config,
		node:        config.Node,
		permits:     newPermits(config.Node.Ledger(), config.Node.RequestPermits),
		claims:      newClaims(config.Node, config.ClaimRetention),
		forwarder:   newForwarder(connectionsPerEndpoint),
		runs:        runs,
		stopRuns:    stopRuns,
		hostsRead:   make(chan struct{}),
		outstanding: &outstanding{},
		metrics:     newMeters(),
	}
	e.services.Store(&map[string]*service{})
	e.said.interval = config.Node.GossipInterval() * sayingsShare / 100
	e.claims.background = e.background
	e.charges = newCharges(config.Node, config.Log)
	e.books = &books{claims: e.claims, charges: e.charges, background: e.background}
	return e
}

// now returns the time; decisions take it as an argument.
func (e *Entry) now() time.Time { return time.Now() }

// background runs what need not hold up a caller.
func (e *Entry) background(do func(ctx context.Context)) {
	e.late.Go(func() { do(e.runs) })
}

// Run drives queues, claims, charges and the view of endpoints until the
// context ends, then delivers one error.
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

// AwaitReady waits until the entry knows endpoints, and for a bounded time
// until it holds permits of every team; there may be none to spare.
func (e *Entry) AwaitReady(ctx context.Context) error {
	select {
	case <-e.hostsRead:
	case <-ctx.Done():
		return ctx.Err()
	}
	until := e.now().Add(permitsPatience)
	for !e.hasPermits() && e.now().Before(until) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(permitsPoll):
		}
	}
	return nil
}

// hasPermits reports whether the entry holds permits of every team, and asks
// for those that it lacks.
func (e *Entry) hasPermits() bool {
	all := true
	for team := range e.node.Configuration().View().State.Catalogue.Teams {
		if available(e.node.Ledger(), team) {
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

// Drain waits for attempts that nobody waits for any more, until the context
// ends, and then gives up those that are left.
func (e *Entry) Drain(ctx context.Context) error {
	settled := make(chan struct{})
	go func() {
		e.late.Wait()
		e.forwarder.close()
		close(settled)
	}()
	select {
	case <-settled:
		e.stopRuns()
		return nil
	case <-ctx.Done():
		e.stopRuns()
		<-settled
		return ctx.Err()
	}
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := e.now()
	c, problem := e.serve(w, r, started)
	if problem == nil {
		e.metrics.answered(c, e.now().Sub(started))
		return
	}
	problem.RequestID = c.id
	e.metrics.refused(problem)
	e.config.Log.Debug("request answered by the entry",
		"request-id", c.id, "reason", problem.Reason, "outcome", problem.Outcome, "service", c.entry.Name, "team", c.team)
	writeProblem(w, problem)
}

// serve handles one request; nil means that the caller has its answer.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, now time.Time) (*call, *api.Problem) {
	view := e.node.Configuration().View()
	if !view.Fresh(now) {
		c := &call{id: newID()}
		return c, busy("configuration-stale", "it is not known whether keys were withdrawn", comeBackSoon)
	}
	c, refusal := checkCall(&view.State, e.config.MaxBody, w, r, now)
	if refusal != nil {
		return c, refusal
	}
	if c.entry.Kind == catalogue.KindQueue {
		return c, e.serveQueue(w, c)
	}
	if c.marked() {
		return c, e.serveMarked(w, c)
	}
	adm, refusal := e.admit(c, e.service(c.entry.Name))
	if refusal != nil {
		return c, refusal
	}
	return c, e.run(w, c, adm)
}

// service returns the service's state, made at its first use.
func (e *Entry) service(name string) *service {
	if s, ok := (*e.services.Load())[name]; ok {
		return s
	}
	e.grow.Lock()
	defer e.grow.Unlock()
	services := *e.services.Load()
	if s, ok := services[name]; ok {
		return s
	}
	self := e.node.Self()
	s := newService(self.Name, self.DataCentre, self.Incarnation+uint64(len(services)), e.outstanding)
	grown := maps.Clone(services)
	grown[name] = s
	e.services.Store(&grown)
	return s
}

// eachService calls do for every known service.
func (e *Entry) eachService(do func(name string, s *service)) {
	for name, s := range *e.services.Load() {
		do(name, s)
	}
}

// scheduleLoop lets queues refuse in time and take up new slots.
func (e *Entry) scheduleLoop(ctx context.Context) {
	ticker := time.NewTicker(scheduleTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.eachService(func(_ string, s *service) { s.tick(e.now()) })
		}
	}
}

// PermitsChanged implements node.Part.
func (e *Entry) PermitsChanged() { e.permits.pumpAll() }

// RosterChanged implements node.Part.
func (e *Entry) RosterChanged(members roster.Roster, rowVersion uint64) {
	e.claims.rosterChanged(members, rowVersion)
	e.charges.rosterChanged(members)
}

// HandOver passes the idle permits to another entry, for a planned stop.
func (e *Entry) HandOver(ctx context.Context) { e.node.HandOver(ctx) }

// Flush waits until the table has this entry's charges.
func (e *Entry) Flush(ctx context.Context) { e.charges.flush(ctx) }
