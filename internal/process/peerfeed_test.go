package process

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/record"
)

// Pattern: large-configuration-over-small-links. If all 44 peers were asked for a
// newer configuration at once, their answers would fill a slow link.
func TestAskInBatches(t *testing.T) {
	var peers []record.Member
	for n := range 44 {
		peers = append(peers, record.Member{Name: fmt.Sprint("node-", n)})
	}
	tests := map[string]struct {
		newer              map[string]bool
		minAsked, maxAsked int
	}{
		"none is newer":        {minAsked: len(peers), maxAsked: len(peers)},
		"the first is newer":   {newer: map[string]bool{"node-0": true}, minAsked: 1, maxAsked: peerBatchSize},
		"a later one is newer": {newer: map[string]bool{"node-9": true}, minAsked: 10, maxAsked: 10 + peerBatchSize},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			asked := 0
			askInBatches(peers, func(peer record.Member) bool {
				mu.Lock()
				defer mu.Unlock()
				asked++
				return c.newer[peer.Name]
			})
			if asked < c.minAsked || asked > c.maxAsked {
				t.Errorf("peers asked: got %d, want %d to %d", asked, c.minAsked, c.maxAsked)
			}
		})
	}
}

// Pattern: store-away-in-a-large-fleet. With the store away for all, each of 147
// processes asked all others several times a second for a version that none had.
func TestPeersToAsk(t *testing.T) {
	peers := make([]record.Member, 146)
	tests := map[string]struct {
		peers  []record.Member
		behind time.Duration
		want   int
	}{
		"no newer version heard of":     {peers: peers, want: maxUninformedAsks},
		"a newer version heard of":      {peers: peers, behind: time.Millisecond, want: len(peers)},
		"small fleet, none heard of":    {peers: peers[:2], want: 2},
		"no peers, a newer version":     {behind: time.Second},
		"no peers, no version heard of": {},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			if got := len(peersToAsk(c.peers, c.behind)); got != c.want {
				t.Errorf("peers asked: got %d, want %d", got, c.want)
			}
		})
	}
}
