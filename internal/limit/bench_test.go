package limit_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/limit"
)

// rowOf returns a team's row over n members.
func rowOf(team string, n int) limit.Allocation {
	row := limit.Allocation{Team: team, Generation: 1, Limit: 100 * n, Granted: map[limit.Member]int{}}
	for i := range n {
		row.Granted[limit.Member(fmt.Sprintf("entry-%02d/1700000000000000000", i))] = 100
	}
	return row
}

// BenchmarkLedger is one gossip round of a ledger whose members have traded,
// and the memory and the row of each team.
func BenchmarkLedger(b *testing.B) {
	for _, n := range []struct{ members, teams int }{{7, 6}, {7, 30}, {7, 65}, {7, 130}, {14, 130}, {24, 130}, {48, 130}} {
		b.Run(fmt.Sprintf("members=%d/teams=%d", n.members, n.teams), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			ledger := limit.New(limit.Config{Self: "entry-00/1700000000000000000"})
			rowBytes := 0
			for i := range n.teams {
				row := rowOf(fmt.Sprintf("team-%03d", i), n.members)
				ledger.Apply(row)
				value, err := json.Marshal(row)
				if err != nil {
					b.Fatal(err)
				}
				rowBytes += len(value)
				for from := range row.Granted {
					ledger.Receive(limit.Transfer{Team: row.Team, Generation: 1, From: from, To: "entry-00/1700000000000000000", Total: 1})
					ledger.HandleTransferRequest(limit.TransferRequest{Team: row.Team, Generation: 1, From: from, Want: 1})
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			now := time.Unix(0, 0)
			b.ReportAllocs()
			for b.Loop() {
				ledger.Tick(now)
				ledger.Statuses()
				ledger.Unconfirmed()
				ledger.Reports()
			}
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(n.teams), "heap-bytes/team")
			b.ReportMetric(float64(rowBytes)/float64(n.teams), "row-bytes/team")
		})
	}
}

// BenchmarkPlannerRound is one look at all teams' rows, decoding included, while
// nothing changes.
func BenchmarkPlannerRound(b *testing.B) {
	for _, n := range []struct{ members, teams int }{{7, 6}, {7, 30}, {7, 65}, {7, 130}, {14, 130}, {24, 130}, {48, 130}} {
		b.Run(fmt.Sprintf("members=%d/teams=%d", n.members, n.teams), func(b *testing.B) {
			planner := limit.NewPlanner(limit.PlannerConfig{ReportTimeout: time.Second})
			var rows [][]byte
			var live []limit.Member
			for i := range n.teams {
				row := rowOf(fmt.Sprintf("team-%03d", i), n.members)
				value, err := json.Marshal(row)
				if err != nil {
					b.Fatal(err)
				}
				rows = append(rows, value)
				live = live[:0]
				for m := range row.Granted {
					live = append(live, m)
				}
			}
			now := time.Unix(0, 0)
			b.ReportAllocs()
			for b.Loop() {
				for _, value := range rows {
					var row limit.Allocation
					if err := json.Unmarshal(value, &row); err != nil {
						b.Fatal(err)
					}
					planner.Step(now, limit.View{Row: row, Limit: row.Limit, LongestRun: time.Minute, Live: live})
				}
			}
		})
	}
}
