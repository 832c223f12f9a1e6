package runner

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/duration"
	"github.com/lovagedyke/lovagedyke/internal/place"
	"github.com/lovagedyke/lovagedyke/internal/task"
	"github.com/lovagedyke/lovagedyke/internal/worker"
)

// call sends a call to its worker and passes the answer to the controller.
func (t *term) call(ctx context.Context, call task.Call) {
	answer := task.Answer{Kind: task.AnswerNone}
	if address, known := t.address(call.Worker); known && !t.isWithheld(call) {
		status, err := t.sendOrder(ctx, address, call)
		answer = newAnswer(status, err)
	}
	t.update(func(c *task.Controller, now time.Time) { c.HandleCallResult(now, call, answer) })
}

// isWithheld reports whether the call is a start on a worker whose data centre was
// evacuated while the call waited to be sent.
func (t *term) isWithheld(call task.Call) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.followEvacuations(time.Now())
	return call.Order == task.OrderStart && t.placer.IsEvacuated(call.Worker)
}

// address returns the worker's address as last listed.
func (t *term) address(name string) (netip.AddrPort, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	address, known := t.addresses[name]
	return address, known
}

// sendOrder sends the call's order to the worker.
func (t *term) sendOrder(ctx context.Context, address netip.AddrPort, call task.Call) (worker.Status, error) {
	order := worker.Order{Shard: t.cfg.Shard, Epoch: call.Epoch, Rate: call.Rate}
	switch call.Order {
	case task.OrderStop:
		return t.cfg.Workers.Stop(ctx, address, call.StartID, order)
	case task.OrderCheckpoint:
		return t.cfg.Workers.Checkpoint(ctx, address, call.StartID, order)
	case task.OrderThrottle:
		return t.cfg.Workers.Throttle(ctx, address, call.StartID, order)
	default:
		return t.start(ctx, address, call)
	}
}

// start starts the task, after fetching a large body from the object store.
func (t *term) start(ctx context.Context, address netip.AddrPort, call task.Call) (worker.Status, error) {
	record := call.Record
	body := record.Body
	if record.BodyObject != "" {
		fetched, err := t.cfg.Objects.GetObject(ctx, record.BodyObject)
		if err != nil {
			return worker.Status{}, err
		}
		body = fetched
	}
	return t.cfg.Workers.Start(ctx, address, worker.Start{
		ID:          call.StartID,
		Task:        record.Name(),
		Queue:       record.Queue,
		Team:        record.Team,
		Shard:       t.cfg.Shard,
		Incarnation: record.Attempt.Incarnation,
		Lease:       duration.New(call.Lease),
		Epoch:       call.Epoch,
		RunTime:     record.RunTime,
		Resources:   worker.Resources(record.Size),
		Body:        body,
		Checkpoint:  record.Checkpoint,
	})
}

// poll renews the leases at a worker and passes the result to the controller.
func (t *term) poll(ctx context.Context, poll task.Poll) {
	result := task.PollResult{Kind: task.AnswerNone}
	if address, known := t.address(poll.Worker); known {
		report, err := t.cfg.Workers.RenewAll(ctx, address, worker.Renewal{
			Shard: t.cfg.Shard, Epoch: poll.Epoch, Lease: duration.New(poll.Lease), IDs: poll.StartIDs,
		})
		result = newPollResult(report, err)
	}
	t.update(func(c *task.Controller, now time.Time) { c.HandlePollResult(now, poll, result) })
}

// newPollResult converts the response to a lease renewal.
func newPollResult(report worker.RenewalReport, err error) task.PollResult {
	if err != nil {
		return task.PollResult{Kind: newAnswer(worker.Status{}, err).Kind}
	}
	result := task.PollResult{Kind: task.AnswerRunning, Incarnation: report.Incarnation}
	for _, status := range report.Tasks {
		result.Answers = append(result.Answers, newAnswer(status, nil))
	}
	return result
}

// newAnswer converts the response to a call. An error that does not prove that
// the call had no effect becomes AnswerNone.
func newAnswer(status worker.Status, err error) task.Answer {
	switch {
	case errors.Is(err, worker.ErrStale):
		return task.Answer{Kind: task.AnswerStale}
	case errors.Is(err, worker.ErrOtherIncarnation):
		return task.Answer{Kind: task.AnswerOtherIncarnation}
	case errors.Is(err, worker.ErrRefused):
		return task.Answer{Kind: task.AnswerRefused}
	case errors.Is(err, worker.ErrNoTask):
		return task.Answer{Kind: task.AnswerNoTask}
	case err != nil:
		return task.Answer{Kind: task.AnswerNone}
	}
	return task.Answer{
		Kind:        answerKind(status.State),
		StartID:     status.ID,
		Incarnation: status.Incarnation,
		Ran:         status.Ran,
		Reason:      status.Reason,
		Result:      status.Result,
		Checkpoint:  status.Checkpoint,
		Usage:       place.Size(status.Usage),
	}
}

// answerKind converts a state reported by a worker. An unknown state becomes
// AnswerNone.
func answerKind(state worker.State) task.AnswerKind {
	switch state {
	case worker.Running:
		return task.AnswerRunning
	case worker.Done:
		return task.AnswerDone
	case worker.Failed:
		return task.AnswerFailed
	case worker.Stopped:
		return task.AnswerStopped
	case worker.Checkpointed:
		return task.AnswerCheckpointed
	case worker.Lapsed:
		return task.AnswerLapsed
	default:
		return task.AnswerNone
	}
}
