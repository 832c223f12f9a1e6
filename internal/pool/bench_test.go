package pool_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/lovagedyke/lovagedyke/internal/pool"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// BenchmarkAssignments reads all hosts' rows, as every process does at each
// poll.
func BenchmarkAssignments(b *testing.B) {
	for _, hosts := range []int{50, 200, 600, 1700} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			store, size := assigned(b, hosts)
			b.ReportAllocs()
			for b.Loop() {
				rows, err := store.Scan(context.Background(), pool.KeyPrefix)
				if err != nil {
					b.Fatal(err)
				}
				for _, row := range rows {
					if _, err := pool.Decode(row); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64(size), "row-bytes")
		})
	}
}

// assigned returns a table with so many hosts' rows, and the rows' bytes.
func assigned(b *testing.B, hosts int) (store *table.Memory, size int) {
	b.Helper()
	store = table.NewMemory()
	for i := range hosts {
		host := fmt.Sprintf("worker-%04d", i)
		txn, err := pool.UpdateTxn(table.Row{Key: pool.Key(host)}, pool.Assign(host, fmt.Sprintf("pool-%02d", i%27)))
		if err != nil {
			b.Fatal(err)
		}
		size += len(txn.Writes[0].Key) + len(txn.Writes[0].Value)
		if err := store.Commit(context.Background(), txn); err != nil {
			b.Fatal(err)
		}
	}
	return store, size
}
