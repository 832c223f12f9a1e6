package claim_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/lovagedyke/lovagedyke/internal/claim"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// BenchmarkClaim takes one id from request to grant and reports the memory
// that a held claim keeps. The table answers at once.
func BenchmarkClaim(b *testing.B) {
	w := newWorld(seeded(1), rules{})
	p := w.procs[0]
	r, _ := roster.Join(roster.Roster{}, p.view.Members[0], start)
	holder := claim.New(claim.Config{Self: p.self, MaxEntries: b.N + 1})
	holder.ApplyRoster(start, r, 1)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range b.N {
		id := claim.ID{Team: "tanoa", Service: "orders", Key: fmt.Sprintf("018f6b1e-7c1a-7000-8000-%012d", i)}
		effects := holder.Request(start, claim.Request{ID: id, Digest: "d", Version: r.Version, Token: claim.Token{Claimant: p.self, Primary: p.self, Sequence: uint64(i)}})
		for len(effects) > 0 {
			effect := effects[0]
			effects = effects[1:]
			switch effect := effect.(type) {
			case claim.Get:
				rows := []table.Row{{Key: effect.Keys[0]}}
				effects = append(effects, holder.HandleTableResult(start, claim.TableResult{Call: effect.Call, Rows: rows})...)
			case claim.Commit:
				effects = append(effects, holder.HandleTableResult(start, claim.TableResult{Call: effect.Call})...)
			}
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "B/claim")
	runtime.KeepAlive(holder)
}

// BenchmarkRosterChange is the processor time of one change at one entry.
func BenchmarkRosterChange(b *testing.B) {
	for _, entries := range []int{4, 7, 14, 28, 56} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			var r roster.Roster
			for i := range entries {
				r, _ = roster.Join(r, roster.Member{
					Identity: roster.Identity{Name: fmt.Sprintf("entry-%02d", i), Incarnation: 1},
					Role:     roster.RoleEntry, DataCentre: fmt.Sprint(i % 3), State: roster.StateActive,
				}, start)
			}
			r.Past = r.Past[max(0, len(r.Past)-1):]
			holder := claim.New(claim.Config{Self: r.Members[0].Identity})
			b.ResetTimer()
			for i := range b.N {
				r.Version++
				holder.ApplyRoster(start, r, uint64(i+1))
			}
			b.ReportMetric(float64(len(r.Encode())), "B/row")
		})
	}
}
