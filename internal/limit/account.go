package limit

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// needDecayShift lets the remembered need fall by a quarter with each tick.
const needDecayShift = 2

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
	// lingering holds the ends of work whose outcome is unknown; all of it is
	// part of inUse.
	lingering []time.Time
	// refused counts the refusals since the last tick.
	refused int
	need    int
}

func newAccount() *account {
	return &account{
		members:  make(map[Member]bool),
		sent:     make(map[Member]int),
		received: make(map[Member]int),
	}
}

// adopt moves the account forward to the row; older rows change nothing.
func (a *account) adopt(self Member, row Grant) {
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
func (a *account) raise(self Member, row Grant) {
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
	clear(a.sent)
	clear(a.received)
	clear(a.members)
}

func (a *account) join(row Grant) {
	for m := range row.Granted {
		a.members[m] = true
	}
}

func (a *account) acquire() bool {
	if a.held || a.inUse >= a.holding {
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

// observe updates the remembered need from this tick's use and refusals.
func (a *account) observe() {
	a.need = max(a.inUse+a.refused, a.need-(a.need+1<<needDecayShift-1)>>needDecayShift)
	a.refused = 0
}

// spare returns how many of want permits the account parts with: all that it
// has not needed lately, and at least half of what is idle.
func (a *account) spare(want int) int {
	idle := a.holding - a.inUse
	if a.frozen || idle <= 0 {
		return 0
	}
	wanted := max(a.need, a.inUse+a.refused) - a.inUse
	return min(want, max(idle-wanted, idle/2))
}

func (a *account) give(to Member, n int) int {
	a.holding -= n
	a.sent[to] += n
	return a.sent[to]
}

func (a *account) receive(t Transfer) {
	if a.frozen || t.Generation != a.generation {
		return
	}
	if gain := t.Total - a.received[t.From]; gain > 0 {
		a.holding += gain
		a.received[t.From] = t.Total
	}
}

// freeze ends the trade of the current generation for good.
func (a *account) freeze(mode FreezeMode, keep int) {
	a.frozen = true
	switch mode {
	case FreezeTrim:
		a.holding = min(a.holding, max(a.inUse, keep))
	case FreezeHold:
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
		Held:       a.held,
	}
}
