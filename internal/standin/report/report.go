// Package report compares what endpoints and workers saw with what callers
// were told and what was charged.
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

// maxWithdrawal is how long a withdrawn key may go on working.
const maxWithdrawal = 5 * time.Second

// Evidence is what was collected from the outside of the system.
type Evidence struct {
	Endpoints []endpoint.Stats
	// Tasks are the runs that the workers saw, and RunsPerTask their number.
	Tasks       []Interval
	RunsPerTask map[string]int
	// TasksDone are the run ids of the tasks that workers completed.
	TasksDone []string
	// Loads are the load tool's reports by name.
	Loads map[string]load.Report
	// Limits are the teams' upper limits.
	Limits map[string]int
	// WithdrawnAt is when the withdrawal of the key of load Withdrawn was
	// accepted; zero when none was.
	WithdrawnAt   time.Time
	WithdrawnLoad string
	// Charged and Unproven are the run ids in the table.
	Charged  []string
	Unproven []string
}

// Interval is the time that a run took.
type Interval struct {
	Team       string
	Start, End time.Time
}

// Verdict is one line of the report.
type Result struct {
	Name string
	Got  string
	Want string
	OK   bool
}

// Check judges the evidence.
func Check(e Evidence) []Result {
	verdicts := []Result{e.served(), e.whole(), e.markedOnce(), e.refusals(), e.taskRuns()}
	for _, team := range sortedKeys(e.Limits) {
		verdicts = append(verdicts, e.limit(team))
	}
	if !e.WithdrawnAt.IsZero() {
		verdicts = append(verdicts, e.withdrawal())
	}
	return append(verdicts, e.charges(), e.uncharged())
}

// Print writes a table and reports whether all verdicts are good.
func Print(w io.Writer, verdicts []Result) (ok bool) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CHECK\tGOT\tWANT\t")
	ok = true
	for _, v := range verdicts {
		mark := "ok"
		if !v.OK {
			mark = "FAILED"
			ok = false
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", v.Name, v.Got, v.Want, mark)
	}
	// The writer below is the caller's; its errors are the caller's to see.
	_ = table.Flush()
	return ok
}

// served counts the good answers.
func (e Evidence) served() Result {
	sent, ok := 0, 0
	for _, l := range e.Loads {
		sent += l.Sent
		ok += l.OK
	}
	return Result{"requests served", fmt.Sprintf("%d of %d", ok, sent), "some", ok > 0}
}

// whole counts answers that were not the caller's own, or not whole.
func (e Evidence) whole() Result {
	wrong, cut, failed := 0, 0, 0
	for _, l := range e.Loads {
		wrong += l.Wrong
		cut += l.Cut
		failed += l.Errors
	}
	got := fmt.Sprintf("%d wrong, %d cut, %d without an answer", wrong, cut, failed)
	return Result{"wrong or cut answers", got, "0", wrong+cut+failed == 0}
}

// markedOnce looks for marked requests that ran more than once.
func (e Evidence) markedOnce() Result {
	runs := e.runsByKey()
	twice := 0
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	return Result{"marked requests run twice", fmt.Sprintf("%d of %d", twice, len(runs)), "0", twice == 0}
}

// refusals looks for requests that ran although every answer said that they did not.
func (e Evidence) refusals() Result {
	runs := e.runsByKey()
	refused, untrue := 0, 0
	for _, l := range e.Loads {
		for _, key := range l.RefusedKeys {
			refused++
			if runs[key] > 0 {
				untrue++
			}
		}
	}
	return Result{"untrue \"not run\"", fmt.Sprintf("%d of %d refused", untrue, refused), "0", untrue == 0}
}

// taskRuns looks for tasks that ran more than once.
func (e Evidence) taskRuns() Result {
	twice := 0
	for _, n := range e.RunsPerTask {
		if n > 1 {
			twice++
		}
	}
	return Result{"tasks run twice", fmt.Sprintf("%d of %d", twice, len(e.RunsPerTask)), "0", twice == 0}
}

// runsByKey counts the runs of each idempotency key over all endpoints.
func (e Evidence) runsByKey() map[string]int {
	runs := make(map[string]int)
	for _, stats := range e.Endpoints {
		for _, key := range stats.KeyRuns {
			runs[key.Key] += key.Runs
		}
	}
	return runs
}

// limit compares the greatest number of a team's runs at one time with its limit.
func (e Evidence) limit(team string) Result {
	greatest := greatestAtOnce(e.intervals(team))
	limit := e.Limits[team]
	return Result{
		"greatest running, team " + team, fmt.Sprint(greatest),
		fmt.Sprintf("at most %d", limit), greatest <= limit,
	}
}

// intervals returns the runs of a team at endpoints and workers.
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

// greatestAtOnce returns the largest number of intervals that overlap.
func greatestAtOnce(intervals []Interval) int {
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
	running, greatest := 0, 0
	for _, edge := range edges {
		running += edge.delta
		greatest = max(greatest, running)
	}
	return greatest
}

// withdrawal measures how long a withdrawn key went on working.
func (e Evidence) withdrawal() Result {
	last := e.Loads[e.WithdrawnLoad].LastOK
	took := max(0, last.Sub(e.WithdrawnAt))
	return Result{
		"withdrawn key stopped after", took.Round(time.Millisecond).String(),
		"at most " + maxWithdrawal.String(), took <= maxWithdrawal && !last.IsZero(),
	}
}

// charges looks for charges without a run.
func (e Evidence) charges() Result {
	ran := e.runIDs()
	unfounded := 0
	for _, id := range e.Charged {
		if !ran[id] {
			unfounded++
		}
	}
	distinct := slices.Compact(slices.Sorted(slices.Values(e.Charged)))
	got := fmt.Sprintf("%d of %d, %d twice", unfounded, len(e.Charged), len(e.Charged)-len(distinct))
	return Result{"charges without a run", got, "0", unfounded == 0 && len(distinct) == len(e.Charged)}
}

// uncharged looks for runs that are neither charged nor listed as unproven.
func (e Evidence) uncharged() Result {
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

// runIDs returns the runs that endpoints and workers completed.
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

// sortedKeys returns the keys in order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
