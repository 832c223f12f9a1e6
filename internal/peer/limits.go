package peer

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/limit"
	"github.com/lovagedyke/lovagedyke/internal/peer/peerpb"
)

// TransferMessage encodes a transfer of permits.
func TransferMessage(t limit.Transfer) *peerpb.Transfer {
	return &peerpb.Transfer{
		Team: t.Team, Generation: t.Generation,
		From: string(t.From), To: string(t.To), Total: int64(t.Total),
	}
}

// Transfer decodes a transfer of permits.
func Transfer(m *peerpb.Transfer) limit.Transfer {
	return limit.Transfer{
		Team: m.GetTeam(), Generation: m.GetGeneration(),
		From: limit.Member(m.GetFrom()), To: limit.Member(m.GetTo()), Total: int(m.GetTotal()),
	}
}

// TransferRequestMessage encodes a request for a transfer of permits.
func TransferRequestMessage(r limit.TransferRequest) *peerpb.AskRequest {
	return &peerpb.AskRequest{
		Team: r.Team, Generation: r.Generation,
		From: string(r.From), To: string(r.To), Want: int32(r.Want), Holding: int32(r.Holding),
	}
}

// TransferRequest decodes a request for a transfer of permits.
func TransferRequest(m *peerpb.AskRequest) limit.TransferRequest {
	return limit.TransferRequest{
		Team: m.GetTeam(), Generation: m.GetGeneration(),
		From: limit.Member(m.GetFrom()), To: limit.Member(m.GetTo()), Want: int(m.GetWant()), Holding: int(m.GetHolding()),
	}
}

// PermitsMessage encodes a member's status of one team's permits.
func PermitsMessage(s limit.Status) *peerpb.Permits {
	return &peerpb.Permits{
		Team: s.Team, Generation: s.Generation,
		Holding: int32(s.Holding), InUse: int32(s.InUse), Idle: int32(s.Idle),
	}
}

// Permits decodes a peer's status of one team's permits.
func Permits(m *peerpb.Permits) limit.Status {
	return limit.Status{
		Team: m.GetTeam(), Generation: m.GetGeneration(),
		Holding: int(m.GetHolding()), InUse: int(m.GetInUse()), Idle: int(m.GetIdle()),
	}
}

// ReportMessage encodes a frozen member's report.
func ReportMessage(r limit.Report) *peerpb.Report {
	return &peerpb.Report{
		Team: r.Team, Generation: r.Generation, Member: string(r.Member),
		Holding: int64(r.Holding), InUse: int64(r.InUse),
		Sent: encodeTotals(r.Sent), Received: encodeTotals(r.Received),
	}
}

// Report decodes a frozen member's report.
func Report(m *peerpb.Report) limit.Report {
	return limit.Report{
		Team: m.GetTeam(), Generation: m.GetGeneration(), Member: limit.Member(m.GetMember()),
		Holding: int(m.GetHolding()), InUse: int(m.GetInUse()),
		Sent: decodeTotals(m.GetSent()), Received: decodeTotals(m.GetReceived()),
	}
}

// FreezeMessage encodes a request to freeze a generation's transfers.
func FreezeMessage(f limit.FreezeRequest) (*peerpb.FreezeRequest, error) {
	row, err := json.Marshal(f.Row)
	if err != nil {
		return nil, errors.Wrap(err, "encode limit row")
	}
	return &peerpb.FreezeRequest{To: string(f.To), Row: row, Mode: string(f.Mode), Keep: int64(f.Keep)}, nil
}

// Freeze decodes a request to freeze a generation's transfers.
func Freeze(m *peerpb.FreezeRequest) (limit.FreezeRequest, error) {
	row, err := limit.ParseAllocation(m.GetRow())
	if err != nil {
		return limit.FreezeRequest{}, errors.Wrap(err, "decode limit row")
	}
	return limit.FreezeRequest{
		To: limit.Member(m.GetTo()), Row: row,
		Mode: limit.FreezeMode(m.GetMode()), Keep: int(m.GetKeep()),
	}, nil
}

// encodeTotals encodes the totals of permits transferred, keyed by member.
func encodeTotals(totals map[limit.Member]int) map[string]int64 {
	encoded := make(map[string]int64, len(totals))
	for member, total := range totals {
		encoded[string(member)] = int64(total)
	}
	return encoded
}

// decodeTotals decodes the totals of permits transferred, keyed by member.
func decodeTotals(encoded map[string]int64) map[limit.Member]int {
	decoded := make(map[limit.Member]int, len(encoded))
	for member, total := range encoded {
		decoded[limit.Member(member)] = int(total)
	}
	return decoded
}
