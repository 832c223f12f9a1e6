package manager

import (
	"github.com/lovagedyke/lovagedyke/internal/node"
	"github.com/lovagedyke/lovagedyke/internal/task/runner"
)

// Snapshot is a manager's state dump. It holds no secrets.
type Snapshot struct {
	Node   node.Snapshot          `json:"node"`
	Shards map[string]runner.Dump `json:"shards"`
}

// Snapshot returns the present state.
func (m *Manager) Snapshot() Snapshot {
	return Snapshot{Node: m.node.Snapshot(), Shards: m.shards.snapshot()}
}

// Finish makes this manager commit nothing any more.
func (m *Manager) Finish() { m.node.Configuration().Finish() }
