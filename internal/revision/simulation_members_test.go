package revision_test

import (
	"slices"

	"github.com/lovagedyke/lovagedyke/internal/revision"
)

// start replaces the process of a slot by a new incarnation without any state.
func (s *simulation) start(slot int) {
	name := slotName(slot)
	p := &process{
		Member:  revision.Member{Name: name, Incarnation: uint64(len(s.processes))},
		slot:    slot,
		manager: slot < managerSlots,
		alive:   true,
	}
	p.replica = revision.NewReplica(revision.ReplicaConfig{Self: p.Member})
	s.processes = append(s.processes, p)
	s.register(p)
}

// register adds the process to the roster. A manager then reads the members
// that it has to announce itself to.
func (s *simulation) register(p *process) {
	if !s.connected(p, nil) {
		return
	}
	if _, registered := s.roster[p.Member]; registered {
		return
	}
	s.roster[p.Member] = p.manager
	if p.manager {
		p.joiner = revision.NewJoiner(s.others(p))
	}
}

func (s *simulation) others(p *process) []revision.Member {
	var members []revision.Member
	for member := range s.roster {
		if member != p.Member {
			members = append(members, member)
		}
	}
	return members
}

// announce registers a process that could not register before, and announces a
// new manager to the members of the roster.
func (s *simulation) announce(p *process) {
	if !p.alive {
		return
	}
	s.register(p)
	if p.joiner == nil || p.joiner.Ready() {
		return
	}
	if s.connected(p, nil) {
		p.joiner.ApplyRoster(s.others(p))
	}
	for _, q := range s.processes {
		if !slices.Contains(p.joiner.Pending(), q.Member) {
			continue
		}
		s.send(p, q, func() {
			if !q.alive {
				return
			}
			q.replica.AddManager(p.Member, s.now)
			s.events["admissions"]++
			s.send(q, p, func() { p.joiner.Acknowledge(q.Member) })
		})
	}
}

// changeMembership stops a process, planned or by a crash, replaces a dead one,
// or removes the dead ones from the roster.
func (s *simulation) changeMembership(p *process) {
	switch s.choose(4) {
	case 0:
		s.crash(p)
	case 1:
		if p.alive && p.manager && !p.inFlight && !p.uncertain {
			p.finished = true
			p.replica.Finish()
			s.events["planned-stops"]++
		}
	case 2:
		s.replaceDead()
	case 3:
		s.removeDead()
	}
}

func (s *simulation) crash(p *process) {
	if !p.alive {
		return
	}
	p.alive = false
	s.events["crashes"]++
	if !s.broken.ignoreDead {
		return
	}
	for _, q := range s.processes {
		q.replica.HandleStatement(s.now, revision.Statement{From: p.Member, Final: true})
	}
}

func (s *simulation) replaceDead() {
	for slot, p := range s.running() {
		if !p.alive {
			s.start(slot)
			return
		}
	}
}

func (s *simulation) removeDead() {
	if s.down {
		return
	}
	for _, p := range s.processes {
		if !p.alive {
			delete(s.roster, p.Member)
		}
	}
}
