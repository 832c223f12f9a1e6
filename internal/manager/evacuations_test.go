package manager

import (
	"context"
	"io"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/catalogue"
	"github.com/lovagedyke/lovagedyke/internal/node"
	"github.com/lovagedyke/lovagedyke/internal/peer"
	"github.com/lovagedyke/lovagedyke/internal/peer/peerpb"
	"github.com/lovagedyke/lovagedyke/internal/platform"
	"github.com/lovagedyke/lovagedyke/internal/pool"
	"github.com/lovagedyke/lovagedyke/internal/revision"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/table"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

// listedHosts is a platform that only lists hosts.
type listedHosts struct {
	Platform
	hosts []platform.Host
}

func (l listedHosts) Hosts(context.Context) ([]platform.Host, error) { return l.hosts, nil }

// testHosts are two hosts in suva and one in nadi, all in pool "p".
func testHosts() []platform.Host {
	return []platform.Host{
		{Name: "nadi-1", DataCentre: "nadi", Pool: "p", State: platform.Live},
		{Name: "suva-1", DataCentre: "suva", Pool: "p", State: platform.Live},
		{Name: "suva-2", DataCentre: "suva", Pool: "p", State: platform.Live},
	}
}

func testMember(name string, role roster.Role) roster.Member {
	return roster.Member{
		Identity: roster.Identity{Name: name, Incarnation: 1}, Host: "host-" + name, Role: role,
		Address: netip.MustParseAddrPort("127.0.0.1:1"), State: roster.StateActive,
	}
}

// newTestManager returns a manager that has joined the roster of the store and
// read its configuration. Its loops do not run.
func newTestManager(t *testing.T, store table.Store, name string) *Manager {
	t.Helper()
	logger := log.New(io.Discard)
	n := node.New(node.Config{
		Self: testMember(name, roster.RoleManager), Store: store, Log: logger,
		Dialer: peer.New(peer.Config{Secret: "s", Timeout: time.Second}),
	})
	m := New(Config{Node: n, Platform: listedHosts{hosts: testHosts()}, Log: logger})
	n.Add(m)
	if err := n.Join(context.Background()); err != nil {
		t.Fatal(err)
	}
	return m
}

// commit commits a change of the configuration and lets the manager apply it.
func commit(t *testing.T, m *Manager, edit revision.Edit) {
	t.Helper()
	change, err := revision.Transaction(context.Background(), m.node.Store(), revision.Operation{}, edit)
	if err != nil {
		t.Fatal(err)
	}
	m.node.Configuration().ApplyChange(change)
}

// evacuate returns an edit that evacuates the data centre.
func evacuate(dataCentre string) revision.Edit {
	return func(s revision.State) (revision.State, error) {
		return s.WithEvacuation(dataCentre, time.Unix(1, 0)), nil
	}
}

// release returns an edit that withdraws the evacuation of the data centre.
func release(dataCentre string) revision.Edit {
	return func(s revision.State) (revision.State, error) { return s.WithoutEvacuation(dataCentre), nil }
}

// addEntry returns an edit that adds a service in the pool.
func addEntry(name string) revision.Edit {
	return func(s revision.State) (revision.State, error) {
		s.Catalogue = s.Catalogue.Clone()
		s.Catalogue.Entries["orders"] = catalogue.Entry{Name: "orders", Kind: catalogue.KindService, Pool: name}
		return s, nil
	}
}

// Guards against a host of an evacuated data centre that is given to a pool as
// capacity, where no work may start on it, and against one that cannot be
// maintained or go to the spare pool meanwhile.
func TestHostMovesDuringEvacuation(t *testing.T) {
	tests := map[string]struct {
		edits   []revision.Edit
		host    string
		purpose pool.Purpose
		target  string
		want    error
	}{
		"no evacuation":         {host: "suva-1", purpose: pool.Move, target: "busy"},
		"pool that has entries": {[]revision.Edit{evacuate("suva")}, "suva-1", pool.Move, "busy", &pool.EvacuatedError{Host: "suva-1", DataCentre: "suva", Target: "busy"}},
		"spare pool":            {[]revision.Edit{evacuate("suva")}, "suva-1", pool.Move, "spare", nil},
		"maintenance":           {[]revision.Edit{evacuate("suva")}, "suva-1", pool.Maintenance, "", nil},
		"another data centre":   {[]revision.Edit{evacuate("suva")}, "nadi-1", pool.Move, "busy", nil},
		"withdrawn":             {[]revision.Edit{evacuate("suva"), release("suva")}, "suva-1", pool.Move, "busy", nil},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			m := newTestManager(t, table.NewMemory(), "manager-1")
			for _, edit := range append([]revision.Edit{addEntry("busy")}, tc.edits...) {
				commit(t, m, edit)
			}
			_, got := m.DrainHost(context.Background(), tc.host, tc.purpose, tc.target)
			if !reflect.DeepEqual(got, tc.want) {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// Guards against a move that was under way when its data centre was evacuated and
// ends in a pool that needs capacity.
func TestMoveWaitsForEvacuation(t *testing.T) {
	tests := map[string]struct {
		edits     []revision.Edit
		target    string
		wantPhase pool.Phase
	}{
		"no evacuation":         {target: "busy", wantPhase: pool.Serving},
		"pool that has entries": {[]revision.Edit{evacuate("suva")}, "busy", pool.Draining},
		"spare pool":            {[]revision.Edit{evacuate("suva")}, "spare", pool.Serving},
		"another data centre":   {[]revision.Edit{evacuate("nadi")}, "busy", pool.Serving},
		"withdrawn":             {[]revision.Edit{evacuate("suva"), release("suva")}, "busy", pool.Serving},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			m := newTestManager(t, table.NewMemory(), "manager-1")
			commit(t, m, addEntry("busy"))
			if _, err := m.DrainHost(ctx, "suva-1", pool.Move, tc.target); err != nil {
				t.Fatal(err)
			}
			for _, edit := range tc.edits {
				commit(t, m, edit)
			}
			// The roster has no entries, so the drain needs no confirmation.
			if err := m.completeDrains(ctx, pool.NewDrainTracker(), &evacuationObserver{}); err != nil {
				t.Fatal(err)
			}
			rows, err := m.node.Store().Get(ctx, pool.Key("suva-1"))
			if err != nil {
				t.Fatal(err)
			}
			got, err := pool.Decode(rows[0])
			if err != nil {
				t.Fatal(err)
			}
			if got.Phase != tc.wantPhase {
				t.Errorf("phase: got %s, want %s", got.Phase, tc.wantPhase)
			}
		})
	}
}

// Guards against a wave that is not told of evacuated hosts and counts them as
// serving; the wave itself is tested in package wave.
func TestWaveSeesEvacuatedHosts(t *testing.T) {
	tests := map[string]struct {
		edits []revision.Edit
		want  map[string]bool
	}{
		"no evacuation": {want: map[string]bool{"nadi-1": false, "suva-1": false, "suva-2": false}},
		"evacuated":     {edits: []revision.Edit{evacuate("suva")}, want: map[string]bool{"nadi-1": false, "suva-1": true, "suva-2": true}},
		"withdrawn":     {edits: []revision.Edit{evacuate("suva"), release("suva")}, want: map[string]bool{"nadi-1": false, "suva-1": false, "suva-2": false}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			m := newTestManager(t, table.NewMemory(), "manager-1")
			for _, edit := range tc.edits {
				commit(t, m, edit)
			}
			w := &waves{manager: m, byPool: make(map[string]*runningWave)}
			hosts, err := w.poolHosts(ctx, "p")
			if err != nil {
				t.Fatal(err)
			}
			got := make(map[string]bool)
			for _, host := range w.observePool(ctx, time.Unix(1, 0), hosts, &waveRow{Pool: "p"}).Hosts {
				got[host.Name] = host.Evacuated
			}
			if !reflect.DeepEqual(got, tc.want) {
				t.Errorf("evacuated: got %v, want %v", got, tc.want)
			}
		})
	}
}

// Guards against a list that shows a data centre as empty while work still runs
// there, or hides a process that the request has not reached, also after the
// manager that accepted the request has died.
func TestEvacuationList(t *testing.T) {
	ctx := context.Background()
	store := table.NewMemory()
	first := newTestManager(t, store, "manager-1")
	commit(t, first, evacuate("suva"))
	restarted := newTestManager(t, store, "manager-1b")
	entry := testMember("entry-1", roster.RoleEntry)
	err := restarted.node.ChangeRoster(ctx, func(r roster.Roster) (roster.Roster, bool) { return roster.Join(r, entry, time.Unix(1, 0)) })
	if err != nil {
		t.Fatal(err)
	}
	restarted.ApplyState(entry.Identity, &peerpb.State{Hosts: []*peerpb.HostConfirmation{{Host: "suva-1", InFlight: 3}}})
	restarted.ApplyState(roster.Identity{Name: "manager-1", Incarnation: 1}, &peerpb.State{
		Hosts: []*peerpb.HostConfirmation{{Host: "suva-1", InFlight: 2}, {Host: "suva-2", InFlight: 1}},
	})
	restarted.evacuatedTasks.Store(&map[string]int{"suva-2": 4})
	got, err := restarted.Evacuations(ctx)
	if err != nil {
		t.Fatal(err)
	}
	want := []api.Evacuation{{
		DataCentre: "suva", Since: time.Unix(1, 0).UTC(), Revision: 1, Missing: []string{"entry-1", "manager-1"},
		Hosts: []api.EvacuatedHost{
			{Name: "suva-1", Pool: "p", Requests: 3, Tasks: 2},
			{Name: "suva-2", Pool: "p", Tasks: 5},
		},
	}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	restarted.ApplyState(entry.Identity, &peerpb.State{})
	if got, err = restarted.Evacuations(ctx); err != nil || got[0].Hosts[0].Requests != 0 {
		t.Errorf("after the requests ended: got %+v, %v, want none", got, err)
	}
}

// Guards against a manager that has no route to the table and lists no evacuation,
// as if none was in force.
func TestEvacuationListWithoutTable(t *testing.T) {
	store := table.NewMemory()
	m := newTestManager(t, store, "manager-1")
	commit(t, m, evacuate("suva"))
	store.SetFaults(table.Faults{Down: true})
	if got, err := m.Evacuations(context.Background()); !errors.Is(err, table.ErrUnavailable) {
		t.Errorf("got %+v, %v, want %v", got, err, table.ErrUnavailable)
	}
}
