// Package limit keeps the running work of each team at or below its upper
// limit across all members, without a consensus protocol.
//
// The limit is a number of permits. The team's table row (Allocation) grants
// them to members once per generation; after that members transfer permits to
// each other directly (Transfer). A member starts work only with a permit that
// it holds, and a permit is free again only when its work is known to have
// ended.
//
// A rebase recovers permits from lost members and lowers limits: a manager
// freezes transfers in a generation, collects the members' reports and commits
// the next generation on condition of the row's version. Members that did not
// report are carried in their old generation with a joint upper bound.
//
// # Usage
//
// An entry owns a Ledger, passes it rows and messages, and acquires a permit
// before each dispatch:
//
//	ledger := limit.New(limit.Config{Self: "entry-1/17"})
//	ledger.Apply(row)
//	if !ledger.Acquire("tanoa") {
//		return // refuse the request; no work has run
//	}
//	// dispatch; then exactly one of
//	ledger.Release("tanoa")               // the endpoint answered
//	ledger.Linger("tanoa", startedAt.Add(longestRun)) // the outcome is unknown
//
// In each gossip round the entry calls Tick, sends its Statuses to the peers,
// and sends them the messages from Unconfirmed and TransferRequests. It answers
// a TransferRequest with HandleTransferRequest. A peer passes a transfer to
// Receive; if that returns true, the sender calls Confirm. The entry answers a
// FreezeRequest with Freeze and sends Reports to the managers.
//
// A manager owns a Planner and calls Step with each reading of a row:
//
//	decision := planner.Step(now, view)
//	// send decision.Freezes, pass the answers to planner.HandleReport, and
//	// when decision.Action is limit.Commit, write decision.Next on condition
//	// of the version at which view.Row was read.
//
// A lost reply to the commit needs no handling: the next Step reads the row.
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
	// Self is the member name of this incarnation of the process.
	Self Member
}

// Ledger holds one member's permits of all teams. It is safe for concurrent
// use; each team's state has its own lock.
type Ledger struct {
	self Member
	// createMu serialises additions to accounts, a copy-on-write map.
	createMu sync.Mutex
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

// lockOrCreate returns the team's locked account, creating it if necessary.
func (l *Ledger) lockOrCreate(team string) *account {
	if a := l.lock(team); a != nil {
		return a
	}
	l.createMu.Lock()
	defer l.createMu.Unlock()
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

// forEach calls f with every team's locked account, ordered by team name.
func (l *Ledger) forEach(f func(team string, a *account)) {
	accounts := *l.accounts.Load()
	for _, team := range slices.Sorted(maps.Keys(accounts)) {
		a := accounts[team]
		a.mu.Lock()
		f(team, a)
		a.mu.Unlock()
	}
}

// Apply updates the team's permits from a committed row, read from the table
// or received from a peer. Rows may arrive late, repeatedly and in any order.
func (l *Ledger) Apply(row Allocation) {
	a := l.lockOrCreate(row.Team)
	defer a.mu.Unlock()
	a.applyRow(l.self, row)
}

// Acquire takes a permit of the team. If it returns false, the work must not
// start.
func (l *Ledger) Acquire(team string) bool {
	a := l.lock(team)
	if a == nil {
		return false
	}
	ok := a.acquire()
	a.mu.Unlock()
	return ok
}

// RecordWaiting records how many requests of the team wait for a permit. They
// count as demand until the next Tick.
func (l *Ledger) RecordWaiting(team string, waiting int) {
	a := l.lockOrCreate(team)
	defer a.mu.Unlock()
	a.refused = max(a.refused, waiting)
}

// Release returns a permit whose work is known to have ended. It panics when
// no permit of the team is in use.
func (l *Ledger) Release(team string) {
	a := l.lockOrCreate(team)
	defer a.mu.Unlock()
	a.release()
}

// Linger keeps a permit in use until the given time, for work that may still
// run although its caller no longer waits.
func (l *Ledger) Linger(team string, until time.Time) {
	a := l.lockOrCreate(team)
	defer a.mu.Unlock()
	a.lingering = append(a.lingering, until)
}

// ReleaseLingering releases a permit that lingers until the given time, because
// its work is now known to have ended. It does nothing if that permit has
// already been released by Tick.
func (l *Ledger) ReleaseLingering(team string, until time.Time) {
	a := l.lockOrCreate(team)
	defer a.mu.Unlock()
	i := slices.IndexFunc(a.lingering, until.Equal)
	if i < 0 {
		return
	}
	a.lingering = slices.Delete(a.lingering, i, i+1)
	a.release()
}

// Tick releases lingering permits whose time has passed, and decays the demand
// that HandleTransferRequest holds permits back for. Call it once a gossip
// round.
func (l *Ledger) Tick(now time.Time) {
	l.forEach(func(_ string, a *account) {
		a.expire(now)
		a.endTick()
	})
}

// TransferRequests returns the requests for permits to send, given each peer's
// last status. They go to the peers with idle permits, the most idle first. If
// there are none, one goes to the peer that holds the most permits, provided
// that it holds at least two more than this member.
func (l *Ledger) TransferRequests(team string, peers map[Member]Status) []TransferRequest {
	a := l.lock(team)
	if a == nil {
		return nil
	}
	defer a.mu.Unlock()
	deficit := a.demand() - a.holding
	if a.frozen || deficit <= 0 {
		return nil
	}
	var requests []TransferRequest
	for _, peer := range sortedByIdle(peers) {
		want := min(deficit, peers[peer].Idle)
		if want > 0 {
			requests = append(requests, l.newTransferRequest(team, a, peer, want))
			deficit -= want
		}
	}
	if peer, ok := largestHolder(peers); ok && len(requests) == 0 && peers[peer].Holding > a.holding+1 {
		requests = append(requests, l.newTransferRequest(team, a, peer, deficit))
	}
	return requests
}

func (l *Ledger) newTransferRequest(team string, a *account, to Member, want int) TransferRequest {
	return TransferRequest{Team: team, Generation: a.generation, From: l.self, To: to, Want: want, Holding: a.holding}
}

// sortedByIdle returns the peers in descending order of their idle permits.
func sortedByIdle(peers map[Member]Status) []Member {
	return slices.SortedFunc(maps.Keys(peers), func(p, q Member) int {
		return cmp.Or(peers[q].Idle-peers[p].Idle, cmp.Compare(p, q))
	})
}

// largestHolder returns the peer that holds the most permits.
func largestHolder(peers map[Member]Status) (Member, bool) {
	order := slices.SortedFunc(maps.Keys(peers), func(p, q Member) int {
		return cmp.Or(peers[q].Holding-peers[p].Holding, cmp.Compare(p, q))
	})
	if len(order) == 0 {
		return "", false
	}
	return order[0], true
}

// HandleTransferRequest answers a peer's request with a transfer. It returns
// false if no permits are available now or the peer is not a member of the same
// generation.
func (l *Ledger) HandleTransferRequest(request TransferRequest) (Transfer, bool) {
	a := l.lock(request.Team)
	if a == nil {
		return Transfer{}, false
	}
	defer a.mu.Unlock()
	if !l.isPeer(a, request) {
		return Transfer{}, false
	}
	n := max(0, a.transferable(request.From, request.Want))
	transfer, ok := l.issue(a, request, n)
	a.reserve(request.From, request.Want-n, request.Holding+n)
	return transfer, ok
}

// TransferIdle transfers all idle permits to the peer, for a planned stop.
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
	return l.issue(a, TransferRequest{Team: team, Generation: a.generation, From: to}, n)
}

// isPeer reports whether the request's sender is another member of the same
// generation.
func (l *Ledger) isPeer(a *account, request TransferRequest) bool {
	return request.Generation == a.generation && request.From != l.self && a.members[request.From]
}

func (l *Ledger) issue(a *account, request TransferRequest, n int) (Transfer, bool) {
	if n <= 0 || !l.isPeer(a, request) {
		return Transfer{}, false
	}
	return Transfer{
		Team:       request.Team,
		Generation: a.generation,
		From:       l.self,
		To:         request.From,
		Total:      a.issue(request.From, n),
	}, true
}

// Receive credits a peer's transfer. A transfer of another generation or one
// already counted changes nothing. It reports whether the peer may stop
// resending the transfer.
func (l *Ledger) Receive(t Transfer) bool {
	if t.To != l.self {
		return true
	}
	a := l.lockOrCreate(t.Team)
	defer a.mu.Unlock()
	return a.credit(t)
}

// Confirm records that the peer acknowledged the transfer.
func (l *Ledger) Confirm(t Transfer) {
	a := l.lockOrCreate(t.Team)
	defer a.mu.Unlock()
	if t.Generation == a.generation {
		a.confirmed[t.To] = max(a.confirmed[t.To], t.Total)
	}
}

// Unconfirmed returns the latest transfer to each peer that has not confirmed
// it. It is resent in each gossip round, because any message may be lost.
func (l *Ledger) Unconfirmed() []Transfer {
	var transfers []Transfer
	l.forEach(func(team string, a *account) {
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

// Freeze answers a manager's request with a report. It returns false if the
// request is older than the ledger's generation or doesn't list this member.
func (l *Ledger) Freeze(request FreezeRequest) (Report, bool) {
	generation, known := request.Row.generationOf(l.self)
	if !known || request.To != l.self {
		return Report{}, false
	}
	a := l.lockOrCreate(request.Row.Team)
	defer a.mu.Unlock()
	a.applyRow(l.self, request.Row)
	if a.generation != generation {
		return Report{}, false
	}
	a.freeze(request.Mode, request.Keep)
	return a.report(request.Row.Team, l.self), true
}

// Reports returns the report of each frozen team. They are also sent to
// managers that did not ask, so that those learn that a rebase is needed.
func (l *Ledger) Reports() []Report {
	var reports []Report
	l.forEach(func(team string, a *account) {
		if a.frozen {
			reports = append(reports, a.report(team, l.self))
		}
	})
	return reports
}

// Status returns the team's permit counts, all 0 for an unknown team.
func (l *Ledger) Status(team string) Status {
	a := l.lock(team)
	if a == nil {
		return Status{Team: team}
	}
	defer a.mu.Unlock()
	return a.status(team)
}

// Statuses returns the permit counts of all teams, for gossip.
func (l *Ledger) Statuses() []Status {
	var statuses []Status
	l.forEach(func(team string, a *account) {
		statuses = append(statuses, a.status(team))
	})
	return statuses
}

// Snapshot returns the state of all teams for the state dump.
func (l *Ledger) Snapshot() Snapshot {
	snapshot := Snapshot{Self: l.self, Teams: []TeamSnapshot{}}
	l.forEach(func(team string, a *account) {
		snapshot.Teams = append(snapshot.Teams, TeamSnapshot{
			Status:       a.status(team),
			Granted:      a.granted,
			RecentDemand: a.recentDemand,
			Reserved:     a.reserved(),
			Sent:         maps.Clone(a.sent),
			Received:     maps.Clone(a.received),
		})
	})
	return snapshot
}
