package job

import (
	"slices"
	"time"
)

// State is the state of a job as reported to callers.
type State string

// States of a job. Complete, Failed and Cancelled are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Complete  State = "complete"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state can no longer change.
func (s State) Final() bool {
	return s == Complete || s == Failed || s == Cancelled
}

// StepProgress records the completed tasks and failed runs of one step of one occurrence.
type StepProgress struct {
	// Done is a bitmap with one bit for each task, least significant bit first.
	Done []byte `json:"done,omitempty"`
	// DoneCount is the number of bits set in Done.
	DoneCount int `json:"done-count,omitempty"`
	// FailedRuns lists the failed runs by task index. A counter would count a run
	// twice, since an endpoint repeats the report of its end until it is acknowledged.
	FailedRuns map[int][]int64 `json:"failed-runs,omitempty"`
	// Crashes counts, by task index, the endpoints that crashed under a task that is
	// suspected of it.
	Crashes map[int]Crashes `json:"crashes,omitempty"`
	// FailedEarlier counts, by task index, failed runs that FailedRuns no longer lists.
	FailedEarlier map[int]int `json:"failed-earlier,omitempty"`
	// Started holds, by task index, runs of which it is not known yet whether they crash
	// their endpoint.
	Started map[int]StartedRun `json:"started,omitempty"`
	// Unanswered holds, by task index, starts that got no answer.
	Unanswered map[int][]UnansweredStart `json:"unanswered,omitempty"`
}

// StartedRun is a run that was started, and may crash its endpoint.
type StartedRun struct {
	Run      int64  `json:"run"`
	Endpoint string `json:"endpoint"`
	// EndpointStart is when the endpoint's incarnation started, by its host's wall clock.
	EndpointStart time.Time `json:"endpoint-start"`
	// Host is the endpoint's host, or "" if it was not known.
	Host    string `json:"host,omitempty"`
	OnTrial bool   `json:"on-trial,omitempty"`
}

// nameBytes is the size of the names in the record.
func (s StartedRun) nameBytes() int {
	return len(s.Endpoint) + len(s.Host)
}

// Crashes counts endpoints that crashed under a task.
type Crashes struct {
	Total int `json:"total"`
	// Alone counts those on which the task ran alone, since it was suspected.
	Alone int `json:"alone,omitempty"`
	// Doubts counts other losses with an endpoint, which have more likely causes.
	Doubts int `json:"doubts,omitempty"`
}

const (
	// maxListedFailures is the number of failed runs of a task that are listed: enough for
	// all whose ends endpoints may still repeat.
	maxListedFailures = 16
	// maxCrashRecords is the number of tasks of a job whose crashes its row holds.
	maxCrashRecords = 1000
)

// isDone reports whether the task with the given index has completed.
func (s *StepProgress) isDone(index int) bool {
	return s != nil && index/8 < len(s.Done) && s.Done[index/8]&(1<<(index%8)) != 0
}

// Progress records which tasks of a job have completed. Its row is written before
// the completion is acknowledged to the endpoint that reported it. It grows with the steps
// that are open, not with those that have ended.
type Progress struct {
	State State `json:"state"`
	// Ended is when the state became final, by the leader's wall clock, or zero.
	Ended time.Time `json:"-"`
	// Steps holds the steps that have progress and are not closed; rows encode it as a list.
	Steps map[StepKey]*StepProgress `json:"-"`
	// closed holds the closed steps, by number.
	closed map[int]closedStep
	// startCount and startNameBytes measure the recorded starts, crashCount the recorded crashes.
	startCount, startNameBytes, crashCount int
	// unansweredCount and unansweredNameBytes measure the recorded unanswered starts.
	unansweredCount, unansweredNameBytes int
}

// closedStep holds the occurrences in which all tasks of a step have completed.
type closedStep struct {
	// tasks is the number of the step's tasks.
	tasks       int
	occurrences occurrenceSet
}

// NewProgress returns the progress of a queued job without completions.
func NewProgress() *Progress {
	return &Progress{State: Queued, Steps: map[StepKey]*StepProgress{}, closed: map[int]closedStep{}}
}

// isClosed reports whether a step is closed.
func (p *Progress) isClosed(key StepKey) bool {
	return p.closed[key.Step].occurrences.has(key.Occurrence)
}

// CloseStep drops the record of a step's tasks once all of them have completed.
func (p *Progress) CloseStep(s *Submission, key StepKey) {
	if p.isClosed(key) || !p.StepDone(s, key) {
		return
	}
	for index := range p.Steps[key].Started {
		p.dropStart(p.Steps[key], index)
	}
	for index := range p.Steps[key].Unanswered {
		p.dropUnanswered(p.Steps[key], index)
	}
	p.crashCount -= len(p.Steps[key].Crashes)
	delete(p.Steps, key)
	closed := p.closed[key.Step]
	closed.tasks, closed.occurrences = s.Steps[key.Step].Count, closed.occurrences.add(key.Occurrence)
	p.closed[key.Step] = closed
}

// closeSteps closes all steps whose tasks have completed.
func (p *Progress) closeSteps(s *Submission) {
	for key := range p.Steps {
		if key.Step < len(s.Steps) {
			p.CloseStep(s, key)
		}
	}
}

// step returns the step's progress and creates it if there is none.
func (p *Progress) step(key StepKey) *StepProgress {
	if p.Steps[key] == nil {
		p.Steps[key] = &StepProgress{}
	}
	return p.Steps[key]
}

// IsDone reports whether a task has completed.
func (p *Progress) IsDone(task Task) bool {
	return p.isClosed(task.StepKey()) || p.Steps[StepKey{task.Occurrence, task.Step}].isDone(task.Index)
}

// MarkDone records the completion of a task. It returns false if it was already recorded.
func (p *Progress) MarkDone(task Task) bool {
	if p.IsDone(task) {
		return false
	}
	step := p.step(StepKey{task.Occurrence, task.Step})
	for len(step.Done) <= task.Index/8 {
		step.Done = append(step.Done, 0)
	}
	step.Done[task.Index/8] |= 1 << (task.Index % 8)
	step.DoneCount++
	delete(step.FailedRuns, task.Index)
	delete(step.FailedEarlier, task.Index)
	p.dropUnanswered(step, task.Index)
	return true
}

// MarkFailed records a failed run of a task and returns how many runs of the
// task have failed. added is false if the run was already recorded.
func (p *Progress) MarkFailed(task Task, run int64) (failures int, added bool) {
	if p.IsDone(task) {
		return 0, false
	}
	step := p.step(StepKey{task.Occurrence, task.Step})
	runs := step.FailedRuns[task.Index]
	if slices.Contains(runs, run) {
		return p.FailureCount(task), false
	}
	if step.FailedRuns == nil {
		step.FailedRuns = map[int][]int64{}
	}
	runs = append(runs, run)
	if len(runs) > maxListedFailures {
		if step.FailedEarlier == nil {
			step.FailedEarlier = map[int]int{}
		}
		step.FailedEarlier[task.Index]++
		runs = slices.Delete(runs, 0, 1)
	}
	step.FailedRuns[task.Index] = runs
	return p.FailureCount(task), true
}

// HasFailed reports whether a run of the task has failed.
func (p *Progress) HasFailed(task Task) bool {
	return p.FailureCount(task) > 0
}

// RecordCrashes records the endpoints that crashed under a task, and reports whether that
// changes the record. Beyond maxCrashRecords tasks it records none.
func (p *Progress) RecordCrashes(task Task, crashes Crashes) bool {
	key := task.StepKey()
	var known Crashes
	if step := p.Steps[key]; step != nil {
		known = step.Crashes[task.Index]
	}
	if known == crashes || p.isClosed(key) {
		return false
	}
	step := p.step(key)
	if crashes == (Crashes{}) {
		delete(step.Crashes, task.Index)
		p.crashCount--
		p.dropIfEmpty(key)
		return true
	}
	if known == (Crashes{}) {
		if p.crashCount >= maxCrashRecords {
			return false
		}
		p.crashCount++
	}
	if step.Crashes == nil {
		step.Crashes = map[int]Crashes{}
	}
	step.Crashes[task.Index] = crashes
	return true
}

// RecordStart records a run of a task before it is started, in place of an earlier one.
func (p *Progress) RecordStart(task Task, started StartedRun) {
	if p.isClosed(task.StepKey()) {
		return
	}
	step := p.step(task.StepKey())
	p.dropStart(step, task.Index)
	if step.Started == nil {
		step.Started = map[int]StartedRun{}
	}
	step.Started[task.Index] = started
	p.startCount++
	p.startNameBytes += started.nameBytes()
}

// dropStart removes the record of a task's start, if there is one.
func (p *Progress) dropStart(step *StepProgress, index int) {
	started, ok := step.Started[index]
	if !ok {
		return
	}
	delete(step.Started, index)
	p.startCount--
	p.startNameBytes -= started.nameBytes()
}

// dropIfEmpty drops the record of a step that holds nothing.
func (p *Progress) dropIfEmpty(key StepKey) {
	step := p.Steps[key]
	if step.DoneCount == 0 && len(step.FailedRuns) == 0 && len(step.Crashes) == 0 && len(step.Started) == 0 && len(step.Unanswered) == 0 {
		delete(p.Steps, key)
	}
}

// HasStart reports whether the start of a run is recorded.
func (p *Progress) HasStart(task Task, run int64) bool {
	step := p.Steps[task.StepKey()]
	if step == nil {
		return false
	}
	started, ok := step.Started[task.Index]
	return ok && started.Run == run
}

// ForgetStart removes the record of a run's start, and reports whether there was one.
func (p *Progress) ForgetStart(task Task, run int64) bool {
	if !p.HasStart(task, run) {
		return false
	}
	p.dropStart(p.Steps[task.StepKey()], task.Index)
	p.dropIfEmpty(task.StepKey())
	return true
}

// StartCount returns how many starts are recorded.
func (p *Progress) StartCount() int {
	return p.startCount
}

// StartNameBytes returns the size of the names in the recorded starts.
func (p *Progress) StartNameBytes() int {
	return p.startNameBytes
}

// FailureCount returns how many runs of a task have failed.
func (p *Progress) FailureCount(task Task) int {
	step := p.Steps[StepKey{task.Occurrence, task.Step}]
	if step == nil {
		return 0
	}
	return step.FailedEarlier[task.Index] + len(step.FailedRuns[task.Index])
}

// StepDone reports whether all tasks of a step have completed.
func (p *Progress) StepDone(s *Submission, key StepKey) bool {
	if p.isClosed(key) {
		return true
	}
	step := p.Steps[key]
	return step != nil && step.DoneCount >= s.Steps[key.Step].Count
}

// StepReady reports whether all predecessors of a step have completed.
func (p *Progress) StepReady(s *Submission, key StepKey) bool {
	for _, predecessor := range s.Steps[key.Step].After {
		if !p.StepDone(s, StepKey{key.Occurrence, predecessor}) {
			return false
		}
	}
	return true
}

// OccurrenceDone reports whether all tasks of an occurrence have completed.
func (p *Progress) OccurrenceDone(s *Submission, occurrence int) bool {
	for step := range s.Steps {
		if !p.StepDone(s, StepKey{occurrence, step}) {
			return false
		}
	}
	return true
}

// DoneTasks returns, by step, how many tasks have completed in all occurrences.
func (p *Progress) DoneTasks(s *Submission) []int {
	counts := make([]int, len(s.Steps))
	for number := range counts {
		closed := p.closed[number]
		counts[number] = closed.tasks * closed.occurrences.count()
	}
	for key, step := range p.Steps {
		if key.Step < len(counts) {
			counts[key.Step] += step.DoneCount
		}
	}
	return counts
}

// HasBegun reports whether a task is known to have started. The record of a start is not enough: the
// start may not have been carried out.
func (p *Progress) HasBegun() bool {
	if p.State != Queued || len(p.closed) > 0 {
		return true
	}
	for key := range p.Steps {
		if p.StepHasEnds(key) {
			return true
		}
	}
	return false
}

// StepHasEnds reports whether a task of a step has completed, or a run of one has failed.
func (p *Progress) StepHasEnds(key StepKey) bool {
	if p.isClosed(key) {
		return true
	}
	step := p.Steps[key]
	return step != nil && (step.DoneCount > 0 || len(step.FailedRuns) > 0)
}

// IsEmpty reports whether nothing is recorded.
func (p *Progress) IsEmpty() bool {
	return len(p.Steps) == 0 && len(p.closed) == 0
}

// NextOpen returns the first occurrence, from the given one on, of which not all steps are closed.
func (p *Progress) NextOpen(s *Submission, from int) int {
	first := s.Occurrences()
	for step := range s.Steps {
		first = min(first, p.closed[step].occurrences.next(from))
	}
	return first
}

// AllDone reports whether all tasks of all occurrences have completed.
func (p *Progress) AllDone(s *Submission) bool {
	for occurrence := p.NextOpen(s, 0); occurrence < s.Occurrences(); occurrence = p.NextOpen(s, occurrence+1) {
		if !p.OccurrenceDone(s, occurrence) {
			return false
		}
	}
	return true
}
