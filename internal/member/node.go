package member

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

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
	// spreadMost spreads the candidates' attempts.
	spreadMost = 120 * time.Millisecond
	// strongerPause is waited for each process that has more processor, up to
	// strongerMost.
	strongerPause = 40 * time.Millisecond
	strongerMost  = 400 * time.Millisecond
)

// Journal takes what a process comes to believe.
type Journal interface {
	Note(event string, fields ...any)
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
	Largest func() policy.Resources
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
	// wished is true once the leader has asked us to take over.
	wished   bool
	stopping bool
	resign   context.CancelFunc
	// storeOKAt and storeFailedAt are when the store last answered us, or did not.
	storeOKAt, storeFailedAt time.Time
	// renewedAt is when the leader's renewal last changed, as far as we have read it.
	renewal   uint64
	renewedAt time.Time
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

// join writes our row and reads the others'.
func (n *Node) join(ctx context.Context) {
	self := record.Member{Name: n.config.Name, Address: n.config.Address, Processor: n.config.Processor}
	err := n.config.Store.Commit(ctx, table.Txn{Writes: []table.Write{{Key: record.MemberKey(self.Name), Value: record.Encode(self)}}})
	n.noteStore(err)
	if err != nil {
		n.config.Journal.Note("member row not written", "error", err.Error())
	}
	n.readMembers(ctx)
	n.readClaim(ctx, n.Store())
}

// readMembers reads all members' rows.
func (n *Node) readMembers(ctx context.Context) {
	rows, err := n.Store().Scan(ctx, record.MemberPrefix)
	if err != nil {
		n.config.Journal.Note("members not read", "error", err.Error())
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members = map[string]record.Member{}
	for _, row := range rows {
		member, err := record.Decode[record.Member](row.Value)
		if err != nil || member.Name == n.config.Name || !member.Address.IsValid() {
			continue
		}
		n.members[member.Name] = member
	}
}

// readClaim reads in a store which process leads. It reports whether the store answered.
func (n *Node) readClaim(ctx context.Context, store table.Store) bool {
	rows, err := store.Get(ctx, record.ClaimKey, record.RenewalKey)
	if store == n.config.Store {
		n.noteStore(err)
	}
	if err != nil {
		return false
	}
	if rows[0].Version == table.Absent {
		n.mu.Lock()
		n.claimVersion = table.Absent
		n.mu.Unlock()
		return true
	}
	claim, err := record.Decode[record.Claim](rows[0].Value)
	if err != nil {
		n.config.Journal.Note("claim is not readable", "error", err.Error())
		return false
	}
	n.mu.Lock()
	n.claimVersion = rows[0].Version
	if rows[1].Version != n.renewal {
		n.renewal = rows[1].Version
		n.renewedAt = time.Now()
	}
	n.mu.Unlock()
	n.learn(claim, "store")
	return true
}

// learn takes a claim that may be newer than ours.
func (n *Node) learn(claim record.Claim, source string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	isNew := claim.Token > n.claim.Token || claim.Token == n.claim.Token && claim.Released && !n.claim.Released
	if !isNew {
		return
	}
	n.config.Journal.Note("leader learned", "leader", claim.Name, "token", claim.Token, "released", claim.Released, "source", source)
	n.claim = claim
	n.renewedAt = time.Now()
	if n.leading {
		n.leading = false
		n.resign()
		n.config.Journal.Note("leadership lost", "to", claim.Name, "token", claim.Token)
	}
	n.heardAt = time.Now()
	if claim.Released {
		n.heardAt = time.Time{}
	}
	n.signal()
}

// signal wakes the loop; n.mu may be held.
func (n *Node) signal() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// round does what is due: as leader keep the claim, else watch the leader.
func (n *Node) round(ctx context.Context) {
	n.mu.Lock()
	leading, stopping, claim := n.leading, n.stopping, n.claim
	silent := time.Since(n.heardAt) > leaderSilence
	n.mu.Unlock()
	switch {
	case leading:
		n.lead(ctx)
		return
	case stopping:
		return
	case claim.Token != 0 && !claim.Released && claim.Name != n.config.Name:
		if n.helloTo(ctx, claim.Address) || !silent {
			return
		}
	}
	n.succeed(ctx)
}

// lead refreshes the members, and hands over when the store turns away us alone.
func (n *Node) lead(ctx context.Context) {
	n.mu.Lock()
	storeSince := time.Since(n.storeOKAt)
	isCut := n.storeFailedAt.After(n.storeOKAt) && storeSince > storeSilence
	isStale := storeSince > membersEvery
	n.mu.Unlock()
	if isCut && !n.reachesStore(ctx) {
		n.handOver(ctx, "store turns us away")
		return
	}
	if isStale {
		n.readMembers(ctx)
	}
}

// reachesStore asks the store once more: it may have come back for all.
func (n *Node) reachesStore(ctx context.Context) bool {
	asking, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	return n.readClaim(asking, n.config.Store)
}

// hello exchanges views. It reports whether the other one leads.
func (n *Node) helloTo(ctx context.Context, address netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	view, err := n.dialer.dial(address).Hello(ctx, n.view())
	if err != nil {
		return false
	}
	n.takeView(view)
	if !view.Leading {
		return false
	}
	n.mu.Lock()
	n.heardAt = time.Now()
	n.mu.Unlock()
	return true
}

// view is what we tell others.
func (n *Node) view() *memberpb.View {
	largest := n.config.Largest()
	n.mu.Lock()
	defer n.mu.Unlock()
	heard := time.Since(n.heardAt)
	if n.leading {
		heard = 0
	}
	view := &memberpb.View{
		From:  &memberpb.Address{Name: n.config.Name, Address: n.config.Address.String(), Processor: n.config.Processor},
		Token: n.claim.Token, Leading: n.leading, StoreReached: n.storeOKAt.After(n.storeFailedAt),
		LeaderHeardMs: heard.Milliseconds(), PolicyVersion: n.config.PolicyVersion(),
	}
	if n.claim.Token != 0 {
		view.Leader = &memberpb.Address{Name: n.claim.Name, Address: n.claim.Address.String()}
	}
	if n.leading {
		view.LargestCpu, view.LargestMemory, view.LargestGpu = largest.CPU, largest.Memory, largest.GPU
		for _, member := range n.members {
			view.Members = append(view.Members, &memberpb.Address{Name: member.Name, Address: member.Address.String(), Processor: member.Processor})
		}
	}
	return view
}

// takeView learns from what another process tells.
func (n *Node) takeView(view *memberpb.View) {
	if leader, ok := decodeAddress(view.Leader); ok {
		n.learn(record.Claim{Token: view.Token, Name: leader.Name, Address: leader.Address}, "peer")
	}
	from, ok := decodeAddress(view.From)
	if !ok {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if from.Name != n.config.Name {
		n.members[from.Name] = from
	}
	if view.Leading && view.LargestCpu > 0 {
		n.largest = policy.Resources{CPU: view.LargestCpu, Memory: view.LargestMemory, GPU: view.LargestGpu}
	}
	if n.leading && view.Token <= n.claim.Token {
		n.followedAt[from.Name] = time.Now()
	}
	delete(n.peersWithStore, from.Name)
	if view.StoreReached {
		n.peersWithStore[from.Name] = time.Now()
	}
	for _, address := range view.Members {
		if member, ok := decodeAddress(address); ok && member.Name != n.config.Name {
			n.members[member.Name] = member
		}
	}
}

func decodeAddress(address *memberpb.Address) (record.Member, bool) {
	if address == nil {
		return record.Member{}, false
	}
	parsed, err := netip.ParseAddrPort(address.Address)
	return record.Member{Name: address.Name, Address: parsed, Processor: address.Processor}, err == nil
}

// succeed takes over if no one leads.
func (n *Node) succeed(ctx context.Context) {
	n.pause(ctx, n.candidatePause())
	// Only a process that reaches the store itself can lead well.
	if !n.readClaim(ctx, n.config.Store) {
		return
	}
	n.mu.Lock()
	claim, silent := n.claim, time.Since(n.heardAt)
	renewed := time.Since(n.renewedAt)
	n.mu.Unlock()
	isOpen := claim.Token == 0 || claim.Released || claim.Name == n.config.Name
	if !isOpen && silent <= leaderSilence {
		return
	}
	if !isOpen && !n.othersMissLeader(ctx, renewed) {
		return
	}
	n.take(ctx)
}

// candidatePause is how long to wait before taking over: processes with more
// processor than the others go first, since the leader needs most of it.
func (n *Node) candidatePause() time.Duration {
	n.mu.Lock()
	if n.wished {
		n.wished = false
		n.mu.Unlock()
		return 0
	}
	stronger := 0
	for _, member := range n.members {
		if member.Processor > n.config.Processor {
			stronger++
		}
	}
	n.mu.Unlock()
	return rand.N(spreadMost) + min(strongerMost, time.Duration(stronger)*strongerPause)
}

// othersMissLeader asks the other members whether they hear the leader. While
// no one answers we may be the one that is cut off: then the leader's renewal
// of its claim decides.
func (n *Node) othersMissLeader(ctx context.Context, renewed time.Duration) bool {
	answered := 0
	for _, member := range n.others() {
		view, err := n.ask(ctx, member.Address)
		if err != nil {
			continue
		}
		answered++
		n.takeView(view)
		if view.Leading || view.LeaderHeardMs < leaderSilence.Milliseconds()/2 {
			n.config.Journal.Note("leader is heard by others", "by", member.Name)
			return false
		}
	}
	return answered > 0 || renewed > renewalSilence || len(n.others()) == 0
}

// ask returns another process's view.
func (n *Node) ask(ctx context.Context, address netip.AddrPort) (*memberpb.View, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	return n.dialer.dial(address).Hello(ctx, n.view())
}

// others lists the members but for the leader and ourselves.
func (n *Node) others() []record.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	var others []record.Member
	for _, member := range n.members {
		if member.Name != n.claim.Name {
			others = append(others, member)
		}
	}
	slices.SortFunc(others, func(a, b record.Member) int { return cmp.Compare(b.Processor, a.Processor) })
	return others
}

// take changes the claim to ours, under the condition that it is as we read it.
func (n *Node) take(ctx context.Context) {
	n.mu.Lock()
	next := record.Claim{Token: n.claim.Token + 1, Name: n.config.Name, Address: n.config.Address}
	version, stopping := n.claimVersion, n.stopping
	n.mu.Unlock()
	if stopping {
		return
	}
	err := n.config.Store.Commit(ctx, table.Txn{
		Conditions: []table.Condition{{Key: record.ClaimKey, Version: version}},
		Writes:     []table.Write{{Key: record.ClaimKey, Value: record.Encode(next)}},
	})
	n.noteStore(err)
	if err != nil && !errors.Is(err, table.ErrUnknown) {
		n.config.Journal.Note("claim not taken", "token", next.Token, "error", err.Error())
		n.readClaim(ctx, n.config.Store)
		return
	}
	// The row's new version is part of each later transaction. A lost answer is settled here, too.
	rows, err := n.Store().Get(ctx, record.ClaimKey)
	if err != nil {
		n.config.Journal.Note("claim's outcome not known", "token", next.Token, "error", err.Error())
		return
	}
	current, err := record.Decode[record.Claim](rows[0].Value)
	if err != nil || current.Token != next.Token || current.Name != next.Name {
		n.config.Journal.Note("claim taken by another", "token", current.Token, "leader", current.Name)
		n.learn(current, "store")
		return
	}
	n.won(ctx, current, rows[0].Version)
}

// won starts the leadership.
func (n *Node) won(ctx context.Context, claim record.Claim, version uint64) {
	leadCtx, resign := context.WithCancel(ctx)
	n.mu.Lock()
	if n.stopping || n.leading {
		n.mu.Unlock()
		resign()
		return
	}
	n.claim, n.claimVersion = claim, version
	n.leading, n.resign = true, resign
	n.heardAt = time.Now()
	n.mu.Unlock()
	metrics.GetOrCreateCounter("leaderships_total").Inc()
	n.config.Journal.Note("leadership won", "token", claim.Token)
	n.config.Won(leadCtx, claim, version)
}

// Lost ends our leadership after the store or an endpoint has shown a later one.
func (n *Node) Lost(token uint64, why string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.leading || n.claim.Token != token {
		return
	}
	n.leading = false
	n.resign()
	n.heardAt = time.Time{}
	n.config.Journal.Note("leadership lost", "token", token, "why", why)
	n.signal()
}

// handOver asks a peer that reaches the store to lead.
func (n *Node) handOver(ctx context.Context, why string) {
	n.mu.Lock()
	token := n.claim.Token
	n.mu.Unlock()
	for _, member := range n.others() {
		view, err := n.ask(ctx, member.Address)
		if err != nil {
			continue
		}
		n.takeView(view)
		if !view.StoreReached {
			continue
		}
		lead, cancel := context.WithTimeout(ctx, helloTimeout)
		_, err = n.dialer.dial(member.Address).Lead(lead, &memberpb.LeadRequest{Token: token})
		cancel()
		if err == nil {
			n.config.Journal.Note("leadership handed over", "to", member.Name, "token", token, "why", why)
			n.Lost(token, why)
			return
		}
	}
}

// Stop releases the claim, so that a successor takes over at once. The node
// leads no more.
func (n *Node) Stop(ctx context.Context) {
	n.mu.Lock()
	n.stopping = true
	leading, claim, version := n.leading, n.claim, n.claimVersion
	n.mu.Unlock()
	if !leading {
		return
	}
	n.Lost(claim.Token, "stopping")
	claim.Released = true
	err := n.Store().Commit(ctx, table.Txn{
		Conditions: []table.Condition{{Key: record.ClaimKey, Version: version}},
		Writes:     []table.Write{{Key: record.ClaimKey, Value: record.Encode(claim)}},
	})
	if err != nil {
		n.config.Journal.Note("claim not released", "error", err.Error())
	}
	for _, member := range n.others() {
		call, cancel := context.WithTimeout(ctx, helloTimeout)
		_, err := n.dialer.dial(member.Address).Lead(call, &memberpb.LeadRequest{Token: claim.Token})
		cancel()
		if err == nil {
			n.config.Journal.Note("leadership handed over", "to", member.Name, "token", claim.Token, "why", "stopping")
			return
		}
	}
}

// asked takes over on another process's wish, if its claim is the newest. It
// returns false if this process is about to end itself.
func (n *Node) asked(token uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopping {
		return false
	}
	if n.claim.Token > token || n.leading {
		return true
	}
	n.wished = true
	// As if the claim were released: the next round takes it.
	n.claim = record.Claim{Token: token, Name: n.claim.Name, Address: n.claim.Address, Released: true}
	n.heardAt = time.Time{}
	n.signal()
	return true
}

// noteStore remembers whether the store answers us.
func (n *Node) noteStore(err error) {
	if errors.Is(err, context.Canceled) {
		// It was we who broke the call off.
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	isAnswer := err == nil || table.IsConflict(err)
	was := n.storeOKAt.After(n.storeFailedAt)
	if isAnswer {
		n.storeOKAt = now
	} else {
		n.storeFailedAt = now
	}
	if was != isAnswer {
		n.config.Journal.Note("store reached", "reached", isAnswer)
	}
}

// NoteStore is for other callers of the store in this process.
func (n *Node) NoteStore(err error) {
	n.noteStore(err)
}

// storeLikely reports whether it is worth asking the store directly.
func (n *Node) storeLikely() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.storeOKAt.After(n.storeFailedAt) || time.Since(n.storeFailedAt) > directPause {
		return true
	}
	return len(n.members) == 0
}

// relays lists members to reach the store through, those that said that they do first.
func (n *Node) relays() []record.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	var first, rest []record.Member
	for name, member := range n.members {
		if _, ok := n.peersWithStore[name]; ok {
			first = append(first, member)
		} else {
			rest = append(rest, member)
		}
	}
	for _, seed := range n.config.Seeds {
		if len(n.members) == 0 && seed != n.config.Address {
			rest = append(rest, record.Member{Address: seed})
		}
	}
	all := slices.Concat(first, rest)
	return all[:min(len(all), relayPeers)]
}

// Peers lists all members but ourselves, or the seeds while none is known.
func (n *Node) Peers() []record.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	var peers []record.Member
	for _, member := range n.members {
		peers = append(peers, member)
	}
	for _, seed := range n.config.Seeds {
		if len(n.members) == 0 && seed != n.config.Address {
			peers = append(peers, record.Member{Address: seed})
		}
	}
	return peers
}

// Followed returns since when most members have told us that we lead, ourselves
// among them: of the newest signs of a majority, the oldest.
func (n *Node) Followed() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	needed := (len(n.members) + 1) / 2
	if needed == 0 {
		return time.Time{}
	}
	var signs []time.Time
	for name := range n.members {
		if at, ok := n.followedAt[name]; ok {
			signs = append(signs, at)
		}
	}
	if len(signs) < needed {
		return time.Time{}
	}
	slices.SortFunc(signs, func(a, b time.Time) int { return b.Compare(a) })
	return signs[needed-1]
}

// StoreReached reports whether the store answered our last call.
func (n *Node) StoreReached() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.storeOKAt.After(n.storeFailedAt)
}
