package ingress_test

import (
	"context"
	"net/http"
	"net/netip"
	"testing"

	"github.com/lovagedyke/lovagedyke/internal/budget"
	"github.com/lovagedyke/lovagedyke/internal/intake"
)

// BenchmarkSubmitThroughDoor is BenchmarkSubmit on a port with bounds.
func BenchmarkSubmitThroughDoor(b *testing.B) {
	door, err := intake.Listen(context.Background(), intake.DoorConfig{
		Name: "benchmark", Address: netip.MustParseAddrPort("127.0.0.1:0"), MaxConnections: 1000, Headers: budget.New(budget.Config{Bytes: 32 << 20}),
		ReceiveBytes: intake.DefaultReceiveBytes, SendBytes: intake.DefaultSendBytes, Refuses: true,
	})
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: newBenchmarkIngress(b)}
	door.Configure(server)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(door) }()
	submitAgainAndAgain(b, door.Addr())
	_ = server.Close()
	<-ended
}
