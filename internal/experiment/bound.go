package experiment

import "github.com/lovagedyke/lovagedyke/internal/share"

// flowDemand is one flow's class, weight and demand in slots.
type flowDemand struct {
	class  share.Class
	weight float64
	demand float64
}

// bisectionSteps brings the error of the water level far below a thousandth of a
// slot.
const bisectionSteps = 60

// maxMinBound returns the weighted max-min allocation, class by class, of a
// single queue with full knowledge. It finds the water level by bisection, so
// that it shares no code with the scheduler under test.
func maxMinBound(capacity float64, demands []flowDemand) []float64 {
	out := make([]float64, len(demands))
	for class := share.Urgent; class <= share.Batch; class++ {
		low, high := 0.0, 1.0
		for _, d := range demands {
			high = max(high, (capacity+1)/d.weight)
		}
		for range bisectionSteps {
			level := (low + high) / 2
			if allocatedAt(level, class, demands) > capacity {
				high = level
			} else {
				low = level
			}
		}
		for i, d := range demands {
			if d.class == class {
				out[i] = min(d.demand, low*d.weight)
			}
		}
		capacity = max(0, capacity-allocatedAt(low, class, demands))
	}
	return out
}

// allocatedAt returns the slots that a class uses at a water level.
func allocatedAt(level float64, class share.Class, demands []flowDemand) float64 {
	sum := 0.0
	for _, d := range demands {
		if d.class == class {
			sum += min(d.demand, level*d.weight)
		}
	}
	return sum
}
