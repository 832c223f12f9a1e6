package revision_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/revision"
)

// rules lists the rules that a variant of the protocol breaks.
type rules struct {
	pollOnly       bool // fresh for ever after one confirmation
	lastWriter     bool // a push replaces any copy
	answerTime     bool // a confirmation counts from the answer, not the question
	onePeer        bool // one manager's word is enough
	trustUnsettled bool // an unsettled commit is taken for not written
	unannounced    bool // a new manager commits before it is known
	goneIsGone     bool // a dead manager does not count during an outage
	unguarded      bool // a manager removed from the roster may commit
	headFirst      bool // the head is read before the roster
	unsettledLate  bool // a lost commit may take effect after it was settled
}

// process is a member with its holder.
type process struct {
	revision.Member
	slot      int
	holder    *revision.Replica
	manager   bool
	alive     bool
	finished  bool
	attempt   int  // numbers the commits
	inFlight  bool // a commit is sent and its answer not yet here
	uncertain bool // the answer is lost
	joiner    *revision.Joiner
	shown     uint64 // newest revision that the copy showed
	naive     uint64 // copy of the lastWriter variant
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

// message is under way and arrives at due or later.
type message struct {
	due time.Time
	run func()
}

// world is the truth: what is committed and when, who lives, what is under way.
type world struct {
	choose    func(n int) int
	broken    rules
	now       time.Time
	down      bool
	head      uint64
	version   int
	committed map[uint64]time.Time
	roster    map[revision.Member]bool // true for a manager
	cut       map[link]bool
	processes []*process
	messages  []message
	provoked  map[string]int
}

const (
	slots        = 5
	managerSlots = 2 // the first ones; the others are entries
)

func newWorld(choose func(int) int, broken rules) *world {
	w := &world{
		choose:    choose,
		broken:    broken,
		now:       time.Unix(1000, 0),
		committed: make(map[uint64]time.Time),
		roster:    make(map[revision.Member]bool),
		cut:       make(map[link]bool),
		provoked:  make(map[string]int),
	}
	for slot := range slots {
		w.start(slot)
	}
	return w
}

// run takes steps and returns the first violation.
func (w *world) run(steps int) error {
	for range steps {
		w.step()
		if err := w.check(); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) check() error {
	for _, p := range w.processes {
		if !p.alive {
			continue
		}
		view := p.holder.View()
		shown, fresh := view.State.Revision, view.Fresh(w.now)
		if w.broken.pollOnly {
			fresh = !view.FreshUntil.IsZero()
		}
		if w.broken.lastWriter {
			shown = p.naive
		}
		if shown < p.shown {
			return fmt.Errorf("%v went back from revision %d to %d", p.Member, p.shown, shown)
		}
		p.shown = shown
		next, superseded := w.committed[shown+1]
		if fresh && superseded && w.now.Sub(next) >= revision.DefaultBound {
			return fmt.Errorf("%v admits work at revision %d, %s after revision %d", p.Member, shown, w.now.Sub(next), shown+1)
		}
		if fresh && w.down && w.now.Sub(view.FreshUntil.Add(-revision.DefaultBound)) < time.Second {
			w.provoked["fresh-in-outage"]++
		}
	}
	return nil
}

func (w *world) step() {
	w.pass()
	w.deliver()
	p := w.running()[w.choose(slots)]
	switch w.choose(16) {
	case 0, 1, 2, 3:
		w.deliver()
	case 4, 5, 6:
		w.poll(p)
	case 7, 8, 9, 10:
		w.ask(p, w.running()[w.choose(slots)])
	case 11, 12:
		w.commit(w.running()[w.choose(managerSlots)])
	case 13:
		w.fault()
	case 14:
		w.settle(p)
		w.announce(p)
	case 15:
		w.churn(p)
	}
}

// pass lets time go by, now and then for long: everyone is paused.
func (w *world) pass() {
	w.now = w.now.Add(time.Duration(w.choose(200)) * time.Millisecond)
	if w.choose(40) == 0 {
		w.now = w.now.Add(time.Duration(w.choose(4000)) * time.Millisecond)
	}
}

// deliver takes any message, so that messages overtake each other; some are
// lost and some come twice.
func (w *world) deliver() {
	if len(w.messages) == 0 {
		return
	}
	i := w.choose(len(w.messages))
	message := w.messages[i]
	fate := w.choose(12)
	switch {
	case w.now.Before(message.due):
		return
	case fate == 0:
		w.messages = slices.Delete(w.messages, i, i+1)
		w.provoked["lost"]++
		return
	case fate == 1:
		w.provoked["doubled"]++
	default:
		w.messages = slices.Delete(w.messages, i, i+1)
	}
	message.run()
}

func (w *world) send(from, to *process, run func()) {
	if !w.linked(from, to) {
		return
	}
	due := w.now
	if w.choose(6) == 0 {
		due = due.Add(time.Duration(w.choose(10000)) * time.Millisecond)
	}
	w.messages = append(w.messages, message{due: due, run: run})
}

func (w *world) linked(a, b *process) bool {
	return !w.cut[linkOf(a, b)] && (!w.down || (a != nil && b != nil))
}

// poll asks the table for the roster and then for the head, or for the head
// alone.
func (w *world) poll(p *process) {
	started := w.now
	if !p.alive {
		return
	}
	if w.choose(2) == 0 {
		w.readHead(p, func(head uint64) { p.holder.ObserveHead(w.from(started), head) })
		return
	}
	if w.broken.headFirst {
		w.readHead(p, func(head uint64) {
			w.send(p, nil, func() {
				managers := w.managers()
				w.send(nil, p, func() { p.holder.ObserveRoster(started, managers, head) })
			})
		})
		return
	}
	w.send(p, nil, func() {
		managers := w.managers()
		w.send(nil, p, func() {
			w.readHead(p, func(head uint64) { p.holder.ObserveRoster(w.from(started), managers, head) })
		})
	})
}

func (w *world) readHead(p *process, take func(head uint64)) {
	w.send(p, nil, func() {
		head := w.head
		w.send(nil, p, func() {
			take(head)
			w.offer(p, head)
		})
	})
}

// from returns the time from which an answer counts.
func (w *world) from(started time.Time) time.Time {
	if w.broken.answerTime {
		return w.now
	}
	return started
}

// ask requests q's statement and its copy.
func (w *world) ask(p, q *process) {
	started, digest := w.now, p.holder.Digest()
	if !p.alive || p == q {
		return
	}
	w.send(p, q, func() {
		if !q.alive {
			return
		}
		said, copied := q.holder.Statement(w.now, digest), q.holder.View().State.Revision
		w.send(q, p, func() {
			if w.broken.trustUnsettled {
				said.Unresolved = false
			}
			p.holder.HandleStatement(w.from(started), said)
			if w.broken.onePeer && q.manager {
				p.holder.ObserveHead(started, said.Revision)
			}
			w.offer(p, copied)
		})
	})
}

func (w *world) offer(p *process, number uint64) {
	state := revision.Empty()
	state.Revision = number
	p.holder.Update(state)
	p.naive = number
}

func (w *world) managers() []revision.Member {
	var managers []revision.Member
	for member, manager := range w.roster {
		if manager {
			managers = append(managers, member)
		}
	}
	return managers
}

// commit sends a conditional write; it may land long after its sender died.
func (w *world) commit(p *process) {
	ready := p.joiner != nil && (p.joiner.Ready() || w.broken.unannounced)
	if !p.alive || !ready || p.finished || p.inFlight || p.uncertain {
		return
	}
	if !w.linked(p, nil) {
		return
	}
	w.offer(p, w.head)
	version := w.version
	p.holder.BeginCommit()
	p.inFlight = true
	p.attempt++
	attempt := p.attempt
	w.send(p, nil, func() {
		if w.version != version || (!w.roster[p.Member] && !w.broken.unguarded) {
			return
		}
		w.version++
		w.head++
		number := w.head
		w.committed[number] = w.now
		w.provoked["commits"]++
		if !p.alive {
			w.provoked["commits-of-the-dead"]++
		}
		w.send(nil, p, func() {
			if p.attempt == attempt {
				w.settled(p, number)
			}
		})
	})
}

func (w *world) settled(p *process, number uint64) {
	if !p.alive || !p.inFlight {
		return
	}
	p.inFlight = false
	p.holder.EndCommit(number)
	p.holder.ApplyChange(revision.Change{Base: number - 1, Revision: number})
	p.naive = number
	for _, q := range w.processes {
		w.send(p, q, func() {
			q.holder.ApplyChange(revision.Change{Base: number - 1, Revision: number})
			q.naive = number
		})
	}
}

// settle gives up on an answer, or finds out after having given up.
func (w *world) settle(p *process) {
	switch {
	case !p.alive:
	case p.inFlight:
		p.inFlight, p.uncertain = false, true
		w.provoked["answers-given-up"]++
	case p.uncertain && w.linked(p, nil):
		if !w.broken.unsettledLate {
			w.version++
		}
		p.uncertain = false
		p.holder.EndCommit(w.head)
	}
}

// fault starts or ends an outage of the table or a cut between two.
func (w *world) fault() {
	switch w.choose(5) {
	case 0:
		w.down = !w.down
		w.provoked["outages"]++
	case 1:
		clear(w.cut)
	case 2:
		for _, p := range w.processes {
			w.cut[linkOf(p, nil)] = true
		}
		w.provoked["cuts"]++
	default:
		ends := append(w.running(), nil)
		pair := linkOf(ends[w.choose(len(ends))], ends[w.choose(len(ends))])
		w.cut[pair] = !w.cut[pair]
		w.provoked["cuts"]++
	}
}

// running returns the newest process of each slot.
func (w *world) running() []*process {
	newest := make([]*process, slots)
	for _, p := range w.processes {
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
