package manager

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lovagedyke/lovagedyke/internal/node"
	"github.com/lovagedyke/lovagedyke/internal/peer/peerpb"
	"github.com/lovagedyke/lovagedyke/internal/task"
	"github.com/lovagedyke/lovagedyke/internal/task/runner"
)

// peerService serves a manager's peer calls: those of every node, and task
// submission and cancellation.
type peerService struct {
	*node.Service
	manager *Manager
}

// Service returns the service of the manager's peer port.
func (m *Manager) Service() peerpb.Peer {
	return &peerService{Service: m.node.Service(), manager: m}
}

// SubmitTask submits a task if this process manages its queue's shard.
func (s *peerService) SubmitTask(ctx context.Context, request *peerpb.SubmitTaskRequest) (*peerpb.TaskReply, error) {
	var spec task.Spec
	if err := json.Unmarshal(request.GetSpec(), &spec); err != nil {
		return nil, twirp.InvalidArgumentError("spec", err.Error())
	}
	managed, err := s.manager.shards.forQueue(spec.Queue)
	if err != nil {
		return nil, twirp.NotFoundError(err.Error())
	}
	reply, err := managed.Submit(ctx, spec)
	return taskReply(reply, err)
}

// CancelTask cancels a task if this process manages its queue's shard.
func (s *peerService) CancelTask(ctx context.Context, request *peerpb.CancelTaskRequest) (*peerpb.TaskReply, error) {
	managed, err := s.manager.shards.forQueue(request.GetQueue())
	if err != nil {
		return nil, twirp.NotFoundError(err.Error())
	}
	reply, err := managed.Cancel(ctx, request.GetQueue(), request.GetId())
	return taskReply(reply, err)
}

// taskReply encodes a reply. If another process manages the queue's shard, it
// returns a failed precondition.
func taskReply(reply task.Reply, err error) (*peerpb.TaskReply, error) {
	if errors.Is(err, runner.ErrNotHolder) {
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	record, err := json.Marshal(reply.Task)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peerpb.TaskReply{
		Outcome: string(reply.Outcome), Reason: reply.Reason,
		RetryAfter: durationpb.New(reply.RetryAfter), Record: record,
	}, nil
}
