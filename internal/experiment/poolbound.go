package experiment

import (
	"math"
	"slices"
)

// leastMoves is the number of moves without which a pool must be late, with
// knowledge of all turns and moves that take no time. A turn's pool needs, at
// some time, the hosts for its work over the turn and the patience; other pools
// keep their minimum and one rack more. Taking hosts from the pool whose next
// turn is furthest away is optimal, as in paging.
func leastMoves(turns []turn) int {
	hosts := slices.Clone(queueHosts)
	hosts = append(hosts, spareHosts)
	moves := 0
	for i, t := range turns {
		length := t.ends.Sub(t.begins)
		need := int(math.Ceil(t.load * length.Seconds() / (length + poolPatience).Seconds()))
		for hosts[t.queue] < need {
			from := furthest(hosts, turns[i+1:], t.queue)
			if from < 0 {
				break
			}
			hosts[from]--
			hosts[t.queue]++
			moves++
		}
	}
	return moves
}

// furthest returns the pool, with a host to give, that bursts last; the spare
// pool never does.
func furthest(hosts []int, rest []turn, except int) int {
	if hosts[len(hosts)-1] > 0 {
		return len(hosts) - 1
	}
	best, bestNext := -1, -1
	for queue := range queueHosts {
		if queue == except || hosts[queue] <= minimumSurvivors+1 {
			continue
		}
		next := slices.IndexFunc(rest, func(t turn) bool { return t.queue == queue })
		if next < 0 {
			next = len(rest)
		}
		if next > bestNext {
			best, bestNext = queue, next
		}
	}
	return best
}

// leastIdle is the idle time outside the spare pool that the minimums ask for,
// in host-seconds: what other pools keep beyond their load during each turn.
func leastIdle(turns []turn) float64 {
	sum := 0.0
	for _, t := range turns {
		for queue := range queueHosts {
			if queue != t.queue {
				spare := minimumSurvivors + 1 - troughOfMean*meanLoad(queue)
				sum += spare * t.ends.Sub(t.begins).Seconds()
			}
		}
	}
	return sum
}
