package peer_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/lovagedyke/lovagedyke/internal/claim"
	"github.com/lovagedyke/lovagedyke/internal/limit"
	"github.com/lovagedyke/lovagedyke/internal/peer"
	"github.com/lovagedyke/lovagedyke/internal/peer/peerpb"
)

// encodeTwice encodes value, decodes the result and encodes it again. It returns
// both encodings.
func encodeTwice[V any](t *testing.T, value V, encode func(V) ([]byte, error), decode func([]byte) (V, error)) (first, second []byte) {
	t.Helper()
	first, err := encode(value)
	if err != nil {
		t.Fatalf("a value that was decoded does not encode: %v", err)
	}
	value, err = decode(first)
	if err != nil {
		t.Fatalf("%q does not decode again: %v", first, err)
	}
	second, err = encode(value)
	if err != nil {
		t.Fatal(err)
	}
	return first, second
}

func FuzzRecord(f *testing.F) {
	for _, encoded := range []string{``, `{}`, `null`, `{"state":"ran","result":{"status":200,"body":"AA==","whole":true}}`, `{"expires":"2026-01-01T00:00:00Z"}`} {
		f.Add([]byte(encoded))
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		record, err := peer.Record(encoded)
		if err != nil {
			return
		}
		if got, want := encodeTwice(t, record, peer.RecordMessage, peer.Record); !bytes.Equal(got, want) {
			t.Errorf("got %s, want %s", got, want)
		}
	})
}

func FuzzCharges(f *testing.F) {
	for _, encoded := range []string{``, `{}`, `null`, `{"charge":{"run":{"entry":{"name":"e","incarnation":1},"sequence":7},"team":"t","started":"2026-01-01T00:00:00Z"},"reason":"cut"}`} {
		f.Add([]byte(encoded))
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		entries, err := peer.Charges([][]byte{encoded})
		if err != nil {
			return
		}
		messages, err := peer.ChargeMessages(entries)
		if err != nil {
			t.Fatal(err)
		}
		if decoded, err := peer.Charges(messages); err != nil || len(decoded) != 1 || decoded[0].Charge.Run != entries[0].Charge.Run {
			t.Errorf("got %+v, %v, want %+v", decoded, err, entries)
		}
	})
}

// FuzzFreeze checks that a ledger handles any decoded freeze request: it never
// reports a negative number of permits.
func FuzzFreeze(f *testing.F) {
	for _, row := range []string{
		``, `{}`, `{"team":"t","generation":2,"limit":5,"granted":{"a/1":3,"b/1":2}}`, `{"team":"t","generation":1,"limit":5,"granted":{"a/1":-3}}`,
		`{"team":"t","generation":3,"limit":1,"granted":{"b/1":1},"carried":{"a/1":{"generation":1,"bound":2}}}`,
	} {
		f.Add([]byte(row), "only", int64(0))
		f.Add([]byte(row), "trim", int64(1))
		f.Add([]byte(row), "hold", int64(-1))
	}
	f.Fuzz(func(t *testing.T, row []byte, mode string, keep int64) {
		encoded, err := proto.Marshal(&peerpb.FreezeRequest{To: "a/1", Row: row, Mode: "only", Keep: keep})
		if err != nil {
			return
		}
		message := &peerpb.FreezeRequest{}
		if err := proto.Unmarshal(encoded, message); err != nil {
			t.Fatal(err)
		}
		message.Mode = mode
		request, err := peer.Freeze(message)
		if err != nil {
			return
		}
		if _, err := peer.FreezeMessage(request); err != nil {
			t.Fatalf("a request that was decoded does not encode: %v", err)
		}
		ledger := limit.New(limit.Config{Self: "a/1"})
		ledger.Apply(limit.Allocation{Team: "t", Generation: 1, Limit: 5, Granted: map[limit.Member]int{"a/1": 3, "b/1": 2}})
		ledger.Acquire("t")
		report, ok := ledger.Freeze(request)
		if ok && report.Holding < 0 {
			t.Errorf("holding: got %d, want none or more", report.Holding)
		}
		ledger.Release("t")
	})
}

func FuzzAnswer(f *testing.F) {
	f.Add([]byte(nil))
	for _, record := range []string{`{}`, `{"state":"running"}`, `x`} {
		encoded, err := proto.Marshal(&peerpb.ClaimReply{Outcome: "ran", Reason: "r", Record: []byte(record), RosterVersion: 3})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		reply := &peerpb.ClaimReply{}
		if err := proto.Unmarshal(encoded, reply); err != nil {
			return
		}
		answer, err := peer.Answer(claim.Token{Sequence: 1}, reply)
		if err != nil {
			return
		}
		if _, err := json.Marshal(answer.Record); err != nil {
			t.Fatalf("a record that was decoded does not encode: %v", err)
		}
	})
}
