//go:build review

// Package harness runs the project's nodes as separate processes against a small stand-in of the
// platform: its store, its machines with their runners, its operator and its clients. It judges
// nothing: the cases under review/cases do.
//
// # Usage
//
//	run, err := harness.New(harness.Config{Folder: "review/1", Nodes: 3, Machines: 6})
//	defer run.Close()
//	run.StartNodes()
//	run.Submit(job)
package harness

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Names of the operator's configuration.
const (
	zone    = "suva"
	service = "desk"
	// RouteHost and Prefix lead to the queue of the service.
	RouteHost = "pule25.example"
	Prefix    = "/puxa400/"
	tenant    = "shop"
	apiKey    = "k-shop-1"
)

// Task is what a runner has to know of a task.
type Task struct {
	CPU, Memory int
	Duration    time.Duration
	// Lasting tasks run until they are stopped.
	Lasting bool
	// GangOf is the number of members of the task's gang, or 0.
	GangOf int
}

// Config configures a Platform.
type Config struct {
	// Folder is where record.txt goes.
	Folder string
	// Nodes and Machines are how many there are.
	Nodes, Machines int
	// CapCPU is the tenant's cap in thousandths of a core, or 0 for none.
	CapCPU int
	// KeepIDs lets a runner start again under the id that it had.
	KeepIDs bool
}

// Start is a start that a runner has carried out.
type Start struct {
	At     time.Time
	Runner string
	// Life is when the runner's life began.
	Life    time.Time
	Task    string
	Run     int64
	CPU     int
	EndedAt time.Time
	How     string
	Acked   bool
}

// Platform is the platform's stand-in with the nodes that run on it.
type Platform struct {
	config  Config
	started time.Time
	dir     string
	store   *store
	server  *http.Server
	address string

	Machines []*Machine
	Nodes    []*Node

	recordMu sync.Mutex
	record   *os.File

	// mu guards the runners, the jobs and the starts.
	mu     sync.Mutex
	closed bool
	// lateShare is the share of orders that get no answer and are carried out late.
	lateShare float64
	jobs      map[string]Job
	starts    []*Start
	byRun     map[string]*Start
	gangs     map[string]*gang
}

// New starts the platform without nodes.
func New(config Config) (*Platform, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(config.Folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	p := &Platform{
		config: config, started: time.Now(), dir: dir, store: newStore(), record: record,
		jobs: map[string]Job{}, byRun: map[string]*Start{}, gangs: map[string]*gang{},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.address = listener.Addr().String()
	mux := http.NewServeMux()
	p.store.register(mux)
	mux.HandleFunc("GET /lovagedyke/machines", p.listMachines)
	mux.HandleFunc("POST /lovagedyke/machine-move", refuseChange)
	mux.HandleFunc("POST /lovagedyke/machine-upkeep", refuseChange)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(listener) }()
	p.store.put("op", "config", p.configuration())
	for n := range config.Machines {
		m := &Machine{platform: p, id: fmt.Sprintf("m-%d", n+1), rack: rackName(n / rackSize), service: service}
		if err := m.begin(); err != nil {
			return nil, err
		}
		p.Machines = append(p.Machines, m)
	}
	return p, nil
}

// Close ends the nodes, the runners and the platform.
func (p *Platform) Close() {
	for _, n := range p.Nodes {
		n.end()
	}
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	for _, m := range p.Machines {
		m.mu.Lock()
		if m.runner != nil {
			_ = m.runner.server.Close()
			close(m.runner.done)
			m.runner = nil
		}
		m.mu.Unlock()
	}
	_ = p.server.Close()
	_ = p.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(p.dir)
	}
}

func (p *Platform) isOpen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closed
}

// Note writes a line into the record.
func (p *Platform) Note(format string, args ...any) {
	line := fmt.Sprintf("%9.3f  ", time.Since(p.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	p.recordMu.Lock()
	defer p.recordMu.Unlock()
	_, _ = p.record.WriteString(line)
}

// configuration is the operator's only version.
func (p *Platform) configuration() map[string]any {
	limit := map[string]any{"cpu": p.config.CapCPU, "mem_mb": 0, "gpu": 0}
	return map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-desk", "host": RouteHost, "prefix": Prefix, "kind": "unsafe", "timeout_ms": 3000, "target_completion_ms": 2500,
			"priority": 0, "service": service, "max_attempts": 3, "stretch": 2.2, "anonymous": false,
		}},
		"services": []any{map[string]any{"name": service, "rejects_overload": true}},
		"tenants":  []any{map[string]any{"name": tenant, "api_keys": []string{apiKey}, "weight": 100, "cap": limit}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	}
}

// listMachines answers with all machines as they are.
func (p *Platform) listMachines(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(storeDelay)
	machines := []any{}
	for _, m := range p.Machines {
		m.mu.Lock()
		entry := map[string]any{
			"machine": m.id, "pool": m.service, "state": "down", "zone": zone, "labels": []string{"a", m.rack},
			"capacity": map[string]any{"cpu": runnerCPU, "mem_mb": runnerMemory, "gpu": 0},
		}
		if m.runner != nil {
			entry["state"], entry["id"] = "up", m.runner.id
		}
		m.mu.Unlock()
		machines = append(machines, entry)
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": machines, "next_token": nil})
}

func refuseChange(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusConflict, map[string]any{"reason": "busy"})
}

// tasks returns a task by its name, if a client has handed its job in. The caller holds p.mu.
func (p *Platform) tasks(name string) (Task, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return Task{}, false
	}
	step, err := strconv.Atoi(parts[2])
	job, ok := p.jobs[parts[0]]
	if err != nil || !ok || step >= len(job.Steps) {
		return Task{}, false
	}
	return job.Steps[step].task(), true
}

// gangOf returns the gang to which a run belongs. The caller holds p.mu.
func (p *Platform) gangOf(key runKey, count int) *gang {
	name := key.task[:strings.LastIndex(key.task, ".")] + "/" + strconv.FormatInt(key.run, 10)
	if p.gangs[name] == nil {
		p.gangs[name] = &gang{count: count}
	}
	return p.gangs[name]
}

// noteStart records a start. The caller holds p.mu.
func (p *Platform) noteStart(r *runner, key runKey, task Task, now time.Time) {
	s := &Start{At: now, Runner: r.id, Life: r.born, Task: key.task, Run: key.run, CPU: task.CPU}
	p.starts = append(p.starts, s)
	p.byRun[r.nameOf(key)] = s
	p.Note("%s starts %s run %d", r.id, key.task, key.run)
}

// noteEnd records an end. The caller holds p.mu.
func (p *Platform) noteEnd(r *runner, key runKey, how string, at time.Time) {
	if s := p.byRun[r.nameOf(key)]; s != nil {
		s.EndedAt, s.How = at, how
	}
	p.Note("%s ends %s run %d: %s, %s ago", r.id, key.task, key.run, how, time.Since(at).Round(time.Millisecond))
}

// noteAcknowledged records that an end was taken note of. The caller holds p.mu.
func (p *Platform) noteAcknowledged(r *runner, key runKey) {
	if s := p.byRun[r.nameOf(key)]; s != nil {
		s.Acked = true
	}
}

// Starts returns all starts so far, after what has ended by now.
func (p *Platform) Starts() []Start {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, m := range p.Machines {
		m.mu.Lock()
		if m.runner != nil {
			m.runner.settle(now)
		}
		m.mu.Unlock()
	}
	starts := make([]Start, 0, len(p.starts))
	for _, s := range p.starts {
		starts = append(starts, *s)
	}
	return starts
}

// RefusedRows returns how many transactions the store has rejected for their size, and the largest
// value in one.
func (p *Platform) RefusedRows() (count, largest int) { return p.store.refused() }

// Leader returns the node that holds the claim in the store, or nil.
func (p *Platform) Leader() *Node {
	var claim struct {
		Name string `json:"name"`
	}
	value := p.store.read("control", "leader", "claim")
	if value == nil || json.Unmarshal(value, &claim) != nil {
		return nil
	}
	at := slices.IndexFunc(p.Nodes, func(n *Node) bool { return n.name == claim.Name })
	if at < 0 {
		return nil
	}
	return p.Nodes[at]
}

// LateOrders leaves a share of the orders to runners without an answer from now on; they are carried
// out 2 to 12 s later, by the runner that has the id then.
func (p *Platform) LateOrders(share float64) {
	p.mu.Lock()
	p.lateShare = share
	p.mu.Unlock()
	p.Note("a share of %.3f of the orders is carried out late", share)
}

// rackSize is how many machines are in a rack.
const rackSize = 4

func rackName(n int) string { return fmt.Sprintf("r1-%d", n+1) }

// CrashRack crashes the runners of a rack, counted through all racks again and again, for a time.
func (p *Platform) CrashRack(n int, down time.Duration) {
	racks := (len(p.Machines) + rackSize - 1) / rackSize
	for _, m := range p.Machines {
		if m.rack == rackName(n%racks) {
			m.Crash(down)
		}
	}
}

// Elapsed returns how long the run has taken so far.
func (p *Platform) Elapsed() time.Duration { return time.Since(p.started) }

// Capacity returns the CPU of all machines, in thousandths of a core.
func (p *Platform) Capacity() int { return len(p.Machines) * runnerCPU }
