// Package node is what entry and manager processes share: membership, the
// configuration in force, permits, and the exchange of states with peers.
//
// A node joins the roster, polls the table, exchanges states with every other
// member each gossip interval, and answers the peer calls on configuration and
// permits. What only one kind of process tells or learns is added by a Part.
//
// # Usage
//
//	n := node.New(node.Config{Self: member, Store: store, Dialer: dialer, Log: log})
//	n.Add(part)
//	if err := n.Join(ctx); err != nil {
//		return err
//	}
//	done := n.Run(ctx) // ends when ctx does, then delivers one error
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

// joinRetry is the pause between two attempts to join the roster.
const joinRetry = 200 * time.Millisecond

// Part adds what one kind of process tells its peers and learns from them. Its
// methods are called from several goroutines.
type Part interface {
	// Fill adds to the state that goes to a peer.
	FillState(state *peerpb.State)
	// Absorb takes a peer's state.
	ApplyState(from roster.Identity, state *peerpb.State)
	// RosterChanged takes a roster with the version of its row.
	RosterChanged(members roster.Roster, rowVersion uint64)
	// HostsChanged takes the hosts' assignments to pools, by host.
	HostsChanged(assignments map[string]pool.Assignment)
	// Busy reports whether peers should hear of this process without delay.
	IsUrgent() bool
	// PermitsChanged tells that the ledger may hold more permits than before.
	PermitsChanged()
}

// Config constructs a Node.
type Config struct {
	Self   roster.Member
	Store  table.Store
	Dialer *peer.Dialer
	Log    *log.Logger
	// FreshBound is how long a confirmed configuration admits keyed work.
	FreshBound     time.Duration
	GossipInterval time.Duration
	PollInterval   time.Duration
}

// withDefaults fills in what is not set.
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

	roster atomic.Pointer[seenRoster]
	// pollNow asks for a reading of the table before the next interval.
	pollNow chan struct{}
	// asks names teams that are short of permits.
	asks chan string

	mu    sync.Mutex
	peers map[roster.Identity]*peerView

	exchanges sync.WaitGroup
	// activeUntil is the end of urgent gossip after a change of the roster, in
	// nanoseconds of the Unix epoch.
	activeUntil atomic.Int64
}

// seenRoster is a roster with the version of its row.
type seenRoster struct {
	roster.Roster
	rowVersion uint64
}

// New returns a node that is not a member yet.
func New(config Config) *Node {
	config = config.withDefaults()
	self := config.Self
	n := &Node{
		config: config,
		configuration: revision.NewReplica(revision.ReplicaConfig{
			Self:  revision.Member(self.Identity),
			Bound: config.FreshBound,
		}),
		ledger:  limit.New(limit.Config{Self: limit.Member(self.Identity.String())}),
		pollNow: make(chan struct{}, 1),
		asks:    make(chan string, 64),
		peers:   make(map[roster.Identity]*peerView),
	}
	n.roster.Store(&seenRoster{})
	return n
}

// Add attaches a part; it is called before Run.
func (n *Node) Add(part Part) { n.parts = append(n.parts, part) }

// Self returns this process as it stands in the roster.
func (n *Node) Self() roster.Member { return n.config.Self }

// Member returns this process's name in the permits' rows.
func (n *Node) Member() limit.Member { return limit.Member(n.config.Self.Identity.String()) }

// Configuration returns the holder of the configuration in force.
func (n *Node) Configuration() *revision.Replica { return n.configuration }

// Ledger returns this process's permits.
func (n *Node) Ledger() *limit.Ledger { return n.ledger }

// Roster returns the newest roster that was seen, and the version of its row.
func (n *Node) Roster() (roster.Roster, uint64) {
	seen := n.roster.Load()
	return seen.Roster, seen.rowVersion
}

// GossipInterval returns the time between two exchanges with a peer.
func (n *Node) GossipInterval() time.Duration { return n.config.GossipInterval }

// Store returns the table.
func (n *Node) Store() table.Store { return n.config.Store }

// Dial returns the peer client of a member.
func (n *Node) Dial(member roster.Member) peerpb.Peer { return n.config.Dialer.Dial(member.Address) }

// Log returns the process's logger.
func (n *Node) Log() *log.Logger { return n.config.Log }

// Join enters the roster and loads the configuration; it tries until the table
// answers or the context ends. A process that starts while the table is down
// holds no permits and knows no claims, so it has to wait.
func (n *Node) Join(ctx context.Context) error {
	for {
		err := n.tryJoin(ctx)
		if err == nil {
			return nil
		}
		n.config.Log.Warn("not joined yet", "reason", err.Error())
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "join the roster")
		case <-time.After(joinRetry):
		}
	}
}

// tryJoin makes one attempt.
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

// Leave marks this process as leaving, so that its keys move to others.
func (n *Node) Leave(ctx context.Context) error {
	return n.ChangeRoster(ctx, func(current roster.Roster) (roster.Roster, bool) {
		return roster.Leave(current, n.config.Self.Identity)
	})
}

// ChangeRoster commits a change of the roster row, again after a race. A lost
// answer is settled by reading the row: every change is idempotent.
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
			n.seeRoster(current, rows[0].Version)
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

// seeRoster takes a roster that was read from the table.
func (n *Node) seeRoster(members roster.Roster, rowVersion uint64) {
	for {
		old := n.roster.Load()
		if old.rowVersion >= rowVersion {
			return
		}
		if n.roster.CompareAndSwap(old, &seenRoster{Roster: members, rowVersion: rowVersion}) {
			break
		}
	}
	n.activeUntil.Store(time.Now().Add(activeTime).UnixNano())
	n.forgetPeers(members)
	for _, part := range n.parts {
		part.RosterChanged(members, rowVersion)
	}
}

// Run polls and gossips until the context ends, then delivers one error.
func (n *Node) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		group := loops.New(ctx)
		group.Go(n.pollLoop)
		group.Go(n.gossipLoop)
		group.Go(n.askLoop)
		group.Wait()
		n.exchanges.Wait()
		done <- ctx.Err()
	}()
	return done
}

// jitter spreads periodic work of many processes over the interval.
func jitter(interval time.Duration) time.Duration {
	return interval - interval/10 + rand.N(interval/5+1)
}
