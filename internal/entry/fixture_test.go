package entry

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/goleak"

	"github.com/lovagedyke/lovagedyke/internal/catalogue"
	"github.com/lovagedyke/lovagedyke/internal/keyring"
	"github.com/lovagedyke/lovagedyke/internal/limit"
	"github.com/lovagedyke/lovagedyke/internal/node"
	"github.com/lovagedyke/lovagedyke/internal/peer"
	"github.com/lovagedyke/lovagedyke/internal/platform"
	"github.com/lovagedyke/lovagedyke/internal/revision"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/table"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is an entry with an in-memory table and the test's endpoints.
type fixture struct {
	t      testing.TB
	store  *table.Memory
	node   *node.Node
	entry  *Entry
	server *httptest.Server
	client *http.Client
	keys   map[string]string
	hosts  []platform.Host
	runs   atomic.Int64
}

// Hosts implements HostLister.
func (f *fixture) Hosts(context.Context) ([]platform.Host, error) { return f.hosts, nil }

// newFixture starts an entry for the service "orders" of the team "tackle".
// Each handler serves one endpoint.
func newFixture(t testing.TB, endpoints ...http.HandlerFunc) *fixture {
	t.Helper()
	f := &fixture{t: t, store: table.NewMemory(), keys: make(map[string]string)}
	self := roster.Member{
		Identity: roster.Identity{Name: "entry-1", Incarnation: 1}, Host: "host-1",
		Role: roster.RoleEntry, Address: netip.MustParseAddrPort("127.0.0.1:1"), State: roster.StateActive,
	}
	f.commitCatalogue()
	for _, handler := range endpoints {
		f.addEndpoint(handler)
	}
	logger := log.New(io.Discard)
	f.node = node.New(node.Config{
		Self: self, Store: f.store, Log: logger,
		Dialer: peer.New(peer.Config{Secret: "s", Timeout: time.Second}),
	})
	f.entry = New(Config{Node: f.node, Hosts: f, Log: logger, ClaimRetention: time.Hour})
	f.node.Add(f.entry)
	f.allocatePermits(8)
	f.start()
	return f
}

// commitCatalogue commits a catalogue with two teams, a key for each, and the
// service "orders".
func (f *fixture) commitCatalogue() {
	ctx := context.Background()
	_, err := revision.Transaction(ctx, f.store, revision.Operation{}, func(state revision.State) (revision.State, error) {
		state.Catalogue = state.Catalogue.Clone()
		for _, name := range []string{"tackle", "bait"} {
			state.Catalogue.Teams[name] = catalogue.Team{Name: name, UpperLimit: 8, Share: 1}
			secret, key, err := keyring.New(rand.Reader, name)
			if err != nil {
				return state, err
			}
			f.keys[name] = secret.Reveal()
			state.Keys = state.Keys.With(key)
		}
		state.Catalogue.Entries["orders"] = catalogue.Entry{
			Name: "orders", Kind: catalogue.KindService, Team: "tackle", Class: catalogue.ClassUrgent,
			MaxBody: 1 << 30, Deadline: 5 * time.Second, LongestRun: 5 * time.Second,
		}
		return state, nil
	})
	if err != nil {
		f.t.Fatal(err)
	}
}

// setServiceLimit sets the limit of the service "orders" and waits until the
// entry applies it.
func (f *fixture) setServiceLimit(limit int) {
	f.t.Helper()
	_, err := revision.Transaction(context.Background(), f.store, revision.Operation{}, func(state revision.State) (revision.State, error) {
		state.Catalogue = state.Catalogue.Clone()
		orders := state.Catalogue.Entries["orders"]
		orders.Limit = limit
		state.Catalogue.Entries["orders"] = orders
		return state, nil
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.node.PollNow()
	f.eventually("the entry applies the limit", func() bool {
		return f.entry.Snapshot().Services["orders"].Capacity == limit
	})
}

// allocatePermits grants n permits of the team "tackle" to the entry.
func (f *fixture) allocatePermits(n int) {
	row, err := json.Marshal(limit.Allocation{
		Team: "tackle", Generation: 1, Limit: n, Granted: map[limit.Member]int{f.node.Member(): n},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	txn := table.Txn{Writes: []table.Write{{Key: limit.Key("tackle"), Value: row}}}
	if err := f.store.Commit(context.Background(), txn); err != nil {
		f.t.Fatal(err)
	}
}

// addEndpoint adds an endpoint that the handler serves.
func (f *fixture) addEndpoint(handler http.HandlerFunc) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.runs.Add(1)
		handler(w, r)
	}))
	f.t.Cleanup(server.Close)
	number := len(f.hosts) + 1
	f.hosts = append(f.hosts, platform.Host{Name: fmt.Sprintf("host-%d", number), DataCentre: fmt.Sprintf("dc-%d", number), State: platform.Live, Endpoints: []platform.Endpoint{{
		Service: "orders", Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")),
		Slots: 8, Connections: 64,
	}}})
}

// start joins the roster and serves requests. Everything stops when the test
// ends.
func (f *fixture) start() {
	ctx, cancel := context.WithCancel(context.Background())
	running := f.entry.Run(ctx)
	if err := f.node.Join(ctx); err != nil {
		f.t.Fatal(err)
	}
	loops := f.node.Run(ctx)
	f.entry.refreshHosts(ctx)
	f.entry.forEachService(func(_ string, s *service) { s.tick(time.Now()) })
	f.server = httptest.NewServer(f.entry)
	f.client = &http.Client{Transport: &http.Transport{}}
	f.t.Cleanup(func() {
		f.client.CloseIdleConnections()
		f.server.Close()
		f.entry.cancelAttempts()
		_ = f.entry.Drain(context.Background())
		cancel()
		<-running
		<-loops
	})
}

// testRequest is one request of a test. Empty fields get defaults.
type testRequest struct {
	method, path, key, body string
	header                  map[string]string
}

// do sends the request. It returns the status, the body, and the problem if the
// entry responded with one.
func (f *fixture) do(c testRequest) (status int, body string, problem api.Problem, err error) {
	if c.method == "" {
		c.method = http.MethodPost
	}
	if c.path == "" {
		c.path = "/orders/restock"
	}
	request, err := http.NewRequest(c.method, f.server.URL+c.path, strings.NewReader(c.body))
	if err != nil {
		f.t.Fatal(err)
	}
	if c.key == "" {
		c.key = f.keys["tackle"]
	}
	if c.key != "none" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return 0, "", api.Problem{}, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if response.Header.Get("Content-Type") == api.ProblemType {
		if err := json.Unmarshal(content, &problem); err != nil {
			f.t.Fatalf("problem %q does not decode: %v", content, err)
		}
	}
	return response.StatusCode, string(content), problem, err
}

// eventually waits for a condition that background work makes true.
func (f *fixture) eventually(what string, condition func() bool) {
	f.t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	f.t.Fatalf("%s: got no, want yes", what)
}

// permitsInUse returns the number of permits of the team "tackle" in use.
func (f *fixture) permitsInUse() int { return f.node.Ledger().Status("tackle").InUse }
