package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

const (
	// worldTick is the resolution of the simulated fleet.
	worldTick = 10 * time.Millisecond
	// worldDown is how long a crashed endpoint is away.
	worldDown = 3 * time.Second
	// worldListInterval is the time between two host lists.
	worldListInterval = 300 * time.Millisecond
	// worldEntryLifetime is how long the list names an endpoint that is silent.
	worldEntryLifetime = 4500 * time.Millisecond
)

// crashWorld is a fleet in virtual time whose endpoints crash under some tasks. It keeps
// the truth that the leader has to guess from reports, host lists and silence.
type crashWorld struct {
	t       *testing.T
	config  crashWorldConfig
	leader  *fleet.Leader
	token   uint64
	now     time.Time
	started time.Time
	random  *rand.Rand
	hosts   []*worldHost
	nextID  int
	jobs    map[job.ID]*fleet.StoredJob
	order   []job.ID
	// starts and crashes count, by task, its starts and the endpoints that crashed under it;
	// startsAfter counts its starts after the third crash.
	starts, crashes, startsAfter map[job.Task]int
	// lost counts the runs of each job that ended with an endpoint.
	lost     map[job.ID]int
	doneAt   map[job.ID]time.Time
	listedAt time.Time
	// storeOutUntil and listOutUntil are until when the store and the host list are away.
	storeOutUntil, listOutUntil time.Time
	journal                     worldJournal
}

// worldJournal keeps the leader's lines about each task.
type worldJournal struct {
	now   func() time.Time
	lines map[job.Task][]string
}

// Info implements fleet.Journal.
func (j worldJournal) Info(event string, fields ...any) {
	var task job.Task
	for i := 0; i+1 < len(fields); i += 2 {
		switch fields[i] {
		case "job":
			task.Job, _ = fields[i+1].(job.ID)
		case "step":
			task.Step, _ = fields[i+1].(int)
		case "index":
			task.Index, _ = fields[i+1].(int)
		}
	}
	if event == "endpoint crashed" {
		task = job.Task{}
	}
	j.lines[task] = append(j.lines[task], fmt.Sprint(j.now().Format("05.000"), " ", event, " ", fields))
}

type crashWorldConfig struct {
	endpoints int
	// racks is the number of racks over which the endpoints are spread; 1 by default.
	racks int
	// deadly returns how long after its start a task crashes its endpoint, or false.
	deadly func(task job.Task) (time.Duration, bool)
	// duration is how long the other tasks work; persistent ones work on.
	duration time.Duration
	// keepsID is true if endpoints restart under the ID that they had.
	keepsID bool
	// staysUp is true if the host list shows hosts as up while their endpoint is away.
	staysUp bool
	// isUnanswered is true if tasks crash their endpoint before it answers their start.
	isUnanswered bool
	// isDark is true if hosts are lost as a whole, so that calls to their endpoints get no answer
	// at all.
	isDark bool
	// down is how long a crashed endpoint is away; worldDown by default.
	down time.Duration
	// lostAnswers is the share of starts that are carried out and not answered, and seed
	// that of the randomness.
	lostAnswers float64
	// listLag is how far a host's row in the host list lags at most. The lag changes at random,
	// for each host by itself, so that rows go back.
	listLag time.Duration
	seed    uint64
	policy  policy.Config
}

type worldHost struct {
	id     fleet.HostID
	rack   string
	runner *worldEndpoint
	upAt   time.Time
	// former is the entry of the endpoint that has crashed, until it expires.
	former      *worldEndpoint
	formerUntil time.Time
	// cutUntil is until when no call reaches the endpoint.
	cutUntil time.Time
	// rows are the rows that were current, oldest first; the list shows the host as it was lag ago.
	rows []datedRow
	lag  time.Duration
}

// datedRow is a host's row and since when it is current.
type datedRow struct {
	since time.Time
	row   fleet.Host
}

type worldEndpoint struct {
	id        fleet.EndpointID
	startedAt time.Time
	running   []worldRun
	ended     []fleet.Completion
	count     int64
	lease     time.Duration
	listed    bool
	hasHungUp bool
}

type worldRun struct {
	task      job.Task
	run       int64
	startedAt time.Time
}

func newCrashWorld(t *testing.T, config crashWorldConfig) *crashWorld {
	t.Helper()
	start := time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)
	w := &crashWorld{
		t: t, config: config, now: start, started: start, random: rand.New(rand.NewPCG(1, config.seed)),
		jobs: map[job.ID]*fleet.StoredJob{}, starts: map[job.Task]int{}, crashes: map[job.Task]int{}, startsAfter: map[job.Task]int{},
		lost: map[job.ID]int{}, doneAt: map[job.ID]time.Time{},
	}
	if w.config.duration == 0 {
		w.config.duration = time.Second
	}
	if w.config.down == 0 {
		w.config.down = worldDown
	}
	if w.config.deadly == nil {
		w.config.deadly = func(job.Task) (time.Duration, bool) { return 0, false }
	}
	if w.config.policy.Queues == nil {
		w.config.policy = defaultPolicy()
		w.config.policy.Pools = w.config.policy.Pools[:1]
	}
	w.journal = worldJournal{now: func() time.Time { return w.now }, lines: map[job.Task][]string{}}
	for n := range config.endpoints {
		h := &worldHost{id: fleet.HostID(fmt.Sprintf("h-%02d", n)), rack: fmt.Sprintf("r1-%d", n%max(1, config.racks))}
		w.boot(h)
		w.hosts = append(w.hosts, h)
	}
	w.replaceLeader()
	return w
}

// boot starts an endpoint on a host.
func (w *crashWorld) boot(h *worldHost) {
	w.nextID++
	e := &worldEndpoint{id: fleet.EndpointID(fmt.Sprintf("i-%03d", w.nextID)), startedAt: w.now}
	if w.config.keepsID && h.former != nil {
		e.id = h.former.id
		h.former = nil
	}
	h.runner = e
}

// replaceLeader lets a new leader take over with what the store holds.
func (w *crashWorld) replaceLeader() {
	w.token++
	w.journal.Info("leader replaced", "token", w.token)
	w.leader = fleet.New(fleet.Config{Token: w.token, Now: w.now, Journal: w.journal, Bounds: fleet.Bounds{
		MaxLease: 10 * time.Second, StatusRetention: 120 * time.Second, Move: 1500 * time.Millisecond,
		Maintenance: 2 * time.Second, HostChangeExclusion: 3 * time.Second, Stop: 200 * time.Millisecond,
	}})
	w.leader.SetPolicy(policy.New(w.config.policy))
	var stored []fleet.StoredJob
	for _, id := range w.order {
		stored = append(stored, *w.jobs[id])
	}
	w.leader.Load(stored, w.now, w.now)
	for _, h := range w.hosts {
		if h.runner != nil {
			h.runner.listed = false
		}
	}
	w.listedAt = time.Time{}
}

func (w *crashWorld) submit(submission *job.Submission) {
	submission.Accepted = w.now
	w.jobs[submission.ID] = &fleet.StoredJob{Submission: submission}
	w.order = append(w.order, submission.ID)
	w.leader.AddJob(submission, w.now, w.now)
}

// runFor advances the world.
func (w *crashWorld) runFor(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.tick()
	}
}

func (w *crashWorld) tick() {
	w.now = w.now.Add(worldTick)
	w.leader.ConfirmLeadership(w.now)
	for _, h := range w.hosts {
		w.work(h)
		w.recordRow(h)
	}
	w.list()
	for _, id := range w.leader.EndpointIDs() {
		w.renew(id)
	}
	orders := w.leader.Step(w.now, w.now)
	for _, start := range orders.Starts {
		w.start(start)
	}
	for _, stop := range orders.Stops {
		w.stop(stop)
	}
	if !w.now.Before(w.storeOutUntil) {
		w.write()
	}
	for _, id := range w.order {
		if state, _ := w.leader.StateOf(id); state.Final() && w.doneAt[id].IsZero() {
			w.doneAt[id] = w.now
		}
	}
}

// work ends the runs of an endpoint that are due, and crashes it if a task does so.
func (w *crashWorld) work(h *worldHost) {
	if h.runner == nil {
		if !w.now.Before(h.upAt) {
			w.boot(h)
		}
		return
	}
	e := h.runner
	if e.lease > 0 && w.now.Sub(e.startedAt) > e.lease {
		for _, r := range slices.Clone(e.running) {
			w.end(e, r, fleet.CompletionLeaseExpired)
		}
	}
	for _, r := range slices.Clone(e.running) {
		if after, ok := w.config.deadly(r.task); ok {
			if w.now.Sub(r.startedAt) >= after {
				w.crash(h)
				return
			}
			continue
		}
		step := w.jobs[r.task.Job].Submission.Steps[r.task.Step]
		if !step.Persistent && w.now.Sub(r.startedAt) >= w.config.duration {
			w.end(e, r, fleet.CompletionDone)
		}
	}
}

// crash ends an endpoint with all its runs.
func (w *crashWorld) crash(h *worldHost) {
	for _, r := range h.runner.running {
		w.lost[r.task.Job]++
		w.crashes[r.task]++
	}
	h.former, h.formerUntil = h.runner, w.now.Add(worldEntryLifetime)
	h.runner, h.upAt = nil, w.now.Add(w.config.down)
}

func (w *crashWorld) end(e *worldEndpoint, ended worldRun, kind fleet.CompletionKind) {
	e.running = slices.DeleteFunc(e.running, func(r worldRun) bool { return r == ended })
	e.count++
	e.ended = append(e.ended, fleet.Completion{Number: e.count, Task: ended.task, Run: ended.run, Kind: kind})
}

// list delivers the platform's lists of endpoints and hosts.
func (w *crashWorld) list() {
	for _, h := range w.hosts {
		if h.runner != nil && !h.runner.listed {
			h.runner.listed = true
			row := endpointRow(h.runner.id)
			row.Host, row.StartedAt, row.Labels = string(h.id), h.runner.startedAt, []string{"a", h.rack}
			w.leader.UpdateEndpoint(row, w.now)
		}
		if h.former != nil && w.now.After(h.formerUntil) {
			w.leader.RemoveEndpoint(h.former.id, w.now)
			h.former = nil
		}
	}
	if w.now.Before(w.listOutUntil) || w.now.Sub(w.listedAt) < worldListInterval {
		return
	}
	w.listedAt = w.now
	var rows []fleet.Host
	for _, h := range w.hosts {
		rows = append(rows, w.shownRow(h))
	}
	w.leader.UpdateHosts(rows, w.now, w.now)
}

// currentRow returns a host's row as it is.
func (w *crashWorld) currentRow(h *worldHost) fleet.Host {
	row := newHost(poolName, "")
	row.ID, row.State, row.Endpoint, row.Labels = h.id, fleet.HostDown, "", []string{"a", h.rack}
	if h.runner != nil || w.config.staysUp {
		row.State = fleet.HostUp
	}
	if h.runner != nil {
		row.Endpoint = h.runner.id
	}
	return row
}

// shownRow returns a host's row as the list shows it.
func (w *crashWorld) shownRow(h *worldHost) fleet.Host {
	if w.config.listLag == 0 {
		return w.currentRow(h)
	}
	if w.random.IntN(4) == 0 {
		h.lag = time.Duration(w.random.Int64N(int64(w.config.listLag)))
	}
	shown := h.rows[0].row
	for _, dated := range h.rows {
		if !dated.since.After(w.now.Add(-h.lag)) {
			shown = dated.row
		}
	}
	return shown
}

// recordRow keeps a host's row if it has changed.
func (w *crashWorld) recordRow(h *worldHost) {
	current := w.currentRow(h)
	if last := len(h.rows) - 1; last < 0 || h.rows[last].row.State != current.State || h.rows[last].row.Endpoint != current.Endpoint {
		h.rows = append(h.rows, datedRow{since: w.now, row: current})
	}
}

// find returns the endpoint with an ID, or nil if it is down or cut off.
func (w *crashWorld) find(id fleet.EndpointID) *worldEndpoint {
	for _, h := range w.hosts {
		if h.runner != nil && h.runner.id == id && !w.now.Before(h.cutUntil) {
			return h.runner
		}
	}
	return nil
}

func (w *crashWorld) renew(id fleet.EndpointID) {
	renewal, isDue := w.leader.NextRenewal(id, w.now)
	if !isDue {
		return
	}
	e := w.find(id)
	if e == nil {
		w.leader.RenewalFailed(id, fleet.Reply{Outcome: w.failure(id), SentAt: w.now}, w.now)
		return
	}
	e.lease = max(e.lease, renewal.Lease)
	e.ended = slices.DeleteFunc(e.ended, func(c fleet.Completion) bool { return c.Number <= renewal.AckedUpTo })
	report := fleet.Report{Clock: w.now.Sub(e.startedAt), StartedAt: e.startedAt, Completions: slices.Clone(e.ended)}
	for _, r := range e.running {
		report.Running = append(report.Running, fleet.RunningTask{Task: r.task, Run: r.run, SpeedPercent: 100})
	}
	w.leader.HandleReport(id, renewal, w.now, report, w.now)
}

// failure returns how a renewal fails: a process that exits hangs up on the renewal that waits,
// and refuses later ones; a host that is lost, or cut off, says nothing.
func (w *crashWorld) failure(id fleet.EndpointID) fleet.OrderOutcome {
	for _, h := range w.hosts {
		if h.former == nil || h.former.id != id || w.config.isDark || w.now.Before(h.cutUntil) {
			continue
		}
		if !h.former.hasHungUp {
			h.former.hasHungUp = true
			return fleet.OrderHungUp
		}
		return fleet.OrderRefused
	}
	return fleet.OrderUnknown
}

func (w *crashWorld) start(start fleet.Start) {
	e := w.find(start.Endpoint)
	if e == nil {
		w.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderNotSent}, w.now)
		return
	}
	w.starts[start.Task]++
	if w.crashes[start.Task] >= 3 {
		w.startsAfter[start.Task]++
	}
	for _, h := range w.hosts {
		if h.runner == nil {
			continue
		}
		for _, r := range h.runner.running {
			if r.task == start.Task && !w.jobs[r.task.Job].Submission.Steps[r.task.Step].Speculative {
				w.t.Errorf("task %v: started on %s while it runs on %s", r.task, e.id, h.runner.id)
			}
		}
	}
	e.lease = max(e.lease, start.Lease)
	e.running = append(e.running, worldRun{task: start.Task, run: start.Run, startedAt: w.now})
	if _, isDeadly := w.config.deadly(start.Task); isDeadly && w.config.isUnanswered {
		for _, h := range w.hosts {
			if h.runner == e {
				w.crash(h)
			}
		}
		w.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderUnknown}, w.now)
		return
	}
	if w.random.Float64() < w.config.lostAnswers {
		w.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderUnknown}, w.now)
		return
	}
	w.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderAccepted, Clock: w.now.Sub(e.startedAt)}, w.now)
}

func (w *crashWorld) stop(stop fleet.Stop) {
	e := w.find(stop.Endpoint)
	if e == nil {
		w.leader.HandleStopReply(stop, fleet.Reply{Outcome: fleet.OrderUnknown}, w.now)
		return
	}
	for _, r := range slices.Clone(e.running) {
		if r.task == stop.Task && r.run == stop.Run {
			w.end(e, r, fleet.CompletionStopped)
		}
	}
	w.leader.HandleStopReply(stop, fleet.Reply{Outcome: fleet.OrderAccepted}, w.now)
}

// write writes the batches that are due.
func (w *crashWorld) write() {
	for {
		batch, ok := w.leader.NextBatch()
		if !ok {
			return
		}
		for id, row := range batch.Rows {
			progress := job.NewProgress()
			if err := progress.UnmarshalJSON(row); err != nil {
				w.t.Fatal(err)
			}
			w.jobs[id].Progress = progress
		}
		w.leader.MarkBatchWritten(batch, w.now)
	}
}

// wantBudget checks that no task has been started three times after three endpoints had
// crashed under it.
func (w *crashWorld) wantBudget() {
	w.t.Helper()
	for task, got := range w.startsAfter {
		if _, isDeadly := w.config.deadly(task); isDeadly && got >= 3 {
			w.t.Errorf("starts of %v after three endpoints had crashed under it: got %d of %d, want at most 2", task, got, w.starts[task])
			w.t.Log(strings.Join(w.journal.lines[task], "\n"))
		}
	}
}

// wantStates checks the jobs' states: those with a deadly task have failed, the others
// are complete.
func (w *crashWorld) wantStates(isDeadly func(id job.ID) bool) {
	w.t.Helper()
	for _, id := range w.order {
		want := job.Complete
		switch {
		case isDeadly(id):
			want = job.Failed
		case w.jobs[id].Submission.Persistent():
			want = job.Running
		}
		if got, _ := w.leader.StateOf(id); got != want {
			w.t.Errorf("state of job %s: got %s, want %s (its runs were lost %d times)", id, got, want, w.lost[id])
			for task, lines := range w.journal.lines {
				if task.Job == id {
					w.t.Log(strings.Join(lines, "\n"))
				}
			}
		}
	}
}

// slowJobs counts the jobs without persistent tasks that took longer than a limit.
func (w *crashWorld) slowJobs(limit time.Duration) int {
	slow := 0
	for _, id := range w.order {
		submission := w.jobs[id].Submission
		if !submission.Persistent() && w.doneAt[id].Sub(submission.Accepted) > limit {
			slow++
		}
	}
	return slow
}
