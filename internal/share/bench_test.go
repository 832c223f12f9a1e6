package share

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDivision measures SetPeer and Tick with all slots in use, which is two
// divisions.
func BenchmarkDivision(b *testing.B) {
	for _, n := range []struct{ entries, flows int }{{7, 6}, {7, 30}, {7, 65}, {7, 130}, {14, 130}, {24, 130}, {48, 130}} {
		b.Run(fmt.Sprintf("entries=%d/flows=%d", n.entries, n.flows), func(b *testing.B) {
			s, now := New(Config{Entry: "e00", Capacity: 500, PeerTimeout: time.Hour}), epoch
			var demands []Demand
			for e := range n.entries - 1 {
				demand := Demand{Entry: fmt.Sprintf("e%02d", e+1)}
				for f := range n.flows {
					demand.Flows = append(demand.Flows, FlowDemand{
						Flow: Flow{Team: fmt.Sprintf("team-%03d", f), Class: Normal}, InFlight: 2, Queued: 20,
					})
				}
				demands = append(demands, demand)
				s.SetPeer(now, demand)
			}
			for f := range n.flows {
				s.Submit(now, Ticket{ID: uint64(f), Team: fmt.Sprintf("team-%03d", f), Class: Normal, Deadline: now.Add(24 * time.Hour)})
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(10 * time.Microsecond)
				s.SetPeer(now, demands[i%len(demands)])
				s.Tick(now.Add(minDivideInterval))
			}
		})
	}
}
