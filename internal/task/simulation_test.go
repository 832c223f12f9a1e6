package task_test

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/place"
	"github.com/lovagedyke/lovagedyke/internal/table"
	"github.com/lovagedyke/lovagedyke/internal/task"
)

const (
	fenceKey  = "fence/pool-a"
	queue     = "plans"
	teamLimit = 3
)

// mutant names a rule that the simulation breaks on purpose, to check that it
// detects the violation.
type mutant string

const (
	mutantNone             mutant = ""
	mutantUnfenced         mutant = "rows are written without conditions"
	mutantRestartElsewhere mutant = "a start without an answer goes elsewhere"
	mutantUnknownRefused   mutant = "a lost answer of the table counts as a refusal"
	mutantNoIncarnation    mutant = "starts do not name the worker's process"
	mutantRepeatable       mutant = "tasks are not marked as not to be repeated"
	mutantSilentIsGone     mutant = "a silent worker counts as gone"
	mutantLatePoll         mutant = "an old poll proves that a start is forgotten"
	mutantNoTombstone      mutant = "a stop of an unknown start is forgotten"
)

// chooser makes the simulation's random choices. Labels describe them in the
// output of a failed run.
type chooser interface {
	intN(label string, n int) int
}

// manager is a controller with its actions that are not executed yet.
type manager struct {
	controller *task.Controller
	epoch      uint64
	fence      uint64
	actions    []task.Action
	paused     bool
	// evacuatedAt is when the evacuations changed, until the next step.
	evacuatedAt time.Time
}

// simulation runs managers against simulated workers and a table, and records
// which tasks actually ran and which were refused.
type simulation struct {
	choose   chooser
	mutant   mutant
	now      time.Time
	store    *table.Memory
	down     bool
	workers  []*simWorker
	managers []*manager
	epoch    uint64
	delayed  []func()
	// noWorkerLoss is set if no worker crashes or is removed, so that no outcome may
	// stay unknown.
	noWorkerLoss bool
	// evacuated are the evacuated data centres.
	evacuated []string
	// specs are the submitted tasks. runs counts the starts of each task, succeeded
	// its successful runs.
	specs      []task.Spec
	runs       map[string]int
	succeeded  map[string]int
	failedOn   map[string]map[string]bool
	refused    map[string]bool
	requests   map[uint64]string
	request    uint64
	faults     map[string]int
	violations []string
}

func newSimulation(choose chooser, mutant mutant) *simulation {
	sim := &simulation{
		choose: choose, mutant: mutant, now: time.Unix(1_000_000, 0), store: table.NewMemory(),
		runs: map[string]int{}, succeeded: map[string]int{}, failedOn: map[string]map[string]bool{},
		refused: map[string]bool{}, requests: map[uint64]string{}, faults: map[string]int{},
	}
	for i := range 4 {
		sim.workers = append(sim.workers, newSimWorker(fmt.Sprintf("worker-%d", i), i))
	}
	sim.noWorkerLoss = choose.intN("steady", 3) == 0
	sim.takeOver()
	return sim
}

func (sim *simulation) violate(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

// takeOver starts a new manager of the shard. The old ones are not notified.
func (sim *simulation) takeOver() {
	ctx := context.Background()
	rows, err := sim.store.Get(ctx, fenceKey)
	if err != nil {
		return
	}
	sim.epoch++
	_ = sim.store.Commit(ctx, table.Txn{
		Conditions: []table.Condition{{Key: fenceKey, Version: rows[0].Version}},
		Writes:     []table.Write{{Key: fenceKey, Value: []byte(fmt.Sprint(sim.epoch))}},
	})
	rows, _ = sim.store.Get(ctx, fenceKey)
	fence := table.Condition{Key: fenceKey, Version: rows[0].Version}
	placer := place.New(place.Config{})
	placer.SetEvacuated(sim.evacuated)
	m := &manager{epoch: sim.epoch, fence: fence.Version, controller: task.New(task.Config{
		Shard: "pool-a", Epoch: sim.epoch, Fence: fence, Placer: placer,
		Lease: 30 * time.Second, CommitInterval: 10 * time.Millisecond, RetentionPeriod: 1000 * time.Hour,
	})}
	m.controller.SetLimits(map[task.TeamQueue]task.Limit{{Queue: queue, Team: "reef"}: {MaxRunning: teamLimit}})
	rows, _ = sim.store.Scan(ctx, task.Prefix(queue))
	if broken := m.controller.Load(sim.now, rows); len(broken) > 0 {
		sim.violate("rows %v do not load", broken)
	}
	// Keep at most three managers: the oldest one crashes.
	sim.managers = append(sim.managers[max(0, len(sim.managers)-2):], m)
	sim.reportWorkers(m)
}

// reportWorkers passes the platform's host list and the workers' reports to a
// manager.
func (sim *simulation) reportWorkers(m *manager) {
	for _, w := range sim.workers {
		switch {
		case w.gone, sim.mutant == mutantSilentIsGone && w.silent:
			m.controller.MarkGone(sim.now, w.name)
		case w.alive && !w.silent:
			m.controller.Join(sim.now, place.Worker{
				Name: w.name, DataCentre: w.dataCentre, Rack: w.name, Size: place.Size{CPUs: 4, Memory: 4 << 30},
			}, w.incarnationID())
		}
	}
}

// step steps a manager and executes some of its actions.
func (sim *simulation) step(m *manager) {
	if m.paused {
		return
	}
	actions := m.controller.Step(sim.now)
	sim.checkStarts(m, actions)
	m.actions = append(m.actions, actions...)
	for range min(len(m.actions), 1+sim.choose.intN("deliveries", 8)) {
		i := sim.choose.intN("which action", len(m.actions))
		action := m.actions[i]
		m.actions = slices.Delete(m.actions, i, i+1)
		sim.execute(m, action)
	}
}

func (sim *simulation) execute(m *manager, action task.Action) {
	switch action := action.(type) {
	case task.Commit:
		result := sim.commit(action.Txn)
		sim.reportResult(func() { m.controller.HandleCommitResult(sim.now, action.Number, result) })
	case task.Read:
		rows, err := sim.store.Get(context.Background(), action.Keys...)
		sim.reportResult(func() { m.controller.HandleReadResult(sim.now, action.Number, rows, err == nil) })
	case task.Call:
		if action.Order == task.OrderStart && sim.isEvacuated(action.Worker) {
			// The data centre was evacuated while the call waited to be sent.
			sim.faults["start withheld"]++
			m.controller.HandleCallResult(sim.now, action, task.Answer{Kind: task.AnswerNone})
			return
		}
		answer := sim.call(action)
		sim.reportResult(func() { m.controller.HandleCallResult(sim.now, action, answer) })
	case task.Poll:
		result := sim.poll(action)
		if sim.mutant == mutantLatePoll {
			action.IssuedAt = sim.now.Add(time.Hour)
		}
		sim.reportResult(func() { m.controller.HandlePollResult(sim.now, action, result) })
	case task.Store:
		m.controller.HandleStoreResult(sim.now, action, !sim.down)
	case task.Reply:
		sim.handleReply(action)
	}
}

// reportResult passes the result of an action to its manager, now or later.
func (sim *simulation) reportResult(report func()) {
	if sim.choose.intN("answer late", 4) == 0 {
		sim.faults["answer late"]++
		sim.delayed = append(sim.delayed, report)
		return
	}
	report()
}

// deliver delivers a message, loses it, loses its answer, or delays it until after
// its sender has timed out.
func (sim *simulation) deliver(apply func()) (answered bool) {
	switch sim.choose.intN("delivery", 10) {
	case 0:
		sim.faults["message lost"]++
		return false
	case 1:
		sim.faults["answer lost"]++
		apply()
		return false
	case 2:
		sim.faults["message late"]++
		sim.delayed = append(sim.delayed, apply)
		return false
	default:
		apply()
		return true
	}
}

func (sim *simulation) commit(txn table.Txn) task.CommitResult {
	if sim.mutant == mutantUnfenced {
		txn.Conditions = nil
	}
	if sim.down {
		return task.CommitUnavailable
	}
	var err error
	answered := sim.deliver(func() { err = sim.store.Commit(context.Background(), txn) })
	switch {
	case !answered && sim.mutant == mutantUnknownRefused:
		return task.CommitUnavailable
	case !answered:
		return task.CommitUnknown
	case table.IsConflict(err):
		return task.CommitConflict
	case err != nil:
		return task.CommitUnavailable
	}
	return task.CommitApplied
}

func (sim *simulation) handleReply(reply task.Reply) {
	name, ok := sim.requests[reply.Request]
	if ok && reply.Outcome == task.Refused && reply.Reason == task.ReasonTableUnavailable {
		sim.refused[name] = true
		if sim.runs[name] > 0 {
			sim.violate("task %s ran and was then refused", name)
		}
	}
	delete(sim.requests, reply.Request)
}

// current returns the manager with the latest epoch.
func (sim *simulation) current() *manager {
	return sim.managers[len(sim.managers)-1]
}

// submit submits a task with a new ID to the current manager.
func (sim *simulation) submit() {
	kinds := []string{"plain", "once", "poison"}
	kind := kinds[sim.choose.intN("kind", len(kinds))]
	spec := task.Spec{
		ID: fmt.Sprintf("%s-%d", kind, len(sim.specs)), Queue: queue, Team: "reef",
		Class: place.Classes()[sim.choose.intN("class", 3)], Once: kind == "once",
		Size: place.Size{CPUs: float64(1 + sim.choose.intN("cpus", 4)), Memory: 1 << 20},
	}
	sim.specs = append(sim.specs, spec)
	sim.request++
	sim.requests[sim.request] = spec.ID
	if sim.mutant == mutantRepeatable {
		spec.Once = false
	}
	sim.current().controller.Submit(sim.now, sim.request, spec)
}
