package ingress_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/budget"
	"github.com/lovagedyke/lovagedyke/internal/ingress"
	"github.com/lovagedyke/lovagedyke/internal/intake"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// exchange sends a text to a server and returns the status of its answer.
func exchange(t *testing.T, handler http.Handler, text string) *http.Response {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("answer: got %v, want one", err)
	}
	_ = response.Body.Close()
	return response
}

// Guards against requests that hold a connection for good as their bodies stop short, and
// against answers that wait for such a body.
func TestBodyThatStopsShortIsAnswered(t *testing.T) {
	tests := map[string]struct {
		key        string
		status     int
		retryAfter string
	}{
		"known key":   {"k1", 503, "1"},
		"unknown key": {"k2", 401, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestIngress(t, testPolicy())
			response := exchange(t, b.handler, "POST "+path+" HTTP/1.1\r\nHost: shop.example\r\nKey: "+test.key+"\r\nContent-Length: 100\r\n\r\n"+oneTask)
			if response.StatusCode != test.status || response.Header.Get("Retry-After") != test.retryAfter {
				t.Errorf("answer: got %d with Retry-After %q, want %d with %q", response.StatusCode, response.Header.Get("Retry-After"), test.status, test.retryAfter)
			}
			if !response.Close {
				t.Error("connection: got kept, want closed")
			}
		})
	}
}

// Guards against a job that is stored although its request was refused for want of room.
func TestRequestWithoutRoomStoresNothing(t *testing.T) {
	b := &testIngress{store: table.NewMemory(), fleet: &fakeFleet{states: map[job.ID]job.State{}}}
	requests := budget.New(budget.Config{Bytes: 200})
	bodies := intake.NewBodies(intake.BodiesConfig{Budget: requests})
	handler := ingress.New(ingress.Config{
		Policy: staticPolicy{testPolicy()}, Store: b.store, Fleet: b.fleet, Codec: jsonCodec{}, Journal: discardJournal{}, Bodies: bodies,
	})
	b.handler = handler
	full, _ := requests.Take(time.Now(), budget.Claim{Bytes: 200, Deadline: time.Now().Add(time.Minute)})
	full.Complete()
	got := b.call("POST", path, "k1", oneTask)
	if got.Code != 503 || got.Header().Get("Retry-After") != "60" {
		t.Errorf("response: got %d with Retry-After %q, want 503 with 60", got.Code, got.Header().Get("Retry-After"))
	}
	full.Release()
	requests.Resize(10)
	if got := b.call("POST", path, "k1", oneTask).Code; got != 413 {
		t.Errorf("response to a body larger than the budget: got %d, want 413", got)
	}
	rows, err := b.store.Get(context.Background(), record.JobKey(someID))
	if err != nil {
		t.Fatal(err)
	}
	if rows[0].Version != table.Absent {
		t.Error("row of the refused job: got one, want none")
	}
}

// Guards against shares that are not given back, on each way out.
func TestSharesAreGivenBack(t *testing.T) {
	requests := budget.New(budget.Config{Bytes: 1 << 20})
	b := &testIngress{store: table.NewMemory(), fleet: &fakeFleet{states: map[job.ID]job.State{}}}
	b.run(t, ingress.New(ingress.Config{
		Policy: staticPolicy{testPolicy()}, Store: b.store, Fleet: b.fleet, Codec: jsonCodec{}, Journal: discardJournal{},
		Bodies: intake.NewBodies(intake.BodiesConfig{Budget: requests}),
	}))
	for name, body := range map[string]string{"accepted": oneTask, "not JSON": "steps", "no steps": "{}", "large": `{"spec":"` + string(make([]byte, 3000))} {
		b.call("POST", path, "k1", body)
		if got := requests.Usage().Held; got != 0 {
			t.Errorf("held after a request (%s): got %d, want 0", name, got)
		}
	}
}
