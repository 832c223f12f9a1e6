package load_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/lovagedyke/lovagedyke/internal/standin/endpoint"
	"github.com/lovagedyke/lovagedyke/internal/standin/load"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const requests = 20

// run sends load through the middleware to an endpoint.
func run(t *testing.T, cfg load.Config, middleware func(http.Handler) http.Handler) (load.Report, endpoint.Stats) {
	t.Helper()
	fake := endpoint.New(endpoint.Config{Name: "orders-1", Service: "orders"})
	server := httptest.NewServer(middleware(fake.Handler()))
	defer server.Close()
	cfg.Targets = []netip.AddrPort{netip.MustParseAddrPort(server.Listener.Addr().String())}
	cfg.Service = "orders"
	cfg.Requests = requests
	cfg.Concurrency = 4
	report, err := load.Run(context.Background(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	return report, fake.Stats()
}

func passThrough(next http.Handler) http.Handler { return next }

// replaceNonce answers each request with the nonce of another one.
func replaceNonce(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		r.Header.Set(endpoint.NonceHeader, "another")
		next.ServeHTTP(recorder, r)
		_, _ = w.Write(recorder.Body.Bytes())
	})
}

func refuseAll(http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(http.StatusTooManyRequests)
		_ = json.NewEncoder(w).Encode(map[string]string{"outcome": "not-run", "reason": "no-capacity"})
	})
}

func TestRunClassifiesAnswers(t *testing.T) {
	tests := map[string]struct {
		cfg        load.Config
		middleware func(http.Handler) http.Handler
		wantOK     int
		wantWrong  int
		wantCut    int
		wantErrors int
		wantNotRun int
		want500    int
	}{
		"plain":      {cfg: load.Config{BodyBytes: 1000, IdempotencyKeys: true}, wantOK: requests},
		"get":        {cfg: load.Config{Method: http.MethodGet}, wantOK: requests},
		"echo":       {cfg: load.Config{BodyBytes: 100_000, Behaviour: endpoint.Echo}, wantOK: requests},
		"large body": {cfg: load.Config{Behaviour: endpoint.LargeBody + "=300000"}, wantOK: requests},
		"trailers":   {cfg: load.Config{Behaviour: endpoint.Trailers}, wantOK: requests},
		"slow body":  {cfg: load.Config{Behaviour: endpoint.SlowBody, RunTime: time.Millisecond}, wantOK: requests},
		"truncated":  {cfg: load.Config{Behaviour: endpoint.Truncate}, wantCut: requests},
		"closed":     {cfg: load.Config{Behaviour: endpoint.Close}, wantErrors: requests},
		"status":     {cfg: load.Config{Behaviour: endpoint.Status + "=500"}, want500: requests},
		"swapped":    {cfg: load.Config{}, middleware: replaceNonce, wantWrong: requests},
		"refused":    {cfg: load.Config{}, middleware: refuseAll, wantNotRun: requests},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if tc.middleware == nil {
				tc.middleware = passThrough
			}
			report, _ := run(t, tc.cfg, tc.middleware)
			got := []int{
				report.Sent, report.OK, report.Wrong, report.Cut, report.Errors,
				report.Outcomes["not-run"], report.Reasons["no-capacity"], report.Statuses[500],
			}
			want := []int{
				requests, tc.wantOK, tc.wantWrong, tc.wantCut, tc.wantErrors,
				tc.wantNotRun, tc.wantNotRun, tc.want500,
			}
			for i := range got {
				if got[i] != want[i] {
					t.Fatalf("got %v, want %v (last error %s)", got, want, report.LastError)
				}
			}
		})
	}
}

func TestCopiesShareOneKey(t *testing.T) {
	_, stats := run(t, load.Config{IdempotencyKeys: true, Copies: 2}, passThrough)
	if got, want := len(stats.KeyRuns), requests; got != want {
		t.Fatalf("keys: got %d, want %d", got, want)
	}
	for _, key := range stats.KeyRuns {
		if got, want := key.Runs, 2; got != want {
			t.Errorf("key %s: got %d runs, want %d", key.Key, got, want)
		}
	}
}
