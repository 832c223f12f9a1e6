package test

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/soak"
)

// Guards against a new leader that starts a task beside its run on an endpoint that has just restarted under its
// ID and is cut off: orders that were meant for the former incarnation have set a longer lease there.
func TestRecutEndpointsDoNotRunTasksTwice(t *testing.T) {
	runSeed(t, soak.Config{
		Seed: 1, Duration: 65 * time.Second, Nodes: 6, Endpoints: 12, Kinds: soak.KindsOfRecuts(),
		Dir: t.TempDir(), FirstPort: uint16(*soakPort),
	})
}
