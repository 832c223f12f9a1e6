package entry

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/budget"
	"github.com/lovagedyke/lovagedyke/internal/intake"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

// Guards against bodies that stop short and are held for good: the caller gets an answer that
// says that the request did not run, and the memory is given back.
func TestBodiesThatAreNotRead(t *testing.T) {
	tests := map[string]struct {
		header string
		size   int
		// budget is what bodies may take, 0 for enough.
		budget int64
		status int
		reason string
	}{
		"stops short":             {"", 1000, 0, http.StatusServiceUnavailable, "body-late"},
		"idempotent, stops short": {"Idempotency-Key: a\r\n", 100_000, 0, http.StatusServiceUnavailable, "body-late"},
		"no memory":               {"", 1000, 2500, http.StatusServiceUnavailable, "no-memory"},
		"never any memory":        {"", 1000, 1500, http.StatusRequestEntityTooLarge, "body-too-large"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") })
			bytes := test.budget
			if bytes == 0 {
				bytes = 1 << 20
			}
			requests := budget.New(budget.Config{Bytes: bytes})
			if test.reason == "no-memory" {
				share, _ := requests.Take(time.Now(), budget.Claim{Bytes: 1000, Deadline: time.Now().Add(time.Minute)})
				share.Complete()
				defer share.Release()
			}
			before := requests.Usage().Held
			f.entry.config.Bodies = intake.NewBodies(intake.BodiesConfig{Budget: requests, Factor: 2})
			response, problem := f.sendShort(t, test.header, test.size)
			if response.StatusCode != test.status || problem.Reason != test.reason || problem.Outcome != api.OutcomeNotRun {
				t.Errorf("answer: got %d, %q, %q, want %d, %q, %q", response.StatusCode, problem.Reason, problem.Outcome, test.status, test.reason, api.OutcomeNotRun)
			}
			if got := requests.Usage().Held; got != before {
				t.Errorf("held afterwards: got %d bytes, want %d", got, before)
			}
			if got := f.runs.Load(); got != 0 {
				t.Errorf("runs: got %d, want 0", got)
			}
		})
	}
}

// sendShort sends a request whose body lacks its last byte, and returns the answer.
func (f *fixture) sendShort(t *testing.T, header string, size int) (*http.Response, api.Problem) {
	t.Helper()
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = fmt.Fprintf(conn, "POST /orders/ HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\n%s: 300ms\r\n%sContent-Length: %d\r\n\r\n%s",
		f.keys["tackle"], headerDeadline, header, size, strings.Repeat("x", size-1))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("answer: got %v, want one", err)
	}
	defer func() { _ = response.Body.Close() }()
	var problem api.Problem
	if err := json.NewDecoder(response.Body).Decode(&problem); err != nil {
		t.Fatal(err)
	}
	return response, problem
}
