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

// round runs one iteration of Run: a leader checks that it should still lead,
// other processes check that the leader is alive.
func (n *Node) round(ctx context.Context) {
	n.mu.Lock()
	leading, stopping, claim := n.leading, n.stopping, n.claim
	isLeaderSilent := time.Since(n.leaderHeardAt) > leaderTimeout
	n.mu.Unlock()
	switch {
	case leading:
		n.keepLeading(ctx)
		return
	case stopping:
		return
	case claim.Token != 0 && !claim.Released && claim.Name != n.config.Name:
		if n.callHello(ctx, claim.Address) || !isLeaderSilent {
			return
		}
	}
	n.tryTakeOver(ctx)
}

// keepLeading refreshes the members, and hands the leadership over when the
// store is unreachable for this process alone.
func (n *Node) keepLeading(ctx context.Context) {
	n.mu.Lock()
	sinceStoreOK := time.Since(n.storeOKAt)
	isExcluded := n.storeFailedAt.After(n.storeOKAt) && sinceStoreOK > storeOutageTimeout
	isStale := sinceStoreOK > membersInterval
	n.mu.Unlock()
	switch {
	case isExcluded && !n.reachesStore(ctx):
		if n.handOver(ctx, "the store is unreachable for this process alone") {
			return
		}
	default:
		n.storeExclusion.observe(true, false, time.Now())
		if n.yieldToStronger(ctx) {
			return
		}
	}
	if isStale {
		n.readMembers(ctx)
	}
}

// reachesStore calls the store once more: it may be reachable for all again.
func (n *Node) reachesStore(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	return n.readClaim(callCtx, n.config.Store)
}

// tryTakeOver takes over the leadership if there is no live leader.
func (n *Node) tryTakeOver(ctx context.Context) {
	n.pause(ctx, n.candidateDelay())
	// Only a process that reaches the store directly becomes a candidate.
	if !n.readClaim(ctx, n.config.Store) {
		return
	}
	n.mu.Lock()
	claim, sinceHeard := n.claim, time.Since(n.leaderHeardAt)
	sinceRenewal, isLoading := time.Since(n.renewedAt), n.leaderLoading
	n.mu.Unlock()
	isVacant := claim.Token == 0 || claim.Released || claim.Name == n.config.Name
	if !isVacant && sinceHeard <= leaderTimeout {
		return
	}
	if !isVacant && isLoading && sinceRenewal < renewalTimeout {
		n.config.Journal.Info("takeover cancelled: the leader reads its rows", "leader", claim.Name, "token", claim.Token,
			"silent", sinceHeard.Round(time.Millisecond).String(), "renewed-ago", sinceRenewal.Round(time.Millisecond).String())
		return
	}
	if !isVacant && !n.peersLostLeader(ctx, sinceRenewal) {
		return
	}
	n.claimLeadership(ctx)
}

// candidateDelay returns how long to wait before taking over: stronger processes go
// first, since the leader does the most work.
func (n *Node) candidateDelay() time.Duration {
	n.mu.Lock()
	if n.takeoverRequested {
		n.takeoverRequested = false
		n.mu.Unlock()
		return 0
	}
	stronger := 0
	for _, member := range n.members {
		if member.Strength() > n.self().Strength() {
			stronger++
		}
	}
	n.mu.Unlock()
	return rand.N(maxCandidateJitter) + min(maxStrongerDelay, time.Duration(stronger)*strongerPeerDelay)
}

// peersLostLeader asks the other members whether they have lost the leader too.
// If none answers, this process may be the isolated one: then the age of the
// leader's last claim renewal decides.
func (n *Node) peersLostLeader(ctx context.Context, sinceRenewal time.Duration) bool {
	others, isLost := n.others(), true
	answered := n.fetchViews(ctx, others, func(member record.Member, view *memberpb.View) bool {
		isLost = !view.Leading && view.LeaderHeardMs >= leaderTimeout.Milliseconds()/2
		if !isLost {
			n.config.Journal.Info("takeover cancelled: another process hears the leader", "by", member.Name)
		}
		return isLost
	})
	return isLost && (answered > 0 || sinceRenewal > renewalTimeout || len(others) == 0)
}

// claimLeadership writes a claim for this process, on the condition that the
// claim row has not changed since it was read.
func (n *Node) claimLeadership(ctx context.Context) {
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
	n.observeStore(err)
	if err != nil && !errors.Is(err, table.ErrUnknown) {
		n.config.Journal.Info("leadership claim not written", "token", next.Token, "error", err.Error())
		n.readClaim(ctx, n.config.Store)
		return
	}
	// The row's new version is a condition of each later transaction. Reading it
	// also resolves a lost answer.
	rows, err := n.Store().Get(ctx, record.ClaimKey)
	if err != nil {
		n.config.Journal.Info("leadership claim's outcome unknown", "token", next.Token, "error", err.Error())
		return
	}
	current, err := record.Decode[record.Claim](rows[0].Value)
	if err != nil || current.Token != next.Token || current.Name != next.Name {
		n.config.Journal.Info("leadership claimed by another process", "token", current.Token, "leader", current.Name)
		n.observeClaim(current, "store")
		return
	}
	n.startTerm(ctx, current, rows[0].Version)
}

// startTerm starts this process's leadership term.
func (n *Node) startTerm(ctx context.Context, claim record.Claim, version uint64) {
	termCtx, cancelTerm := context.WithCancel(ctx)
	n.mu.Lock()
	if n.stopping || n.leading {
		n.mu.Unlock()
		cancelTerm()
		return
	}
	n.claim, n.claimVersion = claim, version
	n.leading, n.cancelTerm = true, cancelTerm
	n.wonAt = time.Now()
	n.leaderHeardAt = time.Now()
	n.mu.Unlock()
	metrics.GetOrCreateCounter("leaderships_total").Inc()
	n.config.Journal.Info("leadership won", "token", claim.Token)
	n.config.Won(termCtx, claim, version)
}

// Lost ends this process's leadership, for instance after the store or an
// endpoint has reported a newer leader.
func (n *Node) Lost(token uint64, reason string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.leading || n.claim.Token != token {
		return
	}
	n.leading = false
	n.cancelTerm()
	n.leaderHeardAt = time.Time{}
	n.config.Journal.Info("leadership lost", "token", token, "why", reason)
	n.wakeUp()
}

// handOver offers the leadership to a peer that reaches the store while this
// process has not reached it for some time. It reports whether a peer accepted.
func (n *Node) handOver(ctx context.Context, reason string) bool {
	n.mu.Lock()
	token := n.claim.Token
	n.mu.Unlock()
	isPeerReachable := false
	for _, member := range n.successors() {
		sentAt := time.Now()
		view, err := n.fetchView(ctx, member.Address)
		if err != nil {
			continue
		}
		n.applyView(view, sentAt)
		if !view.StoreReached {
			continue
		}
		isPeerReachable = true
		if !n.storeExclusion.observe(false, true, time.Now()) {
			return false
		}
		if n.offerLeadership(ctx, member, token, reason) {
			return true
		}
	}
	if !isPeerReachable {
		n.storeExclusion.observe(false, false, time.Now())
	}
	return false
}

// yieldToStronger hands the leadership to a much stronger process, once
// this one has led for minTermBeforeYield. It reports whether one accepted.
func (n *Node) yieldToStronger(ctx context.Context) bool {
	n.mu.Lock()
	token, termAge := n.claim.Token, time.Since(n.wonAt)
	n.mu.Unlock()
	if termAge < minTermBeforeYield {
		return false
	}
	for _, member := range n.others() {
		if member.Strength() < yieldFactor*n.self().Strength() {
			// Members are sorted, the strongest first.
			return false
		}
		view, err := n.fetchView(ctx, member.Address)
		if err != nil || !view.StoreReached {
			continue
		}
		if n.offerLeadership(ctx, member, token, "a stronger process is available") {
			return true
		}
	}
	return false
}

// offerLeadership asks a process to take over the leadership. It reports
// whether the process accepted.
func (n *Node) offerLeadership(ctx context.Context, member record.Member, token uint64, reason string) bool {
	callCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	if _, err := n.dialer.dial(member.Address).Lead(callCtx, &memberpb.LeadRequest{Token: token}); err != nil {
		return false
	}
	n.config.Journal.Info("leadership handed over", "to", member.Name, "token", token, "why", reason)
	n.Lost(token, reason)
	return true
}

// Stop releases the claim, so that a successor takes over at once. The node
// doesn't lead again.
func (n *Node) Stop(ctx context.Context) {
	n.mu.Lock()
	n.stopping = true
	leading, claim, version := n.leading, n.claim, n.claimVersion
	n.mu.Unlock()
	if !leading {
		return
	}
	successors := n.successors()
	n.Lost(claim.Token, "stopping")
	claim.Released = true
	err := n.Store().Commit(ctx, table.Txn{
		Conditions: []table.Condition{{Key: record.ClaimKey, Version: version}},
		Writes:     []table.Write{{Key: record.ClaimKey, Value: record.Encode(claim)}},
	})
	if err != nil {
		n.config.Journal.Info("leadership claim not released", "error", err.Error())
	}
	for _, member := range successors {
		callCtx, cancel := context.WithTimeout(ctx, helloTimeout)
		_, err := n.dialer.dial(member.Address).Lead(callCtx, &memberpb.LeadRequest{Token: claim.Token})
		cancel()
		if err == nil {
			n.config.Journal.Info("leadership handed over", "to", member.Name, "token", claim.Token, "why", "stopping")
			return
		}
	}
}

// acceptTakeover handles the leader's request to take over, if token is the
// newest. It returns false if this process is stopping too.
func (n *Node) acceptTakeover(token uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopping {
		return false
	}
	if n.claim.Token > token || n.leading {
		return true
	}
	n.takeoverRequested = true
	// Treat the claim as released: the next round takes over.
	n.claim = record.Claim{Token: token, Name: n.claim.Name, Address: n.claim.Address, Released: true}
	n.leaderHeardAt = time.Time{}
	n.wakeUp()
	return true
}

// MajorityConfirmedAt returns when a majority of the members, including this
// process, last confirmed it as leader: the oldest of the majority's newest
// confirmations.
func (n *Node) MajorityConfirmedAt() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	needed := (len(n.members) + 1) / 2
	if needed == 0 {
		return time.Time{}
	}
	var confirmations []time.Time
	for name := range n.members {
		if at, ok := n.confirmedAt[name]; ok {
			confirmations = append(confirmations, at)
		}
	}
	if len(confirmations) < needed {
		return time.Time{}
	}
	slices.SortFunc(confirmations, func(a, b time.Time) int { return b.Compare(a) })
	return confirmations[needed-1]
}
