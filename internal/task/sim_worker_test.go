package task_test

import (
	"fmt"
	"slices"
	"strings"

	"github.com/lovagedyke/lovagedyke/internal/task"
)

// simStart is the state of one start request at a worker.
type simStart struct {
	task  string
	state task.AnswerKind
	ran   bool
}

// simWorker is a simulated worker. It shares only the message types with the code
// under test.
type simWorker struct {
	name        string
	incarnation int
	alive       bool
	gone        bool
	silent      bool
	failsTasks  bool
	epoch       uint64
	starts      map[string]*simStart
}

func (n *simWorker) incarnationID() string {
	return fmt.Sprintf("%s#%d", n.name, n.incarnation)
}

func (sim *simulation) worker(name string) *simWorker {
	for _, n := range sim.workers {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (sim *simulation) call(call task.Call) task.Answer {
	n := sim.worker(call.Worker)
	if n == nil || !n.alive {
		return task.Answer{Kind: task.AnswerNone}
	}
	if n.silent {
		// The paused process handles the call when it resumes.
		sim.delayed = append(sim.delayed, func() { sim.handleCall(n, call) })
		return sim.unanswered(call)
	}
	var answer task.Answer
	if !sim.deliver(func() { answer = sim.handleCall(n, call) }) {
		return sim.unanswered(call)
	}
	return answer
}

func (sim *simulation) unanswered(call task.Call) task.Answer {
	if sim.mutant == mutantRestartElsewhere && call.Order == task.OrderStart {
		return task.Answer{Kind: task.AnswerRefused}
	}
	return task.Answer{Kind: task.AnswerNone}
}

// handleCall executes a call at the worker.
func (sim *simulation) handleCall(n *simWorker, call task.Call) task.Answer {
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
		return sim.startTask(n, call)
	case call.Order == task.OrderStop && !ok:
		known = &simStart{state: task.AnswerStopped}
		if sim.mutant != mutantNoTombstone {
			n.starts[call.StartID] = known
		}
	case !ok:
		return task.Answer{Kind: task.AnswerNoTask, Incarnation: sim.incarnationOf(n)}
	case call.Order == task.OrderStop && known.state == task.AnswerRunning:
		known.state = task.AnswerStopped
	case call.Order == task.OrderCheckpoint && known.state == task.AnswerRunning:
		known.state = task.AnswerCheckpointed
	}
	return sim.answer(n, call.StartID, known)
}

func (sim *simulation) incarnationOf(n *simWorker) string {
	if sim.mutant == mutantNoIncarnation {
		return ""
	}
	return n.incarnationID()
}

func (sim *simulation) answer(n *simWorker, id string, known *simStart) task.Answer {
	return task.Answer{Kind: known.state, StartID: id, Incarnation: sim.incarnationOf(n), Ran: known.ran, Reason: "bad"}
}

// startTask starts a task at the worker and records a violation if it must not
// run.
func (sim *simulation) startTask(n *simWorker, call task.Call) task.Answer {
	if sim.mutant != mutantNoIncarnation && call.Record.Attempt.Incarnation != n.incarnationID() {
		return task.Answer{Kind: task.AnswerOtherIncarnation, Incarnation: n.incarnationID()}
	}
	name := call.Record.ID
	n.starts[call.StartID] = &simStart{task: name, state: task.AnswerRunning, ran: true}
	sim.runs[name]++
	if sim.runs[name] > 1 && sim.spec(name).Once {
		sim.violate("task %s, not to be repeated, ran %d times", name, sim.runs[name])
	}
	if got := sim.running(name); got > 1 {
		sim.violate("task %s runs %d times at once", name, got)
	}
	if got := sim.running(""); got > teamLimit {
		sim.violate("%d tasks run, the limit is %d", got, teamLimit)
	}
	if sim.refused[name] {
		sim.violate("task %s was refused but ran", name)
	}
	if n.failsTasks {
		sim.finish(n, call.StartID, false)
	}
	return sim.answer(n, call.StartID, n.starts[call.StartID])
}

// running counts the current runs of a task, or of all tasks if name is empty.
func (sim *simulation) running(name string) int {
	count := 0
	for _, n := range sim.workers {
		for _, s := range n.starts {
			if n.alive && s.state == task.AnswerRunning && (name == "" || s.task == name) {
				count++
			}
		}
	}
	return count
}

func (sim *simulation) spec(id string) task.Spec {
	i := slices.IndexFunc(sim.specs, func(s task.Spec) bool { return s.ID == id })
	return sim.specs[i]
}

// finish ends a run at the worker with success or failure.
func (sim *simulation) finish(n *simWorker, id string, good bool) {
	s := n.starts[id]
	if good && !strings.HasPrefix(s.task, "poison") {
		s.state = task.AnswerDone
		sim.succeeded[s.task]++
		return
	}
	s.state = task.AnswerFailed
	if sim.failedOn[s.task] == nil {
		sim.failedOn[s.task] = map[string]bool{}
	}
	sim.failedOn[s.task][n.name] = true
}

func (sim *simulation) poll(poll task.Poll) task.PollResult {
	n := sim.worker(poll.Worker)
	if n == nil || !n.alive || n.silent {
		return task.PollResult{Kind: task.AnswerNone}
	}
	if poll.Epoch < n.epoch {
		return task.PollResult{Kind: task.AnswerStale}
	}
	n.epoch = poll.Epoch
	if sim.choose.intN("poll lost", 10) == 0 {
		return task.PollResult{Kind: task.AnswerNone}
	}
	result := task.PollResult{Kind: task.AnswerRunning, Incarnation: sim.incarnationOf(n)}
	for _, id := range poll.StartIDs {
		if known, ok := n.starts[id]; ok {
			result.Answers = append(result.Answers, sim.answer(n, id, known))
		}
	}
	return result
}
