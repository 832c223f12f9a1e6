package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// choose returns the candidate with the highest score for a task, or nil.
func (l *Leader) choose(g taskGroup, task job.Task, candidates []*candidateEndpoint, now time.Time) *candidateEndpoint {
	if len(l.lateTasks[task]) > 0 {
		candidates = l.candidatesFor(task, candidates, now)
	}
	l.effort.Compared += len(candidates)
	var best *candidateEndpoint
	bestScore := 0.0
	size, avoided := g.step.step.Reserved(), g.job.avoid[task]
	for _, candidate := range candidates {
		if !size.FitsIn(candidate.available) || !g.allowsWithRoom(candidate) {
			continue
		}
		score := g.score(avoided, candidate)
		if best == nil || score > bestScore {
			best, bestScore = candidate, score
		}
	}
	return best
}

// allows reports whether a task of the step may start on an endpoint.
func (g taskGroup) allows(candidate *candidateEndpoint) bool {
	return g.step.step.Reserved().FitsIn(candidate.available) && g.allowsWithRoom(candidate)
}

// allowsWithRoom reports whether a task of the step may start on an endpoint once that
// has the capacity.
func (g taskGroup) allowsWithRoom(candidate *candidateEndpoint) bool {
	step := g.step.step
	if !candidate.endpoint.hasLabel(step.Requires) {
		return false
	}
	if g.step.tickets != nil {
		if _, ok := g.step.tickets[candidate.endpoint.row.ID]; !ok {
			return false
		}
	}
	return step.MaxPerEndpoint == 0 || candidate.endpoint.runsOf(g.job, g.step.key) < step.MaxPerEndpoint
}

// holdHosts keeps the free capacity of endpoints for persistent tasks that fit
// nowhere, on the endpoints that lack the least: smaller tasks would else take each
// part that becomes free, and the service would stay down while its pool is busy.
func holdHosts(g taskGroup, count int, candidates []*candidateEndpoint) {
	size := g.step.step.Reserved()
	var able []*candidateEndpoint
	for _, candidate := range candidates {
		if candidate.isHeld || !size.FitsIn(candidate.endpoint.row.Capacity) || !g.allowsWithRoom(candidate) {
			continue
		}
		able = append(able, candidate)
	}
	slices.SortStableFunc(able, func(a, b *candidateEndpoint) int {
		return cmp.Compare(a.shortOf(size), b.shortOf(size))
	})
	for _, candidate := range able[:min(count, len(able))] {
		candidate.isHeld = true
		candidate.available = policy.Resources{}
	}
}

// shortOf returns the largest share of the endpoint's capacity that it lacks for a size.
func (c *candidateEndpoint) shortOf(size policy.Resources) float64 {
	share := func(size, available, capacity int64) float64 {
		return float64(max(0, size-available)) / float64(max(1, capacity))
	}
	capacity := c.endpoint.row.Capacity
	return max(share(size.CPU, c.available.CPU, capacity.CPU), share(size.Memory, c.available.Memory, capacity.Memory),
		share(size.GPU, c.available.GPU, capacity.GPU))
}

// runsOf counts a step's runs on an endpoint.
func (e *endpoint) runsOf(j *jobState, key job.StepKey) int {
	count := 0
	for _, r := range e.runs {
		if r.job == j && r.key.task.Step == key.Step && r.key.task.Occurrence == key.Occurrence {
			count++
		}
	}
	return count
}

// Weights of an endpoint's score. In absolute value, each exceeds the sum of all
// smaller ones, including the fraction of reserved CPU, which counts at most 1.
const (
	scoreNotAvoided = 1000
	scoreAffinity   = 100
	scorePersistent = 10
	scoreCold       = -50
	// scoreSlow is for an endpoint that is slower than its peers. That is a risk, and less than
	// any other reason.
	scoreSlow = -2
)

// score prefers, in this order, endpoints other than the avoided ones, on which the task has failed or
// been overdue, that are on the step's preferred rack, that are warmed up, that must stay in the pool for
// their persistent tasks, that are not slower than their peers, and that are fullest.
func (g taskGroup) score(avoided []EndpointID, candidate *candidateEndpoint) float64 {
	e := candidate.endpoint
	score := 0.0
	if !slices.Contains(avoided, e.row.ID) {
		score += scoreNotAvoided
	}
	if g.step.step.Affinity != "" && e.hasLabel(g.step.step.Affinity) {
		score += scoreAffinity
	}
	if candidate.persistent > 0 {
		score += scorePersistent
	}
	if e.row.WarmUp > 0 {
		score += scoreCold
	}
	if e.slowness.Factor() > 1 {
		score += scoreSlow
	}
	return score + 1 - float64(candidate.available.CPU)/float64(max(1, e.row.Capacity.CPU))
}
