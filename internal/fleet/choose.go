package fleet

import (
	"slices"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

// choose returns the best endpoint for a task, or nil.
func (l *Leader) choose(g group, task job.Task, rooms []*endpointRoom) *endpointRoom {
	var best *endpointRoom
	bestScore := 0.0
	for _, candidate := range rooms {
		if !g.allows(candidate) {
			continue
		}
		score := g.score(task, candidate)
		if best == nil || score > bestScore {
			best, bestScore = candidate, score
		}
	}
	return best
}

// allows reports whether a task of the step may start on an endpoint.
func (g group) allows(candidate *endpointRoom) bool {
	step := g.step.step
	if !step.Reserved().FitsIn(candidate.room) || !candidate.endpoint.hasLabel(step.Requires) {
		return false
	}
	if g.step.granted != nil {
		if _, ok := g.step.granted[candidate.endpoint.row.ID]; !ok {
			return false
		}
	}
	return step.MaxPerEndpoint == 0 || candidate.endpoint.runsOf(g.job, g.step.key) < step.MaxPerEndpoint
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

// Weights of an endpoint's score; each outweighs all that stand after it.
const (
	scoreUntried  = 1000
	scoreAffinity = 100
	scoreLasting  = 10
	scoreCold     = -50
)

// score prefers endpoints on which the task has not failed, near its data, that
// cannot be given back since lasting tasks run there, and that are fullest.
func (g group) score(task job.Task, candidate *endpointRoom) float64 {
	e := candidate.endpoint
	score := 0.0
	if !slices.Contains(g.job.avoid[task], e.row.ID) {
		score += scoreUntried
	}
	if g.step.step.Affinity != "" && e.hasLabel(g.step.step.Affinity) {
		score += scoreAffinity
	}
	if candidate.lasting > 0 {
		score += scoreLasting
	}
	if e.row.WarmUp > 0 {
		score += scoreCold
	}
	return score + 1 - float64(candidate.room.CPU)/float64(max(1, e.row.Capacity.CPU))
}
