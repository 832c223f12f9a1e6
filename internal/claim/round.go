package claim

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// round is one group of entries on its way to the table: rows whose version is
// not known are read first, then all are written in one transaction.
type round struct {
	entries []*entry
	// members and written are the entries of the transaction and the records
	// it sets, in the same order.
	members []*entry
	written []Record
}

// callKind tells what a table call was for.
type callKind int

const (
	callRead callKind = iota
	callWrite
	callLoad
	callProbe
	callAck
	callPoll
)

// call is an outstanding table call.
type call struct {
	kind    callKind
	bucket  *bucket
	version uint64
}

// open registers a table call.
func (h *Replica) open(c call) uint64 {
	h.last++
	c.version = h.roster.Version
	h.calls[h.last] = c
	return h.last
}

// enqueue has the entry written with the next round that has room.
func (h *Replica) enqueue(e *entry) {
	if e.queued || e.busy {
		return
	}
	e.queued = true
	h.queue = append(h.queue, e)
}

// startRound takes a batch from the queue if no round is under way.
func (h *Replica) startRound(now time.Time) {
	if h.round != nil || !h.tableUp || !h.roundDue(now) {
		return
	}
	h.roundAt = now
	r := &round{}
	var later []*entry
	for _, e := range h.queue {
		switch {
		case !e.dirty && e.pending == nil:
			e.queued = false
			h.drop(e)
		case len(r.entries) == h.config.MaxBatch || h.stale && !e.dirty:
			later = append(later, e)
		default:
			e.queued = false
			e.busy = true
			r.entries = append(r.entries, e)
		}
	}
	h.queue = later
	if len(r.entries) == 0 {
		return
	}
	h.round = r
	h.readRound(now)
}

// roundDue reports whether the queue is to be written now.
func (h *Replica) roundDue(now time.Time) bool {
	if len(h.queue) == 0 || len(h.queue) >= h.config.MaxBatch {
		return len(h.queue) > 0
	}
	interval := h.config.FinishInterval
	for _, e := range h.queue {
		if e.pending != nil {
			interval = h.config.ClaimInterval
			break
		}
	}
	return now.Sub(h.roundAt) >= interval
}

// readRound reads the rows whose version is not known.
func (h *Replica) readRound(now time.Time) {
	var keys []string
	for _, e := range h.round.entries {
		if !e.rowKnown {
			keys = append(keys, e.id.RowKey())
		}
	}
	if len(keys) == 0 {
		h.writeRound(now)
		return
	}
	h.emit(Get{Call: h.open(call{kind: callRead}), Keys: keys})
}

// rowsRead merges the rows into the entries of the round.
func (h *Replica) rowsRead(now time.Time, rows []table.Row) {
	byKey := make(map[string]table.Row, len(rows))
	for _, row := range rows {
		byKey[row.Key] = row
	}
	for _, e := range h.round.entries {
		row, ok := byKey[e.id.RowKey()]
		if !ok {
			continue
		}
		h.absorb(e, row, now)
		h.settle(now, e)
	}
	h.writeRound(now)
}

// absorb merges a row that was read into the entry.
func (h *Replica) absorb(e *entry, row table.Row, now time.Time) {
	if row.Version == table.Absent {
		e.rowKnown = true
		e.rowVersion = table.Absent
		return
	}
	e.absorb(decode(e.id, row.Value, now.Add(h.config.Retention)), row.Version)
}

// settle decides a pending claim on what was read: it may be in the table
// already, or another attempt may have come first.
func (h *Replica) settle(now time.Time, e *entry) {
	p := e.pending
	if p == nil {
		return
	}
	if e.record.open(now) {
		h.renumber(p, e.record.Generation+1)
		return
	}
	e.pending = nil
	answer := Answer{Token: p.record.Token, Record: e.record}
	h.answer(h.recorded(now, answer, p.record.Digest))
}

// renumber sets the generation of a claim. What the second recorded under
// another one does not count.
func (h *Replica) renumber(p *pending, generation uint64) {
	if p.record.Generation == generation {
		return
	}
	p.record.Generation = generation
	p.askedAt = time.Time{}
}

// writeRound commits the round's claims and changed records. Claims depend on
// the roster row, so that a former home cannot insert after a change.
func (h *Replica) writeRound(now time.Time) {
	r := h.round
	txn := table.Txn{}
	claims := false
	for _, e := range r.entries {
		write, record, ok := h.write(now, e)
		if !ok {
			continue
		}
		claims = claims || e.pending != nil
		txn.Conditions = append(txn.Conditions, table.Condition{Key: write.Key, Version: e.rowVersion})
		txn.Writes = append(txn.Writes, write)
		r.members = append(r.members, e)
		r.written = append(r.written, record)
	}
	if len(txn.Writes) == 0 {
		h.endRound(now)
		return
	}
	if claims {
		txn.Conditions = append(txn.Conditions, table.Condition{Key: roster.Key, Version: h.rowVersion})
	}
	h.emit(Commit{Call: h.open(call{kind: callWrite}), Txn: txn})
}

// write returns the row change that the entry needs, if any.
func (h *Replica) write(now time.Time, e *entry) (write table.Write, record Record, ok bool) {
	write.Key = e.id.RowKey()
	switch {
	case e.pending != nil && !h.stale:
		e.pending.tried = true
		record = e.pending.record
	case e.dirty && h.expired(now, e.record):
		write.Delete = true
		e.dirty = e.rowVersion != table.Absent
		e.clean()
		return write, e.record, e.dirty
	case e.dirty:
		record = e.record
	default:
		return write, record, false
	}
	write.Value = record.encode()
	return write, record, true
}

// expired reports whether the record answers no more repeats at any entry.
func (h *Replica) expired(now time.Time, record Record) bool {
	return now.After(record.Expires.Add(h.config.MaxClockSkew))
}

// written grants the claims that are durable now.
func (h *Replica) written(now time.Time) {
	for i, e := range h.round.members {
		record := h.round.written[i]
		e.rowKnown = false
		if e.pending != nil && e.pending.record.same(record) {
			h.grant(e)
		}
		e.dirty = e.record.Generation != 0 && !e.record.same(record)
		e.clean()
	}
	h.endRound(now)
}

// endRound puts back what is left and starts the next round.
func (h *Replica) endRound(now time.Time) {
	entries := h.round.entries
	h.round = nil
	for _, e := range entries {
		e.busy = false
		if e.pending != nil || e.dirty {
			h.enqueue(e)
			continue
		}
		if e.record.Generation != 0 && h.expired(now, e.record) {
			h.forget(e)
		}
		h.drop(e)
	}
	h.startRound(now)
}

// TableAnswer takes the result of a Commit, Get or Scan effect.
func (h *Replica) HandleTableResult(now time.Time, answer TableResult) []Effect {
	c, ok := h.calls[answer.Call]
	if !ok {
		return h.flush(now)
	}
	delete(h.calls, answer.Call)
	if answer.Err == nil || table.IsConflict(answer.Err) {
		h.tableUp = true
	}
	switch c.kind {
	case callRead:
		h.readAnswered(now, answer)
	case callWrite:
		h.writeAnswered(now, answer.Err)
	case callLoad:
		h.loadAnswered(now, c, answer)
	default:
		h.pollAnswered(c, answer)
	}
	return h.flush(now)
}

// readAnswered continues the round after its read.
func (h *Replica) readAnswered(now time.Time, answer TableResult) {
	if answer.Err == nil {
		h.rowsRead(now, answer.Rows)
		return
	}
	h.failRound(now)
}

// failRound ends a round whose call found the table down.
func (h *Replica) failRound(now time.Time) {
	h.tableUp = false
	h.endRound(now)
	h.withoutTable(now)
}

// writeAnswered continues the round after its commit. Unless the commit took
// effect for certain, the rows are read before they are written again.
func (h *Replica) writeAnswered(now time.Time, err error) {
	if err == nil {
		h.written(now)
		return
	}
	var conflict *table.ConflictError
	if errors.As(err, &conflict) && conflict.Key == roster.Key {
		h.stale = true
		h.emit(StaleRoster{})
		h.endRound(now)
		return
	}
	unavailable := !table.IsConflict(err) && !table.IsUnknown(err)
	for _, e := range h.round.members {
		e.rowKnown = false
	}
	if unavailable {
		h.failRound(now)
		return
	}
	h.endRound(now)
}

// withoutTable sends the pending claims to their seconds.
func (h *Replica) withoutTable(now time.Time) {
	for _, e := range h.waiting() {
		h.askSecond(now, e)
	}
}

// waiting returns the entries with a pending claim.
func (h *Replica) waiting() []*entry {
	var waiting []*entry
	for _, e := range h.unwritten() {
		if e.pending != nil {
			waiting = append(waiting, e)
		}
	}
	return waiting
}

// unwritten returns the entries that are queued or in the present round.
func (h *Replica) unwritten() []*entry {
	var entries []*entry
	entries = append(entries, h.queue...)
	if h.round != nil {
		entries = append(entries, h.round.entries...)
	}
	return entries
}
