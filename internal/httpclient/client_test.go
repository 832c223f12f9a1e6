package httpclient

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/bounded"
)

// Guards against a list or a report that is cut at the limit and taken for the whole one.
func TestResponseSize(t *testing.T) {
	tests := map[string]struct {
		size    int
		wantErr error
	}{
		"at the limit":  {size: maxResponseBytes},
		"longer by one": {size: maxResponseBytes + 1, wantErr: bounded.ErrTooLarge},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(make([]byte, c.size))
			}))
			defer server.Close()
			// The default timeout is too short for a body of this size on a busy machine.
			client := New(Config{Timeout: time.Minute})
			defer client.Close()
			response, err := client.Do(context.Background(), http.MethodGet, server.URL, nil)
			if !errors.Is(err, c.wantErr) {
				t.Errorf("error: got %v, want %v", err, c.wantErr)
			}
			if errors.Is(err, ErrNotSent) {
				t.Error("a response that is too large: got ErrNotSent, want an error after the request was sent")
			}
			if got, want := len(response.Body), maxResponseBytes; got != want {
				t.Errorf("bytes: got %d, want %d", got, want)
			}
		})
	}
}
