package revision_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/revision"
)

// mutations selects the rules of the protocol that a simulation breaks.
type mutations struct {
	pollOnly        bool // a replica stays fresh for ever after one confirmation
	lastWriter      bool // a push replaces any state, also a newer one
	answerTime      bool // a confirmation counts from the reply, not the request
	onePeer         bool // one manager's statement is enough
	trustUnresolved bool // unresolved commits are treated as not written
	unannounced     bool // a new manager commits before it is known
	ignoreDead      bool // a dead manager does not count during an outage
	unguarded       bool // a manager removed from the roster may commit
	headFirst       bool // the head is read before the roster
	unresolvedLate  bool // a lost commit may take effect after it was resolved
}

// process is a member with its replica.
type process struct {
	revision.Member
	slot               int
	replica            *revision.Replica
	manager            bool
	alive              bool
	finished           bool
	attempt            int  // numbers the commits
	inFlight           bool // a commit was sent and its reply is outstanding
	uncertain          bool // the reply is lost
	joiner             *revision.Joiner
	shownRevision      uint64 // newest revision that the replica showed
	lastWriterRevision uint64 // revision of the lastWriter mutation
}

// link is between two processes, or between one and the table, which is nil.
// A process that replaces another has links of its own.
type link [2]*process

func linkOf(a, b *process) link {
	if a != nil && (b == nil || a.Incarnation < b.Incarnation) {
		return link{a, b}
	}
	return link{b, a}
}

// message is in flight and arrives at due or later.
type message struct {
	due time.Time
	run func()
}

// simulation is a simulated cluster: the committed revisions, the processes and
// the messages in flight.
type simulation struct {
	choose    func(n int) int
	broken    mutations
	now       time.Time
	down      bool
	head      uint64
	version   int
	committed map[uint64]time.Time
	roster    map[revision.Member]bool // true for a manager
	cut       map[link]bool
	processes []*process
	messages  []message
	events    map[string]int
}

const (
	slots        = 5
	managerSlots = 2 // the first ones; the others are entries
)

func newSimulation(choose func(int) int, broken mutations) *simulation {
	s := &simulation{
		choose:    choose,
		broken:    broken,
		now:       time.Unix(1000, 0),
		committed: make(map[uint64]time.Time),
		roster:    make(map[revision.Member]bool),
		cut:       make(map[link]bool),
		events:    make(map[string]int),
	}
	for slot := range slots {
		s.start(slot)
	}
	return s
}

// run takes steps and returns the first violation.
func (s *simulation) run(steps int) error {
	for range steps {
		s.step()
		if err := s.check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *simulation) check() error {
	for _, p := range s.processes {
		if !p.alive {
			continue
		}
		view := p.replica.View()
		shownRevision, fresh := view.State.Revision, view.Fresh(s.now)
		if s.broken.pollOnly {
			fresh = !view.FreshUntil.IsZero()
		}
		if s.broken.lastWriter {
			shownRevision = p.lastWriterRevision
		}
		if shownRevision < p.shownRevision {
			return fmt.Errorf("%v went back from revision %d to %d", p.Member, p.shownRevision, shownRevision)
		}
		p.shownRevision = shownRevision
		next, superseded := s.committed[shownRevision+1]
		if fresh && superseded && s.now.Sub(next) >= revision.DefaultBound {
			return fmt.Errorf("%v admits work at revision %d, %s after revision %d", p.Member, shownRevision, s.now.Sub(next), shownRevision+1)
		}
		if fresh && s.down && s.now.Sub(view.FreshUntil.Add(-revision.DefaultBound)) < time.Second {
			s.events["fresh-in-outage"]++
		}
	}
	return nil
}

func (s *simulation) step() {
	s.advanceTime()
	s.deliver()
	p := s.running()[s.choose(slots)]
	switch s.choose(16) {
	case 0, 1, 2, 3:
		s.deliver()
	case 4, 5, 6:
		s.poll(p)
	case 7, 8, 9, 10:
		s.requestStatement(p, s.running()[s.choose(slots)])
	case 11, 12:
		s.commit(s.running()[s.choose(managerSlots)])
	case 13:
		s.fault()
	case 14:
		s.resolve(p)
		s.announce(p)
	case 15:
		s.changeMembership(p)
	}
}

// advanceTime advances the clock, sometimes for long, as if all processes were
// paused.
func (s *simulation) advanceTime() {
	s.now = s.now.Add(time.Duration(s.choose(200)) * time.Millisecond)
	if s.choose(40) == 0 {
		s.now = s.now.Add(time.Duration(s.choose(4000)) * time.Millisecond)
	}
}

// deliver delivers a random message, so that messages are reordered. Some are
// lost and some are duplicated.
func (s *simulation) deliver() {
	if len(s.messages) == 0 {
		return
	}
	i := s.choose(len(s.messages))
	message := s.messages[i]
	fate := s.choose(12)
	switch {
	case s.now.Before(message.due):
		return
	case fate == 0:
		s.messages = slices.Delete(s.messages, i, i+1)
		s.events["lost"]++
		return
	case fate == 1:
		s.events["doubled"]++
	default:
		s.messages = slices.Delete(s.messages, i, i+1)
	}
	message.run()
}

func (s *simulation) send(from, to *process, run func()) {
	if !s.connected(from, to) {
		return
	}
	due := s.now
	if s.choose(6) == 0 {
		due = due.Add(time.Duration(s.choose(10000)) * time.Millisecond)
	}
	s.messages = append(s.messages, message{due: due, run: run})
}

func (s *simulation) connected(a, b *process) bool {
	return !s.cut[linkOf(a, b)] && (!s.down || (a != nil && b != nil))
}

// poll reads the roster and then the head from the table, or only the head.
func (s *simulation) poll(p *process) {
	started := s.now
	if !p.alive {
		return
	}
	if s.choose(2) == 0 {
		s.readHead(p, func(head uint64) { p.replica.ObserveHead(s.from(started), head) })
		return
	}
	if s.broken.headFirst {
		s.readHead(p, func(head uint64) {
			s.send(p, nil, func() {
				managers := s.managers()
				s.send(nil, p, func() { p.replica.ObserveRoster(started, managers, head) })
			})
		})
		return
	}
	s.send(p, nil, func() {
		managers := s.managers()
		s.send(nil, p, func() {
			s.readHead(p, func(head uint64) { p.replica.ObserveRoster(s.from(started), managers, head) })
		})
	})
}

func (s *simulation) readHead(p *process, handle func(head uint64)) {
	s.send(p, nil, func() {
		head := s.head
		s.send(nil, p, func() {
			handle(head)
			s.update(p, head)
		})
	})
}

// from returns the time from which a reply counts.
func (s *simulation) from(started time.Time) time.Time {
	if s.broken.answerTime {
		return s.now
	}
	return started
}

// requestStatement requests q's statement and its state.
func (s *simulation) requestStatement(p, q *process) {
	started, digest := s.now, p.replica.Digest()
	if !p.alive || p == q {
		return
	}
	s.send(p, q, func() {
		if !q.alive {
			return
		}
		statement, revisionHeld := q.replica.Statement(s.now, digest), q.replica.View().State.Revision
		s.send(q, p, func() {
			if s.broken.trustUnresolved {
				statement.Unresolved = false
			}
			p.replica.HandleStatement(s.from(started), statement)
			if s.broken.onePeer && q.manager {
				p.replica.ObserveHead(started, statement.Revision)
			}
			s.update(p, revisionHeld)
		})
	})
}

func (s *simulation) update(p *process, newRevision uint64) {
	state := revision.Empty()
	state.Revision = newRevision
	p.replica.Update(state)
	p.lastWriterRevision = newRevision
}

func (s *simulation) managers() []revision.Member {
	var managers []revision.Member
	for member, manager := range s.roster {
		if manager {
			managers = append(managers, member)
		}
	}
	return managers
}

// commit sends a conditional write. It may take effect long after its sender
// died.
func (s *simulation) commit(p *process) {
	ready := p.joiner != nil && (p.joiner.Ready() || s.broken.unannounced)
	if !p.alive || !ready || p.finished || p.inFlight || p.uncertain {
		return
	}
	if !s.connected(p, nil) {
		return
	}
	s.update(p, s.head)
	version := s.version
	p.replica.BeginCommit()
	p.inFlight = true
	p.attempt++
	attempt := p.attempt
	s.send(p, nil, func() {
		if s.version != version || (!s.roster[p.Member] && !s.broken.unguarded) {
			return
		}
		s.version++
		s.head++
		newRevision := s.head
		s.committed[newRevision] = s.now
		s.events["commits"]++
		if !p.alive {
			s.events["commits-of-the-dead"]++
		}
		s.send(nil, p, func() {
			if p.attempt == attempt {
				s.committedReply(p, newRevision)
			}
		})
	})
}

func (s *simulation) committedReply(p *process, newRevision uint64) {
	if !p.alive || !p.inFlight {
		return
	}
	p.inFlight = false
	p.replica.EndCommit(newRevision)
	p.replica.ApplyChange(revision.Change{Base: newRevision - 1, Revision: newRevision})
	p.lastWriterRevision = newRevision
	for _, q := range s.processes {
		s.send(p, q, func() {
			q.replica.ApplyChange(revision.Change{Base: newRevision - 1, Revision: newRevision})
			q.lastWriterRevision = newRevision
		})
	}
}

// resolve gives up waiting for a reply, or resolves the outcome after having
// given up.
func (s *simulation) resolve(p *process) {
	switch {
	case !p.alive:
	case p.inFlight:
		p.inFlight, p.uncertain = false, true
		s.events["answers-given-up"]++
	case p.uncertain && s.connected(p, nil):
		if !s.broken.unresolvedLate {
			s.version++
		}
		p.uncertain = false
		p.replica.EndCommit(s.head)
	}
}

// fault starts or ends an outage of the table or of a link.
func (s *simulation) fault() {
	switch s.choose(5) {
	case 0:
		s.down = !s.down
		s.events["outages"]++
	case 1:
		clear(s.cut)
	case 2:
		for _, p := range s.processes {
			s.cut[linkOf(p, nil)] = true
		}
		s.events["cuts"]++
	default:
		ends := append(s.running(), nil)
		pair := linkOf(ends[s.choose(len(ends))], ends[s.choose(len(ends))])
		s.cut[pair] = !s.cut[pair]
		s.events["cuts"]++
	}
}

// running returns the newest process of each slot.
func (s *simulation) running() []*process {
	newest := make([]*process, slots)
	for _, p := range s.processes {
		newest[p.slot] = p
	}
	return newest
}

func slotName(slot int) string {
	if slot < managerSlots {
		return fmt.Sprintf("manager-%d", slot)
	}
	return fmt.Sprintf("entry-%d", slot)
}
