package pool_test

import (
	"testing"

	"github.com/lovagedyke/lovagedyke/internal/pool"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// An assignment that decodes keeps its meaning when it is written and read
// again, and every step from it raises the epoch.
func FuzzDecode(f *testing.F) {
	for _, value := range []string{
		``, `{}`, `null`, `[]`, `{"epoch":-1}`, `{"host":"h","pool":"a","epoch":1,"phase":"serving"}`,
		`{"host":"h","pool":"a","epoch":2,"phase":"draining","purpose":"move","target":"b"}`,
		`{"host":"h","pool":"a","epoch":18446744073709551615,"phase":"drained","purpose":"maintenance"}`,
	} {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		want, err := pool.Decode(table.Row{Key: "pool/host/h", Value: value, Version: 1})
		if err != nil {
			return
		}
		txn, err := pool.UpdateTxn(table.Row{Key: "pool/host/h", Version: 1}, want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := pool.Decode(table.Row{Key: "pool/host/h", Value: txn.Writes[0].Value, Version: 2})
		if err != nil || got != want {
			t.Errorf("got %+v, %v, want %+v", got, err, want)
		}
		drained, drainErr := pool.Drain(want, pool.Move, "b")
		settled, settleErr := pool.CompleteDrain(want)
		returned, returnErr := pool.Return(want)
		steps := map[string]struct {
			next pool.Assignment
			err  error
		}{"drain": {drained, drainErr}, "settle": {settled, settleErr}, "return": {returned, returnErr}}
		for name, step := range steps {
			if step.err == nil && step.next.Epoch != want.Epoch+1 {
				t.Errorf("%s: got epoch %d, want %d", name, step.next.Epoch, want.Epoch+1)
			}
		}
	})
}
