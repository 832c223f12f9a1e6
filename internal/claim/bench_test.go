package claim_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/lovagedyke/lovagedyke/internal/claim"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// BenchmarkClaim measures a claim from request to grant with a table without
// latency, and reports the heap bytes per claim held.
func BenchmarkClaim(b *testing.B) {
	sim := newSimulation(seededChooser(1), mutations{})
	p := sim.processes[0]
	r, _ := roster.Join(roster.Roster{}, p.roster.Members[0], startTime)
	replica := claim.New(claim.Config{Self: p.self, MaxEntries: b.N + 1})
	replica.ApplyRoster(startTime, r, 1)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range b.N {
		id := claim.ID{Team: "tanoa", Service: "orders", Key: fmt.Sprintf("018f6b1e-7c1a-7000-8000-%012d", i)}
		effects := replica.Request(startTime, claim.Request{ID: id, Digest: "d", Version: r.Version, Token: claim.Token{Claimant: p.self, Primary: p.self, Sequence: uint64(i)}})
		for len(effects) > 0 {
			effect := effects[0]
			effects = effects[1:]
			switch effect := effect.(type) {
			case claim.Get:
				rows := []table.Row{{Key: effect.Keys[0]}}
				effects = append(effects, replica.HandleTableResult(startTime, claim.TableResult{Call: effect.Call, Rows: rows})...)
			case claim.Commit:
				effects = append(effects, replica.HandleTableResult(startTime, claim.TableResult{Call: effect.Call})...)
			}
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "B/claim")
	runtime.KeepAlive(replica)
}

// BenchmarkRosterChange measures applying one roster change at one entry.
func BenchmarkRosterChange(b *testing.B) {
	for _, entries := range []int{4, 7, 14, 28, 56} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			var r roster.Roster
			for i := range entries {
				r, _ = roster.Join(r, roster.Member{
					Identity: roster.Identity{Name: fmt.Sprintf("entry-%02d", i), Incarnation: 1},
					Role:     roster.RoleEntry, DataCentre: fmt.Sprint(i % 3), State: roster.StateActive,
				}, startTime)
			}
			r.Past = r.Past[max(0, len(r.Past)-1):]
			replica := claim.New(claim.Config{Self: r.Members[0].Identity})
			b.ResetTimer()
			for i := range b.N {
				r.Version++
				replica.ApplyRoster(startTime, r, uint64(i+1))
			}
			b.ReportMetric(float64(len(r.Encode())), "B/row")
		})
	}
}
