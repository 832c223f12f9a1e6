package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/proto"

	"github.com/lovagedyke/lovagedyke/internal/catalogue"
	"github.com/lovagedyke/lovagedyke/internal/limit"
	"github.com/lovagedyke/lovagedyke/internal/node"
	"github.com/lovagedyke/lovagedyke/internal/peer"
	"github.com/lovagedyke/lovagedyke/internal/peer/peerpb"
	"github.com/lovagedyke/lovagedyke/internal/platform"
	"github.com/lovagedyke/lovagedyke/internal/revision"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/share"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// deploymentSize is the size of a deployment. Each team has a flow at each
// service.
type deploymentSize struct {
	members, teams, services, endpoints int
}

// benchStart is the join time of all members.
var benchStart = time.Unix(1_700_000_000, 0)

// benchMember returns the i-th entry of the deployment.
func benchMember(i int) roster.Member {
	return roster.Member{
		Identity: roster.Identity{Name: fmt.Sprintf("entry-%02d", i), Incarnation: 1}, Host: fmt.Sprintf("host-%02d", i),
		Role: roster.RoleEntry, DataCentre: fmt.Sprintf("dc-%d", i%8), State: roster.StateActive,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(8000+i)),
	}
}

func benchTeam(i int) string { return fmt.Sprintf("team-%03d", i) }

func benchService(i int) string { return fmt.Sprintf("service-%02d", i) }

// benchEntry is the first member of a deployment. It has no sockets, runs no
// loops and serves no callers.
type benchEntry struct {
	*fixture
	size deploymentSize
}

// newBenchEntry returns an entry that has joined the deployment and read its
// endpoints.
func newBenchEntry(b testing.TB, size deploymentSize) *benchEntry {
	b.Helper()
	f := &fixture{store: table.NewMemory(), keys: make(map[string]string)}
	e := &benchEntry{fixture: f, size: size}
	e.commitRows(b)
	for i := range size.services * size.endpoints {
		f.hosts = append(f.hosts, platform.Host{Name: fmt.Sprint("host-", i), State: platform.Live, Endpoints: []platform.Endpoint{{
			Service: benchService(i % size.services), Slots: 8, Connections: 64,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 9000),
		}}})
	}
	logger := log.New(io.Discard)
	f.node = node.New(node.Config{
		Self: benchMember(0), Store: f.store, Log: logger, FreshBound: time.Hour, Dialer: peer.New(peer.Config{}),
	})
	f.entry = New(Config{Node: f.node, Hosts: f, Log: logger, ClaimRetention: time.Hour})
	f.node.Add(f.entry)
	if err := f.node.Join(context.Background()); err != nil {
		b.Fatal(err)
	}
	f.entry.refreshHosts(context.Background())
	f.entry.forEachService(func(_ string, s *service) { s.tick(time.Now()) })
	return e
}

// commitRows writes the roster, the permits and the configuration to the table.
func (e *benchEntry) commitRows(b testing.TB) {
	b.Helper()
	members := roster.Roster{}
	for i := range e.size.members {
		members, _ = roster.Join(members, benchMember(i), benchStart)
	}
	members.Past = nil
	txn := table.Txn{Writes: []table.Write{{Key: roster.Key, Value: members.Encode()}}}
	for i := range e.size.teams {
		allocation := limit.Allocation{Team: benchTeam(i), Generation: 1, Limit: 1 << 20, Granted: map[limit.Member]int{}}
		for _, m := range members.Members {
			allocation.Granted[limit.Member(m.Identity.String())] = 1000
		}
		value, err := json.Marshal(allocation)
		if err != nil {
			b.Fatal(err)
		}
		txn.Writes = append(txn.Writes, table.Write{Key: limit.Key(allocation.Team), Value: value})
	}
	if err := e.store.Commit(context.Background(), txn); err != nil {
		b.Fatal(err)
	}
	_, err := revision.Transaction(context.Background(), e.store, revision.Operation{}, e.addCatalogue)
	if err != nil {
		b.Fatal(err)
	}
}

// addCatalogue adds the teams and services to the configuration.
func (e *benchEntry) addCatalogue(state revision.State) (revision.State, error) {
	state.Catalogue = state.Catalogue.Clone()
	shares := make(map[string]int)
	for i := range e.size.teams {
		name := benchTeam(i)
		shares[name] = 1
		state.Catalogue.Teams[name] = catalogue.Team{Name: name, UpperLimit: 1 << 20, Share: 1}
	}
	for i := range e.size.services {
		name := benchService(i)
		state.Catalogue.Entries[name] = catalogue.Entry{
			Name: name, Kind: catalogue.KindService, Team: benchTeam(0), Class: catalogue.ClassNormal, Shares: shares,
			MaxBody: 1 << 30, Deadline: time.Minute, LongestRun: time.Minute,
		}
	}
	return state, nil
}

// fillQueues submits a request of every team at every service, and picks each
// service's endpoints.
func (e *benchEntry) fillQueues(now time.Time) {
	e.entry.forEachService(func(_ string, s *service) {
		for i := range e.size.teams {
			s.submit(now, share.Ticket{ID: e.entry.lastTicket.Add(1), Team: benchTeam(i), Class: share.Normal, Deadline: now.Add(time.Hour)})
		}
		for range e.size.endpoints {
			s.pick(now, true, nil)
		}
	})
}

// BenchmarkExchange measures one exchange of states at the receiver: decode,
// apply, build and encode. Every team has a request running or queued at every
// service.
func BenchmarkExchange(b *testing.B) {
	today := deploymentSize{members: 7, teams: 6, services: 5, endpoints: 10}
	target := deploymentSize{members: 24, teams: 130, services: 27, endpoints: 63}
	sizes := map[string]deploymentSize{"today": today, "target": target}
	for _, n := range []int{7, 14, 24, 48} {
		sizes[fmt.Sprintf("members=%03d", n)] = deploymentSize{n, 6, 5, 10}
	}
	for _, n := range []int{6, 30, 65, 130} {
		sizes[fmt.Sprintf("teams=%03d", n)] = deploymentSize{7, n, 5, 10}
	}
	for _, n := range []int{5, 10, 20, 40} {
		sizes[fmt.Sprintf("services=%03d", n)] = deploymentSize{7, 6, n, 10}
	}
	for _, n := range []int{10, 20, 40, 80} {
		sizes[fmt.Sprintf("endpoints=%03d", n)] = deploymentSize{7, 6, 5, n}
	}
	names := make([]string, 0, len(sizes))
	for name := range sizes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		b.Run(name, func(b *testing.B) { benchmarkExchange(b, sizes[name]) })
	}
}

func benchmarkExchange(b *testing.B, size deploymentSize) {
	e := newBenchEntry(b, size)
	e.fillQueues(time.Now())
	ctx := context.Background()
	service := e.node.Service()
	from := &peerpb.State{From: peer.IdentityMessage(benchMember(1).Identity)}
	state, err := service.Exchange(ctx, from)
	if err != nil {
		b.Fatal(err)
	}
	state = proto.Clone(state).(*peerpb.State)
	state.From = from.From
	encoded, err := proto.Marshal(state)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		received := &peerpb.State{}
		if err := proto.Unmarshal(encoded, received); err != nil {
			b.Fatal(err)
		}
		reply, err := service.Exchange(ctx, received)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := proto.Marshal(reply); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(encoded)), "state-bytes")
}

// exchangeWithAll exchanges states with all other members. Each sends a copy of
// the entry's own state.
func (e *benchEntry) exchangeWithAll(b testing.TB) {
	b.Helper()
	service := e.node.Service()
	state := &peerpb.State{}
	for i := 1; i < e.size.members; i++ {
		state.From = peer.IdentityMessage(benchMember(i).Identity)
		reply, err := service.Exchange(context.Background(), state)
		if err != nil {
			b.Fatal(err)
		}
		encoded, err := proto.Marshal(reply)
		if err != nil {
			b.Fatal(err)
		}
		// A decoded copy shares no memory with the entry's own.
		state = &peerpb.State{}
		if err := proto.Unmarshal(encoded, state); err != nil {
			b.Fatal(err)
		}
		state.From = peer.IdentityMessage(benchMember(i).Identity)
		if _, err := service.Exchange(context.Background(), state); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkEntryHeap measures the heap of an entry that has received the states
// of all other members.
func BenchmarkEntryHeap(b *testing.B) {
	for _, size := range []deploymentSize{{7, 6, 5, 10}, {14, 32, 10, 20}, {24, 65, 20, 40}, {24, 130, 27, 63}} {
		b.Run(fmt.Sprintf("members=%d/teams=%d/services=%d/endpoints=%d", size.members, size.teams, size.services, size.endpoints), func(b *testing.B) {
			var before, after runtime.MemStats
			for range b.N {
				runtime.GC()
				runtime.ReadMemStats(&before)
				e := newBenchEntry(b, size)
				e.fillQueues(time.Now())
				e.exchangeWithAll(b)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(e)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
		})
	}
}

// BenchmarkAdmission measures the admission of a request: check the key,
// acquire a slot and a permit, pick an endpoint, and release them. The parallel
// callers all use the same service, or 16 services.
func BenchmarkAdmission(b *testing.B) {
	for _, services := range []int{1, 16} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			e := newBenchEntry(b, deploymentSize{members: 1, teams: 16, services: services, endpoints: 63})
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				number := int(e.entry.lastTicket.Add(1))
				name := benchService(number % services)
				c := &call{team: benchTeam(number % 16), entry: catalogue.Entry{Name: name, Class: catalogue.ClassNormal}}
				c.deadline = time.Now().Add(time.Hour)
				presented := fmt.Sprintf("lk_%016x_%043d", 1, 0)
				for pb.Next() {
					if reason := e.admitOnce(c, name, presented); reason != "" {
						b.Error(reason)
						return
					}
				}
			})
		})
	}
}

// admitOnce admits a request and ends it.
func (e *benchEntry) admitOnce(c *call, name, presented string) (reason string) {
	view := e.node.Configuration().View()
	now := e.entry.now()
	if !view.Fresh(now) {
		return "stale"
	}
	view.State.Keys.Check(presented)
	s := e.entry.service(name)
	adm, refusal := e.entry.admit(c, s)
	if refusal != nil {
		return refusal.Reason
	}
	endpoint, ok := s.pick(now, true, nil)
	if !ok {
		return "no endpoint"
	}
	s.recordAttempt(now, endpoint, 0, time.Millisecond)
	e.entry.outstanding.end(endpoint)
	adm.end(now)
	return ""
}

// BenchmarkUpdateServices measures the work for each read of the host list and
// for each change of the assignments.
func BenchmarkUpdateServices(b *testing.B) {
	for _, endpoints := range []int{10, 20, 40, 63} {
		b.Run(fmt.Sprintf("endpoints=%d", 27*endpoints), func(b *testing.B) {
			e := newBenchEntry(b, deploymentSize{members: 24, teams: 130, services: 27, endpoints: endpoints})
			b.ReportAllocs()
			for b.Loop() {
				e.entry.updateServices()
			}
		})
	}
}
