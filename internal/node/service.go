package node

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/lovagedyke/lovagedyke/internal/peer"
	"github.com/lovagedyke/lovagedyke/internal/peer/peerpb"
	"github.com/lovagedyke/lovagedyke/internal/revision"
)

// Service handles the peer calls that every process supports. Entries and managers
// embed it and override the methods of the other calls that they support.
type Service struct {
	node *Node
}

// Service returns the node's handler of peer calls.
func (n *Node) Service() *Service { return &Service{node: n} }

// Exchange applies a peer's state and returns the node's own.
func (s *Service) Exchange(_ context.Context, state *peerpb.State) (*peerpb.State, error) {
	now := time.Now()
	if state.GetManager() {
		// A manager commits only after every member has admitted it, including
		// members whose roster doesn't list it yet.
		s.node.configuration.AddManager(revision.Member(peer.Identity(state.GetFrom())), now)
	}
	s.node.applyState(state)
	return s.node.state(now, peer.Identity(state.GetFrom()), state.GetManagersDigest()), nil
}

// Push applies a committed change of the configuration.
func (s *Service) Push(_ context.Context, request *peerpb.PushRequest) (*peerpb.PushReply, error) {
	change := peer.Change(request)
	if s.node.configuration.ApplyChange(change) {
		s.node.config.Log.Info("configuration in force", "revision", change.Revision, "source", "push")
		s.node.LogEvacuations("push")
	} else if change.Revision > s.node.configuration.View().State.Revision {
		s.node.PollNow()
	}
	return &peerpb.PushReply{Revision: s.node.configuration.View().State.Revision}, nil
}

// Ask grants permits to a peer.
func (s *Service) Ask(_ context.Context, request *peerpb.AskRequest) (*peerpb.AskReply, error) {
	transferRequest := peer.TransferRequest(request)
	transfer, ok := s.node.ledger.HandleTransferRequest(transferRequest)
	if !ok && !s.node.ledger.IsMember(transferRequest.Team, transferRequest.From) {
		// The team's row may list a new member that this process doesn't know yet.
		s.node.PollNow()
	}
	if !ok {
		return &peerpb.AskReply{}, nil
	}
	return &peerpb.AskReply{Transfer: peer.TransferMessage(transfer)}, nil
}

// Freeze ends the transfers of a generation of permits.
func (s *Service) Freeze(_ context.Context, request *peerpb.FreezeRequest) (*peerpb.FreezeReply, error) {
	freeze, err := peer.Freeze(request)
	if err != nil {
		return nil, twirp.InvalidArgumentError("row", err.Error())
	}
	report, ok := s.node.ledger.Freeze(freeze)
	if !ok {
		return &peerpb.FreezeReply{}, nil
	}
	return &peerpb.FreezeReply{Report: peer.ReportMessage(report)}, nil
}

// errTasksUnsupported is returned by processes that manage no tasks.
var errTasksUnsupported = twirp.NewError(twirp.Unimplemented, "this process manages no tasks")

// SubmitTask implements peerpb.Peer.
func (s *Service) SubmitTask(context.Context, *peerpb.SubmitTaskRequest) (*peerpb.TaskReply, error) {
	return nil, errTasksUnsupported
}

// CancelTask implements peerpb.Peer.
func (s *Service) CancelTask(context.Context, *peerpb.CancelTaskRequest) (*peerpb.TaskReply, error) {
	return nil, errTasksUnsupported
}

// errClaimsUnsupported is returned by processes that hold no claims.
var errClaimsUnsupported = twirp.NewError(twirp.Unimplemented, "this process holds no claims")

// Claim implements peerpb.Peer.
func (s *Service) Claim(context.Context, *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	return nil, errClaimsUnsupported
}

// Finish implements peerpb.Peer.
func (s *Service) Finish(context.Context, *peerpb.FinishRequest) (*peerpb.FinishReply, error) {
	return nil, errClaimsUnsupported
}

// Release implements peerpb.Peer.
func (s *Service) Release(context.Context, *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	return nil, errClaimsUnsupported
}

// Mirror implements peerpb.Peer.
func (s *Service) Mirror(context.Context, *peerpb.MirrorRequest) (*peerpb.MirrorReply, error) {
	return nil, errClaimsUnsupported
}

// KeepCharges implements peerpb.Peer.
func (s *Service) KeepCharges(context.Context, *peerpb.KeepChargesRequest) (*peerpb.KeepChargesReply, error) {
	return nil, errClaimsUnsupported
}
