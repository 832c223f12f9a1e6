package share

import (
	"cmp"
	"slices"
	"time"
)

// peer is the last message of another entry.
type peer struct {
	heard  time.Time
	demand Demand
}

func comparePeers(p peer, entry string) int {
	return cmp.Compare(p.demand.Entry, entry)
}

// SetPeer takes a peer's gossiped demand, which it keeps: the caller must not
// change d.Flows afterwards. A message from itself is ignored.
func (s *Scheduler) SetPeer(now time.Time, d Demand) Actions {
	s.reset()
	if d.Entry == s.cfg.Entry {
		return s.acts
	}
	i, ok := slices.BinarySearchFunc(s.peers, d.Entry, comparePeers)
	if !ok {
		s.peers = slices.Insert(s.peers, i, peer{})
	}
	s.peers[i] = peer{heard: now, demand: d}
	grown := false
	for _, fd := range d.Flows {
		_, known := s.byFlow[fd.Flow]
		grown = grown || !known
		s.flow(fd.Flow)
	}
	if !ok || grown {
		s.layout()
	} else {
		s.fillRow(i)
	}
	s.divide(now)
	s.fill(now)
	return s.acts
}

// RemovePeer drops the demand of a peer that has left.
func (s *Scheduler) RemovePeer(now time.Time, entry string) Actions {
	s.reset()
	s.peers = slices.DeleteFunc(s.peers, func(p peer) bool { return p.demand.Entry == entry })
	s.layout()
	s.divide(now)
	s.fill(now)
	return s.acts
}

// layout rebuilds the dense rows after a change of the peers or flows.
func (s *Scheduler) layout() {
	s.weights = weightsOf(s.keys, s.cfg.Weights)
	s.self, _ = slices.BinarySearchFunc(s.peers, s.cfg.Entry, comparePeers)
	var old row
	if s.self < len(s.rows) {
		old = s.rows[s.self]
	}
	s.rows = make([]row, len(s.peers)+1)
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
	r.debt = bounded(s.peers[i].demand.Debt)
	r.fill(s.keys, s.peers[i].demand.Flows)
}
