package task

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/place"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// unknownVersion stands for the version of a row that was written and not read
// back yet.
const unknownVersion = ^uint64(0)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// batch is the transaction in flight or waiting for its rows to be read back.
// There is at most one.
type batch struct {
	number uint64
	items  []*item
	// reading is set while the rows are being read.
	reading bool
	// needsRead is set once the commit has ended and its rows must be read back,
	// not before nextReadAt.
	needsRead  bool
	nextReadAt time.Time
}

// markDirty queues the item's pending write for the next transaction.
func (c *Controller) markDirty(it *item) {
	if it.dirty {
		return
	}
	it.dirty = true
	rank := it.current().Class.Rank()
	c.dirty[rank] = append(c.dirty[rank], it)
}

// flush sends the next transaction unless one is still unresolved.
func (c *Controller) flush(now time.Time) {
	if c.batch != nil {
		c.readBatch(now)
		return
	}
	if now.Before(c.nextCommitAt) {
		return
	}
	items := c.collectDirty()
	if len(items) == 0 {
		return
	}
	txn := table.Txn{Conditions: []table.Condition{c.cfg.Fence}}
	for _, it := range items {
		it.inflight = true
		key := it.key()
		txn.Conditions = append(txn.Conditions, table.Condition{Key: key, Version: it.version})
		if it.remove {
			txn.Writes = append(txn.Writes, table.Write{Key: key, Delete: true})
			continue
		}
		txn.Writes = append(txn.Writes, table.Write{Key: key, Value: encode(*it.pending)})
	}
	c.lastBatch++
	c.batch = &batch{number: c.lastBatch, items: items}
	earliest := now.Add(-commitBurst * c.cfg.CommitInterval)
	if c.nextCommitAt.Before(earliest) {
		c.nextCommitAt = earliest
	}
	c.nextCommitAt = c.nextCommitAt.Add(c.cfg.CommitInterval)
	c.emit(Commit{Number: c.lastBatch, Txn: txn})
}

// collectDirty removes up to maxBatchRows items from the write queues, the most
// urgent class first.
func (c *Controller) collectDirty() []*item {
	var items []*item
	for rank := range c.dirty {
		n := min(len(c.dirty[rank]), maxBatchRows-len(items))
		for _, it := range c.dirty[rank][:n] {
			it.dirty = false
			if it.pending != nil || it.remove {
				items = append(items, it)
			}
		}
		c.dirty[rank] = c.dirty[rank][n:]
	}
	return items
}

// key returns the key of the item's row.
func (it *item) key() string {
	record := it.current()
	return Key(record.Queue, record.ID)
}

// HandleCommitResult handles the result of a Commit.
func (c *Controller) HandleCommitResult(now time.Time, number uint64, result CommitResult) {
	if c.superseded || c.batch == nil || c.batch.number != number || c.batch.needsRead {
		return
	}
	if result == CommitUnknown {
		for _, it := range c.batch.items {
			it.uncertain = true
		}
	}
	if result == CommitApplied {
		for _, it := range c.batch.items {
			c.confirmWrite(now, it)
		}
	}
	if result != CommitUnavailable {
		// The rows are read back after success too, to get their new versions.
		c.batch.needsRead = true
		c.readBatch(now)
		return
	}
	items := c.batch.items
	c.batch = nil
	c.increaseBackoff(now)
	for _, it := range items {
		it.inflight = false
		if it.version == table.Absent && !it.uncertain {
			c.reply(it, Refused, ReasonTableUnavailable, c.backoff)
			c.drop(it)
			continue
		}
		c.markDirty(it)
		c.reconcile(now, it)
	}
}

// confirmWrite applies a write that is known to be in the table. The row's
// version, which the next write needs, is read afterwards.
func (c *Controller) confirmWrite(now time.Time, it *item) {
	if it.remove {
		return
	}
	it.inflight = false
	c.applyRecord(now, it, *it.pending, unknownVersion)
	c.replyPersisted(it)
	c.reconcile(now, it)
}

// replyPersisted accepts the waiting requests once their effect is in the table.
func (c *Controller) replyPersisted(it *item) {
	if it.cancel && !it.record.Cancel && !it.record.State.Final() {
		return // The cancellation has not been written yet.
	}
	c.reply(it, Accepted, "", 0)
}

// increaseBackoff doubles the delay before the next transaction, up to
// maxBackoff.
func (c *Controller) increaseBackoff(now time.Time) {
	c.backoff = min(max(2*c.backoff, minBackoff), maxBackoff)
	c.nextCommitAt = now.Add(c.backoff)
}

// readBatch requests the rows of the transaction that is to be read back.
func (c *Controller) readBatch(now time.Time) {
	if !c.batch.needsRead || c.batch.reading || now.Before(c.batch.nextReadAt) {
		return
	}
	c.batch.reading = true
	keys := []string{c.cfg.Fence.Key}
	for _, it := range c.batch.items {
		keys = append(keys, it.key())
	}
	c.emit(Read{Number: c.batch.number, Keys: keys})
}

// HandleReadResult handles the rows that a Read requested, in the order of its
// keys; ok is false if they could not be read.
func (c *Controller) HandleReadResult(now time.Time, number uint64, rows []table.Row, ok bool) {
	if c.superseded || c.batch == nil || c.batch.number != number || !c.batch.reading {
		return
	}
	c.batch.reading = false
	if !ok || len(rows) != len(c.batch.items)+1 {
		c.increaseBackoff(now)
		c.batch.nextReadAt = c.nextCommitAt
		return
	}
	if rows[0].Version != c.cfg.Fence.Version {
		c.supersede()
		return
	}
	c.backoff = 0
	items := c.batch.items
	c.batch = nil
	for i, it := range items {
		it.inflight = false
		c.resolveWrite(now, it, rows[i+1])
	}
}

// resolveWrite compares the item's pending write with its row in the table.
func (c *Controller) resolveWrite(now time.Time, it *item, row table.Row) {
	switch {
	case row.Version == table.Absent && it.version == table.Absent:
		c.markDirty(it) // The submission has not been applied.
	case row.Version == table.Absent:
		// The row was removed, by this manager or by an operator.
		c.release(now, it, place.Ended)
		c.reply(it, Unknown, ReasonNoSuchTask, 0)
		c.drop(it)
		return
	case row.Version == it.version:
		c.markDirty(it) // Not applied. If it is applied later, the retry conflicts.
	default:
		c.applyRow(now, it, row)
	}
	c.reconcile(now, it)
}

// applyRow replaces the item's record by its row, which holds either the pending
// write or a write by another process.
func (c *Controller) applyRow(now time.Time, it *item, row table.Row) {
	record, err := Decode(row)
	if err != nil {
		// This version cannot decode the row, so it leaves the task alone.
		c.reply(it, Unknown, ReasonOtherSpec, 0)
		c.drop(it)
		return
	}
	pending := it.pending
	ours := pending != nil && pending.Stamp == record.Stamp
	if it.version == unknownVersion && record.Stamp == it.record.Stamp {
		it.version = row.Version
		return
	}
	isNew := it.version == table.Absent
	it.remove = false
	c.applyRecord(now, it, record, row.Version)
	switch {
	case isNew && !ours && pending.digest() != record.digest():
		c.reply(it, Refused, ReasonOtherSpec, 0)
	case isNew && !ours:
		c.reply(it, Exists, "", 0)
	default:
		c.replyPersisted(it)
	}
}

// drop removes the item from memory.
func (c *Controller) drop(it *item) {
	record := it.current()
	if record.Attempt != nil {
		c.detach(record.Attempt.Worker, it)
	}
	it.waiting = false
	it.pending = nil
	it.remove = false
	c.setOpen(it, false)
	c.cfg.Placer.Forget(record.Name())
	delete(c.items, record.Name())
}
