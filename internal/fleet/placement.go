package fleet

import (
	"slices"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

// choose returns the candidate with the highest score for a task, or nil.
func (l *Leader) choose(g taskGroup, task job.Task, candidates []*candidateEndpoint) *candidateEndpoint {
	var best *candidateEndpoint
	bestScore := 0.0
	for _, candidate := range candidates {
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
func (g taskGroup) allows(candidate *candidateEndpoint) bool {
	step := g.step.step
	if !step.Reserved().FitsIn(candidate.available) || !candidate.endpoint.hasLabel(step.Requires) {
		return false
	}
	if g.step.tickets != nil {
		if _, ok := g.step.tickets[candidate.endpoint.row.ID]; !ok {
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

// Weights of an endpoint's score. In absolute value, each exceeds the sum of all
// smaller ones, including the fraction of reserved CPU, which counts at most 1.
const (
	scoreNotAvoided = 1000
	scoreAffinity   = 100
	scorePersistent = 10
	scoreCold       = -50
)

// score prefers, in this order, endpoints on which the task has not failed or been
// overdue, that are on the step's preferred rack, that are warmed up, that must stay in the pool for
// their persistent tasks, and that are fullest.
func (g taskGroup) score(task job.Task, candidate *candidateEndpoint) float64 {
	e := candidate.endpoint
	score := 0.0
	if !slices.Contains(g.job.avoid[task], e.row.ID) {
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
	return score + 1 - float64(candidate.available.CPU)/float64(max(1, e.row.Capacity.CPU))
}
