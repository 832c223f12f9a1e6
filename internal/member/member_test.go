package member_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/member"
	"github.com/lovagedyke/lovagedyke/internal/member/memberpb"
	"github.com/lovagedyke/lovagedyke/internal/policy"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// waitTimeout bounds waiting for an expected condition.
const waitTimeout = 60 * time.Second

type discardJournal struct{}

func (discardJournal) Info(string, ...any) {}

type noFleet struct{}

func (noFleet) Leading() bool                  { return false }
func (noFleet) Accept([][]byte) bool           { return false }
func (noFleet) Cancel(job.ID) bool             { return false }
func (noFleet) State(job.ID) (job.State, bool) { return "", false }
func (noFleet) Waiting() map[string]int        { return nil }
func (noFleet) Outlook() []byte                { return nil }

type noPolicy struct{}

func (noPolicy) NewerThan(uint64) (uint64, []byte) { return 0, nil }

func (noPolicy) PartAfter(uint64, policy.Position) (policy.Part, bool) { return policy.Part{}, false }

// blockableStore is a store that can be made unavailable for one process.
type blockableStore struct {
	table.Store
	mu      sync.Mutex
	blocked bool
}

func (s *blockableStore) setBlocked(blocked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blocked = blocked
}

func (s *blockableStore) isBlocked() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.blocked
}

func (s *blockableStore) Get(ctx context.Context, keys ...string) ([]table.Row, error) {
	if s.isBlocked() {
		return nil, table.ErrUnavailable
	}
	return s.Store.Get(ctx, keys...)
}

func (s *blockableStore) Scan(ctx context.Context, prefix string) ([]table.Row, error) {
	if s.isBlocked() {
		return nil, table.ErrUnavailable
	}
	return s.Store.Scan(ctx, prefix)
}

func (s *blockableStore) Commit(ctx context.Context, txn table.Txn) error {
	if s.isBlocked() {
		return table.ErrUnavailable
	}
	return s.Store.Commit(ctx, txn)
}

// process is a member with its HTTP server.
type process struct {
	node *member.Node
	// address is the address of its server.
	address        netip.AddrPort
	blockableStore *blockableStore
	server         *http.Server
	stop           context.CancelFunc
	ended          chan struct{}

	mu     sync.Mutex
	tokens []uint64
}

func newProcess(t *testing.T, name string, store table.Store) *process {
	t.Helper()
	return newProcessWithCPU(t, name, store, 1)
}

// newProcessWithCPU starts a process with the given number of CPU cores.
func newProcessWithCPU(t *testing.T, name string, store table.Store, cpuCores float64) *process {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &process{address: netip.MustParseAddrPort(socket.Addr().String()), blockableStore: &blockableStore{Store: store}, ended: make(chan struct{})}
	p.node = member.New(member.Config{
		Name: name, Address: netip.MustParseAddrPort(socket.Addr().String()), Store: p.blockableStore, Journal: discardJournal{}, CPUCores: cpuCores,
		Won: func(_ context.Context, claim record.Claim, _ uint64) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.tokens = append(p.tokens, claim.Token)
		},
		PolicyVersion:    func() uint64 { return 0 },
		MaxHostResources: func() policy.Resources { return policy.Resources{} },
	})
	service := member.NewService(member.ServiceConfig{Node: p.node, Fleet: noFleet{}, Policy: noPolicy{}, OnPolicyHint: func(uint64, record.Member) {}})
	p.server = &http.Server{Handler: memberpb.NewMemberServer(service), ReadHeaderTimeout: time.Second}
	served := make(chan struct{})
	go func() {
		_ = p.server.Serve(socket)
		close(served)
	}()
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	go func() {
		p.node.Run(ctx)
		close(p.ended)
	}()
	t.Cleanup(func() {
		p.kill()
		<-served
	})
	return p
}

// kill stops a process without notifying the others.
func (p *process) kill() {
	p.stop()
	_ = p.server.Close()
	<-p.ended
}

// leads reports whether the process leads now.
func (p *process) leads() bool {
	_, isSelf, _ := p.node.Leader()
	return isSelf
}

// latestToken returns the token of the process's last leadership.
func (p *process) latestToken() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.tokens) == 0 {
		return 0
	}
	return p.tokens[len(p.tokens)-1]
}

// waitForLeader waits until one of the processes leads with a token above the
// given one.
func waitForLeader(t *testing.T, above uint64, processes ...*process) *process {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, p := range processes {
			if p.leads() && p.latestToken() > above {
				return p
			}
		}
	}
	t.Fatalf("leader with a token above %d: got none within %s, want one", above, waitTimeout)
	return nil
}

// processesExcept returns the processes except one.
func processesExcept(processes []*process, except *process) []*process {
	var rest []*process
	for _, p := range processes {
		if p != except {
			rest = append(rest, p)
		}
	}
	return rest
}

func startThree(t *testing.T, store table.Store) []*process {
	t.Helper()
	return []*process{newProcess(t, "a", store), newProcess(t, "b", store), newProcess(t, "c", store)}
}

func TestSuccession(t *testing.T) {
	ends := map[string]func(p *process){
		"killed":                 func(p *process) { p.kill() },
		"stopped gracefully":     func(p *process) { p.node.Stop(context.Background()) },
		"cut off from the store": func(p *process) { p.blockableStore.setBlocked(true); p.node.ObserveStore(table.ErrUnavailable) },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			processes := startThree(t, table.NewMemory())
			first := waitForLeader(t, 0, processes...)
			end(first)
			second := waitForLeader(t, first.latestToken(), processesExcept(processes, first)...)
			if got, want := second.latestToken(), first.latestToken(); got <= want {
				t.Errorf("token: got %d, want above %d", got, want)
			}
		})
	}
}

// A stopping leader hands over to a process that is not stopping itself.
func TestStoppingProcessRefusesLeadership(t *testing.T) {
	processes := startThree(t, table.NewMemory())
	first := waitForLeader(t, 0, processes...)
	rest := processesExcept(processes, first)
	rest[0].node.Stop(context.Background())
	lead := &memberpb.LeadRequest{Token: first.latestToken()}
	if _, err := first.node.Dial(rest[0].address).Lead(context.Background(), lead); err == nil {
		t.Error("offering the leadership to a stopping process: got no error, want one")
	}
	first.node.Stop(context.Background())
	waitForLeader(t, first.latestToken(), rest[1])
}

// A call that the process cancelled itself doesn't count as a store failure.
func TestOwnCancelIsNoStoreFailure(t *testing.T) {
	p := newProcess(t, "a", table.NewMemory())
	waitForLeader(t, 0, p)
	p.node.ObserveStore(errors.Mark(context.Canceled, table.ErrUnavailable))
	if !p.node.StoreReached() {
		t.Error("store reached: got false, want true")
	}
}

// A leader with little CPU hands over to a stronger process that has restarted.
func TestWeakLeaderYields(t *testing.T) {
	store := table.NewMemory()
	strong := newProcessWithCPU(t, "a", store, 0.8)
	waitForLeader(t, 0, strong)
	weak := newProcessWithCPU(t, "b", store, 0.2)
	middling := newProcessWithCPU(t, "c", store, 0.3)
	strong.kill()
	next := waitForLeader(t, 1, weak, middling)
	restarted := newProcessWithCPU(t, "a", store, 0.8)
	waitForLeader(t, next.latestToken(), restarted)
	time.Sleep(3 * time.Second)
	if !restarted.leads() {
		t.Error("strong process leads: got false 3 s after its takeover, want true")
	}
}

func TestOneLeaderPerToken(t *testing.T) {
	processes := startThree(t, table.NewMemory())
	waitForLeader(t, 0, processes...)
	tokens := map[uint64]bool{}
	for _, p := range processes {
		if token := p.latestToken(); token != 0 {
			if tokens[token] {
				t.Errorf("token %d: got two leaders, want one", token)
			}
			tokens[token] = true
		}
	}
}

func TestStoreRelay(t *testing.T) {
	store := table.NewMemory()
	processes := startThree(t, store)
	waitForLeader(t, 0, processes...)
	cut := processes[0]
	for end := time.Now().Add(waitTimeout); len(cut.node.Peers()) < 2 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	cut.blockableStore.setBlocked(true)
	ctx := context.Background()
	if err := cut.node.Store().Commit(ctx, table.Txn{Writes: []table.Write{{Key: "t/p/k", Value: []byte("v")}}}); err != nil {
		t.Fatalf("commit: got %v, want done through a peer", err)
	}
	rows, err := cut.node.Store().Get(ctx, "t/p/k")
	if err != nil || string(rows[0].Value) != "v" {
		t.Errorf("row: got %v (%v), want the value", rows, err)
	}
	conflict := table.Txn{Conditions: []table.Condition{{Key: "t/p/k"}}, Writes: []table.Write{{Key: "t/p/k"}}}
	if err := cut.node.Store().Commit(ctx, conflict); !table.IsConflict(err) {
		t.Errorf("commit under a condition that fails: got %v, want a conflict", err)
	}
	for _, p := range processes {
		p.blockableStore.setBlocked(true)
	}
	if err := cut.node.Store().Commit(ctx, table.Txn{}); !errors.Is(err, table.ErrUnavailable) {
		t.Errorf("commit while no process reaches the store: got %v, want unavailable", err)
	}
}

// A process that can't reach the store directly doesn't lead, not even through
// peers.
func TestLeaderNeedsStore(t *testing.T) {
	store := table.NewMemory()
	cut := newProcess(t, "a", store)
	cut.blockableStore.setBlocked(true)
	other := newProcess(t, "b", store)
	waitForLeader(t, 0, other)
	if got := cut.latestToken(); got != 0 {
		t.Errorf("token of the process without the store: got %d, want none", got)
	}
}

// silentLeader is a leader that answers no hello, and its followers.
type silentLeader struct {
	store     table.Store
	token     uint64
	followers []*process
}

// newSilentLeader starts three processes, of which the leader no longer answers the
// others; its last renewal says whether it reads its rows.
func newSilentLeader(t *testing.T, isLoading bool) *silentLeader {
	t.Helper()
	store := table.NewMemory()
	processes := startThree(t, store)
	leader := waitForLeader(t, 0, processes...)
	s := &silentLeader{store: store, token: leader.latestToken(), followers: processesExcept(processes, leader)}
	s.renew(t, isLoading)
	_ = leader.server.Close()
	return s
}

func (s *silentLeader) renew(t *testing.T, isLoading bool) {
	t.Helper()
	renewal := record.Renewal{Token: s.token, Loading: isLoading}
	txn := table.Txn{Writes: []table.Write{{Key: record.RenewalKey, Value: record.Encode(renewal)}}}
	if err := s.store.Commit(context.Background(), txn); err != nil {
		t.Fatal(err)
	}
}

// successor returns the token of a follower that has taken over, or 0.
func (s *silentLeader) successor() uint64 {
	for _, follower := range s.followers {
		if token := follower.latestToken(); token > s.token {
			return token
		}
	}
	return 0
}

// TestLoadingLeaderIsGivenTime: a new leader of a large fleet reads its rows through a
// link that they fill, so that hellos time out. Its renewals show that it lives.
func TestLoadingLeaderIsGivenTime(t *testing.T) {
	t.Parallel()
	s := newSilentLeader(t, true)
	const silence = 4 * time.Second
	for end := time.Now().Add(silence); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		s.renew(t, true)
		if got := s.successor(); got != 0 {
			t.Fatalf("leadership beside a leader that reads its rows: got token %d, want none", got)
		}
	}
	// Without renewals it may have died.
	waitForLeader(t, s.token, s.followers...)
}

// TestLoadedLeaderIsGivenNoTime: renewals alone must not keep a silent leader in office.
// Hosts and callers would wait for it.
func TestLoadedLeaderIsGivenNoTime(t *testing.T) {
	t.Parallel()
	s := newSilentLeader(t, false)
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		s.renew(t, false)
		if s.successor() != 0 {
			return
		}
	}
	t.Errorf("successor of a silent leader that renews its claim: got none within %s, want one", waitTimeout)
}

// TestMembersAreSentOnce: the list of members grows with the fleet, and each process
// says hello to the leader again and again.
func TestMembersAreSentOnce(t *testing.T) {
	t.Parallel()
	processes := startThree(t, table.NewMemory())
	leader := waitForLeader(t, 0, processes...)
	client := memberpb.NewMemberProtobufClient("http://"+leader.address.String(), http.DefaultClient)
	hello := func(from *memberpb.Address, known uint64) *memberpb.View {
		view, err := client.Hello(context.Background(), &memberpb.View{From: from, MembersVersion: known})
		if err != nil {
			t.Fatal(err)
		}
		return view
	}
	d := &memberpb.Address{Name: "d", Address: "127.0.0.1:1", Processor: 0.5, Link: 20}
	var known uint64
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if view := hello(d, 0); len(view.Members) == 3 {
			known = view.MembersVersion
			break
		}
	}
	if known == 0 {
		t.Fatalf("list of members with its version: got none within %s, want one", waitTimeout)
	}
	if got := len(hello(d, known).Members); got != 0 {
		t.Errorf("members sent to a process that has the list: got %d, want 0", got)
	}
	e := &memberpb.Address{Name: "e", Address: "127.0.0.1:2"}
	if got, want := len(hello(e, known).Members), 4; got != want {
		t.Errorf("members sent after one has joined: got %d, want %d", got, want)
	}
}
