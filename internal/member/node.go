package member

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/admission"
	"github.com/lovagedyke/lovagedyke/internal/courier/courierpb"
	"github.com/lovagedyke/lovagedyke/internal/evacuation"
	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/member/memberpb"
	"github.com/lovagedyke/lovagedyke/internal/policy"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

const (
	// minHelloInterval is the time between two hello calls to the leader in a
	// small fleet.
	minHelloInterval = 250 * time.Millisecond
	// helloIntervalPerMember scales the interval with the number of members, so
	// that the leader answers at most about 60 calls per second.
	helloIntervalPerMember = 16 * time.Millisecond
	// helloTimeout bounds one hello call.
	helloTimeout = 400 * time.Millisecond
	// leaderTimeout is how long a leader may be silent before other processes
	// try to take over.
	leaderTimeout = 900 * time.Millisecond
	// renewalTimeout is how long a leader may go without renewing its claim in
	// the store while no other process answers.
	renewalTimeout = 2500 * time.Millisecond
	// membersInterval is how often the leader rereads the members' rows.
	membersInterval = 3 * time.Second
	// storeOutageTimeout is how long a leader keeps its claim while the store
	// doesn't answer it but answers a peer.
	storeOutageTimeout = time.Second
	// briefStoreFailure is how long the store may fail to answer for no endpoint's entry to expire.
	briefStoreFailure = time.Second
	// minTermBeforeYield is how long a process leads before it looks for one with
	// yieldFactor times its strength: a weak leader falls behind in a large fleet, but
	// each change of leader costs half a second without one.
	minTermBeforeYield = 2 * time.Second
	yieldFactor        = 2
	// maxCandidateJitter spreads the candidates' attempts.
	maxCandidateJitter = 120 * time.Millisecond
	// strongerPeerDelay is a candidate's delay for each stronger member, up
	// to maxStrongerDelay.
	strongerPeerDelay = 40 * time.Millisecond
	maxStrongerDelay  = 400 * time.Millisecond
)

// Journal logs events.
type Journal interface {
	Info(event string, fields ...any)
}

// EvacuationHolder is this process's copy of the set of evacuated data centres.
type EvacuationHolder interface {
	Current() evacuation.Set
	// Update puts a set in force if it is newer.
	Update(set evacuation.Set, source string) bool
}

// Config configures a Node.
type Config struct {
	Name    string
	Address netip.AddrPort
	// CPUCores is the number of CPU cores that this process may use, such as 0.8:
	// processes with more take over first.
	CPUCores float64
	// LinkMbps is the bandwidth of this process's link, in Mbit/s.
	LinkMbps float64
	// Seeds are addresses of peers to use before the store has answered; they
	// may be stale.
	Seeds   []netip.AddrPort
	Store   table.Store
	Journal Journal
	// Dial opens connections to other processes; nil means over TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Won is called when this process becomes the leader, and must return at
	// once; the leadership ends with ctx.
	Won func(ctx context.Context, claim record.Claim, version uint64)
	// PolicyVersion returns the version of the newest configuration.
	PolicyVersion func() uint64
	// OnPolicyVersion is called with the version of another process's configuration,
	// as its views tell it; it must return at once. It may be nil.
	OnPolicyVersion func(version uint64, from record.Member)
	// MaxHostResources returns, per resource, the largest amount that a single
	// host has, or zeros while this process does not lead.
	MaxHostResources func() policy.Resources
	// HostSizes returns the sizes of all hosts, or nil while they are not known or this process does
	// not lead. It may be nil.
	HostSizes func() []fleet.HostSize
	// Evacuations is exchanged with the other processes; it may be nil.
	Evacuations EvacuationHolder
	// Outlook returns the leader's encoded outlook for new jobs, or nil while this process
	// does not lead; it must return at once. It may be nil.
	Outlook func() []byte
}

// Node is this process as a member of the group.
type Node struct {
	config Config
	dialer *dialer

	mu      sync.Mutex
	members map[string]record.Member
	claim   record.Claim
	// leadersMembersVersion is the version of the list of members that the leader
	// sent last.
	leadersMembersVersion uint64
	// claimVersion is the version of the claim row as last read or written.
	claimVersion uint64
	// confirmedAt is when each other member last confirmed this process as leader.
	confirmedAt   map[string]time.Time
	leaderHeardAt time.Time
	leading       bool
	// wonAt is the start of this process's last term.
	wonAt time.Time
	// takeoverRequested is true once the leader has asked this process to take over.
	takeoverRequested bool
	stopping          bool
	cancelTerm        context.CancelFunc
	// storeOKAt and storeFailedAt are the times of the last direct store call
	// that succeeded and failed.
	storeOKAt, storeFailedAt time.Time
	// storeReturnedAt is when the store last answered after it had been unreachable.
	storeReturnedAt time.Time
	// renewalVersion is the version of the leader's renewal row, and renewedAt
	// when this process last observed a change of it.
	renewalVersion uint64
	renewedAt      time.Time
	// leaderLoading is true if the renewal says that the leader reads the rows of a
	// large fleet: they may fill its link, so that it answers no hello.
	leaderLoading bool
	// storeExclusion is used by Run's goroutine only.
	storeExclusion storeExclusion
	// peersWithStore holds the members that reported that they reach the store.
	peersWithStore map[string]time.Time
	// maxHostResources is what the leader last reported of the largest hosts.
	maxHostResources policy.Resources
	// hostSizes is what the leader last reported of all hosts.
	hostSizes []fleet.HostSize
	wake      chan struct{}
	// outlooks holds the newest outlook of a leader.
	outlooks *admission.Holder
}

// New returns a node that knows no other members yet.
func New(config Config) *Node {
	return &Node{
		config: config, dialer: newDialer(config.Dial), members: map[string]record.Member{},
		peersWithStore: map[string]time.Time{}, confirmedAt: map[string]time.Time{}, wake: make(chan struct{}, 1),
		outlooks: admission.NewHolder(admission.HolderConfig{Journal: config.Journal}),
	}
}

// self returns this process as a member.
func (n *Node) self() record.Member {
	return record.Member{
		Name: n.config.Name, Address: n.config.Address, CPUCores: n.config.CPUCores, LinkMbps: n.config.LinkMbps,
		RowFormat: job.NewestRowFormat,
	}
}

// Store returns the store, reached directly or through peers.
func (n *Node) Store() *Store {
	return &Store{node: n}
}

// Leader returns the last known leader.
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

// DialCourier returns the client by which another process carries orders.
func (n *Node) DialCourier(address netip.AddrPort) courierpb.Courier {
	return n.dialer.dialCourier(address)
}

// Run joins the group and monitors the leader, or leads, until ctx ends.
func (n *Node) Run(ctx context.Context) {
	n.join(ctx)
	for ctx.Err() == nil {
		n.round(ctx)
		n.pause(ctx, n.interval())
	}
}

// pause waits for d, or until ctx ends or wakeUp is called.
func (n *Node) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-n.wake:
	}
}

// interval returns the time between two rounds. A leader sends no hellos: it checks
// for itself whether it can still lead, however many members there are.
func (n *Node) interval() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leading {
		return minHelloInterval
	}
	return max(minHelloInterval, time.Duration(len(n.members))*helloIntervalPerMember)
}

// wakeUp wakes Run's loop; n.mu may be held.
func (n *Node) wakeUp() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}
