package entry

import (
	"github.com/lovagedyke/lovagedyke/internal/charge"
	"github.com/lovagedyke/lovagedyke/internal/claim"
	"github.com/lovagedyke/lovagedyke/internal/node"
	"github.com/lovagedyke/lovagedyke/internal/retry"
	"github.com/lovagedyke/lovagedyke/internal/route"
	"github.com/lovagedyke/lovagedyke/internal/share"
)

// Snapshot is the state of an entry for the dump. It holds no secrets.
type Snapshot struct {
	Node     node.Snapshot              `json:"node"`
	Services map[string]ServiceSnapshot `json:"services"`
	Claims   claim.Snapshot             `json:"claims"`
	Charges  charge.Snapshot            `json:"charges"`
}

// ServiceSnapshot is the state of one service in a Snapshot.
type ServiceSnapshot struct {
	Capacity int         `json:"capacity"`
	Share    share.State `json:"share"`
	Waiting  int         `json:"waiting"`
	Route    route.State `json:"route"`
	Retries  retry.State `json:"retries"`
}

// Snapshot returns the current state.
func (e *Entry) Snapshot() Snapshot {
	snapshot := Snapshot{
		Node:     e.node.Snapshot(),
		Services: make(map[string]ServiceSnapshot),
		Claims:   e.claims.snapshot(),
		Charges:  e.charges.snapshot(),
	}
	now := e.now()
	e.forEachService(func(name string, s *service) {
		s.mu.Lock()
		defer s.mu.Unlock()
		snapshot.Services[name] = ServiceSnapshot{
			Capacity: s.capacity, Share: s.scheduler.State(), Waiting: len(s.waiters),
			Route: s.picker.State(now), Retries: s.budget.State(),
		}
	})
	return snapshot
}
