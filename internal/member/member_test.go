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

// patience bounds waiting for a condition that has to come true.
const waitTimeout = 60 * time.Second

type discardJournal struct{}

func (discardJournal) Info(string, ...any) {}

type noFleet struct{}

func (noFleet) Leading() bool                  { return false }
func (noFleet) Accept([][]byte) bool           { return false }
func (noFleet) Cancel(job.ID) bool             { return false }
func (noFleet) State(job.ID) (job.State, bool) { return "", false }
func (noFleet) Waiting() map[string]int        { return nil }

type noPolicy struct{}

func (noPolicy) Newer(uint64) (uint64, []byte) { return 0, nil }

// gate is a store that turns one process away.
type blockableStore struct {
	table.Store
	mu      sync.Mutex
	blocked bool
}

func (g *blockableStore) setBlocked(blocked bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.blocked = blocked
}

func (g *blockableStore) isBlocked() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.blocked
}

func (g *blockableStore) Get(ctx context.Context, keys ...string) ([]table.Row, error) {
	if g.isBlocked() {
		return nil, table.ErrUnavailable
	}
	return g.Store.Get(ctx, keys...)
}

func (g *blockableStore) Scan(ctx context.Context, prefix string) ([]table.Row, error) {
	if g.isBlocked() {
		return nil, table.ErrUnavailable
	}
	return g.Store.Scan(ctx, prefix)
}

func (g *blockableStore) Commit(ctx context.Context, txn table.Txn) error {
	if g.isBlocked() {
		return table.ErrUnavailable
	}
	return g.Store.Commit(ctx, txn)
}

// process is a member with its port.
type process struct {
	node *member.Node
	// address is where it serves the others.
	address netip.AddrPort
	store   *blockableStore
	server  *http.Server
	stop    context.CancelFunc
	ended   chan struct{}

	mu     sync.Mutex
	tokens []uint64
}

func newProcess(t *testing.T, name string, store table.Store) *process {
	t.Helper()
	return newProcessWithCPU(t, name, store, 1)
}

// newProcessOf starts a process with some of a processor.
func newProcessWithCPU(t *testing.T, name string, store table.Store, processor float64) *process {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &process{address: netip.MustParseAddrPort(socket.Addr().String()), store: &blockableStore{Store: store}, ended: make(chan struct{})}
	p.node = member.New(member.Config{
		Name: name, Address: netip.MustParseAddrPort(socket.Addr().String()), Store: p.store, Journal: discardJournal{}, Processor: processor,
		Won: func(_ context.Context, claim record.Claim, _ uint64) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.tokens = append(p.tokens, claim.Token)
		},
		PolicyVersion:    func() uint64 { return 0 },
		MaxHostResources: func() policy.Resources { return policy.Resources{} },
	})
	service := member.NewService(member.ServiceConfig{Node: p.node, Fleet: noFleet{}, Policy: noPolicy{}, PolicyHint: func(uint64, record.Member) {}})
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

// kill ends a process without a word to the others.
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

// newest is the token of the process's last leadership.
func (p *process) latestToken() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.tokens) == 0 {
		return 0
	}
	return p.tokens[len(p.tokens)-1]
}

// leaderOf waits for one process to lead with a token above one that is given.
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

// others lists the processes but one.
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
		"stopped in order":       func(p *process) { p.node.Stop(context.Background()) },
		"turned away by a store": func(p *process) { p.store.setBlocked(true); p.node.ObserveStore(table.ErrUnavailable) },
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

// The leader that stops hands over to a process that does not.
func TestStoppingProcessesAreNotAskedToLead(t *testing.T) {
	processes := startThree(t, table.NewMemory())
	first := waitForLeader(t, 0, processes...)
	rest := processesExcept(processes, first)
	rest[0].node.Stop(context.Background())
	lead := &memberpb.LeadRequest{Token: first.latestToken()}
	if _, err := first.node.Dial(rest[0].address).Lead(context.Background(), lead); err == nil {
		t.Error("a stopping process that is asked: got yes, want an error")
	}
	first.node.Stop(context.Background())
	waitForLeader(t, first.latestToken(), rest[1])
}

// A call that we broke off ourselves says nothing about the store.
func TestOwnCancelIsNoSignOfTheStore(t *testing.T) {
	p := newProcess(t, "a", table.NewMemory())
	waitForLeader(t, 0, p)
	p.node.ObserveStore(errors.Mark(context.Canceled, table.ErrUnavailable))
	if !p.node.StoreReached() {
		t.Error("store reached: got false, want true")
	}
}

// A weak process that leads gives way to a strong one that has come back.
func TestWeakLeaderYields(t *testing.T) {
	store := table.NewMemory()
	strong := newProcessWithCPU(t, "a", store, 0.8)
	waitForLeader(t, 0, strong)
	weak := newProcessWithCPU(t, "b", store, 0.2)
	middling := newProcessWithCPU(t, "c", store, 0.3)
	strong.kill()
	next := waitForLeader(t, 1, weak, middling)
	again := newProcessWithCPU(t, "a", store, 0.8)
	waitForLeader(t, next.latestToken(), again)
	time.Sleep(3 * time.Second)
	if !again.leads() {
		t.Error("strong process leads: got false after a while, want true")
	}
}

func TestOneLeaderOfMany(t *testing.T) {
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

func TestStoreThroughAPeer(t *testing.T) {
	store := table.NewMemory()
	processes := startThree(t, store)
	waitForLeader(t, 0, processes...)
	cut := processes[0]
	for end := time.Now().Add(waitTimeout); len(cut.node.Peers()) < 2 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	cut.store.setBlocked(true)
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
		p.store.setBlocked(true)
	}
	if err := cut.node.Store().Commit(ctx, table.Txn{}); !errors.Is(err, table.ErrUnavailable) {
		t.Errorf("commit with the store away for all: got %v, want unavailable", err)
	}
}

// A process that the store turns away does not lead, not even through peers.
func TestOnlyProcessesWithTheStoreLead(t *testing.T) {
	store := table.NewMemory()
	cut := newProcess(t, "a", store)
	cut.store.setBlocked(true)
	other := newProcess(t, "b", store)
	waitForLeader(t, 0, other)
	if got := cut.latestToken(); got != 0 {
		t.Errorf("token of the process without the store: got %d, want none", got)
	}
}
