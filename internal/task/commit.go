package task

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/place"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// unread is the version of a row that was written and has not been read since.
const unread = ^uint64(0)

const (
	firstBackoff   = 50 * time.Millisecond
	longestBackoff = 2 * time.Second
)

// batch is the one transaction that is on its way or not settled yet.
type batch struct {
	number uint64
	items  []*item
	// reading is set while the rows are being read; readAt is when to ask again.
	reading bool
	settle  bool
	readAt  time.Time
}

// markDirty queues the item's wanted write.
func (c *Controller) markDirty(it *item) {
	if it.dirty {
		return
	}
	it.dirty = true
	rank := it.current().Class.Rank()
	c.dirty[rank] = append(c.dirty[rank], it)
}

// flush sends the next transaction if none is unsettled.
func (c *Controller) flush(now time.Time) {
	if c.batch != nil {
		c.readBatch(now)
		return
	}
	if now.Before(c.commitAt) {
		return
	}
	items := c.takeDirty()
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
		txn.Writes = append(txn.Writes, table.Write{Key: key, Value: encode(*it.next)})
	}
	c.batches++
	c.batch = &batch{number: c.batches, items: items}
	earliest := now.Add(-commitBurst * c.cfg.CommitInterval)
	if c.commitAt.Before(earliest) {
		c.commitAt = earliest
	}
	c.commitAt = c.commitAt.Add(c.cfg.CommitInterval)
	c.emit(Commit{Number: c.batches, Txn: txn})
}

// takeDirty removes up to a batch of items from the queues, urgent ones first.
func (c *Controller) takeDirty() []*item {
	var items []*item
	for rank := range c.dirty {
		n := min(len(c.dirty[rank]), maxBatchRows-len(items))
		for _, it := range c.dirty[rank][:n] {
			it.dirty = false
			if it.next != nil || it.remove {
				items = append(items, it)
			}
		}
		c.dirty[rank] = c.dirty[rank][n:]
	}
	return items
}

// key is the key of the item's row.
func (it *item) key() string {
	record := it.current()
	return Key(record.Queue, record.ID)
}

// Committed reports how a Commit ended.
func (c *Controller) HandleCommitResult(now time.Time, number uint64, result CommitResult) {
	if c.deposed || c.batch == nil || c.batch.number != number || c.batch.settle {
		return
	}
	if result == CommitUnknown {
		for _, it := range c.batch.items {
			it.uncertain = true
		}
	}
	if result == CommitApplied {
		for _, it := range c.batch.items {
			c.applied(now, it)
		}
	}
	if result != CommitUnavailable {
		// Also after success the rows are read, for their new versions.
		c.batch.settle = true
		c.readBatch(now)
		return
	}
	items := c.batch.items
	c.batch = nil
	c.delay(now)
	for _, it := range items {
		it.inflight = false
		if it.version == table.Absent && !it.uncertain {
			c.reply(it, Refused, ReasonTableUnavailable, c.backoff)
			c.drop(it)
			continue
		}
		c.markDirty(it)
		c.act(now, it)
	}
}

// applied acts on a write that is known to be in the table. The row's version,
// which the next write needs, is read afterwards.
func (c *Controller) applied(now time.Time, it *item) {
	if it.remove {
		return
	}
	it.inflight = false
	c.adopt(now, it, *it.next, unread)
	c.replyWritten(it)
	c.act(now, it)
}

// replyWritten answers the requests whose wish is in the table.
func (c *Controller) replyWritten(it *item) {
	if it.cancel && !it.record.Cancel && !it.record.State.Final() {
		return // The cancellation is still to be written.
	}
	c.reply(it, Accepted, "", 0)
}

// delay waits longer after each call that the table did not take.
func (c *Controller) delay(now time.Time) {
	c.backoff = min(max(2*c.backoff, firstBackoff), longestBackoff)
	c.commitAt = now.Add(c.backoff)
}

// readBatch asks for the rows of the unsettled transaction.
func (c *Controller) readBatch(now time.Time) {
	if !c.batch.settle || c.batch.reading || now.Before(c.batch.readAt) {
		return
	}
	c.batch.reading = true
	keys := []string{c.cfg.Fence.Key}
	for _, it := range c.batch.items {
		keys = append(keys, it.key())
	}
	c.emit(Read{Number: c.batch.number, Keys: keys})
}

// Read reports the rows that a Read asked for, in the order of its keys; ok is
// false if they could not be read.
func (c *Controller) HandleReadResult(now time.Time, number uint64, rows []table.Row, ok bool) {
	if c.deposed || c.batch == nil || c.batch.number != number || !c.batch.reading {
		return
	}
	c.batch.reading = false
	if !ok || len(rows) != len(c.batch.items)+1 {
		c.delay(now)
		c.batch.readAt = c.commitAt
		return
	}
	if rows[0].Version != c.cfg.Fence.Version {
		c.depose()
		return
	}
	c.backoff = 0
	items := c.batch.items
	c.batch = nil
	for i, it := range items {
		it.inflight = false
		c.settle(now, it, rows[i+1])
	}
}

// settle compares the item's wanted write with its row.
func (c *Controller) settle(now time.Time, it *item, row table.Row) {
	switch {
	case row.Version == table.Absent && it.version == table.Absent:
		c.markDirty(it) // The submission has not been applied.
	case row.Version == table.Absent:
		// Removed, by this manager or by an operator.
		c.release(now, it, place.Ended)
		c.reply(it, Unknown, ReasonNoSuchTask, 0)
		c.drop(it)
		return
	case row.Version == it.version:
		c.markDirty(it) // Not applied; if it is later, the next try conflicts.
	default:
		c.take(now, it, row)
	}
	c.act(now, it)
}

// take adopts the row, which is the wanted write or another's.
func (c *Controller) take(now time.Time, it *item, row table.Row) {
	record, err := Decode(row)
	if err != nil {
		// Nothing that this version understands may be done about the task.
		c.reply(it, Unknown, ReasonOtherSpec, 0)
		c.drop(it)
		return
	}
	wanted := it.next
	ours := wanted != nil && wanted.Stamp == record.Stamp
	if it.version == unread && record.Stamp == it.record.Stamp {
		it.version = row.Version
		return
	}
	first := it.version == table.Absent
	it.remove = false
	c.adopt(now, it, record, row.Version)
	switch {
	case first && !ours && wanted.digest() != record.digest():
		c.reply(it, Refused, ReasonOtherSpec, 0)
	case first && !ours:
		c.reply(it, Exists, "", 0)
	default:
		c.replyWritten(it)
	}
}

// drop forgets the item.
func (c *Controller) drop(it *item) {
	record := it.current()
	if record.Attempt != nil {
		c.unlink(record.Attempt.Worker, it)
	}
	it.waiting = false
	it.next = nil
	it.remove = false
	c.setOpen(it, false)
	c.cfg.Placer.Forget(record.Name())
	delete(c.items, record.Name())
}
