package process

import (
	"fmt"
	"sync"
	"testing"

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
