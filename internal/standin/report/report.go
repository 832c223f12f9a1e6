// Package report checks the consistency of an end-to-end test: it compares the runs
// that endpoints and workers recorded with the responses that callers got and with
// the charges in the table.
//
// # Usage
//
//	checks := report.Check(report.Evidence{Endpoints: stats, Loads: loads, Limits: limits})
//	ok := report.Print(os.Stdout, checks)
package report

import (
	"fmt"
	"io"
	"slices"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/standin/endpoint"
	"github.com/lovagedyke/lovagedyke/internal/standin/load"
)

// maxWithdrawalDelay is how long an API key may still be accepted after its
// withdrawal.
const maxWithdrawalDelay = 5 * time.Second

// Evidence holds the data that was collected from the processes around the system.
type Evidence struct {
	Endpoints []endpoint.Stats
	// Tasks are the runs that the workers recorded, and RunsPerTask the number of
	// runs of each task.
	Tasks       []Interval
	RunsPerTask map[string]int
	// TasksDone are the run ids of the tasks that workers completed.
	TasksDone []string
	// Loads are the load generator's reports by name.
	Loads map[string]load.Report
	// Limits are the upper limits of the teams.
	Limits map[string]int
	// WithdrawnAt is the time at which the withdrawal of an API key was accepted, or
	// zero. WithdrawnLoad is the name of the load that used the key.
	WithdrawnAt   time.Time
	WithdrawnLoad string
	// Charged and Unproven are the run ids of the charges, and of the unproven runs,
	// in the table.
	Charged  []string
	Unproven []string
}

// Interval is the time interval of a run.
type Interval struct {
	Team       string
	Start, End time.Time
}

// Result is the result of one check.
type Result struct {
	Name string
	Got  string
	Want string
	OK   bool
}

// Check returns the results of all checks that apply to the evidence.
func Check(e Evidence) []Result {
	results := []Result{e.checkServed(), e.checkAnswers(), e.checkIdempotencyKeys(), e.checkRefusals(), e.checkTaskRuns()}
	for _, team := range sortedKeys(e.Limits) {
		results = append(results, e.checkLimit(team))
	}
	if !e.WithdrawnAt.IsZero() {
		results = append(results, e.checkWithdrawal())
	}
	return append(results, e.checkCharges(), e.checkUncharged())
}

// Print writes the results as a table and reports whether all checks passed.
func Print(w io.Writer, results []Result) (ok bool) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CHECK\tGOT\tWANT\t")
	ok = true
	for _, r := range results {
		status := "ok"
		if !r.OK {
			status = "FAILED"
			ok = false
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", r.Name, r.Got, r.Want, status)
	}
	// Errors of the underlying writer are left to the caller, who owns it.
	_ = table.Flush()
	return ok
}

// checkServed checks that some requests succeeded.
func (e Evidence) checkServed() Result {
	sent, ok := 0, 0
	for _, l := range e.Loads {
		sent += l.Sent
		ok += l.OK
	}
	return Result{"requests served", fmt.Sprintf("%d of %d", ok, sent), "some", ok > 0}
}

// checkAnswers checks that no response was incomplete, missing, or that of another
// request.
func (e Evidence) checkAnswers() Result {
	wrong, cut, failed := 0, 0, 0
	for _, l := range e.Loads {
		wrong += l.Wrong
		cut += l.Cut
		failed += l.Errors
	}
	got := fmt.Sprintf("%d wrong, %d cut, %d without an answer", wrong, cut, failed)
	return Result{"wrong or cut answers", got, "0", wrong+cut+failed == 0}
}

// checkIdempotencyKeys checks that no request with an idempotency key ran more than
// once.
func (e Evidence) checkIdempotencyKeys() Result {
	runs := e.runsByKey()
	twice := 0
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	return Result{"marked requests run twice", fmt.Sprintf("%d of %d", twice, len(runs)), "0", twice == 0}
}

// checkRefusals checks that no request ran although every response said that it did
// not.
func (e Evidence) checkRefusals() Result {
	runs := e.runsByKey()
	refused, falseRefusals := 0, 0
	for _, l := range e.Loads {
		for _, key := range l.RefusedKeys {
			refused++
			if runs[key] > 0 {
				falseRefusals++
			}
		}
	}
	return Result{"untrue \"not run\"", fmt.Sprintf("%d of %d refused", falseRefusals, refused), "0", falseRefusals == 0}
}

// checkTaskRuns checks that no task ran more than once.
func (e Evidence) checkTaskRuns() Result {
	twice := 0
	for _, n := range e.RunsPerTask {
		if n > 1 {
			twice++
		}
	}
	return Result{"tasks run twice", fmt.Sprintf("%d of %d", twice, len(e.RunsPerTask)), "0", twice == 0}
}

// runsByKey returns the number of runs of each idempotency key at all endpoints.
func (e Evidence) runsByKey() map[string]int {
	runs := make(map[string]int)
	for _, stats := range e.Endpoints {
		for _, key := range stats.KeyRuns {
			runs[key.Key] += key.Runs
		}
	}
	return runs
}

// checkLimit checks that a team's concurrent runs never exceeded its limit.
func (e Evidence) checkLimit(team string) Result {
	peak := maxConcurrent(e.intervals(team))
	limit := e.Limits[team]
	return Result{
		"greatest running, team " + team, fmt.Sprint(peak),
		fmt.Sprintf("at most %d", limit), peak <= limit,
	}
}

// intervals returns the intervals of a team's runs at endpoints and workers.
func (e Evidence) intervals(team string) []Interval {
	var intervals []Interval
	for _, stats := range e.Endpoints {
		for _, run := range stats.Runs {
			if run.Team == team {
				intervals = append(intervals, Interval{Team: team, Start: run.Start, End: run.End})
			}
		}
	}
	for _, task := range e.Tasks {
		if task.Team == team {
			intervals = append(intervals, task)
		}
	}
	return intervals
}

// maxConcurrent returns the largest number of intervals that overlap at any time.
func maxConcurrent(intervals []Interval) int {
	type edge struct {
		at    time.Time
		delta int
	}
	edges := make([]edge, 0, 2*len(intervals))
	for _, interval := range intervals {
		edges = append(edges, edge{interval.Start, 1}, edge{interval.End, -1})
	}
	sort.Slice(edges, func(i, j int) bool {
		if edges[i].at.Equal(edges[j].at) {
			return edges[i].delta < edges[j].delta
		}
		return edges[i].at.Before(edges[j].at)
	})
	running, peak := 0, 0
	for _, edge := range edges {
		running += edge.delta
		peak = max(peak, running)
	}
	return peak
}

// checkWithdrawal checks that a withdrawn key was not accepted for longer than
// maxWithdrawalDelay.
func (e Evidence) checkWithdrawal() Result {
	last := e.Loads[e.WithdrawnLoad].LastOK
	took := max(0, last.Sub(e.WithdrawnAt))
	return Result{
		"withdrawn key stopped after", took.Round(time.Millisecond).String(),
		"at most " + maxWithdrawalDelay.String(), took <= maxWithdrawalDelay && !last.IsZero(),
	}
}

// checkCharges checks that each charge has a run, and each run at most one charge.
func (e Evidence) checkCharges() Result {
	ran := e.runIDs()
	withoutRun := 0
	for _, id := range e.Charged {
		if !ran[id] {
			withoutRun++
		}
	}
	distinct := slices.Compact(slices.Sorted(slices.Values(e.Charged)))
	got := fmt.Sprintf("%d of %d, %d twice", withoutRun, len(e.Charged), len(e.Charged)-len(distinct))
	return Result{"charges without a run", got, "0", withoutRun == 0 && len(distinct) == len(e.Charged)}
}

// checkUncharged checks that each run is either charged or listed as unproven.
func (e Evidence) checkUncharged() Result {
	known := make(map[string]bool)
	for _, id := range slices.Concat(e.Charged, e.Unproven) {
		known[id] = true
	}
	ran := e.runIDs()
	missing := 0
	for id := range ran {
		if !known[id] {
			missing++
		}
	}
	got := fmt.Sprintf("%d of %d, %d unproven", missing, len(ran), len(e.Unproven))
	return Result{"runs without a charge", got, "0", missing == 0}
}

// runIDs returns the ids of the runs that endpoints and workers completed.
func (e Evidence) runIDs() map[string]bool {
	ran := make(map[string]bool)
	for _, stats := range e.Endpoints {
		for _, run := range stats.Runs {
			ran[run.ID] = true
		}
	}
	for _, id := range e.TasksDone {
		ran[id] = true
	}
	return ran
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
