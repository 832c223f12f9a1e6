package fleet

import (
	"time"
)

// startGang starts all members of a gang or none, with a common run number, and on
// one rack if the step asks for it and a rack has the capacity.
func (l *Leader) startGang(g taskGroup, candidates []*candidateEndpoint, orders *Orders, now time.Time) {
	if len(g.step.pending) < g.step.step.Count {
		// Some members of an earlier run are still active.
		l.stopFormerGang(g, now)
		return
	}
	if !l.underCap(g.job.submission.Account, g.step.step.Resources, int64(g.step.step.Count)) {
		return
	}
	if limit := l.gangTime(); limit > 0 && l.starts.timeFor(g.step.step.Count) > limit {
		// The members on one endpoint would wait too long for those on another.
		return
	}
	l.dropGangLimits(g.step, now)
	placed := l.placeGang(g, candidates, now)
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
	g.attempt = &gangAttempt{}
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
	l.assembling = append(l.assembling, g.attempt)
}

// placeGang returns an endpoint for each pending member and reduces the endpoints'
// available capacity, or returns nil.
func (l *Leader) placeGang(g taskGroup, candidates []*candidateEndpoint, now time.Time) []*candidateEndpoint {
	if !g.step.step.SameRack {
		return l.placeOn(g, candidates, now)
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
		if placed := l.placeOn(g, endpoints, now); placed != nil {
			unplace(g, best)
			best = placed
		}
	}
	if best != nil {
		return best
	}
	return l.placeOn(g, candidates, now)
}

// placeOn places all members on the given endpoints, or returns nil and leaves the
// available capacity unchanged.
func (l *Leader) placeOn(g taskGroup, candidates []*candidateEndpoint, now time.Time) []*candidateEndpoint {
	var placed []*candidateEndpoint
	perEndpoint := map[*candidateEndpoint]int{}
	isFull := func(candidate *candidateEndpoint) bool {
		return perEndpoint[candidate] >= l.maxGangMembers(g.step, candidate.endpoint, now) || !g.allows(candidate)
	}
	var target *candidateEndpoint
	for _, index := range g.step.pending {
		// The endpoint of the member before has become fuller, and so is preferred for the next one.
		only, isBound := l.boundTo(g.job.taskAt(g.step.key, index), now)
		isClosed := func(candidate *candidateEndpoint) bool {
			return isFull(candidate) || isBound && candidate.endpoint != only
		}
		if target == nil || len(g.job.avoid) > 0 || isClosed(target) {
			target = g.bestFor(index, candidates, isClosed)
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

// bestFor returns the endpoint with the highest score for a member of a gang among those that are not
// full, or nil.
func (g taskGroup) bestFor(index int, candidates []*candidateEndpoint, isFull func(*candidateEndpoint) bool) *candidateEndpoint {
	var target *candidateEndpoint
	bestScore := 0.0
	avoided := g.job.avoid[g.job.taskAt(g.step.key, index)]
	for _, candidate := range candidates {
		if isFull(candidate) {
			continue
		}
		if score := g.score(avoided, candidate); target == nil || score > bestScore {
			target, bestScore = candidate, score
		}
	}
	return target
}

// unplace releases the capacity that placed members took.
func unplace(g taskGroup, placed []*candidateEndpoint) {
	for _, target := range placed {
		target.available = target.available.Plus(g.step.step.Reserved())
	}
}
