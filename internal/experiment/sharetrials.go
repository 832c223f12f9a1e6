package experiment

import (
	"fmt"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/share"
)

const (
	slowGossip   = 100 * time.Millisecond
	homeFraction = 0.7             // of a team's load meets its home entry
	moveInterval = 2 * time.Second // between changes of the home entry
)

// shareScenario makes the load of a deployment.
type shareScenario struct {
	name  string
	loads func(d Deployment) []load
}

var shareScenarios = []shareScenario{
	{"skewed arrival, 1.5 times full", func(d Deployment) []load {
		return eachTeam(d, func(team int) load {
			return load{slots: 1.5 * d.share(team), entries: home(d, team, 0)}
		})
	}},
	{"skewed arrival that moves", func(d Deployment) []load {
		return eachTeam(d, func(team int) load {
			return load{slots: 1.5 * d.share(team), entries: home(d, team, moveInterval)}
		})
	}},
	{"one large team", func(d Deployment) []load {
		return eachTeam(d, func(team int) load {
			if team == 0 {
				return load{slots: 1.5 * float64(d.slots()), entries: even(d)}
			}
			return load{slots: 0.6 * d.share(team), entries: home(d, team, 0)}
		})
	}},
	{"one team floods", func(d Deployment) []load {
		last := len(d.Weights) - 1
		return eachTeam(d, func(team int) load {
			if team == last {
				return load{slots: 10 * d.share(team), entries: even(d)}
			}
			return load{slots: 1.2 * d.share(team), entries: home(d, team, 0)}
		})
	}},
	{"classes", func(d Deployment) []load {
		loads := eachTeam(d, func(team int) load {
			return load{slots: 1.2 * d.share(team), entries: home(d, team, 0)}
		})
		urgent := load{team: 1, class: share.Urgent, slots: 0.2 * float64(d.slots()), entries: even(d)}
		batch := load{team: 0, class: share.Batch, slots: 0.5 * float64(d.slots()), entries: even(d)}
		return append(loads, urgent, batch)
	}},
	{"seven tenths full", func(d Deployment) []load {
		return eachTeam(d, func(team int) load {
			return load{slots: 0.7 * d.share(team), entries: home(d, team, 0)}
		})
	}},
}

func eachTeam(d Deployment, make func(team int) load) []load {
	var loads []load
	for team := range d.Weights {
		l := make(team)
		l.team, l.class = team, share.Normal
		loads = append(loads, l)
	}
	return loads
}

func even(d Deployment) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return 1 / float64(d.Entries) }
}

// home gives most of the load to one entry, which changes at each interval.
func home(d Deployment, team int, interval time.Duration) func(int, time.Duration) float64 {
	return func(entry int, elapsed time.Duration) float64 {
		at := team
		if interval > 0 {
			at += int(elapsed / interval)
		}
		if entry == at%d.Entries {
			return homeFraction
		}
		return (1 - homeFraction) / float64(d.Entries-1)
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
		{"first come first served", newFirstCome},
		{"static division", newStatic},
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
		{"share error 1 s", "%", 100 * m.short.largest},
		{"share error 10 s", "%", 100 * m.long.largest},
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
