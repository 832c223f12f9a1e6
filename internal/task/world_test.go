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
	laneLimit = 3
)

// mutant names a rule that the world breaks on purpose.
type mutant string

const (
	mutantNone        mutant = ""
	mutantUnfenced    mutant = "rows are written without conditions"
	mutantElsewhere   mutant = "a start without an answer goes elsewhere"
	mutantNotRead     mutant = "a lost answer of the table counts as a refusal"
	mutantIncarnation mutant = "starts do not name the worker's process"
	mutantRepeat      mutant = "tasks are not marked as not to be repeated"
	mutantSilence     mutant = "a silent worker counts as gone"
	mutantLatePoll    mutant = "an old poll proves that a start is forgotten"
	mutantNoTombstone mutant = "a stop of an unknown start is forgotten"
)

// chooser makes the world's choices; labels are for reading a failed run.
type chooser interface {
	intN(label string, n int) int
}

// manager is a controller with the actions that it wants carried out.
type manager struct {
	controller *task.Controller
	epoch      uint64
	fence      uint64
	outbox     []task.Action
	paused     bool
}

// world holds the truth: what really ran, and what was promised.
type world struct {
	choose   chooser
	mutant   mutant
	now      time.Time
	store    *table.Memory
	down     bool
	nodes    []*node
	managers []*manager
	epoch    uint64
	late     []func()
	// steady worlds lose no worker, so that no outcome may stay unknown.
	steady bool
	// specs are the tasks submitted; runs and good count what took place.
	specs    []task.Spec
	runs     map[string]int
	good     map[string]int
	failedOn map[string]map[string]bool
	refused  map[string]bool
	requests map[uint64]string
	request  uint64
	faults   map[string]int
	broken   []string
}

func newWorld(choose chooser, broken mutant) *world {
	w := &world{
		choose: choose, mutant: broken, now: time.Unix(1_000_000, 0), store: table.NewMemory(),
		runs: map[string]int{}, good: map[string]int{}, failedOn: map[string]map[string]bool{},
		refused: map[string]bool{}, requests: map[uint64]string{}, faults: map[string]int{},
	}
	for i := range 4 {
		w.nodes = append(w.nodes, &node{name: fmt.Sprintf("worker-%d", i), alive: true, starts: map[string]*start{}})
	}
	w.steady = choose.intN("steady", 3) == 0
	w.takeOver()
	return w
}

func (w *world) violate(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

// takeOver makes a new manager of the shard; the old ones do not know.
func (w *world) takeOver() {
	ctx := context.Background()
	rows, err := w.store.Get(ctx, fenceKey)
	if err != nil {
		return
	}
	w.epoch++
	_ = w.store.Commit(ctx, table.Txn{
		Conditions: []table.Condition{{Key: fenceKey, Version: rows[0].Version}},
		Writes:     []table.Write{{Key: fenceKey, Value: []byte(fmt.Sprint(w.epoch))}},
	})
	rows, _ = w.store.Get(ctx, fenceKey)
	fence := table.Condition{Key: fenceKey, Version: rows[0].Version}
	m := &manager{epoch: w.epoch, fence: fence.Version, controller: task.New(task.Config{
		Shard: "pool-a", Epoch: w.epoch, Fence: fence, Placer: place.New(place.Config{}),
		Lease: 30 * time.Second, CommitInterval: 10 * time.Millisecond, RetentionPeriod: 1000 * time.Hour,
	})}
	m.controller.SetLimits(map[task.TeamQueue]task.Limit{{Queue: queue, Team: "reef"}: {MaxRunning: laneLimit}})
	rows, _ = w.store.Scan(ctx, task.Prefix(queue))
	if broken := m.controller.Load(w.now, rows); len(broken) > 0 {
		w.violate("rows %v do not load", broken)
	}
	// The oldest of three has died by now.
	w.managers = append(w.managers[max(0, len(w.managers)-2):], m)
	w.tellWorkers(m)
}

// tellWorkers tells a manager what the platform lists and the workers report.
func (w *world) tellWorkers(m *manager) {
	for _, n := range w.nodes {
		switch {
		case n.gone, w.mutant == mutantSilence && n.silent:
			m.controller.Gone(w.now, n.name)
		case n.alive && !n.silent:
			m.controller.Join(w.now, place.Worker{
				Name: n.name, Rack: n.name, Size: place.Size{CPUs: 4, Memory: 4 << 30},
			}, n.process())
		}
	}
}

// step lets a manager act and carries some of its actions out.
func (w *world) step(m *manager) {
	if m.paused {
		return
	}
	m.outbox = append(m.outbox, m.controller.Step(w.now)...)
	for range min(len(m.outbox), 1+w.choose.intN("deliveries", 8)) {
		i := w.choose.intN("which action", len(m.outbox))
		action := m.outbox[i]
		m.outbox = slices.Delete(m.outbox, i, i+1)
		w.carryOut(m, action)
	}
}

func (w *world) carryOut(m *manager, action task.Action) {
	switch action := action.(type) {
	case task.Commit:
		result := w.commit(action.Txn)
		w.tell(func() { m.controller.HandleCommitResult(w.now, action.Number, result) })
	case task.Read:
		rows, err := w.store.Get(context.Background(), action.Keys...)
		w.tell(func() { m.controller.HandleReadResult(w.now, action.Number, rows, err == nil) })
	case task.Call:
		answer := w.call(action)
		w.tell(func() { m.controller.HandleCallResult(w.now, action, answer) })
	case task.Poll:
		result := w.poll(action)
		if w.mutant == mutantLatePoll {
			action.IssuedAt = w.now.Add(time.Hour)
		}
		w.tell(func() { m.controller.HandlePollResult(w.now, action, result) })
	case task.Store:
		m.controller.HandleStoreResult(w.now, action, !w.down)
	case task.Reply:
		w.takeReply(action)
	}
}

// tell hands an answer to its manager, now or after others.
func (w *world) tell(report func()) {
	if w.choose.intN("answer late", 4) == 0 {
		w.faults["answer late"]++
		w.late = append(w.late, report)
		return
	}
	report()
}

// fate decides what becomes of a message: it arrives, its answer is lost, it is
// lost, or it arrives after its sender gave up.
func (w *world) fate(apply func()) (answered bool) {
	switch w.choose.intN("fate", 10) {
	case 0:
		w.faults["message lost"]++
		return false
	case 1:
		w.faults["answer lost"]++
		apply()
		return false
	case 2:
		w.faults["message late"]++
		w.late = append(w.late, apply)
		return false
	default:
		apply()
		return true
	}
}

func (w *world) commit(txn table.Txn) task.CommitResult {
	if w.mutant == mutantUnfenced {
		txn.Conditions = nil
	}
	if w.down {
		return task.CommitUnavailable
	}
	var err error
	answered := w.fate(func() { err = w.store.Commit(context.Background(), txn) })
	switch {
	case !answered && w.mutant == mutantNotRead:
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

func (w *world) takeReply(reply task.Reply) {
	name, ok := w.requests[reply.Request]
	if ok && reply.Outcome == task.Refused && reply.Reason == task.ReasonTableUnavailable {
		w.refused[name] = true
		if w.runs[name] > 0 {
			w.violate("task %s ran and was then refused", name)
		}
	}
	delete(w.requests, reply.Request)
}

// current is the manager with the latest epoch.
func (w *world) current() *manager {
	return w.managers[len(w.managers)-1]
}

// submit gives the present manager a task of a fresh id.
func (w *world) submit() {
	kinds := []string{"plain", "once", "poison"}
	kind := kinds[w.choose.intN("kind", len(kinds))]
	spec := task.Spec{
		ID: fmt.Sprintf("%s-%d", kind, len(w.specs)), Queue: queue, Team: "reef",
		Class: place.Classes()[w.choose.intN("class", 3)], Once: kind == "once",
		Size: place.Size{CPUs: float64(1 + w.choose.intN("cpus", 4)), Memory: 1 << 20},
	}
	w.specs = append(w.specs, spec)
	w.request++
	w.requests[w.request] = spec.ID
	if w.mutant == mutantRepeat {
		spec.Once = false
	}
	w.current().controller.Submit(w.now, w.request, spec)
}
