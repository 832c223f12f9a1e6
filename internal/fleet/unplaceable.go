package fleet

import "github.com/lovagedyke/lovagedyke/internal/policy"

// unplaceableSizes collects, during one scheduling pass, the sizes that fit on no
// endpoint of a pool. Free capacity only shrinks during the pass, so that a task that
// is at least as large in every resource need not be tried on hundreds of endpoints.
type unplaceableSizes struct {
	rejected []policy.Resources
}

// contains reports whether a size is known to fit nowhere.
func (u *unplaceableSizes) contains(size policy.Resources) bool {
	for _, rejected := range u.rejected {
		if rejected.FitsIn(size) {
			return true
		}
	}
	return false
}

// add adds a size that fits on no endpoint of the pool, regardless of labels.
func (u *unplaceableSizes) add(size policy.Resources) {
	kept := u.rejected[:0]
	for _, rejected := range u.rejected {
		if !size.FitsIn(rejected) {
			kept = append(kept, rejected)
		}
	}
	u.rejected = append(kept, size)
}

// withRoom returns the candidates that may have room for a task of some group. At the peak
// most have none, and need not be tried for each task.
func withRoom(candidates []*candidateEndpoint, groups []taskGroup) []*candidateEndpoint {
	smallest := groups[0].step.step.Reserved()
	for _, g := range groups {
		size := g.step.step.Reserved()
		smallest = policy.Resources{
			CPU: min(smallest.CPU, size.CPU), Memory: min(smallest.Memory, size.Memory), GPU: min(smallest.GPU, size.GPU),
		}
	}
	var open []*candidateEndpoint
	for _, candidate := range candidates {
		if smallest.FitsIn(candidate.available) {
			open = append(open, candidate)
		}
	}
	return open
}

// fitsNowhere reports whether no candidate has enough free capacity for a size.
func fitsNowhere(size policy.Resources, candidates []*candidateEndpoint) bool {
	for _, candidate := range candidates {
		if size.FitsIn(candidate.available) {
			return false
		}
	}
	return true
}
