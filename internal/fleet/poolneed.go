package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// poolNeed is the number of hosts that a pool has and needs.
type poolNeed struct {
	pool string
	// have counts the hosts that are in the pool or on their way to it.
	have int
	need int
	// minimum is the number of hosts needed regardless of the tasks' total size.
	minimum int
	// isReduced is true if the pool was allocated fewer hosts than it wants.
	isReduced bool
	// isCrowded is true if tasks have not fitted on any endpoint for a while, and
	// isServiceDown if persistent tasks are among them.
	isCrowded, isServiceDown bool
}

// deficit returns how many hosts are missing; a negative value is a surplus.
func (p poolNeed) deficit() int {
	return p.need - p.have
}

// poolNeeds returns the needs of all pools that run tasks.
func (l *Leader) poolNeeds(pools map[string][]*jobState, now time.Time) []*poolNeed {
	var needs []*poolNeed
	size, sum := l.meanHost, 0
	for name, pool := range l.policy.Pools {
		if pool.Spare {
			continue
		}
		demand := l.demandOf(pools[name], now)
		need := &poolNeed{
			pool: name, isCrowded: demand.isCrowded, isServiceDown: demand.isServiceDown,
			need: max(minPoolHosts, demand.spread, hostsFor(l.expectedDemand(name, demand, now), size)),
		}
		need.minimum = max(minPoolHosts, demand.spread)
		need.need += min(l.trialHosts(pools[name]), max(minTrials, need.need/trialShare))
		sum += need.need
		needs = append(needs, need)
	}
	if total := l.usableHosts(); sum > total {
		l.allocateHosts(total, needs, pools, size, now)
	}
	return needs
}

// countHosts counts the hosts of each pool, and sorts the pools by deficit, the
// largest first.
func (l *Leader) countHosts(needs []*poolNeed, now time.Time) {
	l.visit(len(l.hosts.list))
	areArriving := map[*poolNeed]bool{}
	for _, h := range l.hosts.list {
		need := needOf(needs, h.destination())
		if need != nil && h.listed && l.countsToward(h, need.pool, now) {
			need.have++
			if h.pendingChange != nil || h.row.State != HostUp || !h.unknownSince.IsZero() {
				areArriving[need] = true
			}
		}
	}
	for _, need := range needs {
		if need.isServiceDown && !areArriving[need] {
			// The tasks' sizes add up to less than the hosts that they need.
			need.need = max(need.need, need.have+1)
		}
		if need.isCrowded && !need.isReduced {
			// Free capacity is fragmented: the pool must keep its hosts.
			need.need = max(need.need, need.have)
		}
	}
	slices.SortFunc(needs, func(a, b *poolNeed) int {
		return cmp.Or(cmp.Compare(b.deficit(), a.deficit()), cmp.Compare(a.pool, b.pool))
	})
}

// freeHosts counts the hosts that are up and that no pool has recently needed, other than those
// that are evacuated. The recent maximum bridges moments in which needs drop.
func (l *Leader) freeHosts(needs []*poolNeed, now time.Time) int {
	free, needed := 0, 0
	l.visit(len(l.hosts.byID))
	for _, h := range l.hosts.list {
		if h.listed && h.row.State != HostDown && h.row.State != HostMaintenance && !l.isHostEvacuated(h) {
			free++
		}
	}
	for _, need := range needs {
		needed += need.need
	}
	return max(0, free-l.hosts.needed.observe(needed, now))
}

// usableHosts counts the hosts that are neither down nor evacuated.
func (l *Leader) usableHosts() int {
	count := 0
	l.visit(len(l.hosts.byID))
	for _, h := range l.hosts.list {
		if h.listed && h.row.State != HostDown && !l.isHostEvacuated(h) {
			count++
		}
	}
	return count
}

// allocateHosts limits the needs of pools that together want more hosts than there are.
func (l *Leader) allocateHosts(total int, needs []*poolNeed, pools map[string][]*jobState, size policy.Resources, now time.Time) {
	wanted := make([][tierCount]int, len(needs))
	for i, need := range needs {
		demand := l.demandByTier(pools[need.pool], l.arrivalHistoryOf(need.pool).inflow(now), now)
		for t := range tierCount {
			wanted[i][t] = max(need.minimum, hostsFor(demand[t], size))
		}
	}
	for i, allocation := range allocate(total, wanted) {
		needs[i].isReduced = allocation < needs[i].need
		needs[i].need = allocation
	}
}

// countsToward reports whether a host is in a pool, or on its way to it, and may get work there.
func (l *Leader) countsToward(h *hostState, pool string, now time.Time) bool {
	if l.isHostEvacuated(h) {
		return false
	}
	if h.pendingChange != nil && h.pendingChange.pool != "" {
		return h.pendingChange.pool == pool
	}
	if e := l.endpointOf(h); e != nil && e.leaving {
		// The host is being drained for maintenance and needs a replacement.
		return false
	}
	if h.row.State == HostUp && !h.unknownSince.IsZero() && now.Sub(h.unknownSince) > endpointStartTime {
		return false
	}
	return h.row.Pool == pool && (h.row.State == HostUp || h.row.State == HostMoving || h.row.State == HostMaintenance)
}

// hostSize returns the mean size of the listed hosts that are not evacuated, or of all if all are,
// or zero if none is listed.
func (l *Leader) hostSize() policy.Resources {
	size := l.meanSize(func(h *hostState) bool { return h.listed && !l.isHostEvacuated(h) })
	if size == (policy.Resources{}) {
		size = l.meanSize(func(h *hostState) bool { return h.listed })
	}
	return size
}

// meanSize returns the mean size of the hosts for which counts is true, or zero.
func (l *Leader) meanSize(counts func(*hostState) bool) policy.Resources {
	var sum policy.Resources
	count := int64(0)
	l.visit(len(l.hosts.byID))
	for _, h := range l.hosts.list {
		if counts(h) {
			sum = sum.Plus(h.row.Capacity)
			count++
		}
	}
	if count == 0 {
		return policy.Resources{}
	}
	return policy.Resources{CPU: max(1, sum.CPU/count), Memory: max(1, sum.Memory/count)}
}

// needOf returns a pool's need, or nil for the spare pool.
func needOf(needs []*poolNeed, pool string) *poolNeed {
	for _, need := range needs {
		if need.pool == pool {
			return need
		}
	}
	return nil
}

// destination returns the pool in which the host is, or to which it is being moved.
func (h *hostState) destination() string {
	if h.pendingChange != nil && h.pendingChange.pool != "" {
		return h.pendingChange.pool
	}
	return h.row.Pool
}
