package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/pkg/api"
)

// echoBody streams the request's body back.
func echoBody(w http.ResponseWriter, r *http.Request) {
	_ = http.NewResponseController(w).EnableFullDuplex()
	_, _ = io.Copy(w, r.Body)
}

// closeConnection reads the request and closes the connection without a
// response.
func closeConnection(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

// truncateBody announces size bytes and sends half of them.
func truncateBody(size int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(size))
		_, _ = io.WriteString(w, strings.Repeat("x", size/2))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func TestRequestValidation(t *testing.T) {
	f := newFixture(t, echoBody)
	tests := map[string]struct {
		request    testRequest
		wantStatus int
		wantReason string
		wantField  string
	}{
		"unknown service":       {testRequest{path: "/ordes/x"}, 404, "unknown-service", "path"},
		"no key":                {testRequest{key: "none"}, 401, "no-key", "Authorization"},
		"wrong key":             {testRequest{key: "lk_a_b"}, 401, "wrong-key", "Authorization"},
		"key of other team":     {testRequest{key: f.keys["bait"]}, 403, "other-team", "Authorization"},
		"malformed deadline":    {testRequest{header: map[string]string{headerDeadline: "soon"}}, 400, "broken-deadline", headerDeadline},
		"negative deadline":     {testRequest{header: map[string]string{headerDeadline: "-1s"}}, 400, "broken-deadline", headerDeadline},
		"long idempotency key":  {testRequest{header: map[string]string{headerIdempotencyKey: strings.Repeat("k", 256)}}, 400, "broken-idempotency-key", headerIdempotencyKey},
		"large idempotent body": {testRequest{header: map[string]string{headerIdempotencyKey: "k"}, body: strings.Repeat("b", maxIdempotentBody+1)}, 413, "body-too-large", "body"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			status, _, problem, err := f.do(tc.request)
			if err != nil {
				t.Fatal(err)
			}
			if got := status; got != tc.wantStatus {
				t.Errorf("status: got %d, want %d", got, tc.wantStatus)
			}
			if got := problem.Reason; got != tc.wantReason {
				t.Errorf("reason: got %q, want %q", got, tc.wantReason)
			}
			if got := problem.Field; got != tc.wantField {
				t.Errorf("field: got %q, want %q", got, tc.wantField)
			}
			if got, want := problem.Outcome, api.OutcomeNotRun; got != want {
				t.Errorf("outcome: got %q, want %q", got, want)
			}
		})
	}
	if got := f.runs.Load(); got != 0 {
		t.Errorf("runs: got %d, want 0", got)
	}
}

func TestResponses(t *testing.T) {
	idempotent := map[string]string{headerIdempotencyKey: "k1"}
	tests := map[string]struct {
		endpoints   []http.HandlerFunc
		request     testRequest
		wantStatus  int
		wantBody    string
		wantReason  string
		wantOutcome api.Outcome
		wantRuns    int64
		wantErr     bool
	}{
		"complete":                          {endpoints: []http.HandlerFunc{echoBody}, request: testRequest{body: "leader line"}, wantStatus: 200, wantBody: "leader line", wantRuns: 1},
		"complete, idempotent":              {endpoints: []http.HandlerFunc{echoBody}, request: testRequest{body: "leader line", header: idempotent}, wantStatus: 200, wantBody: "leader line", wantRuns: 1},
		"no endpoint":                       {request: testRequest{}, wantStatus: 503, wantReason: "no-endpoint", wantOutcome: api.OutcomeNotRun},
		"short response truncated":          {endpoints: []http.HandlerFunc{truncateBody(100)}, request: testRequest{header: idempotent}, wantStatus: 502, wantReason: "endpoint-failed", wantOutcome: api.OutcomeUnknown, wantRuns: 1},
		"long response truncated":           {endpoints: []http.HandlerFunc{truncateBody(1 << 20)}, request: testRequest{header: idempotent}, wantErr: true, wantRuns: 1},
		"idempotent, connection closed":     {endpoints: []http.HandlerFunc{closeConnection, closeConnection}, request: testRequest{header: idempotent}, wantStatus: 502, wantReason: "endpoint-failed", wantOutcome: api.OutcomeUnknown, wantRuns: 1},
		"idempotent GET, connection closed": {endpoints: []http.HandlerFunc{closeConnection, closeConnection}, request: testRequest{method: http.MethodGet, header: idempotent}, wantStatus: 502, wantReason: "endpoint-failed", wantOutcome: api.OutcomeUnknown, wantRuns: 1},
		"repeatable, only endpoint fails":   {endpoints: []http.HandlerFunc{truncateBody(10)}, request: testRequest{}, wantStatus: 502, wantReason: "no-endpoint", wantOutcome: api.OutcomeUnknown, wantRuns: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, tc.endpoints...)
			status, body, problem, err := f.do(tc.request)
			if got := err != nil; got != tc.wantErr {
				t.Fatalf("error: got %v, want one: %v", err, tc.wantErr)
			}
			if got := status; got != tc.wantStatus && !tc.wantErr {
				t.Errorf("status: got %d (%s), want %d", got, body, tc.wantStatus)
			}
			if got := body; tc.wantBody != "" && got != tc.wantBody {
				t.Errorf("body: got %q, want %q", got, tc.wantBody)
			}
			if got := problem.Reason; got != tc.wantReason {
				t.Errorf("reason: got %q, want %q", got, tc.wantReason)
			}
			if got := problem.Outcome; got != tc.wantOutcome {
				t.Errorf("outcome: got %q, want %q", got, tc.wantOutcome)
			}
			if got := f.runs.Load(); got != tc.wantRuns {
				t.Errorf("runs: got %d, want %d", got, tc.wantRuns)
			}
		})
	}
}

// When a reused connection closes before the response, net/http replays
// some requests automatically, among them those with an Idempotency-Key.
func TestIdempotentRequestNotReplayedOnReusedConnection(t *testing.T) {
	first := true
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		if first {
			first = false
			echoBody(w, r)
			return
		}
		closeConnection(w, r)
	})
	for i, want := range []api.Outcome{"", api.OutcomeUnknown} {
		header := map[string]string{headerIdempotencyKey: fmt.Sprint(i)}
		_, _, problem, err := f.do(testRequest{method: http.MethodGet, header: header})
		if err != nil {
			t.Fatal(err)
		}
		if got := problem.Outcome; got != want {
			t.Errorf("outcome %d: got %q, want %q", i, got, want)
		}
	}
	if got, want := f.runs.Load(), int64(2); got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

func TestRepeatedIdempotentRequest(t *testing.T) {
	f := newFixture(t, echoBody)
	header := map[string]string{headerIdempotencyKey: "order-7"}
	tests := []struct {
		name, body  string
		wantStatus  int
		wantOutcome api.Outcome
	}{
		{"first", "two pallets", 200, ""},
		{"repeat", "two pallets", 200, ""},
		{"another body", "three pallets", 422, api.OutcomeNotRun},
	}
	for _, tc := range tests {
		status, body, problem, err := f.do(testRequest{body: tc.body, header: header})
		if err != nil {
			t.Fatal(err)
		}
		if got := status; got != tc.wantStatus {
			t.Errorf("%s: got status %d (%s), want %d", tc.name, got, body, tc.wantStatus)
		}
		if got := problem.Outcome; got != tc.wantOutcome {
			t.Errorf("%s: got outcome %q, want %q", tc.name, got, tc.wantOutcome)
		}
		if tc.wantStatus == 200 && body != "two pallets" {
			t.Errorf("%s: got body %q, want the recorded one", tc.name, body)
		}
	}
	if got, want := f.runs.Load(), int64(1); got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

func TestLateResponseReleasesPermitAndFinishesClaim(t *testing.T) {
	release := make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, "late")
	})
	header := map[string]string{headerIdempotencyKey: "order-8", headerDeadline: "100ms"}
	_, _, problem, err := f.do(testRequest{header: header})
	if err != nil {
		t.Fatal(err)
	}
	if got, want := problem.Outcome, api.OutcomeUnknown; got != want {
		t.Errorf("after the deadline: got %q, want %q", got, want)
	}
	if got, want := f.permitsInUse(), 1; got != want {
		t.Errorf("permits while the request runs: got %d, want %d", got, want)
	}
	_, _, problem, _ = f.do(testRequest{header: header})
	if got, want := problem.Outcome, api.OutcomeRunning; got != want {
		t.Errorf("repeat while running: got %q, want %q", got, want)
	}
	close(release)
	f.eventually("the permit is released", func() bool { return f.permitsInUse() == 0 })
	f.eventually("a repeat gets the response", func() bool {
		_, body, _, err := f.do(testRequest{header: header})
		return err == nil && body == "late"
	})
	if got, want := f.runs.Load(), int64(1); got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

func TestFailedRequestHoldsPermitUntilMaxRunTime(t *testing.T) {
	f := newFixture(t, closeConnection)
	if _, _, _, err := f.do(testRequest{header: map[string]string{headerIdempotencyKey: "order-9"}}); err != nil {
		t.Fatal(err)
	}
	if got, want := f.permitsInUse(), 1; got != want {
		t.Errorf("permits after the connection closed: got %d, want %d", got, want)
	}
	f.node.Ledger().Tick(time.Now().Add(time.Minute))
	if got, want := f.permitsInUse(), 0; got != want {
		t.Errorf("permits after the maximum run time: got %d, want %d", got, want)
	}
}

func TestLargeBodiesStream(t *testing.T) {
	f := newFixture(t, echoBody)
	body := strings.Repeat("0123456789abcdef", 1<<18)
	_, got, problem, err := f.do(testRequest{body: body})
	if err != nil {
		t.Fatal(err)
	}
	if got != body {
		t.Errorf("got %d bytes (%s), want %d", len(got), problem.Reason, len(body))
	}
}

// refuseFirst responds to the first n requests that the endpoint has no slot.
func refuseFirst(n int64) http.HandlerFunc {
	var received atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		if received.Add(1) <= n {
			w.Header().Set(headerRefused, "slots")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		echoBody(w, r)
	}
}

func TestEndpointRefusals(t *testing.T) {
	idempotent := map[string]string{headerIdempotencyKey: "order-11"}
	tests := map[string]struct {
		refusals    int64
		header      map[string]string
		wantReason  string
		wantOutcome api.Outcome
	}{
		"slot becomes free":           {refusals: 4},
		"no slot before the deadline": {refusals: 1 << 40, header: map[string]string{headerDeadline: "100ms"}, wantReason: "endpoints-full", wantOutcome: api.OutcomeNotRun},
		"idempotent, not retried":     {refusals: 1, header: idempotent, wantReason: "endpoint-full", wantOutcome: api.OutcomeNotRun},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, refuseFirst(tc.refusals))
			_, body, problem, err := f.do(testRequest{body: "line", header: tc.header})
			if err != nil {
				t.Fatal(err)
			}
			if got := problem.Reason; got != tc.wantReason {
				t.Errorf("reason: got %q (%s), want %q", got, body, tc.wantReason)
			}
			if got := problem.Outcome; got != tc.wantOutcome {
				t.Errorf("outcome: got %q, want %q", got, tc.wantOutcome)
			}
			if got := f.permitsInUse(); got != 0 {
				t.Errorf("permits in use: got %d, want 0", got)
			}
			if tc.header == nil || tc.header[headerIdempotencyKey] == "" {
				return
			}
			f.eventually("the claim is released", func() bool {
				_, body, _, err := f.do(testRequest{body: "line", header: tc.header})
				return err == nil && body == "line"
			})
		})
	}
}

func TestRequestRetriedAtAnotherEndpoint(t *testing.T) {
	f := newFixture(t, closeConnection, echoBody, echoBody)
	for range 10 {
		_, body, problem, err := f.do(testRequest{body: "bait"})
		if err != nil {
			t.Fatal(err)
		}
		if got, want := body, "bait"; got != want {
			t.Errorf("got %q (%s), want %q", got, problem.Reason, want)
		}
	}
}

func TestTrailersForwarded(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Trailer", "Checksum")
		_, _ = io.WriteString(w, strings.Repeat("x", 100_000))
		w.Header().Set("Checksum", "17")
	})
	request, err := http.NewRequest(http.MethodGet, f.server.URL+"/orders/plan", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+f.keys["tackle"])
	response, err := f.client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || len(body) != 100_000 {
		t.Errorf("body: got %d bytes, %v, want 100000", len(body), err)
	}
	if got, want := response.Trailer.Get("Checksum"), "17"; got != want {
		t.Errorf("trailer: got %q, want %q", got, want)
	}
}

// The caller disconnects while its request runs. The run is still recorded, and
// a repeat gets the response.
func TestCallerDisconnects(t *testing.T) {
	release := make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, "done")
	})
	ctx, disconnect := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.server.URL+"/orders/restock", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+f.keys["tackle"])
	request.Header.Set(headerIdempotencyKey, "order-10")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if response, err := f.client.Do(request); err == nil {
			_ = response.Body.Close()
		}
	}()
	f.eventually("the request is running", func() bool { return f.runs.Load() == 1 })
	disconnect()
	<-ended
	close(release)
	f.eventually("the permit is released", func() bool { return f.permitsInUse() == 0 })
	f.eventually("a repeat gets the response", func() bool {
		_, body, _, err := f.do(testRequest{header: map[string]string{headerIdempotencyKey: "order-10"}})
		return err == nil && body == "done"
	})
	if got, want := f.runs.Load(), int64(1); got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// Responses in another order than the requests reach the right callers.
func TestOutOfOrderResponses(t *testing.T) {
	const callers = 8
	arrived := make(chan struct{}, callers)
	release := make([]chan struct{}, callers)
	for i := range release {
		release[i] = make(chan struct{})
	}
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		arrived <- struct{}{}
		<-release[int(body[0]-'0')]
		_, _ = w.Write(body)
	})
	bodies := make([]chan string, callers)
	for i := range callers {
		bodies[i] = make(chan string, 1)
		go func() {
			_, body, _, _ := f.do(testRequest{body: fmt.Sprint(i)})
			bodies[i] <- body
		}()
	}
	for range callers {
		<-arrived
	}
	for i := callers - 1; i >= 0; i-- {
		close(release[i])
		if got, want := <-bodies[i], fmt.Sprint(i); got != want {
			t.Errorf("response to caller %d: got %q, want %q", i, got, want)
		}
	}
}

// The catalogue's limit bounds the running requests of a service even if slots
// are free.
func TestServiceLimit(t *testing.T) {
	release := make(chan struct{})
	f := newFixture(t, func(http.ResponseWriter, *http.Request) { <-release })
	f.setServiceLimit(2)
	answered := make(chan struct{}, 4)
	for range 4 {
		go func() {
			_, _, _, _ = f.do(testRequest{})
			answered <- struct{}{}
		}()
	}
	f.eventually("two requests are queued", func() bool { return f.entry.Snapshot().Services["orders"].Waiting == 2 })
	// Admitted requests may not have reached the endpoint yet.
	f.eventually("two requests are running", func() bool { return f.runs.Load() >= 2 })
	if got, want := f.runs.Load(), int64(2); got != want {
		t.Errorf("running at once: got %d, want %d", got, want)
	}
	close(release)
	for range 4 {
		<-answered
	}
}
