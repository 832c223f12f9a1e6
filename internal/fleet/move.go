package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

const (
	// idleGrace is how long a host stays empty in its pool before it is given
	// back: two moves cost about as much as two seconds of a host.
	idleGrace = 600 * time.Millisecond
	// poolLeast is the number of hosts that a pool keeps for what comes next.
	poolLeast = 4
	// packing is how much more room than the sum of its tasks a pool needs,
	// since tasks do not fill hosts to the brim.
	packing = 1.15
	// arrivalTime is how long the endpoint of a host that is up may take to be
	// listed and to answer; later it does not count for its pool.
	arrivalTime = 800 * time.Millisecond
	// movesAtOnce bounds the moves that one step orders.
	movesAtOnce = 12
)

// poolNeed is what a pool has and needs, in hosts.
type poolNeed struct {
	pool string
	// have counts the hosts that are up or on their way.
	have int
	need int
	// least is how many hosts it needs whatever its tasks take together.
	least int
	// isCut is true where the pool wants more than its portion.
	isCut bool
	// isCrowded is true where tasks have found no room for a while.
	isCrowded bool
}

// lack is how many hosts are missing; a negative one tells how many are too many.
func (p poolNeed) lack() int {
	return p.need - p.have
}

// planMoves takes hosts to the pools that need them, and those that none
// needs to the spare pool, where they cost nothing.
func (l *Leader) planMoves(needs []*poolNeed, orders *Orders, now time.Time) {
	spare, ok := l.policy.SparePool()
	if !ok || l.hostSize() == (policy.Resources{}) {
		return
	}
	l.countHosts(needs, now)
	l.noteNeeds(needs, now)
	givers := l.givers(needs, spare, now)
	l.emptySurplus(needs)
	ordered := 0
	for _, need := range needs {
		for lack := need.lack(); lack > 0 && ordered < movesAtOnce; lack-- {
			from := takeGiver(&givers, needs, need.pool)
			if from == nil {
				l.noteLack(need, len(givers), now)
				break
			}
			l.move(from, need.pool, orders, now)
			ordered++
		}
	}
	for _, h := range givers {
		if ordered >= movesAtOnce {
			return
		}
		own := needOf(needs, h.row.Pool)
		if h.row.Pool == spare || own == nil || own.lack() >= 0 || now.Sub(h.idleSince) < idleGrace {
			continue
		}
		own.have--
		l.move(h, spare, orders, now)
		ordered++
	}
}

// needsNoteEvery is the time between two lines about the pools' sizes.
const needsNoteEvery = time.Second

// noteNeeds notes the pools' sizes now and then.
func (l *Leader) noteNeeds(needs []*poolNeed, now time.Time) {
	if now.Sub(l.hosts.needsNotedAt) < needsNoteEvery {
		return
	}
	l.hosts.needsNotedAt = now
	for _, need := range needs {
		l.note("pool size", "pool", need.pool, "hosts", need.have, "needed", need.need)
	}
}

// noteLack notes, now and then, that a pool waits for hosts.
func (l *Leader) noteLack(need *poolNeed, givers int, now time.Time) {
	if now.Sub(l.hosts.lackNotedAt) < lackNoteEvery {
		return
	}
	l.hosts.lackNotedAt = now
	l.note("pool lacks hosts", "pool", need.pool, "have", need.have, "need", need.need, "givers", givers)
}

// lackNoteEvery is the time between two lines about pools that lack hosts.
const lackNoteEvery = time.Second

// move orders a move.
func (l *Leader) move(h *hostState, pool string, orders *Orders, now time.Time) {
	h.change = &change{pool: pool, orderedAt: now}
	if e := l.endpointOf(h); e != nil {
		e.leaving = true
	}
	orders.Moves = append(orders.Moves, Move{Host: h.row.ID, Pool: pool})
	l.note("move", "host", h.row.ID, "from", h.row.Pool, "to", pool)
}

// poolNeeds returns what the pools that run tasks need.
func (l *Leader) poolNeeds(pools map[string][]*jobState, now time.Time) []*poolNeed {
	var needs []*poolNeed
	size, sum := l.hostSize(), 0
	for name, pool := range l.policy.Pools {
		if pool.Spare {
			continue
		}
		demand := l.demandOf(pools[name], now)
		need := &poolNeed{
			pool: name, isCrowded: demand.isCrowded,
			need: max(poolLeast, demand.spread, hostsFor(l.expected(name, demand, now), size)),
		}
		need.least = max(poolLeast, demand.spread)
		sum += need.need
		needs = append(needs, need)
	}
	if total := l.usableHosts(); sum > total {
		l.divide(total, needs, pools, size, now)
	}
	return needs
}

// countHosts counts what each pool has, and sorts the pools, the one that lacks
// most first.
func (l *Leader) countHosts(needs []*poolNeed, now time.Time) {
	for _, need := range needs {
		for _, h := range l.hosts.byID {
			if h.listed && l.headsFor(h, need.pool, now) {
				need.have++
			}
		}
		if need.isCrowded && !need.isCut {
			// Its hosts are not as free as their sizes tell.
			need.need = max(need.need, need.have)
		}
	}
	slices.SortFunc(needs, func(a, b *poolNeed) int {
		return cmp.Or(cmp.Compare(b.lack(), a.lack()), cmp.Compare(a.pool, b.pool))
	})
}

// freeHosts counts the hosts that are up and that no pool needs, or has needed
// lately: needs fall for a moment within a turn, too.
func (l *Leader) freeHosts(needs []*poolNeed, now time.Time) int {
	free, needed := 0, 0
	for _, h := range l.hosts.byID {
		if h.listed && h.row.State != HostDown && h.row.State != HostMaintenance {
			free++
		}
	}
	for _, need := range needs {
		needed += need.need
	}
	return max(0, free-l.hosts.needed.note(needed, now))
}

// usableHosts counts the hosts that are not down.
func (l *Leader) usableHosts() int {
	count := 0
	for _, h := range l.hosts.byID {
		if h.listed && h.row.State != HostDown {
			count++
		}
	}
	return count
}

// divide sets the needs of pools that want more hosts together than there are.
func (l *Leader) divide(total int, needs []*poolNeed, pools map[string][]*jobState, size policy.Resources, now time.Time) {
	wanted := make([][layers]int, len(needs))
	for i, need := range needs {
		demand := l.demandByLayer(pools[need.pool], l.rhythmOf(need.pool).flow(now), now)
		for at := range layers {
			wanted[i][at] = max(need.least, hostsFor(demand[at], size))
		}
	}
	for i, portion := range portions(total, wanted) {
		needs[i].isCut = portion < needs[i].need
		needs[i].need = portion
	}
}

// largerOf returns the larger of each resource.
func largerOf(a, b policy.Resources) policy.Resources {
	return policy.Resources{CPU: max(a.CPU, b.CPU), Memory: max(a.Memory, b.Memory), GPU: max(a.GPU, b.GPU)}
}

// demandByLayer is what a pool's tasks take, each layer with those below it.
// What runs counts as in time, its hosts can't be had before it ends; as much as
// runs of what arrives does, too.
func (l *Leader) demandByLayer(jobs []*jobState, flow policy.Resources, now time.Time) [layers]policy.Resources {
	var sums [layers]policy.Resources
	var running policy.Resources
	for _, j := range jobs {
		for _, step := range j.steps {
			each := step.step.Reserved()
			active, pending := int64(j.activeOf(step.key)), int64(len(step.pending))
			if step.step.Persistent {
				sums[layerLeast] = sums[layerLeast].Plus(each.Times(active + pending))
				continue
			}
			running = running.Plus(each.Times(active))
			if pending > 0 {
				at := layerOf(l.rankOf(j, step, now).hope)
				sums[at] = sums[at].Plus(each.Times(pending))
			}
		}
	}
	sums[layerInTime] = sums[layerInTime].Plus(largerOf(running, flow))
	for at := layerInTime; at < layers; at++ {
		sums[at] = sums[at].Plus(sums[at-1])
	}
	return sums
}

// layerOf returns the layer of work by what starting it can still bring.
func layerOf(h hope) layer {
	switch h {
	case hopeInTime:
		return layerInTime
	case hopeLate:
		return layerLate
	default:
		return layerAll
	}
}

// headsFor reports whether a host is in a pool, or on its way there.
func (l *Leader) headsFor(h *hostState, pool string, now time.Time) bool {
	if h.change != nil && h.change.pool != "" {
		return h.change.pool == pool
	}
	if e := l.endpointOf(h); e != nil && e.leaving {
		// It is being emptied for its upkeep: another has to take its place.
		return false
	}
	if h.row.State == HostUp && !h.unknownSince.IsZero() && now.Sub(h.unknownSince) > arrivalTime {
		return false
	}
	return h.row.Pool == pool && (h.row.State == HostUp || h.row.State == HostMoving || h.row.State == HostMaintenance)
}

// hostSize is the mean size of the hosts that are listed, or zeros.
func (l *Leader) hostSize() policy.Resources {
	var sum policy.Resources
	count := int64(0)
	for _, h := range l.hosts.byID {
		if h.listed {
			sum = sum.Plus(h.row.Capacity)
			count++
		}
	}
	if count == 0 {
		return policy.Resources{}
	}
	return policy.Resources{CPU: max(1, sum.CPU/count), Memory: max(1, sum.Memory/count)}
}

// hostsFor returns how many hosts an amount of work needs.
func hostsFor(demand, size policy.Resources) int {
	share := max(float64(demand.CPU)/float64(size.CPU), float64(demand.Memory)/float64(size.Memory))
	count := int(share * packing)
	if float64(count) < share*packing {
		count++
	}
	return count
}

// crowdedAfter is how long a task has to find no room for its pool to be crowded.
const crowdedAfter = 300 * time.Millisecond

// demand is what a pool's jobs ask of it now.
type demand struct {
	// active and pending are what the tasks that run and that wait take.
	active, pending policy.Resources
	// spread is how many hosts the steps need that bound their tasks on one endpoint.
	spread int
	// isCrowded is true if tasks that may run have found no room for a while.
	isCrowded bool
}

// demandOf sums up a pool's jobs.
func (l *Leader) demandOf(jobs []*jobState, now time.Time) demand {
	var out demand
	for _, j := range jobs {
		for _, step := range j.steps {
			each, active, pending := step.step.Reserved(), j.activeOf(step.key), len(step.pending)
			out.active = out.active.Plus(each.Times(int64(active)))
			if most := step.step.MaxPerEndpoint; most > 0 {
				out.spread = max(out.spread, (active+pending+most-1)/most)
			}
			if pending == 0 {
				continue
			}
			out.pending = out.pending.Plus(each.Times(int64(pending)))
			if now.Sub(step.openedAt) > crowdedAfter && l.underCap(j.submission.Account, step.step.Resources, 1) {
				out.isCrowded = true
			}
		}
	}
	return out
}

// expected is what a pool's tasks take soon: those that wait, beside those that
// run now or that will run of what arrives, if that is more. Hosts that come for
// arriving work alone would leave those that wait waiting.
func (l *Leader) expected(pool string, demand demand, now time.Time) policy.Resources {
	flow := l.rhythmOf(pool).flow(now)
	return demand.pending.Plus(largerOf(demand.active, flow)).Plus(l.comingBacklog(pool, flow))
}

// clearTime is how soon a backlog should be cleared that will have grown until
// hosts that are ordered now are there.
const clearTime = 2 * time.Second

// comingBacklog is what has to run at one time to clear soon what arrives, beyond
// what the pool's endpoints can take, while more hosts are on their way.
func (l *Leader) comingBacklog(pool string, flow policy.Resources) policy.Resources {
	var room policy.Resources
	for _, e := range l.endpoints {
		if e.row.Pool == pool && e.listed && e.reached && !e.gone && !e.leaving {
			room = room.Plus(e.row.Capacity)
		}
	}
	part := float64(l.config.Bounds.Move+arrivalTime) / float64(clearTime)
	scale := func(amount int64) int64 { return int64(part * float64(max(0, amount))) }
	excess := flow.Minus(room)
	return policy.Resources{CPU: scale(excess.CPU), Memory: scale(excess.Memory)}
}

// activeOf counts the tasks of a step that run.
func (j *jobState) activeOf(key job.StepKey) int {
	count := 0
	for task := range j.active {
		if task.Step == key.Step && task.Occurrence == key.Occurrence {
			count++
		}
	}
	return count
}

// emptySurplus gives no more work to the hosts that a pool has too many, so
// that they can be moved once their tasks have ended and the ends are written:
// those with the fewest. Where hosts are short, work waits also in the pool that
// has too many, and would fill a host again as soon as it is empty.
func (l *Leader) emptySurplus(needs []*poolNeed) {
	for _, need := range needs {
		if need.lack() >= 0 {
			continue
		}
		var surplus []*endpoint
		for _, h := range l.hosts.byID {
			e := l.endpointOf(h)
			if h.row.Pool != need.pool || h.change != nil || e == nil || e.lastingRuns() > 0 {
				continue
			}
			if len(e.runs) > 0 || need.isCut {
				surplus = append(surplus, e)
			}
		}
		slices.SortFunc(surplus, func(a, b *endpoint) int {
			return cmp.Or(cmp.Compare(len(a.runs), len(b.runs)), cmp.Compare(a.row.ID, b.row.ID))
		})
		for _, e := range surplus[:min(len(surplus), -need.lack())] {
			e.leaving = true
		}
	}
}

// givers lists hosts that can be moved without harm: spare ones first, then
// the empty ones of pools that have too many.
func (l *Leader) givers(needs []*poolNeed, spare string, now time.Time) []*hostState {
	var givers []*hostState
	for _, h := range l.hosts.byID {
		if !h.isFree(now) {
			continue
		}
		if h.row.Pool == spare {
			givers = append(givers, h)
			continue
		}
		need := needOf(needs, h.row.Pool)
		e := l.endpointOf(h)
		if need == nil || need.lack() >= 0 || e == nil || e.leaving || e.row.Draining || h.idleSince.IsZero() {
			continue
		}
		givers = append(givers, h)
	}
	slices.SortFunc(givers, func(a, b *hostState) int {
		isSpare := func(h *hostState) int {
			if h.row.Pool == spare {
				return 0
			}
			return 1
		}
		return cmp.Or(cmp.Compare(isSpare(a), isSpare(b)), a.idleSince.Compare(b.idleSince), cmp.Compare(a.row.ID, b.row.ID))
	})
	return givers
}

// takeGiver takes the first host that its pool can do without.
func takeGiver(givers *[]*hostState, needs []*poolNeed, to string) *hostState {
	for i, h := range *givers {
		if h.row.Pool == to {
			continue
		}
		if own := needOf(needs, h.row.Pool); own != nil {
			if own.lack() >= 0 {
				continue
			}
			own.have--
		}
		*givers = slices.Delete(*givers, i, i+1)
		return h
	}
	return nil
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

// Largest returns the most that one host or endpoint has of each resource.
func (l *Leader) Largest() policy.Resources {
	var largest policy.Resources
	add := func(capacity policy.Resources) {
		largest.CPU = max(largest.CPU, capacity.CPU)
		largest.Memory = max(largest.Memory, capacity.Memory)
		largest.GPU = max(largest.GPU, capacity.GPU)
	}
	for _, h := range l.hosts.byID {
		add(h.row.Capacity)
	}
	for _, e := range l.endpoints {
		add(e.row.Capacity)
	}
	return largest
}
