package experiment

import (
	"time"
)

// A burst to five times the mean for some seconds, then a twentieth.
const (
	burstLoad   = 2.0 // times full
	burstLength = 3 * time.Second
	burstPeriod = 15 * time.Second
	betweenRate = 0.01 // of the burst
	fixedReturn = time.Second
)

func burst(elapsed time.Duration) float64 {
	if elapsed%burstPeriod < burstLength {
		return 1
	}
	return betweenRate
}

// burstTrials measure whether a refusal tells when to come back: each refused
// request comes back once.
func burstTrials(d Deployment) []trial {
	policies := []struct {
		name     string
		make     func(*shareBench) sharePolicy
		comeBack func(retryAfter time.Duration) time.Duration
	}{
		{"fleet max-min, back after Retry-After", newFleetSharing(gossipInterval), exactly},
		{"fleet max-min, back after 1 s", newFleetSharing(gossipInterval), fixed},
		{"local-only, back after Retry-After", newLocalSharing, exactly},
		{"local-only, back after 1 s", newLocalSharing, fixed},
	}
	var trials []trial
	for _, policy := range policies {
		trials = append(trials, trial{
			part: Share, deployment: d.Name, scenario: "bursts, skewed arrival", policy: policy.name,
			run: func(seed uint64) outcome {
				bench := newShareBench(d, eachTeam(d, func(team int) load {
					return load{slots: burstLoad * d.share(team), entries: home(d, team, 0)}
				}), seed)
				bench.rate, bench.comeBack = burst, policy.comeBack
				return bench.run(policy.make(bench)).burstOutcome()
			},
		})
	}
	return trials
}

func exactly(retryAfter time.Duration) time.Duration { return retryAfter }

func fixed(time.Duration) time.Duration { return fixedReturn }

func (m *shareMeasure) burstOutcome() outcome {
	arrived := float64(max(1, m.starts+m.refused-m.repeats))
	return outcome{values: []value{
		{"started at once or queued", "%", 100 * float64(m.starts-m.repeatsStarted) / arrived},
		{"started of those that came back", "%", 100 * float64(m.repeatsStarted) / float64(max(1, m.repeats))},
		{"started in the end", "%", 100 * float64(m.starts) / arrived},
	}}
}
