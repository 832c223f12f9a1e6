package process

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/lovagedyke/lovagedyke/internal/evacuation"
	"github.com/lovagedyke/lovagedyke/internal/loops"
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
	// announceFanout is the number of peers to which a process announces a new
	// configuration that it has read from the store.
	announceFanout = 6
	// hintDelay is the minimum delay, and half the maximum, between a hint and
	// fetching the configuration from the peer: most processes read it from the
	// store meanwhile.
	hintDelay = 120 * time.Millisecond
	// hintQueueSize is the number of hints that may wait.
	hintQueueSize = 16
	// hintCallTimeout bounds a call that announces a version.
	hintCallTimeout = time.Second
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

// evacuationsChanged applies a newer set of evacuated data centres.
func (n *nodeProcess) evacuationsChanged(set evacuation.Set) {
	measureEvacuations(set)
	n.control.EvacuationsChanged()
}

// measureEvacuations updates the metric of evacuated data centres.
func measureEvacuations(set evacuation.Set) {
	metrics.GetOrCreateGauge("evacuated_data_centres", nil).Set(float64(len(set.DataCentres)))
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
			loops.Sleep(ctx, hintDelay+rand.N(hintDelay))
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
			loops.Sleep(ctx, operatorRetryDelay)
		}
	}
}

// applyOperatorRows applies changed operators' rows.
func (n *nodeProcess) applyOperatorRows(rows platform.OperatorUpdate) {
	// Before the configuration, which may take long to decode.
	n.evacuations.Update(rows.Evacuations, evacuation.SourceStore)
	n.holder.Update(rows.Policy, policy.SourceStore)
	for _, wave := range rows.Waves {
		n.control.SetWave(wave)
	}
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
		Evacuations         evacuation.Set  `json:"evacuations"`
		Members             []record.Member `json:"members"`
		Fleet               any             `json:"fleet,omitempty"`
	}{
		Name: n.settings.Name, DataCentre: n.settings.DataCentre, Configuration: n.holder.Version(),
		AnnouncedConfiguration: announced, ConfigurationBehind: behind.Seconds(),
		Leader: leader.Name, Leading: isSelf, LeaderKnown: known, StoreReached: n.member.StoreReached(),
		Evacuations: n.evacuations.Current(), Members: n.member.Peers(), Fleet: n.control.Dump(),
	}
}
