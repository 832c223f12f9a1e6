package member

import (
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/table"
)

// Guards against a transaction that the store refuses for good and that counts as not tried, since a
// peer has relayed it.
func TestOutcomesThroughPeers(t *testing.T) {
	tests := map[string]error{
		"done":        nil,
		"unknown":     table.ErrUnknown,
		"refused":     table.ErrRefused,
		"in conflict": &table.ConflictError{Key: "a/b/c", Want: 3, Got: 4},
	}
	txn := table.Txn{Conditions: []table.Condition{{Key: "a/b/c", Version: 3}}}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			got := decodeOutcome(txn, encodeOutcome(5, want))
			if got == nil && want == nil || errors.Is(got, want) {
				return
			}
			if conflict := (*table.ConflictError)(nil); !errors.As(got, &conflict) || *conflict != *want.(*table.ConflictError) {
				t.Errorf("outcome: got %v, want %v", got, want)
			}
		})
	}
}
