package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkPick measures Pick and Done with requests in flight at half of the
// endpoints.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 20, 40, 80, 160} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			p, random, now := New(Config{Entry: "e0", DataCentre: "a"}), rand.New(rand.NewPCG(7, 8)), epoch
			p.SetEndpoints(now, endpoints(n))
			for range n / 2 {
				p.Pick(now, random, nil)
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				chosen, _ := p.Pick(now, random, nil)
				p.Done(now, chosen, Succeeded, 50*time.Millisecond)
			}
		})
	}
}
