package fleet

import (
	"time"
)

// startGang starts all members of a gang, or none: one run number for all, on
// one rack if the step asks for it and a rack has the room.
func (l *Leader) startGang(g group, rooms []*endpointRoom, orders *Orders, now time.Time) {
	if len(g.step.pending) < g.step.step.Count {
		// Members of an earlier run have not all ended.
		return
	}
	if !l.underCap(g.job.submission.Account, g.step.step.Resources, int64(g.step.step.Count)) {
		return
	}
	placed := l.placeGang(g, rooms)
	if placed == nil {
		return
	}
	number := int64(0)
	for _, index := range g.step.pending {
		number = max(number, l.nextRun(g.job, g.job.taskAt(g.step.key, index)))
	}
	saved := ""
	for _, index := range g.step.pending {
		if kept := g.job.saved[g.job.taskAt(g.step.key, index)]; kept != "" {
			saved = kept
		}
	}
	for i, index := range g.step.pending {
		task := g.job.taskAt(g.step.key, index)
		if saved != "" {
			// Any member's checkpoint is valid for all, and all carry the same one.
			g.job.saved[task] = saved
		}
		placed[i].room = placed[i].room.Plus(g.step.step.Reserved())
		l.start(g, task, placed[i], number, orders, now)
	}
	g.step.pending = nil
}

// placeGang returns an endpoint for each waiting member, or nil. The rooms of the
// endpoints are reduced.
func (l *Leader) placeGang(g group, rooms []*endpointRoom) []*endpointRoom {
	if !g.step.step.SameRack {
		return l.placeOn(g, rooms)
	}
	byRack := map[string][]*endpointRoom{}
	for _, room := range rooms {
		byRack[room.endpoint.rack()] = append(byRack[room.endpoint.rack()], room)
	}
	var best []*endpointRoom
	for rack, endpoints := range byRack {
		if best != nil && rack != g.step.step.Affinity {
			continue
		}
		if placed := l.placeOn(g, endpoints); placed != nil {
			undo(g, best)
			best = placed
		}
	}
	if best != nil {
		return best
	}
	return l.placeOn(g, rooms)
}

// placeOn places all members on the given endpoints, or returns nil and leaves the rooms as they were.
func (l *Leader) placeOn(g group, rooms []*endpointRoom) []*endpointRoom {
	var placed []*endpointRoom
	perEndpoint := map[*endpointRoom]int{}
	for _, index := range g.step.pending {
		var target *endpointRoom
		bestScore := 0.0
		for _, candidate := range rooms {
			isFull := g.step.step.MaxPerEndpoint > 0 && perEndpoint[candidate] >= g.step.step.MaxPerEndpoint
			if isFull || !g.allows(candidate) {
				continue
			}
			score := g.score(g.job.taskAt(g.step.key, index), candidate)
			if target == nil || score > bestScore {
				target, bestScore = candidate, score
			}
		}
		if target == nil {
			undo(g, placed)
			return nil
		}
		target.room = target.room.Minus(g.step.step.Reserved())
		perEndpoint[target]++
		placed = append(placed, target)
	}
	return placed
}

// undo gives back the room that placed members took.
func undo(g group, placed []*endpointRoom) {
	for _, target := range placed {
		target.room = target.room.Plus(g.step.step.Reserved())
	}
}
