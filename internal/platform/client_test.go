package platform_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	"github.com/lovagedyke/lovagedyke/internal/platform"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// errorName returns a short name of a call's error.
func errorName(err error) string {
	switch {
	case err == nil:
		return "ok"
	case table.IsConflict(err):
		return "conflict"
	case table.IsUnknown(err):
		return "unknown"
	case errors.Is(err, table.ErrUnavailable):
		return "unavailable"
	case errors.Is(err, platform.ErrNoObject):
		return "no-object"
	}
	return err.Error()
}

func respondWith(status int, body any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

func TestClientErrors(t *testing.T) {
	conflict := platform.ConflictResponse{Key: "a", Want: 1, Got: 2}
	tests := map[string]struct {
		handler    http.HandlerFunc
		refuse     bool
		wantCommit string
		wantGet    string
		wantObject string
	}{
		"applied":     {handler: respondWith(http.StatusOK, platform.RowsResponse{Rows: []table.Row{{Key: "a"}}}), wantCommit: "ok", wantGet: "ok", wantObject: "ok"},
		"conflict":    {handler: respondWith(http.StatusConflict, conflict), wantCommit: "conflict", wantGet: "unavailable", wantObject: "unavailable"},
		"down":        {handler: respondWith(http.StatusServiceUnavailable, nil), wantCommit: "unavailable", wantGet: "unavailable", wantObject: "unavailable"},
		"over rate":   {handler: respondWith(http.StatusTooManyRequests, nil), wantCommit: "unavailable", wantGet: "unavailable", wantObject: "unavailable"},
		"not found":   {handler: respondWith(http.StatusNotFound, nil), wantCommit: "unavailable", wantGet: "unavailable", wantObject: "no-object"},
		"error":       {handler: respondWith(http.StatusInternalServerError, nil), wantCommit: "unknown", wantGet: "unavailable", wantObject: "unavailable"},
		"aborted":     {handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, wantCommit: "unknown", wantGet: "unavailable", wantObject: "unavailable"},
		"timeout":     {handler: func(_ http.ResponseWriter, r *http.Request) { waitForDisconnect(r) }, wantCommit: "unknown", wantGet: "unavailable", wantObject: "unavailable"},
		"no listener": {refuse: true, wantCommit: "unavailable", wantGet: "unavailable", wantObject: "unavailable"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(tc.handler)
			defer server.Close()
			if tc.refuse {
				server.Close()
			}
			client := platform.New(platform.Config{
				Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
				Timeout: 100 * time.Millisecond,
			})
			defer client.Close()
			ctx := context.Background()
			err := client.Commit(ctx, table.Txn{Writes: []table.Write{{Key: "a"}}})
			if got, want := errorName(err), tc.wantCommit; got != want {
				t.Errorf("commit: got %s, want %s", got, want)
			}
			_, err = client.Get(ctx, "a")
			if got, want := errorName(err), tc.wantGet; got != want {
				t.Errorf("get: got %s, want %s", got, want)
			}
			_, err = client.GetObject(ctx, "a")
			if got, want := errorName(err), tc.wantObject; got != want {
				t.Errorf("object: got %s, want %s", got, want)
			}
		})
	}
}

// waitForDisconnect returns when the caller has closed its connection.
func waitForDisconnect(r *http.Request) {
	buffer := make([]byte, 1024)
	for {
		if _, err := r.Body.Read(buffer); err != nil {
			break
		}
	}
	<-r.Context().Done()
}
