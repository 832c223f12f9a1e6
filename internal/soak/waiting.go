package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/loops"
)

const (
	// visibleTime is after which time a node that answers has to count an accepted job that waits.
	visibleTime = 5 * time.Second
	// countInterval is the time between two questions for the number of waiting jobs.
	countInterval = 200 * time.Millisecond
	// countTimeout limits the time from the end of all jobs until no node counts one as waiting.
	countTimeout = 5 * time.Second
	// gangGrace is the time from the last fault until no member of a gang may end alone: nodes may
	// not know yet that endpoints are reached again.
	gangGrace = 10 * time.Second
)

// wideGangs are the numbers of the jobs that are wide gangs.
var wideGangs = []int{20, 70, 120}

// pollWaiting compares the numbers of waiting jobs that random nodes give with those that have not begun, until ctx
// ends.
func (s *soak) pollWaiting(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.config.Seed, 2))
	for loops.Sleep(ctx, countInterval) {
		node := s.callerAddresses[random.IntN(len(s.callerAddresses))]
		waiting := s.unbegun()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		count, ok := s.platform.Waiting(callCtx, node)
		cancel()
		if !ok {
			continue
		}
		unbegun := 0
		for _, id := range waiting {
			if !s.platform.HasBegun(id) {
				unbegun++
			}
		}
		if 2*count < unbegun {
			s.addViolation("node %s counts %d jobs as waiting, %d that were accepted over %s before have not begun", node, count, unbegun, visibleTime)
		}
	}
}

// unbegun returns the jobs that were accepted over visibleTime ago, and have not begun.
func (s *soak) unbegun() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for id, at := range s.accepted {
		if time.Since(at) > visibleTime && !s.platform.HasBegun(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// awaitNoneWaiting waits, once all jobs have ended, until no node counts one as waiting.
func (s *soak) awaitNoneWaiting(ctx context.Context) {
	end := time.Now().Add(countTimeout)
	for _, node := range s.callerAddresses {
		for {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			count, ok := s.platform.Waiting(callCtx, node)
			cancel()
			if ok && count == 0 {
				break
			}
			if time.Now().After(end) || ctx.Err() != nil {
				s.addViolation("node %s counts %d jobs as waiting (answered: %v) %s after all have ended", node, count, ok, countTimeout)
				break
			}
			loops.Sleep(ctx, jobInterval)
		}
	}
}

// checkGangs checks that no member of a gang that has begun long after the last fault has ended alone.
func (s *soak) checkGangs(clearedAt time.Time) {
	if alone := s.platform.EndedAlone(clearedAt.Add(gangGrace)); len(alone) > 0 {
		s.addViolation("%d members of gangs were started without the others, one of them %s", len(alone), alone[0])
	}
}
