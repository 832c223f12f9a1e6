package operator_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/operator"
	"github.com/lovagedyke/lovagedyke/internal/revision"
	"github.com/lovagedyke/lovagedyke/internal/table"
	"github.com/lovagedyke/lovagedyke/pkg/api"
	"github.com/lovagedyke/lovagedyke/pkg/client"
)

const operatorKey = "operators' key of the tests"

// fleet is a roster whose members, except the unreachable one, confirm each
// pushed change.
type fleet struct {
	mu          sync.Mutex
	confirmed   map[string]uint64
	unreachable string
}

func (f *fleet) Push(_ context.Context, change revision.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.confirmed {
		if name != f.unreachable {
			f.confirmed[name] = change.Revision
		}
	}
}

func (f *fleet) InForce(_ context.Context, number uint64) (confirmed, missing []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, current := range f.confirmed {
		if current >= number {
			confirmed = append(confirmed, name)
		} else {
			missing = append(missing, name)
		}
	}
	return confirmed, missing
}

func (f *fleet) Roster(context.Context) ([]api.Member, error) {
	return []api.Member{{Name: "entry-1", Role: "entry"}}, nil
}

// records holds a single charge.
type records struct{}

func (records) Charge(_ context.Context, id string) (api.Charge, error) {
	if id != "c1" {
		return api.Charge{}, operator.ErrNotFound
	}
	return api.Charge{ID: id, Run: api.Run{Run: "r1", Entry: "orders"}}, nil
}

func (records) Unproven(context.Context) ([]api.Run, error) {
	return nil, nil
}

// fixture is a client of two managers that share a table.
type fixture struct {
	store  *table.Memory
	fleet  *fleet
	hosts  *hosts
	client *client.Client
	url    string
}

func newFixture(t *testing.T) *fixture {
	s := &fixture{store: table.NewMemory(), fleet: &fleet{confirmed: map[string]uint64{"entry-1": 0, "entry-2": 0}}}
	s.hosts = &hosts{store: s.store, dataCentres: []string{"nadi", "suva", "suva", ""}}
	config := client.Config{Key: operatorKey, Attempts: 4}
	for range 2 {
		server := httptest.NewServer(s.newHandler())
		t.Cleanup(server.Close)
		s.url = server.URL
		config.Managers = append(config.Managers, netip.MustParseAddrPort(server.Listener.Addr().String()))
	}
	s.client = client.New(config)
	return s
}

// newHandler returns the API of a manager that has just started.
func (s *fixture) newHandler() *operator.Handler {
	return operator.New(operator.Config{
		Store: s.store,
		Committer: revision.NewCommitter(revision.CommitterConfig{
			Store:   s.store,
			Replica: revision.NewReplica(revision.ReplicaConfig{}),
			Ready:   func() bool { return true },
			Guard:   func() []table.Condition { return nil },
		}),
		Fleet:       s.fleet,
		Records:     records{},
		Hosts:       s.hosts,
		Evacuations: s.hosts,
		Keys:        func() [][]byte { return [][]byte{[]byte("another key"), []byte(operatorKey)} },
		Dump:        func() any { return map[string]int{"revision": 1} },
	})
}

func sampleCatalogue() api.Catalogue {
	return api.Catalogue{
		Teams:   []api.Team{{Name: "acme", UpperLimit: 4}},
		Entries: []api.Entry{{Name: "orders", Kind: "service", Team: "acme"}},
	}
}

func TestChangesAndKeys(t *testing.T) {
	ctx := context.Background()
	s := newFixture(t)
	first := uint64(0)
	request := api.ApplyRequest{Catalogue: sampleCatalogue(), Expected: &first, Operation: "op"}
	applied := must(s.client.Apply(ctx, request))(t)
	if got, want := applied.Revision, uint64(1); got != want || len(applied.Changes) != 2 || !applied.Accepted {
		t.Errorf("apply: got %+v, want two changes at revision %d", applied, want)
	}
	if repeated := must(s.client.Apply(ctx, request))(t); repeated.Revision != 1 || !repeated.Unchanged {
		t.Errorf("repeat: got %+v, want revision 1 unchanged", repeated)
	}
	s.fleet.unreachable = "entry-2"
	key, issued, err := s.client.IssueKey(ctx, "acme")
	if err != nil || issued.Revision != 2 {
		t.Fatalf("issue key: got %+v, %v, want revision 2", issued, err)
	}
	state := must(revision.Load(ctx, s.store))(t)
	if team, ok := state.Keys.Check(key); team != "acme" || !ok {
		t.Errorf("issued key: got %q, %v, want acme", team, ok)
	}
	id := must(s.client.Keys(ctx))(t)[0].ID
	withdrawn := must(s.client.WithdrawKey(ctx, id, ""))(t)
	state = must(revision.Load(ctx, s.store))(t)
	if team, ok := state.Keys.Check(key); ok {
		t.Errorf("withdrawn key: got %q, want none", team)
	}
	status := must(s.client.Revision(ctx, withdrawn.Revision, 50*time.Millisecond))(t)
	if status.InForce || !slices.Equal(status.Missing, []string{"entry-2"}) || !slices.Equal(status.Confirmed, []string{"entry-1"}) {
		t.Errorf("in force: got %+v, want entry-2 missing", status)
	}
	s.fleet.unreachable = ""
	removed := must(s.client.RemoveEntry(ctx, "orders", "", nil))(t)
	if status := must(s.client.Revision(ctx, removed.Revision, time.Second))(t); !status.InForce {
		t.Errorf("in force: got %+v, want everywhere", status)
	}
	if got := must(s.client.Catalogue(ctx))(t); len(got.Catalogue.Entries) != 0 || got.Revision != 4 {
		t.Errorf("catalogue: got %+v, want no entries at revision 4", got)
	}
}

func TestRemovedTeamsKeysStayWithdrawn(t *testing.T) {
	ctx := context.Background()
	s := newFixture(t)
	must(s.client.Apply(ctx, api.ApplyRequest{Catalogue: sampleCatalogue()}))(t)
	key, _, err := s.client.IssueKey(ctx, "acme")
	if err != nil {
		t.Fatal(err)
	}
	must(s.client.Apply(ctx, api.ApplyRequest{}))(t)
	must(s.client.Apply(ctx, api.ApplyRequest{Catalogue: sampleCatalogue()}))(t)
	if team, ok := must(revision.Load(ctx, s.store))(t).Keys.Check(key); ok {
		t.Errorf("got team %q, want the key withdrawn", team)
	}
}

func TestRefusals(t *testing.T) {
	ctx := context.Background()
	old := uint64(7)
	invalid := sampleCatalogue()
	invalid.Entries[0].Team = "acne"
	tests := map[string]struct {
		faults table.Faults
		call   func(c *client.Client) error
		want   api.Problem
	}{
		"revision moved on": {
			call: func(c *client.Client) error {
				_, err := c.Apply(ctx, api.ApplyRequest{Catalogue: sampleCatalogue(), Expected: &old})
				return err
			},
			want: api.Problem{Status: 409, Reason: api.ReasonRevision, Field: "expected-revision", Outcome: api.OutcomeNotRun},
		},
		"invalid": {
			call: func(c *client.Client) error {
				_, err := c.Apply(ctx, api.ApplyRequest{Catalogue: invalid})
				return err
			},
			want: api.Problem{Status: 422, Reason: api.ReasonInvalid, Field: "[service orders] team", Outcome: api.OutcomeNotRun},
		},
		"unknown team": {
			call: func(c *client.Client) error { _, _, err := c.IssueKey(ctx, "acne"); return err },
			want: api.Problem{Status: 404, Reason: api.ReasonNotFound, Field: "team", Outcome: api.OutcomeNotRun},
		},
		"unknown charge": {
			call: func(c *client.Client) error { _, err := c.Charge(ctx, "c2"); return err },
			want: api.Problem{Status: 404, Reason: api.ReasonNotFound, Field: "id", Outcome: api.OutcomeNotRun},
		},
		"table is down": {
			faults: table.Faults{Down: true},
			call:   func(c *client.Client) error { _, err := c.WithdrawKey(ctx, "1", ""); return err },
			want:   api.Problem{Status: 503, Reason: api.ReasonTableUnavailable, Outcome: api.OutcomeNotRun},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t)
			s.store.SetFaults(tc.faults)
			var got *api.Problem
			if err := tc.call(s.client); !errors.As(err, &got) {
				t.Fatalf("got %v, want a problem", err)
			}
			if got.Status != tc.want.Status || got.Reason != tc.want.Reason || got.Field != tc.want.Field || got.Outcome != tc.want.Outcome {
				t.Errorf("got %+v, want %+v", got, tc.want)
			}
		})
	}
}

// If the answers to all commits are lost, each change still takes effect once.
func TestLostCommitAnswers(t *testing.T) {
	ctx := context.Background()
	s := newFixture(t)
	s.store.SetFaults(table.Faults{LoseAnswers: true})
	applied := must(s.client.Apply(ctx, api.ApplyRequest{Catalogue: sampleCatalogue()}))(t)
	if got, want := must(revision.Head(ctx, s.store))(t), applied.Revision; got != want || got != 1 {
		t.Errorf("got head %d, answer %d, want 1", got, want)
	}
}

func TestBadRequests(t *testing.T) {
	s := newFixture(t)
	huge := `{"operation-id":"` + strings.Repeat("x", 17<<20) + `"}`
	tests := map[string]struct {
		method, path, key, body string
		wantStatus              int
		wantField               string
	}{
		"no key":           {"GET", "/v1/catalogue", "", "", 401, "Authorization"},
		"wrong key":        {"GET", "/v1/catalogue", "x", "", 401, "Authorization"},
		"unknown path":     {"GET", "/v2", operatorKey, "", 404, "path"},
		"wrong method":     {"PUT", "/v1/catalogue", operatorKey, "", 405, "method"},
		"empty body":       {"POST", "/v1/catalogue", operatorKey, "", 400, "body"},
		"two values":       {"POST", "/v1/catalogue", operatorKey, "{}{}", 400, "body"},
		"unknown field":    {"POST", "/v1/catalogue", operatorKey, `{"catalog":{}}`, 400, "catalog"},
		"wrong type":       {"POST", "/v1/catalogue", operatorKey, `{"dry-run":3}`, 400, "dry-run"},
		"too large":        {"POST", "/v1/catalogue", operatorKey, huge, 413, "body"},
		"malformed wait":   {"GET", "/v1/revision?wait=3", operatorKey, "", 400, "wait"},
		"malformed number": {"DELETE", "/v1/entries/a?expected-revision=-1", operatorKey, "", 400, "expected-revision"},
		"malformed key id": {"POST", "/v1/keys", operatorKey, `{"id":"x","team":"acme"}`, 422, "id"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			request := must(http.NewRequest(tc.method, s.url+tc.path, strings.NewReader(tc.body)))(t)
			if tc.key != "" {
				request.Header.Set("Authorization", "Bearer "+tc.key)
			}
			response := must(http.DefaultClient.Do(request))(t)
			defer response.Body.Close()
			content := must(io.ReadAll(response.Body))(t)
			var got api.Problem
			if err := json.Unmarshal(content, &got); err != nil {
				t.Fatalf("got %q: %v", content, err)
			}
			if response.StatusCode != tc.wantStatus || got.Field != tc.wantField || got.Reason == "" {
				t.Errorf("got %d, %+v, want %d, field %q", response.StatusCode, got, tc.wantStatus, tc.wantField)
			}
		})
	}
}

func TestClientTriesTheNextManager(t *testing.T) {
	s := newFixture(t)
	stopped := httptest.NewServer(nil)
	stoppedAddress := netip.MustParseAddrPort(stopped.Listener.Addr().String())
	stopped.Close()
	runningAddress := netip.MustParseAddrPort(strings.TrimPrefix(s.url, "http://"))
	tests := map[string]struct {
		managers []netip.AddrPort
		want     error
	}{
		"first is stopped":   {[]netip.AddrPort{stoppedAddress, runningAddress}, nil},
		"all are stopped":    {[]netip.AddrPort{stoppedAddress}, client.ErrUnavailable},
		"none is configured": {nil, client.ErrUnavailable},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := client.New(client.Config{Managers: tc.managers, Key: operatorKey, Attempts: 2})
			if _, err := c.Roster(context.Background()); !errors.Is(err, tc.want) {
				t.Errorf("got %v, want %v", err, tc.want)
			}
		})
	}
}

// must returns a function that returns the value, or fails the test if err is set.
func must[T any](value T, err error) func(testing.TB) T {
	return func(t testing.TB) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
}
