package runtimes

import (
	"slices"
	"time"
)

const (
	// siblingFactor times the median duration of the step's completed tasks, plus
	// siblingSlack, is when a run is overdue: tasks of one step take similar times.
	siblingFactor = 2.5
	siblingSlack  = 500 * time.Millisecond
	// estimateFactor and estimateSlack apply to the predicted duration if too few of the
	// step's tasks have completed; callers' estimates are inaccurate.
	estimateFactor = 5
	estimateSlack  = 2 * time.Second
	// minCompletionsForMedian is the number of completed tasks needed for a median.
	minCompletionsForMedian = 2
	// restartCost is what a new run costs beside its own time: orders take some 100 ms, and
	// endpoints report every 600 ms.
	restartCost = 500 * time.Millisecond
	// minOverdueBeside is how many other runs must be overdue for an endpoint that reports
	// work to count as standing still if it has ended none for claimFactor times what
	// claimQuantile of the tasks take at most. Several long tasks beside each other are
	// frequent on endpoints with few runs: a factor of 1 stopped one of 354 there.
	minOverdueBeside           = 2
	claimFactor, claimQuantile = 1.5, 0.99
	// runawayFactor times the duration that only a thousandth of the tasks exceeds is when a
	// run is stopped without evidence against its endpoint: it may stand still unseen.
	runawayFactor, runawayQuantile = 10, 0.999
)

// Action is what becomes of a run.
type Action string

// Actions on runs.
const (
	Keep Action = "kept"
	Stop Action = "stopped"
	Copy Action = "copied"
)

// Run is what is known of a run that may be overdue.
type Run struct {
	// Usual is the usual duration of the task, Limit the age beyond which a run is overdue.
	Age, Usual, Limit time.Duration
	IsSpeculative     bool
	// Slowness is the factor by which the endpoint is slower than its peers, at least 1.
	Slowness float64
	// Idle is for how long, until the endpoint's newest report, the run has shown no work.
	// EndpointIdle is for how long none of the endpoint's runs has, and none has ended, and
	// SinceEnd for how long none has ended.
	Idle, EndpointIdle, SinceEnd time.Duration
	// ReportsWork is true if the endpoint's reports show which runs work.
	ReportsWork bool
	// OverdueBeside is the number of the endpoint's other overdue runs, with those that were
	// stopped or copied since one has ended.
	OverdueBeside int
}

// Decision is what becomes of a run, and why.
type Decision struct {
	Action Action
	Reason string
	// IsFault is true if there is evidence against the endpoint.
	IsFault bool
	// Rest is the expected rest of the run, NewRun the expected whole of a new one.
	Rest, NewRun time.Duration
}

// Expectation returns the usual duration of a task of a step, and the age beyond which a
// run of it is overdue, from the prediction and from the durations of the step's completed
// tasks.
func Expectation(predicted time.Duration, completed []time.Duration) (usual, limit time.Duration) {
	if len(completed) < minCompletionsForMedian {
		return predicted, estimateFactor*predicted + estimateSlack
	}
	sorted := slices.Sorted(slices.Values(completed))
	usual = sorted[len(sorted)/2]
	return usual, scale(usual, siblingFactor) + siblingSlack
}

// Decide returns what becomes of a run. A run that is not speculative is stopped only if it
// is overdue, a new one is expected to end earlier, and there is evidence against the
// endpoint: a task that is long by itself is as long elsewhere.
func (m *Model) Decide(run Run) Decision {
	if run.IsSpeculative {
		return m.decideCopy(run)
	}
	factor := max(1, run.Slowness)
	decision := m.expect(run, factor)
	// What the run has done so far is what a new one would have to do again.
	decision.NewRun += scale(run.Age, 1/factor)
	switch reason := m.standstill(run); {
	case run.Age <= run.Limit:
		return decision
	case reason != "":
		decision.Action, decision.Reason, decision.IsFault = Stop, reason, true
	case factor > 1 && decision.Rest > decision.NewRun:
		decision.Action, decision.Reason, decision.IsFault = Stop, "the endpoint is slow", true
	case run.Age > runawayFactor*max(run.Limit, scale(run.Usual, m.Quantile(runawayQuantile))):
		decision.Action, decision.Reason = Stop, "the run is far longer than any other"
	case factor > 1:
		decision.Reason = "the run is expected to end before a new one"
	default:
		decision.Reason = "the task is long by itself"
	}
	return decision
}

// decideCopy decides on a run whose step allows a copy. The run goes on beside it, so that a run
// beyond its limit needs no evidence against its endpoint. An earlier copy does: the task of a run
// that is merely long is mostly as long elsewhere, and one of the two is discarded.
func (m *Model) decideCopy(run Run) Decision {
	factor := max(1, run.Slowness)
	decision := m.expect(run, factor)
	decision.NewRun = m.RemainingMean(0, run.Usual) + restartCost
	reason := m.standstill(run)
	switch {
	case run.Age > run.Limit && reason != "":
		decision.Action, decision.Reason, decision.IsFault = Copy, reason, true
	case (run.Age > run.Limit || run.Age > run.Usual && factor > 1) && decision.Rest > decision.NewRun:
		decision.Action, decision.Reason, decision.IsFault = Copy, "a new run is expected to end earlier", factor > 1
	case run.Age > run.Limit:
		decision.Reason = "the run is expected to end before a new one"
	}
	return decision
}

// expect returns a decision to keep the run, with the expected rests of the run on an
// endpoint that is slower by a factor, and of one as old on a sound endpoint.
func (m *Model) expect(run Run, factor float64) Decision {
	rest := m.RemainingMean(scale(run.Age, 1/factor), run.Usual)
	return Decision{Action: Keep, Rest: scale(rest, factor), NewRun: rest + restartCost}
}

// standstill returns how an overdue run shows that it stands still, or "".
func (m *Model) standstill(r Run) string {
	switch {
	case r.EndpointIdle >= r.Limit/2:
		// Other runs may have ended just before the endpoint stood still.
		return "the endpoint shows no progress"
	case r.ReportsWork && r.Idle >= r.Limit:
		return "the run shows no progress"
	case r.OverdueBeside >= minOverdueBeside && r.SinceEnd >= max(r.Limit, scale(r.Usual, claimFactor*m.Quantile(claimQuantile))):
		return "no run of the endpoint ends"
	default:
		return ""
	}
}
