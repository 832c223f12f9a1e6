package fleet

import (
	"encoding/json"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

// batchRows is how many rows one batch holds at most: the store's transaction
// has 100 entries, one of them the condition on the leader's claim.
const batchRows = 90

// Batch is a set of rows to be written in one transaction.
type Batch struct {
	// Number rises; ends of batches up to the newest written one may be acknowledged.
	Number uint64
	// Rows holds the progress of jobs whose ends or states are news, encoded.
	Rows   map[job.ID][]byte
	states map[job.ID]job.State
}

// ledger keeps what has to be written.
type ledger struct {
	// open is the number of the batch that collects news, written the newest that the store has.
	open, written uint64
	dirty         []*jobState
	// batchByJob is the batch that holds the newest news of a job.
	batchByJob map[job.ID]uint64
}

func newLedger() ledger {
	return ledger{open: 1, batchByJob: map[job.ID]uint64{}}
}

// batchOf returns the batch to wait for before news of the job is written, or 0.
func (l *ledger) batchOf(j *jobState) uint64 {
	batch := l.batchByJob[j.submission.ID]
	if batch <= l.written {
		return 0
	}
	return batch
}

// markDirty adds a job to the open batch and returns that batch's number.
func (l *Leader) markDirty(j *jobState) uint64 {
	if j.dirty {
		return l.ledger.batchByJob[j.submission.ID]
	}
	j.dirty = true
	// A job beyond the open batch's rows goes into a later one.
	batch := l.ledger.open + uint64(len(l.ledger.dirty)/batchRows)
	l.ledger.dirty = append(l.ledger.dirty, j)
	l.ledger.batchByJob[j.submission.ID] = batch
	return batch
}

// NextBatch returns the news to write, or false if there is none. The caller
// writes one batch at a time, and again until it is written.
func (l *Leader) NextBatch() (Batch, bool) {
	count := min(batchRows, len(l.ledger.dirty))
	if count == 0 {
		return Batch{}, false
	}
	batch := Batch{Number: l.ledger.open, Rows: map[job.ID][]byte{}, states: map[job.ID]job.State{}}
	for _, j := range l.ledger.dirty[:count] {
		j.dirty = false
		batch.Rows[j.submission.ID] = encodeProgress(j.progress)
		batch.states[j.submission.ID] = j.progress.State
	}
	l.ledger.dirty = l.ledger.dirty[count:]
	l.ledger.open++
	return batch, true
}

// encodeProgress returns a job's progress row.
func encodeProgress(progress *job.Progress) []byte {
	encoded, err := json.Marshal(progress)
	if err != nil {
		// Progress holds numbers and byte slices alone.
		panic(err)
	}
	return encoded
}

// BatchWritten notes that the store holds a batch.
func (l *Leader) MarkBatchWritten(batch Batch, now time.Time) {
	l.ledger.written = max(l.ledger.written, batch.Number)
	for id, state := range batch.states {
		j := l.jobs[id]
		if j == nil {
			continue
		}
		j.shown = state
		if state.Final() && j.overAt.IsZero() {
			j.overAt = now
		}
		if l.ledger.batchByJob[id] <= l.ledger.written {
			delete(l.ledger.batchByJob, id)
		}
	}
	for _, e := range l.endpoints {
		e.advanceAcks(l.ledger.written)
	}
}

// Forgettable lists jobs that ended longer ago than their state has to be
// told, at most limit of them.
func (l *Leader) ExpiredJobs(now time.Time, limit int) []job.ID {
	var ids []job.ID
	for id, j := range l.jobs {
		if len(ids) == limit {
			break
		}
		if !j.overAt.IsZero() && now.Sub(j.overAt) > forgetFactor*l.config.Bounds.StatusRetention && len(j.active) == 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// forgetFactor times the period for which states must be known is how long
// rows are kept: a repeated submission still finds its job.
const forgetFactor = 2

// Forget drops jobs whose rows are removed.
func (l *Leader) ForgetJobs(ids []job.ID) {
	for _, id := range ids {
		delete(l.jobs, id)
	}
}
