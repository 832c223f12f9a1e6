package platform_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"

	"github.com/lovagedyke/lovagedyke/internal/platform"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// BenchmarkHosts measures the decoding of the platform's list of hosts, which every
// process does each time it reads the list.
func BenchmarkHosts(b *testing.B) {
	for _, n := range []int{50, 200, 600, 1700} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			var response platform.HostsResponse
			for i := range n {
				response.Hosts = append(response.Hosts, platform.Host{
					Name: fmt.Sprintf("worker-%04d", i), DataCentre: fmt.Sprintf("dc-%d", i%8),
					Rack: fmt.Sprintf("rack-%03d", i/4), Pool: fmt.Sprintf("pool-%02d", i%27), State: platform.Live,
					Endpoints: []platform.Endpoint{{
						Service: platform.WorkerService, Slots: 8, Connections: 64,
						Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 9000),
					}},
				})
			}
			encoded, err := json.Marshal(response)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				var got platform.HostsResponse
				if err := json.Unmarshal(encoded, &got); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(encoded)), "list-bytes")
		})
	}
}

// BenchmarkRows measures the decoding of the response to a scan of small rows, such
// as hosts' assignments.
func BenchmarkRows(b *testing.B) {
	for _, n := range []int{50, 200, 600, 1700} {
		b.Run(fmt.Sprintf("rows=%d", n), func(b *testing.B) {
			var response platform.RowsResponse
			for i := range n {
				response.Rows = append(response.Rows, table.Row{
					Key: fmt.Sprintf("pool/host/worker-%04d", i), Value: make([]byte, 70), Version: uint64(i + 1),
				})
			}
			encoded, err := json.Marshal(response)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				var got platform.RowsResponse
				if err := json.Unmarshal(encoded, &got); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(encoded)), "answer-bytes")
		})
	}
}
