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
	// idleRounds is the number of gossip intervals between two exchanges while
	// nothing is urgent.
	idleRounds = 4
	// urgentTime is how long gossip stays urgent after a roster change.
	urgentTime = 3 * time.Second
)

// exchangeTimeout bounds one exchange of states.
const exchangeTimeout = time.Second

// peerView is the known state of another member.
type peerView struct {
	exchanging atomic.Bool
	// Guarded by Node.mu.
	answered  bool
	lastHeard time.Time
	inForce   uint64
	permits   map[string]limit.Status
	// confirmations are received transfers that the next state sent to the member
	// confirms, so that the member stops repeating them.
	confirmations []*peerpb.Transfer
}

// PeerStatus describes another member in the state dump.
type PeerStatus struct {
	roster.Member
	LastHeard time.Time `json:"heard"`
	InForce   uint64    `json:"revision-in-force"`
}

// gossipLoop runs a gossip round each interval, and only every idleRounds
// intervals while nothing is urgent.
func (n *Node) gossipLoop(ctx context.Context) {
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(jitter(n.config.GossipInterval)):
		}
		n.ledger.Tick(time.Now())
		n.permitsChanged()
		if round%idleRounds != 0 && n.isIdle() {
			continue
		}
		n.gossip(ctx)
		n.requestAllPermits()
	}
}

// isIdle reports whether this process has nothing urgent to send. A peer with
// something urgent starts an exchange itself.
func (n *Node) isIdle() bool {
	if time.Now().UnixNano() < n.urgentUntil.Load() || len(n.ledger.Unconfirmed()) > 0 || len(n.ledger.Reports()) > 0 {
		return false
	}
	for _, part := range n.parts {
		if part.IsUrgent() {
			return false
		}
	}
	return true
}

// gossip starts an exchange with each member that has none in progress.
func (n *Node) gossip(ctx context.Context) {
	members, _ := n.Roster()
	for _, member := range members.Members {
		if member.Identity == n.config.Self.Identity {
			continue
		}
		view := n.view(member.Identity)
		if !view.exchanging.CompareAndSwap(false, true) {
			continue
		}
		n.exchanges.Go(func() {
			defer view.exchanging.Store(false)
			n.exchange(ctx, member)
		})
	}
}

// exchange exchanges states with one member.
func (n *Node) exchange(ctx context.Context, member roster.Member) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	started := time.Now()
	reply, err := n.Dial(member).Exchange(ctx, n.state(started, member.Identity, 0))
	if err != nil {
		return
	}
	// Another process may use the member's address by now.
	if peer.Identity(reply.GetFrom()) != member.Identity {
		return
	}
	n.recordAnswer(member.Identity)
	n.configuration.HandleStatement(started, peer.Statement(reply.GetFrom(), reply.GetConfiguration()))
	n.applyState(reply)
}

// state returns the state to send to a peer; digest is the peer's digest of the
// managers, or 0 if it is not known.
func (n *Node) state(now time.Time, to roster.Identity, digest uint64) *peerpb.State {
	members, _ := n.Roster()
	view := n.configuration.View()
	state := &peerpb.State{
		From:           peer.IdentityMessage(n.config.Self.Identity),
		RosterVersion:  members.Version,
		Configuration:  peer.StatementMessage(n.configuration.Statement(now, digest), view.State.Revision),
		Manager:        n.config.Self.Role == roster.RoleManager,
		ManagersDigest: n.configuration.Digest(),
		Confirmed:      n.popConfirmations(to),
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

// applyState handles the state received from a peer.
func (n *Node) applyState(state *peerpb.State) {
	from := peer.Identity(state.GetFrom())
	members, _ := n.Roster()
	if state.GetRosterVersion() > members.Version {
		n.PollNow()
	}
	if !members.Contains(from) {
		return
	}
	n.recordState(from, state)
	if state.GetConfiguration().GetRevision() > n.configuration.View().State.Revision {
		n.PollNow()
	}
	n.applyTransfers(from, state)
	for _, part := range n.parts {
		part.ApplyState(from, state)
	}
}

// recordAnswer records that the member has answered this process.
func (n *Node) recordAnswer(id roster.Identity) {
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

// applyTransfers receives the peer's transfers of permits, and its confirmations
// of transfers to it.
func (n *Node) applyTransfers(from roster.Identity, state *peerpb.State) {
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

// receive applies one transfer and queues its confirmation.
func (n *Node) receive(from roster.Identity, transfer *peerpb.Transfer) {
	if !n.ledger.Receive(peer.Transfer(transfer)) {
		return
	}
	view := n.view(from)
	n.mu.Lock()
	defer n.mu.Unlock()
	view.confirmations = append(view.confirmations, transfer)
}

// popConfirmations removes and returns the queued confirmations for a peer. If they
// are lost, the peer repeats the transfers, and they are confirmed again.
func (n *Node) popConfirmations(to roster.Identity) []*peerpb.Transfer {
	view := n.view(to)
	n.mu.Lock()
	defer n.mu.Unlock()
	confirmations := view.confirmations
	view.confirmations = nil
	return confirmations
}

// recordState records a peer's revision in force and its permits.
func (n *Node) recordState(from roster.Identity, state *peerpb.State) {
	permits := make(map[string]limit.Status, len(state.GetPermits()))
	for _, status := range state.GetPermits() {
		permits[status.GetTeam()] = peer.Permits(status)
	}
	view := n.view(from)
	n.mu.Lock()
	defer n.mu.Unlock()
	view.lastHeard = time.Now()
	view.inForce = max(view.inForce, state.GetConfiguration().GetInForce())
	view.permits = permits
}

// view returns the known state of a member.
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

// prunePeers drops the state of processes that have left the roster.
func (n *Node) prunePeers(members roster.Roster) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id := range n.peers {
		if !members.Contains(id) {
			delete(n.peers, id)
		}
	}
}

// InForce returns the members that have confirmed at least the wanted revision,
// and those that have not.
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

// RecordInForce records that the member has confirmed the revision.
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
			peers = append(peers, PeerStatus{Member: member, LastHeard: view.lastHeard, InForce: view.inForce})
		}
	}
	return peers
}

// peerPermits returns each peer's last reported status of the team's permits.
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
