package share

import (
	"cmp"
	"slices"
	"time"
)

// peer holds the last demand received from another entry.
type peer struct {
	heardAt time.Time
	demand  Demand
}

func comparePeers(p peer, entry string) int {
	return cmp.Compare(p.demand.Entry, entry)
}

// SetPeer stores a peer's gossiped demand and divides again. It keeps d.Flows,
// which the caller must not change afterwards. A message from this entry itself
// is ignored.
func (s *Scheduler) SetPeer(now time.Time, d Demand) Actions {
	s.reset()
	if d.Entry == s.cfg.Entry {
		return s.actions
	}
	i, ok := slices.BinarySearchFunc(s.peers, d.Entry, comparePeers)
	if !ok {
		s.peers = slices.Insert(s.peers, i, peer{})
	}
	s.peers[i] = peer{heardAt: now, demand: d}
	grown := false
	for _, fd := range d.Flows {
		_, known := s.byFlow[fd.Flow]
		grown = grown || !known
		s.flow(fd.Flow)
	}
	if !ok || grown {
		s.rebuildRows()
	} else {
		s.fillRow(i)
	}
	s.divide(now)
	s.startQueued(now)
	return s.actions
}

// RemovePeer drops the demand of a peer that has left.
func (s *Scheduler) RemovePeer(now time.Time, entry string) Actions {
	s.reset()
	s.peers = slices.DeleteFunc(s.peers, func(p peer) bool { return p.demand.Entry == entry })
	s.rebuildRows()
	s.divide(now)
	s.startQueued(now)
	return s.actions
}

// rebuildRows rebuilds the rows after a change of the peers, flows or weights.
func (s *Scheduler) rebuildRows() {
	s.weights = weightsOf(s.keys, s.cfg.Weights)
	s.self, _ = slices.BinarySearchFunc(s.peers, s.cfg.Entry, comparePeers)
	var old entryDemand
	if s.self < len(s.rows) {
		old = s.rows[s.self]
	}
	s.rows = make([]entryDemand, len(s.peers)+1)
	s.rows[s.self].resize(len(s.keys))
	s.rows[s.self].total, s.rows[s.self].slots = old.total, old.slots
	for i := range s.peers {
		s.fillRow(i)
	}
}

func (s *Scheduler) fillRow(i int) {
	r := &s.rows[i]
	if i >= s.self {
		r = &s.rows[i+1]
	}
	r.debt = clampSlotSeconds(s.peers[i].demand.Debt)
	r.fill(s.keys, s.peers[i].demand.Flows)
}
