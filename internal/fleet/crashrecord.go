package fleet

import (
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

const (
	// maxTrialCrashes is the number of endpoints that crash under a task, alone on them, before
	// its job fails. One suffices once it has been lost with maxLosses in all.
	maxTrialCrashes = 2
	maxLosses       = 4
	// doubtsToSuspect is the number of losses, each with another likely cause, after which
	// a task is suspected nevertheless.
	doubtsToSuspect = 2
)

// crash is the end of an endpoint, and the tasks that may be its cause.
type crash struct {
	suspects []suspect
	// isExplained is true once one of the tasks has crashed another endpoint, alone on it.
	isExplained bool
}

// doubt is an end of an endpoint that a task may have caused, but others more likely.
type doubt struct {
	cause *crash
	// isEarly is true if the task's run was not known to have worked for provenAfter.
	isEarly bool
}

// suspect is a task, or a gang, that is suspected of a crash.
type suspect struct {
	job  *jobState
	unit job.Task
}

// crashRecord is what is known of a task, or of a gang, under which endpoints have ended.
type crashRecord struct {
	// counted are the crashes for which it was suspected. The job's progress has them and the
	// doubts.
	counted job.Crashes
	// withdrawn is the change that has to be stored before the next trial, since the last one
	// was held for too long, or 0.
	withdrawn uint64
	// isInherited is true if a former leader suspected the task.
	isInherited bool
	// causes are the crashes that are counted, and doubts the other ends.
	causes []*crash
	doubts []doubt
	// hosts are those on which it crashed endpoints, as far as this leader knows.
	hosts []HostID
	// isCleared is true once a run on trial has worked for long enough.
	isCleared bool
	// order is its place among the suspects of the last crash: the run that was started last
	// comes first.
	order int
	// reached is for how long its runs are known to have worked before such ends.
	reached time.Duration
	// lastRun is the run that was counted last: the members of a gang share it.
	lastRun int64
	// since is when it was last suspected.
	since time.Time
}

// isSuspect reports whether the task may only start on trial.
func (c *crashRecord) isSuspect() bool {
	return c != nil && (c.counted.Total > 0 && !c.isCleared || c.openDoubts() >= doubtsToSuspect)
}

// hasCrashed reports whether the task has crashed an endpoint on the same host.
func (c *crashRecord) hasCrashed(e *endpoint) bool {
	return slices.Contains(c.hosts, e.crashSite())
}

// crashSite returns the host on which crashes of the endpoint are counted. If it is not known,
// each endpoint counts as a host of its own.
func (e *endpoint) crashSite() HostID {
	if id := e.hostID(); id != "" {
		return id
	}
	return HostID(e.row.ID)
}

// openDoubts counts the doubts that no other task explains.
func (c *crashRecord) openDoubts() int {
	count := 0
	for _, doubt := range c.doubts {
		if !doubt.cause.isExplained {
			count++
		}
	}
	return count
}

// earlyDoubts counts those of the open doubts in which the task may have crashed its endpoint
// at its start.
func (c *crashRecord) earlyDoubts() int {
	count := 0
	for _, doubt := range c.doubts {
		if !doubt.cause.isExplained && doubt.isEarly {
			count++
		}
	}
	return count
}

// requiredWork returns for how long a run of the task must work to clear it.
func (c *crashRecord) requiredWork() time.Duration {
	if c == nil {
		return provenAfter
	}
	return max(trialDuration, min(c.reached, maxCrashAge)+provenAfter)
}

// crashUnit returns the task on which crashes under a task are counted: the members of a gang
// start and end together, and are counted on the first.
func (j *jobState) crashUnit(task job.Task) job.Task {
	if step, ok := j.stepOf(task); ok && step.Gang {
		task.Index = 0
	}
	return task
}

// crashRecordOf returns what is known of a task, or nil.
func (j *jobState) crashRecordOf(task job.Task) *crashRecord {
	if len(j.crashRecords) == 0 {
		return nil
	}
	return j.crashRecords[j.crashUnit(task)]
}

// loadCrashRecords takes over what a former leader has recorded.
func (j *jobState) loadCrashRecords(now time.Time) {
	for key, step := range j.progress.Steps {
		for index, counted := range step.Crashes {
			unit := job.Task{Job: j.submission.ID, Occurrence: key.Occurrence, Step: key.Step, Index: index}
			record := j.addCrashRecord(unit, now)
			record.counted, record.isInherited = counted, counted.Total > 0
			// Which suspect came first is not stored: those of one crash are tried together.
			record.order = 1
			for range counted.Doubts {
				record.doubts = append(record.doubts, doubt{cause: &crash{}})
			}
		}
	}
}

// addCrashRecord returns the record of a unit, which it creates if there is none.
func (j *jobState) addCrashRecord(unit job.Task, now time.Time) *crashRecord {
	if j.crashRecords == nil {
		j.crashRecords = map[job.Task]*crashRecord{}
	}
	if j.crashRecords[unit] == nil {
		j.crashRecords[unit] = &crashRecord{since: now}
	}
	return j.crashRecords[unit]
}

// crashRecord returns what is known of the run's task, or nil.
func (r *run) crashRecord() *crashRecord {
	if r.job == nil {
		return nil
	}
	return r.job.crashRecordOf(r.key.task)
}

// isCulprit reports whether the task is taken for the cause of the crashes under it.
func (c *crashRecord) isCulprit() bool {
	losses := c.counted.Total + c.earlyDoubts()
	return c.counted.Alone >= maxTrialCrashes || c.counted.Alone > 0 && losses >= maxLosses
}

// storeCrashes updates the record in the job's progress.
func (l *Leader) storeCrashes(j *jobState, unit job.Task, record *crashRecord) {
	record.counted.Doubts = record.openDoubts()
	if j.progress.RecordCrashes(unit, record.counted) && !j.over() {
		l.markDirty(j)
	}
}

// isExplained reports whether other tasks explain all crashes that are counted.
func (c *crashRecord) isExplained() bool {
	for _, cause := range c.causes {
		if !cause.isExplained {
			return false
		}
	}
	return c.counted.Alone == 0 && len(c.causes) == c.counted.Total && c.openDoubts() == 0
}

// forgetCrashes forgets what is known of a task.
func (l *Leader) forgetCrashes(j *jobState, unit job.Task, why string, now time.Time) {
	record := j.crashRecords[unit]
	delete(j.crashRecords, unit)
	l.logCleared(record, unit, why, now)
	l.storeCrashes(j, unit, &crashRecord{})
}
