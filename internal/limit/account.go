package limit

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// demandDecayShift halves the remembered demand with each tick.
const demandDecayShift = 1

// account is one team's state in a Ledger. While inUse exceeds holding, no
// work starts.
type account struct {
	mu         sync.Mutex
	generation uint64
	limit      int
	granted    int
	holding    int
	inUse      int
	frozen     bool
	draining   bool
	members    map[Member]bool
	sent       map[Member]int
	received   map[Member]int
	// confirmed holds the transfer totals that peers have acknowledged.
	confirmed map[Member]int
	// lingering holds the latest end times of work whose outcome is unknown.
	// inUse includes this work.
	lingering []time.Time
	// refused counts the refusals since the last tick.
	refused      int
	recentDemand int
	// reservations holds permits back for single peers. A reservation expires
	// two ticks after the peer's last request.
	reservations map[Member]reservation
}

// reservation holds permits for a peer whose request was not fully met.
type reservation struct {
	permits int
	renewed bool
}

func newAccount() *account {
	return &account{
		members:      make(map[Member]bool),
		sent:         make(map[Member]int),
		received:     make(map[Member]int),
		confirmed:    make(map[Member]int),
		reservations: make(map[Member]reservation),
	}
}

// applyRow updates the account from a row. Rows of older generations are
// ignored.
func (a *account) applyRow(self Member, row Allocation) {
	switch {
	case row.Generation < a.generation:
		return
	case row.Generation == a.generation:
		a.applyIncrease(self, row)
		return
	}
	if carry, ok := row.Carried[self]; ok {
		a.applyCarry(carry)
		return
	}
	a.startGeneration(row.Generation)
	a.limit = row.Limit
	a.granted = row.Granted[self]
	a.holding = a.granted
	a.addMembers(row)
}

// applyIncrease applies what was added to the row within the generation. A
// frozen account ignores it, since its report must remain an upper bound.
func (a *account) applyIncrease(self Member, row Allocation) {
	if a.frozen {
		return
	}
	a.limit = max(a.limit, row.Limit)
	a.addMembers(row)
	if granted := row.Granted[self]; granted > a.granted {
		a.holding += granted - a.granted
		a.granted = granted
	}
}

// applyCarry keeps the account in the generation from which the row carries
// it. An account that missed that generation enters it with the permits it
// holds.
func (a *account) applyCarry(carry Carry) {
	if carry.Generation <= a.generation {
		return
	}
	a.startGeneration(carry.Generation)
	a.granted = a.holding
	a.frozen = true
}

// startGeneration moves the account to a generation, with no transfers yet.
func (a *account) startGeneration(generation uint64) {
	a.generation = generation
	a.frozen = false
	a.draining = false
	clear(a.reservations)
	clear(a.sent)
	clear(a.received)
	clear(a.confirmed)
	clear(a.members)
}

func (a *account) addMembers(row Allocation) {
	for m := range row.Granted {
		a.members[m] = true
	}
}

func (a *account) acquire() bool {
	if a.draining || a.inUse >= a.holding-a.reserved() {
		a.refused++
		return false
	}
	a.inUse++
	return true
}

func (a *account) release() {
	if a.inUse == 0 {
		panic("limit: release without acquire")
	}
	a.inUse--
	if a.draining {
		a.holding = min(a.holding, a.inUse)
	}
}

// expire releases the permits of lingering work whose end time has passed.
func (a *account) expire(now time.Time) {
	a.lingering = slices.DeleteFunc(a.lingering, func(until time.Time) bool {
		if until.After(now) {
			return false
		}
		a.release()
		return true
	})
}

// currentDemand estimates how many permits could be in use now. A refusal at
// least doubles the estimate, because callers may not retry after it.
func (a *account) currentDemand() int {
	if a.refused == 0 {
		return a.inUse
	}
	return max(a.inUse+a.refused, 2*a.inUse)
}

// demand returns the greater of the current and the recent demand.
func (a *account) demand() int {
	return max(a.currentDemand(), a.recentDemand)
}

// endTick decays the remembered demand and expires reservations that were not
// renewed since the last tick.
func (a *account) endTick() {
	a.recentDemand = max(a.currentDemand(), a.recentDemand>>demandDecayShift)
	a.refused = 0
	for peer, r := range a.reservations {
		if !r.renewed {
			delete(a.reservations, peer)
			continue
		}
		a.reservations[peer] = reservation{permits: r.permits}
	}
}

// reserved returns the permits reserved for all peers.
func (a *account) reserved() int {
	sum := 0
	for _, r := range a.reservations {
		sum += r.permits
	}
	return sum
}

// transferable returns how many of want permits the account can transfer to
// the peer: the idle permits that exceed its demand, but at least half of the
// idle ones, and at least those reserved for the peer. Permits reserved for
// other peers are never transferred, since those peers would starve.
func (a *account) transferable(to Member, want int) int {
	own := a.reservations[to].permits
	idle := a.holding - a.inUse - (a.reserved() - own)
	if a.frozen || idle <= 0 {
		return 0
	}
	unneeded := idle - (a.demand() - a.inUse)
	return min(want, max(unneeded, idle/2, min(idle, own)))
}

// reserve sets permits aside, as work ends, for a peer that holds fewer and
// received less than it requested. Without it a busy member would starve the
// peer.
func (a *account) reserve(to Member, want, peerHolding int) {
	if ahead := a.holding - peerHolding; want > 0 && ahead > 1 && !a.frozen {
		own := a.reservations[to].permits
		// All reservations together leave the account half of what it holds.
		free := max(0, a.holding/2-(a.reserved()-own))
		a.reservations[to] = reservation{permits: max(own, min(want, ahead/2, free)), renewed: true}
	}
}

// issue removes n permits and returns the total sent to the peer.
func (a *account) issue(to Member, n int) int {
	a.holding -= n
	if r, ok := a.reservations[to]; ok {
		r.permits = max(0, r.permits-n)
		a.reservations[to] = r
	}
	a.sent[to] += n
	return a.sent[to]
}

// credit adds a transfer's permits. It returns false if the transfer belongs
// to a later generation and must be sent again.
func (a *account) credit(t Transfer) bool {
	if t.Generation > a.generation {
		return false
	}
	if a.frozen || t.Generation < a.generation {
		return true
	}
	if gain := t.Total - a.received[t.From]; gain > 0 {
		a.holding += gain
		a.received[t.From] = t.Total
	}
	return true
}

// freeze ends transfers in the current generation. It can't be undone.
func (a *account) freeze(mode FreezeMode, keep int) {
	a.frozen = true
	clear(a.reservations)
	switch mode {
	case FreezeTrim:
		a.holding = min(a.holding, max(a.inUse, keep))
	case FreezeDrain:
		a.draining = true
		a.holding = min(a.holding, a.inUse)
	}
}

func (a *account) report(team string, self Member) Report {
	return Report{
		Team:       team,
		Generation: a.generation,
		Member:     self,
		Holding:    max(a.holding, a.inUse),
		InUse:      a.inUse,
		Sent:       maps.Clone(a.sent),
		Received:   maps.Clone(a.received),
	}
}

func (a *account) status(team string) Status {
	idle := a.holding - a.inUse
	if a.frozen {
		idle = 0
	}
	return Status{
		Team:       team,
		Generation: a.generation,
		Limit:      a.limit,
		Holding:    a.holding,
		InUse:      a.inUse,
		Lingering:  len(a.lingering),
		Idle:       idle,
		Frozen:     a.frozen,
		Draining:   a.draining,
	}
}
