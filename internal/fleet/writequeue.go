package fleet

import (
	"encoding/json"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

// maxBatchRows is the maximum number of rows in one batch: the store's transactions
// have at most 100 entries, one of which is the condition on the leader's claim.
const maxBatchRows = 90

// Batch is a set of rows to be written in one transaction.
type Batch struct {
	// Number increases; completions of batches up to the newest written one may be acknowledged.
	Number uint64
	// Rows holds the encoded progress of changed jobs.
	Rows   map[job.ID][]byte
	states map[job.ID]job.State
}

// writeQueue holds the jobs whose progress has to be written.
type writeQueue struct {
	// open is the number of the batch that collects changes, written that of the newest
	// batch in the store.
	open, written uint64
	dirty         []*jobState
	// batchByJob is the batch that holds the latest change of each job.
	batchByJob map[job.ID]uint64
}

func newWriteQueue() writeQueue {
	return writeQueue{open: 1, batchByJob: map[job.ID]uint64{}}
}

// pendingBatch returns the unwritten batch that holds the job's latest change, or 0.
func (q *writeQueue) pendingBatch(j *jobState) uint64 {
	batch := q.batchByJob[j.submission.ID]
	if batch <= q.written {
		return 0
	}
	return batch
}

// markDirty adds a job to the open batch and returns that batch's number.
func (l *Leader) markDirty(j *jobState) uint64 {
	if j.dirty {
		return l.writeQueue.batchByJob[j.submission.ID]
	}
	j.dirty = true
	// Once the open batch is full, jobs go into a later one.
	batch := l.writeQueue.open + uint64(len(l.writeQueue.dirty)/maxBatchRows)
	l.writeQueue.dirty = append(l.writeQueue.dirty, j)
	l.writeQueue.batchByJob[j.submission.ID] = batch
	return batch
}

// NextBatch returns the changes to write, or false if there are none. The caller must
// write one batch at a time, and retry it until it is written.
func (l *Leader) NextBatch() (Batch, bool) {
	count := min(maxBatchRows, len(l.writeQueue.dirty))
	if count == 0 {
		return Batch{}, false
	}
	batch := Batch{Number: l.writeQueue.open, Rows: map[job.ID][]byte{}, states: map[job.ID]job.State{}}
	for _, j := range l.writeQueue.dirty[:count] {
		j.dirty = false
		batch.Rows[j.submission.ID] = encodeProgress(j.progress)
		batch.states[j.submission.ID] = j.progress.State
	}
	l.writeQueue.dirty = l.writeQueue.dirty[count:]
	l.writeQueue.open++
	return batch, true
}

// HasFullBatch reports whether the next batch is full.
func (l *Leader) HasFullBatch() bool {
	return len(l.writeQueue.dirty) >= maxBatchRows
}

// encodeProgress returns a job's encoded progress row.
func encodeProgress(progress *job.Progress) []byte {
	encoded, err := json.Marshal(progress)
	if err != nil {
		// Cannot happen: Progress holds only numbers, strings and byte slices.
		panic(err)
	}
	return encoded
}

// MarkBatchWritten records that the store holds a batch. It returns the endpoints whose
// completions can be acknowledged now.
func (l *Leader) MarkBatchWritten(batch Batch, now time.Time) []EndpointID {
	l.writeQueue.written = max(l.writeQueue.written, batch.Number)
	for id, state := range batch.states {
		j := l.jobs[id]
		if j == nil {
			continue
		}
		j.persistedState = state
		if state.Final() && j.endedAt.IsZero() {
			j.endedAt = now
		}
		if l.writeQueue.batchByJob[id] <= l.writeQueue.written {
			delete(l.writeQueue.batchByJob, id)
		}
	}
	var ackable []EndpointID
	l.visit(len(l.unpersisted))
	for id, e := range l.unpersisted {
		if e.advanceAcks(l.writeQueue.written) {
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
