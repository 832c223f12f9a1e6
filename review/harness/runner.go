//go:build review

package harness

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	runnerCPU, runnerMemory = 16000, 65536
	// HoldMax is the longest lease, and stopTime the time that a stop takes.
	HoldMax  = 10 * time.Second
	stopTime = 150 * time.Millisecond
	// heartbeat is the time between two rows of a runner. Its row is removed after three.
	heartbeat  = 1500 * time.Millisecond
	maxEnds    = 500
	reportPoll = 5 * time.Millisecond
	// startup is how long a task that lasts takes to be at work.
	startup = 500 * time.Millisecond
)

// Machine is a machine with at most one runner at a time.
type Machine struct {
	platform *Platform
	id, rack string
	service  string
	address  string

	mu     sync.Mutex
	runner *runner
	lives  int
}

// runner is one life of a machine.
type runner struct {
	machine  *Machine
	id       string
	born     time.Time
	server   *http.Server
	done     chan struct{}
	seq      int
	lease    time.Duration
	token    uint64
	running  map[runKey]*run
	ends     []end
	lastEnd  int64
	highest  map[string]int64
	cut      bool
	cutUntil chan struct{}
	hasEnded bool
	// lapsedAt is when the lease last lapsed, or zero.
	lapsedAt time.Time
	// failsUntil is until when all that starts fails.
	failsUntil time.Time
}

type runKey struct {
	task string
	run  int64
}

// run is a task at work on a runner.
type run struct {
	runKey
	task      Task
	startedAt time.Time
	endsAt    time.Time
	stopsAt   time.Time
	gang      *gang
	// fails is set for runs that a runner fails which fails all that it starts.
	fails bool
}

// gang is a run of the members of a gang: they work from the moment when all are present, and end
// together.
type gang struct {
	count, present   int
	fullAt, brokenAt time.Time
}

// gangWait is how long a member waits for the others.
const gangWait = 3 * time.Second

// join adds a member.
func (g *gang) join(now time.Time) {
	g.present++
	if g.present == g.count {
		g.fullAt = now
	}
}

// leave removes a member that has ended.
func (g *gang) leave(how string, at time.Time) {
	g.present--
	if how != "done" && !g.fullAt.IsZero() && g.brokenAt.IsZero() {
		g.brokenAt = at
	}
}

// endOf returns when and how a member ends by itself.
func (g *gang) endOf(r *run) (at time.Time, how string) {
	switch {
	case g.fullAt.IsZero():
		return r.startedAt.Add(gangWait), "alone"
	case !g.brokenAt.IsZero():
		return g.brokenAt, "broken"
	default:
		return g.fullAt.Add(r.task.Duration), "done"
	}
}

type end struct {
	number int64
	key    runKey
	how    string
	at     time.Time
}

// begin starts a new life of the machine. The caller must not hold its lock.
func (m *Machine) begin() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	address := m.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	m.address = listener.Addr().String()
	m.lives++
	r := &runner{
		machine: m, id: m.nextID(), born: time.Now(), done: make(chan struct{}),
		running: map[runKey]*run{}, highest: map[string]int64{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /lovagedyke/run-start", r.handle(r.start))
	mux.HandleFunc("POST /lovagedyke/run-stop", r.handle(r.stop))
	mux.HandleFunc("POST /lovagedyke/pace", r.handle(r.pace))
	mux.HandleFunc("POST /lovagedyke/hold", r.hold)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.server = &http.Server{Handler: mux}
	m.runner = r
	go func() { _ = r.server.Serve(listener) }()
	go r.beat()
	m.platform.Note("runner %s of machine %s begins", r.id, m.id)
	return nil
}

// nextID returns the id of the machine's next runner.
func (m *Machine) nextID() string {
	if m.platform.config.KeepIDs {
		return "i-" + m.id
	}
	return fmt.Sprintf("i-%s-%d", m.id, m.lives)
}

// Crash ends the machine's runner with all that it runs, and begins the next life after a time.
func (m *Machine) Crash(down time.Duration) {
	m.mu.Lock()
	r := m.runner
	m.runner = nil
	m.mu.Unlock()
	if r == nil {
		return
	}
	_ = r.server.Close()
	m.platform.mu.Lock()
	r.settle(time.Now())
	lost := len(r.running)
	for key, lost := range r.running {
		if lost.gang != nil {
			lost.gang.leave("lost", time.Now())
		}
		m.platform.noteEnd(r, key, "lost", time.Now())
	}
	r.running, r.hasEnded = map[runKey]*run{}, true
	m.platform.mu.Unlock()
	close(r.done)
	m.platform.Note("runner %s crashes with %d runs; back in %s", r.id, lost, down)
	time.AfterFunc(3*heartbeat, func() { m.platform.store.remove("servers", r.id) })
	time.AfterFunc(down, func() {
		if m.platform.isOpen() {
			_ = m.begin()
		}
	})
}

// Cut separates the machine's runner from all nodes for a time: it runs on, and its calls hang.
func (m *Machine) Cut(span time.Duration) {
	m.mu.Lock()
	r := m.runner
	m.mu.Unlock()
	if r == nil {
		return
	}
	healed := make(chan struct{})
	m.platform.mu.Lock()
	r.cut, r.cutUntil = true, healed
	m.platform.mu.Unlock()
	m.platform.Note("runner %s is cut off for %s and runs on", r.id, span)
	time.AfterFunc(span, func() {
		m.platform.mu.Lock()
		r.cut = false
		m.platform.mu.Unlock()
		close(healed)
		m.platform.Note("runner %s is no longer cut off", r.id)
	})
}

// FailStarts lets the machine's runner fail all that it starts, for a time.
func (m *Machine) FailStarts(span time.Duration) {
	m.mu.Lock()
	r := m.runner
	m.mu.Unlock()
	if r == nil {
		return
	}
	m.platform.mu.Lock()
	r.failsUntil = time.Now().Add(span)
	m.platform.mu.Unlock()
	m.platform.Note("runner %s fails all that it starts for %s", r.id, span)
}

// Running returns how many runs the machine's runner has.
func (m *Machine) Running() int {
	m.mu.Lock()
	r := m.runner
	m.mu.Unlock()
	if r == nil {
		return 0
	}
	m.platform.mu.Lock()
	defer m.platform.mu.Unlock()
	r.settle(time.Now())
	return len(r.running)
}

// beat writes the runner's row until it ends. A runner that is cut off from the nodes still
// reaches the store.
func (r *runner) beat() {
	for {
		r.seq++
		r.machine.platform.store.put("servers", r.id, map[string]any{
			"service": r.machine.service, "address": r.machine.address, "zone": zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": map[string]any{"cpu": runnerCPU, "mem_mb": runnerMemory, "gpu": 0}, "labels": []string{"a", r.machine.rack},
			"machine": r.machine.id, "born": r.born.UnixMilli(), "clock_ms": r.clock(time.Now()).Milliseconds(), "seq": r.seq,
		})
		select {
		case <-r.done:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (r *runner) clock(now time.Time) time.Duration { return now.Sub(r.born) }

// order holds the fields of all orders.
type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	DeadlineMS int64  `json:"deadline_ms"`
	Token      uint64 `json:"fencing_token"`
	AckedUpTo  int64  `json:"acked_upto"`
	WaitMS     int64  `json:"wait_ms"`
	Percent    int    `json:"percent"`
}

// receive decodes an order. It returns false if the order is lost or is for another life.
func (r *runner) receive(w http.ResponseWriter, request *http.Request) (order, bool) {
	var in order
	if err := json.NewDecoder(request.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return in, false
	}
	r.machine.platform.mu.Lock()
	isCut, healed := r.cut, r.cutUntil
	r.machine.platform.mu.Unlock()
	if isCut {
		r.loseAnswer(request, healed)
	}
	if id := request.Header.Get("Lovagedyke-Expect-Instance"); id != "" && id != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return in, false
	}
	return in, true
}

// loseAnswer holds a call up as a cut does, which is silent: it is lost once its sender has given up.
func (r *runner) loseAnswer(request *http.Request, healed chan struct{}) {
	select {
	case <-request.Context().Done():
	case <-healed:
	case <-r.done:
	}
	panic(http.ErrAbortHandler)
}

func (r *runner) handle(execute func(order, time.Time) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		in, ok := r.receive(w, request)
		if !ok {
			return
		}
		p := r.machine.platform
		p.mu.Lock()
		if r.hasEnded {
			p.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		now := time.Now()
		r.settle(now)
		if p.lateShare > 0 && rand.Float64() < p.lateShare {
			p.mu.Unlock()
			r.delay(request, in)
			panic(http.ErrAbortHandler)
		}
		status, reason := execute(in, now)
		p.mu.Unlock()
		body := map[string]any{"clock_ms": r.clock(now).Milliseconds(), "born": r.born.UnixMilli()}
		if reason != "" {
			body["reason"] = reason
		}
		writeJSON(w, status, body)
	}
}

// Bounds of the time after which an order without an answer is carried out.
const minLate, maxLate = 2 * time.Second, 12 * time.Second

// delay leaves an order without an answer, and has it carried out later by the runner that has this
// runner's id then. It waits until the caller has given up.
func (r *runner) delay(request *http.Request, in order) {
	late := minLate + rand.N(maxLate-minLate)
	path := request.URL.Path
	r.machine.platform.Note("%s leaves %s of %s run %d unanswered; carried out in %s", r.id, path, in.Task, in.Run, late.Round(time.Millisecond))
	time.AfterFunc(late, func() { r.machine.executeLate(path, r.id, in) })
	select {
	case <-request.Context().Done():
	case <-r.done:
	}
}

// executeLate carries out an order that got no answer, if a runner with the id is there.
func (m *Machine) executeLate(path, id string, in order) {
	m.mu.Lock()
	r := m.runner
	m.mu.Unlock()
	if r == nil || r.id != id {
		return
	}
	p := m.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.hasEnded || p.closed {
		return
	}
	now := time.Now()
	r.settle(now)
	status, reason := 0, ""
	switch path {
	case "/lovagedyke/run-start":
		status, reason = r.start(in, now)
	case "/lovagedyke/run-stop":
		status, reason = r.stop(in, now)
	}
	p.Note("%s, %s old, carries out %s of %s run %d late: %d %s", r.id, now.Sub(r.born).Round(time.Millisecond), path, in.Task, in.Run, status, reason)
}

// nameOf names a run of this life of the runner.
func (r *runner) nameOf(key runKey) string {
	return fmt.Sprintf("%s/%d/%s/%d", r.id, r.born.UnixNano(), key.task, key.run)
}

// extend extends the lease.
func (r *runner) extend(deadlineMS int64, now time.Time) {
	r.noteLapse(now)
	deadline := time.Duration(deadlineMS) * time.Millisecond
	r.lease = max(r.lease, min(deadline, r.clock(now)+HoldMax))
}

// noteLapse notes that the lease has lapsed, if it has.
func (r *runner) noteLapse(now time.Time) {
	if r.clock(now) > r.lease {
		r.lapsedAt = r.born.Add(r.lease)
	}
}

func (r *runner) isFenced(token uint64) bool {
	if token < r.token {
		return true
	}
	r.token = token
	return false
}

func (r *runner) start(in order, now time.Time) (int, string) {
	p := r.machine.platform
	key := runKey{in.Task, in.Run}
	if r.isFenced(in.Token) {
		return http.StatusConflict, "fence"
	}
	if r.running[key] != nil {
		r.extend(in.DeadlineMS, now)
		return http.StatusOK, ""
	}
	if in.Run <= r.highest[in.Task] {
		r.extend(in.DeadlineMS, now)
		return http.StatusConflict, "old"
	}
	if time.Duration(in.DeadlineMS)*time.Millisecond <= r.clock(now) {
		return http.StatusConflict, "late"
	}
	task, ok := p.tasks(in.Task)
	if !ok {
		p.noteStart(r, key, Task{}, now)
		return http.StatusBadRequest, ""
	}
	r.extend(in.DeadlineMS, now)
	cpu, memory := task.CPU, task.Memory
	for _, other := range r.running {
		cpu += other.task.CPU
		memory += other.task.Memory
	}
	if cpu > runnerCPU || memory > runnerMemory {
		return http.StatusConflict, "room"
	}
	started := &run{runKey: key, task: task, startedAt: now}
	started.fails = now.Before(r.failsUntil)
	switch {
	case task.GangOf > 0:
		started.gang = p.gangOf(key, task.GangOf)
		started.gang.join(now)
	case !task.Lasting:
		started.endsAt = now.Add(task.Duration)
	}
	r.running[key] = started
	p.noteStart(r, key, task, now)
	return http.StatusOK, ""
}

func (r *runner) stop(in order, now time.Time) (int, string) {
	if r.isFenced(in.Token) {
		return http.StatusConflict, "fence"
	}
	key := runKey{in.Task, in.Run}
	if running := r.running[key]; running != nil {
		if running.stopsAt.IsZero() {
			running.stopsAt = now.Add(stopTime)
		}
		return http.StatusOK, ""
	}
	r.highest[in.Task] = max(r.highest[in.Task], in.Run)
	return http.StatusOK, ""
}

func (r *runner) pace(in order, _ time.Time) (int, string) {
	if r.isFenced(in.Token) {
		return http.StatusConflict, "fence"
	}
	return http.StatusOK, ""
}

// settle ends what has ended by now. The caller holds the platform's lock.
func (r *runner) settle(now time.Time) {
	var ended []end
	isLapsed := len(r.running) > 0 && r.clock(now) > r.lease
	lapsedAt := r.born.Add(r.lease)
	for key, running := range r.running {
		at, how := time.Time{}, ""
		earlier := func(candidate time.Time, as string) {
			if !candidate.IsZero() && !candidate.After(now) && (at.IsZero() || candidate.Before(at)) {
				at, how = candidate, as
			}
		}
		if running.fails {
			earlier(running.startedAt, "failed")
		}
		earlier(running.endsAt, "done")
		if running.gang != nil {
			earlier(running.gang.endOf(running))
		}
		earlier(running.stopsAt, "stopped")
		if isLapsed {
			earlier(lapsedAt, "lapsed")
		}
		if how != "" {
			ended = append(ended, end{key: key, how: how, at: at})
		}
	}
	slices.SortFunc(ended, func(a, b end) int { return a.at.Compare(b.at) })
	for _, e := range ended {
		r.lastEnd++
		e.number = r.lastEnd
		r.ends = append(r.ends, e)
		r.highest[e.key.task] = max(r.highest[e.key.task], e.key.run)
		if g := r.running[e.key].gang; g != nil {
			g.leave(e.how, e.at)
		}
		delete(r.running, e.key)
		r.machine.platform.noteEnd(r, e.key, e.how, e.at)
	}
}

// hold handles a renewal of the lease, which acknowledges ends and returns both lists.
func (r *runner) hold(w http.ResponseWriter, request *http.Request) {
	in, ok := r.receive(w, request)
	if !ok {
		return
	}
	p := r.machine.platform
	deadline := time.Now().Add(time.Duration(min(in.WaitMS, 2000)) * time.Millisecond)
	isFirst := true
	for {
		p.mu.Lock()
		now := time.Now()
		r.settle(now)
		if isFirst && r.isFenced(in.Token) || !isFirst && in.Token < r.token {
			p.mu.Unlock()
			writeJSON(w, http.StatusConflict, map[string]any{"clock_ms": r.clock(now).Milliseconds(), "born": r.born.UnixMilli(), "reason": "fence"})
			return
		}
		if isFirst {
			if in.DeadlineMS > 0 {
				r.extend(in.DeadlineMS, now)
			}
			r.acknowledge(in.AckedUpTo, now)
		}
		isFirst = false
		if len(r.ends) == 0 && now.Before(deadline) && request.Context().Err() == nil && !r.cut && !r.hasEnded {
			p.mu.Unlock()
			time.Sleep(reportPoll)
			continue
		}
		body := r.report(now)
		isCut, healed, hasEnded := r.cut, r.cutUntil, r.hasEnded
		p.mu.Unlock()
		if isCut {
			r.loseAnswer(request, healed)
		}
		if hasEnded {
			panic(http.ErrAbortHandler)
		}
		writeJSON(w, http.StatusOK, body)
		return
	}
}

// acknowledge forgets ends. One between which and now the lease has lapsed does not count as taken note
// of.
func (r *runner) acknowledge(upTo int64, now time.Time) {
	r.noteLapse(now)
	for len(r.ends) > 0 && r.ends[0].number <= upTo {
		if !r.lapsedAt.After(r.ends[0].at) {
			r.machine.platform.noteAcknowledged(r, r.ends[0].key)
		}
		r.ends = r.ends[1:]
	}
}

// report returns both lists. The caller holds the platform's lock.
func (r *runner) report(now time.Time) map[string]any {
	running, ended := [][]any{}, [][]any{}
	for key, run := range r.running {
		percent, figure := 100, run.task.CPU
		if run.task.Lasting && now.Sub(run.startedAt) < startup {
			percent = 0
		}
		running = append(running, []any{key.task, key.run, "", percent, figure})
	}
	for _, e := range r.ends[:min(len(r.ends), maxEnds)] {
		ended = append(ended, []any{e.number, e.key.task, e.key.run, e.how, ""})
	}
	return map[string]any{"clock_ms": r.clock(now).Milliseconds(), "born": r.born.UnixMilli(), "running": running, "ended": ended}
}
