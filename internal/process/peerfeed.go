package process

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/internal/member/memberpb"
	"github.com/lovagedyke/lovagedyke/internal/policy"
	"github.com/lovagedyke/lovagedyke/internal/record"
)

const (
	// peerPolicyInterval is the time between two attempts to get a newer
	// configuration from peers while the store does not answer, or has not sent a
	// version that peers have had for peerPolicyDelay.
	peerPolicyInterval = 300 * time.Millisecond
	peerPolicyDelay    = 500 * time.Millisecond
	// maxUninformedAsks is the number of peers asked in a round by a process that has
	// not heard of a newer version.
	maxUninformedAsks = 6
	// peerBatchSize is the number of peers asked for a configuration at a time.
	peerBatchSize = 2
	// policyCallTimeout bounds a call that transfers a part of the configuration over a
	// slow link.
	policyCallTimeout = 1500 * time.Millisecond
)

// peerFeed asks peers for a newer configuration while the store does not answer, or is
// slower than they are. The store may answer small calls and not deliver a large row.
func (n *nodeProcess) peerFeed(ctx context.Context) {
	for ctx.Err() == nil {
		loops.Sleep(ctx, peerPolicyInterval)
		_, behind := n.lag.Behind(time.Now())
		if n.member.StoreReached() && behind < peerPolicyDelay {
			continue
		}
		peers := n.member.Peers()
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		askInBatches(peersToAsk(peers, behind), func(peer record.Member) bool { return n.fetchPolicy(ctx, peer) })
	}
}

// peersToAsk returns the peers to ask in one round: all until one has the newer version
// that this process has heard of, or a few if it has heard of none. In a large fleet
// without a store, asking all would take much of every processor.
func peersToAsk(peers []record.Member, behind time.Duration) []record.Member {
	if behind > 0 {
		return peers
	}
	return peers[:min(len(peers), maxUninformedAsks)]
}

// askInBatches asks a few peers at a time until one of them has a newer
// configuration. A configuration may be large and the link slow: if all peers
// were asked at once, their answers would fill the link for many seconds, and all
// would time out.
func askInBatches(peers []record.Member, ask func(peer record.Member) bool) {
	for first := 0; first < len(peers); first += peerBatchSize {
		var isNewer atomic.Bool
		callers := pool.New()
		for _, peer := range peers[first:min(first+peerBatchSize, len(peers))] {
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

// fetchPolicy fetches the configuration from one peer, part by part, and continues with
// what others have sent of it. It reports whether the peer had a newer one.
func (n *nodeProcess) fetchPolicy(ctx context.Context, peer record.Member) bool {
	have := n.holder.Version()
	reply, err := n.fetchPolicyPart(ctx, peer, have)
	if err != nil || reply.Version <= have {
		return false
	}
	if !n.downloading.TryLock() {
		// Another peer is sending it: two would only share the link.
		return true
	}
	defer n.downloading.Unlock()
	for {
		encoded, err := n.addPolicyPart(reply)
		if err != nil {
			n.journal.Info("configuration from a peer cannot be used", "peer", peer.Name, "version", reply.Version, "error", err.Error())
			return false
		}
		if encoded != nil {
			n.holder.Update(encoded, "peer")
			return n.holder.Version() > have
		}
		if reply, err = n.fetchPolicyPart(ctx, peer, n.holder.Version()); err != nil {
			return false
		}
		if reply.Version == 0 {
			// The store was faster.
			return n.holder.Version() > have
		}
	}
}

// fetchPolicyPart asks a peer for the next part of a configuration that is newer than
// have. The reply's version is 0 if the peer has none.
func (n *nodeProcess) fetchPolicyPart(ctx context.Context, peer record.Member, have uint64) (*memberpb.PolicyReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, policyCallTimeout)
	defer cancel()
	position, started := n.download.Position(), time.Now()
	reply, err := n.member.Dial(peer.Address).Policy(callCtx, &memberpb.PolicyRequest{
		Have: have, InParts: true, Version: position.Version, Checksum: position.Checksum, Offset: int64(position.Offset),
	})
	if err != nil {
		n.journal.Info("configuration not fetched from a peer", "peer", peer.Name, "have", have, "offset", position.Offset,
			"took", time.Since(started).Round(time.Millisecond).String(), "error", err.Error())
	}
	return reply, err
}

// addPolicyPart adds a peer's reply to the download. It returns the configuration once
// it is complete. Processes of earlier versions send it whole.
func (n *nodeProcess) addPolicyPart(reply *memberpb.PolicyReply) ([]byte, error) {
	if len(reply.Part) == 0 && len(reply.Value) == 0 {
		return nil, errors.New("the reply holds no text")
	}
	if len(reply.Part) == 0 {
		return reply.Value, nil
	}
	return n.download.Add(policy.Part{
		Position: policy.Position{Version: reply.Version, Checksum: reply.Checksum, Offset: int(reply.Offset)},
		Size:     int(reply.Size), Data: reply.Part,
	})
}
