package peer

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/lovagedyke/lovagedyke/internal/claim"
	"github.com/lovagedyke/lovagedyke/internal/peer/peerpb"
	"github.com/lovagedyke/lovagedyke/internal/roster"
)

// IdentityMessage encodes the identity of a process.
func IdentityMessage(id roster.Identity) *peerpb.Identity {
	return &peerpb.Identity{Name: id.Name, Incarnation: id.Incarnation}
}

// Identity decodes the identity of a process.
func Identity(m *peerpb.Identity) roster.Identity {
	return roster.Identity{Name: m.GetName(), Incarnation: m.GetIncarnation()}
}

// TokenMessage encodes the token of an attempt.
func TokenMessage(t claim.Token) *peerpb.Token {
	return &peerpb.Token{
		Claimant: IdentityMessage(t.Claimant), Home: IdentityMessage(t.Primary), Sequence: t.Sequence,
	}
}

// Token decodes the token of an attempt.
func Token(m *peerpb.Token) claim.Token {
	return claim.Token{
		Claimant: Identity(m.GetClaimant()), Primary: Identity(m.GetHome()), Sequence: m.GetSequence(),
	}
}

// ClaimIDMessage encodes the ID of an idempotent request.
func ClaimIDMessage(id claim.ID) *peerpb.ClaimId {
	return &peerpb.ClaimId{Team: id.Team, Service: id.Service, Key: id.Key}
}

// ClaimID decodes the ID of an idempotent request.
func ClaimID(m *peerpb.ClaimId) claim.ID {
	return claim.ID{Team: m.GetTeam(), Service: m.GetService(), Key: m.GetKey()}
}

// ClaimMessage encodes a claim request.
func ClaimMessage(r claim.Request) *peerpb.ClaimRequest {
	return &peerpb.ClaimRequest{
		Id: ClaimIDMessage(r.ID), Digest: r.Digest, Token: TokenMessage(r.Token),
		RosterVersion: r.Version, RunLimit: durationpb.New(r.RunLimit),
	}
}

// Claim decodes a claim request.
func Claim(m *peerpb.ClaimRequest) claim.Request {
	return claim.Request{
		ID: ClaimID(m.GetId()), Digest: m.GetDigest(), Token: Token(m.GetToken()),
		Version: m.GetRosterVersion(), RunLimit: m.GetRunLimit().AsDuration(),
	}
}

// AnswerMessage encodes the primary's answer to a claimant.
func AnswerMessage(a claim.Answer) (*peerpb.ClaimReply, error) {
	record, err := json.Marshal(a.Record)
	if err != nil {
		return nil, errors.Wrap(err, "encode claim record")
	}
	reply := &peerpb.ClaimReply{
		Outcome: string(a.Outcome), Reason: string(a.Reason),
		Record: record, RosterVersion: a.Version,
	}
	if !a.RetryAt.IsZero() {
		reply.RetryAt = timestamppb.New(a.RetryAt)
	}
	return reply, nil
}

// Answer decodes the primary's answer to the claim request with the token.
func Answer(token claim.Token, m *peerpb.ClaimReply) (claim.Answer, error) {
	record, err := Record(m.GetRecord())
	if err != nil {
		return claim.Answer{}, err
	}
	var retryAt time.Time
	if m.GetRetryAt() != nil {
		retryAt = m.GetRetryAt().AsTime()
	}
	return claim.Answer{
		Token: token, Outcome: claim.Outcome(m.GetOutcome()), Reason: claim.Reason(m.GetReason()),
		Record: record, Version: m.GetRosterVersion(), RetryAt: retryAt,
	}, nil
}

// RecordMessage encodes a claim record in the format of its table row.
func RecordMessage(record claim.Record) ([]byte, error) {
	encoded, err := json.Marshal(record)
	return encoded, errors.Wrap(err, "encode claim record")
}

// Record decodes a claim record.
func Record(encoded []byte) (claim.Record, error) {
	var record claim.Record
	err := json.Unmarshal(encoded, &record)
	return record, errors.Wrap(err, "decode claim record")
}

// ResultMessage encodes the recorded response of a run, which may be nil.
func ResultMessage(r *claim.Result) *peerpb.Result {
	if r == nil {
		return nil
	}
	m := &peerpb.Result{Status: int32(r.Status), Body: r.Body, Whole: r.Complete}
	for name, values := range r.Header {
		m.Header = append(m.Header, &peerpb.HeaderField{Name: name, Values: values})
	}
	return m
}

// Result decodes the recorded response of a run, which may be nil.
func Result(m *peerpb.Result) *claim.Result {
	if m == nil {
		return nil
	}
	r := &claim.Result{
		Status: int(m.GetStatus()), Header: make(map[string][]string, len(m.GetHeader())),
		Body: m.GetBody(), Complete: m.GetWhole(),
	}
	for _, field := range m.GetHeader() {
		r.Header[field.GetName()] = field.GetValues()
	}
	return r
}
