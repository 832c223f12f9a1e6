package charge_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/charge"
	"github.com/lovagedyke/lovagedyke/internal/roster"
)

// BenchmarkBook charges a second's runs and has them committed, and reports
// transactions and bytes. The memory is that of runs buffered in an outage.
func BenchmarkBook(b *testing.B) {
	for _, runs := range []int{100, 300, 1000, 3000, 10000} {
		b.Run(fmt.Sprintf("runs=%d", runs), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			buffered := newBook(runs)
			charged(buffered, start, runs)
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(buffered)
			now, transactions, size := start, 0, 0
			book := newBook(runs)
			b.ReportAllocs()
			for b.Loop() {
				transactions, size = 0, 0
				effects := charged(book, now, runs)
				for len(effects) > 0 || !book.Drained() {
					now = now.Add(250 * time.Millisecond)
					effects = append(effects, book.Tick(now)...)
					if len(effects) == 0 {
						continue
					}
					effect := effects[0]
					effects = effects[1:]
					commit, ok := effect.(charge.Commit)
					if !ok {
						continue
					}
					transactions++
					for _, write := range commit.Txn.Writes {
						size += len(write.Key) + len(write.Value)
					}
					effects = append(effects, book.HandleTableResult(now, commit.Call, nil)...)
				}
			}
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(runs), "heap-bytes/run")
			b.ReportMetric(float64(transactions), "transactions")
			b.ReportMetric(float64(size)/float64(runs), "row-bytes/run")
		})
	}
}

func newBook(runs int) *charge.Recorder {
	return charge.New(charge.Config{
		Self: roster.Identity{Name: "entry-00", Incarnation: 1_700_000_000}, MaxRecords: runs, MaxBatch: 100,
		BatchInterval: 250 * time.Millisecond,
	})
}

// charged answers so many runs and returns the effects.
func charged(book *charge.Recorder, now time.Time, runs int) []charge.Effect {
	var effects []charge.Effect
	for range runs {
		effects = append(effects, book.RecordCharge(now, charge.Charge{
			Run: book.NewRunID(), Team: "team-000", Service: "service-00", Endpoint: "10.1.2.3:9000",
			Started: now, Duration: 50 * time.Millisecond, Outcome: charge.OutcomeSucceeded,
		})...)
	}
	return effects
}
