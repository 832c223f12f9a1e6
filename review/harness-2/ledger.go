//go:build review

package harness

import (
	"bufio"
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// Step is a step of a job.
type Step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu"`
	Memory      int    `json:"mem_mb"`
	GPU         int    `json:"gpu,omitempty"`
	EstimateMS  int    `json:"estimate_ms,omitempty"`
	After       []int  `json:"after,omitempty"`
	Checkpoint  bool   `json:"checkpoint,omitempty"`
	Gang        bool   `json:"gang,omitempty"`
	SameRack    bool   `json:"same_rack,omitempty"`
	Requires    string `json:"requires,omitempty"`
	Affinity    string `json:"affinity,omitempty"`
	MaxPer      int    `json:"max_per_server,omitempty"`
	Speculative bool   `json:"speculative,omitempty"`
	Persistent  bool   `json:"persistent,omitempty"`
	Fills       bool   `json:"fills,omitempty"`
	TargetMS    int64  `json:"target_ms,omitempty"`
	MayMiss     int    `json:"may_miss,omitempty"`
	// Takes is how long a task works.
	Takes time.Duration `json:"-"`
	// Fails is how many runs of each task fail.
	Fails int `json:"-"`
}

func (s Step) reserved() Amount {
	if s.Fills {
		return Amount{0, s.Memory, s.GPU}
	}
	return Amount{s.CPU, s.Memory, s.GPU}
}

// Job is a job of a client.
type Job struct {
	ID         string
	Route      string
	Tenant     int
	Spec       string `json:"spec"`
	Steps      []Step `json:"steps"`
	Times      int    `json:"times,omitempty"`
	StartAtMS  int64  `json:"start_at_ms,omitempty"`
	IntervalMS int64  `json:"interval_ms,omitempty"`

	sentAt, acceptedAt, cancelledAt, cancelSentAt time.Time
	rejected, sent                                int
	unclear                                       int
	lastState                                     string
	shownFailed                                   bool
}

// taskState is what is known of a task.
type taskState struct {
	running     map[*run]bool
	doneAt      time.Time
	doneNoted   time.Time
	failed      int
	lastEndedAt time.Time
	runs        int
	idleSince   time.Time
	// isEndedByOrder is true from an order that ends a run until the task is at work again.
	isEndedByOrder bool
	isIdleNoted    bool
}

// ledger notes what clients and runners see, and checks the rules. The platform's lock guards it.
type ledger struct {
	platform   *Platform
	mu         sync.Mutex
	file       *os.File
	out        *bufio.Writer
	begunAt    time.Time
	jobs       map[string]*Job
	tasks      map[string]*taskState
	Violations []string
	counts     map[string]int
	// disruptedAt is when something was last disrupted, and watchedAt when watch last checked.
	disruptedAt, watchedAt time.Time
}

func newLedger(p *Platform, path string) (*ledger, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &ledger{platform: p, file: file, out: bufio.NewWriter(file), begunAt: time.Now(), jobs: map[string]*Job{}, tasks: map[string]*taskState{}, counts: map[string]int{}}, nil
}

func (l *ledger) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.out.Flush()
	_ = l.file.Close()
}

// note writes a line to the record.
func (l *ledger) note(now time.Time, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.out, "%8.3f %s\n", now.Sub(l.begunAt).Seconds(), fmt.Sprintf(format, args...))
}

// violate notes that a rule is broken.
func (l *ledger) violate(now time.Time, rule, format string, args ...any) {
	text := rule + " " + fmt.Sprintf(format, args...)
	l.Violations = append(l.Violations, text)
	l.note(now, "BROKEN %s", text)
}

func (l *ledger) task(name string) *taskState {
	if l.tasks[name] == nil {
		l.tasks[name] = &taskState{running: map[*run]bool{}}
	}
	return l.tasks[name]
}

func (l *ledger) stepOf(task Task) (Step, bool) {
	job := l.jobs[task.Job]
	if job == nil || task.Step >= len(job.Steps) {
		return Step{Count: 1, Takes: time.Second}, false
	}
	return job.Steps[task.Step], true
}

func (l *ledger) routeOf(id string) (Route, bool) {
	job := l.jobs[id]
	if job == nil {
		return Route{}, false
	}
	for _, route := range l.platform.config.Routes {
		if route.Name == job.Route {
			return route, true
		}
	}
	return Route{}, false
}

func (l *ledger) shouldFail(task Task) bool {
	step, ok := l.stepOf(task)
	if !ok || step.Fails == 0 {
		return false
	}
	return l.task(l.name(task)).failed < step.Fails
}

func (l *ledger) name(task Task) string {
	return fmt.Sprintf("%s.%d.%d.%d", task.Job, task.Occurrence, task.Step, task.Index)
}

// started notes a start and checks the rules on it.
func (l *ledger) started(now time.Time, r *run, saved string, known bool) {
	l.counts["starts"]++
	l.note(now, "start %s run %d on %s (%s) saved %q", r.name, r.number, r.runner.id, r.runner.Machine, saved)
	state := l.task(r.name)
	job := l.jobs[r.task.Job]
	if !known || r.task.Index >= r.step.Count || r.task.Occurrence >= max(1, job.Times) || r.task.Index < 0 {
		l.violate(now, "UNASKED", "%s was not sent", r.name)
		return
	}
	if r.spec != job.Spec {
		l.violate(now, "UNASKED", "%s has another spec", r.name)
	}
	if !r.step.Speculative {
		for other := range state.running {
			l.violate(now, "TWICE", "%s run %d starts on %s while run %d is on %s", r.name, r.number, r.runner.id, other.number, other.runner.id)
		}
		if !state.doneNoted.IsZero() {
			l.violate(now, "TWICE", "%s run %d starts %s after its end was taken note of", r.name, r.number, now.Sub(state.doneNoted))
		}
	}
	for _, before := range r.step.After {
		for index := range job.Steps[before].Count {
			if l.task(fmt.Sprintf("%s.%d.%d.%d", job.ID, r.task.Occurrence, before, index)).doneAt.IsZero() {
				if !job.Steps[before].Gang || !l.gangDone(job, r.task.Occurrence, before) {
					l.violate(now, "ORDER", "%s starts before step %d is done", r.name, before)
				}
			}
		}
	}
	if job.Times > 0 {
		due := job.StartAtMS + int64(r.task.Occurrence)*job.IntervalMS
		if early := due - now.UnixMilli(); early > 250 {
			l.violate(now, "ORDER", "%s starts %d ms early", r.name, early)
		}
	}
	if r.step.Requires != "" {
		has := false
		for _, label := range r.runner.labels {
			has = has || label == r.step.Requires
		}
		if !has {
			l.violate(now, "ROUTE", "%s starts on %s without the label", r.name, r.runner.id)
		}
	}
	if r.step.MaxPer > 0 {
		beside := 0
		for _, other := range r.runner.running {
			if other.task.Job == r.task.Job && other.task.Step == r.task.Step && other.task.Occurrence == r.task.Occurrence {
				beside++
			}
		}
		if beside >= r.step.MaxPer {
			l.violate(now, "ROUTE", "%s starts on %s beside %d of its step", r.name, r.runner.id, beside)
		}
	}
	if !l.platform.config.Guarded && !r.runner.used().plus(r.step.reserved()).fits(r.runner.capacity) {
		l.violate(now, "LIMIT", "%s starts on %s over its capacity", r.name, r.runner.id)
	}
	if state.failed >= l.maxAttempts(job) && !r.step.Persistent {
		l.violate(now, "BUDGET", "%s starts after %d failed runs", r.name, state.failed)
	}
	if !job.cancelledAt.IsZero() && now.Sub(job.cancelledAt) > 3*time.Second {
		l.violate(now, "UNASKED", "%s starts %s after its cancelling", r.name, now.Sub(job.cancelledAt))
	}
	if job.sent > 0 && job.rejected == job.sent {
		l.violate(now, "REFUSED", "%s starts though all attempts were rejected", r.name)
	}
	l.checkQuota(now, r, job)
	state.runs++
	state.running[r] = true
}

// checkQuota checks what the job's tenant has running.
func (l *ledger) checkQuota(now time.Time, r *run, job *Job) {
	if job.Tenant >= len(l.platform.config.Tenants) {
		return
	}
	limit := l.platform.config.Tenants[job.Tenant].Cap
	if limit.CPU == 0 {
		return
	}
	sum := 0
	for _, runner := range l.platform.Runners {
		for _, other := range runner.running {
			if of := l.jobs[other.task.Job]; of != nil && of.Tenant == job.Tenant {
				sum += other.step.CPU
			}
		}
	}
	if float64(sum+r.step.CPU) > 1.1*float64(limit.CPU)+float64(r.step.CPU) {
		l.violate(now, "QUOTA", "%s brings its tenant to %d of %d", r.name, sum+r.step.CPU, limit.CPU)
	}
}

func (l *ledger) gangDone(job *Job, occurrence, step int) bool {
	for index := range job.Steps[step].Count {
		if !l.task(fmt.Sprintf("%s.%d.%d.%d", job.ID, occurrence, step, index)).doneAt.IsZero() {
			return true
		}
	}
	return false
}

func (l *ledger) maxAttempts(job *Job) int {
	if route, ok := l.routeOf(job.ID); ok {
		return route.MaxAttempts
	}
	return 1 << 30
}

// stopped notes that the system ends a run by an order, and checks what else of its step is away.
func (l *ledger) stopped(now time.Time, r *run) {
	job := l.jobs[r.task.Job]
	state := l.task(r.name)
	if job == nil || !r.step.Persistent || r.step.MayMiss == 0 || !job.cancelSentAt.IsZero() || r.runner.state != "ready" ||
		now.Sub(r.begunAt) < startupTime || len(state.running) > 1 {
		return
	}
	away := 0
	for index := range r.step.Count {
		other := l.task(fmt.Sprintf("%s.%d.%d.%d", job.ID, r.task.Occurrence, r.task.Step, index))
		if index != r.task.Index && !other.isAtWork(now) && (other.isEndedByOrder || now.Sub(other.lastEndedAt) > noticeTime) {
			away++
		}
	}
	state.isEndedByOrder = true
	if away >= r.step.MayMiss {
		l.violate(now, "AVAIL", "%s is ended by an order while %d others of its step are away, and %d may be", r.name, away, r.step.MayMiss)
	}
}

// noticeTime is after which time a task counts as away whatever the cause.
const noticeTime = 4500 * time.Millisecond

// isAtWork reports whether a run of the task is at work.
func (t *taskState) isAtWork(now time.Time) bool {
	for r := range t.running {
		if r.stopAt.IsZero() && now.Sub(r.begunAt) >= startupTime {
			t.isEndedByOrder = false
			return true
		}
	}
	return false
}

// ended notes an end.
func (l *ledger) ended(now time.Time, r *run, how string) {
	l.counts["ended "+how]++
	l.note(now, "end %s run %d on %s %s", r.name, r.number, r.runner.id, how)
	state := l.task(r.name)
	delete(state.running, r)
	state.lastEndedAt = now
	if how != "stopped" && now.Sub(r.begunAt) >= startupTime {
		state.isEndedByOrder = false
	}
	switch how {
	case "done":
		if state.doneAt.IsZero() {
			state.doneAt = now
		}
	case "failed":
		state.failed++
	case "alone":
		job := l.jobs[r.task.Job]
		if job != nil && job.cancelSentAt.IsZero() {
			l.counts["alone before a cancel"]++
		}
	}
}

// noted notes that an end was taken note of.
func (l *ledger) noted(now time.Time, end ended) {
	if end.how == "done" && !end.run.step.Persistent {
		state := l.task(end.run.name)
		if state.doneNoted.IsZero() {
			state.doneNoted = now
		}
	}
}

func (l *ledger) machineOrder(now time.Time, former, next machineOrder, machine string) {
	l.counts["machine orders"]++
	if former.holder != "" && next.holder != former.holder && next.token == former.token {
		l.violate(now, "ONE", "%s: two holders with token %d", machine, next.token)
	}
	if next.token < former.token {
		l.violate(now, "ONE", "%s: token %d of %s after %d of %s", machine, next.token, next.holder, former.token, former.holder)
	}
	if former.holder != "" && next.holder != former.holder && next.at.Sub(former.at) < 3*time.Second {
		l.note(now, "TURNS %s: %s after %s within %s", machine, next.holder, former.holder, next.at.Sub(former.at))
	}
}

const (
	// watchInterval is the time between two checks of what depends on time alone.
	watchInterval = 100 * time.Millisecond
	// A task that lasts has to run again idleAfter after its last run has ended, unless it lacks capacity or
	// there was a disruption in calmTime before; idleTime is how long the rule lets it wait then.
	idleAfter, calmTime, idleTime = 6 * time.Second, 4 * time.Second, 3 * time.Second
)

// disrupted notes that something is disrupted now, or has just ceased to be.
func (l *ledger) disrupted(now time.Time) { l.disruptedAt = now }

// watch checks whether tasks that last run.
func (l *ledger) watch(now time.Time) {
	if now.Sub(l.watchedAt) < watchInterval {
		return
	}
	l.watchedAt = now
	for _, runner := range l.platform.Runners {
		if !runner.isUp && runner.machine == "down" {
			l.disrupted(now)
		}
	}
	l.watchWaves(now)
	for _, job := range l.jobs {
		if job.acceptedAt.IsZero() || !job.cancelSentAt.IsZero() {
			continue
		}
		for number, step := range job.Steps {
			if !step.Persistent {
				continue
			}
			for index := range step.Count {
				l.watchTask(now, job, step, fmt.Sprintf("%s.0.%d.%d", job.ID, number, index))
			}
		}
	}
}

// watchWaves checks the waves that are said to be complete.
func (l *ledger) watchWaves(now time.Time) {
	for number, w := range l.platform.waves {
		value := string(l.platform.Store.Value("status", "", fmt.Sprintf("wave/%d", number)))
		if !strings.Contains(value, "complete") || len(w.begun) == len(w.machines) || w.cap < 0 {
			continue
		}
		w.cap = -1
		l.violate(now, "MIXED", "wave %d is said to be complete, and the upkeep of %d of %d machines has begun", number, len(w.begun), len(w.machines))
	}
}

// watchTask checks whether a task that lasts waits for too long.
func (l *ledger) watchTask(now time.Time, job *Job, step Step, name string) {
	state := l.task(name)
	if len(state.running) > 0 || state.lastEndedAt.IsZero() || now.Sub(state.lastEndedAt) < idleAfter ||
		now.Sub(l.disruptedAt) < calmTime || !l.hasCapacityTwice(job, step) {
		state.idleSince = time.Time{}
		return
	}
	if state.idleSince.IsZero() {
		state.idleSince = now
	}
	if now.Sub(state.idleSince) >= idleTime && !state.isIdleNoted {
		state.isIdleNoted = true
		l.violate(now, "LOST", "%s is to last and has not run for %s, with capacity for it and nothing disrupted for %s",
			name, now.Sub(state.lastEndedAt).Round(time.Millisecond), now.Sub(l.disruptedAt).Round(time.Millisecond))
	}
}

// hasCapacityTwice reports whether the runners of a job's service have room for a task twice over.
func (l *ledger) hasCapacityTwice(job *Job, step Step) bool {
	route, ok := l.routeOf(job.ID)
	if !ok {
		return false
	}
	places := 0
	for _, runner := range l.platform.Runners {
		if !runner.isUp || runner.state != "ready" || runner.service != route.Service {
			continue
		}
		free := runner.capacity.minus(runner.used())
		for step.reserved().fits(free) && places < 2 {
			free = free.minus(step.reserved())
			places++
		}
	}
	return places >= 2
}

// Summary returns the counts and the rules that are broken.
func (p *Platform) Summary() (lines, violations []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, count := range p.ledger.counts {
		lines = append(lines, fmt.Sprintf("%s: %d", name, count))
	}
	sort.Strings(lines)
	return lines, p.ledger.Violations
}

// Note writes a line to the record.
func (p *Platform) Note(format string, args ...any) { p.ledger.note(time.Now(), format, args...) }

// Violate notes that a rule is broken.
func (p *Platform) Violate(rule, format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ledger.violate(time.Now(), rule, format, args...)
}

// FailedRuns returns how many runs of a job's tasks have ended failed, and how many were started.
func (p *Platform) FailedRuns(id string) (failed, runs int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, state := range p.ledger.tasks {
		if ParseTask(name).Job == id {
			failed += state.failed
			runs += state.runs
		}
	}
	return failed, runs
}

// Unfinished returns the tasks of a job that have not ended done.
func (p *Platform) Unfinished(job *Job) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for occurrence := range max(1, job.Times) {
		for number, step := range job.Steps {
			isGangDone := step.Gang && p.ledger.gangDone(job, occurrence, number)
			for index := range step.Count {
				if !isGangDone && p.ledger.task(fmt.Sprintf("%s.%d.%d.%d", job.ID, occurrence, number, index)).doneAt.IsZero() {
					count++
				}
			}
		}
	}
	return count
}
