package member

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/member/memberpb"
	"github.com/lovagedyke/lovagedyke/internal/policy"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// Fleet is the local fleet leader, as the other processes call it.
type Fleet interface {
	// Leading reports whether this process leads and has loaded all jobs.
	Leading() bool
	Accept(submissions [][]byte) bool
	Cancel(id job.ID) bool
	State(id job.ID) (state job.State, known bool)
	Waiting() map[string]int
	// Outlook returns the encoded outlook for new jobs, without waiting for decisions, or
	// nil if there is none.
	Outlook() []byte
}

// PolicyHolder is this process's copy of the operators' configuration.
type PolicyHolder interface {
	// NewerThan returns the version in force, and the configuration if it is newer
	// than have.
	NewerThan(have uint64) (version uint64, value []byte)
	// PartAfter returns the part of the compressed configuration that follows after a
	// position, or false if the version in force is not newer than have.
	PartAfter(have uint64, after policy.Position) (policy.Part, bool)
}

// ServiceConfig configures a Service.
type ServiceConfig struct {
	Node   *Node
	Fleet  Fleet
	Policy PolicyHolder
	// OnPolicyHint is called when another process announces the version of its
	// configuration; it must return at once.
	OnPolicyHint func(version uint64, from record.Member)
}

// Service handles the calls of the other processes.
type Service struct {
	config ServiceConfig
}

// NewService returns the handler of calls between processes.
func NewService(config ServiceConfig) *Service {
	return &Service{config: config}
}

// Hello implements memberpb.Member.
func (s *Service) Hello(_ context.Context, view *memberpb.View) (*memberpb.View, error) {
	s.config.Node.applyView(view, time.Now())
	return s.config.Node.view(view.MembersVersion), nil
}

// Lead implements memberpb.Member.
func (s *Service) Lead(_ context.Context, request *memberpb.LeadRequest) (*memberpb.LeadReply, error) {
	if !s.config.Node.acceptTakeover(request.Token) {
		return nil, twirp.NewError(twirp.Unavailable, "this process is stopping, too")
	}
	return &memberpb.LeadReply{}, nil
}

// Accept implements memberpb.Member.
func (s *Service) Accept(_ context.Context, request *memberpb.AcceptRequest) (*memberpb.LeaderReply, error) {
	leading := s.config.Fleet.Accept(request.Submissions)
	return &memberpb.LeaderReply{Leading: leading, Outlook: s.config.Fleet.Outlook()}, nil
}

// Cancel implements memberpb.Member.
func (s *Service) Cancel(_ context.Context, request *memberpb.CancelRequest) (*memberpb.LeaderReply, error) {
	return &memberpb.LeaderReply{Leading: s.config.Fleet.Cancel(job.ID(request.Id))}, nil
}

// State implements memberpb.Member.
func (s *Service) State(_ context.Context, request *memberpb.StateRequest) (*memberpb.StateReply, error) {
	if !s.config.Fleet.Leading() {
		return &memberpb.StateReply{}, nil
	}
	state, known := s.config.Fleet.State(job.ID(request.Id))
	return &memberpb.StateReply{Leading: true, Known: known, State: string(state)}, nil
}

// Waiting implements memberpb.Member.
func (s *Service) Waiting(_ context.Context, _ *memberpb.WaitingRequest) (*memberpb.WaitingReply, error) {
	if !s.config.Fleet.Leading() {
		return &memberpb.WaitingReply{}, nil
	}
	reply := &memberpb.WaitingReply{Leading: true, Waiting: map[string]int64{}}
	for queue, count := range s.config.Fleet.Waiting() {
		reply.Waiting[queue] = int64(count)
	}
	return reply, nil
}

// Policy implements memberpb.Member.
func (s *Service) Policy(_ context.Context, request *memberpb.PolicyRequest) (*memberpb.PolicyReply, error) {
	if request.InParts {
		after := policy.Position{Version: request.Version, Checksum: request.Checksum, Offset: int(request.Offset)}
		part, isNewer := s.config.Policy.PartAfter(request.Have, after)
		if !isNewer {
			return &memberpb.PolicyReply{}, nil
		}
		return &memberpb.PolicyReply{
			Version: part.Version, Part: part.Data, Offset: int64(part.Offset), Size: int64(part.Size), Checksum: part.Checksum,
		}, nil
	}
	version, value := s.config.Policy.NewerThan(request.Have)
	return &memberpb.PolicyReply{Version: version, Value: value}, nil
}

// PolicyHint implements memberpb.Member.
func (s *Service) PolicyHint(_ context.Context, request *memberpb.PolicyHintRequest) (*memberpb.LeadReply, error) {
	if from, ok := decodeAddress(request.From); ok {
		s.config.OnPolicyHint(request.Version, from)
	}
	return &memberpb.LeadReply{}, nil
}

// Get implements memberpb.Member. It calls the store directly: a relayed call is
// not relayed again.
func (s *Service) Get(ctx context.Context, request *memberpb.GetRequest) (*memberpb.RowsReply, error) {
	rows, err := s.config.Node.config.Store.Get(ctx, request.Keys...)
	return s.rows(rows, err)
}

// Scan implements memberpb.Member.
func (s *Service) Scan(ctx context.Context, request *memberpb.ScanRequest) (*memberpb.RowsReply, error) {
	rows, err := s.config.Node.config.Store.Scan(ctx, request.Prefix)
	return s.rows(rows, err)
}

func (s *Service) rows(rows []table.Row, err error) (*memberpb.RowsReply, error) {
	s.config.Node.observeStore(err)
	if errors.Is(err, table.ErrUnavailable) {
		return &memberpb.RowsReply{Unavailable: true}, nil
	}
	return &memberpb.RowsReply{Rows: encodeRows(rows)}, err
}

// Commit implements memberpb.Member.
func (s *Service) Commit(ctx context.Context, request *memberpb.CommitRequest) (*memberpb.CommitReply, error) {
	version, err := s.config.Node.commit(ctx, decodeCommit(request))
	return encodeOutcome(version, err), nil
}
