package fleet

import (
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/overload"
)

// jobState is the leader's state of a job.
type jobState struct {
	submission *job.Submission
	progress   *job.Progress
	// persistedState is the newest state that has been written and may be reported to callers.
	persistedState job.State
	cancelled      bool
	// inherited jobs were accepted before the leader took over.
	inherited bool
	// inheritedEnd is when an inherited job had ended, by the former leader's wall clock, or zero
	// if it had not, or if that is not known.
	inheritedEnd time.Time
	// beyondShare jobs exceeded their client account's share at submission: they rank
	// behind all others of their priority.
	beyondShare bool
	// hasBegun is true once an endpoint has confirmed the start of a task, by its answer, a report
	// or an end.
	hasBegun bool
	// isScheduled is true once the start of a task has been decided, whatever became of it.
	isScheduled bool
	// hostSeconds is the capacity that the job needed in all at its submission, size its class
	// within its queue, and value what it is worth to callers.
	hostSeconds, value float64
	size               overload.Class
	// isSized is true once hostSeconds, value and size are recorded.
	isSized bool
	// isCounted is true once it is counted whether the job started in time, and isDeferred once
	// the job has been deferred for others.
	isCounted, isDeferred bool
	// startedAfter is the time from submission to the first start that an endpoint confirmed, and
	// startLateness the lateness when that was decided.
	startedAfter  time.Duration
	startLateness lateness
	occurrences   openOccurrences
	// steps holds the steps that are ready and not completed.
	steps map[job.StepKey]*stepState
	// active lists, by task, the runs that are or may be on an endpoint.
	active map[job.Task][]*run
	// activeTasks counts the tasks in active, by step.
	activeTasks map[job.StepKey]int
	// lastRun is the highest known run number of each task.
	lastRun    map[job.Task]int64
	checkpoint map[job.Task]string
	// avoid lists, by task, the endpoints on which it failed or was overdue.
	avoid map[job.Task][]EndpointID
	// overdueCount counts, by task, how many of its runs were overdue.
	overdueCount map[job.Task]int
	// crashRecords holds, by task or by the first member of a gang, the crashes under it.
	crashRecords map[job.Task]*crashRecord
	// endedAt is when the final state was written.
	endedAt time.Time
	// dirty is true while the job's row is queued to be written.
	dirty      bool
	rowUse     rowUse
	rowRefusal rowRefusal
	// forecast is what was last expected of its duration.
	forecast forecast
}

// stepState is a step with pending or active tasks.
type stepState struct {
	key  job.StepKey
	step job.Step
	// pending lists the tasks that wait for an endpoint. It may be a part of the list that steps
	// share, and is changed by removePending or replaced.
	pending []int
	// notBefore delays tasks whose last start was rejected.
	notBefore time.Time
	openedAt  time.Time
	// took holds the durations of successful runs.
	took []time.Duration
	// tickets holds the advice service's tickets, which are used until ticketsExpireAt.
	tickets           map[EndpointID]string
	ticketsExpireAt   time.Time
	adviceRequested   bool
	adviceRequestedAt time.Time
	// waitLoggedAt is when the reason for the wait was last logged.
	waitLoggedAt time.Time
	// isDeferred is true while the step waits for others, as last decided.
	isDeferred bool
	// gangLimits bounds the members of the step's gang on endpoints on which it could not be started,
	// and gangPause is how long the last such bound holds.
	gangLimits map[EndpointID]gangLimit
	gangPause  time.Duration
}

func newJobState(submission *job.Submission) *jobState {
	return &jobState{
		submission: submission, progress: job.NewProgress(), persistedState: job.Queued,
		steps: map[job.StepKey]*stepState{}, active: map[job.Task][]*run{}, activeTasks: map[job.StepKey]int{}, lastRun: map[job.Task]int64{},
		occurrences: openOccurrences{states: map[int]*occurrenceState{}},
		checkpoint:  map[job.Task]string{}, avoid: map[job.Task][]EndpointID{}, overdueCount: map[job.Task]int{},
	}
}

// over reports whether no more tasks of the job may start.
func (j *jobState) over() bool {
	return j.cancelled || j.progress.State.Final()
}

// stepOf returns the step of a task, or false if the job has no such task.
func (j *jobState) stepOf(task job.Task) (job.Step, bool) {
	if task.Step >= len(j.submission.Steps) || task.Occurrence >= j.submission.Occurrences() {
		return job.Step{}, false
	}
	step := j.submission.Steps[task.Step]
	return step, task.Index < step.Count
}

// recordRun updates the highest known run number of a task that may start again.
func (j *jobState) recordRun(key runKey) {
	if j.progress.IsDone(key.task) {
		return
	}
	j.lastRun[key.task] = max(j.lastRun[key.task], key.run)
}

// dropPending removes a task from the pending ones.
func (j *jobState) dropPending(task job.Task) {
	if step := j.steps[task.StepKey()]; step != nil {
		step.removePending(task.Index)
	}
}

// StoredJob is a job as read from the store.
type StoredJob struct {
	Submission *job.Submission
	// Progress is nil if no task has ended.
	Progress  *job.Progress
	Cancelled bool
}

// Load adds the jobs that were accepted before the takeover.
func (l *Leader) Load(jobs []StoredJob, now, wall time.Time) {
	for _, stored := range jobs {
		l.add(stored, now, wall)
	}
	l.loaded = true
	l.log("jobs loaded", "jobs", len(jobs))
}

// add adds a job of which an earlier leader may have started tasks.
func (l *Leader) add(stored StoredJob, now, wall time.Time) {
	j := newJobState(stored.Submission)
	j.inherited = true
	if stored.Progress != nil {
		j.progress = stored.Progress
		j.persistedState = stored.Progress.State
		j.hasBegun = stored.Progress.HasBegun()
		j.isScheduled = j.hasBegun || !stored.Progress.IsEmpty()
	}
	j.loadCrashRecords(now)
	l.hasFormerStarts = l.hasFormerStarts || j.progress.StartCount() > 0
	l.jobs[stored.Submission.ID] = j
	if !j.over() {
		l.live[stored.Submission.ID] = j
	}
	if j.progress.State.Final() {
		j.endedAt, j.inheritedEnd = now, j.progress.Ended
		j.dropTexts()
	}
	l.unknownUse.tasks = nil
	if stored.Cancelled && !j.progress.State.Final() {
		l.cancel(j, now)
	}
	l.completeIfDone(j, now)
	l.open(j, now, wall)
	l.loadUnanswered(j, now)
}

// Knows reports whether the leader has a job, live or ended.
func (l *Leader) Knows(id job.ID) bool {
	return l.jobs[id] != nil
}

// AddJob adds a job that the store holds. Repeated calls are ignored.
func (l *Leader) AddJob(submission *job.Submission, now, wall time.Time) {
	if _, ok := l.jobs[submission.ID]; ok {
		return
	}
	j := newJobState(submission)
	// The former leader may not know yet that it is superseded, and may start it as well. The job
	// may have been accepted then and be late.
	formerUntil := l.config.Now.Add(formerLeaderGrace)
	mayBeStarted := now.Before(formerUntil) || submission.Accepted.Before(formerUntil.Round(0))
	j.inherited = mayBeStarted && l.config.Token > 1 && !l.allRunsKnown(now)
	if j.inherited {
		l.unknownUse.tasks = nil
	}
	l.jobs[submission.ID] = j
	l.live[submission.ID] = j
	delete(l.lookups, submission.ID)
	j.beyondShare = !l.withinShare(submission.Account, now)
	l.recordArrival(j, now)
	l.recordSize(j, l.meanHost)
	if _, ok := l.pendingCancels[submission.ID]; ok {
		delete(l.pendingCancels, submission.ID)
		l.cancel(j, now)
	}
	l.open(j, now, wall)
	l.log("job taken", "job", submission.ID, "queue", submission.Queue, "pool", l.poolOf(j), "tasks", taskCount(submission))
}

func taskCount(submission *job.Submission) int {
	tasks := 0
	for _, step := range submission.Steps {
		tasks += step.Count
	}
	return tasks
}

// CancelJob cancels a job; the store already holds the cancel. The job may be added later.
func (l *Leader) CancelJob(id job.ID, now time.Time) {
	j := l.jobs[id]
	if j == nil {
		l.pendingCancels[id] = now
		return
	}
	if !j.over() {
		l.cancel(j, now)
	}
}

// cancel ends a job at its caller's request.
func (l *Leader) cancel(j *jobState, now time.Time) {
	j.cancelled = true
	j.progress.State = job.Cancelled
	l.log("job cancelled", "job", j.submission.ID, "runs", len(j.active))
	l.endJob(j, "job is cancelled", now)
}

// endJob stops the remaining runs of a job whose state is final.
func (l *Leader) endJob(j *jobState, reason string, now time.Time) {
	delete(l.live, j.submission.ID)
	j.progress.Ended = now.Round(0)
	j.dropTexts()
	j.steps = map[job.StepKey]*stepState{}
	l.markDirty(j)
	for _, runs := range j.active {
		for _, r := range runs {
			l.stopRun(r, reason, now)
		}
	}
}

// dropTexts drops what only starts need of a job that has ended: its state is kept for minutes, and
// its texts may be as long as its body was.
func (j *jobState) dropTexts() {
	ended := *j.submission
	ended.Spec, ended.Steps = "", slices.Clone(ended.Steps)
	for number := range ended.Steps {
		step := &ended.Steps[number]
		step.Requires, step.Affinity, step.Image = "", "", ""
	}
	j.submission = &ended
}

// completeIfDone sets a job's final state once all its tasks have completed.
func (l *Leader) completeIfDone(j *jobState, now time.Time) {
	if j.over() || j.submission.Persistent() || !j.progress.AllDone(j.submission) {
		return
	}
	j.progress.State = job.Complete
	l.log("job complete", "job", j.submission.ID, "queue", j.submission.Queue, "took", now.Sub(j.submission.Accepted).Round(time.Millisecond).String(),
		"objective", l.forecastOf(j, now).objective.Round(time.Millisecond).String(), "started-after", j.startedAfter.Round(time.Millisecond).String(),
		"hope-at-start", int(j.startLateness), "deferred", j.isDeferred, "host-seconds", round(j.hostSeconds))
	l.endJob(j, "job is complete", now)
}

// fail sets a job's final state after a task has failed too often.
func (l *Leader) fail(j *jobState, task job.Task, failures int, now time.Time) {
	j.progress.State = job.Failed
	l.log("job failed", "job", j.submission.ID, "step", task.Step, "index", task.Index, "failed-runs", failures, "most", l.maxAttemptsOf(j))
	l.endJob(j, "job has failed", now)
}

// StateOf returns the state that may be reported to callers, or false if the job is
// not known.
func (l *Leader) StateOf(id job.ID) (job.State, bool) {
	j, ok := l.jobs[id]
	if !ok {
		return "", false
	}
	if !j.persistedState.Final() && j.hasBegun {
		return job.Running, true
	}
	return j.persistedState, true
}

// Waiting counts, by queue, the jobs of which no endpoint has confirmed the start of a task.
func (l *Leader) Waiting() map[string]int {
	waiting := map[string]int{}
	for _, j := range l.live {
		if !j.hasBegun {
			waiting[j.submission.Queue]++
		}
	}
	return waiting
}

// log writes to the journal, if there is one.
func (l *Leader) log(event string, fields ...any) {
	if l.config.Journal != nil {
		l.config.Journal.Info(event, fields...)
	}
}
