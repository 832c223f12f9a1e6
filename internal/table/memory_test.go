package table_test

import (
	"context"
	"testing"

	"github.com/lovagedyke/lovagedyke/internal/table"
)

func TestMemoryCommit(t *testing.T) {
	tests := map[string]struct {
		faults       table.Faults
		condition    uint64
		wantConflict bool
		wantUnknown  bool
		wantErr      bool
		wantApplied  bool
	}{
		"absent row":     {condition: table.Absent, wantApplied: true},
		"stale version":  {condition: 7, wantConflict: true, wantErr: true},
		"store is down":  {faults: table.Faults{Down: true}, wantErr: true},
		"answer is lost": {faults: table.Faults{LoseAnswers: true}, wantUnknown: true, wantErr: true, wantApplied: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			store := table.NewMemory()
			store.SetFaults(tc.faults)
			err := store.Commit(ctx, table.Txn{
				Conditions: []table.Condition{{Key: "a", Version: tc.condition}},
				Writes:     []table.Write{{Key: "a", Value: []byte("1")}},
			})
			if got := table.IsConflict(err); got != tc.wantConflict {
				t.Errorf("conflict: got %v, want %v", got, tc.wantConflict)
			}
			if got := table.IsUnknown(err); got != tc.wantUnknown {
				t.Errorf("unknown: got %v, want %v", got, tc.wantUnknown)
			}
			if got := err != nil; got != tc.wantErr {
				t.Errorf("error: got %v, want error %v", err, tc.wantErr)
			}
			store.SetFaults(table.Faults{})
			rows, err := store.Get(ctx, "a")
			if err != nil {
				t.Fatal(err)
			}
			if got := rows[0].Version != table.Absent; got != tc.wantApplied {
				t.Errorf("applied: got %v, want %v", got, tc.wantApplied)
			}
		})
	}
}
