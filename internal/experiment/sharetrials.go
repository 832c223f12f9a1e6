package experiment

import (
	"fmt"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/share"
)

const (
	slowGossip           = 100 * time.Millisecond
	primaryFraction      = 0.7             // of a team's load arrives at its primary entry
	primaryEntryInterval = 2 * time.Second // between changes of the primary entry
)

// shareScenario names a load and creates it for a deployment.
type shareScenario struct {
	name  string
	loads func(d Deployment) []teamLoad
}

var shareScenarios = []shareScenario{
	{"skewed arrival, 1.5 times full", func(d Deployment) []teamLoad {
		return eachTeam(d, func(team int) teamLoad {
			return teamLoad{slots: 1.5 * d.share(team), entryFraction: skewedArrival(d, team, 0)}
		})
	}},
	{"skewed arrival that moves", func(d Deployment) []teamLoad {
		return eachTeam(d, func(team int) teamLoad {
			return teamLoad{slots: 1.5 * d.share(team), entryFraction: skewedArrival(d, team, primaryEntryInterval)}
		})
	}},
	{"one large team", func(d Deployment) []teamLoad {
		return eachTeam(d, func(team int) teamLoad {
			if team == 0 {
				return teamLoad{slots: 1.5 * float64(d.slots()), entryFraction: evenArrival(d)}
			}
			return teamLoad{slots: 0.6 * d.share(team), entryFraction: skewedArrival(d, team, 0)}
		})
	}},
	{"one team floods", func(d Deployment) []teamLoad {
		last := len(d.Weights) - 1
		return eachTeam(d, func(team int) teamLoad {
			if team == last {
				return teamLoad{slots: 10 * d.share(team), entryFraction: evenArrival(d)}
			}
			return teamLoad{slots: 1.2 * d.share(team), entryFraction: skewedArrival(d, team, 0)}
		})
	}},
	{"classes", func(d Deployment) []teamLoad {
		loads := eachTeam(d, func(team int) teamLoad {
			return teamLoad{slots: 1.2 * d.share(team), entryFraction: skewedArrival(d, team, 0)}
		})
		urgent := teamLoad{team: 1, class: share.Urgent, slots: 0.2 * float64(d.slots()), entryFraction: evenArrival(d)}
		batch := teamLoad{team: 0, class: share.Batch, slots: 0.5 * float64(d.slots()), entryFraction: evenArrival(d)}
		return append(loads, urgent, batch)
	}},
	{"seven tenths full", func(d Deployment) []teamLoad {
		return eachTeam(d, func(team int) teamLoad {
			return teamLoad{slots: 0.7 * d.share(team), entryFraction: skewedArrival(d, team, 0)}
		})
	}},
}

func eachTeam(d Deployment, make func(team int) teamLoad) []teamLoad {
	var loads []teamLoad
	for team := range d.Weights {
		l := make(team)
		l.team, l.class = team, share.Normal
		loads = append(loads, l)
	}
	return loads
}

func evenArrival(d Deployment) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return 1 / float64(d.Entries) }
}

// skewedArrival sends most of the load to one primary entry. It moves to the next
// entry after each interval, or stays if the interval is 0.
func skewedArrival(d Deployment, team int, interval time.Duration) func(int, time.Duration) float64 {
	return func(entry int, elapsed time.Duration) float64 {
		at := team
		if interval > 0 {
			at += int(elapsed / interval)
		}
		if entry == at%d.Entries {
			return primaryFraction
		}
		return (1 - primaryFraction) / float64(d.Entries-1)
	}
}

func shareTrials(d Deployment) []trial {
	policies := []struct {
		name string
		make func(*shareBench) sharePolicy
	}{
		{"fleet max-min by gossip", newFleetSharing(gossipInterval)},
		{"same, gossip each 100 ms", newFleetSharing(slowGossip)},
		{"local-only max-min", newLocalSharing},
		{"first come first served", newFIFOPolicy},
		{"static division", newStaticPolicy},
	}
	var trials []trial
	for _, scenario := range shareScenarios {
		for _, policy := range policies {
			trials = append(trials, trial{
				part: Share, deployment: d.Name, scenario: scenario.name, policy: policy.name,
				run: func(seed uint64) outcome {
					bench := newShareBench(d, scenario.loads(d), seed)
					return bench.run(policy.make(bench)).outcome()
				},
			})
		}
	}
	return append(trials, burstTrials(d)...)
}

func (m *shareMeasure) outcome() outcome {
	starts := float64(max(1, m.starts))
	values := []value{
		{"share error 1 s", "%", 100 * m.short.maxDeviation},
		{"share error 10 s", "%", 100 * m.long.maxDeviation},
		{"idle while work waits", "%", 100 * m.idle / float64(m.samples)},
		{"beyond slots", "%", 100 * float64(m.overloads) / starts},
		{"slot wait p99", "ms", quantile(m.waits[waitForSlot], 99)},
		{"refused", "%", 100 * float64(m.refused) / (starts + float64(m.refused))},
		{"within share wait p50", "ms", quantile(m.waits[waitWithin], 50)},
		{"within share wait p99", "ms", quantile(m.waits[waitWithin], 99)},
		{"urgent wait p99", "ms", quantile(m.waits[waitUrgent], 99)},
	}
	var slots, bound []value
	for flow := range m.used {
		name := fmt.Sprintf("flow %d", flow)
		slots = append(slots, value{name, "slots", m.used[flow] / float64(m.samples)})
		bound = append(bound, value{name, "slots", m.bound[flow] / float64(m.samples)})
	}
	return outcome{values: values, curve: m.curve, slots: slots, bound: bound}
}
