package fleet

import "github.com/lovagedyke/lovagedyke/internal/policy"

// unplaceableSizes remembers, while starts are being decided, what no endpoint of a pool
// has room for. Rooms only shrink meanwhile, so that a task that needs as much or
// more of everything need not be tried on hundreds of endpoints again.
type unplaceableSizes struct {
	rejected []policy.Resources
}

// contains reports whether a need is known to fit nowhere.
func (f *unplaceableSizes) contains(size policy.Resources) bool {
	for _, rejected := range f.rejected {
		if rejected.FitsIn(size) {
			return true
		}
	}
	return false
}

// add takes a need that fits on no endpoint of the pool, whatever its labels.
func (f *unplaceableSizes) add(size policy.Resources) {
	kept := f.rejected[:0]
	for _, rejected := range f.rejected {
		if !size.FitsIn(rejected) {
			kept = append(kept, rejected)
		}
	}
	f.rejected = append(kept, size)
}

// fitsNowhere reports whether no endpoint has room for a need.
func fitsNowhere(size policy.Resources, candidates []*candidateEndpoint) bool {
	for _, candidate := range candidates {
		if size.FitsIn(candidate.available) {
			return false
		}
	}
	return true
}
