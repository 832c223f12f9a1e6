package worker_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	"github.com/lovagedyke/lovagedyke/internal/duration"
	"github.com/lovagedyke/lovagedyke/internal/standin/worker"
	api "github.com/lovagedyke/lovagedyke/internal/worker"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const (
	id    = "orders/7.1"
	lease = 30 * time.Second
)

// testWorker is a worker with a clock that the test controls.
type testWorker struct {
	now     time.Time
	server  *httptest.Server
	client  *api.Client
	address netip.AddrPort
}

func newTestWorker(t *testing.T) *testWorker {
	w := &testWorker{now: time.Unix(1, 0)}
	w.server = httptest.NewServer(worker.New(worker.Config{
		Name:        "worker-1",
		Incarnation: "a",
		UsageLag:    time.Second,
		Now:         func() time.Time { return w.now },
	}).Handler())
	w.address = netip.MustParseAddrPort(w.server.Listener.Addr().String())
	w.client = api.New(api.Config{Timeout: 200 * time.Millisecond})
	t.Cleanup(w.server.Close)
	t.Cleanup(w.client.Close)
	return w
}

func (w *testWorker) start(change func(*api.Start)) (api.Status, error) {
	start := api.Start{
		ID: id, Queue: "orders", Team: "reef", Lease: duration.New(lease), Epoch: 5,
		RunTime: duration.New(time.Minute), Resources: api.Resources{CPUs: 1, Memory: 1 << 20},
	}
	if change != nil {
		change(&start)
	}
	return w.client.Start(context.Background(), w.address, start)
}

func (w *testWorker) setFaults(t *testing.T, body string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPut, w.server.URL+"/standin/faults", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := w.server.Client().Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if got, want := response.StatusCode, http.StatusNoContent; got != want {
		t.Fatalf("faults: got status %d, want %d", got, want)
	}
}

func TestStart(t *testing.T) {
	tests := map[string]struct {
		faults    string
		change    func(*api.Start)
		wantErr   error
		wantState api.State
	}{
		"started":            {wantState: api.Running},
		"other incarnation":  {change: func(s *api.Start) { s.Incarnation = "b" }, wantErr: api.ErrOtherIncarnation},
		"too large":          {change: func(s *api.Start) { s.CPUs = 17 }, wantErr: api.ErrRefused},
		"more than declared": {change: func(s *api.Start) { s.Body = []byte(`{"memory":99000000000}`) }, wantState: api.Failed},
		"failing worker":     {faults: `{"fail-everything":true}`, wantState: api.Failed},
		"answer lost":        {faults: `{"lose-answers":1}`, wantErr: api.ErrUnknown},
		"paused":             {faults: `{"paused":true}`, wantErr: api.ErrUnknown},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newTestWorker(t)
			w.setFaults(t, tc.faults+strings.Repeat("{}", 1-min(1, len(tc.faults))))
			status, err := w.start(tc.change)
			w.setFaults(t, "{}")
			if got, want := err, tc.wantErr; !errors.Is(got, want) {
				t.Fatalf("error: got %v, want %v", got, want)
			}
			if got, want := status.State, tc.wantState; got != want {
				t.Errorf("state: got %q, want %q", got, want)
			}
		})
	}
}

func TestTaskLifecycle(t *testing.T) {
	order := api.Order{Shard: "orders", Epoch: 5, Lease: duration.New(lease)}
	tests := map[string]struct {
		workload string
		act      func(context.Context, *testWorker) (api.Status, error)
		wait     time.Duration
		want     api.State
	}{
		"lapses":            {wait: lease, want: api.Lapsed},
		"runs under lease":  {wait: lease - 1, want: api.Running},
		"ends before lapse": {workload: `{"run-time":"1s"}`, wait: time.Hour, want: api.Done},
		"fails by itself":   {workload: `{"run-time":"1s","fail":"bad input"}`, wait: time.Hour, want: api.Failed},
		"stopped": {wait: 0, want: api.Stopped, act: func(ctx context.Context, w *testWorker) (api.Status, error) {
			return w.client.Stop(ctx, w.address, id, order)
		}},
		"checkpointed": {wait: 0, want: api.Checkpointed, act: func(ctx context.Context, w *testWorker) (api.Status, error) {
			return w.client.Checkpoint(ctx, w.address, id, order)
		}},
		"renewed": {wait: lease, want: api.Running, act: func(ctx context.Context, w *testWorker) (api.Status, error) {
			w.now = w.now.Add(time.Second)
			return w.client.Renew(ctx, w.address, id, api.Order{Shard: "orders", Epoch: 6, Lease: duration.New(time.Hour)})
		}},
		"renewed with others": {wait: lease, want: api.Running, act: func(ctx context.Context, w *testWorker) (api.Status, error) {
			w.now = w.now.Add(time.Second)
			renewed, err := w.client.RenewAll(ctx, w.address, api.Renewal{Shard: "orders", Epoch: 5, Lease: duration.New(time.Hour), IDs: []string{"none", id}})
			if len(renewed.Tasks) != 1 {
				return api.Status{}, errors.Newf("%d tasks in %+v", len(renewed.Tasks), renewed)
			}
			return renewed.Tasks[0], err
		}},
		"throttled": {workload: `{"run-time":"1s"}`, wait: 2 * time.Second, want: api.Running, act: func(ctx context.Context, w *testWorker) (api.Status, error) {
			return w.client.Throttle(ctx, w.address, id, api.Order{Shard: "orders", Epoch: 5, Rate: 0.25})
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			w := newTestWorker(t)
			if _, err := w.start(func(s *api.Start) { s.Body = []byte(tc.workload) }); err != nil {
				t.Fatal(err)
			}
			if tc.act != nil {
				if _, err := tc.act(ctx, w); err != nil {
					t.Fatal(err)
				}
			}
			w.now = w.now.Add(tc.wait)
			// A repeated start returns the current state and runs nothing.
			status, err := w.start(func(s *api.Start) { s.Epoch = 9 })
			if err != nil {
				t.Fatal(err)
			}
			if got, want := status.State, tc.want; got != want {
				t.Errorf("state: got %q, want %q", got, want)
			}
		})
	}
}

func TestStopBeforeStart(t *testing.T) {
	ctx := context.Background()
	w := newTestWorker(t)
	order := api.Order{Shard: "orders", Epoch: 5}
	if _, err := w.client.Stop(ctx, w.address, id, order); err != nil {
		t.Fatal(err)
	}
	status, err := w.start(nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := status.State, api.Stopped; got != want || status.Ran {
		t.Errorf("late start: got %q, ran %v, want %q that never ran", got, status.Ran, want)
	}
	_, err = w.start(func(s *api.Start) { s.Epoch = 4 })
	if got, want := err, api.ErrStale; !errors.Is(got, want) {
		t.Errorf("stale epoch: got %v, want %v", got, want)
	}
	_, err = w.client.Status(ctx, w.address, "orders/8.1")
	if got, want := err, api.ErrNoTask; !errors.Is(got, want) {
		t.Errorf("unknown task: got %v, want %v", got, want)
	}
}

func TestReportLag(t *testing.T) {
	ctx := context.Background()
	w := newTestWorker(t)
	for i, want := range []int{0, 0, 1} {
		report, err := w.client.Report(ctx, w.address)
		if err != nil {
			t.Fatal(err)
		}
		if got := len(report.Tasks); got != want {
			t.Errorf("report %d: got %d tasks, want %d", i, got, want)
		}
		if _, err := w.start(nil); err != nil {
			t.Fatal(err)
		}
		w.now = w.now.Add(600 * time.Millisecond)
	}
}
