package node

import (
	"context"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/limit"
	"github.com/lovagedyke/lovagedyke/internal/peer"
	"github.com/lovagedyke/lovagedyke/internal/roster"
)

// permitTimeout bounds one request for permits.
const permitTimeout = 500 * time.Millisecond

// RequestPermits requests permits for a team from the peers at once, because this
// process has no idle one.
func (n *Node) RequestPermits(team string) {
	select {
	case n.permitRequests <- team:
	default:
		// The queue is full: the next gossip round requests permits for all teams.
	}
}

// permitLoop sends the permit requests that are queued per team.
func (n *Node) permitLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case team := <-n.permitRequests:
			n.requestTeamPermits(ctx, team)
		}
	}
}

// requestAllPermits queues a request for every team; those that need no permits
// are skipped later. The requests are sent by permitLoop: a peer that does not
// answer must not delay gossip.
func (n *Node) requestAllPermits() {
	for team := range n.configuration.View().State.Catalogue.Teams {
		n.RequestPermits(team)
	}
}

// requestTeamPermits requests permits for a team from the peers that have idle ones.
func (n *Node) requestTeamPermits(ctx context.Context, team string) {
	for _, request := range n.ledger.TransferRequests(team, n.peerPermits(team)) {
		member, ok := n.FindMember(request.To)
		if !ok {
			continue
		}
		n.deductIdle(member.Identity, team, request.Want)
		n.requestFromMember(ctx, member, request)
	}
}

// requestFromMember sends one request and applies the granted transfer.
func (n *Node) requestFromMember(ctx context.Context, member roster.Member, request limit.TransferRequest) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	reply, err := n.Dial(member).Ask(ctx, peer.TransferRequestMessage(request))
	if err != nil {
		// Send no more requests until the peer reports its permits again. If it
		// granted some, the next exchange repeats the transfer.
		n.clearPermits(member.Identity)
		return
	}
	if reply.GetTransfer() == nil {
		return
	}
	n.receive(member.Identity, reply.GetTransfer())
	n.permitsChanged()
}

// deductIdle lowers a peer's count of idle permits until it reports again.
func (n *Node) deductIdle(id roster.Identity, team string, count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if view, ok := n.peers[id]; ok && view.permits != nil {
		status := view.permits[team]
		status.Idle = max(0, status.Idle-count)
		view.permits[team] = status
	}
}

// clearPermits drops a peer's reported permits.
func (n *Node) clearPermits(id roster.Identity) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if view, ok := n.peers[id]; ok {
		view.permits = nil
	}
}

// FindMember returns the roster's member with that name in the rows of permits.
func (n *Node) FindMember(name limit.Member) (roster.Member, bool) {
	members, _ := n.Roster()
	for _, member := range members.Members {
		if member.Identity.String() == string(name) {
			return member, true
		}
	}
	return roster.Member{}, false
}

// HandOver transfers all idle permits to another active entry before a planned
// stop. Permits that don't arrive are recovered by a rebase.
func (n *Node) HandOver(ctx context.Context) {
	members, _ := n.Roster()
	for _, member := range members.Active() {
		if member.Identity == n.config.Self.Identity {
			continue
		}
		for team := range n.configuration.View().State.Catalogue.Teams {
			n.ledger.TransferIdle(team, limit.Member(member.Identity.String()))
		}
		// The exchange carries the transfers, which are repeated until confirmed.
		n.exchange(ctx, member)
		return
	}
}
