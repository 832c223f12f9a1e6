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

// shape is the size of a deployment; each team has a flow at each service.
type shape struct {
	members, teams, services, endpoints int
}

// benchStart is the join time of all members.
var benchStart = time.Unix(1_700_000_000, 0)

// member returns the i-th entry of the deployment.
func member(i int) roster.Member {
	return roster.Member{
		Identity: roster.Identity{Name: fmt.Sprintf("entry-%02d", i), Incarnation: 1}, Host: fmt.Sprintf("host-%02d", i),
		Role: roster.RoleEntry, DataCentre: fmt.Sprintf("dc-%d", i%8), State: roster.StateActive,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(8000+i)),
	}
}

func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

func serviceName(i int) string { return fmt.Sprintf("service-%02d", i) }

// benchEntry is the first member of a deployment that serves nobody: no
// sockets and no loops.
type benchEntry struct {
	*fixture
	shape shape
}

// newBenchEntry joins the deployment and knows its endpoints.
func newBenchEntry(b testing.TB, s shape) *benchEntry {
	b.Helper()
	f := &fixture{store: table.NewMemory(), keys: make(map[string]string)}
	e := &benchEntry{fixture: f, shape: s}
	e.commitRows(b)
	for i := range s.services * s.endpoints {
		f.hosts = append(f.hosts, platform.Host{Name: fmt.Sprint("host-", i), State: platform.Live, Endpoints: []platform.Endpoint{{
			Service: serviceName(i % s.services), Slots: 8, Connections: 64,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 9000),
		}}})
	}
	logger := log.New(io.Discard)
	f.node = node.New(node.Config{
		Self: member(0), Store: f.store, Log: logger, FreshBound: time.Hour, Dialer: peer.New(peer.Config{}),
	})
	f.entry = New(Config{Node: f.node, Hosts: f, Log: logger, ClaimRetention: time.Hour})
	f.node.Add(f.entry)
	if err := f.node.Join(context.Background()); err != nil {
		b.Fatal(err)
	}
	f.entry.readHosts(context.Background())
	f.entry.eachService(func(_ string, s *service) { s.tick(time.Now()) })
	return e
}

// commitRows writes roster, permits and configuration.
func (e *benchEntry) commitRows(b testing.TB) {
	b.Helper()
	members := roster.Roster{}
	for i := range e.shape.members {
		members, _ = roster.Join(members, member(i), benchStart)
	}
	members.Past = nil
	txn := table.Txn{Writes: []table.Write{{Key: roster.Key, Value: members.Encode()}}}
	for i := range e.shape.teams {
		grant := limit.Allocation{Team: teamName(i), Generation: 1, Limit: 1 << 20, Granted: map[limit.Member]int{}}
		for _, m := range members.Members {
			grant.Granted[limit.Member(m.Identity.String())] = 1000
		}
		value, err := json.Marshal(grant)
		if err != nil {
			b.Fatal(err)
		}
		txn.Writes = append(txn.Writes, table.Write{Key: limit.Key(grant.Team), Value: value})
	}
	if err := e.store.Commit(context.Background(), txn); err != nil {
		b.Fatal(err)
	}
	_, err := revision.Transaction(context.Background(), e.store, revision.Operation{}, e.declare)
	if err != nil {
		b.Fatal(err)
	}
}

// declare adds the teams and services to the configuration.
func (e *benchEntry) declare(state revision.State) (revision.State, error) {
	state.Catalogue = state.Catalogue.Clone()
	shares := make(map[string]int)
	for i := range e.shape.teams {
		name := teamName(i)
		shares[name] = 1
		state.Catalogue.Teams[name] = catalogue.Team{Name: name, UpperLimit: 1 << 20, Share: 1}
	}
	for i := range e.shape.services {
		name := serviceName(i)
		state.Catalogue.Entries[name] = catalogue.Entry{
			Name: name, Kind: catalogue.KindService, Team: teamName(0), Class: catalogue.ClassNormal, Shares: shares,
			MaxBody: 1 << 30, Deadline: time.Minute, LongestRun: time.Minute,
		}
	}
	return state, nil
}

// fill queues a request of every team at every service.
func (e *benchEntry) fill(now time.Time) {
	e.entry.eachService(func(_ string, s *service) {
		for i := range e.shape.teams {
			s.submit(now, share.Ticket{ID: e.entry.tickets.Add(1), Team: teamName(i), Class: share.Normal, Deadline: now.Add(time.Hour)})
		}
		for range e.shape.endpoints {
			s.pick(now, true, nil)
		}
	})
}

// BenchmarkExchange is one exchange of states as its receiver sees it: decode,
// absorb, build, encode. Every team runs or waits at every service.
func BenchmarkExchange(b *testing.B) {
	today := shape{members: 7, teams: 6, services: 5, endpoints: 10}
	target := shape{members: 24, teams: 130, services: 27, endpoints: 63}
	shapes := map[string]shape{"today": today, "target": target}
	for _, n := range []int{7, 14, 24, 48} {
		shapes[fmt.Sprintf("members=%03d", n)] = shape{n, 6, 5, 10}
	}
	for _, n := range []int{6, 30, 65, 130} {
		shapes[fmt.Sprintf("teams=%03d", n)] = shape{7, n, 5, 10}
	}
	for _, n := range []int{5, 10, 20, 40} {
		shapes[fmt.Sprintf("services=%03d", n)] = shape{7, 6, n, 10}
	}
	for _, n := range []int{10, 20, 40, 80} {
		shapes[fmt.Sprintf("endpoints=%03d", n)] = shape{7, 6, 5, n}
	}
	names := make([]string, 0, len(shapes))
	for name := range shapes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		b.Run(name, func(b *testing.B) { benchmarkExchange(b, shapes[name]) })
	}
}

func benchmarkExchange(b *testing.B, s shape) {
	e := newBenchEntry(b, s)
	e.fill(time.Now())
	ctx := context.Background()
	service := e.node.Service()
	from := &peerpb.State{From: peer.IdentityMessage(member(1).Identity)}
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

// hear takes the states of all other members, each like the entry's own.
func (e *benchEntry) hear(b testing.TB) {
	b.Helper()
	service := e.node.Service()
	state := &peerpb.State{}
	for i := 1; i < e.shape.members; i++ {
		state.From = peer.IdentityMessage(member(i).Identity)
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
		state.From = peer.IdentityMessage(member(i).Identity)
		if _, err := service.Exchange(context.Background(), state); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkEntryHeap is what an entry keeps in memory of a deployment whose
// other members have told their states.
func BenchmarkEntryHeap(b *testing.B) {
	for _, s := range []shape{{7, 6, 5, 10}, {14, 32, 10, 20}, {24, 65, 20, 40}, {24, 130, 27, 63}} {
		b.Run(fmt.Sprintf("members=%d/teams=%d/services=%d/endpoints=%d", s.members, s.teams, s.services, s.endpoints), func(b *testing.B) {
			var before, after runtime.MemStats
			for range b.N {
				runtime.GC()
				runtime.ReadMemStats(&before)
				e := newBenchEntry(b, s)
				e.fill(time.Now())
				e.hear(b)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(e)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
		})
	}
}

// BenchmarkAdmission is the decision on a request: key, slot, permit, endpoint,
// and giving them back. The parallel callers use one service or one each.
func BenchmarkAdmission(b *testing.B) {
	for _, services := range []int{1, 16} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			e := newBenchEntry(b, shape{members: 1, teams: 16, services: services, endpoints: 63})
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				number := int(e.entry.tickets.Add(1))
				name := serviceName(number % services)
				c := &call{team: teamName(number % 16), entry: catalogue.Entry{Name: name, Class: catalogue.ClassNormal}}
				c.deadline = time.Now().Add(time.Hour)
				presented := fmt.Sprintf("lk_%016x_%043d", 1, 0)
				for pb.Next() {
					if refused := e.decide(c, name, presented); refused != "" {
						b.Error(refused)
						return
					}
				}
			})
		})
	}
}

// decide makes one decision and takes it back.
func (e *benchEntry) decide(c *call, name, presented string) (refused string) {
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
	s.done(now, endpoint, 0, time.Millisecond)
	e.entry.outstanding.end(endpoint)
	adm.end(now)
	return ""
}

// BenchmarkFollow is what each reading of the host list and of the assignments
// costs an entry.
func BenchmarkFollow(b *testing.B) {
	for _, endpoints := range []int{10, 20, 40, 63} {
		b.Run(fmt.Sprintf("endpoints=%d", 27*endpoints), func(b *testing.B) {
			e := newBenchEntry(b, shape{members: 24, teams: 130, services: 27, endpoints: endpoints})
			b.ReportAllocs()
			for b.Loop() {
				e.entry.follow()
			}
		})
	}
}
