// Package experiment compares the scheduling, routing, retry, pool and wave
// policies with simpler baselines by simulation.
//
// It runs the production packages share, route, retry, pool and wave in virtual
// time against simulated callers, endpoints and hosts, with the sizes of the
// deployed fleets. Each policy and its baselines run with the same seeds. The result
// of a run depends only on its seed.
//
// # Usage
//
//	report := experiment.Run(experiment.Config{
//		Deployments: experiment.Deployments,
//		Seeds:       5,
//		Parts:       []experiment.Part{experiment.Share},
//	})
//	report.WriteTable(os.Stdout)
package experiment

import (
	"math"
	"slices"

	"github.com/sourcegraph/conc/iter"
)

// Part is a group of policies that are compared with each other.
type Part string

// The parts in the order in which they run.
const (
	Share Part = "share"
	Route Part = "route"
	Retry Part = "retry"
	Pools Part = "pools"
	Waves Part = "waves"
)

// Parts lists all parts.
var Parts = []Part{Share, Route, Retry, Pools, Waves}

// maxConcurrentRuns leaves most of the computer's CPUs to other processes.
const maxConcurrentRuns = 4

// Config selects the deployments, parts and number of seeds.
type Config struct {
	Deployments []Deployment
	Parts       []Part
	Seeds       int
}

// Report holds the results. Slots holds each flow's mean slots in use and its
// max-min allocation, and Curves the data of the share plots.
type Report struct {
	Rows   []Row   `json:"rows"`
	Slots  []Row   `json:"slots,omitempty"`
	Curves []Curve `json:"-"`
}

// Row holds the metrics of one policy in one scenario over all seeds.
type Row struct {
	Part       Part     `json:"part"`
	Deployment string   `json:"deployment"`
	Scenario   string   `json:"scenario"`
	Policy     string   `json:"policy"`
	Metrics    []Metric `json:"metrics"`
}

// Metric is the median, minimum and maximum of a measure over the seeds.
type Metric struct {
	Name   string  `json:"name"`
	Unit   string  `json:"unit"`
	Median float64 `json:"median"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
}

// Curve holds each flow's slots in use relative to its max-min allocation, second
// by second, in the first seed's run.
type Curve struct {
	Deployment string
	Scenario   string
	Policy     string
	Ratios     [][]float64 // by second, then by flow
}

// value is one measurement of one run.
type value struct {
	name   string
	unit   string
	amount float64
}

// outcome holds the measurements of one run.
type outcome struct {
	values []value
	slots  []value
	bound  []value
	curve  [][]float64
}

// trial runs a policy in a scenario; it runs once for each seed.
type trial struct {
	part       Part
	deployment string
	scenario   string
	policy     string
	run        func(seed uint64) outcome
}

// Run measures all policies of the configured parts in each deployment.
func Run(cfg Config) Report {
	var trials []trial
	for _, part := range Parts {
		if !slices.Contains(cfg.Parts, part) {
			continue
		}
		for _, d := range cfg.Deployments {
			trials = append(trials, trialsFor(part, d)...)
		}
	}
	type job struct {
		trial int
		seed  uint64
	}
	var jobs []job
	for i := range trials {
		for seed := range cfg.Seeds {
			jobs = append(jobs, job{trial: i, seed: uint64(seed + 1)})
		}
	}
	mapper := iter.Mapper[job, outcome]{MaxGoroutines: maxConcurrentRuns}
	outcomes := mapper.Map(jobs, func(j *job) outcome {
		return trials[j.trial].run(j.seed)
	})
	var report Report
	for i, t := range trials {
		report.add(t, outcomes[i*cfg.Seeds:(i+1)*cfg.Seeds])
	}
	return report
}

func trialsFor(part Part, d Deployment) []trial {
	switch part {
	case Share:
		return shareTrials(d)
	case Route:
		return routeTrials(d)
	case Retry:
		return retryTrials(d)
	case Pools:
		return poolTrials(d)
	case Waves:
		return waveTrials(d)
	}
	return nil
}

func (r *Report) add(t trial, runs []outcome) {
	if len(runs) == 0 {
		return
	}
	r.Rows = append(r.Rows, t.row(runs, func(o outcome) []value { return o.values }))
	if runs[0].curve == nil {
		return
	}
	r.Curves = append(r.Curves, Curve{
		Deployment: t.deployment, Scenario: t.scenario, Policy: t.policy, Ratios: runs[0].curve,
	})
	if last := len(r.Slots) - 1; last < 0 || r.Slots[last].Scenario != t.scenario {
		bound := t.row(runs, func(o outcome) []value { return o.bound })
		bound.Policy = "bound: max-min division"
		r.Slots = append(r.Slots, bound)
	}
	r.Slots = append(r.Slots, t.row(runs, func(o outcome) []value { return o.slots }))
}

func (t trial) row(runs []outcome, values func(outcome) []value) Row {
	row := Row{Part: t.part, Deployment: t.deployment, Scenario: t.scenario, Policy: t.policy}
	for i, first := range values(runs[0]) {
		amounts := make([]float64, len(runs))
		for k, run := range runs {
			amounts[k] = values(run)[i].amount
		}
		slices.Sort(amounts)
		row.Metrics = append(row.Metrics, Metric{
			Name: first.name, Unit: first.unit, Median: median(amounts), Low: amounts[0], High: amounts[len(amounts)-1],
		})
	}
	return row
}

func median(sorted []float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}
