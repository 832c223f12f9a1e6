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

// AskMessage encodes a request for permits.
func TransferRequestMessage(a limit.TransferRequest) *peerpb.AskRequest {
	return &peerpb.AskRequest{
		Team: a.Team, Generation: a.Generation,
		From: string(a.From), To: string(a.To), Want: int32(a.Want), Holding: int32(a.Holding),
	}
}

// Ask decodes a request for permits.
func TransferRequest(m *peerpb.AskRequest) limit.TransferRequest {
	return limit.TransferRequest{
		Team: m.GetTeam(), Generation: m.GetGeneration(),
		From: limit.Member(m.GetFrom()), To: limit.Member(m.GetTo()), Want: int(m.GetWant()), Holding: int(m.GetHolding()),
	}
}

// PermitsMessage encodes what a member tells its peers of one team.
func PermitsMessage(s limit.Status) *peerpb.Permits {
	return &peerpb.Permits{
		Team: s.Team, Generation: s.Generation,
		Holding: int32(s.Holding), InUse: int32(s.InUse), Idle: int32(s.Idle),
	}
}

// Permits decodes what a peer tells of one team.
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
		Sent: totalsMessage(r.Sent), Received: totalsMessage(r.Received),
	}
}

// Report decodes a frozen member's report.
func Report(m *peerpb.Report) limit.Report {
	return limit.Report{
		Team: m.GetTeam(), Generation: m.GetGeneration(), Member: limit.Member(m.GetMember()),
		Holding: int(m.GetHolding()), InUse: int(m.GetInUse()),
		Sent: totals(m.GetSent()), Received: totals(m.GetReceived()),
	}
}

// FreezeMessage encodes a request to end a generation's trade.
func FreezeMessage(f limit.FreezeRequest) (*peerpb.FreezeRequest, error) {
	row, err := json.Marshal(f.Row)
	if err != nil {
		return nil, errors.Wrap(err, "encode limit row")
	}
	return &peerpb.FreezeRequest{To: string(f.To), Row: row, Mode: string(f.Mode), Keep: int64(f.Keep)}, nil
}

// Freeze decodes a request to end a generation's trade.
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

// totalsMessage encodes totals by member.
func totalsMessage(totals map[limit.Member]int) map[string]int64 {
	encoded := make(map[string]int64, len(totals))
	for member, total := range totals {
		encoded[string(member)] = int64(total)
	}
	return encoded
}

// totals decodes totals by member.
func totals(encoded map[string]int64) map[limit.Member]int {
	decoded := make(map[limit.Member]int, len(encoded))
	for member, total := range encoded {
		decoded[limit.Member(member)] = int(total)
	}
	return decoded
}
