package task_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
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
	mutantNoTombstone mutant = "a stop of an unknown start is forgotten"
)

// chooser makes the world's choices; labels are for reading a failed run.
type chooser interface {
	intN(label string, n int) int
}

// start is one start at a worker, as the worker knows it.
type start struct {
	task  string
	state task.AnswerKind
	ran   bool
}

// node is a worker. It knows nothing of the code under test but its messages.
type node struct {
	name        string
	incarnation int
	alive       bool
	gone        bool
	silent      bool
	bad         bool
	epoch       uint64
	starts      map[string]*start
}

func (n *node) process() string {
	return fmt.Sprintf("%s#%d", n.name, n.incarnation)
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
		Lease: 30 * time.Second, CommitEvery: 10 * time.Millisecond, Retain: 1000 * time.Hour,
	})}
	m.controller.SetLimits(map[task.LaneKey]task.Limit{{Queue: queue, Team: "reef"}: {Running: laneLimit}})
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
		m.controller.Committed(w.now, action.Number, w.commit(action.Txn))
	case task.Read:
		rows, err := w.store.Get(context.Background(), action.Keys...)
		m.controller.Read(w.now, action.Number, rows, err == nil)
	case task.Call:
		m.controller.Called(w.now, action, w.call(action))
	case task.Poll:
		m.controller.Polled(w.now, action, w.poll(action))
	case task.Store:
		m.controller.Stored(w.now, action, !w.down)
	case task.Reply:
		w.takeReply(action)
	}
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

func (w *world) node(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (w *world) call(call task.Call) task.Answer {
	n := w.node(call.Worker)
	if n == nil || !n.alive {
		return task.Answer{Kind: task.AnswerNone}
	}
	if n.silent {
		// The paused process takes the call when it wakes.
		w.late = append(w.late, func() { w.arrive(n, call) })
		return w.unanswered(call)
	}
	var answer task.Answer
	if !w.fate(func() { answer = w.arrive(n, call) }) {
		return w.unanswered(call)
	}
	return answer
}

func (w *world) unanswered(call task.Call) task.Answer {
	if w.mutant == mutantElsewhere && call.Order == task.OrderStart {
		return task.Answer{Kind: task.AnswerRefused}
	}
	return task.Answer{Kind: task.AnswerNone}
}

// arrive is the worker's side of a call.
func (w *world) arrive(n *node, call task.Call) task.Answer {
	if !n.alive {
		return task.Answer{Kind: task.AnswerNone}
	}
	if call.Epoch < n.epoch {
		return task.Answer{Kind: task.AnswerStale}
	}
	n.epoch = call.Epoch
	known, ok := n.starts[call.StartID]
	switch {
	case call.Order == task.OrderStart && !ok:
		return w.begin(n, call)
	case call.Order == task.OrderStop && !ok:
		known = &start{state: task.AnswerStopped}
		if w.mutant != mutantNoTombstone {
			n.starts[call.StartID] = known
		}
	case !ok:
		return task.Answer{Kind: task.AnswerNoTask, Incarnation: w.process(n)}
	case call.Order == task.OrderStop && known.state == task.AnswerRunning:
		known.state = task.AnswerStopped
	case call.Order == task.OrderCheckpoint && known.state == task.AnswerRunning:
		known.state = task.AnswerCheckpointed
	}
	return w.answer(n, call.StartID, known)
}

func (w *world) process(n *node) string {
	if w.mutant == mutantIncarnation {
		return ""
	}
	return n.process()
}

func (w *world) answer(n *node, id string, known *start) task.Answer {
	return task.Answer{Kind: known.state, StartID: id, Incarnation: w.process(n), Ran: known.ran, Reason: "bad"}
}

// begin runs a task and checks that it may run.
func (w *world) begin(n *node, call task.Call) task.Answer {
	if w.mutant != mutantIncarnation && call.Record.Attempt.Incarnation != n.process() {
		return task.Answer{Kind: task.AnswerOtherIncarnation, Incarnation: n.process()}
	}
	name := call.Record.ID
	n.starts[call.StartID] = &start{task: name, state: task.AnswerRunning, ran: true}
	w.runs[name]++
	if w.runs[name] > 1 && w.spec(name).Once {
		w.violate("task %s, not to be repeated, ran %d times", name, w.runs[name])
	}
	if got := w.running(name); got > 1 {
		w.violate("task %s runs %d times at once", name, got)
	}
	if got := w.running(""); got > laneLimit {
		w.violate("%d tasks run, the limit is %d", got, laneLimit)
	}
	if w.refused[name] {
		w.violate("task %s was refused and ran", name)
	}
	if n.bad {
		w.finish(n, call.StartID, false)
	}
	return w.answer(n, call.StartID, n.starts[call.StartID])
}

// running counts the runs of a task, or of all, that go on now.
func (w *world) running(name string) int {
	count := 0
	for _, n := range w.nodes {
		for _, s := range n.starts {
			if n.alive && s.state == task.AnswerRunning && (name == "" || s.task == name) {
				count++
			}
		}
	}
	return count
}

func (w *world) spec(id string) task.Spec {
	i := slices.IndexFunc(w.specs, func(s task.Spec) bool { return s.ID == id })
	return w.specs[i]
}

// finish ends a run by itself.
func (w *world) finish(n *node, id string, good bool) {
	s := n.starts[id]
	if good && !strings.HasPrefix(s.task, "poison") {
		s.state = task.AnswerDone
		w.good[s.task]++
		return
	}
	s.state = task.AnswerFailed
	if w.failedOn[s.task] == nil {
		w.failedOn[s.task] = map[string]bool{}
	}
	w.failedOn[s.task][n.name] = true
}

func (w *world) poll(poll task.Poll) task.PollResult {
	n := w.node(poll.Worker)
	if n == nil || !n.alive || n.silent {
		return task.PollResult{Kind: task.AnswerNone}
	}
	if poll.Epoch < n.epoch {
		return task.PollResult{Kind: task.AnswerStale}
	}
	n.epoch = poll.Epoch
	if w.choose.intN("poll lost", 10) == 0 {
		return task.PollResult{Kind: task.AnswerNone}
	}
	result := task.PollResult{Kind: task.AnswerRunning, Incarnation: w.process(n)}
	for _, id := range poll.StartIDs {
		if known, ok := n.starts[id]; ok {
			result.Answers = append(result.Answers, w.answer(n, id, known))
		}
	}
	return result
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
