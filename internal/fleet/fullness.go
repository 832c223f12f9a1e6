package fleet

import "github.com/lovagedyke/lovagedyke/internal/policy"

// fullness remembers, while starts are being decided, what no endpoint of a pool
// has room for. Rooms only shrink meanwhile, so that a task that needs as much or
// more of everything need not be tried on hundreds of endpoints again.
type fullness struct {
	refused []policy.Resources
}

// covers reports whether a need is known to fit nowhere.
func (f *fullness) covers(need policy.Resources) bool {
	for _, refused := range f.refused {
		if refused.FitsIn(need) {
			return true
		}
	}
	return false
}

// note takes a need that fits on no endpoint of the pool, whatever its labels.
func (f *fullness) note(need policy.Resources) {
	kept := f.refused[:0]
	for _, refused := range f.refused {
		if !need.FitsIn(refused) {
			kept = append(kept, refused)
		}
	}
	f.refused = append(kept, need)
}

// fitsNowhere reports whether no endpoint has room for a need.
func fitsNowhere(need policy.Resources, rooms []*endpointRoom) bool {
	for _, candidate := range rooms {
		if need.FitsIn(candidate.room) {
			return false
		}
	}
	return true
}
