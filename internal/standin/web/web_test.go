package web_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/charmbracelet/log"
	"go.uber.org/goleak"

	"github.com/lovagedyke/lovagedyke/internal/standin/web"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func TestServeRejectsNonLoopbackAddresses(t *testing.T) {
	for _, address := range []string{"0.0.0.0:0", "192.0.2.1:80"} {
		err := web.Serve(context.Background(), web.Config{
			Address: netip.MustParseAddrPort(address), Log: log.New(io.Discard),
		})
		if err == nil {
			t.Errorf("address %s: got no error, want one", address)
		}
	}
}

// TestServeFinishesRequests stops the server while a request is in flight, and checks
// that the response is complete.
func TestServeFinishesRequests(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	opened := make(chan string, 1)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		stop()
		<-ctx.Done()
		_, _ = io.WriteString(w, "whole")
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(listener.Addr().String())
	_ = listener.Close()
	done := make(chan error, 1)
	go func() {
		done <- web.Serve(ctx, web.Config{
			Address: address, Handler: handler, Log: log.New(io.Discard),
			ConnState: func(net.Conn, http.ConnState) {
				select {
				case opened <- address.String():
				default:
				}
			},
		})
	}()
	var response *http.Response
	for response == nil {
		// The server may not listen yet.
		response, _ = http.Get("http://" + address.String())
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if got, want := string(body), "whole"; got != want || err != nil {
		t.Errorf("body: got %q, %v, want %q", got, err, want)
	}
	if got := <-done; got != nil {
		t.Errorf("end: got %v, want no error", got)
	}
	if got, want := <-opened, address.String(); got != want {
		t.Errorf("connection state: got %s, want %s", got, want)
	}
	http.DefaultClient.CloseIdleConnections()
}
