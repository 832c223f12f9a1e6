package node

import (
	"context"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/limit"
	"github.com/lovagedyke/lovagedyke/internal/peer"
	"github.com/lovagedyke/lovagedyke/internal/roster"
)

// askTimeout bounds one request for permits.
const askTimeout = 500 * time.Millisecond

// Short tells that the team has no idle permit here, to ask peers at once.
func (n *Node) RequestPermits(team string) {
	select {
	case n.asks <- team:
	default:
		// The next gossip round asks for all teams.
	}
}

// askLoop asks peers for permits as soon as a team is short of them.
func (n *Node) askLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case team := <-n.asks:
			n.ask(ctx, team)
		}
	}
}

// askForAll has every team that needs more than it holds asked for. The asking
// is left to its own loop: a peer that does not answer must not delay gossip.
func (n *Node) askForAll() {
	for team := range n.configuration.View().State.Catalogue.Teams {
		n.RequestPermits(team)
	}
}

// ask requests permits of a team from the peers that have idle ones.
func (n *Node) ask(ctx context.Context, team string) {
	for _, ask := range n.ledger.TransferRequests(team, n.peerPermits(team)) {
		member, ok := n.FindMember(ask.To)
		if !ok {
			continue
		}
		n.spend(member.Identity, team, ask.Want)
		n.askMember(ctx, member, ask)
	}
}

// askMember makes one request and takes over what is given.
func (n *Node) askMember(ctx context.Context, member roster.Member, ask limit.TransferRequest) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := n.Dial(member).Ask(ctx, peer.AskMessage(ask))
	if err != nil {
		// Ask no more until the peer is heard again. What it gave comes with
		// the next exchange.
		n.forgetPermits(member.Identity)
		return
	}
	if reply.GetTransfer() == nil {
		return
	}
	n.receive(member.Identity, reply.GetTransfer())
	n.permitsChanged()
}

// spend lowers what a peer is believed to have idle, until it says anew.
func (n *Node) spend(id roster.Identity, team string, count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if view, ok := n.peers[id]; ok && view.permits != nil {
		status := view.permits[team]
		status.Idle = max(0, status.Idle-count)
		view.permits[team] = status
	}
}

// forgetPermits drops what a peer told of its permits.
func (n *Node) forgetPermits(id roster.Identity) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if view, ok := n.peers[id]; ok {
		view.permits = nil
	}
}

// FindMember returns the roster's member of that name in the permits' rows.
func (n *Node) FindMember(name limit.Member) (roster.Member, bool) {
	members, _ := n.Roster()
	for _, member := range members.Members {
		if member.Identity.String() == string(name) {
			return member, true
		}
	}
	return roster.Member{}, false
}

// HandOver passes all idle permits to another active entry, for a planned
// stop. What does not arrive comes back by a rebase.
func (n *Node) HandOver(ctx context.Context) {
	members, _ := n.Roster()
	for _, member := range members.Active() {
		if member.Identity == n.config.Self.Identity {
			continue
		}
		for team := range n.configuration.View().State.Catalogue.Teams {
			n.ledger.TransferIdle(team, limit.Member(member.Identity.String()))
		}
		// The exchange carries the transfers, which are repeated each time.
		n.exchange(ctx, member)
		return
	}
}
