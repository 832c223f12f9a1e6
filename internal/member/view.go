package member

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"net/netip"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/evacuation"
	"github.com/sourcegraph/conc/pool"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/member/memberpb"
	"github.com/lovagedyke/lovagedyke/internal/policy"
	"github.com/lovagedyke/lovagedyke/internal/record"
)

// callHello exchanges views with another process. It reports whether that
// process leads.
func (n *Node) callHello(ctx context.Context, address netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	sentAt := time.Now()
	view, err := n.dialer.dial(address).Hello(ctx, n.view(unknownMembers))
	if err != nil {
		return false
	}
	n.applyView(view, sentAt)
	if !view.Leading {
		return false
	}
	n.mu.Lock()
	n.leaderHeardAt = time.Now()
	n.mu.Unlock()
	return true
}

// unknownMembers is the version of no list of members.
const unknownMembers = 0

// view returns this process's view of the group, as sent to another member that has
// the list of members of version known.
func (n *Node) view(known uint64) *memberpb.View {
	largest, sizes, outlook := n.config.MaxHostResources(), n.ownHostSizes(), n.ownOutlook()
	var evacuations evacuation.Set
	if n.config.Evacuations != nil {
		evacuations = n.config.Evacuations.Current()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	sinceHeard := time.Since(n.leaderHeardAt)
	if n.leading {
		sinceHeard = 0
	}
	view := &memberpb.View{
		From:  encodeMember(n.self()),
		Token: n.claim.Token, Leading: n.leading, StoreReached: n.storeOKAt.After(n.storeFailedAt),
		LeaderHeardMs: sinceHeard.Milliseconds(), PolicyVersion: n.config.PolicyVersion(),
		MembersVersion: n.leadersMembersVersion, EvacuationsAsOf: evacuations.AsOf, Evacuated: evacuations.DataCentres,
	}
	if n.claim.Token != 0 {
		view.Leader = &memberpb.Address{Name: n.claim.Name, Address: n.claim.Address.String()}
	}
	if n.leading {
		view.LargestCpu, view.LargestMemory, view.LargestGpu = largest.CPU, largest.Memory, largest.GPU
		view.HostSizes = encodeHostSizes(sizes)
		view.Outlook = outlook
		view.MembersVersion = membersVersion(n.members)
		if view.MembersVersion == known {
			return view
		}
		for _, member := range n.members {
			view.Members = append(view.Members, encodeMember(member))
		}
	}
	return view
}

// membersVersion returns a hash of a list of members, which does not depend on its
// order and is never unknownMembers.
func membersVersion(members map[string]record.Member) uint64 {
	sum := uint64(len(members)) + 1
	for _, member := range members {
		hash := fnv.New64a()
		_, _ = fmt.Fprintf(hash, "%s %s %g %g %d", member.Name, member.Address, member.CPUCores, member.LinkMbps, member.RowFormat) // never fails
		sum += hash.Sum64()
	}
	return max(sum, unknownMembers+1)
}

// applyView updates the node's state from another process's view, which is not older
// than at: the time of the request for an answer, since that may have waited.
func (n *Node) applyView(view *memberpb.View, at time.Time) {
	if leader, ok := decodeAddress(view.Leader); ok {
		n.observeClaim(record.Claim{Token: view.Token, Name: leader.Name, Address: leader.Address}, "peer")
	}
	if n.config.Evacuations != nil {
		n.config.Evacuations.Update(evacuation.NewSet(view.EvacuationsAsOf, view.Evacuated...), evacuation.SourcePeer)
	}
	from, ok := decodeAddress(view.From)
	if !ok {
		return
	}
	if view.Leading && from.Name != n.config.Name {
		n.outlooks.Receive(view.Token, view.Outlook, time.Now())
	}
	if from.Name != n.config.Name && n.config.OnPolicyVersion != nil {
		n.config.OnPolicyVersion(view.PolicyVersion, from)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if from.Name != n.config.Name {
		n.members[from.Name] = from
	}
	if view.Leading && view.LargestCpu > 0 {
		n.maxHostResources = policy.Resources{CPU: view.LargestCpu, Memory: view.LargestMemory, GPU: view.LargestGpu}
	}
	if view.Leading && len(view.HostSizes) > 0 {
		n.hostSizes = decodeHostSizes(view.HostSizes)
	}
	if n.leading && view.Token <= n.claim.Token && at.After(n.confirmedAt[from.Name]) {
		n.confirmedAt[from.Name] = at
	}
	delete(n.peersWithStore, from.Name)
	if view.StoreReached {
		n.peersWithStore[from.Name] = time.Now()
	}
	if view.Leading && len(view.Members) > 0 {
		n.leadersMembersVersion = view.MembersVersion
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
	return record.Member{
		Name: address.Name, Address: parsed, CPUCores: address.Processor, LinkMbps: address.Link,
		RowFormat: job.RowFormat(address.RowFormat),
	}, err == nil
}

func encodeMember(member record.Member) *memberpb.Address {
	return &memberpb.Address{
		Name: member.Name, Address: member.Address.String(), Processor: member.CPUCores, Link: member.LinkMbps,
		RowFormat: int64(member.RowFormat),
	}
}

// fetchView returns another process's view.
func (n *Node) fetchView(ctx context.Context, address netip.AddrPort) (*memberpb.View, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	return n.dialer.dial(address).Hello(ctx, n.view(unknownMembers))
}

// maxConcurrentHellos is the number of members that are asked for their views at the same time.
const maxConcurrentHellos = 32

// fetchViews asks members for their views at the same time, since each that is down delays the
// answer by helloTimeout: a data centre without power holds a third of them. It applies the views
// and calls visit with them, one after the other, until visit returns false, and returns how many
// members have answered.
func (n *Node) fetchViews(ctx context.Context, members []record.Member, visit func(record.Member, *memberpb.View) bool) int {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan viewAnswer)
	go n.askViews(ctx, members, answers)
	answered := 0
	for answer := range answers {
		if ctx.Err() != nil {
			// Waits for askViews to end.
			continue
		}
		answered++
		n.applyView(answer.view, answer.sentAt)
		if !visit(answer.member, answer.view) {
			cancel()
		}
	}
	return answered
}

// viewAnswer is a member's view, and when it was asked for.
type viewAnswer struct {
	member record.Member
	view   *memberpb.View
	sentAt time.Time
}

// askViews sends the views of the members that answer, and then closes the channel.
func (n *Node) askViews(ctx context.Context, members []record.Member, answers chan<- viewAnswer) {
	defer close(answers)
	callers := pool.New().WithMaxGoroutines(maxConcurrentHellos)
	for _, member := range members {
		callers.Go(func() {
			sentAt := time.Now()
			view, err := n.fetchView(ctx, member.Address)
			if err != nil {
				return
			}
			select {
			case answers <- viewAnswer{member: member, view: view, sentAt: sentAt}:
			case <-ctx.Done():
			}
		})
	}
	callers.Wait()
}

// successors returns the members that a leader may hand over to: those that have confirmed it
// within leaderTimeout first, the strongest first among them.
func (n *Node) successors() []record.Member {
	members := n.others()
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	// Members send hellos at their own interval, which grows with their number.
	recently := max(leaderTimeout, 2*time.Duration(len(n.members))*helloIntervalPerMember)
	isSilent := func(member record.Member) int {
		if now.Sub(n.confirmedAt[member.Name]) > recently {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(members, func(a, b record.Member) int { return cmp.Compare(isSilent(a), isSilent(b)) })
	return members
}

// others returns the members except the leader and this process, the strongest first.
func (n *Node) others() []record.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	var others []record.Member
	for _, member := range n.members {
		if member.Name != n.claim.Name {
			others = append(others, member)
		}
	}
	slices.SortFunc(others, func(a, b record.Member) int { return cmp.Compare(b.Strength(), a.Strength()) })
	return others
}

// RowFormat returns the newest form of a job's row that all members read. Before this
// process knows others, they may be of any version.
func (n *Node) RowFormat() job.RowFormat {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.members) == 0 {
		return job.RowJSON
	}
	format := job.NewestRowFormat
	for _, member := range n.members {
		format = min(format, max(job.RowJSON, member.RowFormat))
	}
	return format
}

// Contact is another member, and when it last confirmed this process as leader.
type Contact struct {
	record.Member
	ConfirmedAt time.Time
}

// Contacts returns all members except this process.
func (n *Node) Contacts() []Contact {
	n.mu.Lock()
	defer n.mu.Unlock()
	contacts := make([]Contact, 0, len(n.members))
	for name, member := range n.members {
		contacts = append(contacts, Contact{Member: member, ConfirmedAt: n.confirmedAt[name]})
	}
	return contacts
}

// Peers returns all members except this process, or the seeds while no member
// is known.
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

// relays returns members through which to call the store, those that reported
// that they reach it first.
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
	return all[:min(len(all), maxRelays)]
}
