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
	dataCentre  string
	incarnation int
	alive       bool
	gone        bool
	silent      bool
	failsTasks  bool
	// losesStarts is set while start requests to the worker are lost.
	losesStarts bool
	epoch       uint64
	starts      map[string]*simStart
}

// newSimWorker returns a worker in one of two data centres, by its index.
func newSimWorker(name string, index int) *simWorker {
	return &simWorker{
		name: name, dataCentre: fmt.Sprintf("dc-%d", index%dataCentres), alive: true, starts: map[string]*simStart{},
	}
}

func (w *simWorker) incarnationID() string {
	return fmt.Sprintf("%s#%d", w.name, w.incarnation)
}

func (sim *simulation) worker(name string) *simWorker {
	for _, w := range sim.workers {
		if w.name == name {
			return w
		}
	}
	return nil
}

func (sim *simulation) call(call task.Call) task.Answer {
	w := sim.worker(call.Worker)
	if w == nil || !w.alive {
		return task.Answer{Kind: task.AnswerNone}
	}
	if w.losesStarts && call.Order == task.OrderStart {
		return sim.unanswered(call)
	}
	if w.silent {
		// The paused process handles the call when it resumes.
		sim.delayed = append(sim.delayed, func() { sim.handleCall(w, call) })
		return sim.unanswered(call)
	}
	var answer task.Answer
	if !sim.deliver(func() { answer = sim.handleCall(w, call) }) {
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
func (sim *simulation) handleCall(w *simWorker, call task.Call) task.Answer {
	if !w.alive {
		return task.Answer{Kind: task.AnswerNone}
	}
	if call.Epoch < w.epoch {
		return task.Answer{Kind: task.AnswerStale}
	}
	w.epoch = call.Epoch
	known, ok := w.starts[call.StartID]
	switch {
	case call.Order == task.OrderStart && !ok:
		return sim.startTask(w, call)
	case call.Order == task.OrderStop && !ok:
		known = &simStart{state: task.AnswerStopped}
		if sim.mutant != mutantNoTombstone {
			w.starts[call.StartID] = known
		}
	case !ok:
		return task.Answer{Kind: task.AnswerNoTask, Incarnation: sim.incarnationOf(w)}
	case call.Order == task.OrderStop && known.state == task.AnswerRunning:
		known.state = task.AnswerStopped
	case call.Order == task.OrderCheckpoint && known.state == task.AnswerRunning:
		known.state = task.AnswerCheckpointed
	}
	return sim.answer(w, call.StartID, known)
}

func (sim *simulation) incarnationOf(w *simWorker) string {
	if sim.mutant == mutantNoIncarnation {
		return ""
	}
	return w.incarnationID()
}

func (sim *simulation) answer(w *simWorker, id string, known *simStart) task.Answer {
	return task.Answer{Kind: known.state, StartID: id, Incarnation: sim.incarnationOf(w), Ran: known.ran, Reason: "bad"}
}

// startTask starts a task at the worker and records a violation if it must not
// run.
func (sim *simulation) startTask(w *simWorker, call task.Call) task.Answer {
	if sim.mutant != mutantNoIncarnation && call.Record.Attempt.Incarnation != w.incarnationID() {
		return task.Answer{Kind: task.AnswerOtherIncarnation, Incarnation: w.incarnationID()}
	}
	name := call.Record.ID
	w.starts[call.StartID] = &simStart{task: name, state: task.AnswerRunning, ran: true}
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
	if w.failsTasks {
		sim.finish(w, call.StartID, false)
	}
	return sim.answer(w, call.StartID, w.starts[call.StartID])
}

// running counts the current runs of a task, or of all tasks if name is empty.
func (sim *simulation) running(name string) int {
	count := 0
	for _, w := range sim.workers {
		for _, s := range w.starts {
			if w.alive && s.state == task.AnswerRunning && (name == "" || s.task == name) {
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

// finish ends a run at the worker. Runs of poison tasks fail even if succeeds is set.
func (sim *simulation) finish(w *simWorker, id string, succeeds bool) {
	s := w.starts[id]
	if succeeds && !strings.HasPrefix(s.task, "poison") {
		s.state = task.AnswerDone
		sim.succeeded[s.task]++
		return
	}
	s.state = task.AnswerFailed
	if sim.failedOn[s.task] == nil {
		sim.failedOn[s.task] = map[string]bool{}
	}
	sim.failedOn[s.task][w.name] = true
}

func (sim *simulation) poll(poll task.Poll) task.PollResult {
	w := sim.worker(poll.Worker)
	if w == nil || !w.alive || w.silent {
		return task.PollResult{Kind: task.AnswerNone}
	}
	if poll.Epoch < w.epoch {
		return task.PollResult{Kind: task.AnswerStale}
	}
	w.epoch = poll.Epoch
	if sim.choose.intN("poll lost", 10) == 0 {
		return task.PollResult{Kind: task.AnswerNone}
	}
	result := task.PollResult{Kind: task.AnswerRunning, Incarnation: sim.incarnationOf(w)}
	for _, id := range poll.StartIDs {
		if known, ok := w.starts[id]; ok {
			result.Answers = append(result.Answers, sim.answer(w, id, known))
		}
	}
	return result
}
