package revision_test

import (
	"slices"

	"github.com/lovagedyke/lovagedyke/internal/revision"
)

// start replaces the process of a slot by a new run of it, without any state.
func (w *world) start(slot int) {
	name := slotName(slot)
	p := &process{
		Member:  revision.Member{Name: name, Incarnation: uint64(len(w.processes))},
		slot:    slot,
		manager: slot < managerSlots,
		alive:   true,
	}
	p.holder = revision.NewReplica(revision.ReplicaConfig{Self: p.Member})
	w.processes = append(w.processes, p)
	w.register(p)
}

// register enters the process into the roster; a manager then reads whom it
// has to announce itself to.
func (w *world) register(p *process) {
	if !w.linked(p, nil) {
		return
	}
	if _, registered := w.roster[p.Member]; registered {
		return
	}
	w.roster[p.Member] = p.manager
	if p.manager {
		p.joiner = revision.NewJoiner(w.others(p))
	}
}

func (w *world) others(p *process) []revision.Member {
	var members []revision.Member
	for member := range w.roster {
		if member != p.Member {
			members = append(members, member)
		}
	}
	return members
}

// announce registers a process that could not do so before, and makes a new
// manager known to the members of the roster.
func (w *world) announce(p *process) {
	if !p.alive {
		return
	}
	w.register(p)
	if p.joiner == nil || p.joiner.Ready() {
		return
	}
	if w.linked(p, nil) {
		p.joiner.ApplyRoster(w.others(p))
	}
	for _, q := range w.processes {
		if !slices.Contains(p.joiner.Pending(), q.Member) {
			continue
		}
		w.send(p, q, func() {
			if !q.alive {
				return
			}
			q.holder.AddManager(p.Member, w.now)
			w.provoked["admissions"]++
			w.send(q, p, func() { p.joiner.Acknowledge(q.Member) })
		})
	}
}

// churn stops a process, in a planned way or not, replaces a dead one, or
// takes the dead off the roster.
func (w *world) churn(p *process) {
	switch w.choose(4) {
	case 0:
		w.crash(p)
	case 1:
		if p.alive && p.manager && !p.inFlight && !p.uncertain {
			p.finished = true
			p.holder.Finish()
			w.provoked["planned-stops"]++
		}
	case 2:
		w.replaceDead()
	case 3:
		w.removeDead()
	}
}

func (w *world) crash(p *process) {
	if !p.alive {
		return
	}
	p.alive = false
	w.provoked["crashes"]++
	if !w.broken.goneIsGone {
		return
	}
	for _, q := range w.processes {
		q.holder.HandleStatement(w.now, revision.Statement{From: p.Member, Final: true})
	}
}

func (w *world) replaceDead() {
	for slot, p := range w.running() {
		if !p.alive {
			w.start(slot)
			return
		}
	}
}

func (w *world) removeDead() {
	if w.down {
		return
	}
	for _, p := range w.processes {
		if !p.alive {
			delete(w.roster, p.Member)
		}
	}
}
