package fleet

import (
	"time"
)

// startGang starts all members of a gang, or none: one run number for all, on
// one rack if the step asks for it and a rack has the room.
func (l *Leader) startGang(g group, rooms []*hostRoom, orders *Orders, now time.Time) {
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

// placeGang returns a host for each waiting member, or nil. The rooms of the
// hosts are reduced.
func (l *Leader) placeGang(g group, rooms []*hostRoom) []*hostRoom {
	if !g.step.step.SameRack {
		return l.placeOn(g, rooms)
	}
	byRack := map[string][]*hostRoom{}
	for _, room := range rooms {
		byRack[room.host.rack()] = append(byRack[room.host.rack()], room)
	}
	var best []*hostRoom
	for rack, hosts := range byRack {
		if best != nil && rack != g.step.step.Affinity {
			continue
		}
		if placed := l.placeOn(g, hosts); placed != nil {
			undo(g, best)
			best = placed
		}
	}
	if best != nil {
		return best
	}
	return l.placeOn(g, rooms)
}

// placeOn places all members on the given hosts, or returns nil and leaves the rooms as they were.
func (l *Leader) placeOn(g group, rooms []*hostRoom) []*hostRoom {
	var placed []*hostRoom
	perHost := map[*hostRoom]int{}
	for _, index := range g.step.pending {
		var target *hostRoom
		bestScore := 0.0
		for _, candidate := range rooms {
			isFull := g.step.step.MaxPerHost > 0 && perHost[candidate] >= g.step.step.MaxPerHost
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
		perHost[target]++
		placed = append(placed, target)
	}
	return placed
}

// undo gives back the room that placed members took.
func undo(g group, placed []*hostRoom) {
	for _, target := range placed {
		target.room = target.room.Plus(g.step.step.Reserved())
	}
}
