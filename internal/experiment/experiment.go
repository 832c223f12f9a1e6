// Package experiment measures the decision packages against simpler ways.
//
// It steps the same packages that an entry runs (share, route, retry) in
// virtual time over small fakes of callers and endpoints, with the sizes of
// today's deployments. Every policy runs beside its baselines on the same
// seeds. A run depends on nothing but its seed.
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

// Part is one family of policies.
type Part string

// The parts in the order in which they run.
const (
	Share Part = "share"
	Route Part = "route"
	Retry Part = "retry"
	Pools Part = "pools"
	Waves Part = "waves"
)

// Parts are all parts.
var Parts = []Part{Share, Route, Retry, Pools, Waves}

// maxConcurrentRuns leaves most of a machine to others.
const maxConcurrentRuns = 4

// Config says what to run.
type Config struct {
	Deployments []Deployment
	Parts       []Part
	Seeds       int
}

// Report is what was measured. Slots are the mean slots of each flow beside the
// max-min division; Curves hold the share curves for plots.
type Report struct {
	Rows   []Row   `json:"rows"`
	Slots  []Row   `json:"slots,omitempty"`
	Curves []Curve `json:"-"`
}

// Row is one policy in one scenario over all seeds.
type Row struct {
	Part       Part     `json:"part"`
	Deployment string   `json:"deployment"`
	Scenario   string   `json:"scenario"`
	Policy     string   `json:"policy"`
	Metrics    []Metric `json:"metrics"`
}

// Metric is a measure over the seeds: median, least and greatest.
type Metric struct {
	Name   string  `json:"name"`
	Unit   string  `json:"unit"`
	Median float64 `json:"median"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
}

// Curve is each team's use relative to its bound, by second, in the first run.
type Curve struct {
	Deployment string
	Scenario   string
	Policy     string
	Ratios     [][]float64 // by second, then by team
}

// value is one measure of one run.
type value struct {
	name string
	unit string
	got  float64
}

// outcome is one run.
type outcome struct {
	values []value
	slots  []value
	bound  []value
	curve  [][]float64
}

// trial is a policy in a scenario, to be run once for each seed.
type trial struct {
	part       Part
	deployment string
	scenario   string
	policy     string
	run        func(seed uint64) outcome
}

// Run measures all policies of the parts.
func Run(cfg Config) Report {
	var trials []trial
	for _, part := range Parts {
		if !slices.Contains(cfg.Parts, part) {
			continue
		}
		for _, d := range cfg.Deployments {
			trials = append(trials, trialsOf(part, d)...)
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

func trialsOf(part Part, d Deployment) []trial {
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
		got := make([]float64, len(runs))
		for k, run := range runs {
			got[k] = values(run)[i].got
		}
		slices.Sort(got)
		row.Metrics = append(row.Metrics, Metric{
			Name: first.name, Unit: first.unit, Median: median(got), Low: got[0], High: got[len(got)-1],
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
