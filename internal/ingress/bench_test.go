package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/lovagedyke/lovagedyke/internal/ingress"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// newBenchmarkIngress returns an ingress that runs until the benchmark ends.
func newBenchmarkIngress(b *testing.B) http.Handler {
	b.Helper()
	f := &testIngress{store: table.NewMemory(), fleet: &fakeFleet{states: map[job.ID]job.State{}}}
	f.run(b, ingress.New(ingress.Config{
		Policy: staticPolicy{testPolicy()}, Store: f.store, Fleet: f.fleet, Codec: jsonCodec{}, Journal: discardJournal{},
	}))
	return f.handler
}

// submitAgainAndAgain submits an ordinary job over one connection.
func submitAgainAndAgain(b *testing.B, address net.Addr) {
	b.Helper()
	conn, err := net.Dial("tcp", address.String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	body := `{"steps":[{"count":4,"resources":{"cpu":500,"memory":256}},{"count":20,"resources":{"cpu":1000},"after":[0]}]}`
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: shop.example\r\nKey: k1\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = io.WriteString(conn, text)
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			b.Fatalf("answer: got %v and %v, want 200", response, err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
	}
}

func BenchmarkSubmit(b *testing.B) {
	server := httptest.NewServer(newBenchmarkIngress(b))
	defer server.Close()
	submitAgainAndAgain(b, server.Listener.Addr())
}
