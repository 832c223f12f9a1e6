package claim

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// tableBatch is a group of entries that is being written to the table. Rows whose
// version is unknown are read first, then all are written in one transaction.
type tableBatch struct {
	entries []*entry
	// writtenEntries are the entries of the transaction, and writtenRecords the
	// records that it writes for them, in the same order.
	writtenEntries []*entry
	writtenRecords []Record
}

// callKind is the purpose of a table call.
type callKind int

const (
	callRead callKind = iota
	callWrite
	callLoad
	callProbe
	callAck
	callReadAcks
)

// call is a table call in flight.
type call struct {
	kind    callKind
	bucket  *bucket
	version uint64
}

// openCall registers a table call and returns its number.
func (r *Replica) openCall(c call) uint64 {
	r.lastCall++
	c.version = r.roster.Version
	r.openCalls[r.lastCall] = c
	return r.lastCall
}

// enqueue queues the entry for a batch.
func (r *Replica) enqueue(e *entry) {
	if e.queued || e.inBatch {
		return
	}
	e.queued = true
	r.writeQueue = append(r.writeQueue, e)
}

// startBatch starts a batch from the queue if it is due and none is in flight.
func (r *Replica) startBatch(now time.Time) {
	if r.batch != nil || !r.tableUp || !r.batchDue(now) {
		return
	}
	r.lastBatchAt = now
	batch := &tableBatch{}
	var remaining []*entry
	for _, e := range r.writeQueue {
		switch {
		case !e.dirty && e.pending == nil:
			e.queued = false
			r.dropIfEmpty(e)
		case len(batch.entries) == r.config.MaxBatch || r.rosterStale && !e.dirty:
			remaining = append(remaining, e)
		default:
			e.queued = false
			e.inBatch = true
			batch.entries = append(batch.entries, e)
		}
	}
	r.writeQueue = remaining
	if len(batch.entries) == 0 {
		return
	}
	r.batch = batch
	r.readBatch(now)
}

// batchDue reports whether the queue is due to be written.
func (r *Replica) batchDue(now time.Time) bool {
	if len(r.writeQueue) == 0 || len(r.writeQueue) >= r.config.MaxBatch {
		return len(r.writeQueue) > 0
	}
	interval := r.config.FinishInterval
	for _, e := range r.writeQueue {
		if e.pending != nil {
			interval = r.config.ClaimInterval
			break
		}
	}
	return now.Sub(r.lastBatchAt) >= interval
}

// readBatch reads the batch's rows whose version is unknown.
func (r *Replica) readBatch(now time.Time) {
	var keys []string
	for _, e := range r.batch.entries {
		if !e.rowKnown {
			keys = append(keys, e.id.RowKey())
		}
	}
	if len(keys) == 0 {
		r.writeBatch(now)
		return
	}
	r.emit(Get{Call: r.openCall(call{kind: callRead}), Keys: keys})
}

// handleRows merges the rows into the entries of the batch.
func (r *Replica) handleRows(now time.Time, rows []table.Row) {
	byKey := make(map[string]table.Row, len(rows))
	for _, row := range rows {
		byKey[row.Key] = row
	}
	for _, e := range r.batch.entries {
		row, ok := byKey[e.id.RowKey()]
		if !ok {
			continue
		}
		r.mergeRow(e, row, now)
		r.resolvePending(now, e)
	}
	r.writeBatch(now)
}

// mergeRow merges a row that was read into the entry.
func (r *Replica) mergeRow(e *entry, row table.Row, now time.Time) {
	if row.Version == table.Absent {
		e.rowKnown = true
		e.rowVersion = table.Absent
		return
	}
	e.mergeRow(decode(e.id, row.Value, now.Add(r.config.Retention)), row.Version)
}

// resolvePending resolves a pending claim after its row was read: the row may hold
// the claim already, or another attempt may have been claimed first.
func (r *Replica) resolvePending(now time.Time, e *entry) {
	p := e.pending
	if p == nil {
		return
	}
	if e.record.claimable(now) {
		r.setGeneration(p, e.record.Generation+1)
		return
	}
	e.pending = nil
	answer := Answer{Token: p.record.Token, Record: e.record}
	r.sendAnswer(r.completeAnswer(now, answer, p.record.Digest))
}

// setGeneration sets the generation of a pending claim. A confirmation by the
// secondary for another generation doesn't count.
func (r *Replica) setGeneration(p *pendingClaim, generation uint64) {
	if p.record.Generation == generation {
		return
	}
	p.record.Generation = generation
	p.secondaryAskedAt = time.Time{}
}

// writeBatch commits the batch's claims and changed records. New claims are
// conditional on the roster row, so that a former primary cannot insert them after
// a roster change.
func (r *Replica) writeBatch(now time.Time) {
	batch := r.batch
	txn := table.Txn{}
	hasClaims := false
	for _, e := range batch.entries {
		write, record, ok := r.rowWrite(now, e)
		if !ok {
			continue
		}
		hasClaims = hasClaims || e.pending != nil
		txn.Conditions = append(txn.Conditions, table.Condition{Key: write.Key, Version: e.rowVersion})
		txn.Writes = append(txn.Writes, write)
		batch.writtenEntries = append(batch.writtenEntries, e)
		batch.writtenRecords = append(batch.writtenRecords, record)
	}
	if len(txn.Writes) == 0 {
		r.endBatch(now)
		return
	}
	if hasClaims {
		txn.Conditions = append(txn.Conditions, table.Condition{Key: roster.Key, Version: r.rosterRowVersion})
	}
	r.emit(Commit{Call: r.openCall(call{kind: callWrite}), Txn: txn})
}

// rowWrite returns the write that the entry's row needs, if any.
func (r *Replica) rowWrite(now time.Time, e *entry) (write table.Write, record Record, ok bool) {
	write.Key = e.id.RowKey()
	switch {
	case e.pending != nil && !r.rosterStale:
		e.pending.maybeRecorded = true
		record = e.pending.record
	case e.dirty && r.expired(now, e.record):
		write.Delete = true
		e.dirty = e.rowVersion != table.Absent
		e.clearUnpersisted()
		return write, e.record, e.dirty
	case e.dirty:
		record = e.record
	default:
		return write, record, false
	}
	write.Value = record.encode()
	return write, record, true
}

// expired reports whether the record has expired by the clock of every process.
func (r *Replica) expired(now time.Time, record Record) bool {
	return now.After(record.Expires.Add(r.config.MaxClockSkew))
}

// handleCommitted grants the claims that are durable now.
func (r *Replica) handleCommitted(now time.Time) {
	for i, e := range r.batch.writtenEntries {
		record := r.batch.writtenRecords[i]
		e.rowKnown = false
		if e.pending != nil && e.pending.record.equivalent(record) {
			r.grant(e)
		}
		e.dirty = e.record.Generation != 0 && !e.record.equivalent(record)
		e.clearUnpersisted()
	}
	r.endBatch(now)
}

// endBatch requeues the entries that still need a write and starts the next batch.
func (r *Replica) endBatch(now time.Time) {
	entries := r.batch.entries
	r.batch = nil
	for _, e := range entries {
		e.inBatch = false
		if e.pending != nil || e.dirty {
			r.enqueue(e)
			continue
		}
		if e.record.Generation != 0 && r.expired(now, e.record) {
			r.removeEntry(e)
		}
		r.dropIfEmpty(e)
	}
	r.startBatch(now)
}

// HandleTableResult handles the result of a Commit, Get or Scan effect.
func (r *Replica) HandleTableResult(now time.Time, result TableResult) []Effect {
	c, ok := r.openCalls[result.Call]
	if !ok {
		return r.flush(now)
	}
	delete(r.openCalls, result.Call)
	if result.Err == nil || table.IsConflict(result.Err) {
		r.tableUp = true
	}
	switch c.kind {
	case callRead:
		r.handleReadResult(now, result)
	case callWrite:
		r.handleWriteResult(now, result.Err)
	case callLoad:
		r.handleLoadResult(now, c, result)
	default:
		r.handlePollResult(c, result)
	}
	return r.flush(now)
}

// handleReadResult continues the batch after its read.
func (r *Replica) handleReadResult(now time.Time, result TableResult) {
	if result.Err == nil {
		r.handleRows(now, result.Rows)
		return
	}
	r.failBatch(now)
}

// failBatch ends a batch after a call that failed because the table is down.
func (r *Replica) failBatch(now time.Time) {
	r.tableUp = false
	r.endBatch(now)
	r.askSecondaries(now)
}

// handleWriteResult continues the batch after its commit. Unless the commit
// certainly took effect, the rows are read before they are written again.
func (r *Replica) handleWriteResult(now time.Time, err error) {
	if err == nil {
		r.handleCommitted(now)
		return
	}
	var conflict *table.ConflictError
	if errors.As(err, &conflict) && conflict.Key == roster.Key {
		r.rosterStale = true
		r.emit(StaleRoster{})
		r.endBatch(now)
		return
	}
	unavailable := !table.IsConflict(err) && !table.IsUnknown(err)
	for _, e := range r.batch.writtenEntries {
		e.rowKnown = false
	}
	if unavailable {
		r.failBatch(now)
		return
	}
	r.endBatch(now)
}

// askSecondaries asks the secondaries to record all pending claims.
func (r *Replica) askSecondaries(now time.Time) {
	for _, e := range r.pendingEntries() {
		r.askSecondary(now, e)
	}
}

// pendingEntries returns the entries with a pending claim.
func (r *Replica) pendingEntries() []*entry {
	var pending []*entry
	for _, e := range r.unpersistedEntries() {
		if e.pending != nil {
			pending = append(pending, e)
		}
	}
	return pending
}

// unpersistedEntries returns the entries that are queued or in the current batch.
func (r *Replica) unpersistedEntries() []*entry {
	var entries []*entry
	entries = append(entries, r.writeQueue...)
	if r.batch != nil {
		entries = append(entries, r.batch.entries...)
	}
	return entries
}
