package limit

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// needDecayShift halves the remembered need with each tick.
const needDecayShift = 1

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
	held       bool
	members    map[Member]bool
	sent       map[Member]int
	received   map[Member]int
	// confirmed holds the totals that peers are known to have counted.
	confirmed map[Member]int
	// lingering holds the ends of work whose outcome is unknown; all of it is
	// part of inUse.
	lingering []time.Time
	// refused counts the refusals since the last tick.
	refused int
	need    int
	// pledges are permits kept for one peer each, until two ticks after its
	// last Ask.
	pledges map[Member]pledge
}

// pledge is what an account keeps for a peer that asked in vain.
type pledge struct {
	permits int
	renewed bool
}

func newAccount() *account {
	return &account{
		members:   make(map[Member]bool),
		sent:      make(map[Member]int),
		received:  make(map[Member]int),
		confirmed: make(map[Member]int),
		pledges:   make(map[Member]pledge),
	}
}

// adopt moves the account forward to the row; older rows change nothing.
func (a *account) adopt(self Member, row Allocation) {
	switch {
	case row.Generation < a.generation:
		return
	case row.Generation == a.generation:
		a.raise(self, row)
		return
	}
	if carry, ok := row.Carried[self]; ok {
		a.stay(carry)
		return
	}
	a.enter(row.Generation)
	a.limit = row.Limit
	a.granted = row.Granted[self]
	a.holding = a.granted
	a.join(row)
}

// raise takes over what was added to the row within the generation. A frozen
// account takes nothing, since its report must remain an upper bound.
func (a *account) raise(self Member, row Allocation) {
	if a.frozen {
		return
	}
	a.limit = max(a.limit, row.Limit)
	a.join(row)
	if granted := row.Granted[self]; granted > a.granted {
		a.holding += granted - a.granted
		a.granted = granted
	}
}

// stay keeps the account in the generation in which the row carries it. An
// account that never saw that generation enters it with what it holds.
func (a *account) stay(carry Carry) {
	if carry.Generation <= a.generation {
		return
	}
	a.enter(carry.Generation)
	a.granted = a.holding
	a.frozen = true
}

// enter starts a generation without any trade.
func (a *account) enter(generation uint64) {
	a.generation = generation
	a.frozen = false
	a.held = false
	clear(a.pledges)
	clear(a.sent)
	clear(a.received)
	clear(a.confirmed)
	clear(a.members)
}

func (a *account) join(row Allocation) {
	for m := range row.Granted {
		a.members[m] = true
	}
}

func (a *account) acquire() bool {
	if a.held || a.inUse >= a.holding-a.pledged() {
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
	if a.held {
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
func (a *account) current() int {
	if a.refused == 0 {
		return a.inUse
	}
	return max(a.inUse+a.refused, 2*a.inUse)
}

// demand is the current or the recent need, whichever is greater.
func (a *account) demand() int {
	return max(a.current(), a.need)
}

// observe ages the remembered need and the pledges at the end of a tick.
func (a *account) observe() {
	a.need = max(a.current(), a.need>>needDecayShift)
	a.refused = 0
	for peer, kept := range a.pledges {
		if !kept.renewed {
			delete(a.pledges, peer)
			continue
		}
		a.pledges[peer] = pledge{permits: kept.permits}
	}
}

// pledged returns the permits kept for all peers.
func (a *account) pledged() int {
	sum := 0
	for _, kept := range a.pledges {
		sum += kept.permits
	}
	return sum
}

// spare returns how many of want permits the account parts with: all that it
// has not needed lately, at least half of what is idle, and what it pledged to
// this peer; never what is kept for another, who would starve otherwise.
func (a *account) spare(to Member, want int) int {
	own := a.pledges[to].permits
	idle := a.holding - a.inUse - (a.pledged() - own)
	if a.frozen || idle <= 0 {
		return 0
	}
	unneeded := idle - (a.demand() - a.inUse)
	return min(want, max(unneeded, idle/2, min(idle, own)))
}

// pledge keeps permits back, as work ends, for a peer that holds fewer and got
// less than it asked for; without it a busy member would starve the peer.
func (a *account) pledge(to Member, want, peerHolding int) {
	if ahead := a.holding - peerHolding; want > 0 && ahead > 1 && !a.frozen {
		own := a.pledges[to].permits
		// All pledges together leave the account half of what it holds.
		free := max(0, a.holding/2-(a.pledged()-own))
		a.pledges[to] = pledge{permits: max(own, min(want, ahead/2, free)), renewed: true}
	}
}

func (a *account) give(to Member, n int) int {
	a.holding -= n
	if kept, ok := a.pledges[to]; ok {
		kept.permits = max(0, kept.permits-n)
		a.pledges[to] = kept
	}
	a.sent[to] += n
	return a.sent[to]
}

// receive counts a transfer, and returns false when it may count later.
func (a *account) receive(t Transfer) bool {
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
	clear(a.pledges)
	switch mode {
	case FreezeTrim:
		a.holding = min(a.holding, max(a.inUse, keep))
	case FreezeDrain:
		a.held = true
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
		Draining:   a.held,
	}
}
