// Package manager implements the manager process, which runs beside the entry
// on each entry host. It commits and pushes configuration, divides permits among
// the members, removes departed members from the roster, completes drains, runs
// maintenance waves, and runs the task controllers of the queues.
//
// Several managers may do the same work at once: every write is conditional on
// the versions that were read, so one of them wins. To save table operations,
// only the owner of a row works on it. The owner is chosen by rendezvous hashing
// among the managers that have sent their state recently.
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
	// limitInterval is the time between two reads of the teams' permit allocations.
	limitInterval = 300 * time.Millisecond
	// rosterInterval is the time between two checks for departed members.
	rosterInterval = time.Second
	// reportTimeout is how long a rebase waits for the members' reports.
	reportTimeout = 2 * time.Second
	// managerTimeout is how long a manager may send no state before the other
	// managers take over the rows that it owns.
	managerTimeout = 5 * time.Second
	// eventQueueSize bounds the permit reports, and the drain confirmations,
	// that wait to be handled.
	eventQueueSize = 1024
)

// HostLister returns the platform's list of hosts, which may be out of date.
type HostLister interface {
	Hosts(ctx context.Context) ([]platform.Host, error)
}

// Config configures a Manager.
type Config struct {
	Node     *node.Node
	Platform Platform
	// ListLag is the maximum age of the platform's list of hosts.
	ListLag time.Duration
	// RollOutTime is the deployment's weight of roll-out time, relative to the
	// mean of its weights; see wave.Config.
	RollOutTime float64
	// RebootLimit bounds the time from the start of a host's maintenance until
	// it serves again. After that, its maintenance counts as failed.
	RebootLimit time.Duration
	// ClaimRetention is how long the roster keeps former generations, which
	// locate the replicas of older claims.
	ClaimRetention time.Duration
	Log            *log.Logger
}

// Manager does the periodic work of a manager process. It implements node.Part
// and, for the operators' API, operator.Committer, Fleet, Hosts, Waves and Evacuations.
type Manager struct {
	config        Config
	node          *node.Node
	reports       chan limit.Report
	wake          chan struct{}
	confirmations chan drainConfirmation
	// assignments holds the hosts' rows as last read, keyed by host.
	assignments atomic.Pointer[map[string]pool.Assignment]
	// evacuatedTasks counts the tasks of this manager's shards on the hosts of
	// evacuated data centres, keyed by host. hostLoads holds the other processes'
	// reports of what runs there.
	evacuatedTasks atomic.Pointer[map[string]int]
	hostLoads      *hostLoads

	committer *revision.Committer
	shards    *shards
	// pendingPushes tracks pushes that continue after the operator's request
	// was answered.
	pendingPushes sync.WaitGroup

	mu     sync.Mutex
	joiner *revision.Joiner
}

// New returns a Manager for the node.
func New(config Config) *Manager {
	m := &Manager{
		config:        config,
		node:          config.Node,
		reports:       make(chan limit.Report, eventQueueSize),
		wake:          make(chan struct{}, 1),
		confirmations: make(chan drainConfirmation, eventQueueSize),
		hostLoads:     newHostLoads(),
	}
	m.committer = m.newCommitter()
	m.shards = newShards(m)
	return m
}

// Run does the periodic work until ctx is cancelled. It then waits for pending
// pushes and sends the context's error on the returned channel.
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

// FillState implements node.Part. It adds the tasks on evacuated hosts.
func (m *Manager) FillState(state *peerpb.State) { state.Hosts = m.evacuationConfirmations() }

// ApplyState implements node.Part. It records what runs on the hosts that take no
// new work, and queues an entry's drain confirmations and the permit reports.
func (m *Manager) ApplyState(from roster.Identity, state *peerpb.State) {
	m.hostLoads.record(from, state.GetHosts())
	if m.isEntry(from) {
		m.enqueueConfirmations(from, state.GetHosts())
	}
	for _, report := range state.GetReports() {
		m.enqueueReport(peer.Report(report))
	}
}

// RosterChanged implements node.Part.
func (m *Manager) RosterChanged(members roster.Roster, _ uint64) {
	m.hostLoads.prune(members)
	m.wakeLimitLoop()
}

// PermitsChanged implements node.Part.
func (m *Manager) PermitsChanged() {}

// enqueueReport queues a permit report for limitLoop. A report that is dropped
// because the queue is full is sent again by its member.
func (m *Manager) enqueueReport(report limit.Report) {
	select {
	case m.reports <- report:
	default:
	}
}

// wakeLimitLoop makes limitLoop run before the next interval.
func (m *Manager) wakeLimitLoop() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// owns reports whether this manager is the one that works on the row.
func (m *Manager) owns(row string, now time.Time) bool {
	best, weight := m.node.Self().Name, rendezvousWeight(row, m.node.Self().Name)
	for _, peer := range m.node.Peers() {
		if peer.Role != roster.RoleManager || peer.State != roster.StateActive || now.Sub(peer.LastHeard) > managerTimeout {
			continue
		}
		if candidate := rendezvousWeight(row, peer.Name); candidate > weight {
			best, weight = peer.Name, candidate
		}
	}
	return best == m.node.Self().Name
}

// rendezvousWeight returns a manager's weight for a row.
func rendezvousWeight(row, name string) uint64 {
	return xxhash.Sum64String(row + "\x00" + name)
}
