package endpoint_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/lovagedyke/lovagedyke/internal/standin/endpoint"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func newRequest(method, path, body, behaviour string) *http.Request {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set(endpoint.TeamHeader, "reef")
	request.Header.Set(endpoint.KeyHeader, "k1")
	request.Header.Set(endpoint.RunHeader, "r1")
	request.Header.Set(endpoint.BehaviourHeader, behaviour)
	return request
}

func TestServe(t *testing.T) {
	tests := map[string]struct {
		faults     string
		behaviour  string
		leave      bool
		wantStatus int
		wantRuns   int
		wantClose  bool
		wantAbort  bool
	}{
		"plain":           {wantStatus: 200, wantRuns: 1},
		"leaving":         {leave: true, wantStatus: 200, wantRuns: 1, wantClose: true},
		"fail everything": {faults: `{"fail-everything":true}`, wantStatus: 500, wantRuns: 1},
		"down":            {faults: `{"down":true}`, wantAbort: true},
		"cut after run":   {behaviour: endpoint.Close, wantRuns: 1, wantAbort: true},
		"bad behaviour":   {behaviour: "dance", wantStatus: 400},
		"bad status":      {behaviour: "status=7", wantStatus: 400},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			server := endpoint.New(endpoint.Config{Name: "orders-1", Service: "orders"})
			handler := server.Handler()
			if tc.faults != "" {
				handler.ServeHTTP(httptest.NewRecorder(), newRequest(http.MethodPut, "/standin/faults", tc.faults, ""))
			}
			if tc.leave {
				handler.ServeHTTP(httptest.NewRecorder(), newRequest(http.MethodPost, "/standin/leave", "", ""))
			}
			recorder := httptest.NewRecorder()
			aborted := serve(handler, recorder, newRequest(http.MethodPatch, "/orders/x", "body", tc.behaviour))
			if got, want := aborted, tc.wantAbort; got != want {
				t.Fatalf("aborted: got %v, want %v", got, want)
			}
			if got, want := recorder.Code, tc.wantStatus; !aborted && got != want {
				t.Errorf("status: got %d, want %d", got, want)
			}
			if got, want := recorder.Header().Get("Connection") == "close", tc.wantClose; got != want {
				t.Errorf("connection closed: got %v, want %v", got, want)
			}
			stats := server.Stats()
			if got, want := len(stats.Runs), tc.wantRuns; got != want {
				t.Fatalf("runs: got %d, want %d", got, want)
			}
			if got, want := stats.Teams["reef"].Completed, tc.wantRuns; got != want {
				t.Errorf("completed by team: got %d, want %d", got, want)
			}
		})
	}
}

// serve reports whether the handler cut the connection.
func serve(handler http.Handler, w http.ResponseWriter, r *http.Request) (aborted bool) {
	defer func() { aborted = recover() == http.ErrAbortHandler }()
	handler.ServeHTTP(w, r)
	return false
}

func TestSlots(t *testing.T) {
	server := endpoint.New(endpoint.Config{Name: "orders-1", Slots: 1})
	handler := server.Handler()
	release, pending := newPipeRequest()
	done := make(chan struct{})
	go func() {
		defer close(done)
		handler.ServeHTTP(httptest.NewRecorder(), pending)
	}()
	for server.Stats().Total.Running == 0 {
		time.Sleep(time.Millisecond)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, newRequest(http.MethodPost, "/orders", "", ""))
	if got, want := recorder.Code, http.StatusServiceUnavailable; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
	if got, want := recorder.Header().Get(endpoint.RefusedHeader), "slots"; got != want {
		t.Errorf("refusal: got %q, want %q", got, want)
	}
	release()
	<-done
	stats := server.Stats()
	if got, want := stats.Total, (endpoint.Counts{Started: 1, Completed: 1, MaxRunning: 1}); got != want {
		t.Errorf("counts: got %+v, want %+v", got, want)
	}
	if got, want := stats.Refused, 1; got != want {
		t.Errorf("refused: got %d, want %d", got, want)
	}
}

// newPipeRequest returns a request whose body ends when release is called.
func newPipeRequest() (release func(), request *http.Request) {
	reader, writer := io.Pipe()
	return func() { _ = writer.Close() }, httptest.NewRequest(http.MethodPost, "/orders", reader)
}
