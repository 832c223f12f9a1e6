// Package manager is the operators' side of each entry host: it commits and
// pushes configuration, divides permits, and keeps the roster true.
//
// Every manager may do all of this at any time: what it writes is conditional
// on the versions that it read, so that of two managers one wins. To spare the
// table, the work on one team or row is left to the manager that rendezvous
// hashing names among those that were heard of lately.
//
// # Usage
//
//	m := manager.New(manager.Config{Node: n, Platform: platform, ListLag: 5 * time.Second, Log: log})
//	n.Add(m)
//	done := m.Run(ctx)
package manager

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"github.com/lovagedyke/lovagedyke/internal/limit"
	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/internal/node"
	"github.com/lovagedyke/lovagedyke/internal/peer"
	"github.com/lovagedyke/lovagedyke/internal/peer/peerpb"
	"github.com/lovagedyke/lovagedyke/internal/platform"
	"github.com/lovagedyke/lovagedyke/internal/pool"
	"github.com/lovagedyke/lovagedyke/internal/revision"
	"github.com/lovagedyke/lovagedyke/internal/roster"
)

const (
	// limitInterval is the time between two looks at the permits' rows.
	limitInterval = 300 * time.Millisecond
	// rosterInterval is the time between two looks at the roster's evidence.
	rosterInterval = time.Second
	// reportTimeout is how long a rebase waits for members that do not answer.
	reportTimeout = 2 * time.Second
	// silence is the time after which a manager's part falls to the others.
	managerTimeout = 5 * time.Second
	// reportQueue bounds the permit reports that wait for the planner.
	eventQueueSize = 1024
)

// HostLister returns the platform's lagging list of hosts.
type HostLister interface {
	Hosts(ctx context.Context) ([]platform.Host, error)
}

// Config constructs a Manager.
type Config struct {
	Node     *node.Node
	Platform Platform
	// ListLag is how far the platform's list may be behind the truth.
	ListLag time.Duration
	// RollOutTime is the weight of waves' time over the mean of the
	// deployment's weights.
	RollOutTime float64
	// RebootLimit is how long a host may take to come back in a wave.
	RebootLimit time.Duration
	// ClaimRetention is how long former generations of the roster may matter.
	ClaimRetention time.Duration
	Log            *log.Logger
}

// Manager is a node.Part.
type Manager struct {
	config        Config
	node          *node.Node
	reports       chan limit.Report
	wake          chan struct{}
	confirmations chan drainConfirmation
	// assignments are the hosts' rows as last read.
	assignments atomic.Pointer[map[string]pool.Assignment]

	committer *revision.Committer
	shards    *shards
	// pushes tracks what goes on after an operator was answered.
	pendingPushes sync.WaitGroup

	mu     sync.Mutex
	joiner *revision.Joiner
}

// New returns a manager over the node.
func New(config Config) *Manager {
	m := &Manager{
		config:        config,
		node:          config.Node,
		reports:       make(chan limit.Report, eventQueueSize),
		wake:          make(chan struct{}, 1),
		confirmations: make(chan drainConfirmation, eventQueueSize),
	}
	m.committer = m.newCommitter()
	m.shards = newShards(m)
	return m
}

// Run does the periodic work until the context ends, then delivers one error.
func (m *Manager) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		group := loops.New(ctx)
		group.Go(m.limitLoop)
		group.Go(m.rosterLoop)
		group.Go(m.resolveLoop)
		group.Go(m.shards.run)
		group.Go(m.drainLoop)
		group.Go(m.waveLoop)
		group.Wait()
		m.pendingPushes.Wait()
		done <- ctx.Err()
	}()
	return done
}

// Fill implements node.Part.
func (m *Manager) FillState(*peerpb.State) {}

// Absorb implements node.Part: it takes reports on permits and words on hosts.
func (m *Manager) ApplyState(from roster.Identity, state *peerpb.State) {
	m.enqueueConfirmations(from, state.GetHosts())
	for _, report := range state.GetReports() {
		m.enqueueReport(peer.Report(report))
	}
}

// RosterChanged implements node.Part.
func (m *Manager) RosterChanged(roster.Roster, uint64) { m.wakeLimitLoop() }

// PermitsChanged implements node.Part.
func (m *Manager) PermitsChanged() {}

// takeReport hands a report to the planner; one that is lost comes again.
func (m *Manager) enqueueReport(report limit.Report) {
	select {
	case m.reports <- report:
	default:
	}
}

// wakeUp has the permits looked at before the next interval.
func (m *Manager) wakeLimitLoop() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// leads reports whether the work on a row is this manager's.
func (m *Manager) owns(row string, now time.Time) bool {
	best, weight := m.node.Self().Name, rendezvousWeight(row, m.node.Self().Name)
	for _, peer := range m.node.Peers() {
		if peer.Role != roster.RoleManager || peer.State != roster.StateActive || now.Sub(peer.Heard) > managerTimeout {
			continue
		}
		if candidate := rendezvousWeight(row, peer.Name); candidate > weight {
			best, weight = peer.Name, candidate
		}
	}
	return best == m.node.Self().Name
}

// weigh is the rendezvous weight of a manager for a row.
func rendezvousWeight(row, name string) uint64 {
	return xxhash.Sum64String(row + "\x00" + name)
}
