package experiment

import (
	"time"
)

// The arrival rate is five times the mean during a burst, and a twentieth of the
// mean between two bursts.
const (
	burstLoad       = 2.0 // times the slots
	burstLength     = 3 * time.Second
	burstPeriod     = 15 * time.Second
	quietRate       = 0.01 // fraction of the burst's arrival rate
	fixedRetryDelay = time.Second
)

// burstRate returns the arrival rate as a fraction of the burst's rate.
func burstRate(elapsed time.Duration) float64 {
	if elapsed%burstPeriod < burstLength {
		return 1
	}
	return quietRate
}

// burstTrials measures whether Retry-After predicts free capacity. Each refused
// request is retried once, after Retry-After or after a fixed delay.
func burstTrials(d Deployment) []trial {
	policies := []struct {
		name       string
		make       func(*shareBench) sharePolicy
		retryDelay func(retryAfter time.Duration) time.Duration
	}{
		{"fleet max-min, back after Retry-After", newFleetSharing(gossipInterval), afterRetryAfter},
		{"fleet max-min, back after 1 s", newFleetSharing(gossipInterval), afterFixedDelay},
		{"local-only, back after Retry-After", newLocalSharing, afterRetryAfter},
		{"local-only, back after 1 s", newLocalSharing, afterFixedDelay},
	}
	var trials []trial
	for _, policy := range policies {
		trials = append(trials, trial{
			part: Share, deployment: d.Name, scenario: "bursts, skewed arrival", policy: policy.name,
			run: func(seed uint64) outcome {
				bench := newShareBench(d, eachTeam(d, func(team int) teamLoad {
					return teamLoad{slots: burstLoad * d.share(team), entryFraction: skewedArrival(d, team, 0)}
				}), seed)
				bench.arrivalRate, bench.retryDelay = burstRate, policy.retryDelay
				return bench.run(policy.make(bench)).burstOutcome()
			},
		})
	}
	return trials
}

func afterRetryAfter(retryAfter time.Duration) time.Duration { return retryAfter }

func afterFixedDelay(time.Duration) time.Duration { return fixedRetryDelay }

func (m *shareMeasure) burstOutcome() outcome {
	arrived := float64(max(1, m.starts+m.refused-m.retries))
	return outcome{values: []value{
		{"started at once or queued", "%", 100 * float64(m.starts-m.retriesStarted) / arrived},
		{"started of those that came back", "%", 100 * float64(m.retriesStarted) / float64(max(1, m.retries))},
		{"started in the end", "%", 100 * float64(m.starts) / arrived},
	}}
}
