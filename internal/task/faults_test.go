package task_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lovagedyke/lovagedyke/internal/table"
	"github.com/lovagedyke/lovagedyke/internal/task"
)

const steps = 130

// injectEvent makes one random event happen.
func (sim *simulation) injectEvent() {
	event := sim.choose.intN("event", 40)
	w := sim.workers[sim.choose.intN("worker", len(sim.workers))]
	switch {
	case event < 6:
		sim.submit()
	case event < 8 && len(sim.specs) > 0:
		sim.request++
		// The newest are the most likely to have a start request in flight.
		youngest := sim.specs[max(0, len(sim.specs)-4):]
		spec := youngest[sim.choose.intN("cancelled task", len(youngest))]
		sim.faults["cancel"]++
		sim.current().controller.Cancel(sim.now, sim.request, queue, spec.ID)
	case event < 14:
		sim.finishOne(w)
	case event == 14:
		sim.faults["manager race"]++
		sim.takeOver()
	case event == 15:
		m := sim.managers[sim.choose.intN("manager", len(sim.managers))]
		m.paused = !m.paused
		sim.faults["manager pause"]++
	case event == 16:
		sim.crash(w)
	case event == 17:
		w.silent = !w.silent
		sim.faults["worker pause"]++
	case event == 18:
		sim.down = !sim.down
		sim.store.SetFaults(table.Faults{Down: sim.down})
		sim.faults["table outage"]++
	case event == 19:
		sim.replace(w)
	case event == 20:
		w.failsTasks = !w.failsTasks
	case event < 25:
		sim.deliverDelayed()
	case event == 25:
		sim.faults["long wait"]++
		sim.now = sim.now.Add(40 * time.Second)
	case event == 26:
		sim.lapseLeases(w)
	case event == 27:
		sim.current().controller.Leave(sim.now, w.name, true)
	case event == 28:
		sim.faults["evacuation"]++
		sim.toggleEvacuation(w.dataCentre)
	}
	sim.now = sim.now.Add(time.Duration(sim.choose.intN("wait", 500)) * time.Millisecond)
}

// deliverDelayed delivers some of the delayed messages, in random order.
func (sim *simulation) deliverDelayed() {
	for range sim.choose.intN("late messages", 6) {
		if len(sim.delayed) == 0 {
			return
		}
		i := sim.choose.intN("which late message", len(sim.delayed))
		arrive := sim.delayed[i]
		sim.delayed = slices.Delete(sim.delayed, i, i+1)
		arrive()
	}
}

// finishOne ends the first run on the worker.
func (sim *simulation) finishOne(w *simWorker) {
	for _, id := range sortedKeys(w.starts) {
		if w.starts[id].state == task.AnswerRunning && w.alive {
			sim.finish(w, id, sim.choose.intN("run fails", 5) > 0)
			return
		}
	}
}

// lapseLeases makes all leases on the worker lapse.
func (sim *simulation) lapseLeases(w *simWorker) {
	for _, s := range w.starts {
		if s.state == task.AnswerRunning {
			sim.faults["lease lapse"]++
			s.state = task.AnswerLapsed
		}
	}
}

// crash restarts the worker's process, which loses all its runs.
func (sim *simulation) crash(w *simWorker) {
	if !w.alive || sim.noWorkerLoss {
		return
	}
	sim.faults["worker crash"]++
	w.incarnation++
	w.starts = map[string]*simStart{}
	w.silent = false
}

// replace removes the worker's host and adds one with another name.
func (sim *simulation) replace(w *simWorker) {
	if w.gone || sim.noWorkerLoss || len(sim.workers) > 12 {
		return
	}
	sim.faults["worker gone"]++
	w.alive, w.gone = false, true
	sim.workers = append(sim.workers, newSimWorker(fmt.Sprintf("worker-%02d", len(sim.workers)), len(sim.workers)))
}

// run injects random events, then clears all faults and checks the final records.
func (sim *simulation) run() {
	for range steps {
		sim.injectEvent()
		for _, m := range sim.managers {
			if sim.choose.intN("report workers", 4) == 0 && !m.paused {
				sim.reportWorkers(m)
			}
			sim.step(m)
		}
		if len(sim.violations) > 0 {
			return
		}
	}
	sim.clearFaults()
	sim.checkRecords()
}

// clearFaults ends all faults and runs the remaining tasks to their end under a new
// manager. An evacuation stays in force if other workers can run the tasks.
func (sim *simulation) clearFaults() {
	sim.down = false
	sim.store.SetFaults(table.Faults{})
	for _, w := range sim.workers {
		w.silent, w.failsTasks = false, false
	}
	for _, m := range sim.managers {
		m.paused = false
	}
	if !sim.hasOpenWorker() {
		sim.setEvacuated(nil)
	}
	sim.takeOver()
	for round := range 1500 {
		sim.now = sim.now.Add(200 * time.Millisecond)
		for _, w := range sim.workers {
			sim.finishOne(w)
		}
		for _, m := range sim.managers {
			sim.reportWorkers(m)
			sim.step(m)
		}
		for _, arrive := range sim.delayed {
			arrive()
		}
		sim.delayed = nil
		if round%10 == 0 && len(sim.current().controller.Dump().Tasks) == 0 {
			return
		}
	}
}

// records returns the records of all tasks in the table.
func (sim *simulation) records() []task.Record {
	rows, err := sim.store.Scan(context.Background(), task.Prefix(queue))
	if err != nil {
		sim.violate("scan: %v", err)
	}
	var records []task.Record
	for _, row := range rows {
		record, err := task.Decode(row)
		if err != nil {
			sim.violate("%v", err)
		}
		records = append(records, record)
	}
	return records
}

// checkRecords compares the records with what actually ran.
func (sim *simulation) checkRecords() {
	for _, record := range sim.records() {
		id := record.ID
		if !record.State.Final() {
			sim.violate("task %s is still %s: %+v", id, record.State, record)
		}
		if record.Ran == task.RanNo && sim.runs[id] > 0 {
			sim.violate("task %s is recorded as not run, but ran", id)
		}
		if record.Ran == task.RanYes && sim.runs[id] == 0 {
			sim.violate("task %s is recorded as run, but did not run", id)
		}
		if sim.noWorkerLoss && record.Reason == task.ReasonOutcomeUnknown {
			sim.violate("task %s: outcome unknown though no worker was lost", id)
		}
		if record.State == task.Done && sim.succeeded[id] == 0 {
			sim.violate("task %s is recorded as done, but no run succeeded", id)
		}
		if record.State == task.GivenUp && !record.Once && len(record.Failures) < 5 && len(sim.failedOn[id]) < 3 {
			sim.violate("task %s was given up after failing on %d workers", id, len(sim.failedOn[id]))
		}
	}
}

func sortedKeys(starts map[string]*simStart) []string {
	var keys []string
	for key := range starts {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// rapidChooser draws its first maxRapidChoices choices from rapid, and the rest
// from a seeded fallback.
type rapidChooser struct {
	t        *rapid.T
	fallback seededChooser
	choices  int
}

// maxRapidChoices bounds the choices that rapid records, to limit the test's
// duration.
const maxRapidChoices = 1500

func (d *rapidChooser) intN(label string, n int) int {
	d.choices++
	if d.choices > maxRapidChoices {
		return d.fallback.intN(label, n)
	}
	return int(anyByte.Draw(d.t, label)) % n
}

var anyByte = rapid.Uint8()

type seededChooser struct{ *rand.Rand }

func newSeededChooser(seed uint64) seededChooser {
	return seededChooser{rand.New(rand.NewPCG(seed, 1))}
}

func (s seededChooser) intN(_ string, n int) int { return s.IntN(n) }

// TestTasksRunOnce runs managers, workers and the table through random faults and
// compares the records with the runs that took place at the workers.
func TestTasksRunOnce(t *testing.T) {
	faults := map[string]int{}
	runs, finals := 0, map[task.State]int{}
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(&rapidChooser{t: t, fallback: newSeededChooser(1)}, mutantNone)
		sim.run()
		for _, violation := range sim.violations {
			t.Error(violation)
		}
		for name, count := range sim.faults {
			faults[name] += count
		}
		for _, count := range sim.runs {
			runs += count
		}
		for _, record := range sim.records() {
			finals[record.State]++
		}
	})
	t.Logf("runs %d, tasks by state %v, faults %v", runs, finals, faults)
	for _, fault := range []string{
		"message lost", "answer lost", "message late", "answer late", "manager race", "manager pause",
		"worker crash", "worker pause", "worker gone", "table outage", "cancel", "long wait", "lease lapse",
		"evacuation",
	} {
		if faults[fault] == 0 {
			t.Errorf("fault %q: got none, want some", fault)
		}
	}
	for _, state := range []task.State{task.Done, task.Failed, task.Cancelled, task.GivenUp} {
		if finals[state] == 0 {
			t.Errorf("tasks that are %s: got none, want some", state)
		}
	}
}

// TestMutants breaks one rule at a time and checks that the simulation detects a
// violation.
func TestMutants(t *testing.T) {
	// The search starts at a seed that is known to find the violation, to save time.
	tests := map[string]struct {
		mutant mutant
		seed   uint64
	}{
		"unfenced":     {mutant: mutantUnfenced},
		"elsewhere":    {mutant: mutantRestartElsewhere},
		"not read":     {mutant: mutantUnknownRefused},
		"incarnation":  {mutant: mutantNoIncarnation},
		"repeat":       {mutant: mutantRepeatable},
		"silence":      {mutant: mutantSilentIsGone, seed: 156},
		"late poll":    {mutant: mutantLatePoll, seed: 234},
		"no tombstone": {mutant: mutantNoTombstone, seed: 382},
	}
	const maxSeeds = 1000
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			mutant := tc.mutant
			for seed := tc.seed; seed < tc.seed+maxSeeds; seed++ {
				sim := newSimulation(newSeededChooser(seed), mutant)
				sim.run()
				if len(sim.violations) > 0 {
					t.Logf("%s: seed %d: %s", mutant, seed, sim.violations[0])
					return
				}
			}
			t.Errorf("%s: got no violation in %d runs, want one", mutant, maxSeeds)
		})
	}
}
