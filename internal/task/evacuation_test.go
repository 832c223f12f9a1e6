package task_test

import (
	"slices"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/place"
	"github.com/lovagedyke/lovagedyke/internal/task"
)

// dataCentres is the number of the simulation's data centres.
const dataCentres = 2

// setEvacuated replaces the evacuated data centres at all managers.
func (sim *simulation) setEvacuated(evacuated []string) {
	sim.evacuated = evacuated
	for _, m := range sim.managers {
		m.controller.SetEvacuated(sim.now, evacuated)
		m.evacuatedAt = sim.now
	}
}

// toggleEvacuation evacuates the data centre or withdraws its evacuation.
func (sim *simulation) toggleEvacuation(dataCentre string) {
	if at := slices.Index(sim.evacuated, dataCentre); at >= 0 {
		sim.setEvacuated(slices.Delete(slices.Clone(sim.evacuated), at, at+1))
		return
	}
	sim.setEvacuated(append(slices.Clone(sim.evacuated), dataCentre))
}

// isEvacuated reports whether no task may start on the worker.
func (sim *simulation) isEvacuated(worker string) bool {
	w := sim.worker(worker)
	return w != nil && slices.Contains(sim.evacuated, w.dataCentre)
}

// hasOpenWorker reports whether a worker outside the evacuated data centres is left.
func (sim *simulation) hasOpenWorker() bool {
	return slices.ContainsFunc(sim.workers, func(w *simWorker) bool { return w.alive && !sim.isEvacuated(w.name) })
}

// checkStarts records a violation for each start that a manager issues on a worker
// that it knows to be evacuated. Those issued before the evacuation may be returned
// by the first step after it.
func (sim *simulation) checkStarts(m *manager, actions []task.Action) {
	known := m.evacuatedAt
	m.evacuatedAt = time.Time{}
	for _, action := range actions {
		call, ok := action.(task.Call)
		if ok && call.Order == task.OrderStart && sim.isEvacuated(call.Worker) && known.IsZero() {
			sim.violate("start %s is issued on evacuated worker %s", call.StartID, call.Worker)
		}
	}
}

// workerOf returns the worker that the task is on, or "".
func (sim *simulation) workerOf(t *testing.T, id string) string {
	t.Helper()
	record, ok := sim.current().controller.Task(queue, id)
	if !ok {
		t.Fatalf("task %s: got none, want one", id)
	}
	if record.Attempt == nil {
		return ""
	}
	return record.Attempt.Worker
}

// Guards against a task that starts in a data centre after its evacuation, also
// when it was placed or its start was sent before, and against one that is cut,
// waits for the evacuation although another worker is free, or is lost.
func TestEvacuation(t *testing.T) {
	all := []string{"dc-0", "dc-1"}
	tests := map[string]struct {
		once bool
		// lost is set if the start request is lost.
		lost bool
		// takeOver is set if another manager takes the shard over.
		takeOver bool
		// after holds the data centres that are evacuated after the task was
		// submitted; the task's own one is "own".
		after     []string
		wantRuns  int
		wantMoved bool
	}{
		"running":                                  {after: []string{"own"}, wantRuns: 1},
		"running, new manager":                     {after: []string{"own"}, takeOver: true, wantRuns: 1},
		"running, all evacuated":                   {after: all, wantRuns: 1},
		"start lost":                               {lost: true, after: []string{"own"}, wantRuns: 1, wantMoved: true},
		"start lost, new manager":                  {lost: true, after: []string{"own"}, takeOver: true, wantRuns: 1, wantMoved: true},
		"start lost, not repeatable":               {once: true, lost: true, after: []string{"own"}},
		"start lost, not repeatable, new manager":  {once: true, lost: true, after: []string{"own"}, takeOver: true, wantRuns: 1, wantMoved: true},
		"start lost, another data centre":          {lost: true, after: []string{"other"}, wantRuns: 1},
		"start lost, all evacuated":                {lost: true, after: all},
		"start lost, all evacuated, new manager":   {lost: true, after: all, takeOver: true},
		"start lost, evacuation ends, not moved":   {lost: true, wantRuns: 1},
		"not repeatable, running, all evacuated":   {once: true, after: all, wantRuns: 1},
		"not repeatable, running, another manager": {once: true, after: []string{"own"}, takeOver: true, wantRuns: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(noFaults{}, mutantNone)
			lone := spec("a", place.Normal, 1)
			lone.Once = tc.once
			for _, w := range sim.workers {
				w.losesStarts = tc.lost
			}
			sim.submitSpec(lone)
			sim.runSteps(10*time.Millisecond, 20)
			before := sim.workerOf(t, "a")
			own := sim.worker(before).dataCentre
			sim.setEvacuated(named(tc.after, own))
			for _, w := range sim.workers {
				w.losesStarts = false
			}
			if tc.takeOver {
				sim.takeOver()
			}
			sim.runSteps(100*time.Millisecond, 100)
			if got, want := sim.runs["a"], tc.wantRuns; got != want {
				t.Errorf("runs: got %d, want %d", got, want)
			}
			after := sim.workerOf(t, "a")
			if got, want := after != "" && after != before, tc.wantMoved; got != want {
				t.Errorf("worker: got %q after %q, want moved %v", after, before, want)
			}
			if len(sim.violations) > 0 {
				t.Errorf("got %q, want no violation", sim.violations)
			}
			sim.setEvacuated(nil)
			sim.runSteps(100*time.Millisecond, 50)
			if got, want := sim.runs["a"], 1; got != want {
				t.Errorf("runs after the evacuation: got %d, want %d", got, want)
			}
		})
	}
}

// named replaces "own" and "other" by the names of the data centres.
func named(dataCentres []string, own string) []string {
	other := map[string]string{"dc-0": "dc-1", "dc-1": "dc-0"}[own]
	var names []string
	for _, name := range dataCentres {
		switch name {
		case "own":
			name = own
		case "other":
			name = other
		}
		names = append(names, name)
	}
	return names
}

// Guards against a submission that is accepted, and held without an end that
// anybody knows, although only an evacuated data centre could run it.
func TestSubmitDuringEvacuation(t *testing.T) {
	tests := map[string]struct {
		evacuated  []string
		takeOver   bool
		cpus       float64
		want       task.Outcome
		wantReason string
	}{
		"one evacuated":               {evacuated: []string{"dc-0"}, cpus: 1, want: task.Accepted},
		"all evacuated":               {evacuated: []string{"dc-0", "dc-1"}, cpus: 1, want: task.Refused, wantReason: task.ReasonEvacuated},
		"all evacuated, new manager":  {evacuated: []string{"dc-0", "dc-1"}, takeOver: true, cpus: 1, want: task.Refused, wantReason: task.ReasonEvacuated},
		"fits no worker at all":       {evacuated: []string{"dc-0", "dc-1"}, cpus: 5, want: task.Refused, wantReason: task.ReasonFitsNoWorker},
		"withdrawn":                   {cpus: 1, want: task.Accepted},
		"unknown data centre is none": {evacuated: []string{"dc-7"}, cpus: 1, want: task.Accepted},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(noFaults{}, mutantNone)
			sim.setEvacuated([]string{"dc-0", "dc-1"})
			sim.setEvacuated(tc.evacuated)
			if tc.takeOver {
				sim.takeOver()
			}
			replies := sim.submitSpec(spec("a", place.Normal, tc.cpus))
			if len(replies) != 1 || replies[0].Outcome != tc.want || replies[0].Reason != tc.wantReason {
				t.Fatalf("got %+v, want one that is %s, %q", replies, tc.want, tc.wantReason)
			}
			if got, want := replies[0].RetryAfter > 0, tc.wantReason == task.ReasonEvacuated; got != want {
				t.Errorf("retry after: got %s, want some %v", replies[0].RetryAfter, want)
			}
		})
	}
}
