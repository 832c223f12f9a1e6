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
	// DefaultBound is how long a confirmation keeps a replica fresh.
	DefaultBound = 3 * time.Second
	// removedRetention is longer than a peer keeps an outdated list of managers
	// during an outage.
	removedRetention = 24 * time.Hour
)

// ReplicaConfig configures a Replica.
type ReplicaConfig struct {
	Self Member
	// Bound is how long a confirmation keeps the replica fresh; 0 means
	// DefaultBound.
	Bound time.Duration
}

// Replica is a process's copy of the configuration, and determines whether the
// copy is fresh. Times are those of the process's own monotonic clock. It is
// safe for concurrent use; View takes no lock.
type Replica struct {
	config ReplicaConfig
	view   atomic.Pointer[View]

	mu    sync.Mutex
	state State
	// newest is the newest revision known to exist.
	newest uint64
	// confirmedAt is the latest time at which state was known to be the newest
	// committed one.
	confirmedAt time.Time
	// table is the latest observation of the head row, direct or relayed.
	table tableObservation
	// managers holds those that may commit, with each one's last statement.
	managers    map[Member]managerState
	knowsRoster bool
	// removed holds managers that were missing in a read of the roster, with the
	// time of the read. They can't commit any more, so a peer's older list
	// must not add them again.
	removed    map[Member]time.Time
	unresolved int
	final      bool
}

// tableObservation states that revision was the newest in the table until at or
// later.
type tableObservation struct {
	known    bool
	revision uint64
	at       time.Time
}

// managerState is a manager's last statement. The time at is not later than the
// statement.
type managerState struct {
	addedAt  time.Time
	reported bool
	final    bool
	// resolved is false while a commit of the manager is unresolved.
	resolved bool
	at       time.Time
}

// View is a state and the time until which it is fresh.
type View struct {
	State State
	// FreshUntil is the zero time for a state that was never confirmed.
	FreshUntil time.Time
}

// Fresh reports whether work with a key may be admitted by the view.
func (v *View) Fresh(now time.Time) bool {
	return !v.FreshUntil.IsZero() && now.Before(v.FreshUntil)
}

// NewReplica returns a Replica at revision 0, which is not fresh.
func NewReplica(config ReplicaConfig) *Replica {
	if config.Bound == 0 {
		config.Bound = DefaultBound
	}
	r := &Replica{
		config:   config,
		state:    Empty(),
		managers: make(map[Member]managerState),
		removed:  make(map[Member]time.Time),
	}
	r.view.Store(&View{State: r.state})
	return r
}

// View returns the current view. It takes no lock and doesn't allocate.
func (r *Replica) View() *View {
	return r.view.Load()
}

// Fresh reports whether work with a key may be admitted by the current view.
func (r *Replica) Fresh(now time.Time) bool {
	return r.View().Fresh(now)
}

// Update replaces the state if the given one is newer, and reports whether it
// did.
func (r *Replica) Update(state State) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state.Revision <= r.state.Revision {
		return false
	}
	r.setState(state)
	return true
}

// ApplyChange applies a change that starts at the replica's revision, or a newer
// one that holds the complete state. It reports whether it did.
func (r *Replica) ApplyChange(change Change) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	next, ok := Apply(r.state, change)
	r.newest = max(r.newest, change.Revision)
	if ok {
		r.setState(next)
	}
	return ok
}

// ObserveHead records the head's revision from a read of the table that began
// at started.
func (r *Replica) ObserveHead(started time.Time, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observeHead(started, revision)
	r.updateFreshness()
}

// ObserveRoster records the managers of the roster and the head's revision. The
// roster must be read first, at started, and the head after the roster's reply,
// so that the head includes all commits of a manager that has left the roster.
func (r *Replica) ObserveRoster(started time.Time, managers []Member, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observeHead(started, revision)
	r.dropManagers(managers, started)
	r.addManagers(managers, started)
	r.updateFreshness()
}

func (r *Replica) observeHead(started time.Time, revision uint64) {
	r.newest = max(r.newest, revision)
	r.recordTable(tableObservation{known: true, revision: revision, at: started})
}

// Behind reports whether a newer revision than the replica's is known to exist.
// The owner then loads the state, or requests the complete state from a peer.
func (r *Replica) Behind() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest > r.state.Revision
}

// Digest returns a hash of the managers that the process knows, which is sent
// with a request for a statement, or 0 if it knows no roster.
func (r *Replica) Digest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.digest()
}

func (r *Replica) digest() uint64 {
	if !r.knowsRoster {
		return 0
	}
	return digestOf(r.sortedManagers())
}

// HandleStatement records the reply to a request for a statement that was sent
// at started.
func (r *Replica) HandleStatement(started time.Time, statement Statement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newest = max(r.newest, statement.Revision)
	r.addManagers(statement.Managers, started)
	if statement.TableKnown {
		r.recordTable(tableObservation{known: true, revision: statement.TableRevision, at: started.Add(-statement.TableAge)})
	}
	if manager, ok := r.managers[statement.From]; ok && (!manager.reported || started.After(manager.at) || statement.Final) && !manager.final {
		manager.reported, manager.resolved, manager.final, manager.at = true, !statement.Unresolved, statement.Final && !statement.Unresolved, started
		r.managers[statement.From] = manager
	}
	r.updateFreshness()
}

// AddManager adds a joining manager. The manager may commit only after every
// member of the roster, read after its own registration, has acknowledged it.
func (r *Replica) AddManager(manager Member, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addManager(manager, now)
}

// BeginCommit must be called before each Transaction of this process.
func (r *Replica) BeginCommit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unresolved++
}

// EndCommit must be called once after each BeginCommit, when the outcome is
// known: with the transaction's revision, or with 0 if nothing was written.
// After an unknown outcome it is called with the result of Resolve.
func (r *Replica) EndCommit(revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unresolved--
	r.newest = max(r.newest, revision)
}

// Finish makes this process's statements final: it makes no more commits.
func (r *Replica) Finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.final = true
}

// Statement returns the reply to a peer's request at now. The digest is the
// peer's, or 0.
func (r *Replica) Statement(now time.Time, digest uint64) Statement {
	r.mu.Lock()
	defer r.mu.Unlock()
	statement := Statement{
		From:       r.config.Self,
		Revision:   r.newest,
		Unresolved: r.unresolved > 0,
		Final:      r.final,
	}
	if r.knowsRoster && digest != r.digest() {
		statement.Managers = r.sortedManagers()
	}
	if r.table.known {
		statement.TableKnown, statement.TableRevision, statement.TableAge = true, r.table.revision, now.Sub(r.table.at)
	}
	return statement
}

// Managers returns the managers that the replica's freshness depends on while
// the table is unreachable.
func (r *Replica) Managers() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sortedManagers()
}

func (r *Replica) sortedManagers() []Member {
	return slices.SortedFunc(maps.Keys(r.managers), func(a, b Member) int {
		if order := strings.Compare(a.Name, b.Name); order != 0 {
			return order
		}
		if a.Incarnation < b.Incarnation {
			return -1
		}
		return 1
	})
}

func (r *Replica) setState(state State) {
	r.state = state
	r.newest = max(r.newest, state.Revision)
	r.updateFreshness()
}

// dropManagers removes the managers that are missing in a read of the roster
// that began at started. Managers added since then are kept, because the read
// may not include them.
func (r *Replica) dropManagers(roster []Member, started time.Time) {
	for manager, state := range r.managers {
		if state.addedAt.Before(started) && !slices.Contains(roster, manager) {
			r.removed[manager] = started
			delete(r.managers, manager)
		}
	}
	maps.DeleteFunc(r.removed, func(_ Member, at time.Time) bool {
		return started.Sub(at) > removedRetention
	})
}

func (r *Replica) addManagers(managers []Member, now time.Time) {
	if len(managers) > 0 {
		r.knowsRoster = true
	}
	for _, manager := range managers {
		r.addManager(manager, now)
	}
}

func (r *Replica) addManager(manager Member, now time.Time) {
	_, known := r.managers[manager]
	_, removed := r.removed[manager]
	if !known && !removed {
		r.managers[manager] = managerState{addedAt: now}
	}
}

func (r *Replica) recordTable(observation tableObservation) {
	if !r.table.known || observation.at.After(r.table.at) {
		r.table = observation
	}
}

// updateFreshness advances confirmedAt as far as the observations allow, and
// stores the new view.
func (r *Replica) updateFreshness() {
	if r.table.known && r.table.revision <= r.state.Revision {
		r.confirmAt(r.table.at)
	}
	if at, ok := r.managersConfirmedAt(); ok && r.newest <= r.state.Revision {
		r.confirmAt(at)
	}
	view := &View{State: r.state}
	if !r.confirmedAt.IsZero() {
		view.FreshUntil = r.confirmedAt.Add(r.config.Bound)
	}
	r.view.Store(view)
}

func (r *Replica) confirmAt(at time.Time) {
	if at.After(r.confirmedAt) {
		r.confirmedAt = at
	}
}

// managersConfirmedAt returns the latest time as of which all managers are
// known to have had no unresolved commits: the earliest of their last
// statements. It returns false if there is no such time.
func (r *Replica) managersConfirmedAt() (time.Time, bool) {
	if !r.knowsRoster || r.unresolved > 0 {
		return time.Time{}, false
	}
	var earliest time.Time
	for manager, state := range r.managers {
		if manager == r.config.Self || state.final {
			continue
		}
		if !state.reported || !state.resolved {
			return time.Time{}, false
		}
		if earliest.IsZero() || state.at.Before(earliest) {
			earliest = state.at
		}
	}
	return earliest, !earliest.IsZero()
}
