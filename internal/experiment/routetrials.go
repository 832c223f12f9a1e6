package experiment

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/route"
)

const (
	slowFactor     = 10              // run time factor of a slow endpoint
	coldFactor     = 4               // run time factor just after a restart
	coldDuration   = 3 * time.Second // after the restart
	downFrom       = 4 * time.Second
	downUntil      = 8 * time.Second
	skewedFraction = 0.5 // of the load arrives at one entry
	ordinaryLoad   = 0.6
	faultyEndpoint = 0
	heavyLoad      = 0.85
	overload       = 1.3
	elevatedLoad   = 0.7
)

var routeScenarios = []routeScenario{
	{"even, 0.7 full", elevatedLoad, 0, noFault},
	{"skewed, 0.85 full", heavyLoad, skewedFraction, noFault},
	{"skewed, 1.3 times full", overload, skewedFraction, noFault},
	{"one endpoint slow, 0.6 full", ordinaryLoad, 0, func(endpoint int, _ time.Duration) (float64, bool) {
		if endpoint == faultyEndpoint {
			return slowFactor, false
		}
		return 1, false
	}},
	{"one endpoint fails all, 0.6 full", ordinaryLoad, 0, func(endpoint int, _ time.Duration) (float64, bool) {
		return 1, endpoint == faultyEndpoint
	}},
	{"one endpoint down, then cold, 0.6 full", ordinaryLoad, 0, func(endpoint int, elapsed time.Duration) (float64, bool) {
		if endpoint != faultyEndpoint || elapsed < downFrom {
			return 1, false
		}
		if elapsed < downUntil+coldDuration {
			return coldFactor, elapsed < downUntil
		}
		return 1, false
	}},
}

func routeTrials(d Deployment) []trial {
	policies := []struct {
		name   string
		choose func(*routeBench, *routeEntry) chooser
	}{
		{"least fleet load", newPicker(route.Config{})},
		{"same, peers at full weight", newPicker(route.Config{PeerWeight: 1})},
		{"same, no data centre preference", newPicker(route.Config{RemotePenalty: -1})},
		{"same, best of two", newPicker(route.Config{Choices: 2})},
		{"permits per endpoint", newInterleavedPermits},
		{"home entry per endpoint", newContiguousPermits},
		{"least local in flight", newLeastLocal},
		{"round robin", newRoundRobin},
		{"random", newRandomChoice},
	}
	var trials []trial
	for _, scenario := range routeScenarios {
		for _, policy := range policies {
			trials = append(trials, trial{
				part: Route, deployment: d.Name, scenario: scenario.name, policy: policy.name,
				run: func(seed uint64) outcome {
					return newRouteBench(d, scenario, seed).run(policy.choose)
				},
			})
		}
	}
	return trials
}
