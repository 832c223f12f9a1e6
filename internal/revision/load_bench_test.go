package revision_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"github.com/lovagedyke/lovagedyke/internal/catalogue"
	"github.com/lovagedyke/lovagedyke/internal/revision"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// BenchmarkTransaction measures changing one entry of a configuration in the
// table, and reports the size of the change that is pushed.
func BenchmarkTransaction(b *testing.B) {
	for _, n := range []int{100, 300, 1000, 3000} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			store, size := table.NewMemory(), 0
			ctx := context.Background()
			_, err := revision.Transaction(ctx, store, revision.Operation{}, func(revision.State) (revision.State, error) {
				return testState(n), nil
			})
			if err != nil {
				b.Fatal(err)
			}
			limit := 0
			b.ReportAllocs()
			for b.Loop() {
				limit++
				change, err := revision.Transaction(ctx, store, revision.Operation{}, func(state revision.State) (revision.State, error) {
					state.Catalogue = state.Catalogue.Clone()
					state.Catalogue.Entries["entry-7"] = catalogue.Entry{Name: "entry-7", Team: "team-1", Limit: limit}
					return state, nil
				})
				if err != nil {
					b.Fatal(err)
				}
				size = 0
				for _, row := range change.Rows {
					size += len(row.Key) + len(row.Value)
				}
			}
			b.ReportMetric(float64(size), "change-bytes")
		})
	}
}

// BenchmarkLoad measures reading a whole configuration from the table, as a new
// process does, and reports the memory that it uses.
func BenchmarkLoad(b *testing.B) {
	for _, n := range []int{100, 300, 1000, 3000} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			store := table.NewMemory()
			ctx := context.Background()
			_, err := revision.Transaction(ctx, store, revision.Operation{}, func(revision.State) (revision.State, error) {
				return testState(n), nil
			})
			if err != nil {
				b.Fatal(err)
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			loaded, err := revision.Load(ctx, store)
			if err != nil {
				b.Fatal(err)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := revision.Load(ctx, store); err != nil {
					b.Fatal(err)
				}
			}
			runtime.KeepAlive(loaded)
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(n), "heap-bytes/entry")
		})
	}
}
