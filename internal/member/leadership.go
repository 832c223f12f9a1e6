package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/member/memberpb"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

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
	switch {
	case isCut && !n.reachesStore(ctx):
		if n.handOver(ctx, "store turns us away") {
			return
		}
	default:
		n.passedOver.note(true, false, time.Now())
		if n.yield(ctx) {
			return
		}
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
			n.config.Journal.Info("leader is heard by others", "by", member.Name)
			return false
		}
	}
	return answered > 0 || renewed > renewalSilence || len(n.others()) == 0
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
		n.config.Journal.Info("claim not taken", "token", next.Token, "error", err.Error())
		n.readClaim(ctx, n.config.Store)
		return
	}
	// The row's new version is part of each later transaction. A lost answer is settled here, too.
	rows, err := n.Store().Get(ctx, record.ClaimKey)
	if err != nil {
		n.config.Journal.Info("claim's outcome not known", "token", next.Token, "error", err.Error())
		return
	}
	current, err := record.Decode[record.Claim](rows[0].Value)
	if err != nil || current.Token != next.Token || current.Name != next.Name {
		n.config.Journal.Info("claim taken by another", "token", current.Token, "leader", current.Name)
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
	n.wonAt = time.Now()
	n.heardAt = time.Now()
	n.mu.Unlock()
	metrics.GetOrCreateCounter("leaderships_total").Inc()
	n.config.Journal.Info("leadership won", "token", claim.Token)
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
	n.config.Journal.Info("leadership lost", "token", token, "why", why)
	n.signal()
}

// handOver asks a peer to lead that has reached the store while we did not, for
// some time. It reports whether one has taken over.
func (n *Node) handOver(ctx context.Context, why string) bool {
	n.mu.Lock()
	token := n.claim.Token
	n.mu.Unlock()
	isPeerServed := false
	for _, member := range n.others() {
		view, err := n.ask(ctx, member.Address)
		if err != nil {
			continue
		}
		n.takeView(view)
		if !view.StoreReached {
			continue
		}
		isPeerServed = true
		if !n.passedOver.note(false, true, time.Now()) {
			return false
		}
		if n.offer(ctx, member, token, why) {
			return true
		}
	}
	if !isPeerServed {
		n.passedOver.note(false, false, time.Now())
	}
	return false
}

// yield hands the leadership to a much stronger process that has come back, once
// we have led for a while. It reports whether one has taken over.
func (n *Node) yield(ctx context.Context) bool {
	n.mu.Lock()
	token, since := n.claim.Token, time.Since(n.wonAt)
	n.mu.Unlock()
	if since < yieldAfter {
		return false
	}
	for _, member := range n.others() {
		if member.Processor < yieldFactor*n.config.Processor {
			// They come in the order of their processors.
			return false
		}
		view, err := n.ask(ctx, member.Address)
		if err != nil || !view.StoreReached {
			continue
		}
		if n.offer(ctx, member, token, "a stronger process is there") {
			return true
		}
	}
	return false
}

// offer asks a process to lead in our place. It reports whether it will.
func (n *Node) offer(ctx context.Context, member record.Member, token uint64, why string) bool {
	lead, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	if _, err := n.dialer.dial(member.Address).Lead(lead, &memberpb.LeadRequest{Token: token}); err != nil {
		return false
	}
	n.config.Journal.Info("leadership handed over", "to", member.Name, "token", token, "why", why)
	n.Lost(token, why)
	return true
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
		n.config.Journal.Info("claim not released", "error", err.Error())
	}
	for _, member := range n.others() {
		call, cancel := context.WithTimeout(ctx, helloTimeout)
		_, err := n.dialer.dial(member.Address).Lead(call, &memberpb.LeadRequest{Token: claim.Token})
		cancel()
		if err == nil {
			n.config.Journal.Info("leadership handed over", "to", member.Name, "token", claim.Token, "why", "stopping")
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

// Followed returns since when most members have told us that we lead, ourselves
// among them: of the newest signs of a majority, the oldest.
func (n *Node) MajorityConfirmedAt() time.Time {
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
