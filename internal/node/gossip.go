package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/limit"
	"github.com/lovagedyke/lovagedyke/internal/peer"
	"github.com/lovagedyke/lovagedyke/internal/peer/peerpb"
	"github.com/lovagedyke/lovagedyke/internal/roster"
)

const (
	// quietRounds is the number of gossip intervals between two exchanges while
	// nothing is urgent.
	quietRounds = 4
	// activeTime is how long a change of the roster counts as urgent.
	activeTime = 3 * time.Second
)

// exchangeTimeout bounds one exchange of states.
const exchangeTimeout = time.Second

// peerView is what is known of one other member.
type peerView struct {
	busy atomic.Bool
	// Guarded by Node.mu.
	answered bool
	heard    time.Time
	inForce  uint64
	permits  map[string]limit.Status
	// confirms are transfers that the member may stop repeating.
	confirms []*peerpb.Transfer
}

// PeerStatus is one other member in the state dump.
type PeerStatus struct {
	roster.Member
	Heard   time.Time `json:"heard"`
	InForce uint64    `json:"revision-in-force"`
}

// gossipLoop exchanges states with every other member each interval.
func (n *Node) gossipLoop(ctx context.Context) {
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(jitter(n.config.GossipInterval)):
		}
		n.ledger.Tick(time.Now())
		n.permitsChanged()
		if round%quietRounds != 0 && n.quiet() {
			continue
		}
		n.gossip(ctx)
		n.askForAll()
	}
}

// quiet reports whether nothing here is urgent for the peers to know. A peer
// that is busy exchanges states with this process of its own accord.
func (n *Node) quiet() bool {
	if time.Now().UnixNano() < n.activeUntil.Load() || len(n.ledger.Unconfirmed()) > 0 || len(n.ledger.Reports()) > 0 {
		return false
	}
	for _, part := range n.parts {
		if part.IsUrgent() {
			return false
		}
	}
	return true
}

// gossip starts an exchange with each member that has none under way.
func (n *Node) gossip(ctx context.Context) {
	members, _ := n.Roster()
	for _, member := range members.Members {
		if member.Identity == n.config.Self.Identity {
			continue
		}
		view := n.view(member.Identity)
		if !view.busy.CompareAndSwap(false, true) {
			continue
		}
		n.exchanges.Go(func() {
			defer view.busy.Store(false)
			n.exchange(ctx, member)
		})
	}
}

// exchange trades states with one member.
func (n *Node) exchange(ctx context.Context, member roster.Member) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	started := time.Now()
	reply, err := n.Dial(member).Exchange(ctx, n.state(started, member.Identity, 0))
	if err != nil {
		return
	}
	// Another process may stand at the member's address by now.
	if peer.Identity(reply.GetFrom()) != member.Identity {
		return
	}
	n.noteAnswer(member.Identity)
	n.configuration.HandleStatement(started, peer.Statement(reply.GetFrom(), reply.GetConfiguration()))
	n.absorb(reply)
}

// state returns what this process tells the peer, whose digest of the managers
// is given, or 0.
func (n *Node) state(now time.Time, to roster.Identity, digest uint64) *peerpb.State {
	members, _ := n.Roster()
	view := n.configuration.View()
	state := &peerpb.State{
		From:           peer.IdentityMessage(n.config.Self.Identity),
		RosterVersion:  members.Version,
		Configuration:  peer.StatementMessage(n.configuration.Statement(now, digest), view.State.Revision),
		Manager:        n.config.Self.Role == roster.RoleManager,
		ManagersDigest: n.configuration.Digest(),
		Confirmed:      n.takeConfirms(to),
	}
	for _, status := range n.ledger.Statuses() {
		state.Permits = append(state.Permits, peer.PermitsMessage(status))
	}
	for _, transfer := range n.ledger.Unconfirmed() {
		if transfer.To == limit.Member(to.String()) {
			state.Transfers = append(state.Transfers, peer.TransferMessage(transfer))
		}
	}
	for _, report := range n.ledger.Reports() {
		state.Reports = append(state.Reports, peer.ReportMessage(report))
	}
	for _, part := range n.parts {
		part.FillState(state)
	}
	return state
}

// absorb takes a peer's state.
func (n *Node) absorb(state *peerpb.State) {
	from := peer.Identity(state.GetFrom())
	members, _ := n.Roster()
	if state.GetRosterVersion() > members.Version {
		n.PollNow()
	}
	if !members.Contains(from) {
		return
	}
	n.note(from, state)
	if state.GetConfiguration().GetRevision() > n.configuration.View().State.Revision {
		n.PollNow()
	}
	n.trade(from, state)
	for _, part := range n.parts {
		part.ApplyState(from, state)
	}
}

// noteAnswer keeps that the member knows this process.
func (n *Node) noteAnswer(id roster.Identity) {
	view := n.view(id)
	n.mu.Lock()
	defer n.mu.Unlock()
	view.answered = true
}

// Answered returns the members that have answered this process.
func (n *Node) Answered() []roster.Identity {
	n.mu.Lock()
	defer n.mu.Unlock()
	var ids []roster.Identity
	for id, view := range n.peers {
		if view.answered {
			ids = append(ids, id)
		}
	}
	return ids
}

// trade takes the permits that the peer passed, and its word on those passed
// to it.
func (n *Node) trade(from roster.Identity, state *peerpb.State) {
	for _, confirmed := range state.GetConfirmed() {
		n.ledger.Confirm(peer.Transfer(confirmed))
	}
	for _, transfer := range state.GetTransfers() {
		n.receive(from, transfer)
	}
	if len(state.GetTransfers()) > 0 {
		n.permitsChanged()
	}
}

// receive takes over one transfer and notes that the peer may stop repeating it.
func (n *Node) receive(from roster.Identity, transfer *peerpb.Transfer) {
	if !n.ledger.Receive(peer.Transfer(transfer)) {
		return
	}
	view := n.view(from)
	n.mu.Lock()
	defer n.mu.Unlock()
	view.confirms = append(view.confirms, transfer)
}

// takeConfirms returns what the peer may stop repeating. When it is lost on the
// way the peer repeats the transfer, and it is confirmed again.
func (n *Node) takeConfirms(to roster.Identity) []*peerpb.Transfer {
	view := n.view(to)
	n.mu.Lock()
	defer n.mu.Unlock()
	confirms := view.confirms
	view.confirms = nil
	return confirms
}

// note keeps what the peer said of itself.
func (n *Node) note(from roster.Identity, state *peerpb.State) {
	permits := make(map[string]limit.Status, len(state.GetPermits()))
	for _, status := range state.GetPermits() {
		permits[status.GetTeam()] = peer.Permits(status)
	}
	view := n.view(from)
	n.mu.Lock()
	defer n.mu.Unlock()
	view.heard = time.Now()
	view.inForce = max(view.inForce, state.GetConfiguration().GetInForce())
	view.permits = permits
}

// view returns what is known of a member.
func (n *Node) view(id roster.Identity) *peerView {
	n.mu.Lock()
	defer n.mu.Unlock()
	view, ok := n.peers[id]
	if !ok {
		view = &peerView{}
		n.peers[id] = view
	}
	return view
}

// forgetPeers drops what is known of processes that left the roster.
func (n *Node) forgetPeers(members roster.Roster) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id := range n.peers {
		if !members.Contains(id) {
			delete(n.peers, id)
		}
	}
}

// InForce returns the members that have confirmed the revision and the others.
func (n *Node) InForce(wanted uint64) (confirmed, missing []string) {
	members, _ := n.Roster()
	for _, member := range members.Members {
		if n.RevisionOf(member.Identity) >= wanted {
			confirmed = append(confirmed, member.Name)
		} else {
			missing = append(missing, member.Name)
		}
	}
	return confirmed, missing
}

// RevisionOf returns the newest revision that a member has confirmed.
func (n *Node) RevisionOf(id roster.Identity) uint64 {
	if id == n.config.Self.Identity {
		return n.configuration.View().State.Revision
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if view, ok := n.peers[id]; ok {
		return view.inForce
	}
	return 0
}

// NoteInForce keeps that the member has confirmed the revision.
func (n *Node) RecordInForce(id roster.Identity, confirmed uint64) {
	view := n.view(id)
	n.mu.Lock()
	defer n.mu.Unlock()
	view.inForce = max(view.inForce, confirmed)
}

// Peers returns the other members for the state dump.
func (n *Node) Peers() []PeerStatus {
	members, _ := n.Roster()
	n.mu.Lock()
	defer n.mu.Unlock()
	var peers []PeerStatus
	for _, member := range members.Members {
		if view, ok := n.peers[member.Identity]; ok {
			peers = append(peers, PeerStatus{Member: member, Heard: view.heard, InForce: view.inForce})
		}
	}
	return peers
}

// peerPermits returns what each peer last told of the team's permits.
func (n *Node) peerPermits(team string) map[limit.Member]limit.Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	statuses := make(map[limit.Member]limit.Status, len(n.peers))
	for id, view := range n.peers {
		if status, ok := view.permits[team]; ok {
			statuses[limit.Member(id.String())] = status
		}
	}
	return statuses
}
