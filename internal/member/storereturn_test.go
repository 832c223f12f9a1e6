package member

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/table"
)

// Guards against a leader that takes the list of endpoints for whole right after the store was
// away, and against one that waits for it after each call that fails.
func TestStoreReachableSince(t *testing.T) {
	tests := map[string]struct {
		lastOK time.Duration
		isNew  bool
	}{
		"brief failure": {lastOK: briefStoreFailure / 2, isNew: false},
		"outage":        {lastOK: 3 * briefStoreFailure, isNew: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			node := New(Config{Name: "self", Journal: discardJournal{}})
			node.ObserveStore(nil)
			first := node.StoreReachableSince()
			node.storeOKAt = time.Now().Add(-c.lastOK)
			node.ObserveStore(table.ErrUnavailable)
			if got := node.StoreReachableSince(); !got.After(first) {
				t.Errorf("reachable since, while the store fails: got %s, want later than %s", got, first)
			}
			node.ObserveStore(nil)
			if got := node.StoreReachableSince(); got.After(first) != c.isNew {
				t.Errorf("reachable since, after the failure: got %s, want later than %s: %t", got, first, c.isNew)
			}
		})
	}
}

// Guards against a leader that waits for the list of endpoints after its process has restarted
// beside a store that was there, and against one that does not after it has started during an outage.
func TestStoreReachableSinceStart(t *testing.T) {
	for name, wasAway := range map[string]bool{"store was there": false, "store was away": true} {
		t.Run(name, func(t *testing.T) {
			node := New(Config{Name: "self", Journal: discardJournal{}})
			if wasAway {
				node.ObserveStore(table.ErrUnavailable)
			}
			node.ObserveStore(nil)
			if got := node.StoreReachableSince(); got.IsZero() == wasAway {
				t.Errorf("reachable since: got %s, want a time: %t", got, wasAway)
			}
		})
	}
}
