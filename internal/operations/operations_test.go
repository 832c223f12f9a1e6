package operations_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/lovagedyke/lovagedyke/internal/operations"
)

func TestHandler(t *testing.T) {
	draining := errors.New("draining")
	tests := map[string]struct {
		path       string
		ready      error
		wantStatus int
		wantBody   string
	}{
		"metrics":   {path: "/metrics", wantStatus: http.StatusOK, wantBody: "process_"},
		"health":    {path: "/healthz", ready: draining, wantStatus: http.StatusOK, wantBody: "ok"},
		"ready":     {path: "/readyz", wantStatus: http.StatusOK, wantBody: "ready"},
		"not ready": {path: "/readyz", ready: draining, wantStatus: http.StatusServiceUnavailable, wantBody: "draining"},
		"dump":      {path: "/dump", wantStatus: http.StatusOK, wantBody: `"roster-version": 7`},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			handler := operations.New(operations.Config{
				Ready: func() error { return tc.ready },
				Dump:  func() any { return map[string]int{"roster-version": 7} },
			})
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, tc.path, nil))
			if got := recorder.Code; got != tc.wantStatus {
				t.Errorf("status: got %d, want %d", got, tc.wantStatus)
			}
			if got := recorder.Body.String(); !strings.Contains(got, tc.wantBody) {
				t.Errorf("body: got %q, want %q in it", got, tc.wantBody)
			}
		})
	}
}
