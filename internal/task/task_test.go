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

// disturb makes one random event happen.
func (w *world) disturb() {
	event := w.choose.intN("event", 40)
	n := w.nodes[w.choose.intN("node", len(w.nodes))]
	switch {
	case event < 6:
		w.submit()
	case event < 8 && len(w.specs) > 0:
		w.request++
		// The youngest are the most likely to have a start under way.
		youngest := w.specs[max(0, len(w.specs)-4):]
		spec := youngest[w.choose.intN("cancelled task", len(youngest))]
		w.faults["cancel"]++
		w.current().controller.Cancel(w.now, w.request, queue, spec.ID)
	case event < 14:
		w.finishOne(n)
	case event == 14:
		w.faults["manager race"]++
		w.takeOver()
	case event == 15:
		m := w.managers[w.choose.intN("manager", len(w.managers))]
		m.paused = !m.paused
		w.faults["manager pause"]++
	case event == 16:
		w.crash(n)
	case event == 17:
		n.silent = !n.silent
		w.faults["worker pause"]++
	case event == 18:
		w.down = !w.down
		w.store.SetFaults(table.Faults{Down: w.down})
		w.faults["table outage"]++
	case event == 19:
		w.replace(n)
	case event == 20:
		n.bad = !n.bad
	case event < 25:
		w.deliverLate()
	case event == 25:
		w.faults["long wait"]++
		w.now = w.now.Add(40 * time.Second)
	case event == 26:
		w.lapse(n)
	case event == 27:
		w.current().controller.Leave(w.now, n.name, true)
	}
	w.now = w.now.Add(time.Duration(w.choose.intN("wait", 500)) * time.Millisecond)
}

// deliverLate lets some of the late messages arrive, in any order.
func (w *world) deliverLate() {
	for range w.choose.intN("late messages", 6) {
		if len(w.late) == 0 {
			return
		}
		i := w.choose.intN("which late message", len(w.late))
		arrive := w.late[i]
		w.late = slices.Delete(w.late, i, i+1)
		arrive()
	}
}

// finishOne ends the first run on the node.
func (w *world) finishOne(n *node) {
	for _, id := range sortedKeys(n.starts) {
		if n.starts[id].state == task.AnswerRunning && n.alive {
			w.finish(n, id, w.choose.intN("run fails", 5) > 0)
			return
		}
	}
}

// lapse lets the leases on the node lapse.
func (w *world) lapse(n *node) {
	for _, s := range n.starts {
		if s.state == task.AnswerRunning {
			w.faults["lease lapse"]++
			s.state = task.AnswerLapsed
		}
	}
}

// crash restarts the worker's process, which ends all that ran there.
func (w *world) crash(n *node) {
	if !n.alive || w.steady {
		return
	}
	w.faults["worker crash"]++
	n.incarnation++
	n.starts = map[string]*start{}
	n.silent = false
}

// replace takes the host away and brings one of another name.
func (w *world) replace(n *node) {
	if n.gone || w.steady || len(w.nodes) > 12 {
		return
	}
	w.faults["worker gone"]++
	n.alive, n.gone = false, true
	w.nodes = append(w.nodes, &node{
		name: fmt.Sprintf("worker-%02d", len(w.nodes)), alive: true, starts: map[string]*start{},
	})
}

// run makes random events happen, then heals everything and checks what is left.
func (w *world) run() {
	for range steps {
		w.disturb()
		for _, m := range w.managers {
			if w.choose.intN("told", 4) == 0 && !m.paused {
				w.tellWorkers(m)
			}
			w.step(m)
		}
		if len(w.broken) > 0 {
			return
		}
	}
	w.heal()
	w.checkRecords()
}

// heal ends all faults and lets the work run out under a last manager.
func (w *world) heal() {
	w.down = false
	w.store.SetFaults(table.Faults{})
	for _, n := range w.nodes {
		n.silent, n.bad = false, false
	}
	for _, m := range w.managers {
		m.paused = false
	}
	w.takeOver()
	for round := range 1500 {
		w.now = w.now.Add(200 * time.Millisecond)
		for _, n := range w.nodes {
			w.finishOne(n)
		}
		for _, m := range w.managers {
			w.tellWorkers(m)
			w.step(m)
		}
		for _, arrive := range w.late {
			arrive()
		}
		w.late = nil
		if round%10 == 0 && len(w.current().controller.Dump().Tasks) == 0 {
			return
		}
	}
}

// records returns the tasks' rows.
func (w *world) records() []task.Record {
	rows, err := w.store.Scan(context.Background(), task.Prefix(queue))
	if err != nil {
		w.violate("scan: %v", err)
	}
	var records []task.Record
	for _, row := range rows {
		record, err := task.Decode(row)
		if err != nil {
			w.violate("%v", err)
		}
		records = append(records, record)
	}
	return records
}

// checkRecords compares what the rows say with what took place.
func (w *world) checkRecords() {
	for _, record := range w.records() {
		id := record.ID
		if !record.State.Final() {
			w.violate("task %s is still %s: %+v", id, record.State, record)
		}
		if record.Ran == task.RanNo && w.runs[id] > 0 {
			w.violate("task %s is said not to have run, and ran", id)
		}
		if record.Ran == task.RanYes && w.runs[id] == 0 {
			w.violate("task %s is said to have run, and did not", id)
		}
		if w.steady && record.Reason == task.ReasonOutcomeUnknown {
			w.violate("task %s: outcome unknown though no worker was lost", id)
		}
		if record.State == task.Done && w.good[id] == 0 {
			w.violate("task %s is said to be done, and is not", id)
		}
		if record.State == task.GivenUp && !record.Once && len(record.Failures) < 5 && len(w.failedOn[id]) < 3 {
			w.violate("task %s was given up after failing on %d workers", id, len(w.failedOn[id]))
		}
	}
}

func sortedKeys(starts map[string]*start) []string {
	var keys []string
	for key := range starts {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// drawn takes the choices from rapid until all faults are over, seeded takes
// them from a seed.
type drawn struct {
	t     *rapid.T
	after seeded
	drawn int
}

// maxDrawn bounds the choices that rapid records, for the sake of time.
const maxDrawn = 1500

func (d *drawn) intN(label string, n int) int {
	d.drawn++
	if d.drawn > maxDrawn {
		return d.after.intN(label, n)
	}
	return int(choice.Draw(d.t, label)) % n
}

var choice = rapid.Uint8()

type seeded struct{ *rand.Rand }

func newSeeded(seed uint64) seeded { return seeded{rand.New(rand.NewPCG(seed, 1))} }

func (s seeded) intN(_ string, n int) int { return s.IntN(n) }

// TestTasksRunOnce drives managers, workers and the table through faults, and
// judges by the runs that took place at the workers.
func TestTasksRunOnce(t *testing.T) {
	faults := map[string]int{}
	runs, finals := 0, map[task.State]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(&drawn{t: t, after: newSeeded(1)}, mutantNone)
		w.run()
		for _, violation := range w.broken {
			t.Error(violation)
		}
		for name, count := range w.faults {
			faults[name] += count
		}
		for _, count := range w.runs {
			runs += count
		}
		for _, record := range w.records() {
			finals[record.State]++
		}
	})
	t.Logf("runs %d, tasks by state %v, faults %v", runs, finals, faults)
	for _, fault := range []string{
		"message lost", "answer lost", "message late", "answer late", "manager race", "manager pause",
		"worker crash", "worker pause", "worker gone", "table outage", "cancel", "long wait", "lease lapse",
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

// TestMutants breaks one rule at a time and wants the oracle to notice.
func TestMutants(t *testing.T) {
	// The search begins at a seed that found the violation before, for speed.
	tests := map[string]struct {
		broken mutant
		seed   uint64
	}{
		"unfenced":     {broken: mutantUnfenced},
		"elsewhere":    {broken: mutantElsewhere},
		"not read":     {broken: mutantNotRead},
		"incarnation":  {broken: mutantIncarnation},
		"repeat":       {broken: mutantRepeat},
		"silence":      {broken: mutantSilence, seed: 87},
		"late poll":    {broken: mutantLatePoll},
		"no tombstone": {broken: mutantNoTombstone, seed: 382},
	}
	const maxSeeds = 1000
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			broken := tc.broken
			for seed := tc.seed; seed < tc.seed+maxSeeds; seed++ {
				w := newWorld(newSeeded(seed), broken)
				w.run()
				if len(w.broken) > 0 {
					t.Logf("%s: seed %d: %s", broken, seed, w.broken[0])
					return
				}
			}
			t.Errorf("%s: got no violation in %d runs, want one", broken, maxSeeds)
		})
	}
}
