package node

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/lovagedyke/lovagedyke/internal/peer"
	"github.com/lovagedyke/lovagedyke/internal/peer/peerpb"
	"github.com/lovagedyke/lovagedyke/internal/revision"
)

// Service answers the peer calls that every process answers. Processes that
// hold claims embed it and replace the other methods.
type Service struct {
	node *Node
}

// Service returns the node's answers to peers.
func (n *Node) Service() *Service { return &Service{node: n} }

// Exchange takes a peer's state and returns the node's own.
func (s *Service) Exchange(_ context.Context, state *peerpb.State) (*peerpb.State, error) {
	now := time.Now()
	if state.GetManager() {
		// A manager commits only once every member knows it, also those whose
		// roster does not have it yet.
		s.node.configuration.AddManager(revision.Member(peer.Identity(state.GetFrom())), now)
	}
	s.node.absorb(state)
	return s.node.state(now, peer.Identity(state.GetFrom()), state.GetManagersDigest()), nil
}

// Push takes a committed change of the configuration.
func (s *Service) Push(_ context.Context, request *peerpb.PushRequest) (*peerpb.PushReply, error) {
	change := peer.Change(request)
	if s.node.configuration.ApplyChange(change) {
		s.node.config.Log.Info("configuration in force", "revision", change.Revision, "source", "push")
	} else if change.Revision > s.node.configuration.View().State.Revision {
		s.node.PollNow()
	}
	return &peerpb.PushReply{Revision: s.node.configuration.View().State.Revision}, nil
}

// Ask gives permits to a peer.
func (s *Service) Ask(_ context.Context, request *peerpb.AskRequest) (*peerpb.AskReply, error) {
	ask := peer.Ask(request)
	transfer, ok := s.node.ledger.HandleTransferRequest(ask)
	if !ok && !s.node.ledger.IsMember(ask.Team, ask.From) {
		// The team's row lists a new member that this process has not read of.
		s.node.PollNow()
	}
	if !ok {
		return &peerpb.AskReply{}, nil
	}
	return &peerpb.AskReply{Transfer: peer.TransferMessage(transfer)}, nil
}

// Freeze ends the trade of a generation of permits.
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

// errNoTasks answers calls on tasks at a process that manages none.
var errNoTasks = twirp.NewError(twirp.Unimplemented, "this process manages no tasks")

// SubmitTask implements peerpb.Peer.
func (s *Service) SubmitTask(context.Context, *peerpb.SubmitTaskRequest) (*peerpb.TaskReply, error) {
	return nil, errNoTasks
}

// CancelTask implements peerpb.Peer.
func (s *Service) CancelTask(context.Context, *peerpb.CancelTaskRequest) (*peerpb.TaskReply, error) {
	return nil, errNoTasks
}

// errNoClaims answers calls on claims at a process that holds none.
var errNoClaims = twirp.NewError(twirp.Unimplemented, "this process holds no claims")

// Claim implements peerpb.Peer.
func (s *Service) Claim(context.Context, *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	return nil, errNoClaims
}

// Finish implements peerpb.Peer.
func (s *Service) Finish(context.Context, *peerpb.FinishRequest) (*peerpb.FinishReply, error) {
	return nil, errNoClaims
}

// Release implements peerpb.Peer.
func (s *Service) Release(context.Context, *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	return nil, errNoClaims
}

// Mirror implements peerpb.Peer.
func (s *Service) Mirror(context.Context, *peerpb.MirrorRequest) (*peerpb.MirrorReply, error) {
	return nil, errNoClaims
}

// KeepCharges implements peerpb.Peer.
func (s *Service) KeepCharges(context.Context, *peerpb.KeepChargesRequest) (*peerpb.KeepChargesReply, error) {
	return nil, errNoClaims
}
