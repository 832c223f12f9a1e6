package fleet

import (
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

// jobState is what the leader knows of a job.
type jobState struct {
	submission *job.Submission
	progress   *job.Progress
	// shown is the newest state that is written, which callers may be told.
	shown     job.State
	cancelled bool
	// inherited jobs were accepted before the leader took over.
	inherited bool
	// excess jobs came beyond their client account's share: they run when all
	// others of their priority have what they need.
	excess bool
	// begun is true once a task was started.
	begun bool
	// due is the next occurrence that has not been opened.
	due int
	// steps holds the steps that are ready and not done.
	steps map[job.StepKey]*stepState
	// active lists the runs that are or may be there, by task.
	active map[job.Task][]*run
	// lastRun is the highest run of each task that is known.
	lastRun map[job.Task]int64
	saved   map[job.Task]string
	// avoid lists the endpoints on which a task failed.
	avoid map[job.Task][]EndpointID
	// overdue counts, by task, how often a run of it was overdue.
	overdue map[job.Task]int
	// overAt is when the final state was written.
	overAt time.Time
	dirty  bool
}

// stepState is a step of which tasks wait or run.
type stepState struct {
	key  job.StepKey
	step job.Step
	// pending lists the tasks that wait for an endpoint.
	pending []int
	// notBefore holds back tasks whose last run was refused.
	notBefore time.Time
	openedAt  time.Time
	// took holds the durations of runs that ended as done.
	took []time.Duration
	// granted holds the advice service's tickets, until grantedUntil.
	granted      map[EndpointID]string
	grantedUntil time.Time
	asked        bool
	askedAt      time.Time
	// waitNotedAt is when the journal last said why tasks wait.
	waitNotedAt time.Time
}

func newJobState(submission *job.Submission) *jobState {
	return &jobState{
		submission: submission, progress: job.NewProgress(), shown: job.Queued,
		steps: map[job.StepKey]*stepState{}, active: map[job.Task][]*run{}, lastRun: map[job.Task]int64{},
		saved: map[job.Task]string{}, avoid: map[job.Task][]EndpointID{}, overdue: map[job.Task]int{},
	}
}

// over reports whether nothing of the job may start any more.
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

// noteRun keeps run numbers rising.
func (j *jobState) noteRun(key runKey) {
	j.lastRun[key.task] = max(j.lastRun[key.task], key.run)
}

// dropPending takes a task out of those that wait.
func (j *jobState) dropPending(task job.Task) {
	if step := j.steps[job.StepKey{Occurrence: task.Occurrence, Step: task.Step}]; step != nil {
		step.pending = slices.DeleteFunc(step.pending, func(index int) bool { return index == task.Index })
	}
}

// open makes the steps whose predecessors are done ready to start.
func (l *Leader) open(j *jobState, now, wall time.Time) {
	for !j.over() && j.due < j.submission.Occurrences() {
		due := j.submission.Due(j.due)
		if !due.IsZero() && wall.Before(due) {
			break
		}
		j.due++
	}
	for occurrence := range j.due {
		if j.progress.OccurrenceDone(j.submission, occurrence) {
			continue
		}
		for number := range j.submission.Steps {
			l.openStep(j, job.StepKey{Occurrence: occurrence, Step: number}, now)
		}
	}
}

// openStep makes one step ready if its predecessors are done.
func (l *Leader) openStep(j *jobState, key job.StepKey, now time.Time) {
	if j.steps[key] != nil || j.over() || j.progress.StepDone(j.submission, key) || !j.progress.StepReady(j.submission, key) {
		return
	}
	opened := &stepState{key: key, step: j.submission.Steps[key.Step], openedAt: now}
	for index := range opened.step.Count {
		task := job.Task{Job: j.submission.ID, Occurrence: key.Occurrence, Step: key.Step, Index: index}
		if !j.progress.IsDone(task) && len(j.active[task]) == 0 {
			opened.pending = append(opened.pending, index)
		}
	}
	j.steps[key] = opened
}

// Stored is what the store holds of a job.
type StoredJob struct {
	Submission *job.Submission
	// Progress is nil if nothing of it has ended.
	Progress  *job.Progress
	Cancelled bool
}

// Load takes the jobs that were accepted before the takeover.
func (l *Leader) Load(jobs []StoredJob, now, wall time.Time) {
	for _, stored := range jobs {
		l.add(stored, now, wall)
	}
	l.loaded = true
	l.note("jobs loaded", "jobs", len(jobs))
}

// add takes a job of which an earlier leader may have started tasks.
func (l *Leader) add(stored StoredJob, now, wall time.Time) {
	j := newJobState(stored.Submission)
	j.inherited = true
	if stored.Progress != nil {
		j.progress = stored.Progress
		j.shown = stored.Progress.State
		j.begun = len(stored.Progress.Steps) > 0
	}
	l.jobs[stored.Submission.ID] = j
	if !j.over() {
		l.live[stored.Submission.ID] = j
	}
	if j.progress.State.Final() {
		j.overAt = now
	}
	if stored.Cancelled && !j.progress.State.Final() {
		l.cancel(j, now)
	}
	l.settle(j, now)
	l.open(j, now, wall)
}

// Accepted takes a job that the store holds. It may come more than once.
func (l *Leader) AddJob(submission *job.Submission, now, wall time.Time) {
	if _, ok := l.jobs[submission.ID]; ok {
		return
	}
	j := newJobState(submission)
	// The leader before may not know yet that it is deposed, and start it, too.
	j.inherited = now.Sub(l.config.Now) < depositionTime && l.config.Token > 1 && !l.covered(now)
	l.jobs[submission.ID] = j
	l.live[submission.ID] = j
	delete(l.lookups, submission.ID)
	j.excess = !l.withinShare(submission.Account, now)
	l.noteArrival(j, now)
	if _, ok := l.earlyCancels[submission.ID]; ok {
		delete(l.earlyCancels, submission.ID)
		l.cancel(j, now)
	}
	l.open(j, now, wall)
	l.note("job taken", "job", submission.ID, "queue", submission.Queue, "pool", l.poolOf(j), "tasks", taskCount(submission))
}

func taskCount(submission *job.Submission) int {
	tasks := 0
	for _, step := range submission.Steps {
		tasks += step.Count
	}
	return tasks
}

// Cancelled takes the cancel of a job, which the store holds. The job itself
// may be told later.
func (l *Leader) CancelJob(id job.ID, now time.Time) {
	j := l.jobs[id]
	if j == nil {
		l.earlyCancels[id] = now
		return
	}
	if !j.over() {
		l.cancel(j, now)
	}
}

// cancel ends a job on its caller's wish.
func (l *Leader) cancel(j *jobState, now time.Time) {
	j.cancelled = true
	j.progress.State = job.Cancelled
	l.note("job cancelled", "job", j.submission.ID, "runs", len(j.active))
	l.endJob(j, "job is cancelled", now)
}

// endJob stops what still runs of a job whose state is final.
func (l *Leader) endJob(j *jobState, why string, now time.Time) {
	delete(l.live, j.submission.ID)
	j.steps = map[job.StepKey]*stepState{}
	l.markDirty(j)
	for _, runs := range j.active {
		for _, r := range runs {
			l.stopRun(r, why, now)
		}
	}
}

// settle gives a job its final state once all its tasks are done.
func (l *Leader) settle(j *jobState, now time.Time) {
	if j.over() || j.submission.Persistent() || !j.progress.AllDone(j.submission) {
		return
	}
	j.progress.State = job.Complete
	l.note("job complete", "job", j.submission.ID, "queue", j.submission.Queue, "took", now.Sub(j.submission.Accepted).Round(time.Millisecond).String())
	l.endJob(j, "job is complete", now)
}

// fail gives a job its final state after a task failed too often.
func (l *Leader) fail(j *jobState, task job.Task, failures int, now time.Time) {
	j.progress.State = job.Failed
	l.note("job failed", "job", j.submission.ID, "step", task.Step, "index", task.Index, "failed-runs", failures, "most", l.attemptsOf(j))
	l.endJob(j, "job has failed", now)
}

// StateOf returns the state that a caller may be told, or false if the job is
// not known here.
func (l *Leader) StateOf(id job.ID) (job.State, bool) {
	j, ok := l.jobs[id]
	if !ok {
		return "", false
	}
	if !j.shown.Final() && j.begun {
		return job.Running, true
	}
	return j.shown, true
}

// Waiting counts, by queue, the jobs of which no task has started.
func (l *Leader) Waiting() map[string]int {
	waiting := map[string]int{}
	for _, j := range l.live {
		if !j.begun {
			waiting[j.submission.Queue]++
		}
	}
	return waiting
}

// note writes to the journal.
func (l *Leader) note(event string, fields ...any) {
	if l.config.Journal != nil {
		l.config.Journal.Info(event, fields...)
	}
}
