package platform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	api "github.com/lovagedyke/lovagedyke/internal/platform"
	"github.com/lovagedyke/lovagedyke/internal/standin/platform"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// testPlatform is a platform with a clock that the test controls.
type testPlatform struct {
	t      *testing.T
	now    time.Time
	server *httptest.Server
}

func newTestPlatform(t *testing.T, cfg platform.Config) *testPlatform {
	p := &testPlatform{t: t, now: time.Unix(1, 0)}
	cfg.Now = func() time.Time { return p.now }
	p.server = httptest.NewServer(platform.New(cfg).Handler())
	t.Cleanup(p.server.Close)
	return p
}

func (p *testPlatform) client(process string) *api.Client {
	client := api.New(api.Config{
		Address: netip.MustParseAddrPort(p.server.Listener.Addr().String()),
		Process: process,
		Timeout: 5 * time.Second,
	})
	p.t.Cleanup(client.Close)
	return client
}

func (p *testPlatform) mustRequest(method, path, body string) {
	p.t.Helper()
	request, err := http.NewRequest(method, p.server.URL+path, bytes.NewBufferString(body))
	if err != nil {
		p.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if got, want := response.StatusCode, http.StatusNoContent; got != want {
		p.t.Fatalf("%s %s: got status %d, want %d", method, path, got, want)
	}
	http.DefaultClient.CloseIdleConnections()
}

func putTxn(key string, version uint64) table.Txn {
	return table.Txn{
		Conditions: []table.Condition{{Key: key, Version: version}},
		Writes:     []table.Write{{Key: key, Value: []byte("1")}},
	}
}

func TestFaults(t *testing.T) {
	tests := map[string]struct {
		faults      string
		process     string
		wantErr     error
		wantApplied bool
		wantSecond  error
	}{
		"none":                    {faults: `{}`, process: "entry-1", wantApplied: true},
		"down":                    {faults: `{"down":true}`, process: "entry-1", wantErr: table.ErrUnavailable, wantSecond: table.ErrUnavailable},
		"down for another":        {faults: `{"down":true,"processes":["entry-2"]}`, process: "entry-1", wantApplied: true},
		"down for this":           {faults: `{"down":true,"processes":["entry-1"]}`, process: "entry-1", wantErr: table.ErrUnavailable, wantSecond: table.ErrUnavailable},
		"one answer lost":         {faults: `{"lose-answers":1}`, process: "entry-1", wantErr: table.ErrUnknown, wantApplied: true},
		"all answers lost":        {faults: `{"lose-answers":true}`, process: "entry-1", wantErr: table.ErrUnknown, wantApplied: true, wantSecond: table.ErrUnknown},
		"slow":                    {faults: `{"slow":"2ms"}`, process: "entry-1", wantApplied: true},
		"answers lost to another": {faults: `{"lose-answers":true,"processes":["entry-2"]}`, process: "entry-1", wantApplied: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			p := newTestPlatform(t, platform.Config{})
			client := p.client(tc.process)
			p.mustRequest(http.MethodPut, "/faults", tc.faults)
			if got, want := client.Commit(ctx, putTxn("a", table.Absent)), tc.wantErr; !errors.Is(got, want) {
				t.Errorf("commit: got %v, want %v", got, want)
			}
			if got, want := client.Commit(ctx, putTxn("b", table.Absent)), tc.wantSecond; !errors.Is(got, want) {
				t.Errorf("second commit: got %v, want %v", got, want)
			}
			p.mustRequest(http.MethodPut, "/faults", `{}`)
			rows, err := client.Scan(ctx, "a")
			if err != nil {
				t.Fatal(err)
			}
			if got, want := len(rows) == 1, tc.wantApplied; got != want {
				t.Errorf("applied: got %v, want %v", got, want)
			}
			conflict := client.Commit(ctx, putTxn("a", 99))
			if !table.IsConflict(conflict) {
				t.Errorf("stale commit: got %v, want a conflict", conflict)
			}
		})
	}
}

func TestRateLimit(t *testing.T) {
	ctx := context.Background()
	p := newTestPlatform(t, platform.Config{WritesPerSecond: 4, ReadsPerSecond: 3})
	client := p.client("entry-1")
	// 250 rows are three operations of up to 100 rows.
	wide := table.Txn{}
	for i := range 250 {
		wide.Writes = append(wide.Writes, table.Write{Key: fmt.Sprintf("wide/%03d", i)})
	}
	steps := []struct {
		advance time.Duration
		call    func() error
		wantErr error
	}{
		{call: func() error { return client.Commit(ctx, wide) }},
		{call: func() error { return client.Commit(ctx, putTxn("a", table.Absent)) }},
		{call: func() error { return client.Commit(ctx, putTxn("b", table.Absent)) }, wantErr: table.ErrUnavailable},
		{call: func() error { _, err := client.Scan(ctx, "wide/"); return err }},
		{call: func() error { _, err := client.Get(ctx, "a"); return err }, wantErr: table.ErrUnavailable},
		{advance: 250 * time.Millisecond, call: func() error { return client.Commit(ctx, putTxn("b", table.Absent)) }},
		{advance: time.Second, call: func() error { _, err := client.Get(ctx, "a"); return err }},
	}
	for i, step := range steps {
		p.now = p.now.Add(step.advance)
		if got, want := step.call(), step.wantErr; !errors.Is(got, want) {
			t.Errorf("step %d: got %v, want %v", i, got, want)
		}
	}
	response, err := http.Get(p.server.URL + "/stats")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var stats platform.Stats
	if err := json.NewDecoder(response.Body).Decode(&stats); err != nil {
		t.Fatal(err)
	}
	http.DefaultClient.CloseIdleConnections()
	want := platform.CallerStats{Writes: 5, Reads: 4, Refused: 2}
	if got := stats.Callers["entry-1"]; got != want {
		t.Errorf("stats: got %+v, want %+v", got, want)
	}
}

func TestHostListLag(t *testing.T) {
	ctx := context.Background()
	p := newTestPlatform(t, platform.Config{ListLag: 2 * time.Second})
	client := p.client("entry-1")
	p.mustRequest(http.MethodPut, "/hosts/host-1", `{"data-centre":"suva","endpoints":[{"service":"orders","address":"127.0.0.1:9","slots":8,"connections":64}]}`)
	steps := []struct {
		advance time.Duration
		faults  string
		change  string
		want    []api.State
	}{
		{want: nil},
		{advance: 2 * time.Second, want: []api.State{api.Live}},
		{change: `{"state":"leaving"}`, want: []api.State{api.Live}},
		{advance: time.Second, want: []api.State{api.Live}},
		{advance: time.Second, want: []api.State{api.Leaving}},
		{faults: `{"list-lag":"0s"}`, change: `{"state":"live"}`, want: []api.State{api.Live}},
	}
	for i, step := range steps {
		p.now = p.now.Add(step.advance)
		if step.faults != "" {
			p.mustRequest(http.MethodPut, "/faults", step.faults)
		}
		if step.change != "" {
			p.mustRequest(http.MethodPut, "/hosts/host-1", step.change)
		}
		hosts, err := client.Hosts(ctx)
		if err != nil {
			t.Fatal(err)
		}
		var got []api.State
		for _, host := range hosts {
			got = append(got, host.State)
		}
		if want := step.want; fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("step %d: got %v, want %v", i, got, want)
		}
	}
}

func TestObjects(t *testing.T) {
	ctx := context.Background()
	client := newTestPlatform(t, platform.Config{}).client("entry-1")
	if err := client.PutObject(ctx, "results/orders 1", []byte("plan")); err != nil {
		t.Fatal(err)
	}
	data, err := client.GetObject(ctx, "results/orders 1")
	if got, want := string(data), "plan"; got != want || err != nil {
		t.Errorf("object: got %q, %v, want %q", got, err, want)
	}
	_, err = client.GetObject(ctx, "results/2")
	if got, want := err, api.ErrNoObject; !errors.Is(got, want) {
		t.Errorf("absent object: got %v, want %v", got, want)
	}
}
