package entry

import (
	"context"

	"github.com/twitchtv/twirp"

	"github.com/lovagedyke/lovagedyke/internal/claim"
	"github.com/lovagedyke/lovagedyke/internal/node"
	"github.com/lovagedyke/lovagedyke/internal/peer"
	"github.com/lovagedyke/lovagedyke/internal/peer/peerpb"
)

// peerService serves the peer calls of an entry.
type peerService struct {
	*node.Service
	entry *Entry
}

// Service returns the server for calls from peers.
func (e *Entry) Service() peerpb.Peer {
	return &peerService{Service: e.node.Service(), entry: e}
}

// Claim decides on a claim as the primary of its ID.
func (s *peerService) Claim(ctx context.Context, request *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	answer, err := s.entry.claims.requestLocal(ctx, peer.Claim(request))
	if err != nil {
		return nil, unavailable(err)
	}
	reply, err := peer.AnswerMessage(answer)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return reply, nil
}

// Finish records the outcome of a granted attempt.
func (s *peerService) Finish(_ context.Context, request *peerpb.FinishRequest) (*peerpb.FinishReply, error) {
	record, err := peer.Record(request.GetRecord())
	if err != nil {
		return nil, twirp.InvalidArgumentError("record", err.Error())
	}
	recorded := s.entry.claims.finishLocal(record, claim.State(request.GetState()), peer.Result(request.GetResult()))
	return &peerpb.FinishReply{Recorded: recorded}, nil
}

// Release records that a granted attempt will never be dispatched.
func (s *peerService) Release(_ context.Context, request *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	posted := s.entry.claims.releaseLocal(peer.ClaimID(request.GetId()), peer.Token(request.GetToken()))
	return &peerpb.ReleaseReply{Taken: posted}, nil
}

// Mirror records a claim as the secondary of its ID.
func (s *peerService) Mirror(ctx context.Context, request *peerpb.MirrorRequest) (*peerpb.MirrorReply, error) {
	record, err := peer.Record(request.GetRecord())
	if err != nil {
		return nil, twirp.InvalidArgumentError("record", err.Error())
	}
	confirm, err := s.entry.claims.mirrorLocal(ctx, claim.AskSecondary{
		To: s.entry.node.Self(), From: peer.Identity(request.GetFrom()),
		Version: request.GetRosterVersion(), Record: record,
	})
	if err != nil {
		return nil, unavailable(err)
	}
	encoded, err := peer.RecordMessage(confirm.Record)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peerpb.MirrorReply{RosterVersion: confirm.Version, Record: encoded, Recorded: confirm.Recorded}, nil
}

// KeepCharges holds a peer's charges until they are in the table.
func (s *peerService) KeepCharges(_ context.Context, request *peerpb.KeepChargesRequest) (*peerpb.KeepChargesReply, error) {
	entries, err := peer.Charges(request.GetEntries())
	if err != nil {
		return nil, twirp.InvalidArgumentError("entries", err.Error())
	}
	forgotten, err := peer.Charges(request.GetForgotten())
	if err != nil {
		return nil, twirp.InvalidArgumentError("forgotten", err.Error())
	}
	held, err := peer.ChargeMessages(s.entry.charges.holdForPeer(peer.Identity(request.GetFrom()), entries, forgotten))
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peerpb.KeepChargesReply{Held: held}, nil
}

// unavailable returns the error for a call that this process cannot serve now.
func unavailable(err error) error {
	return twirp.NewError(twirp.Unavailable, err.Error())
}
