package experiment

import "github.com/lovagedyke/lovagedyke/internal/share"

// claim is one flow's weight, class and demand in slots.
type claim struct {
	class  share.Class
	weight float64
	demand float64
}

// boundSteps bisects the water level far below a thousandth of a slot.
const boundSteps = 60

// maxMinBound is the weighted max-min division, class by class, that a single
// queue with full knowledge would give. It searches for the water level, so
// that it shares no code with the scheduler that it judges.
func maxMinBound(capacity float64, claims []claim) []float64 {
	out := make([]float64, len(claims))
	for class := share.Urgent; class <= share.Batch; class++ {
		low, high := 0.0, 1.0
		for _, c := range claims {
			high = max(high, (capacity+1)/c.weight)
		}
		for range boundSteps {
			level := (low + high) / 2
			if filled(level, class, claims) > capacity {
				high = level
			} else {
				low = level
			}
		}
		for i, c := range claims {
			if c.class == class {
				out[i] = min(c.demand, low*c.weight)
			}
		}
		capacity = max(0, capacity-filled(low, class, claims))
	}
	return out
}

func filled(level float64, class share.Class, claims []claim) float64 {
	sum := 0.0
	for _, c := range claims {
		if c.class == class {
			sum += min(c.demand, level*c.weight)
		}
	}
	return sum
}
