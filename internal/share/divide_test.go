package share

import (
	"fmt"
	"math"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

const tolerance = 1e-6

func drawDemands(t *rapid.T) []Demand {
	demands := make([]Demand, rapid.IntRange(1, 7).Draw(t, "entries"))
	for i := range demands {
		demands[i] = Demand{Entry: fmt.Sprintf("e%d", i), Debt: rapid.Float64Range(-1, 1).Draw(t, "debt")}
		for team := range 6 {
			demands[i].Flows = append(demands[i].Flows, FlowDemand{
				Flow:     Flow{Team: fmt.Sprintf("t%d", team), Class: Class(rapid.IntRange(0, 2).Draw(t, "class"))},
				InFlight: rapid.IntRange(0, 9).Draw(t, "in-flight"),
				Queued:   rapid.SampledFrom([]int{0, 0, 1, 40}).Draw(t, "queued"),
			})
		}
	}
	return demands
}

// TestDivideIsMaxMin checks that a division is max-min fair within each class,
// does not depend on the order of the demands and uses the whole capacity.
func TestDivideIsMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t)
		capacity := rapid.IntRange(0, 120).Draw(t, "capacity")
		weights := map[string]float64{}
		for team := range 5 {
			weights[fmt.Sprintf("t%d", team)] = rapid.Float64Range(0.1, 10).Draw(t, "weight")
		}
		got := Divide(capacity, weights, demands)
		shuffled := rapid.Permutation(demands).Draw(t, "order")
		if other := Divide(capacity, weights, shuffled); !reflect.DeepEqual(got, other) {
			t.Fatalf("divisions of two entries differ: got %v and %v", got, other)
		}
		slots := 0
		for _, n := range got.Slots {
			slots += n
		}
		if slots != capacity {
			t.Fatalf("got %d slots in all entries, want %d", slots, capacity)
		}
		checkClasses(t, float64(capacity), weights, demands, got)
	})
}

// checkClasses checks each class in order against the capacity that remains after
// the earlier ones.
func checkClasses(t *rapid.T, remaining float64, weights map[string]float64, demands []Demand, got Division) {
	want, alloc := map[Flow]float64{}, map[Flow]float64{}
	for _, d := range demands {
		for _, fd := range d.Flows {
			want[fd.Flow] += float64(fd.InFlight + fd.Queued)
		}
		for flow, quota := range got.Quota[d.Entry] {
			alloc[flow] += quota
		}
	}
	for _, class := range []Class{Urgent, Normal, Batch} {
		wanted, allocated, weight := 0.0, 0.0, 0.0
		for flow := range want {
			if flow.Class == class {
				wanted += want[flow]
				allocated += alloc[flow]
				weight += weightOf(flow.Team, weights)
			}
		}
		if math.Abs(allocated-min(remaining, wanted)) > tolerance {
			t.Fatalf("class %v: got %v slots, want %v", class, allocated, min(remaining, wanted))
		}
		for flow := range want {
			share := min(want[flow], remaining*weightOf(flow.Team, weights)/weight)
			if flow.Class == class && alloc[flow] < share-tolerance {
				t.Fatalf("%v: got %v slots, want at least %v", flow, alloc[flow], share)
			}
		}
		remaining = max(0, remaining-allocated)
	}
}

// TestDebtRotatesRemainders checks that rounding debt gives three entries equal
// turns at a single slot.
func TestDebtRotatesRemainders(t *testing.T) {
	demand := func(entry string) Demand {
		return Demand{Entry: entry, Flows: []FlowDemand{{Flow: Flow{Team: "a"}, Queued: 50}}}
	}
	demands := []Demand{demand("e0"), demand("e1"), demand("e2")}
	served := map[string]int{}
	for range 300 {
		division := Divide(1, nil, demands)
		for i := range demands {
			n := division.Slots[demands[i].Entry]
			served[demands[i].Entry] += n
			demands[i].Debt += (1.0/3 - float64(n)) * 0.01
		}
	}
	for _, demand := range demands {
		if got := served[demand.Entry]; got < 90 || got > 110 {
			t.Errorf("%s: got %d of 300 turns, want about 100", demand.Entry, got)
		}
	}
}

// TestLagCorrectionIsBounded checks that lag raises a flow's slots, and changes
// no flow's slots by more than the maximum correction.
func TestLagCorrectionIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t)
		capacity := rapid.IntRange(1, 120).Draw(t, "capacity")
		before := totals(Divide(capacity, nil, demands))
		lagging := demands[0].Flows[0].Flow
		demands[0].Flows[0].Lag = rapid.Float64Range(0, 1000).Draw(t, "lag")
		after := totals(Divide(capacity, nil, demands))
		if after[lagging] < before[lagging]-tolerance || after[lagging] > before[lagging]*maxCorrection+tolerance {
			t.Fatalf("got %v slots for the flow that lags, had %v", after[lagging], before[lagging])
		}
		for flow := range before {
			if flow != lagging && after[flow] < before[flow]/maxCorrection-tolerance {
				t.Fatalf("%v: got %v slots, had %v", flow, after[flow], before[flow])
			}
		}
	})
}

func totals(division Division) map[Flow]float64 {
	out := map[Flow]float64{}
	for _, quotas := range division.Quota {
		for flow, quota := range quotas {
			out[flow] += quota
		}
	}
	return out
}
