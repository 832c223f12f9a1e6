//go:build review

package harness

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Task is a task's name taken apart.
type Task struct {
	Job                     string
	Occurrence, Step, Index int
}

// ParseTask takes a task's name apart.
func ParseTask(name string) Task {
	parts := strings.Split(name, ".")
	number := func(i int) int {
		if i >= len(parts) {
			return -1
		}
		n, _ := strconv.Atoi(parts[i])
		return n
	}
	return Task{Job: parts[0], Occurrence: number(1), Step: number(2), Index: number(3)}
}

// run is a run on a runner.
type run struct {
	name    string
	task    Task
	number  int64
	step    Step
	spec    string
	begunAt time.Time
	// workSince is when it began to work, or zero while a gang waits for its members.
	workSince time.Time
	stopAt    time.Time
	saved     time.Duration
	percent   int
	runner    *Runner
	fails     bool
}

// worked returns how much of the task is done.
func (r *run) worked(now time.Time) time.Duration {
	if r.workSince.IsZero() {
		return r.saved
	}
	return r.saved + now.Sub(r.workSince)
}

func (r *run) savedText(now time.Time) string {
	if !r.step.Checkpoint {
		return ""
	}
	whole := r.worked(now).Truncate(time.Second)
	if whole <= 0 {
		return ""
	}
	return fmt.Sprintf("%s-%d-%d-%d", r.task.Job, r.task.Occurrence, r.task.Step, whole.Milliseconds())
}

// maxEnds is how many ends an answer lists at most.
const maxEnds = 500

type ended struct {
	number int64
	run    *run
	how    string
	saved  string
}

// Runner is one machine's place for endpoints: an address at which one life follows another.
type Runner struct {
	platform *Platform
	Machine  string
	Rack     string
	// Zone is the zone of the machine.
	Zone    string
	address string
	server  *http.Server
	// The platform's lock guards the rest.
	id       string
	service  string
	state    string
	isUp     bool
	machine  string
	born     time.Time
	fence    uint64
	lease    time.Duration
	running  map[string]*run
	ends     []ended
	lastEnd  int64
	highest  map[string]int64
	capacity Amount
	labels   []string
	seq      int
	missed   int
	cutUntil time.Time
	// sick is true while it refuses all starts.
	sick bool
}

// ID returns the ID of the current life.
func (r *Runner) ID() string {
	r.platform.mu.Lock()
	defer r.platform.mu.Unlock()
	return r.id
}

func (r *Runner) clock(now time.Time) time.Duration { return now.Sub(r.born) }

// begin starts a life. The platform's lock is held.
func (r *Runner) begin(now time.Time) {
	r.platform.lastID++
	r.id = fmt.Sprintf("i-%06d", r.platform.lastID)
	r.born, r.isUp, r.state, r.machine = now, true, "ready", "up"
	r.fence, r.lease, r.lastEnd, r.seq, r.missed = 0, 0, 0, 0, 0
	r.running, r.ends, r.highest = map[string]*run{}, nil, map[string]int64{}
}

// end ends the life: all runs are lost. The platform's lock is held.
func (r *Runner) end(now time.Time, how string) {
	if !r.isUp {
		return
	}
	r.isUp = false
	for _, lost := range r.running {
		r.platform.ledger.ended(now, lost, how)
		r.platform.breakGang(now, lost)
	}
	r.running = map[string]*run{}
}

func (r *Runner) used() Amount {
	var sum Amount
	for _, run := range r.running {
		sum = sum.plus(run.step.reserved())
	}
	return sum
}

// finish ends a run and lists its end. The platform's lock is held.
func (r *Runner) finish(now time.Time, run *run, how string) {
	if r.running[run.name] != run {
		return
	}
	delete(r.running, run.name)
	r.lastEnd++
	r.highest[run.name] = max(r.highest[run.name], run.number)
	r.ends = append(r.ends, ended{r.lastEnd, run, how, run.savedText(now)})
	r.platform.ledger.ended(now, run, how)
}

// tick ends what is over by now. The platform's lock is held.
func (r *Runner) tick(now time.Time) {
	if !r.isUp {
		return
	}
	if len(r.running) > 0 && r.clock(now) > r.lease {
		for _, run := range r.sorted() {
			r.finish(now, run, "lapsed")
			r.platform.breakGang(now, run)
		}
	}
	for _, run := range r.sorted() {
		switch {
		case r.running[run.name] != run:
		case !run.stopAt.IsZero() && now.After(run.stopAt):
			r.finish(now, run, "stopped")
			r.platform.breakGang(now, run)
		case !run.stopAt.IsZero():
		case run.step.Gang && run.workSince.IsZero():
			if now.Sub(run.begunAt) > gangTime {
				r.finish(now, run, "alone")
			}
		case run.fails && run.worked(now) >= run.step.Takes/2:
			r.finish(now, run, "failed")
			r.platform.breakGang(now, run)
		case !run.step.Persistent && run.worked(now) >= run.step.Takes:
			if run.step.Gang {
				r.platform.gangDone(now, run)
			} else {
				r.finish(now, run, "done")
			}
		}
	}
}

func (r *Runner) sorted() []*run {
	var out []*run
	for _, run := range r.running {
		out = append(out, run)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}

type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Token      uint64 `json:"fencing_token"`
	Saved      string `json:"saved"`
	Ticket     string `json:"ticket"`
	AckedUpTo  int64  `json:"acked_upto"`
	WaitMS     int64  `json:"wait_ms"`
	Percent    int    `json:"percent"`
}

type orderAnswer struct {
	ClockMS int64   `json:"clock_ms"`
	Born    int64   `json:"born"`
	Reason  string  `json:"reason,omitempty"`
	Running [][]any `json:"running,omitempty"`
	Ended   [][]any `json:"ended,omitempty"`
}

func (r *Runner) serve() error {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.address = socket.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /lovagedyke/run-start", r.handle(r.start))
	mux.HandleFunc("POST /lovagedyke/run-stop", r.handle(r.stop))
	mux.HandleFunc("POST /lovagedyke/pace", r.handle(r.pace))
	mux.HandleFunc("POST /lovagedyke/hold", r.handle(r.hold))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {})
	r.server = &http.Server{Handler: mux}
	go func() { _ = r.server.Serve(socket) }()
	return nil
}

func (r *Runner) answer(now time.Time) orderAnswer {
	return orderAnswer{ClockMS: r.clock(now).Milliseconds(), Born: r.born.UnixMilli()}
}

// handle decodes an order and carries it out. A runner that is down hangs up.
func (r *Runner) handle(carryOut func(now time.Time, in order) (int, orderAnswer)) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		var in order
		if err := json.NewDecoder(request.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		id := request.Header.Get("Lovagedyke-Expect-Instance")
		if request.URL.Path == "/lovagedyke/run-start" && r.platform.takeLate(r, id, in, carryOut) {
			// The caller gets no answer.
			<-request.Context().Done()
			return
		}
		r.waitOutCut(request)
		if delay, isLost := r.platform.drawTrouble(request.URL.Path); delay > 0 {
			time.AfterFunc(delay, func() { r.execute(id, in, carryOut) })
			<-request.Context().Done()
			return
		} else if isLost {
			r.execute(id, in, carryOut)
			panic(http.ErrAbortHandler)
		}
		until := time.Now().Add(time.Duration(in.WaitMS) * time.Millisecond)
		for {
			// A hold that waits when a cut begins goes silent as well.
			r.waitOutCut(request)
			status, out, isUp := r.execute(id, in, carryOut)
			if !isUp {
				panic(http.ErrAbortHandler)
			}
			if status != http.StatusOK || in.WaitMS == 0 || len(out.Ended) > 0 || time.Now().After(until) {
				WriteJSON(w, status, out)
				return
			}
			select {
			case <-request.Context().Done():
				return
			case <-time.After(feedPoll):
			}
		}
	}
}

// SickIdle makes the runner that runs nothing refuse all starts for a while; its reports and its entry stay
// sound. It returns false unless there is exactly one such runner.
func (p *Platform) SickIdle(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var idle []*Runner
	for _, r := range p.Runners {
		if r.isUp && len(r.running) == 0 && !p.isSpare(r.service) {
			idle = append(idle, r)
		}
	}
	if len(idle) != 1 {
		return false
	}
	idle[0].sick = true
	p.ledger.note(time.Now(), "%s refuses starts for %s", idle[0].id, d)
	time.AfterFunc(d, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		idle[0].sick = false
	})
	return true
}

func (p *Platform) isSpare(service string) bool {
	for _, pool := range p.config.Pools {
		if pool.Name == service {
			return pool.Spare
		}
	}
	return false
}

// Cut cuts the runner off from all nodes for a while; it runs on.
func (r *Runner) Cut(d time.Duration) {
	r.platform.mu.Lock()
	defer r.platform.mu.Unlock()
	r.cutUntil = time.Now().Add(d)
	r.platform.ledger.note(time.Now(), "%s is cut off for %s", r.id, d)
}

// waitOutCut lets a request that meets a cut hear nothing until the cut is over, and hang up then.
func (r *Runner) waitOutCut(request *http.Request) {
	if wait := r.cutFor(); wait > 0 {
		select {
		case <-request.Context().Done():
		case <-time.After(wait):
		}
		panic(http.ErrAbortHandler)
	}
}

func (r *Runner) cutFor() time.Duration {
	r.platform.mu.Lock()
	defer r.platform.mu.Unlock()
	return time.Until(r.cutUntil)
}

// Trouble lets a share of the orders be carried out late, and of the answers be lost.
func (p *Platform) Trouble(late, lost float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lateShare, p.lostShare = late, lost
}

func (p *Platform) drawTrouble(path string) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if path != "/lovagedyke/hold" && rand.Float64() < p.lateShare {
		return 2*time.Second + rand.N(10*time.Second), false
	}
	return 0, rand.Float64() < p.lostShare
}

// takeLate reports whether a start is left unanswered, and lets it be carried out later, by the life
// that is there by then.
func (p *Platform) takeLate(r *Runner, id string, in order, carryOut func(now time.Time, in order) (int, orderAnswer)) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lateBy == 0 || !r.isUp {
		return false
	}
	p.ledger.note(time.Now(), "start %s run %d at %s is left unanswered", in.Task, in.Run, r.id)
	time.AfterFunc(p.lateBy, func() {
		status, out, isUp := r.execute(id, in, carryOut)
		p.Note("start %s run %d at %s is carried out late: up %t, status %d %s", in.Task, in.Run, id, isUp, status, out.Reason)
	})
	p.lateBy = 0
	go p.onLate(r)
	return true
}

// LateOnce lets the next start be left unanswered and carried out late. onLate is called with its runner.
func (p *Platform) LateOnce(by time.Duration, onLate func(*Runner)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lateBy, p.onLate = by, onLate
}

func (r *Runner) execute(id string, in order, carryOut func(now time.Time, in order) (int, orderAnswer)) (int, orderAnswer, bool) {
	r.platform.mu.Lock()
	defer r.platform.mu.Unlock()
	if !r.isUp {
		return 0, orderAnswer{}, false
	}
	now := time.Now()
	if id != "" && id != r.id {
		return http.StatusMisdirectedRequest, r.answer(now), true
	}
	r.tick(now)
	status, out := carryOut(now, in)
	return status, out, true
}

func (r *Runner) isFenced(in order) bool {
	if in.Token < r.fence {
		return true
	}
	r.fence = in.Token
	return false
}

func (r *Runner) extend(now time.Time, deadlineMS int64) {
	deadline := time.Duration(deadlineMS) * time.Millisecond
	r.lease = max(r.lease, min(deadline, r.clock(now)+leaseMax))
}

func (r *Runner) refuse(now time.Time, reason string) (int, orderAnswer) {
	out := r.answer(now)
	out.Reason = reason
	return http.StatusConflict, out
}

func (r *Runner) start(now time.Time, in order) (int, orderAnswer) {
	if r.isFenced(in) {
		return r.refuse(now, "fence")
	}
	if r.sick {
		r.platform.ledger.note(now, "start %s run %d is refused by %s", in.Task, in.Run, r.id)
		return http.StatusServiceUnavailable, r.answer(now)
	}
	if time.Duration(in.DeadlineMS)*time.Millisecond <= r.clock(now) && r.clock(now) >= r.lease {
		return r.refuse(now, "late")
	}
	task := ParseTask(in.Task)
	step, known := r.platform.ledger.stepOf(task)
	if current := r.running[in.Task]; current != nil && current.number == in.Run {
		r.extend(now, in.DeadlineMS)
		return http.StatusOK, r.answer(now)
	}
	if in.Run <= r.highest[in.Task] {
		r.extend(now, in.DeadlineMS)
		return r.refuse(now, "old")
	}
	if !r.platform.isTicketValid(now, r, task, in.Ticket) {
		return r.refuse(now, "ticket")
	}
	if r.platform.config.Guarded && !step.reserved().fits(r.capacity.minus(r.used())) {
		r.extend(now, in.DeadlineMS)
		return r.refuse(now, "room")
	}
	r.extend(now, in.DeadlineMS)
	begun := &run{name: in.Task, task: task, number: in.Run, step: step, spec: in.Spec, begunAt: now, percent: 100, runner: r}
	begun.fails = r.platform.ledger.shouldFail(task)
	if in.Saved != "" {
		parts := strings.Split(in.Saved, "-")
		ms, _ := strconv.Atoi(parts[len(parts)-1])
		begun.saved = time.Duration(ms) * time.Millisecond
	}
	r.platform.ledger.started(now, begun, in.Saved, known)
	r.running[in.Task] = begun
	if !step.Gang {
		begun.workSince = now
	} else {
		r.platform.joinGang(now, begun)
	}
	return http.StatusOK, r.answer(now)
}

func (r *Runner) stop(now time.Time, in order) (int, orderAnswer) {
	if r.isFenced(in) {
		return r.refuse(now, "fence")
	}
	if current := r.running[in.Task]; current != nil && current.number <= in.Run {
		if current.stopAt.IsZero() {
			r.platform.ledger.stopped(now, current)
			current.stopAt = now.Add(stopTime / 2)
			r.platform.ledger.note(now, "stop %s run %d on %s", in.Task, in.Run, r.id)
		}
	} else {
		r.highest[in.Task] = max(r.highest[in.Task], in.Run)
	}
	return http.StatusOK, r.answer(now)
}

func (r *Runner) pace(now time.Time, in order) (int, orderAnswer) {
	if r.isFenced(in) {
		return r.refuse(now, "fence")
	}
	if current := r.running[in.Task]; current != nil && current.number == in.Run {
		current.percent = in.Percent
	}
	return http.StatusOK, r.answer(now)
}

func (r *Runner) hold(now time.Time, in order) (int, orderAnswer) {
	if r.isFenced(in) {
		return r.refuse(now, "fence")
	}
	if in.DeadlineMS > 0 {
		r.extend(now, in.DeadlineMS)
	}
	for len(r.ends) > 0 && r.ends[0].number <= in.AckedUpTo {
		r.platform.ledger.noted(now, r.ends[0])
		r.ends = r.ends[1:]
	}
	out := r.answer(now)
	for _, run := range r.sorted() {
		percent := run.percent
		if run.step.Gang && run.workSince.IsZero() || now.Sub(run.begunAt) < startupTime {
			percent = 0
		}
		figure := int64(run.step.CPU)
		if run.step.TargetMS > 0 {
			figure = run.step.TargetMS / 2
		}
		out.Running = append(out.Running, []any{run.name, run.number, run.savedText(now), percent, figure})
	}
	for _, end := range r.ends[:min(len(r.ends), maxEnds)] {
		out.Ended = append(out.Ended, []any{end.number, end.run.name, end.run.number, end.how, end.saved})
	}
	return http.StatusOK, out
}

// Crash ends the runner's life without a word. The next one begins after down.
func (r *Runner) Crash(down time.Duration) { r.crash(down, false) }

// CrashKeepingID is like Crash, and the next life has the same ID.
func (r *Runner) CrashKeepingID(down time.Duration) { r.crash(down, true) }

func (r *Runner) crash(down time.Duration, keepsID bool) {
	p := r.platform
	p.mu.Lock()
	if !r.isUp {
		// Its machine is down, or on its way to another pool.
		p.mu.Unlock()
		return
	}
	now := time.Now()
	p.ledger.note(now, "crash of %s on %s, which runs %d", r.id, r.Machine, len(r.running))
	former := r.id
	r.end(now, "lost")
	r.machine = "down"
	p.mu.Unlock()
	time.AfterFunc(3*heartbeatTime, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if !r.isUp || r.id != former {
			p.Store.Remove("servers", former)
		}
	})
	time.AfterFunc(down, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		r.begin(time.Now())
		if keepsID {
			r.id = former
		}
		p.ledger.note(time.Now(), "%s is up as %s", r.Machine, r.id)
		r.heartbeatLocked()
	})
}

// heartbeatLocked writes the runner's row. The platform's lock is held.
func (r *Runner) heartbeatLocked() {
	if !r.isUp {
		return
	}
	r.seq++
	r.platform.Store.Put("servers", r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": r.Zone, "version": "v1", "slots": 8, "state": r.state, "cold_left_ms": 0,
		"capacity": r.capacity, "labels": r.labels, "machine": r.Machine, "born": r.born.UnixMilli(),
		"clock_ms": r.clock(time.Now()).Milliseconds(), "seq": r.seq,
	})
}
