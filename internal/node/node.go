// Package node implements what entry and manager processes share: membership,
// the configuration in force, permits, and gossip with peers.
//
// A node joins the roster, polls the table, exchanges states with every other
// member each gossip interval, and answers the peer calls about configuration
// and permits. A Part adds the state that only one kind of process exchanges.
//
// # Usage
//
//	n := node.New(node.Config{Self: member, Store: store, Dialer: dialer, Log: log})
//	n.Add(part)
//	if err := n.Join(ctx); err != nil {
//		return err
//	}
//	done := n.Run(ctx) // delivers one error after ctx has ended
package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/limit"
	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/internal/peer"
	"github.com/lovagedyke/lovagedyke/internal/peer/peerpb"
	"github.com/lovagedyke/lovagedyke/internal/pool"
	"github.com/lovagedyke/lovagedyke/internal/revision"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// Defaults of Config.
const (
	DefaultGossipInterval = 100 * time.Millisecond
	DefaultPollInterval   = time.Second
)

// joinRetryDelay is the time between two attempts to join the roster.
const joinRetryDelay = 200 * time.Millisecond

// Part adds the state that one kind of process exchanges with its peers, and
// handles changes. Its methods are called concurrently.
type Part interface {
	// FillState adds to the state that is sent to a peer.
	FillState(state *peerpb.State)
	// ApplyState handles the state received from a peer.
	ApplyState(from roster.Identity, state *peerpb.State)
	// RosterChanged handles a new roster and the version of its row.
	RosterChanged(members roster.Roster, rowVersion uint64)
	// HostsChanged handles the hosts' assignments to pools, keyed by host.
	HostsChanged(assignments map[string]pool.Assignment)
	// IsUrgent reports whether there is state to send to the peers without delay.
	IsUrgent() bool
	// PermitsChanged is called when the ledger may hold more permits than before.
	PermitsChanged()
}

// Config configures a Node.
type Config struct {
	Self   roster.Member
	Store  table.Store
	Dialer *peer.Dialer
	Log    *log.Logger
	// FreshBound is how long requests with a key are admitted after the
	// configuration was last confirmed.
	FreshBound     time.Duration
	GossipInterval time.Duration
	PollInterval   time.Duration
}

// withDefaults sets the defaults of unset fields.
func (c Config) withDefaults() Config {
	if c.GossipInterval == 0 {
		c.GossipInterval = DefaultGossipInterval
	}
	if c.PollInterval == 0 {
		c.PollInterval = DefaultPollInterval
	}
	return c
}

// Node is one member of the deployment.
type Node struct {
	config        Config
	configuration *revision.Replica
	ledger        *limit.Ledger
	parts         []Part

	roster atomic.Pointer[versionedRoster]
	// pollNow requests a poll of the table before the next interval.
	pollNow chan struct{}
	// permitRequests holds teams that need more permits.
	permitRequests chan string

	mu    sync.Mutex
	peers map[roster.Identity]*peerView
	// loggedEvacuations is the configuration whose evacuations were logged last.
	loggedEvacuations revision.State

	exchanges sync.WaitGroup
	// urgentUntil is the end of urgent gossip after a roster change, in
	// nanoseconds since the Unix epoch.
	urgentUntil atomic.Int64
}

// versionedRoster is a roster with the version of its row.
type versionedRoster struct {
	roster.Roster
	rowVersion uint64
}

// New returns a node that has not joined the roster yet.
func New(config Config) *Node {
	config = config.withDefaults()
	self := config.Self
	n := &Node{
		config: config,
		configuration: revision.NewReplica(revision.ReplicaConfig{
			Self:  revision.Member(self.Identity),
			Bound: config.FreshBound,
		}),
		ledger:         limit.New(limit.Config{Self: limit.Member(self.Identity.String())}),
		pollNow:        make(chan struct{}, 1),
		permitRequests: make(chan string, 64),
		peers:          make(map[roster.Identity]*peerView),
	}
	n.roster.Store(&versionedRoster{})
	return n
}

// Add attaches a part; it is called before Run.
func (n *Node) Add(part Part) { n.parts = append(n.parts, part) }

// Self returns this process as a member of the roster.
func (n *Node) Self() roster.Member { return n.config.Self }

// Member returns this process's name in the rows of permits.
func (n *Node) Member() limit.Member { return limit.Member(n.config.Self.Identity.String()) }

// Configuration returns this process's replica of the configuration.
func (n *Node) Configuration() *revision.Replica { return n.configuration }

// Ledger returns this process's permits.
func (n *Node) Ledger() *limit.Ledger { return n.ledger }

// Roster returns the newest observed roster and the version of its row.
func (n *Node) Roster() (roster.Roster, uint64) {
	current := n.roster.Load()
	return current.Roster, current.rowVersion
}

// GossipInterval returns the time between two gossip rounds.
func (n *Node) GossipInterval() time.Duration { return n.config.GossipInterval }

// Store returns the table.
func (n *Node) Store() table.Store { return n.config.Store }

// Dial returns the peer client of a member.
func (n *Node) Dial(member roster.Member) peerpb.Peer { return n.config.Dialer.Dial(member.Address) }

// Log returns the process's logger.
func (n *Node) Log() *log.Logger { return n.config.Log }

// Join joins the roster and loads the configuration. It retries until the table
// answers or the context ends: a process that starts while the table is down
// holds no permits and knows no claims, so it can't do anything yet.
func (n *Node) Join(ctx context.Context) error {
	for {
		err := n.tryJoin(ctx)
		if err == nil {
			return nil
		}
		n.config.Log.Warn("roster not joined yet, retrying", "reason", err.Error())
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "join the roster")
		case <-time.After(joinRetryDelay):
		}
	}
}

// tryJoin makes one attempt to join.
func (n *Node) tryJoin(ctx context.Context) error {
	err := n.ChangeRoster(ctx, func(current roster.Roster) (roster.Roster, bool) {
		return roster.Join(current, n.config.Self, time.Now())
	})
	if err != nil {
		return err
	}
	if current, _ := n.Roster(); !current.Contains(n.config.Self.Identity) {
		return errors.Newf("roster holds another process named %q", n.config.Self.Name)
	}
	return n.poll(ctx)
}

// Leave marks this process as leaving, so that the roster assigns its keys to
// other members.
func (n *Node) Leave(ctx context.Context) error {
	return n.ChangeRoster(ctx, func(current roster.Roster) (roster.Roster, bool) {
		return roster.Leave(current, n.config.Self.Identity)
	})
}

// ChangeRoster commits a change of the roster row and retries after a conflict.
// After a lost answer it reads the row and applies the change again, which is
// safe because every change is idempotent.
func (n *Node) ChangeRoster(ctx context.Context, change func(roster.Roster) (roster.Roster, bool)) error {
	for {
		rows, err := n.config.Store.Get(ctx, roster.Key)
		if err != nil {
			return errors.Wrap(err, "read the roster")
		}
		current, err := roster.Decode(rows[0].Value)
		if err != nil {
			return err
		}
		next, changed := change(current)
		if !changed {
			n.observeRoster(current, rows[0].Version)
			return nil
		}
		err = n.config.Store.Commit(ctx, table.Txn{
			Conditions: []table.Condition{{Key: roster.Key, Version: rows[0].Version}},
			Writes:     []table.Write{{Key: roster.Key, Value: next.Encode()}},
		})
		if err != nil && !table.IsConflict(err) && !table.IsUnknown(err) {
			return errors.Wrap(err, "change the roster")
		}
	}
}

// RefreshRoster reads the roster row.
func (n *Node) RefreshRoster(ctx context.Context) error {
	return n.ChangeRoster(ctx, func(current roster.Roster) (roster.Roster, bool) { return current, false })
}

// observeRoster adopts a roster read from the table, if it is newer.
func (n *Node) observeRoster(members roster.Roster, rowVersion uint64) {
	for {
		old := n.roster.Load()
		if old.rowVersion >= rowVersion {
			return
		}
		if n.roster.CompareAndSwap(old, &versionedRoster{Roster: members, rowVersion: rowVersion}) {
			break
		}
	}
	n.urgentUntil.Store(time.Now().Add(urgentTime).UnixNano())
	n.prunePeers(members)
	for _, part := range n.parts {
		part.RosterChanged(members, rowVersion)
	}
}

// Run starts polling and gossip. After the context has ended it delivers one error.
func (n *Node) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		group := loops.New(ctx)
		group.Go(n.pollLoop)
		group.Go(n.gossipLoop)
		group.Go(n.permitLoop)
		group.Wait()
		n.exchanges.Wait()
		done <- ctx.Err()
	}()
	return done
}

// jitter varies an interval by up to 10 % either way, to spread the periodic
// work of many processes.
func jitter(interval time.Duration) time.Duration {
	return interval - interval/10 + rand.N(interval/5+1)
}
