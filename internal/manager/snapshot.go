package manager

import (
	"github.com/lovagedyke/lovagedyke/internal/node"
	"github.com/lovagedyke/lovagedyke/internal/task/runner"
)

// Snapshot is the state of a manager for its dump. It contains no secrets.
type Snapshot struct {
	Node   node.Snapshot          `json:"node"`
	Shards map[string]runner.Dump `json:"shards"`
}

// Snapshot returns the current state.
func (m *Manager) Snapshot() Snapshot {
	return Snapshot{Node: m.node.Snapshot(), Shards: m.shards.snapshot()}
}

// Finish stops this manager from committing further configuration changes.
func (m *Manager) Finish() { m.node.Configuration().Finish() }
