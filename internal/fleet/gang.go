package fleet

import (
	"time"
)

// startGang starts all members of a gang or none, with a common run number, and on
// one rack if the step asks for it and a rack has the capacity.
func (l *Leader) startGang(g taskGroup, candidates []*candidateEndpoint, orders *Orders, now time.Time) {
	if len(g.step.pending) < g.step.step.Count {
		// Some members of an earlier run are still active.
		return
	}
	if !l.underCap(g.job.submission.Account, g.step.step.Resources, int64(g.step.step.Count)) {
		return
	}
	placed := l.placeGang(g, candidates)
	if placed == nil {
		return
	}
	number := int64(0)
	for _, index := range g.step.pending {
		number = max(number, l.nextRun(g.job, g.job.taskAt(g.step.key, index)))
	}
	checkpoint := ""
	for _, index := range g.step.pending {
		if saved := g.job.checkpoint[g.job.taskAt(g.step.key, index)]; saved != "" {
			checkpoint = saved
		}
	}
	for i, index := range g.step.pending {
		task := g.job.taskAt(g.step.key, index)
		if checkpoint != "" {
			// Any member's checkpoint is valid for all members, and all must get the same one.
			g.job.checkpoint[task] = checkpoint
		}
		placed[i].available = placed[i].available.Plus(g.step.step.Reserved())
		l.start(g, task, placed[i], number, orders, now)
	}
	g.step.pending = nil
}

// placeGang returns an endpoint for each pending member and reduces the endpoints'
// available capacity, or returns nil.
func (l *Leader) placeGang(g taskGroup, candidates []*candidateEndpoint) []*candidateEndpoint {
	if !g.step.step.SameRack {
		return l.placeOn(g, candidates)
	}
	byRack := map[string][]*candidateEndpoint{}
	for _, candidate := range candidates {
		byRack[candidate.endpoint.rack()] = append(byRack[candidate.endpoint.rack()], candidate)
	}
	var best []*candidateEndpoint
	for rack, endpoints := range byRack {
		if best != nil && rack != g.step.step.Affinity {
			continue
		}
		if placed := l.placeOn(g, endpoints); placed != nil {
			unplace(g, best)
			best = placed
		}
	}
	if best != nil {
		return best
	}
	return l.placeOn(g, candidates)
}

// placeOn places all members on the given endpoints, or returns nil and leaves the
// available capacity unchanged.
func (l *Leader) placeOn(g taskGroup, candidates []*candidateEndpoint) []*candidateEndpoint {
	var placed []*candidateEndpoint
	perEndpoint := map[*candidateEndpoint]int{}
	for _, index := range g.step.pending {
		var target *candidateEndpoint
		bestScore := 0.0
		for _, candidate := range candidates {
			isFull := g.step.step.MaxPerEndpoint > 0 && perEndpoint[candidate] >= g.step.step.MaxPerEndpoint
			if isFull || !g.allows(candidate) {
				continue
			}
			score := g.score(g.job.avoid[g.job.taskAt(g.step.key, index)], candidate)
			if target == nil || score > bestScore {
				target, bestScore = candidate, score
			}
		}
		if target == nil {
			unplace(g, placed)
			return nil
		}
		target.available = target.available.Minus(g.step.step.Reserved())
		perEndpoint[target]++
		placed = append(placed, target)
	}
	return placed
}

// unplace releases the capacity that placed members took.
func unplace(g taskGroup, placed []*candidateEndpoint) {
	for _, target := range placed {
		target.available = target.available.Plus(g.step.step.Reserved())
	}
}
