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

// call makes one call to a worker and reports its end.
func (r *reign) call(ctx context.Context, call task.Call) {
	answer := task.Answer{Kind: task.AnswerNone}
	if address, known := r.address(call.Worker); known {
		status, err := r.order(ctx, address, call)
		answer = newAnswer(status, err)
	}
	r.step(func(c *task.Controller, now time.Time) { c.HandleCallResult(now, call, answer) })
}

// address is where a worker was last listed.
func (r *reign) address(name string) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	address, known := r.addresses[name]
	return address, known
}

// order sends the call's order to the worker.
func (r *reign) order(ctx context.Context, address netip.AddrPort, call task.Call) (worker.Status, error) {
	order := worker.Order{Shard: r.cfg.Shard, Epoch: call.Epoch, Rate: call.Rate}
	switch call.Order {
	case task.OrderStop:
		return r.cfg.Workers.Stop(ctx, address, call.StartID, order)
	case task.OrderCheckpoint:
		return r.cfg.Workers.Checkpoint(ctx, address, call.StartID, order)
	case task.OrderThrottle:
		return r.cfg.Workers.Throttle(ctx, address, call.StartID, order)
	default:
		return r.start(ctx, address, call)
	}
}

// start fetches a large body and starts the task.
func (r *reign) start(ctx context.Context, address netip.AddrPort, call task.Call) (worker.Status, error) {
	record := call.Record
	body := record.Body
	if record.BodyObject != "" {
		fetched, err := r.cfg.Objects.GetObject(ctx, record.BodyObject)
		if err != nil {
			return worker.Status{}, err
		}
		body = fetched
	}
	return r.cfg.Workers.Start(ctx, address, worker.Start{
		ID:          call.StartID,
		Task:        record.Name(),
		Queue:       record.Queue,
		Team:        record.Team,
		Shard:       r.cfg.Shard,
		Incarnation: record.Attempt.Incarnation,
		Lease:       duration.New(call.Lease),
		Epoch:       call.Epoch,
		RunTime:     record.RunTime,
		Resources:   worker.Resources(record.Size),
		Body:        body,
		Checkpoint:  record.Checkpoint,
	})
}

// poll renews the leases at one worker and reports what it said.
func (r *reign) poll(ctx context.Context, poll task.Poll) {
	result := task.PollResult{Kind: task.AnswerNone}
	if address, known := r.address(poll.Worker); known {
		renewed, err := r.cfg.Workers.RenewAll(ctx, address, worker.Renewal{
			Shard: r.cfg.Shard, Epoch: poll.Epoch, Lease: duration.New(poll.Lease), IDs: poll.StartIDs,
		})
		result = newPollResult(renewed, err)
	}
	r.step(func(c *task.Controller, now time.Time) { c.HandlePollResult(now, poll, result) })
}

// newPollResult maps the end of a renewal.
func newPollResult(renewed worker.Renewed, err error) task.PollResult {
	if err != nil {
		return task.PollResult{Kind: newAnswer(worker.Status{}, err).Kind}
	}
	result := task.PollResult{Kind: task.AnswerRunning, Incarnation: renewed.Incarnation}
	for _, status := range renewed.Tasks {
		result.Answers = append(result.Answers, newAnswer(status, nil))
	}
	return result
}

// newAnswer maps the end of a call to a worker. An error that does not prove
// that the call had no effect is no answer at all.
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

// answerKind maps a worker's state; an unknown one counts as no answer.
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
