package experiment

import (
	"math"
	"slices"
)

// minMoves returns a lower bound of the moves that any policy needs to start all
// work in time: it knows all turns in advance, and its moves take no time. During
// a turn, the bursting pool needs enough hosts to perform its work within the turn
// and poolMaxStartDelay; every other pool keeps its minimum and one host more, for
// the loss of a rack. Taking hosts from the pool whose next turn is furthest away
// is optimal, as in Belady's page replacement algorithm.
func minMoves(turns []turn) int {
	hosts := slices.Clone(queueHosts)
	hosts = append(hosts, spareHosts)
	moves := 0
	for i, t := range turns {
		length := t.end.Sub(t.start)
		need := int(math.Ceil(t.load * length.Seconds() / (length + poolMaxStartDelay).Seconds()))
		for hosts[t.queue] < need {
			from := chooseDonor(hosts, turns[i+1:], t.queue)
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

// chooseDonor returns the spare pool if it has a host, or else the pool with a
// surplus host whose next burst is furthest away. It returns -1 if there is none.
func chooseDonor(hosts []int, rest []turn, except int) int {
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

// minIdle returns the idle time outside the spare pool, in host-seconds, that the
// pools' minimums make unavoidable: the hosts that the pools which don't burst keep
// beyond their load.
func minIdle(turns []turn) float64 {
	sum := 0.0
	for _, t := range turns {
		for queue := range queueHosts {
			if queue != t.queue {
				spare := minimumSurvivors + 1 - troughFactor*meanLoad(queue)
				sum += spare * t.end.Sub(t.start).Seconds()
			}
		}
	}
	return sum
}
