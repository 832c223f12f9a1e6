package process

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/lovagedyke/lovagedyke/internal/member/memberpb"
	"github.com/lovagedyke/lovagedyke/internal/policy"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
	"github.com/lovagedyke/lovagedyke/platform"
)

const (
	// operatorWait is how long the store may wait for an operator's change. A
	// feed that has gone silent is noticed shortly after it.
	operatorWait = time.Second
	// operatorRetry is the time before a feed that failed is asked again.
	operatorRetry = 150 * time.Millisecond
	// peerPolicyEvery is the time between two questions to peers for a newer
	// configuration while the store does not answer.
	peerPolicyEvery = 300 * time.Millisecond
	// pushPeers is how many peers get a fresh configuration from each process
	// that read it in the store.
	pushPeers = 6
	// hintPause is waited, once to twice, before a peer is asked for a version
	// that it has: most processes read it in the store meanwhile.
	hintPause = 120 * time.Millisecond
	// pendingHints is how many hints wait.
	pendingHints = 16
	// peerCall bounds a call about the configuration, and textCall one that may bring
	// its text, of some hundred kilobytes, over a small link.
	peerCall = time.Second
	textCall = 1500 * time.Millisecond
	// peersAtOnce is how many peers are asked for a text at a time.
	peersAtOnce = 2
)

// memberClaim is the claim with which a leadership is won.
type memberClaim = record.Claim

// policyChanged passes a newer configuration on.
func (n *frontNode) policyChanged(current *policy.Policy, fresh bool) {
	n.control.SetPolicy(current)
	if !fresh {
		return
	}
	select {
	case <-n.news:
	default:
	}
	n.news <- current.Version
}

// pushLoop tells peers of configurations that we read in the store: some of
// them may not reach it.
func (n *frontNode) pushLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case version := <-n.news:
			n.push(ctx, version)
		}
	}
}

// push tells some peers of a configuration.
func (n *frontNode) push(ctx context.Context, version uint64) {
	peers := n.member.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	// Side by side: a peer that is gone must not delay the others.
	callers := pool.New()
	for _, peer := range peers[:min(len(peers), pushPeers)] {
		callers.Go(func() { n.pushTo(ctx, peer, version) })
	}
	callers.Wait()
}

// pushTo tells one peer, which asks for the text if it needs it.
func (n *frontNode) pushTo(ctx context.Context, peer record.Member, version uint64) {
	call, cancel := context.WithTimeout(ctx, peerCall)
	defer cancel()
	_, err := n.member.Dial(peer.Address).PolicyHint(call, &memberpb.PolicyHintRequest{
		Version: version, From: &memberpb.Address{Name: n.settings.Name, Address: n.settings.Peers.String()},
	})
	if err != nil {
		n.journal.Info("configuration not pushed", "peer", peer.Name, "error", err.Error())
	}
}

// hint is a version that a peer has.
type hint struct {
	version uint64
	from    record.Member
}

// takeHint notes what a peer has; more hints than can wait add nothing.
func (n *frontNode) takeHint(version uint64, from record.Member) {
	if version <= n.holder.Version() {
		return
	}
	select {
	case n.hints <- hint{version: version, from: from}:
	default:
	}
}

// hintLoop asks for configurations that peers have and the store has not brought
// us by now.
func (n *frontNode) hintLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case heard := <-n.hints:
			if heard.version <= n.holder.Version() {
				continue
			}
			pause(ctx, hintPause+rand.N(hintPause))
			if heard.version > n.holder.Version() {
				n.askPolicy(ctx, heard.from)
			}
		}
	}
}

// operatorFeed follows what the operators write.
func (n *frontNode) operatorFeed(ctx context.Context) {
	version, known := uint64(0), false
	for ctx.Err() == nil {
		var news platform.OperatorNews
		var err error
		if known {
			news, version, err = n.operator.Changes(ctx, version, operatorWait)
		} else {
			news, version, err = n.operator.All(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		n.storeAnswered(err)
		n.takeNews(news)
		known = err == nil || known && !errors.Is(err, table.ErrHistoryLost)
		if err != nil {
			n.journal.Info("operators' rows not read", "version", version, "error", err.Error())
			pause(ctx, operatorRetry)
		}
	}
}

// takeNews puts operators' rows in force.
func (n *frontNode) takeNews(news platform.OperatorNews) {
	n.holder.Update(news.Policy, policy.SourceStore)
	for _, wave := range news.Waves {
		n.control.SetWave(wave)
	}
}

// peerFeed asks peers for a newer configuration while the store does not answer us.
func (n *frontNode) peerFeed(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, peerPolicyEvery)
		if n.member.StoreReached() {
			continue
		}
		peers := n.member.Peers()
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		askInTurn(peers, func(peer record.Member) bool { return n.askPolicy(ctx, peer) })
	}
}

// askInTurn asks a few peers at a time until one of them had something newer. A
// configuration may be large and our link small: were all peers asked at once, their
// answers would fill it for many seconds, and none would come in time.
func askInTurn(peers []record.Member, ask func(peer record.Member) bool) {
	for first := 0; first < len(peers); first += peersAtOnce {
		var isNewer atomic.Bool
		callers := pool.New()
		for _, peer := range peers[first:min(first+peersAtOnce, len(peers))] {
			callers.Go(func() {
				if ask(peer) {
					isNewer.Store(true)
				}
			})
		}
		callers.Wait()
		if isNewer.Load() {
			return
		}
	}
}

// askPolicy asks one peer. It reports whether that had a newer configuration.
func (n *frontNode) askPolicy(ctx context.Context, peer record.Member) bool {
	call, cancel := context.WithTimeout(ctx, textCall)
	defer cancel()
	have := n.holder.Version()
	reply, err := n.member.Dial(peer.Address).Policy(call, &memberpb.PolicyRequest{Have: have})
	if err != nil {
		n.journal.Info("configuration not read from a peer", "peer", peer.Name, "have", have, "error", err.Error())
		return false
	}
	n.holder.Update(reply.Value, "peer")
	return n.holder.Version() > have
}

// dump is the process's state for operators.
func (n *frontNode) dump() any {
	leader, isSelf, known := n.member.Leader()
	return struct {
		Name          string          `json:"name"`
		DataCentre    string          `json:"data-centre"`
		Configuration uint64          `json:"configuration"`
		Leader        string          `json:"leader"`
		Leading       bool            `json:"leading"`
		LeaderKnown   bool            `json:"leader-known"`
		StoreReached  bool            `json:"store-reached"`
		Members       []record.Member `json:"members"`
		Fleet         any             `json:"fleet,omitempty"`
	}{
		Name: n.settings.Name, DataCentre: n.settings.DataCentre, Configuration: n.holder.Version(),
		Leader: leader.Name, Leading: isSelf, LeaderKnown: known, StoreReached: n.member.StoreReached(),
		Members: n.member.Peers(), Fleet: n.control.Dump(),
	}
}
