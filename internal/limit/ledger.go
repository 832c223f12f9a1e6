// Package limit keeps the running work of each team at or below its upper
// limit across all members, without a consensus protocol.
//
// The limit is a number of permits. The team's table row (Grant) mints them to
// members once per generation; after that members pass permits to each other
// directly (Transfer). A member starts work only under a permit in hand, and a
// permit is free again only when its work is known to have ended.
//
// Permits come back from lost members, and limits are lowered, by a rebase: a
// manager freezes the trade of a generation, collects the members' reports and
// commits the next generation on condition of the row's version. Members that
// did not report are carried in their old generation with a joint upper bound.
//
// # Usage
//
// An entry owns a Ledger and feeds it rows and messages; it asks before each
// dispatch:
//
//	ledger := limit.New(limit.Config{Self: "entry-1/17"})
//	ledger.Adopt(row)
//	if !ledger.Acquire("tanoa") {
//		return // refuse: not run
//	}
//	// dispatch; then exactly one of
//	ledger.Release("tanoa")               // the endpoint answered
//	ledger.Linger("tanoa", startedAt.Add(longestRun)) // the outcome is unknown
//
// With each gossip round the entry calls Tick, tells the peers its Statuses,
// sends them what Resend and Wanted return, and answers an Ask with Give. A
// transfer goes to the peer's Receive; its answer true goes to Confirm. The
// entry answers a FreezeRequest with Freeze and sends Reports to the managers.
//
// A manager owns a Planner and calls Step with each reading of a row:
//
//	decision := planner.Step(now, view)
//	// send decision.Freezes, pass the answers to planner.Handle, and when
//	// decision.Verdict is limit.Commit, write decision.Next on condition of
//	// the version at which view.Row was read.
//
// A lost answer of the commit needs no care: the next Step reads the row.
package limit

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Config constructs a Ledger.
type Config struct {
	// Self names this incarnation of the process.
	Self Member
}

// Ledger holds one member's permits of all teams. It is safe for concurrent
// use; each team's state has its own lock.
type Ledger struct {
	self Member
	// grow serialises additions to accounts, which is replaced as a whole.
	grow     sync.Mutex
	accounts atomic.Pointer[map[string]*account]
}

// New returns a Ledger that holds nothing.
func New(config Config) *Ledger {
	l := &Ledger{self: config.Self}
	l.accounts.Store(&map[string]*account{})
	return l
}

// lock returns the team's locked account, or nil for an unknown team.
func (l *Ledger) lock(team string) *account {
	a := (*l.accounts.Load())[team]
	if a != nil {
		a.mu.Lock()
	}
	return a
}

// open returns the team's locked account, which it creates if need be.
func (l *Ledger) open(team string) *account {
	if a := l.lock(team); a != nil {
		return a
	}
	l.grow.Lock()
	defer l.grow.Unlock()
	if a := l.lock(team); a != nil {
		return a
	}
	grown := maps.Clone(*l.accounts.Load())
	a := newAccount()
	a.mu.Lock()
	grown[team] = a
	l.accounts.Store(&grown)
	return a
}

// each calls f with every team's locked account, in order of the teams' names.
func (l *Ledger) each(f func(team string, a *account)) {
	accounts := *l.accounts.Load()
	for _, team := range slices.Sorted(maps.Keys(accounts)) {
		a := accounts[team]
		a.mu.Lock()
		f(team, a)
		a.mu.Unlock()
	}
}

// Adopt takes over a committed row, from the table or from a peer. Rows may
// come late, repeated and in any order.
func (l *Ledger) Apply(row Allocation) {
	a := l.open(row.Team)
	defer a.mu.Unlock()
	a.adopt(l.self, row)
}

// Acquire takes a permit of the team; without one the work must not start.
func (l *Ledger) Acquire(team string) bool {
	a := l.lock(team)
	if a == nil {
		return false
	}
	ok := a.acquire()
	a.mu.Unlock()
	return ok
}

// Expect tells how many requests of the team wait for a permit; it counts as
// need until the next Tick.
func (l *Ledger) RecordWaiting(team string, waiting int) {
	a := l.open(team)
	defer a.mu.Unlock()
	a.refused = max(a.refused, waiting)
}

// Release returns a permit whose work is known to have ended. It panics when
// no permit of the team is in use.
func (l *Ledger) Release(team string) {
	a := l.open(team)
	defer a.mu.Unlock()
	a.release()
}

// Linger leaves a permit in use until the given time, for work that may still
// run although nobody waits for it.
func (l *Ledger) Linger(team string, until time.Time) {
	a := l.open(team)
	defer a.mu.Unlock()
	a.lingering = append(a.lingering, until)
}

// Settle releases a permit that lingers until the given time, because its work
// is now known to have ended. It does nothing when that time has passed.
func (l *Ledger) ReleaseLingering(team string, until time.Time) {
	a := l.open(team)
	defer a.mu.Unlock()
	i := slices.IndexFunc(a.lingering, until.Equal)
	if i < 0 {
		return
	}
	a.lingering = slices.Delete(a.lingering, i, i+1)
	a.release()
}

// Tick releases lingering permits whose time has come and ages the need that
// Give keeps back. Call it once a gossip round.
func (l *Ledger) Tick(now time.Time) {
	l.each(func(_ string, a *account) {
		a.expire(now)
		a.observe()
	})
}

// Wanted returns the requests for permits to send, given what each peer last
// told: for idle permits, the most idle peer first, and for the rest to the
// peer that holds most.
func (l *Ledger) TransferRequests(team string, peers map[Member]Status) []TransferRequest {
	a := l.lock(team)
	if a == nil {
		return nil
	}
	defer a.mu.Unlock()
	short := a.demand() - a.holding
	if a.frozen || short <= 0 {
		return nil
	}
	var asks []TransferRequest
	for _, peer := range byIdle(peers) {
		want := min(short, peers[peer].Idle)
		if want > 0 {
			asks = append(asks, l.ask(team, a, peer, want))
			short -= want
		}
	}
	if peer, ok := richest(peers); ok && len(asks) == 0 && peers[peer].Holding > a.holding+1 {
		asks = append(asks, l.ask(team, a, peer, short))
	}
	return asks
}

func (l *Ledger) ask(team string, a *account, to Member, want int) TransferRequest {
	return TransferRequest{Team: team, Generation: a.generation, From: l.self, To: to, Want: want, Holding: a.holding}
}

// byIdle returns the peers in order of their idle permits, the most first.
func byIdle(peers map[Member]Status) []Member {
	return slices.SortedFunc(maps.Keys(peers), func(p, q Member) int {
		return cmp.Or(peers[q].Idle-peers[p].Idle, cmp.Compare(p, q))
	})
}

// richest returns the peer that holds most permits.
func richest(peers map[Member]Status) (Member, bool) {
	order := slices.SortedFunc(maps.Keys(peers), func(p, q Member) int {
		return cmp.Or(peers[q].Holding-peers[p].Holding, cmp.Compare(p, q))
	})
	if len(order) == 0 {
		return "", false
	}
	return order[0], true
}

// Give answers a peer's request with a transfer, or false when it has nothing
// to spare now or the peer is not a member of the same generation.
func (l *Ledger) HandleTransferRequest(ask TransferRequest) (Transfer, bool) {
	a := l.lock(ask.Team)
	if a == nil {
		return Transfer{}, false
	}
	defer a.mu.Unlock()
	if !l.trades(a, ask) {
		return Transfer{}, false
	}
	n := max(0, a.spare(ask.From, ask.Want))
	transfer, ok := l.give(a, ask, n)
	a.pledge(ask.From, ask.Want-n, ask.Holding+n)
	return transfer, ok
}

// Leave passes all idle permits to the peer, for a planned stop.
func (l *Ledger) TransferIdle(team string, to Member) (Transfer, bool) {
	a := l.lock(team)
	if a == nil {
		return Transfer{}, false
	}
	defer a.mu.Unlock()
	n := a.holding - a.inUse
	if a.frozen {
		n = 0
	}
	return l.give(a, TransferRequest{Team: team, Generation: a.generation, From: to}, n)
}

// trades reports whether the asker is another member of the same generation.
func (l *Ledger) trades(a *account, ask TransferRequest) bool {
	return ask.Generation == a.generation && ask.From != l.self && a.members[ask.From]
}

func (l *Ledger) give(a *account, ask TransferRequest, n int) (Transfer, bool) {
	if n <= 0 || !l.trades(a, ask) {
		return Transfer{}, false
	}
	return Transfer{
		Team:       ask.Team,
		Generation: a.generation,
		From:       l.self,
		To:         ask.From,
		Total:      a.give(ask.From, n),
	}, true
}

// Receive takes over a peer's transfer; one of another generation or already
// counted changes nothing. It reports whether the peer may stop repeating it.
func (l *Ledger) Receive(t Transfer) bool {
	if t.To != l.self {
		return true
	}
	a := l.open(t.Team)
	defer a.mu.Unlock()
	return a.receive(t)
}

// Confirm notes that the peer answered true to the transfer.
func (l *Ledger) Confirm(t Transfer) {
	a := l.open(t.Team)
	defer a.mu.Unlock()
	if t.Generation == a.generation {
		a.confirmed[t.To] = max(a.confirmed[t.To], t.Total)
	}
}

// Resend returns the latest transfer to each peer that has not confirmed it,
// to be repeated with each gossip round because any single one may be lost.
func (l *Ledger) Unconfirmed() []Transfer {
	var transfers []Transfer
	l.each(func(team string, a *account) {
		if a.frozen {
			return
		}
		for _, to := range slices.Sorted(maps.Keys(a.sent)) {
			if a.confirmed[to] < a.sent[to] {
				transfers = append(transfers, Transfer{Team: team, Generation: a.generation, From: l.self, To: to, Total: a.sent[to]})
			}
		}
	})
	return transfers
}

// Freeze answers a manager's request, or returns false when the request is
// older than the generation in force here or does not know this member.
func (l *Ledger) Freeze(request FreezeRequest) (Report, bool) {
	generation, known := request.Row.expects(l.self)
	if !known || request.To != l.self {
		return Report{}, false
	}
	a := l.open(request.Row.Team)
	defer a.mu.Unlock()
	a.adopt(l.self, request.Row)
	if a.generation != generation {
		return Report{}, false
	}
	a.freeze(request.Mode, request.Keep)
	return a.report(request.Row.Team, l.self), true
}

// Reports returns the report of each frozen team, so that a manager that did
// not ask learns that the generation must be rebased.
func (l *Ledger) Reports() []Report {
	var reports []Report
	l.each(func(team string, a *account) {
		if a.frozen {
			reports = append(reports, a.report(team, l.self))
		}
	})
	return reports
}

// Status returns the team's figures; an unknown team has none.
func (l *Ledger) Status(team string) Status {
	a := l.lock(team)
	if a == nil {
		return Status{Team: team}
	}
	defer a.mu.Unlock()
	return a.status(team)
}

// Statuses returns the figures of all teams, for gossip.
func (l *Ledger) Statuses() []Status {
	var statuses []Status
	l.each(func(team string, a *account) {
		statuses = append(statuses, a.status(team))
	})
	return statuses
}

// Snapshot returns the whole state for the state dump.
func (l *Ledger) Snapshot() Snapshot {
	snapshot := Snapshot{Self: l.self, Teams: []TeamSnapshot{}}
	l.each(func(team string, a *account) {
		snapshot.Teams = append(snapshot.Teams, TeamSnapshot{
			Status:       a.status(team),
			Granted:      a.granted,
			RecentDemand: a.need,
			Reserved:     a.pledged(),
			Sent:         maps.Clone(a.sent),
			Received:     maps.Clone(a.received),
		})
	})
	return snapshot
}
