package member

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/member/memberpb"
	"github.com/lovagedyke/lovagedyke/internal/policy"
	"github.com/lovagedyke/lovagedyke/internal/record"
)

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
	largest := n.config.MaxHostResources()
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
