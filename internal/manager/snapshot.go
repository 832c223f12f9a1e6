package manager

import "github.com/lovagedyke/lovagedyke/internal/node"

// Snapshot is a manager's state dump. It holds no secrets.
type Snapshot struct {
	Node node.Snapshot `json:"node"`
}

// Snapshot returns the present state.
func (m *Manager) Snapshot() Snapshot { return Snapshot{Node: m.node.Snapshot()} }

// Finish makes this manager commit nothing any more.
func (m *Manager) Finish() { m.node.Configuration().Finish() }
