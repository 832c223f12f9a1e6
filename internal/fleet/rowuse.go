package fleet

import (
	"github.com/lovagedyke/lovagedyke/internal/job"
)

const (
	// runRecordBytes bounds what the end of a run adds to a job's compact row, stepRecordBytes
	// what a step adds apart from its bitmap.
	runRecordBytes  = 8
	stepRecordBytes = 16
	// tasksPerBitmapByte is the number of tasks for each byte of a bitmap, which is base64.
	tasksPerBitmapByte = 6
	// plainRecordFactor is how much more each takes in a plain row.
	plainRecordFactor = 4
	// freshRowShare is the part of a row up to which new work begins, and retryRowShare the part
	// up to which failed tasks run again. What is left is for the records of starts and crashes.
	freshRowShare = 0.5
	retryRowShare = 0.7
)

// rowUse estimates the size of a job's progress row if all its runs failed now.
type rowUse struct {
	// written is the size of the row that was encoded last, and failed counts the failed runs that
	// were recorded since.
	written, failed int
	// active counts the runs that may fail: the ends of persistent tasks are not recorded.
	active int
	// openSteps is what the open steps may add.
	openSteps int
}

// noteWritten records the size of a row.
func (u *rowUse) noteWritten(size int) {
	u.written, u.failed = size, 0
}

// stepBytes returns what a step may add to a job's row. Persistent tasks do not complete.
func stepBytes(step job.Step) int {
	if step.Persistent {
		return 0
	}
	return stepRecordBytes + step.Count/tasksPerBitmapByte
}

// occurrenceBytes returns what an occurrence may add to a job's row.
func occurrenceBytes(submission *job.Submission) int {
	sum := 0
	for _, step := range submission.Steps {
		sum += stepBytes(step)
	}
	return sum
}

// rowSize returns the size that a job's row may grow to without further starts.
func (l *Leader) rowSize(j *jobState) int {
	records := runRecordBytes*(j.rowUse.failed+j.rowUse.active) + j.rowUse.openSteps
	if l.rowFormat < job.RowCompactProgress {
		records *= plainRecordFactor
	}
	return j.rowUse.written + records
}

// rowHasRoom reports whether the job's row has room for what more starts of a step can add, so that
// the job never outgrows its row. One run at a time may always go on.
func (l *Leader) rowHasRoom(g taskGroup, task job.Task) bool {
	j := g.job
	if g.step.step.Persistent || j.rowUse.active == 0 {
		return true
	}
	share := freshRowShare
	if j.progress.HasFailed(task) {
		// Once they are done, their records go.
		share = retryRowShare
	}
	return float64(l.rowSize(j)) <= share*float64(l.config.RowBytes)
}

// rowHasRoomForOccurrence reports whether another occurrence of the job may begin.
func (l *Leader) rowHasRoomForOccurrence(j *jobState) bool {
	return float64(l.rowSize(j)+occurrenceBytes(j.submission)) <= freshRowShare*float64(l.config.RowBytes)
}
