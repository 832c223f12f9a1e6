package share

import (
	"cmp"
	"math"
	"slices"
)

// Division is the result of Divide.
type Division struct {
	// Quota holds the slots by entry and flow. Fractions are averages over time.
	Quota map[string]map[Flow]float64
	// Slots holds the whole slots of each entry. They add up to the capacity.
	Slots map[string]int
}

// Divide divides capacity slots among the demands of all entries. A team without
// a weight has weight 1. The result does not depend on the order of the demands.
func Divide(capacity int, weights map[string]float64, demands []Demand) Division {
	sorted := slices.Clone(demands)
	slices.SortFunc(sorted, func(a, b Demand) int { return cmp.Compare(a.Entry, b.Entry) })
	flows := flowsOf(sorted)
	rows := make([]entryDemand, len(sorted))
	for i, demand := range sorted {
		rows[i] = entryDemand{debt: clampSlotSeconds(demand.Debt)}
		rows[i].fill(flows, demand.Flows)
	}
	var div divider
	div.divide(capacity, weightsOf(flows, weights), flows, rows)
	out := Division{Quota: map[string]map[Flow]float64{}, Slots: map[string]int{}}
	for i, demand := range sorted {
		out.Slots[demand.Entry] = rows[i].slots
		out.Quota[demand.Entry] = map[Flow]float64{}
		for f, flow := range flows {
			out.Quota[demand.Entry][flow] = rows[i].quota[f]
		}
	}
	return out
}

// entryDemand holds one entry's demand and quota by flow during a division.
type entryDemand struct {
	demand []float64
	lag    []float64
	quota  []float64
	total  float64
	debt   float64
	slots  int
}

func (r *entryDemand) fill(flows []Flow, demands []FlowDemand) {
	r.resize(len(flows))
	clear(r.demand)
	clear(r.lag)
	for _, d := range demands {
		if i, ok := slices.BinarySearchFunc(flows, d.Flow, compareFlows); ok {
			r.demand[i] += float64(max(0, d.InFlight) + max(0, d.Queued))
			r.lag[i] += clampSlotSeconds(d.Lag)
		}
	}
}

func (r *entryDemand) resize(n int) {
	r.demand = slices.Grow(r.demand[:0], n)[:n]
	r.lag = slices.Grow(r.lag[:0], n)[:n]
	r.quota = slices.Grow(r.quota[:0], n)[:n]
}

// clampSlotSeconds limits a value received from a peer, so that an invalid one
// cannot corrupt the sums of a division.
func clampSlotSeconds(slotSeconds float64) float64 {
	if math.IsNaN(slotSeconds) {
		return 0
	}
	return min(max(slotSeconds, -maxSlotSeconds), maxSlotSeconds)
}

const maxSlotSeconds = 1e6

// divider holds the scratch space of a division, so that repeated divisions do
// not allocate.
type divider struct {
	total       []float64
	fair        []float64 // max-min division by the configured weights
	weight      []float64 // weights corrected by lag
	alloc       []float64 // max-min division by the corrected weights
	demands     []float64
	allocations []float64
	ones        []float64
	order       []int
}

// divide sets quota, total and slots of each row. Flows must be in compareFlows
// order and rows sorted by entry name.
func (d *divider) divide(capacity int, weights []float64, flows []Flow, rows []entryDemand) {
	d.resize(len(flows), len(rows))
	for f := range flows {
		d.total[f] = 0
		for i := range rows {
			d.total[f] += rows[i].demand[f]
		}
	}
	remaining := float64(capacity)
	for first := 0; first < len(flows); {
		last := first
		for last < len(flows) && flows[last].Class == flows[first].Class {
			last++
		}
		maxMin(remaining, weights[first:last], d.total[first:last], d.fair[first:last])
		d.correctWeights(first, last, weights, rows)
		maxMin(remaining, d.weight[first:last], d.total[first:last], d.alloc[first:last])
		for _, allocation := range d.alloc[first:last] {
			remaining -= allocation
		}
		remaining = max(0, remaining)
		first = last
	}
	for f := range flows {
		d.splitFlow(f, rows)
	}
	d.round(capacity, rows)
}

// correctWeights raises the weight of a flow that has lagged behind its fair
// share across the fleet, and lowers that of a flow that is ahead. It corrects
// only flows whose demand exceeds their fair share.
func (d *divider) correctWeights(first, last int, weights []float64, rows []entryDemand) {
	for f := first; f < last; f++ {
		d.weight[f] = weights[f]
		if !d.limited(f) || d.fair[f] == 0 {
			continue
		}
		lag := 0.0
		for i := range rows {
			lag += rows[i].lag[f]
		}
		factor := 1 + lagGain*lag/d.fair[f]
		d.weight[f] *= min(max(factor, 1/maxCorrection), maxCorrection)
	}
}

const (
	lagGain       = 1 // per second
	maxCorrection = 1.25
)

// limited reports whether the flow's demand exceeds its fair share.
func (d *divider) limited(f int) bool {
	return d.fair[f] < d.total[f]-roundingTolerance
}

func (d *divider) resize(flows, rows int) {
	d.total = slices.Grow(d.total[:0], flows)[:flows]
	d.fair = slices.Grow(d.fair[:0], flows)[:flows]
	d.weight = slices.Grow(d.weight[:0], flows)[:flows]
	d.alloc = slices.Grow(d.alloc[:0], flows)[:flows]
	d.demands = slices.Grow(d.demands[:0], rows)[:rows]
	d.allocations = slices.Grow(d.allocations[:0], rows)[:rows]
	d.order = slices.Grow(d.order[:0], rows)[:rows]
	for len(d.ones) < rows {
		d.ones = append(d.ones, 1)
	}
}

func (d *divider) splitFlow(f int, rows []entryDemand) {
	for i := range rows {
		d.demands[i] = rows[i].demand[f]
	}
	maxMin(d.alloc[f], d.ones[:len(rows)], d.demands, d.allocations)
	for i := range rows {
		rows[i].quota[f] = d.allocations[i]
	}
}

// round converts the entries' quotas into whole slots by largest remainder plus
// debt. It spreads unrequested slots evenly, so that a burst can start at once.
func (d *divider) round(capacity int, rows []entryDemand) {
	sum, whole := 0.0, 0
	for i := range rows {
		rows[i].total = 0
		for _, quota := range rows[i].quota {
			rows[i].total += quota
		}
		rows[i].slots = int(math.Floor(rows[i].total + roundingTolerance))
		sum += rows[i].total
		whole += rows[i].slots
		d.order[i] = i
	}
	slices.SortStableFunc(d.order, func(a, b int) int {
		return cmp.Compare(rows[b].remainder(), rows[a].remainder())
	})
	wanted := min(capacity, int(math.Round(sum)))
	for k := 0; k < wanted-whole; k++ {
		rows[d.order[k%len(rows)]].slots++
	}
	for k := range max(0, capacity-max(wanted, whole)) {
		rows[k%len(rows)].slots++
	}
}

// roundingTolerance absorbs the floating-point error of a whole quota.
const roundingTolerance = 1e-9

// remainder returns the entry's rank for the slots left by rounding down. An
// entry with a whole quota gets none of them.
func (r *entryDemand) remainder() float64 {
	fraction := r.total - float64(r.slots)
	if fraction < roundingTolerance {
		return math.Inf(-1)
	}
	// Quantized so that floating-point errors cannot make entries compute
	// different orders.
	return math.Round((fraction+r.debt*debtGain)*1e6) / 1e6
}

// debtGain is the weight of rounding debt in the order, per slot-second.
const debtGain = 10

// maxMin writes the weighted max-min division of capacity to out: no allocation
// exceeds its demand, and an allocation that is smaller than another in
// proportion to its weight equals its demand.
func maxMin(capacity float64, weights, demands, out []float64) {
	remaining := capacity
	for i := range out {
		out[i] = -1
	}
	for {
		active := 0.0
		for i := range out {
			if out[i] < 0 {
				active += weights[i]
			}
		}
		if active == 0 {
			return
		}
		level := remaining / active
		progressed := false
		for i := range out {
			if out[i] < 0 && demands[i] <= level*weights[i] {
				out[i] = demands[i]
				remaining = max(0, remaining-demands[i])
				progressed = true
			}
		}
		if progressed {
			continue
		}
		for i := range out {
			if out[i] < 0 {
				out[i] = level * weights[i]
			}
		}
		return
	}
}

func compareFlows(a, b Flow) int {
	return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Team, b.Team))
}

func flowsOf(demands []Demand) []Flow {
	var flows []Flow
	for _, demand := range demands {
		for _, d := range demand.Flows {
			flows = append(flows, d.Flow)
		}
	}
	slices.SortFunc(flows, compareFlows)
	return slices.Compact(flows)
}

func weightsOf(flows []Flow, weights map[string]float64) []float64 {
	out := make([]float64, len(flows))
	for i, flow := range flows {
		out[i] = weightOf(flow.Team, weights)
	}
	return out
}

// weightOf returns the team's weight, or 1 if it has no positive finite weight.
func weightOf(team string, weights map[string]float64) float64 {
	if w := weights[team]; w > 0 && !math.IsInf(w, 0) {
		return w
	}
	return 1
}
