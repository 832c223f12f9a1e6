package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/policy"
)

const (
	// idleGrace is how long a host is idle before it leaves its pool. Two moves cost
	// about as much as two seconds of a host.
	idleGrace = 600 * time.Millisecond
	// minPoolHosts is the number of hosts that a pool keeps for future work.
	minPoolHosts = 4
	// packingFactor is the ratio of needed capacity to the sum of the tasks' sizes, since
	// tasks do not fill hosts completely.
	packingFactor = 1.15
	// endpointStartTime is how long the endpoint of a host that is up may take to be
	// listed and to report; after that, the host does not count for its pool.
	endpointStartTime = 800 * time.Millisecond
)

// planMoves moves hosts to the pools that need them, and idle surplus hosts to the
// spare pool, where they cost nothing. It orders at most budget moves.
func (l *Leader) planMoves(needs []*poolNeed, budget int, orders *Orders, now time.Time) {
	spare, ok := l.policy.SparePool()
	if !ok || l.meanHost == (policy.Resources{}) {
		return
	}
	l.countHosts(needs, now)
	l.logPoolSizes(needs, now)
	donors := l.donors(needs, spare, now)
	l.drainSurplus(needs)
	ordered := 0
	for _, need := range needs {
		for deficit := need.deficit(); deficit > 0 && ordered < budget; deficit-- {
			from := takeDonor(&donors, needs, need.pool)
			if from == nil {
				l.logShortage(need, len(donors), now)
				break
			}
			l.orderMove(from, need.pool, orders, now)
			ordered++
		}
	}
	for _, h := range donors {
		if ordered >= budget {
			return
		}
		source := needOf(needs, h.row.Pool)
		if h.row.Pool == spare || source == nil || source.deficit() >= 0 || now.Sub(h.idleSince) < idleGrace {
			continue
		}
		source.have--
		l.orderMove(h, spare, orders, now)
		ordered++
	}
	for _, h := range l.evacuatedSurplus(needs, now) {
		if ordered >= budget {
			return
		}
		l.orderMove(h, spare, orders, now)
		ordered++
	}
}

// evacuatedSurplus returns the idle evacuated hosts of pools that have what they need without
// them, sorted. While a pool lacks hosts, its evacuated ones stay: after a withdrawal they work
// again at once.
func (l *Leader) evacuatedSurplus(needs []*poolNeed, now time.Time) []*hostState {
	var surplus []*hostState
	l.visit(len(l.hosts.byID))
	for _, h := range l.hosts.list {
		if !l.isHostEvacuated(h) || !h.canChange(now) || h.isOccupied || h.idleSince.IsZero() || now.Sub(h.idleSince) < idleGrace {
			continue
		}
		need, e := needOf(needs, h.row.Pool), l.endpointOf(h)
		if need != nil && need.deficit() <= 0 && !need.isReduced && e != nil && !e.leaving && !e.row.Draining {
			surplus = append(surplus, h)
		}
	}
	slices.SortFunc(surplus, func(a, b *hostState) int {
		return cmp.Or(a.idleSince.Compare(b.idleSince), cmp.Compare(a.row.ID, b.row.ID))
	})
	return surplus
}

// poolSizeLogInterval is the time between two logs of the pools' sizes.
const poolSizeLogInterval = time.Second

// logPoolSizes periodically logs the pools' sizes.
func (l *Leader) logPoolSizes(needs []*poolNeed, now time.Time) {
	if now.Sub(l.hosts.poolSizesLoggedAt) < poolSizeLogInterval {
		return
	}
	l.hosts.poolSizesLoggedAt = now
	for _, need := range needs {
		usable, busy := l.poolUse(need.pool, now)
		l.log("pool size", "pool", need.pool, "hosts", need.have, "needed", need.need, "usable", usable, "busy", busy)
	}
}

// poolUse returns how many endpoints of a pool accept work, and the share of their CPU that is reserved.
func (l *Leader) poolUse(pool string, now time.Time) (usable int, busy float64) {
	var reserved, capacity int64
	l.visit(len(l.endpoints))
	for _, e := range l.endpointList {
		if e.row.Pool == pool && l.acceptsWork(e, now) {
			usable++
			reserved += e.tally.reserved.CPU
			capacity += e.row.Capacity.CPU
		}
	}
	return usable, math.Round(100*float64(reserved)/float64(max(1, capacity))) / 100
}

// logShortage periodically logs that a pool lacks hosts.
func (l *Leader) logShortage(need *poolNeed, donors int, now time.Time) {
	if now.Sub(l.hosts.shortageLoggedAt) < shortageLogInterval {
		return
	}
	l.hosts.shortageLoggedAt = now
	l.log("pool lacks hosts", "pool", need.pool, "have", need.have, "need", need.need, "donors", donors)
}

// shortageLogInterval is the time between two logs of shortages.
const shortageLogInterval = time.Second

// orderMove orders the move of a host to a pool.
func (l *Leader) orderMove(h *hostState, pool string, orders *Orders, now time.Time) {
	l.startChange(h, pendingChange{pool: pool}, now)
	orders.Moves = append(orders.Moves, Move{Host: h.row.ID, Pool: pool})
	l.log("move", "host", h.row.ID, "from", h.row.Pool, "to", pool)
}

// drainSurplus excludes a pool's surplus hosts, those with the fewest runs, from new
// work, so that they can be moved once their completions are written. When hosts are
// short, pending tasks would otherwise refill such a host as soon as it is empty.
func (l *Leader) drainSurplus(needs []*poolNeed) {
	byNeed := map[*poolNeed][]*endpoint{}
	l.visit(len(l.hosts.list))
	for _, h := range l.hosts.list {
		need := needOf(needs, h.row.Pool)
		if need == nil || need.deficit() >= 0 || h.pendingChange != nil {
			continue
		}
		e := l.endpointOf(h)
		if e == nil || e.tally.persistent > 0 || l.isHostEvacuated(h) {
			continue
		}
		if len(e.runs) > 0 || need.isReduced {
			byNeed[need] = append(byNeed[need], e)
		}
	}
	for need, surplus := range byNeed {
		slices.SortFunc(surplus, func(a, b *endpoint) int {
			return cmp.Or(cmp.Compare(len(a.runs), len(b.runs)), cmp.Compare(a.row.ID, b.row.ID))
		})
		for _, e := range surplus[:min(len(surplus), -need.deficit())] {
			e.leaving = true
		}
	}
}

// donors returns the hosts that can be moved without ending a run: spare hosts first,
// then empty hosts of pools with a surplus. Evacuated hosts are not among them.
func (l *Leader) donors(needs []*poolNeed, spare string, now time.Time) []*hostState {
	var donors []*hostState
	l.visit(len(l.hosts.byID))
	for _, h := range l.hosts.list {
		if !h.canChange(now) || h.isOccupied || l.isHostEvacuated(h) {
			continue
		}
		if h.row.Pool == spare {
			donors = append(donors, h)
			continue
		}
		need := needOf(needs, h.row.Pool)
		e := l.endpointOf(h)
		if need == nil || need.deficit() >= 0 || e == nil || e.leaving || e.row.Draining || h.idleSince.IsZero() {
			continue
		}
		donors = append(donors, h)
	}
	slices.SortFunc(donors, func(a, b *hostState) int {
		isSpare := func(h *hostState) int {
			if h.row.Pool == spare {
				return 0
			}
			return 1
		}
		return cmp.Or(cmp.Compare(isSpare(a), isSpare(b)), a.idleSince.Compare(b.idleSince), cmp.Compare(a.row.ID, b.row.ID))
	})
	return donors
}

// takeDonor removes and returns the first donor whose pool has a surplus.
func takeDonor(donors *[]*hostState, needs []*poolNeed, to string) *hostState {
	for i, h := range *donors {
		if h.row.Pool == to {
			continue
		}
		if source := needOf(needs, h.row.Pool); source != nil {
			if source.deficit() >= 0 {
				continue
			}
			source.have--
		}
		*donors = slices.Delete(*donors, i, i+1)
		return h
	}
	return nil
}

// MaxHostResources returns, per resource, the largest amount that a single host or
// endpoint has that is not evacuated, or zeros if all are.
func (l *Leader) MaxHostResources() policy.Resources {
	var largest policy.Resources
	add := func(capacity policy.Resources) {
		largest.CPU = max(largest.CPU, capacity.CPU)
		largest.Memory = max(largest.Memory, capacity.Memory)
		largest.GPU = max(largest.GPU, capacity.GPU)
	}
	l.visit(len(l.hosts.byID))
	for _, h := range l.hosts.list {
		if !l.isHostEvacuated(h) {
			add(h.row.Capacity)
		}
	}
	l.visit(len(l.endpoints))
	for _, e := range l.endpointList {
		if !l.isEvacuated(e) {
			add(e.row.Capacity)
		}
	}
	return largest
}
