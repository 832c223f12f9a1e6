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

// echo answers with the request's body while it reads it.
func echo(w http.ResponseWriter, r *http.Request) {
	_ = http.NewResponseController(w).EnableFullDuplex()
	_, _ = io.Copy(w, r.Body)
}

// cut reads the request and closes the connection without an answer.
func cut(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

// truncate promises size bytes and sends half of them.
func truncate(size int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(size))
		_, _ = io.WriteString(w, strings.Repeat("x", size/2))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func TestRefusals(t *testing.T) {
	f := newFixture(t, echo)
	tests := map[string]struct {
		call       testCall
		wantStatus int
		wantReason string
		wantField  string
	}{
		"unknown service":   {testCall{path: "/ordes/x"}, 404, "unknown-service", "path"},
		"no key":            {testCall{key: "none"}, 401, "no-key", "Authorization"},
		"wrong key":         {testCall{key: "lk_a_b"}, 401, "wrong-key", "Authorization"},
		"key of other team": {testCall{key: f.keys["bait"]}, 403, "other-team", "Authorization"},
		"broken deadline":   {testCall{header: map[string]string{headerDeadline: "soon"}}, 400, "broken-deadline", headerDeadline},
		"negative deadline": {testCall{header: map[string]string{headerDeadline: "-1s"}}, 400, "broken-deadline", headerDeadline},
		"long key":          {testCall{header: map[string]string{headerKey: strings.Repeat("k", 256)}}, 400, "broken-idempotency-key", headerKey},
		"large marked body": {testCall{header: map[string]string{headerKey: "k"}, body: strings.Repeat("b", maxMarkedBody+1)}, 413, "body-too-large", "body"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			status, _, problem, err := f.do(tc.call)
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
	if got := f.handled.Load(); got != 0 {
		t.Errorf("runs: got %d, want 0", got)
	}
}

func TestAnswers(t *testing.T) {
	marked := map[string]string{headerKey: "k1"}
	tests := map[string]struct {
		endpoints   []http.HandlerFunc
		call        testCall
		wantStatus  int
		wantBody    string
		wantReason  string
		wantOutcome api.Outcome
		wantRuns    int64
		wantCut     bool
	}{
		"whole":               {endpoints: []http.HandlerFunc{echo}, call: testCall{body: "leader line"}, wantStatus: 200, wantBody: "leader line", wantRuns: 1},
		"whole, marked":       {endpoints: []http.HandlerFunc{echo}, call: testCall{body: "leader line", header: marked}, wantStatus: 200, wantBody: "leader line", wantRuns: 1},
		"no endpoint":         {call: testCall{}, wantStatus: 503, wantReason: "no-endpoint", wantOutcome: api.OutcomeNotRun},
		"short answer cut":    {endpoints: []http.HandlerFunc{truncate(100)}, call: testCall{header: marked}, wantStatus: 502, wantReason: "endpoint-failed", wantOutcome: api.OutcomeUnknown, wantRuns: 1},
		"long answer cut":     {endpoints: []http.HandlerFunc{truncate(1 << 20)}, call: testCall{header: marked}, wantCut: true, wantRuns: 1},
		"marked, cut":         {endpoints: []http.HandlerFunc{cut, cut}, call: testCall{header: marked}, wantStatus: 502, wantReason: "endpoint-failed", wantOutcome: api.OutcomeUnknown, wantRuns: 1},
		"marked GET, cut":     {endpoints: []http.HandlerFunc{cut, cut}, call: testCall{method: http.MethodGet, header: marked}, wantStatus: 502, wantReason: "endpoint-failed", wantOutcome: api.OutcomeUnknown, wantRuns: 1},
		"unmarked, one fails": {endpoints: []http.HandlerFunc{truncate(10)}, call: testCall{}, wantStatus: 502, wantReason: "no-endpoint", wantOutcome: api.OutcomeUnknown, wantRuns: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, tc.endpoints...)
			status, body, problem, err := f.do(tc.call)
			if got := err != nil; got != tc.wantCut {
				t.Fatalf("cut: got %v, want %v", err, tc.wantCut)
			}
			if got := status; got != tc.wantStatus && !tc.wantCut {
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
			if got := f.handled.Load(); got != tc.wantRuns {
				t.Errorf("runs: got %d, want %d", got, tc.wantRuns)
			}
		})
	}
}

// A connection that closes after an answer makes net/http repeat some requests
// by itself; a request with an idempotency key is among them.
func TestMarkedRequestIsNotReplayedOnAReusedConnection(t *testing.T) {
	first := true
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		if first {
			first = false
			echo(w, r)
			return
		}
		cut(w, r)
	})
	for i, want := range []api.Outcome{"", api.OutcomeUnknown} {
		header := map[string]string{headerKey: fmt.Sprint(i)}
		_, _, problem, err := f.do(testCall{method: http.MethodGet, header: header})
		if err != nil {
			t.Fatal(err)
		}
		if got := problem.Outcome; got != want {
			t.Errorf("outcome %d: got %q, want %q", i, got, want)
		}
	}
	if got, want := f.handled.Load(), int64(2); got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

func TestRepeatOfAMarkedRequest(t *testing.T) {
	f := newFixture(t, echo)
	header := map[string]string{headerKey: "order-7"}
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
		status, body, problem, err := f.do(testCall{body: tc.body, header: header})
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
	if got, want := f.handled.Load(), int64(1); got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

func TestLateAnswerSettlesPermitAndClaim(t *testing.T) {
	release := make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, "late")
	})
	header := map[string]string{headerKey: "order-8", headerDeadline: "100ms"}
	_, _, problem, err := f.do(testCall{header: header})
	if err != nil {
		t.Fatal(err)
	}
	if got, want := problem.Outcome, api.OutcomeUnknown; got != want {
		t.Errorf("after the deadline: got %q, want %q", got, want)
	}
	if got, want := f.inUse(), 1; got != want {
		t.Errorf("permits while the run goes on: got %d, want %d", got, want)
	}
	_, _, problem, _ = f.do(testCall{header: header})
	if got, want := problem.Outcome, api.OutcomeRunning; got != want {
		t.Errorf("repeat while running: got %q, want %q", got, want)
	}
	close(release)
	f.eventually("permit is free", func() bool { return f.inUse() == 0 })
	f.eventually("repeat has the answer", func() bool {
		_, body, _, err := f.do(testCall{header: header})
		return err == nil && body == "late"
	})
	if got, want := f.handled.Load(), int64(1); got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

func TestCutRequestKeepsItsPermitUntilTheLongestRun(t *testing.T) {
	f := newFixture(t, cut)
	if _, _, _, err := f.do(testCall{header: map[string]string{headerKey: "order-9"}}); err != nil {
		t.Fatal(err)
	}
	if got, want := f.inUse(), 1; got != want {
		t.Errorf("permits after a cut: got %d, want %d", got, want)
	}
	f.node.Ledger().Tick(time.Now().Add(time.Minute))
	if got, want := f.inUse(), 0; got != want {
		t.Errorf("permits after the longest run: got %d, want %d", got, want)
	}
}

func TestLargeBodiesStreamBothWays(t *testing.T) {
	f := newFixture(t, echo)
	body := strings.Repeat("0123456789abcdef", 1<<18)
	_, got, problem, err := f.do(testCall{body: body})
	if err != nil {
		t.Fatal(err)
	}
	if got != body {
		t.Errorf("got %d bytes (%s), want %d", len(got), problem.Reason, len(body))
	}
}

// refuseFirst answers n requests with an endpoint's word that it has no slot.
func refuseFirst(n int64) http.HandlerFunc {
	var seen atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		if seen.Add(1) <= n {
			w.Header().Set(headerRefused, "slots")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		echo(w, r)
	}
}

func TestEndpointsWithoutSlots(t *testing.T) {
	marked := map[string]string{headerKey: "order-11"}
	tests := map[string]struct {
		refusals   int64
		header     map[string]string
		wantReason string
		want       api.Outcome
	}{
		"a slot comes free":           {refusals: 4},
		"none in time":                {refusals: 1 << 40, header: map[string]string{headerDeadline: "100ms"}, wantReason: "endpoints-full", want: api.OutcomeNotRun},
		"marked: the caller's to ask": {refusals: 1, header: marked, wantReason: "endpoint-full", want: api.OutcomeNotRun},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, refuseFirst(tc.refusals))
			_, body, problem, err := f.do(testCall{body: "line", header: tc.header})
			if err != nil {
				t.Fatal(err)
			}
			if got := problem.Reason; got != tc.wantReason {
				t.Errorf("reason: got %q (%s), want %q", got, body, tc.wantReason)
			}
			if got := problem.Outcome; got != tc.want {
				t.Errorf("outcome: got %q, want %q", got, tc.want)
			}
			if got := f.inUse(); got != 0 {
				t.Errorf("permits in use: got %d, want 0", got)
			}
			if tc.header == nil || tc.header[headerKey] == "" {
				return
			}
			f.eventually("the claim is given back", func() bool {
				_, body, _, err := f.do(testCall{body: "line", header: tc.header})
				return err == nil && body == "line"
			})
		})
	}
}

func TestUnmarkedRequestMovesToAnotherEndpoint(t *testing.T) {
	f := newFixture(t, cut, echo, echo)
	for range 10 {
		_, body, problem, err := f.do(testCall{body: "bait"})
		if err != nil {
			t.Fatal(err)
		}
		if got, want := body, "bait"; got != want {
			t.Errorf("got %q (%s), want %q", got, problem.Reason, want)
		}
	}
}

func TestTrailersArePassedOn(t *testing.T) {
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
	answer, err := f.client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil || len(body) != 100_000 {
		t.Errorf("body: got %d bytes, %v, want 100000", len(body), err)
	}
	if got, want := answer.Trailer.Get("Checksum"), "17"; got != want {
		t.Errorf("trailer: got %q, want %q", got, want)
	}
}

// The caller hangs up while its request runs: the run is settled, and a repeat
// gets the answer.
func TestCallerHangsUp(t *testing.T) {
	release := make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, "done")
	})
	ctx, hangUp := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.server.URL+"/orders/restock", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+f.keys["tackle"])
	request.Header.Set(headerKey, "order-10")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if answer, err := f.client.Do(request); err == nil {
			_ = answer.Body.Close()
		}
	}()
	f.eventually("the request runs", func() bool { return f.handled.Load() == 1 })
	hangUp()
	<-ended
	close(release)
	f.eventually("permit is free", func() bool { return f.inUse() == 0 })
	f.eventually("repeat has the answer", func() bool {
		_, body, _, err := f.do(testCall{header: map[string]string{headerKey: "order-10"}})
		return err == nil && body == "done"
	})
	if got, want := f.handled.Load(), int64(1); got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// Answers that come in another order than the requests reach their own callers.
func TestCrossedAnswers(t *testing.T) {
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
	answers := make([]chan string, callers)
	for i := range callers {
		answers[i] = make(chan string, 1)
		go func() {
			_, body, _, _ := f.do(testCall{body: fmt.Sprint(i)})
			answers[i] <- body
		}()
	}
	for range callers {
		<-arrived
	}
	for i := callers - 1; i >= 0; i-- {
		close(release[i])
		if got, want := <-answers[i], fmt.Sprint(i); got != want {
			t.Errorf("answer to caller %d: got %q, want %q", i, got, want)
		}
	}
}

// The catalogue's limit bounds what a service runs at once, though slots are free.
func TestServiceLimit(t *testing.T) {
	release := make(chan struct{})
	f := newFixture(t, func(http.ResponseWriter, *http.Request) { <-release })
	f.limitOrders(2)
	answered := make(chan struct{}, 4)
	for range 4 {
		go func() {
			_, _, _, _ = f.do(testCall{})
			answered <- struct{}{}
		}()
	}
	f.eventually("two wait", func() bool { return f.entry.Snapshot().Services["orders"].Waiting == 2 })
	// Those that were admitted may still be on their way to the endpoint.
	f.eventually("two run", func() bool { return f.handled.Load() >= 2 })
	if got, want := f.handled.Load(), int64(2); got != want {
		t.Errorf("running at once: got %d, want %d", got, want)
	}
	close(release)
	for range 4 {
		<-answered
	}
}
