package experiment

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/retry"
)

const serviceSlowdown = 8 // run time factor while all endpoints are slow

// duringFault limits a fault to the time from faultFrom to faultUntil.
func duringFault(f fault) fault {
	return func(endpoint int, elapsed time.Duration) (float64, bool) {
		if elapsed < faultFrom || elapsed >= faultUntil {
			return noFault(endpoint, elapsed)
		}
		return f(endpoint, elapsed)
	}
}

var retryScenarios = []struct {
	name        string
	utilisation float64
	fault       fault
}{
	{"all fail for 5 s, 0.6 full", ordinaryLoad, func(int, time.Duration) (float64, bool) { return 1, true }},
	{"one endpoint fails for 5 s, 0.6 full", ordinaryLoad, func(endpoint int, _ time.Duration) (float64, bool) {
		return 1, endpoint == faultyEndpoint
	}},
	{"all slow for 5 s, 0.7 full", elevatedLoad, func(int, time.Duration) (float64, bool) { return serviceSlowdown, false }},
}

func retryTrials(d Deployment) []trial {
	policies := []struct {
		name string
		make func() retryPolicy
	}{
		{"budget of a tenth", func() retryPolicy { return budgetPolicy{retry.New(retry.Config{})} }},
		{"three attempts without budget", func() retryPolicy { return naivePolicy{naiveAttempts} }},
		{"no retries", func() retryPolicy { return naivePolicy{1} }},
	}
	var trials []trial
	for _, scenario := range retryScenarios {
		for _, policy := range policies {
			trials = append(trials, trial{
				part: Retry, deployment: d.Name, scenario: scenario.name, policy: policy.name,
				run: func(seed uint64) outcome {
					return newRetryBench(d, scenario.utilisation, duringFault(scenario.fault), seed, policy.make).run()
				},
			})
		}
	}
	return trials
}
