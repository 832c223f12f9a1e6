package ingress_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/admission"
	"github.com/lovagedyke/lovagedyke/internal/ingress"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

const (
	someID = "5c0e7a21d94b36f8"
	path   = "/jobs/" + someID
)

// fakeFleet is a leader that can be made unavailable.
type fakeFleet struct {
	mu       sync.Mutex
	accepted int
	states   map[job.ID]job.State
	isDown   bool

	outlook    admission.Outlook
	outlookAge time.Duration
	hasOutlook bool
}

func (f *fakeFleet) NotifyAccepted(_ context.Context, submissions [][]byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accepted += len(submissions)
}

func (f *fakeFleet) acceptedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.accepted
}

func (f *fakeFleet) NotifyCancelled(context.Context, job.ID) {}

func (f *fakeFleet) State(_ context.Context, id job.ID) (job.State, bool, bool) {
	state, ok := f.states[id]
	return state, ok && !f.isDown, !f.isDown
}

func (f *fakeFleet) Waiting(context.Context, string) (int, bool) { return 7, !f.isDown }

func (f *fakeFleet) Outlook(time.Time) (admission.Outlook, time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outlook, f.outlookAge, f.hasOutlook
}

func (f *fakeFleet) Unschedulable(step job.Step) string {
	if step.Resources.CPU > 16000 {
		return "a task is larger than any endpoint"
	}
	return ""
}

// jsonCodec is a Codec that encodes the internal types as plain JSON.
type jsonCodec struct{}

func (jsonCodec) Submission(body []byte) (*job.Submission, error) {
	var out job.Submission
	err := json.Unmarshal(body, &out)
	return &out, err
}
func (jsonCodec) State(state job.State) []byte  { return []byte(state) }
func (jsonCodec) Waiting(int) []byte            { return []byte("7") }
func (jsonCodec) Refusal(reason string) []byte  { return []byte(reason) }
func (jsonCodec) Key(header http.Header) string { return header.Get("Key") }

func (jsonCodec) CallerTimeout(_ http.Header, _ time.Duration) time.Duration {
	return 500 * time.Millisecond
}

func (jsonCodec) ContentType() string { return "application/json" }

type discardJournal struct{}

func (discardJournal) Info(string, ...any) {}

type staticPolicy struct{ current *policy.Policy }

func (h staticPolicy) Current() *policy.Policy { return h.current }

// testIngress is an ingress with an in-memory store.
type testIngress struct {
	handler *ingress.Ingress
	store   *table.Memory
	fleet   *fakeFleet
}

func newTestIngress(t *testing.T, current *policy.Policy) *testIngress {
	t.Helper()
	b := &testIngress{store: table.NewMemory(), fleet: &fakeFleet{states: map[job.ID]job.State{}}}
	b.serve(t, staticPolicy{current}, b.store)
	return b
}

// serve runs an ingress over a store until the test ends.
func (b *testIngress) serve(t *testing.T, current staticPolicy, store table.Store) {
	t.Helper()
	b.run(t, ingress.New(ingress.Config{Policy: current, Store: store, Fleet: b.fleet, Codec: jsonCodec{}, Journal: discardJournal{}}))
}

// run runs an ingress until the test ends.
func (b *testIngress) run(t testing.TB, handler *ingress.Ingress) {
	t.Helper()
	b.handler = handler
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		handler.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
}

func (b *testIngress) call(method, path, key, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, "http://shop.example"+path, strings.NewReader(body))
	request.Header.Set("Key", key)
	recorder := httptest.NewRecorder()
	b.handler.ServeHTTP(recorder, request)
	return recorder
}

func testPolicy() *policy.Policy {
	return policy.New(policy.Config{
		Version:  3,
		Queues:   []policy.Queue{{Name: "jobs", HostName: "shop.example", PathPrefix: "/jobs/", Pool: "p", MaxAttempts: 2}},
		Accounts: []policy.Account{{Name: "tackle", Keys: []string{"k1"}}},
		Limits:   policy.Limits{BodyBytes: 2000},
	})
}

const oneTask = `{"steps":[{"count":1}]}`

func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		method, path, key, body string
		want                    int
	}{
		"accepted":         {"POST", path, "k1", oneTask, 200},
		"no key":           {"POST", path, "", oneTask, 401},
		"unknown key":      {"POST", path, "k2", oneTask, 401},
		"no queue":         {"POST", "/other/" + someID, "k1", oneTask, 404},
		"short ID":         {"POST", "/jobs/abc", "k1", oneTask, 400},
		"not JSON":         {"POST", path, "k1", "steps", 400},
		"no steps":         {"POST", path, "k1", "{}", 400},
		"later step":       {"POST", path, "k1", `{"steps":[{"count":1,"after":[1]},{"count":1}]}`, 400},
		"larger than host": {"POST", path, "k1", `{"steps":[{"count":1,"resources":{"cpu":17000}}]}`, 400},
		"large body":       {"POST", path, "k1", `{"spec":"` + strings.Repeat("x", 3000) + `"}`, 400},
		"unknown job":      {"GET", path, "k1", "", 410},
		"cancel unknown":   {"DELETE", path, "k1", "", 410},
		"count":            {"GET", "/jobs/", "k1", "", 200},
		"other method":     {"PUT", path, "k1", oneTask, 405},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestIngress(t, testPolicy())
			if got := b.call(c.method, c.path, c.key, c.body).Code; got != c.want {
				t.Errorf("status: got %d, want %d", got, c.want)
			}
			rows, err := b.store.Get(context.Background(), record.JobKey(someID))
			if err != nil {
				t.Fatal(err)
			}
			isStored := rows[0].Version != table.Absent
			if want := c.method == "POST" && c.want == 200; isStored != want {
				t.Errorf("stored: got %t, want %t", isStored, want)
			}
		})
	}
}

func TestNoConfigurationYet(t *testing.T) {
	got := newTestIngress(t, nil).call("POST", path, "k1", oneTask)
	if got.Code != 503 || got.Header().Get("Retry-After") == "" {
		t.Errorf("response: got %d with Retry-After %q, want 503 with one", got.Code, got.Header().Get("Retry-After"))
	}
}

func TestRepeatedSubmission(t *testing.T) {
	b := newTestIngress(t, testPolicy())
	for range 2 {
		if got := b.call("POST", path, "k1", oneTask).Code; got != 200 {
			t.Errorf("status: got %d, want 200", got)
		}
	}
	if got := b.fleet.acceptedCount(); got != 1 {
		t.Errorf("jobs that the leader was notified of: got %d, want 1", got)
	}
}

func TestStoreUnavailable(t *testing.T) {
	b := newTestIngress(t, testPolicy())
	b.store.SetFaults(table.Faults{Down: true})
	got := b.call("POST", path, "k1", oneTask)
	if got.Code != 503 || got.Header().Get("Retry-After") == "" {
		t.Errorf("response: got %d with Retry-After %q, want 503 with one", got.Code, got.Header().Get("Retry-After"))
	}
	b.store.SetFaults(table.Faults{})
	rows, err := b.store.Get(context.Background(), record.JobKey(someID))
	if err != nil || rows[0].Version != table.Absent {
		t.Errorf("refused job: got %v (%v), want no row", rows, err)
	}
}

// The store's answer is lost, but the row is stored: the job is accepted, and the
// leader is notified.
func TestLostAnswerIsResolved(t *testing.T) {
	b := newTestIngress(t, testPolicy())
	b.store.SetFaults(table.Faults{LoseAnswers: true})
	if got := b.call("POST", path, "k1", oneTask).Code; got != 200 {
		t.Errorf("status: got %d, want 200", got)
	}
	for range 100 {
		if b.fleet.acceptedCount() == 1 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("jobs that the leader was notified of: got %d, want 1", b.fleet.acceptedCount())
}

// lostAnswerStore loses the answer of each commit and executes none.
type lostAnswerStore struct{ table.Store }

func (lostAnswerStore) Commit(context.Context, table.Txn) error { return table.ErrUnknown }

func TestUnknownOutcomeIsNotRefused(t *testing.T) {
	b := newTestIngress(t, testPolicy())
	b.serve(t, staticPolicy{testPolicy()}, lostAnswerStore{b.store})
	if got := b.call("POST", path, "k1", oneTask).Code; got != 504 {
		t.Errorf("status: got %d, want 504", got)
	}
}

func TestStatesWithoutLeader(t *testing.T) {
	cases := map[string]struct {
		progress, cancel bool
		want             string
	}{
		"accepted":  {false, false, "queued"},
		"cancelled": {false, true, "cancelled"},
		"complete":  {true, false, "complete"},
		"both":      {true, true, "complete"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestIngress(t, testPolicy())
			b.fleet.isDown = true
			b.call("POST", path, "k1", oneTask)
			var writes []table.Write
			if c.progress {
				writes = append(writes, table.Write{Key: record.ProgressKey(someID), Value: []byte(`{"state":"complete"}`)})
			}
			if c.cancel {
				writes = append(writes, table.Write{Key: record.CancelKey(someID), Value: []byte("{}")})
			}
			if err := b.store.Commit(context.Background(), table.Txn{Writes: writes}); err != nil {
				t.Fatal(err)
			}
			got := b.call("GET", path, "k1", "")
			if got.Code != 200 || got.Body.String() != c.want {
				t.Errorf("response: got %d %s, want 200 %s", got.Code, got.Body, c.want)
			}
		})
	}
}

func TestCancelIsStoredBeforeReply(t *testing.T) {
	b := newTestIngress(t, testPolicy())
	b.call("POST", path, "k1", oneTask)
	if got := b.call("DELETE", path, "k1", "").Code; got != 200 {
		t.Fatalf("status: got %d, want 200", got)
	}
	rows, err := b.store.Get(context.Background(), record.CancelKey(someID))
	if err != nil || rows[0].Version == table.Absent {
		t.Errorf("cancel's row: got %v (%v), want one", rows, err)
	}
	b.store.SetFaults(table.Faults{Down: true})
	b.fleet.states[someID] = job.Running
	if got := b.call("DELETE", path, "k1", "").Code; got != 504 {
		t.Errorf("status while the store is unavailable: got %d, want 504", got)
	}
}
