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
	// operatorFeedTimeout is the long-poll timeout of the operators' feed. A feed
	// that has gone silent is detected shortly after it.
	operatorFeedTimeout = time.Second
	// operatorRetryDelay is the time before a failed call of the feed is retried.
	operatorRetryDelay = 150 * time.Millisecond
	// peerPolicyInterval is the time between two attempts to get a newer
	// configuration from peers while the store does not answer, or has not sent a
	// version that peers have had for peerPolicyDelay.
	peerPolicyInterval = 300 * time.Millisecond
	peerPolicyDelay    = 500 * time.Millisecond
	// announceFanout is the number of peers to which a process announces a new
	// configuration that it has read from the store.
	announceFanout = 6
	// hintDelay is the minimum delay, and half the maximum, between a hint and
	// fetching the configuration from the peer: most processes read it from the
	// store meanwhile.
	hintDelay = 120 * time.Millisecond
	// hintQueueSize is the number of hints that may wait.
	hintQueueSize = 16
	// hintCallTimeout bounds a call that announces a version, and
	// policyCallTimeout one that transfers a part of the configuration over a slow link.
	hintCallTimeout   = time.Second
	policyCallTimeout = 1500 * time.Millisecond
	// maxUninformedAsks is the number of peers asked in a round by a process that has
	// not heard of a newer version.
	maxUninformedAsks = 6
	// peerBatchSize is the number of peers asked for a configuration at a time.
	peerBatchSize = 2
)

// leadershipClaim is the claim row of a leader.
type leadershipClaim = record.Claim

// configurationLoops returns the loops that keep the configuration up to date.
func (n *nodeProcess) configurationLoops() []func(ctx context.Context) {
	return []func(ctx context.Context){n.operatorFeed, n.peerFeed, n.announceLoop, n.hintLoop, n.lagLoop}
}

// policyChanged applies a newer configuration, and announces it to peers if it
// was read from the store.
func (n *nodeProcess) policyChanged(current *policy.Policy, fromStore bool) {
	n.control.SetPolicy(current)
	n.policyInForce(current.Version)
	if !fromStore {
		return
	}
	select {
	case <-n.policyUpdates:
	default:
	}
	n.policyUpdates <- current.Version
}

// announceLoop announces configurations read from the store to peers, some of which
// may not reach the store.
func (n *nodeProcess) announceLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case version := <-n.policyUpdates:
			n.announce(ctx, version)
		}
	}
}

// announce announces a configuration version to some peers.
func (n *nodeProcess) announce(ctx context.Context, version uint64) {
	peers := n.member.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	// In parallel: an unreachable peer must not delay the others.
	callers := pool.New()
	for _, peer := range peers[:min(len(peers), announceFanout)] {
		callers.Go(func() { n.announceToPeer(ctx, peer, version) })
	}
	callers.Wait()
}

// announceToPeer announces a version to one peer, which fetches the configuration if
// it needs it.
func (n *nodeProcess) announceToPeer(ctx context.Context, peer record.Member, version uint64) {
	callCtx, cancel := context.WithTimeout(ctx, hintCallTimeout)
	defer cancel()
	_, err := n.member.Dial(peer.Address).PolicyHint(callCtx, &memberpb.PolicyHintRequest{
		Version: version, From: &memberpb.Address{Name: n.settings.Name, Address: n.settings.Peers.String()},
	})
	if err != nil {
		n.journal.Info("configuration version not announced to a peer", "peer", peer.Name, "error", err.Error())
	}
}

// hint is a configuration version that a peer has announced.
type hint struct {
	version uint64
	from    record.Member
}

// queueHint queues a peer's hint if its version is newer. Hints that find the
// queue full are dropped.
func (n *nodeProcess) queueHint(version uint64, from record.Member) {
	n.policyAnnounced(version, from)
	if version <= n.holder.Version() {
		return
	}
	select {
	case n.hints <- hint{version: version, from: from}:
	default:
	}
}

// hintLoop fetches hinted configurations from peers, unless the store has
// delivered them meanwhile.
func (n *nodeProcess) hintLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case hinted := <-n.hints:
			if hinted.version <= n.holder.Version() {
				continue
			}
			sleep(ctx, hintDelay+rand.N(hintDelay))
			if hinted.version > n.holder.Version() {
				n.fetchPolicy(ctx, hinted.from)
			}
		}
	}
}

// operatorFeed follows the operators' rows in the store.
func (n *nodeProcess) operatorFeed(ctx context.Context) {
	version, known := uint64(0), false
	for ctx.Err() == nil {
		var rows platform.OperatorUpdate
		var err error
		if known {
			rows, version, err = n.operator.Changes(ctx, version, operatorFeedTimeout)
		} else {
			rows, version, err = n.operator.All(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		n.observeStore(err)
		n.applyOperatorRows(rows)
		known = err == nil || known && !errors.Is(err, table.ErrHistoryLost)
		if err != nil {
			n.journal.Info("operators' rows not read", "version", version, "error", err.Error())
			sleep(ctx, operatorRetryDelay)
		}
	}
}

// applyOperatorRows applies changed operators' rows.
func (n *nodeProcess) applyOperatorRows(rows platform.OperatorUpdate) {
	n.holder.Update(rows.Policy, policy.SourceStore)
	for _, wave := range rows.Waves {
		n.control.SetWave(wave)
	}
}

// peerFeed asks peers for a newer configuration while the store does not answer, or is
// slower than they are. The store may answer small calls and not deliver a large row.
func (n *nodeProcess) peerFeed(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, peerPolicyInterval)
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

// dump returns the process's state for the operators' state dump.
func (n *nodeProcess) dump() any {
	leader, isSelf, known := n.member.Leader()
	announced, behind := n.lag.Behind(time.Now())
	return struct {
		Name          string `json:"name"`
		DataCentre    string `json:"data-centre"`
		Configuration uint64 `json:"configuration"`
		// AnnouncedConfiguration is the newest version that this process has heard of.
		AnnouncedConfiguration uint64 `json:"announced-configuration"`
		// ConfigurationBehind is for how long it has known of a newer version than
		// the one in force, in seconds.
		ConfigurationBehind float64         `json:"configuration-behind-seconds"`
		Leader              string          `json:"leader"`
		Leading             bool            `json:"leading"`
		LeaderKnown         bool            `json:"leader-known"`
		StoreReached        bool            `json:"store-reached"`
		Members             []record.Member `json:"members"`
		Fleet               any             `json:"fleet,omitempty"`
	}{
		Name: n.settings.Name, DataCentre: n.settings.DataCentre, Configuration: n.holder.Version(),
		AnnouncedConfiguration: announced, ConfigurationBehind: behind.Seconds(),
		Leader: leader.Name, Leading: isSelf, LeaderKnown: known, StoreReached: n.member.StoreReached(),
		Members: n.member.Peers(), Fleet: n.control.Dump(),
	}
}
