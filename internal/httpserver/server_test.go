package httpserver_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/lovagedyke/lovagedyke/internal/httpserver"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// lingerTime is how long net/http keeps a connection after an answer that refuses its header.
const lingerTime = 500 * time.Millisecond

func startServer(t *testing.T, config httpserver.Config) *httpserver.Server {
	t.Helper()
	config.Name = "test"
	config.Address = netip.MustParseAddrPort("127.0.0.1:0")
	server, err := httpserver.Start(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close(); <-server.Done() })
	return server
}

func TestShutdownWaitsForRequestsInFlight(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	server := startServer(t, httpserver.Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-release
		_, _ = io.WriteString(w, "whole")
	})})
	body := make(chan string, 1)
	go func() {
		response, err := http.Get("http://" + server.Address().String())
		if err != nil {
			body <- err.Error()
			return
		}
		defer response.Body.Close()
		text, _ := io.ReadAll(response.Body)
		body <- string(text)
	}()
	<-entered
	server.Drain()
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(context.Background()) }()
	close(release)
	if got, want := <-body, "whole"; got != want {
		t.Errorf("response to the request in flight: got %q, want %q", got, want)
	}
	if err := <-stopped; err != nil {
		t.Errorf("shutdown: got %v, want no error", err)
	}
	http.DefaultClient.CloseIdleConnections()
}

func TestDrainAsksTheCallerToClose(t *testing.T) {
	server := startServer(t, httpserver.Config{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})})
	for _, want := range []bool{false, true} {
		response, err := http.Get("http://" + server.Address().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if got := response.Close; got != want {
			t.Errorf("connection closes: got %v, want %v", got, want)
		}
		server.Drain()
	}
	http.DefaultClient.CloseIdleConnections()
}

func TestLimits(t *testing.T) {
	tests := map[string]struct {
		config httpserver.Config
		send   string
		want   string
	}{
		"large header": {
			config: httpserver.Config{MaxHeader: 1 << 10},
			send:   "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 16<<10) + "\r\n\r\n",
			want:   "HTTP/1.1 431",
		},
		"slow header": {
			config: httpserver.Config{ReadHeaderTimeout: 50 * time.Millisecond},
			send:   "GET / HTTP/1.1\r\nHost:",
			want:   "",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			tc.config.Handler = http.NotFoundHandler()
			server := startServer(t, tc.config)
			conn, err := net.Dial("tcp", server.Address().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, tc.send)
			got, _ := io.ReadAll(conn)
			if !strings.HasPrefix(string(got), tc.want) {
				t.Errorf("got %q, want it to begin with %q", got, tc.want)
			}
			if tc.want != "" {
				time.Sleep(lingerTime)
			}
		})
	}
}

// Guards against a port that serves no one once idle connections have reached its limit.
func TestConnectionBeyondTheLimitReplacesAnIdleOne(t *testing.T) {
	server := startServer(t, httpserver.Config{MaxConnections: 1, Handler: http.NotFoundHandler()})
	first, err := net.Dial("tcp", server.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	second, err := net.Dial("tcp", server.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	_, _ = io.WriteString(second, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	_ = second.SetReadDeadline(time.Now().Add(10 * time.Second))
	if got, _ := io.ReadAll(second); !strings.HasPrefix(string(got), "HTTP/1.1 404") {
		t.Errorf("second connection, beside an idle one: got %q, want 404", got)
	}
	_ = first.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := first.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: got %v, want it closed", err)
	}
}

// Guards against a limit on connections that is exceeded, or that ends requests in progress.
func TestConnectionBeyondBusyOnesIsClosed(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	server := startServer(t, httpserver.Config{MaxConnections: 1, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-release
		_, _ = io.WriteString(w, "whole")
	})})
	first, err := net.Dial("tcp", server.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	_, _ = io.WriteString(first, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	<-entered
	second, err := net.Dial("tcp", server.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	_ = second.SetReadDeadline(time.Now().Add(10 * time.Second))
	if n, err := second.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
		t.Errorf("connection beside a busy one: got %d bytes and %v, want it closed", n, err)
	}
	close(release)
	if got, _ := io.ReadAll(first); !strings.HasSuffix(string(got), "whole") {
		t.Errorf("busy connection: got %q, want the whole response", got)
	}
}
