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
const patience = 60 * time.Second

type silent struct{}

func (silent) Info(string, ...any) {}

type noFleet struct{}

func (noFleet) Leading() bool                  { return false }
func (noFleet) Accept([][]byte) bool           { return false }
func (noFleet) Cancel(job.ID) bool             { return false }
func (noFleet) State(job.ID) (job.State, bool) { return "", false }
func (noFleet) Waiting() map[string]int        { return nil }

type noPolicy struct{}

func (noPolicy) NewerThan(uint64) (uint64, []byte) { return 0, nil }

// gate is a store that turns one process away.
type gate struct {
	table.Store
	mu   sync.Mutex
	shut bool
}

func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = shut
}

func (g *gate) isShut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shut
}

func (g *gate) Get(ctx context.Context, keys ...string) ([]table.Row, error) {
	if g.isShut() {
		return nil, table.ErrUnavailable
	}
	return g.Store.Get(ctx, keys...)
}

func (g *gate) Scan(ctx context.Context, prefix string) ([]table.Row, error) {
	if g.isShut() {
		return nil, table.ErrUnavailable
	}
	return g.Store.Scan(ctx, prefix)
}

func (g *gate) Commit(ctx context.Context, txn table.Txn) error {
	if g.isShut() {
		return table.ErrUnavailable
	}
	return g.Store.Commit(ctx, txn)
}

// process is a member with its port.
type process struct {
	node *member.Node
	// address is where it serves the others.
	address netip.AddrPort
	gate    *gate
	server  *http.Server
	stop    context.CancelFunc
	ended   chan struct{}

	mu     sync.Mutex
	tokens []uint64
}

func newProcess(t *testing.T, name string, store table.Store) *process {
	t.Helper()
	return newProcessOf(t, name, store, 1)
}

// newProcessOf starts a process with some of a processor.
func newProcessOf(t *testing.T, name string, store table.Store, processor float64) *process {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &process{address: netip.MustParseAddrPort(socket.Addr().String()), gate: &gate{Store: store}, ended: make(chan struct{})}
	p.node = member.New(member.Config{
		Name: name, Address: netip.MustParseAddrPort(socket.Addr().String()), Store: p.gate, Journal: silent{}, Processor: processor,
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
func (p *process) newest() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.tokens) == 0 {
		return 0
	}
	return p.tokens[len(p.tokens)-1]
}

// leaderOf waits for one process to lead with a token above one that is given.
func leaderOf(t *testing.T, above uint64, processes ...*process) *process {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, p := range processes {
			if p.leads() && p.newest() > above {
				return p
			}
		}
	}
	t.Fatalf("leader with a token above %d: got none within %s, want one", above, patience)
	return nil
}

// others lists the processes but one.
func others(processes []*process, not *process) []*process {
	var rest []*process
	for _, p := range processes {
		if p != not {
			rest = append(rest, p)
		}
	}
	return rest
}

func three(t *testing.T, store table.Store) []*process {
	t.Helper()
	return []*process{newProcess(t, "a", store), newProcess(t, "b", store), newProcess(t, "c", store)}
}

func TestSuccession(t *testing.T) {
	ends := map[string]func(p *process){
		"killed":                 func(p *process) { p.kill() },
		"stopped in order":       func(p *process) { p.node.Stop(context.Background()) },
		"turned away by a store": func(p *process) { p.gate.set(true); p.node.ObserveStore(table.ErrUnavailable) },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			processes := three(t, table.NewMemory())
			first := leaderOf(t, 0, processes...)
			end(first)
			second := leaderOf(t, first.newest(), others(processes, first)...)
			if got, want := second.newest(), first.newest(); got <= want {
				t.Errorf("token: got %d, want above %d", got, want)
			}
		})
	}
}

// The leader that stops hands over to a process that does not.
func TestStoppingProcessesAreNotAskedToLead(t *testing.T) {
	processes := three(t, table.NewMemory())
	first := leaderOf(t, 0, processes...)
	rest := others(processes, first)
	rest[0].node.Stop(context.Background())
	lead := &memberpb.LeadRequest{Token: first.newest()}
	if _, err := first.node.Dial(rest[0].address).Lead(context.Background(), lead); err == nil {
		t.Error("a stopping process that is asked: got yes, want an error")
	}
	first.node.Stop(context.Background())
	leaderOf(t, first.newest(), rest[1])
}

// A call that we broke off ourselves says nothing about the store.
func TestOwnCancelIsNoSignOfTheStore(t *testing.T) {
	p := newProcess(t, "a", table.NewMemory())
	leaderOf(t, 0, p)
	p.node.ObserveStore(errors.Mark(context.Canceled, table.ErrUnavailable))
	if !p.node.StoreReached() {
		t.Error("store reached: got false, want true")
	}
}

// A weak process that leads gives way to a strong one that has come back.
func TestWeakLeaderYields(t *testing.T) {
	store := table.NewMemory()
	strong := newProcessOf(t, "a", store, 0.8)
	leaderOf(t, 0, strong)
	weak := newProcessOf(t, "b", store, 0.2)
	middling := newProcessOf(t, "c", store, 0.3)
	strong.kill()
	next := leaderOf(t, 1, weak, middling)
	again := newProcessOf(t, "a", store, 0.8)
	leaderOf(t, next.newest(), again)
	time.Sleep(3 * time.Second)
	if !again.leads() {
		t.Error("strong process leads: got false after a while, want true")
	}
}

func TestOneLeaderOfMany(t *testing.T) {
	processes := three(t, table.NewMemory())
	leaderOf(t, 0, processes...)
	tokens := map[uint64]bool{}
	for _, p := range processes {
		if token := p.newest(); token != 0 {
			if tokens[token] {
				t.Errorf("token %d: got two leaders, want one", token)
			}
			tokens[token] = true
		}
	}
}

func TestStoreThroughAPeer(t *testing.T) {
	store := table.NewMemory()
	processes := three(t, store)
	leaderOf(t, 0, processes...)
	cut := processes[0]
	for end := time.Now().Add(patience); len(cut.node.Peers()) < 2 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	cut.gate.set(true)
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
		p.gate.set(true)
	}
	if err := cut.node.Store().Commit(ctx, table.Txn{}); !errors.Is(err, table.ErrUnavailable) {
		t.Errorf("commit with the store away for all: got %v, want unavailable", err)
	}
}

// A process that the store turns away does not lead, not even through peers.
func TestOnlyProcessesWithTheStoreLead(t *testing.T) {
	store := table.NewMemory()
	cut := newProcess(t, "a", store)
	cut.gate.set(true)
	other := newProcess(t, "b", store)
	leaderOf(t, 0, other)
	if got := cut.newest(); got != 0 {
		t.Errorf("token of the process without the store: got %d, want none", got)
	}
}
