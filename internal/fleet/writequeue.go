package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

const (
	// maxBatchRows is the maximum number of rows in one batch: the store's transactions
	// have at most 100 entries, one of which is the condition on the leader's claim.
	maxBatchRows = 90
	// maxBatchBytes bounds the rows of one batch: a transaction has at most 1 MB, in which
	// values are base64, and holds rows of waves as well.
	maxBatchBytes = 400 << 10
	// DefaultRowBytes is the maximum size of a row if the platform names none.
	DefaultRowBytes = 64 << 10
	// refusedRowRetry is the time between two attempts to write a row that the store does not
	// take.
	refusedRowRetry = 5 * time.Second
)

// Batch is a set of rows to be written in one transaction.
type Batch struct {
	// Number is the newest change in the batch. Changes up to the newest one that is stored
	// may be acknowledged.
	Number uint64
	// Rows holds the encoded progress of changed jobs.
	Rows map[job.ID][]byte
	// changes lists the jobs in the order of their changes.
	changes []batchedChange
}

// batchedChange is a job's change in a batch.
type batchedChange struct {
	id     job.ID
	number uint64
	state  job.State
}

// add adds a job's row.
func (b *Batch) add(change batchedChange, row []byte) {
	b.Number = change.number
	b.Rows[change.id] = row
	b.changes = append(b.changes, change)
}

// Split returns the two halves of a batch, which have to be written in this order.
func (b Batch) Split() (first, second Batch) {
	first, second = newBatch(), newBatch()
	half := len(b.changes) / 2
	for i, change := range b.changes {
		if i < half {
			first.add(change, b.Rows[change.id])
		} else {
			second.add(change, b.Rows[change.id])
		}
	}
	return first, second
}

func newBatch() Batch {
	return Batch{Rows: map[job.ID][]byte{}}
}

// OversizedRow is a job's row that is larger than the store takes.
type OversizedRow struct {
	Job  job.ID
	Size int
}

// writeQueue holds the jobs whose progress has to be written.
type writeQueue struct {
	// newest is the number of the newest change, written that of the newest one that has been
	// written. Changes of jobs whose rows are refused are passed over.
	newest, written uint64
	// dirty holds the jobs with changes, in the order of these. isCut is true if the last batch
	// left some out for their size.
	dirty []*jobState
	isCut bool
	// changeByJob holds the latest change of each job that is not stored yet.
	changeByJob map[job.ID]uint64
	// refused holds the jobs whose rows the store does not take.
	refused map[job.ID]*jobState
	// oversized lists those that NextBatch has left out since they were last taken.
	oversized []OversizedRow
}

func newWriteQueue() writeQueue {
	return writeQueue{changeByJob: map[job.ID]uint64{}, refused: map[job.ID]*jobState{}}
}

// rowRefusal says that the store does not take a job's row.
type rowRefusal struct {
	// from is the job's first change that is not stored, or 0 if the row is not refused.
	from uint64
	// retryAt is when the row is tried again, or zero until the next step.
	retryAt time.Time
}

// isRowRefused reports whether the store does not take the job's row. Until it does, the job's
// tasks do not start: their ends could not be acknowledged.
func (j *jobState) isRowRefused() bool {
	return j.rowRefusal.from != 0
}

// isStored reports whether the store holds a change of a job.
func (l *Leader) isStored(j *jobState, change uint64) bool {
	if change == 0 {
		return true
	}
	return change <= l.writeQueue.written && (!j.isRowRefused() || change < j.rowRefusal.from)
}

// pendingChange returns the job's latest change if it is not stored yet, or 0.
func (l *Leader) pendingChange(j *jobState) uint64 {
	change := l.writeQueue.changeByJob[j.submission.ID]
	if l.isStored(j, change) {
		return 0
	}
	return change
}

// markDirty queues a job's progress to be written and returns the number of the change.
func (l *Leader) markDirty(j *jobState) uint64 {
	q := &l.writeQueue
	if j.dirty {
		return q.changeByJob[j.submission.ID]
	}
	q.newest++
	q.changeByJob[j.submission.ID] = q.newest
	// Once a job has ended, its row is small.
	if !j.isRowRefused() || j.over() {
		l.queueRow(j)
	}
	return q.newest
}

// queueRow queues a job's row for the next batch.
func (l *Leader) queueRow(j *jobState) {
	j.dirty = true
	l.writeQueue.dirty = append(l.writeQueue.dirty, j)
}

// SetRowFormat sets the form of the rows of the next batches: the newest one that all processes
// read.
func (l *Leader) SetRowFormat(format job.RowFormat) {
	l.rowFormat = format
}

// NextBatch returns the changes to write, or false if there are none. The caller must
// write one batch at a time, and retry it until it is written or refused. Rows that are too
// large are left out.
func (l *Leader) NextBatch() (Batch, bool) {
	q := &l.writeQueue
	batch := newBatch()
	q.isCut = false
	bytes, taken := 0, 0
	for _, j := range q.dirty {
		if len(batch.changes) == maxBatchRows {
			break
		}
		row, size := job.EncodeProgress(j.progress, l.rowFormat, l.config.RowBytes)
		if size > l.config.RowBytes {
			q.oversized = append(q.oversized, OversizedRow{Job: j.submission.ID, Size: size})
			j.dirty = false
			l.refuseRow(j, q.changeByJob[j.submission.ID])
			taken++
			continue
		}
		if bytes+size > maxBatchBytes && len(batch.changes) > 0 {
			q.isCut = true
			break
		}
		bytes += size
		taken++
		j.dirty = false
		j.rowUse.noteWritten(size)
		batch.add(batchedChange{id: j.submission.ID, number: q.changeByJob[j.submission.ID], state: j.progress.State}, row)
	}
	q.dirty = q.dirty[taken:]
	return batch, len(batch.changes) > 0
}

// TakeOversizedRows returns the rows that were left out of batches since the last call.
func (l *Leader) TakeOversizedRows() []OversizedRow {
	oversized := l.writeQueue.oversized
	l.writeQueue.oversized = nil
	return oversized
}

// HasFullBatch reports whether the next batch is full.
func (l *Leader) HasFullBatch() bool {
	return len(l.writeQueue.dirty) >= maxBatchRows || l.writeQueue.isCut
}

// RefuseBatch records that the store does not take a batch's rows: they are left out until they
// are tried again.
func (l *Leader) RefuseBatch(batch Batch) {
	for _, change := range batch.changes {
		if j := l.jobs[change.id]; j != nil {
			l.refuseRow(j, change.number)
		}
	}
}

// refuseRow records that the store does not take a job's row as of a change.
func (l *Leader) refuseRow(j *jobState, change uint64) {
	if !j.isRowRefused() {
		j.rowRefusal.from = change
	}
	j.rowRefusal.retryAt = time.Time{}
	l.writeQueue.refused[j.submission.ID] = j
}

// retryRefusedRows queues the refused rows again that are due.
func (l *Leader) retryRefusedRows(now time.Time) {
	for _, j := range l.writeQueue.refused {
		switch {
		case j.dirty:
		case j.rowRefusal.retryAt.IsZero():
			j.rowRefusal.retryAt = now.Add(refusedRowRetry)
		case !now.Before(j.rowRefusal.retryAt):
			l.writeQueue.newest++
			l.writeQueue.changeByJob[j.submission.ID] = l.writeQueue.newest
			l.queueRow(j)
		}
	}
}

// RefusedRows returns how many jobs have rows that the store does not take.
func (l *Leader) RefusedRows() int {
	return len(l.writeQueue.refused)
}

// MarkBatchWritten records that the store holds a batch. It returns the endpoints whose
// completions can be acknowledged now.
func (l *Leader) MarkBatchWritten(batch Batch, now time.Time) []EndpointID {
	q := &l.writeQueue
	q.written = max(q.written, batch.Number)
	for _, change := range batch.changes {
		j := l.jobs[change.id]
		if j == nil {
			continue
		}
		j.persistedState = change.state
		if change.state.Final() && j.endedAt.IsZero() {
			j.endedAt = now
		}
		j.rowRefusal = rowRefusal{}
		delete(q.refused, change.id)
		if q.changeByJob[change.id] <= change.number {
			delete(q.changeByJob, change.id)
		}
	}
	var ackable []EndpointID
	l.visit(len(l.unpersisted))
	for id, e := range l.unpersisted {
		if l.advanceAcks(e) {
			ackable = append(ackable, id)
		}
		if len(e.unpersisted) == 0 {
			delete(l.unpersisted, id)
		}
	}
	return ackable
}

// ExpiredJobs returns at most limit jobs whose rows have outlived their retention.
func (l *Leader) ExpiredJobs(now time.Time, limit int) []job.ID {
	var ids []job.ID
	for id, j := range l.jobs {
		if len(ids) == limit {
			break
		}
		if !j.endedAt.IsZero() && now.Sub(j.endedAt) > retentionFactor*l.config.Bounds.StatusRetention && len(j.active) == 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// retentionFactor times StatusRetention is how long rows are kept, so that a repeated
// submission still finds its job.
const retentionFactor = 2

// ForgetJobs removes jobs whose rows have been deleted.
func (l *Leader) ForgetJobs(ids []job.ID) {
	for _, id := range ids {
		delete(l.jobs, id)
	}
}
