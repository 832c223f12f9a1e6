package process

import (
	"fmt"
	"sync"
	"testing"

	"github.com/lovagedyke/lovagedyke/internal/record"
)

// Pattern: large-configuration-over-small-links. All 44 peers have a newer text.
func TestAskInTurn(t *testing.T) {
	var peers []record.Member
	for n := range 44 {
		peers = append(peers, record.Member{Name: fmt.Sprint("node-", n)})
	}
	tests := map[string]struct {
		newer               map[string]bool
		wantLeast, wantMost int
	}{
		"none has news":      {wantLeast: len(peers), wantMost: len(peers)},
		"the first has news": {newer: map[string]bool{"node-0": true}, wantLeast: 1, wantMost: peersAtOnce},
		"one later has":      {newer: map[string]bool{"node-9": true}, wantLeast: 10, wantMost: 10 + peersAtOnce},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			asked := 0
			askInTurn(peers, func(peer record.Member) bool {
				mu.Lock()
				defer mu.Unlock()
				asked++
				return c.newer[peer.Name]
			})
			if asked < c.wantLeast || asked > c.wantMost {
				t.Errorf("peers asked: got %d, want %d to %d", asked, c.wantLeast, c.wantMost)
			}
		})
	}
}
