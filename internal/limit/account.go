package limit

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// needDecayShift halves the remembered need with each tick.
const demandDecayShift = 1

// account is one team's part of a Ledger. Should inUse exceed holding, then
// nothing starts until enough has ended.
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
	// confirmed holds the totals that peers are known to have counted.
	confirmed map[Member]int
	// lingering holds the ends of work whose outcome is unknown; all of it is
	// part of inUse.
	lingering []time.Time
	// refused counts the refusals since the last tick.
	refused      int
	recentDemand int
	// pledges are permits kept for one peer each, until two ticks after its
	// last Ask.
	reservations map[Member]reservation
}

// pledge is what an account keeps for a peer that asked in vain.
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

// adopt moves the account forward to the row; older rows change nothing.
func (a *account) applyRow(self Member, row Row) {
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

// raise takes over what was added to the row within the generation. A frozen
// account takes nothing, since its report must remain an upper bound.
func (a *account) applyIncrease(self Member, row Row) {
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

// stay keeps the account in the generation in which the row carries it. An
// account that never saw that generation enters it with what it holds.
func (a *account) applyCarry(carry Carry) {
	if carry.Generation <= a.generation {
		return
	}
	a.startGeneration(carry.Generation)
	a.granted = a.holding
	a.frozen = true
}

// enter starts a generation without any trade.
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

func (a *account) addMembers(row Row) {
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

// expire releases lingering work whose time has passed.
func (a *account) expire(now time.Time) {
	a.lingering = slices.DeleteFunc(a.lingering, func(until time.Time) bool {
		if until.After(now) {
			return false
		}
		a.release()
		return true
	})
}

// current estimates how many permits could be in use now. A refusal doubles it
// at least, because a caller may stop asking after the first one.
func (a *account) currentDemand() int {
	if a.refused == 0 {
		return a.inUse
	}
	return max(a.inUse+a.refused, 2*a.inUse)
}

// demand is the current or the recent need, whichever is greater.
func (a *account) demand() int {
	return max(a.currentDemand(), a.recentDemand)
}

// observe ages the remembered need and the pledges at the end of a tick.
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

// pledged returns the permits kept for all peers.
func (a *account) reserved() int {
	sum := 0
	for _, r := range a.reservations {
		sum += r.permits
	}
	return sum
}

// spare returns how many of want permits the account parts with: all that it
// has not needed lately, at least half of what is idle, and what it pledged to
// this peer; never what is kept for another, who would starve otherwise.
func (a *account) transferable(to Member, want int) int {
	own := a.reservations[to].permits
	idle := a.holding - a.inUse - (a.reserved() - own)
	if a.frozen || idle <= 0 {
		return 0
	}
	unneeded := idle - (a.demand() - a.inUse)
	return min(want, max(unneeded, idle/2, min(idle, own)))
}

// pledge keeps permits back, as work ends, for a peer that holds fewer and got
// less than it asked for; without it a busy member would starve the peer.
func (a *account) reserve(to Member, want, peerHolding int) {
	if ahead := a.holding - peerHolding; want > 0 && ahead > 1 && !a.frozen {
		own := a.reservations[to].permits
		// All pledges together leave the account half of what it holds.
		free := max(0, a.holding/2-(a.reserved()-own))
		a.reservations[to] = reservation{permits: max(own, min(want, ahead/2, free)), renewed: true}
	}
}

func (a *account) debit(to Member, n int) int {
	a.holding -= n
	if r, ok := a.reservations[to]; ok {
		r.permits = max(0, r.permits-n)
		a.reservations[to] = r
	}
	a.sent[to] += n
	return a.sent[to]
}

// receive counts a transfer, and returns false when it may count later.
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

// freeze ends the trade of the current generation for good.
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
