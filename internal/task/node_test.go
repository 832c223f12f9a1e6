package task_test

import (
	"fmt"
	"slices"
	"strings"

	"github.com/lovagedyke/lovagedyke/internal/task"
)

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
