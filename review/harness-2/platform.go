//go:build review

// Package harness runs the project's nodes as processes against small stand-ins of the platform's
// store, host interface, advice service and runners, and notes what clients and runners see.
package harness

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment, as its settings say.
const (
	leaseMax      = 10 * time.Second
	gangTime      = 3 * time.Second
	stopTime      = 200 * time.Millisecond
	moveTime      = 1500 * time.Millisecond
	upkeepTime    = 2 * time.Second
	heartbeatTime = 1500 * time.Millisecond
	startupTime   = 300 * time.Millisecond
	ticketTime    = 3 * time.Second
)

// Amount is an amount of resources.
type Amount struct {
	CPU    int `json:"cpu"`
	Memory int `json:"mem_mb"`
	GPU    int `json:"gpu"`
}

func (a Amount) plus(b Amount) Amount {
	return Amount{a.CPU + b.CPU, a.Memory + b.Memory, a.GPU + b.GPU}
}

func (a Amount) minus(b Amount) Amount {
	return Amount{a.CPU - b.CPU, a.Memory - b.Memory, a.GPU - b.GPU}
}

func (a Amount) fits(b Amount) bool { return a.CPU <= b.CPU && a.Memory <= b.Memory && a.GPU <= b.GPU }

// Route is a queue of the configuration.
type Route struct {
	Name        string          `json:"name"`
	Host        string          `json:"host"`
	Prefix      string          `json:"prefix"`
	Kind        string          `json:"kind"`
	TimeoutMS   int             `json:"timeout_ms"`
	TargetMS    int             `json:"target_completion_ms"`
	Priority    int             `json:"priority"`
	Service     string          `json:"service"`
	MaxAttempts int             `json:"max_attempts"`
	Stretch     float64         `json:"stretch"`
	Anonymous   bool            `json:"anonymous"`
	Advice      *map[string]int `json:"advice,omitempty"`
}

// Tenant is a client account of the configuration.
type Tenant struct {
	Name   string   `json:"name"`
	Keys   []string `json:"api_keys"`
	Weight float64  `json:"weight"`
	Cap    Amount   `json:"cap"`
}

// Pool is a service with its runners.
type Pool struct {
	Name    string
	Runners int
	Spare   bool
	// Labels are the kinds of its runners, in turn; "a" if empty.
	Kinds []string
}

// Config configures a Platform.
type Config struct {
	Pools    []Pool
	Routes   []Route
	Tenants  []Tenant
	Guarded  bool
	Capacity Amount
	Record   string
}

// Platform is the platform and its runners.
type Platform struct {
	config  Config
	Store   *Store
	mu      sync.Mutex
	ledger  *ledger
	Runners []*Runner
	lastID  int
	server  *http.Server
	address string
	stopped chan struct{}
	tickers sync.WaitGroup
	version int
	gangs   map[string][]*run
	// lateBy, if set, is how much later the next start is carried out, and onLate is called then.
	lateBy time.Duration
	onLate func(*Runner)
	// lateShare is the share of orders that are carried out late, lostShare that of answers that are lost.
	lateShare, lostShare float64
	tickets              map[string]ticket
	waves                map[int]*wave
	// cloudLost is the share of changes of machines whose answers are lost, cloudDelay delays answers, and while
	// isCloudDown is true there are none.
	cloudLost   float64
	cloudDelay  time.Duration
	isCloudDown bool
	// orders holds the last change of each machine.
	orders map[string]machineOrder
}

type ticket struct {
	runner string
	step   string
	until  time.Time
}

type machineOrder struct {
	holder string
	token  uint64
	at     time.Time
}

// wave is a wave of upkeep.
type wave struct {
	machines map[string]bool
	cap      int
	// begun holds the machines whose upkeep has begun, and down until when they are down for it.
	begun map[string]bool
	down  map[string]time.Time
}

// PutWave asks for a wave of upkeep.
func (p *Platform) PutWave(number int, machines []string, seconds float64, limit int) {
	p.mu.Lock()
	w := &wave{machines: map[string]bool{}, cap: limit, begun: map[string]bool{}, down: map[string]time.Time{}}
	for _, machine := range machines {
		w.machines[machine] = true
	}
	p.waves[number] = w
	p.ledger.note(time.Now(), "wave %d over %d machines, %d at once", number, len(machines), limit)
	p.mu.Unlock()
	p.Store.Put("op", fmt.Sprintf("wave/%d", number), map[string]any{"wave": number, "machines": machines, "duration_s": seconds, "cap": limit})
}

// CloudTrouble loses a share of the answers to changes of machines, delays answers, or gives none.
func (p *Platform) CloudTrouble(lost float64, delay time.Duration, isDown bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cloudLost, p.cloudDelay, p.isCloudDown = lost, delay, isDown
	p.ledger.note(time.Now(), "cloud: lost %g, delay %s, down %t", lost, delay, isDown)
}

// beginUpkeep notes an upkeep and checks its wave's limit. It returns the reason for a refusal, or "".
func (p *Platform) beginUpkeep(now time.Time, machine string, number int) string {
	w := p.waves[number]
	if w == nil || !w.machines[machine] {
		return "wave"
	}
	down := 0
	for other, until := range w.down {
		if other != machine && now.Before(until) {
			down++
		}
	}
	if down >= w.cap {
		p.ledger.violate(now, "LIMIT", "the upkeep of %s begins while %d of wave %d are down, and %d may be", machine, down, number, w.cap)
	}
	w.begun[machine], w.down[machine] = true, now.Add(upkeepTime)
	return ""
}

// New starts the platform.
func New(config Config) (*Platform, error) {
	if config.Capacity == (Amount{}) {
		config.Capacity = Amount{CPU: 16000, Memory: 65536}
	}
	p := &Platform{config: config, Store: newStore(), stopped: make(chan struct{}), gangs: map[string][]*run{}, tickets: map[string]ticket{}, waves: map[int]*wave{}, orders: map[string]machineOrder{}}
	var err error
	if p.ledger, err = newLedger(p, config.Record); err != nil {
		return nil, err
	}
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.address = socket.Addr().String()
	mux := http.NewServeMux()
	p.Store.register(mux)
	mux.HandleFunc("GET /lovagedyke/machines", p.listMachines)
	mux.HandleFunc("POST /lovagedyke/machine-move", p.changeMachine)
	mux.HandleFunc("POST /lovagedyke/machine-upkeep", p.changeMachine)
	mux.HandleFunc("POST /lovagedyke/advise", p.advise)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(socket) }()
	zones := []string{"suva", "nadi", "lautoka"}
	n := 0
	for _, pool := range config.Pools {
		for i := range pool.Runners {
			kind := "a"
			if len(pool.Kinds) > 0 {
				kind = pool.Kinds[i%len(pool.Kinds)]
			}
			zone := zones[i%len(zones)]
			r := &Runner{platform: p, Machine: fmt.Sprintf("m-%03d", n), Rack: fmt.Sprintf("r1-%d", n/4), Zone: zone, service: pool.Name, capacity: config.Capacity}
			r.labels = []string{kind, r.Rack}
			if err := r.serve(); err != nil {
				return nil, err
			}
			p.mu.Lock()
			r.begin(time.Now())
			r.heartbeatLocked()
			p.Runners = append(p.Runners, r)
			p.mu.Unlock()
			n++
		}
	}
	p.Configure(nil)
	p.tickers.Add(1)
	go p.tick()
	return p, nil
}

// Configure writes the configuration, after change has changed it.
func (p *Platform) Configure(change func(*Config)) {
	p.mu.Lock()
	if change != nil {
		change(&p.config)
	}
	p.version += 3
	var services []map[string]any
	for _, pool := range p.config.Pools {
		services = append(services, map[string]any{
			"name": pool.Name, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false,
			"rejects_overload": p.config.Guarded, "spare": pool.Spare,
		})
	}
	value := map[string]any{
		"version": p.version, "routes": p.config.Routes, "services": services, "tenants": p.config.Tenants,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	p.ledger.note(time.Now(), "configuration %d", p.version)
	p.mu.Unlock()
	p.Store.Put("op", "config", value)
}

// tick ends runs and sends heartbeats.
func (p *Platform) tick() {
	defer p.tickers.Done()
	last := time.Now()
	for {
		select {
		case <-p.stopped:
			return
		case <-time.After(5 * time.Millisecond):
		}
		p.mu.Lock()
		now := time.Now()
		isBeat := now.Sub(last) >= heartbeatTime
		for _, r := range p.Runners {
			r.tick(now)
			if isBeat {
				r.heartbeatLocked()
			}
		}
		if isBeat {
			last = now
		}
		p.ledger.watch(now)
		p.mu.Unlock()
	}
}

// Close stops the platform and its runners.
func (p *Platform) Close() {
	close(p.stopped)
	p.tickers.Wait()
	for _, r := range p.Runners {
		_ = r.server.Close()
	}
	_ = p.server.Close()
	p.ledger.close()
}

// joinGang lets a gang work once all members are there. The platform's lock is held.
func (p *Platform) joinGang(now time.Time, r *run) {
	key := fmt.Sprintf("%s.%d.%d run %d", r.task.Job, r.task.Occurrence, r.task.Step, r.number)
	members := append(p.gangs[key], r)
	p.gangs[key] = members
	if len(members) < r.step.Count {
		return
	}
	for _, member := range members {
		if member.runner.running[member.name] != member {
			return
		}
	}
	for _, member := range members {
		member.workSince = now
	}
}

func (p *Platform) members(r *run) []*run {
	return p.gangs[fmt.Sprintf("%s.%d.%d run %d", r.task.Job, r.task.Occurrence, r.task.Step, r.number)]
}

// gangDone ends a gang.
func (p *Platform) gangDone(now time.Time, r *run) {
	for _, member := range p.members(r) {
		member.runner.finish(now, member, "done")
	}
}

// breakGang ends the other members of a gang that works.
func (p *Platform) breakGang(now time.Time, r *run) {
	if !r.step.Gang || r.workSince.IsZero() {
		return
	}
	for _, member := range p.members(r) {
		if member != r && member.runner.isUp && member.runner.running[member.name] == member {
			member.runner.finish(now, member, "broken")
		}
	}
}

func (p *Platform) listMachines(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	if p.isCloudDown {
		p.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var machines []map[string]any
	for _, r := range p.Runners {
		id := r.id
		if !r.isUp {
			id = ""
		}
		machines = append(machines, map[string]any{
			"machine": r.Machine, "pool": r.service, "state": r.machine, "zone": r.Zone, "labels": r.labels, "capacity": r.capacity, "id": id,
		})
	}
	p.mu.Unlock()
	WriteJSON(w, http.StatusOK, map[string]any{"machines": machines, "next_token": nil})
}

func (p *Platform) changeMachine(w http.ResponseWriter, request *http.Request) {
	var in struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int    `json:"wave"`
	}
	if err := json.NewDecoder(request.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var token uint64
	_, _ = fmt.Sscan(request.Header.Get("Lovagedyke-Fencing-Token"), &token)
	p.mu.Lock()
	if p.isCloudDown {
		p.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	status, reason := p.change(in.Machine, in.Pool, in.Wave, request.Header.Get("Lovagedyke-Lease-Holder"), token)
	isLost, delay := rand.Float64() < p.cloudLost, p.cloudDelay
	p.mu.Unlock()
	if isLost {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(delay)
	if reason != "" {
		WriteJSON(w, status, map[string]string{"reason": reason})
		return
	}
	WriteJSON(w, status, map[string]string{})
}

func (p *Platform) change(machine, pool string, number int, holder string, token uint64) (int, string) {
	for _, r := range p.Runners {
		if r.Machine != machine {
			continue
		}
		now := time.Now()
		p.ledger.machineOrder(now, p.orders[machine], machineOrder{holder, token, now}, machine)
		p.orders[machine] = machineOrder{holder, token, now}
		w := p.waves[number]
		switch {
		case pool == "" && w != nil && w.begun[machine]:
			return http.StatusOK, ""
		case r.machine != "up" || r.state != "ready":
			return http.StatusConflict, "busy"
		case pool != "" && r.service == pool:
			return http.StatusOK, ""
		}
		took, state := moveTime, "moving"
		if pool == "" {
			if reason := p.beginUpkeep(now, machine, number); reason != "" {
				return http.StatusConflict, reason
			}
			took, state = upkeepTime, "upkeep"
		}
		p.ledger.note(now, "machine %s %s to %q wave %d by %s token %d, ends %d runs", machine, state, pool, number, holder, token, len(r.running))
		for _, run := range r.sorted() {
			p.ledger.stopped(now, run)
		}
		former := r.id
		r.end(now, "moved")
		r.machine = state
		if pool != "" {
			r.service = pool
		}
		p.Store.Remove("servers", former)
		time.AfterFunc(took, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			r.begin(time.Now())
			r.heartbeatLocked()
		})
		return http.StatusOK, ""
	}
	return http.StatusBadRequest, "machine"
}

func (p *Platform) advise(w http.ResponseWriter, request *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(request.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(20*time.Millisecond + time.Duration(len(in.Workers))*2*time.Millisecond)
	p.mu.Lock()
	now := time.Now()
	var granted [][2]string
	for _, id := range in.Workers {
		for _, r := range p.Runners {
			// Two runners of three may run a step.
			if r.id == id && (len(in.Step)+int(in.Step[0])+len(r.Machine)+int(r.Machine[len(r.Machine)-1]))%3 != 0 {
				name := fmt.Sprintf("%08x", rand.Uint32())
				p.tickets[name] = ticket{id, in.Step, now.Add(ticketTime)}
				granted = append(granted, [2]string{id, name})
			}
		}
	}
	p.mu.Unlock()
	WriteJSON(w, http.StatusOK, map[string]any{"granted": granted, "valid_ms": ticketTime.Milliseconds()})
}

// isTicketValid reports whether a start carries a valid ticket where it needs one.
func (p *Platform) isTicketValid(now time.Time, r *Runner, task Task, name string) bool {
	route, ok := p.ledger.routeOf(task.Job)
	if !ok || route.Advice == nil {
		return true
	}
	held, ok := p.tickets[name]
	return ok && held.runner == r.id && held.step == fmt.Sprintf("%s.%d.%d", task.Job, task.Occurrence, task.Step) && now.Before(held.until)
}

// EndedAlone returns how many runs have ended alone before their jobs were cancelled.
func (p *Platform) EndedAlone() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.counts["alone before a cancel"]
}

// Find returns the runner on which most tasks run whose names begin with prefix, or nil.
func (p *Platform) Find(prefix string) *Runner {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found *Runner
	most := 0
	for _, r := range p.Runners {
		count := 0
		for name := range r.running {
			if strings.HasPrefix(name, prefix) {
				count++
			}
		}
		if count > most {
			found, most = r, count
		}
	}
	return found
}
