package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// candidateEndpoint is an endpoint with its free capacity during placement.
type candidateEndpoint struct {
	endpoint   *endpoint
	available  policy.Resources
	persistent int
	// isHeld is true if the endpoint is kept free for persistent tasks.
	isHeld bool
	// isTaken is true if the endpoint is kept for suspected tasks, or has one on trial.
	isTaken bool
	// trials counts the runs on trial. If isShared, they are tried together, and trialRoom is
	// the capacity for more.
	trials    int
	isShared  bool
	trialRoom policy.Resources
}

// candidates returns the endpoints of a pool that accept work, sorted by ID.
func (l *Leader) candidates(pool string, now time.Time) []*candidateEndpoint {
	if !l.knowsCapacity(pool, now) {
		return nil
	}
	l.visit(len(l.endpoints))
	var candidates []*candidateEndpoint
	for _, e := range l.endpointList {
		if e.row.Pool != pool || !l.acceptsWork(e, now) {
			continue
		}
		candidate := &candidateEndpoint{endpoint: e, available: e.availableForStarts(), persistent: e.tally.persistent}
		if e.tally.trials > 0 {
			candidate.showTrials()
		}
		candidates = append(candidates, candidate)
	}
	slices.SortFunc(candidates, func(a, b *candidateEndpoint) int { return cmp.Compare(a.endpoint.row.ID, b.endpoint.row.ID) })
	return candidates
}
