package member

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/member/memberpb"
	"github.com/lovagedyke/lovagedyke/internal/policy"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

const (
	// helloLeast is the time between two calls to the leader in a small fleet.
	helloLeast = 250 * time.Millisecond
	// helloPerMember lengthens it, so that the leader answers about 60 calls a second at most.
	helloPerMember = 16 * time.Millisecond
	// helloTimeout bounds one call.
	helloTimeout = 400 * time.Millisecond
	// leaderSilence is how long a leader may be silent before others look for a new one.
	leaderSilence = 900 * time.Millisecond
	// renewalSilence is how long a leader that only we cannot hear may go without
	// renewing its claim in the store.
	renewalSilence = 2500 * time.Millisecond
	// membersEvery is the time between two readings of the members' rows by the leader.
	membersEvery = 3 * time.Second
	// storeSilence is how long a leader keeps its claim while the store turns it
	// away and serves a peer.
	storeSilence = time.Second
	// yieldAfter is how long a process leads before it looks for one with yieldFactor
	// times its processor: a weak one falls behind where there are many hosts, and
	// each change costs half a second without a leader.
	yieldAfter  = 2 * time.Second
	yieldFactor = 2
	// spreadMost spreads the candidates' attempts.
	spreadMost = 120 * time.Millisecond
	// strongerPause is waited for each process that has more processor, up to
	// strongerMost.
	strongerPause = 40 * time.Millisecond
	strongerMost  = 400 * time.Millisecond
)

// Journal takes what a process comes to believe.
type Journal interface {
	Info(event string, fields ...any)
}

// Config is what a Node is built from.
type Config struct {
	Name    string
	Address netip.AddrPort
	// Processor is the part of a core that this process has: those with more take
	// over first.
	Processor float64
	// Seeds are addresses to ask before the store has answered; they may be stale.
	Seeds   []netip.AddrPort
	Store   table.Store
	Journal Journal
	// Won is called when this process leads, and must return at once; the
	// leadership ends with ctx. Policy returns the newest configuration's version.
	Won           func(ctx context.Context, claim record.Claim, version uint64)
	PolicyVersion func() uint64
	// Largest returns the most that one host has of each resource, as far as
	// this process has led and seen it.
	MaxHostResources func() policy.Resources
}

// Node is this process among the others.
type Node struct {
	config Config
	dialer *dialer

	mu      sync.Mutex
	members map[string]record.Member
	claim   record.Claim
	// claimVersion is the claim row's version, if we know it.
	claimVersion uint64
	// followedAt is when each other member last told us that we lead.
	followedAt map[string]time.Time
	heardAt    time.Time
	leading    bool
	// wonAt is when our last leadership began.
	wonAt time.Time
	// wished is true once the leader has asked us to take over.
	wished   bool
	stopping bool
	resign   context.CancelFunc
	// storeOKAt and storeFailedAt are when the store last answered us, or did not.
	storeOKAt, storeFailedAt time.Time
	// renewedAt is when the leader's renewal last changed, as far as we have read it.
	renewal   uint64
	renewedAt time.Time
	// passedOver is for the goroutine of Run alone.
	passedOver passedOver
	// peersWithStore lists the members that said that they reach the store.
	peersWithStore map[string]time.Time
	// largest is the most that one host has, as the leader told.
	largest policy.Resources
	wake    chan struct{}
}

// New returns a node that knows of no others.
func New(config Config) *Node {
	return &Node{
		config: config, dialer: newDialer(), members: map[string]record.Member{},
		peersWithStore: map[string]time.Time{}, followedAt: map[string]time.Time{}, wake: make(chan struct{}, 1),
	}
}

// Store returns the store, reached directly or through peers.
func (n *Node) Store() *Store {
	return &Store{node: n}
}

// Leader returns the process that leads the fleet as far as we know.
func (n *Node) Leader() (leader record.Member, isSelf, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.claim.Token == 0 {
		return record.Member{}, false, false
	}
	return record.Member{Name: n.claim.Name, Address: n.claim.Address}, n.leading, true
}

// Dial returns the client of another process.
func (n *Node) Dial(address netip.AddrPort) memberpb.Member {
	return n.dialer.dial(address)
}

// Run joins the others and keeps watching the leader until ctx ends.
func (n *Node) Run(ctx context.Context) {
	n.join(ctx)
	for ctx.Err() == nil {
		n.round(ctx)
		n.pause(ctx, n.interval())
	}
}

// pause waits, or returns early when something has changed.
func (n *Node) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-n.wake:
	}
}

// interval is the time between two rounds.
func (n *Node) interval() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(helloLeast, time.Duration(len(n.members))*helloPerMember)
}

// signal wakes the loop; n.mu may be held.
func (n *Node) signal() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}
