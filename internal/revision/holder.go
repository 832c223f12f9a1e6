package revision

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultBound is how long a confirmation keeps a copy fresh.
	DefaultBound = 3 * time.Second
	// removedRetention outlasts any list that a peer kept through an outage.
	removedRetention = 24 * time.Hour
)

// HolderConfig configures a Holder.
type ReplicaConfig struct {
	Self Member
	// Bound is how long a confirmation keeps the copy fresh; 0 means DefaultBound.
	Bound time.Duration
}

// Holder keeps a process's copy of the configuration and decides whether it is
// fresh. Times come from the process's own monotonic clock. Its methods may be
// called from any goroutine; View takes no lock.
type Replica struct {
	config ReplicaConfig
	view   atomic.Pointer[View]

	mu    sync.Mutex
	state State
	// newest is the newest revision heard of.
	newest uint64
	// confirmedAt is the latest time at which state was the newest committed.
	confirmedAt time.Time
	// table is the latest knowledge of the head row, direct or relayed.
	table tableFact
	// managers that may commit, with what each said last.
	managers    map[Member]managerFact
	knowsRoster bool
	// removed holds managers that a read of the roster lacked, with the time of
	// the read; they commit nothing more, whatever a peer's older list says.
	removed   map[Member]time.Time
	unsettled int
	final     bool
}

// tableFact says that revision was the newest in the table until at or later.
type tableFact struct {
	known    bool
	revision uint64
	at       time.Time
}

// managerFact is a manager's last statement, as of a time not later than it.
type managerFact struct {
	learned time.Time
	said    bool
	final   bool
	// clear is false while a commit of the manager is unsettled.
	clear bool
	at    time.Time
}

// View is a copy and how long it may be relied on.
type View struct {
	State State
	// FreshUntil is the zero time for a copy that was never confirmed.
	FreshUntil time.Time
}

// Fresh reports whether the copy may admit keyed work.
func (v *View) Fresh(now time.Time) bool {
	return !v.FreshUntil.IsZero() && now.Before(v.FreshUntil)
}

// NewHolder returns a holder at revision 0, which is not fresh.
func NewReplica(config ReplicaConfig) *Replica {
	if config.Bound == 0 {
		config.Bound = DefaultBound
	}
	h := &Replica{
		config:   config,
		state:    Empty(),
		managers: make(map[Member]managerFact),
		removed:  make(map[Member]time.Time),
	}
	h.view.Store(&View{State: h.state})
	return h
}

// View returns the copy in force; it takes no lock and allocates nothing.
func (h *Replica) View() *View {
	return h.view.Load()
}

// Fresh reports whether the copy may admit keyed work.
func (h *Replica) Fresh(now time.Time) bool {
	return h.View().Fresh(now)
}

// Offer takes a state that is newer than the copy, and reports whether it did.
func (h *Replica) Update(state State) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if state.Revision <= h.state.Revision {
		return false
	}
	h.advance(state)
	return true
}

// OfferChange applies a change that starts at the copy's revision or is whole
// and newer, and reports whether it did.
func (h *Replica) ApplyChange(change Change) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	next, ok := Apply(h.state, change)
	h.newest = max(h.newest, change.Revision)
	if ok {
		h.advance(next)
	}
	return ok
}

// ReadHead takes the head's revision from a read of the table that began at
// started.
func (h *Replica) ObserveHead(started time.Time, revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readHead(started, revision)
	h.confirm()
}

// Read takes the managers of the roster and the head's revision. The roster
// must be read first, at started, and the head after the roster's answer: then
// the head includes all that a manager committed before it left the roster.
func (h *Replica) ObserveRoster(started time.Time, managers []Member, revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readHead(started, revision)
	h.dropManagers(managers, started)
	h.learnRoster(managers, started)
	h.confirm()
}

func (h *Replica) readHead(started time.Time, revision uint64) {
	h.newest = max(h.newest, revision)
	h.learnTable(tableFact{known: true, revision: revision, at: started})
}

// Behind reports whether a newer revision than the copy's is known to exist:
// the owner then loads the state, or asks a peer for a whole one.
func (h *Replica) Behind() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.newest > h.state.Revision
}

// Digest identifies the managers that the process knows, to be sent along with
// a request for a statement; 0 when it knows no roster.
func (h *Replica) Digest() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.digest()
}

func (h *Replica) digest() uint64 {
	if !h.knowsRoster {
		return 0
	}
	return digestOf(h.sortedManagers())
}

// Heard takes the answer to a request for a statement that was sent at started.
func (h *Replica) HandleStatement(started time.Time, said Statement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.newest = max(h.newest, said.Revision)
	h.learnRoster(said.Managers, started)
	if said.TableKnown {
		h.learnTable(tableFact{known: true, revision: said.TableRevision, at: started.Add(-said.TableAge)})
	}
	if fact, ok := h.managers[said.From]; ok && (!fact.said || started.After(fact.at) || said.Final) && !fact.final {
		fact.said, fact.clear, fact.final, fact.at = true, !said.Unresolved, said.Final && !said.Unresolved, started
		h.managers[said.From] = fact
	}
	h.confirm()
}

// Admit takes note of a joining manager. The manager may commit only after
// every member of the roster, read after its own registration, has answered.
func (h *Replica) AddManager(manager Member, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.learnManager(manager, now)
}

// Begin must be called before each Transaction of this process.
func (h *Replica) BeginCommit() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unsettled++
}

// Settled must be called once after Begin, when the outcome is known: with the
// transaction's revision, or with 0 when nothing was written. After an unknown
// outcome it is called with the result of Settle.
func (h *Replica) EndCommit(revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unsettled--
	h.newest = max(h.newest, revision)
}

// Finish makes this process's statements final: it commits nothing any more.
func (h *Replica) Finish() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.final = true
}

// Statement returns what to answer a peer that asks at now; digest is the
// peer's, or 0.
func (h *Replica) Statement(now time.Time, digest uint64) Statement {
	h.mu.Lock()
	defer h.mu.Unlock()
	said := Statement{
		From:       h.config.Self,
		Revision:   h.newest,
		Unresolved: h.unsettled > 0,
		Final:      h.final,
	}
	if h.knowsRoster && digest != h.digest() {
		said.Managers = h.sortedManagers()
	}
	if h.table.known {
		said.TableKnown, said.TableRevision, said.TableAge = true, h.table.revision, now.Sub(h.table.at)
	}
	return said
}

// Managers returns those that the copy's freshness depends on when the table
// is out of reach.
func (h *Replica) Managers() []Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sortedManagers()
}

func (h *Replica) sortedManagers() []Member {
	return slices.SortedFunc(maps.Keys(h.managers), func(a, b Member) int {
		if order := strings.Compare(a.Name, b.Name); order != 0 {
			return order
		}
		if a.Incarnation < b.Incarnation {
			return -1
		}
		return 1
	})
}

func (h *Replica) advance(state State) {
	h.state = state
	h.newest = max(h.newest, state.Revision)
	h.confirm()
}

// dropManagers forgets the managers that a read of the roster, begun at
// started, lacks. One that was announced later may be missing in it.
func (h *Replica) dropManagers(roster []Member, started time.Time) {
	for manager, fact := range h.managers {
		if fact.learned.Before(started) && !slices.Contains(roster, manager) {
			h.removed[manager] = started
			delete(h.managers, manager)
		}
	}
	maps.DeleteFunc(h.removed, func(_ Member, at time.Time) bool {
		return started.Sub(at) > removedRetention
	})
}

func (h *Replica) learnRoster(managers []Member, now time.Time) {
	if len(managers) > 0 {
		h.knowsRoster = true
	}
	for _, manager := range managers {
		h.learnManager(manager, now)
	}
}

func (h *Replica) learnManager(manager Member, now time.Time) {
	_, known := h.managers[manager]
	_, removed := h.removed[manager]
	if !known && !removed {
		h.managers[manager] = managerFact{learned: now}
	}
}

func (h *Replica) learnTable(fact tableFact) {
	if !h.table.known || fact.at.After(h.table.at) {
		h.table = fact
	}
}

// confirm moves confirmedAt forward as far as the facts allow.
func (h *Replica) confirm() {
	if h.table.known && h.table.revision <= h.state.Revision {
		h.confirmAt(h.table.at)
	}
	if at, ok := h.allManagersAt(); ok && h.newest <= h.state.Revision {
		h.confirmAt(at)
	}
	view := &View{State: h.state}
	if !h.confirmedAt.IsZero() {
		view.FreshUntil = h.confirmedAt.Add(h.config.Bound)
	}
	h.view.Store(view)
}

func (h *Replica) confirmAt(at time.Time) {
	if at.After(h.confirmedAt) {
		h.confirmedAt = at
	}
}

// allManagersAt returns the earliest of the times as of which each manager had
// nothing unsettled.
func (h *Replica) allManagersAt() (time.Time, bool) {
	if !h.knowsRoster || h.unsettled > 0 {
		return time.Time{}, false
	}
	var earliest time.Time
	for manager, fact := range h.managers {
		if manager == h.config.Self || fact.final {
			continue
		}
		if !fact.said || !fact.clear {
			return time.Time{}, false
		}
		if earliest.IsZero() || fact.at.Before(earliest) {
			earliest = fact.at
		}
	}
	return earliest, !earliest.IsZero()
}
