package fleet_test

import (
	"encoding/base64"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// Bounds of the platform's store and of its endpoints' reports.
const (
	storeRowBytes   = 65536
	storeTxnBytes   = 1_000_000
	storeTxnEntries = 100
	reportedEnds    = 500
	// leaderEntries are those that the leader's process adds to a batch, entryOverheadBytes what
	// an entry takes beside its value.
	leaderEntries      = 4
	entryOverheadBytes = 150
	storeWriteDelay    = 30 * time.Millisecond
	storeWorldTick     = 10 * time.Millisecond
	// formerLeaderTime is how long a former leader acts on.
	formerLeaderTime = 1400 * time.Millisecond
	// storeWorldMaxLease is the longest lease that an endpoint grants.
	storeWorldMaxLease = 10 * time.Second
)

// storeWorld is a fleet in virtual time whose store refuses what the platform's page refuses.
type storeWorld struct {
	t      *testing.T
	config storeWorldConfig
	leader *fleet.Leader
	token  uint64
	// former is the former leader until it learns that it is superseded, or nil.
	former      *fleet.Leader
	formerUntil time.Time
	now         time.Time
	started     time.Time
	endpoints   map[fleet.EndpointID]*storeWorldEndpoint
	jobs        map[job.ID]*fleet.StoredJob
	writtenAt   time.Time
	// starts and done count the starts and the successful ends of each task.
	starts, done map[job.Task]int
	// largestRow and largestTxn are the sizes of what was written, refusals what was refused.
	largestRow, largestTxn int
	refusals               []string
	// violations are starts beyond a limit. mostInUse is the most that each account had running.
	violations []string
	// repeats are starts of tasks that are done.
	repeats   []string
	mostInUse map[string]int64
	// unheard are the jobs that the leader learns of by the feed alone.
	unheard map[job.ID]bool
	// acked are the tasks whose successful end was acknowledged, restarted the ends after which, before
	// they were acknowledged, their task was started again.
	acked     map[job.Task]bool
	restarted map[worldEnd]bool
	// isLate draws whether an order is left unanswered, and for how long; nil means that none is.
	isLate func() (time.Duration, bool)
	// startDelay is how late all starts are carried out, without an answer, or 0.
	startDelay time.Duration
	// late are the orders that are left unanswered until they are carried out.
	late []lateOrder
	// journal is passed to the leaders.
	journal fleet.Journal
}

type storeWorldConfig struct {
	endpoints int
	capacity  policy.Resources
	duration  time.Duration
	// durationOf returns how long a task works; nil means duration.
	durationOf func(task job.Task) time.Duration
	// failures returns how many runs of a task fail before one succeeds.
	failures    func(task job.Task) int
	maxAttempts int
	policy      policy.Config
}

type storeWorldEndpoint struct {
	running map[job.Task]storeWorldRun
	// ran holds the highest run of each task that was stopped or has ended.
	ran   map[job.Task]int64
	ended []fleet.Completion
	// endedAt is when each of them ended, and lapsedAt when the endpoint last held no lease.
	endedAt  map[int64]time.Time
	lapsedAt time.Time
	count    int64
	// isCut is true while the leader does not reach the endpoint.
	isCut bool
	token uint64
	// leaseUntil is on the world's clock.
	leaseUntil time.Time
	// born is when its life began, and startedAt what it says of that.
	born, startedAt time.Time
	// darkUntil is until when it is down, waiting what is sent to it meanwhile, and isRenewed true while
	// a renewal is.
	darkUntil time.Time
	waiting   []func()
	isRenewed bool
	// listAt is when its entry shows its life, or zero once it does, and listedAs the life that it shows.
	listAt, listedAs time.Time
	// isSilent is true while its entry is not renewed, since silentSince, isExpired once that has expired.
	isSilent, isExpired bool
	silentSince         time.Time
}

type storeWorldRun struct {
	run    int64
	endsAt time.Time
	// stopped is true once the run is to end as stopped.
	stopped bool
}

func newStoreWorld(t *testing.T, config storeWorldConfig) *storeWorld {
	t.Helper()
	now := time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)
	if config.capacity == (policy.Resources{}) {
		config.capacity = endpointSize
	}
	if config.failures == nil {
		config.failures = func(job.Task) int { return 0 }
	}
	if config.policy.Queues == nil {
		config.policy = defaultPolicy()
		config.policy.Pools = config.policy.Pools[:1]
	}
	if config.maxAttempts > 0 {
		config.policy.Queues[0].MaxAttempts = config.maxAttempts
	}
	w := &storeWorld{
		t: t, config: config, now: now, started: now, endpoints: map[fleet.EndpointID]*storeWorldEndpoint{},
		mostInUse: map[string]int64{}, unheard: map[job.ID]bool{}, acked: map[job.Task]bool{}, restarted: map[worldEnd]bool{},
		jobs: map[job.ID]*fleet.StoredJob{}, starts: map[job.Task]int{}, done: map[job.Task]int{},
	}
	for n := range config.endpoints {
		w.endpoints[fleet.EndpointID(fmt.Sprintf("i-%02d", n))] = &storeWorldEndpoint{running: map[job.Task]storeWorldRun{}, ran: map[job.Task]int64{}, endedAt: map[int64]time.Time{}, born: now.Add(-time.Hour), startedAt: longAgo, listedAs: longAgo}
	}
	w.replaceLeader()
	return w
}

// ids returns the endpoints in order.
func (w *storeWorld) ids() []fleet.EndpointID {
	return slices.Sorted(maps.Keys(w.endpoints))
}

// replaceLeader lets a new leader take over with what the store holds.
func (w *storeWorld) replaceLeader() {
	w.token++
	w.former, w.formerUntil = w.leader, w.now.Add(formerLeaderTime)
	w.leader = fleet.New(fleet.Config{Token: w.token, Now: w.now, Journal: w.journal, Bounds: fleet.Bounds{
		MaxLease: storeWorldMaxLease, StatusRetention: 120 * time.Second, Stop: 200 * time.Millisecond, HostChangeExclusion: 3 * time.Second,
	}})
	w.leader.SetPolicy(policy.New(w.config.policy))
	var stored []fleet.StoredJob
	for id, entry := range w.jobs {
		if !w.unheard[id] {
			stored = append(stored, *entry)
		}
	}
	w.leader.Load(stored, w.now, w.now)
	var hosts []fleet.Host
	for _, id := range w.ids() {
		if !w.endpoints[id].isExpired {
			w.leader.UpdateEndpoint(w.rowOf(id), w.now)
		}
		host := newHost(poolName, id)
		host.Capacity = w.config.capacity
		hosts = append(hosts, host)
	}
	w.leader.UpdateHosts(hosts, w.now, w.now)
}

// submit stores a job and hands it to the leader.
func (w *storeWorld) submit(submission *job.Submission) {
	submission.Accepted = w.now.Round(0)
	w.jobs[submission.ID] = &fleet.StoredJob{Submission: submission}
	if w.leader != nil {
		w.leader.AddJob(submission, w.now, w.now)
	}
}

// run lets time pass until a condition holds, for at most limit.
func (w *storeWorld) run(limit time.Duration, until func() bool) {
	for end := w.now.Add(limit); w.now.Before(end) && !until(); {
		w.tick()
	}
}

// pass lets time pass.
func (w *storeWorld) pass(d time.Duration) {
	w.run(d, func() bool { return false })
}

// tick lets one tick pass.
func (w *storeWorld) tick() {
	w.now = w.now.Add(storeWorldTick)
	w.restartDue()
	w.carryOutLate()
	if w.leader == nil {
		for _, id := range w.ids() {
			w.endpoints[id].endRuns(w, w.now)
		}
		return
	}
	w.leader.ConfirmLeadership(w.now)
	w.leader.ConfirmJobs(w.now)
	w.leader.ConfirmEndpoints(w.now)
	for _, id := range w.ids() {
		w.endpoints[id].endRuns(w, w.now)
		w.renew(id, w.leader, w.token)
	}
	w.write()
	w.carryOut(w.leader, w.token)
	if w.former != nil && w.now.Before(w.formerUntil) {
		w.carryOut(w.former, w.token-1)
		for _, id := range w.ids() {
			w.renew(id, w.former, w.token-1)
		}
	}
}

// carryOut lets a leader decide, and the endpoints carry out its orders.
func (w *storeWorld) carryOut(leader *fleet.Leader, token uint64) {
	orders := leader.Step(w.now, w.now)
	for _, start := range orders.Starts {
		w.accept(start, leader, token)
	}
	for _, stop := range orders.Stops {
		w.stop(stop, leader, token)
	}
	for _, id := range orders.Lookups {
		stored := w.jobs[id]
		leader.HandleLookup(id, stored, w.now, w.now)
	}
}

// isReachable reports whether an endpoint takes orders with a token, which it remembers.
func (e *storeWorldEndpoint) isReachable(token uint64) bool {
	return !e.isCut && e.accepts(token)
}

// accepts reports whether an endpoint carries out orders with a token, which it remembers.
func (e *storeWorldEndpoint) accepts(token uint64) bool {
	if token < e.token {
		return false
	}
	e.token = token
	return true
}

// stop lets an endpoint stop a run.
func (w *storeWorld) stop(stop fleet.Stop, leader *fleet.Leader, token uint64) {
	e := w.endpoints[stop.Endpoint]
	if e.holds(func() { w.stop(stop, leader, token) }) {
		return
	}
	if !e.isReachable(token) {
		leader.HandleStopReply(stop, fleet.Reply{Outcome: fleet.OrderUnknown, SentAt: w.now}, w.now)
		return
	}
	e.ran[stop.Task] = max(e.ran[stop.Task], stop.Run)
	if current, ok := e.running[stop.Task]; ok && current.run == stop.Run {
		current.stopped = true
		e.running[stop.Task] = current
	}
	leader.HandleStopReply(stop, fleet.Reply{Outcome: fleet.OrderAccepted, SentAt: w.now}, w.now)
}

// endRuns ends the runs that are due or whose lease has expired.
func (e *storeWorldEndpoint) endRuns(w *storeWorld, now time.Time) {
	if now.After(e.leaseUntil) {
		e.lapsedAt = now
	}
	for task, current := range e.running {
		kind := fleet.CompletionDone
		switch {
		case now.After(e.leaseUntil):
			kind = fleet.CompletionLeaseExpired
		case current.stopped:
			kind = fleet.CompletionStopped
		case now.Before(current.endsAt) || w.jobs[task.Job].Submission.Steps[task.Step].Persistent:
			continue
		case w.starts[task] <= w.config.failures(task):
			kind = fleet.CompletionFailed
		default:
			w.done[task]++
		}
		delete(e.running, task)
		e.ran[task] = max(e.ran[task], current.run)
		e.count++
		e.endedAt[e.count] = now
		e.ended = append(e.ended, fleet.Completion{Number: e.count, Task: task, Run: current.run, Kind: kind})
	}
}

// renew delivers an endpoint's report if a lease renewal is due.
func (w *storeWorld) renew(id fleet.EndpointID, leader *fleet.Leader, token uint64) {
	e := w.endpoints[id]
	if e.isRenewed && leader == w.leader {
		return
	}
	renewal, isDue := leader.NextRenewal(id, w.now)
	if !isDue {
		return
	}
	sentAt := w.now
	if e.holds(func() { w.deliver(id, renewal, sentAt, leader, token) }) {
		e.isRenewed = true
		return
	}
	if w.delays(id, func() { w.executeRenewal(id, renewal, token) }) {
		leader.RenewalFailed(id, fleet.Reply{Outcome: fleet.OrderUnknown, SentAt: w.now}, w.now)
		return
	}
	w.deliver(id, renewal, sentAt, leader, token)
}

// deliver delivers a renewal and its answer.
func (w *storeWorld) deliver(id fleet.EndpointID, renewal fleet.LeaseRenewal, sentAt time.Time, leader *fleet.Leader, token uint64) {
	e := w.endpoints[id]
	e.isRenewed = false
	if e.isCut || !w.executeRenewal(id, renewal, token) {
		leader.RenewalFailed(id, fleet.Reply{Outcome: fleet.OrderUnknown, SentAt: sentAt}, w.now)
		return
	}
	report := fleet.Report{
		Clock: w.now.Sub(e.born), StartedAt: e.startedAt, Completions: slices.Clone(e.ended[:min(len(e.ended), reportedEnds)]),
	}
	for task, current := range e.running {
		report.Running = append(report.Running, fleet.RunningTask{Task: task, Run: current.run, SpeedPercent: 100})
	}
	leader.HandleReport(id, renewal, sentAt, report, w.now)
}

// executeRenewal lets an endpoint carry out a renewal.
func (w *storeWorld) executeRenewal(id fleet.EndpointID, renewal fleet.LeaseRenewal, token uint64) bool {
	e := w.endpoints[id]
	if !e.accepts(token) {
		return false
	}
	for len(e.ended) > 0 && e.ended[0].Number <= renewal.AckedUpTo {
		w.noteAcked(e, e.ended[0])
		e.ended = e.ended[1:]
	}
	e.extend(w, renewal.Lease)
	return true
}

// extend extends an endpoint's lease, which is on the clock of its life, to the longest one at most.
func (e *storeWorldEndpoint) extend(w *storeWorld, lease time.Duration) {
	until := e.born.Add(lease)
	if longest := w.now.Add(storeWorldMaxLease); until.After(longest) {
		until = longest
	}
	if lease > 0 && until.After(e.leaseUntil) {
		e.leaseUntil = until
	}
}

// accept lets an endpoint carry out a start.
func (w *storeWorld) accept(start fleet.Start, leader *fleet.Leader, token uint64) {
	e := w.endpoints[start.Endpoint]
	if !leader.ConfirmStart(start, w.now) || e.holds(func() { w.answerStart(start, leader, token) }) {
		return
	}
	if e.isCut {
		leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderNotSent, SentAt: w.now}, w.now)
		return
	}
	if w.startDelay > 0 {
		w.late = append(w.late, lateOrder{w.now.Add(w.startDelay), func() { w.executeStart(start, token) }, start.Endpoint})
		leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderUnknown, SentAt: w.now}, w.now)
		return
	}
	if w.delays(start.Endpoint, func() { w.executeStart(start, token) }) {
		leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderUnknown, SentAt: w.now}, w.now)
		return
	}
	w.answerStart(start, leader, token)
}

// answerStart lets an endpoint carry out a start, and answers it.
func (w *storeWorld) answerStart(start fleet.Start, leader *fleet.Leader, token uint64) {
	e := w.endpoints[start.Endpoint]
	outcome := w.executeStart(start, token)
	if e.isCut {
		outcome = fleet.OrderUnknown
	}
	leader.HandleStartReply(start, fleet.Reply{Outcome: outcome, SentAt: w.now, Clock: w.now.Sub(e.born)}, w.now)
}

// executeStart lets an endpoint carry out a start.
func (w *storeWorld) executeStart(start fleet.Start, token uint64) fleet.OrderOutcome {
	e := w.endpoints[start.Endpoint]
	if !e.accepts(token) {
		return fleet.OrderFenced
	}
	e.extend(w, start.Lease)
	if current, ok := e.running[start.Task]; ok && current.run == start.Run {
		return fleet.OrderAccepted
	}
	if start.Run <= e.ran[start.Task] {
		return fleet.OrderStaleRun
	}
	if !w.now.Before(e.leaseUntil) {
		return fleet.OrderLeaseExpired
	}
	w.starts[start.Task]++
	duration := w.config.duration
	if w.config.durationOf != nil {
		duration = w.config.durationOf(start.Task)
	}
	e.running[start.Task] = storeWorldRun{run: start.Run, endsAt: w.now.Add(duration)}
	w.checkLimits(start)
	return fleet.OrderAccepted
}

// checkLimits checks what all endpoints run, reached or not, after a start: accounts within their
// caps, endpoints within their capacity, and each task run once.
func (w *storeWorld) checkLimits(start fleet.Start) {
	account := w.jobs[start.Task.Job].Submission.Account
	isSpeculative := w.jobs[start.Task.Job].Submission.Steps[start.Task.Step].Speculative
	w.checkEnds(start.Task)
	var inUse int64
	for id, e := range w.endpoints {
		var reserved policy.Resources
		beside := 0
		for task := range e.running {
			submission := w.jobs[task.Job].Submission
			step := submission.Steps[task.Step]
			reserved = reserved.Plus(step.Reserved())
			if submission.Account == account {
				inUse += step.Resources.CPU
			}
			if task.StepKey() == start.Task.StepKey() && task.Job == start.Task.Job {
				beside++
			}
			if task == start.Task && id != start.Endpoint && !isSpeculative {
				w.violate("task %v runs on %s and is started on %s", task, id, start.Endpoint)
			}
		}
		step := w.jobs[start.Task.Job].Submission.Steps[start.Task.Step]
		if id != start.Endpoint {
			continue
		}
		if !reserved.FitsIn(w.config.capacity) {
			w.violate("start of %v on %s brings it to %v", start.Task, id, reserved)
		}
		if step.MaxPerEndpoint > 0 && beside > step.MaxPerEndpoint {
			w.violate("start of %v on %s is beside %d others of its step", start.Task, id, beside-1)
		}
	}
	w.mostInUse[account] = max(w.mostInUse[account], inUse)
	if limit := w.capOf(account); limit > 0 && inUse > limit {
		w.violate("start of %v on %s brings account %s to %d, its cap is %d", start.Task, start.Endpoint, account, inUse, limit)
	}
}

// capOf returns a client account's cap of CPU, or 0.
func (w *storeWorld) capOf(account string) int64 {
	for _, known := range w.config.policy.Accounts {
		if known.Name == account {
			return known.Cap.CPU
		}
	}
	return 0
}

func (w *storeWorld) violate(format string, args ...any) {
	w.violations = append(w.violations, w.now.Sub(w.started).String()+": "+fmt.Sprintf(format, args...))
}

// write writes the batches that are due, one after the other, as the leader's process does: one that
// the store refuses is tried again before any other.
func (w *storeWorld) write() {
	if w.now.Sub(w.writtenAt) < storeWriteDelay {
		return
	}
	w.writtenAt = w.now
	for w.leader != nil {
		batch, ok := w.leader.NextBatch()
		if !ok {
			return
		}
		size := entryOverheadBytes * leaderEntries
		for id, row := range batch.Rows {
			w.largestRow = max(w.largestRow, len(row))
			size += base64.StdEncoding.EncodedLen(len(row)) + entryOverheadBytes
			if len(row) > storeRowBytes {
				w.refuse("row of job %s has %d bytes", id, len(row))
			}
		}
		w.largestTxn = max(w.largestTxn, size)
		if size > storeTxnBytes || len(batch.Rows)+leaderEntries > storeTxnEntries {
			w.refuse("transaction of %d rows has %d bytes", len(batch.Rows), size)
		}
		if len(w.refusals) > 0 {
			return
		}
		for id, row := range batch.Rows {
			progress, err := job.DecodeProgress(w.jobs[id].Submission, row)
			if err != nil {
				w.t.Fatal(err)
			}
			w.jobs[id].Progress = progress
		}
		w.leader.MarkBatchWritten(batch, w.now)
	}
}

func (w *storeWorld) refuse(format string, args ...any) {
	w.refusals = append(w.refusals, w.now.Sub(w.started).String()+": "+fmt.Sprintf(format, args...))
}

// state returns a job's state as callers see it.
func (w *storeWorld) state(id job.ID) job.State {
	state, _ := w.leader.StateOf(id)
	return state
}

// areComplete reports whether all jobs are complete.
func (w *storeWorld) areComplete() bool {
	for id := range w.jobs {
		if w.state(id) != job.Complete {
			return false
		}
	}
	return true
}
