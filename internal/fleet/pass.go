package fleet

import (
	"slices"

	"github.com/lovagedyke/lovagedyke/internal/policy"
)

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

// pass is one pass over the waiting steps of a pool, in the order of their ranks.
type pass struct {
	groups     []taskGroup
	candidates []*candidateEndpoint
	// open are the candidates that have room for the smallest task that waits. At the peak most have
	// none, and need not be tried for each one.
	open        []*candidateEndpoint
	smallest    policy.Resources
	unplaceable unplaceableSizes
	// isCut is true if steps wait only since no more starts may be decided.
	isCut bool
}

func newPass(candidates []*candidateEndpoint, groups []taskGroup) *pass {
	p := &pass{groups: groups, candidates: candidates, smallest: smallestSize(groups)}
	for _, candidate := range candidates {
		if p.smallest.FitsIn(candidate.available) {
			p.open = append(p.open, candidate)
		}
	}
	return p
}

// inTime returns the groups whose jobs can meet their objective, or have none.
func (p *pass) inTime() []taskGroup {
	var groups []taskGroup
	for _, g := range p.groups {
		if g.rank.persistent || g.rank.lateness == onTime {
			groups = append(groups, g)
		}
	}
	return groups
}

// isHopeless reports whether no task of a step can start. Persistent ones are tried also when no
// candidate has room: hosts are held for them.
func (p *pass) isHopeless(g taskGroup) bool {
	return len(p.open) == 0 && !g.step.step.Persistent || p.unplaceable.contains(g.step.step.Reserved())
}

// noteUnplaced notes that a number of a group's tasks fit on no open candidate.
func (p *pass) noteUnplaced(g taskGroup, count int) {
	if g.step.step.Persistent {
		holdHosts(g, count, p.candidates)
	}
	if size := g.step.step.Reserved(); fitsNowhere(size, p.open) {
		p.unplaceable.add(size)
	}
}

// used closes a candidate that has no room any more.
func (p *pass) used(candidate *candidateEndpoint) {
	if !p.smallest.FitsIn(candidate.available) {
		p.open = slices.DeleteFunc(p.open, func(other *candidateEndpoint) bool { return other == candidate })
	}
}

// smallestSize returns the least that a task of some group needs of each resource.
func smallestSize(groups []taskGroup) policy.Resources {
	smallest := groups[0].step.step.Reserved()
	for _, g := range groups {
		size := g.step.step.Reserved()
		smallest = policy.Resources{
			CPU: min(smallest.CPU, size.CPU), Memory: min(smallest.Memory, size.Memory), GPU: min(smallest.GPU, size.GPU),
		}
	}
	return smallest
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
