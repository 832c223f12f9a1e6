package ingress

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

const (
	// writesAtOnce is how many jobs one transaction holds: each takes two of the
	// store's 100 entries.
	writesAtOnce = 45
	// waitingWrites is how many jobs wait for one part of the store.
	waitingWrites = 512
	// writeBytes bounds the rows of one transaction; the store takes 1 MB with encoding.
	writeBytes = 400 << 10
	// settlePause is the time between two attempts to settle a lost answer.
	settlePause = 120 * time.Millisecond
	// refusedTries is how often a write is tried that the store and the peers refuse.
	refusedTries = 2
	// tellTimeout bounds telling the leader.
	tellTimeout = time.Second
)

// outcome is what became of a write.
type outcome int

const (
	// outcomeUnsettled jobs may be stored now or later.
	outcomeUnsettled outcome = iota
	// outcomeStored jobs are stored by this write.
	outcomeStored
	// outcomeKnown jobs were stored before.
	outcomeKnown
	// outcomeRefused jobs are not stored and never will be by this write.
	outcomeRefused
	// outcomeTooLarge jobs do not fit a row.
	outcomeTooLarge
)

// writerConfig is what a writer is built from.
type writerConfig struct {
	Store    table.Store
	Journal  Journal
	RowBytes int
	Accepted func(ctx context.Context, submissions [][]byte)
}

// write is a job on its way into the store.
type write struct {
	ctx   context.Context
	id    job.ID
	value []byte
	done  chan outcome
	// wasSent is true once an attempt's answer was lost.
	wasSent bool
}

// writer stores jobs, many in one transaction.
type writer struct {
	config writerConfig
	shards [record.JobShards]chan *write
}

func newWriter(config writerConfig) *writer {
	w := &writer{config: config}
	for shard := range w.shards {
		w.shards[shard] = make(chan *write, waitingWrites)
	}
	return w
}

// run writes until ctx ends.
func (w *writer) run(ctx context.Context) {
	group := loops.New(ctx)
	for _, queue := range w.shards {
		group.Go(func(ctx context.Context) { w.shardLoop(ctx, queue) })
	}
	group.Wait()
}

// accept stores a job and returns what became of it by the time ctx ends.
func (w *writer) accept(ctx context.Context, submission *job.Submission) outcome {
	value := record.Encode(submission)
	if w.config.RowBytes > 0 && len(value) > w.config.RowBytes {
		return outcomeTooLarge
	}
	entry := &write{ctx: ctx, id: submission.ID, value: value, done: make(chan outcome, 1)}
	select {
	case w.shards[record.ShardOf(submission.ID)] <- entry:
	default:
		w.config.Journal.Info("write queue full", "request-id", submission.ID)
		return outcomeRefused
	}
	select {
	case got := <-entry.done:
		return got
	case <-ctx.Done():
		return outcomeUnsettled
	}
}

// shardLoop writes what waits for one part.
func (w *writer) shardLoop(ctx context.Context, queue chan *write) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-queue:
			w.writeAll(ctx, gather(first, queue))
		}
	}
}

// gather takes what waits, up to one transaction's size.
func gather(first *write, queue chan *write) []*write {
	entries := []*write{first}
	size := len(first.value)
	for len(entries) < writesAtOnce && size < writeBytes {
		select {
		case next := <-queue:
			entries = append(entries, next)
			size += len(next.value)
		default:
			return entries
		}
	}
	return entries
}

// writeAll writes entries until each is settled or given up by its caller.
func (w *writer) writeAll(ctx context.Context, entries []*write) {
	refused := 0
	for len(entries) > 0 && ctx.Err() == nil {
		entries = w.dropAbandoned(entries)
		if len(entries) == 0 {
			return
		}
		err := w.commit(ctx, entries)
		var conflict *table.ConflictError
		switch {
		case err == nil:
			w.stored(ctx, entries)
			return
		case errors.As(err, &conflict):
			entries = w.settleKnown(ctx, entries, conflict)
		case errors.Is(err, table.ErrUnknown):
			// The row may be there: the same transaction tells, by its condition.
			metrics.GetOrCreateCounter("accept_answers_lost_total").Inc()
			for _, entry := range entries {
				entry.wasSent = true
			}
			w.sleep(ctx)
		case errors.Is(err, table.ErrUnavailable):
			refused++
			if refused >= refusedTries {
				entries = w.refuse(entries)
			}
			w.sleep(ctx)
		default:
			w.config.Journal.Info("jobs not taken by the store", "jobs", len(entries), "error", err.Error())
			entries = w.refuse(entries)
		}
	}
}

func (w *writer) sleep(ctx context.Context) {
	timer := time.NewTimer(settlePause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// dropAbandoned leaves out entries whose callers have been answered. One that
// was never sent is not stored.
func (w *writer) dropAbandoned(entries []*write) []*write {
	var kept []*write
	for _, entry := range entries {
		if entry.ctx.Err() == nil {
			kept = append(kept, entry)
		}
	}
	return kept
}

// commit writes all entries under the condition that none of them is there.
func (w *writer) commit(ctx context.Context, entries []*write) error {
	var txn table.Txn
	for _, entry := range entries {
		key := record.JobKey(entry.id)
		txn.Conditions = append(txn.Conditions, table.Condition{Key: key, Version: table.Absent})
		txn.Writes = append(txn.Writes, table.Write{Key: key, Value: entry.value})
	}
	return w.config.Store.Commit(ctx, txn)
}

// stored answers the callers and tells the leader.
func (w *writer) stored(ctx context.Context, entries []*write) {
	values := make([][]byte, 0, len(entries))
	for _, entry := range entries {
		values = append(values, entry.value)
		entry.done <- outcomeStored
	}
	telling, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	w.config.Accepted(telling, values)
}

// settleKnown takes out the entry whose row exists already.
func (w *writer) settleKnown(ctx context.Context, entries []*write, conflict *table.ConflictError) []*write {
	var rest []*write
	for _, entry := range entries {
		if record.JobKey(entry.id) != conflict.Key {
			rest = append(rest, entry)
			continue
		}
		entry.done <- outcomeKnown
		if entry.wasSent {
			// It was our own write whose answer was lost: the leader has not been told.
			telling, cancel := context.WithTimeout(ctx, tellTimeout)
			w.config.Accepted(telling, [][]byte{entry.value})
			cancel()
		}
	}
	return rest
}

// refuse answers the entries of which nothing can be stored any more, and
// returns those that may be.
func (w *writer) refuse(entries []*write) []*write {
	var rest []*write
	for _, entry := range entries {
		if entry.wasSent {
			rest = append(rest, entry)
			continue
		}
		entry.done <- outcomeRefused
	}
	return rest
}

// cancel stores a job's cancel. It reports whether that is sure.
func (w *writer) cancel(ctx context.Context, id job.ID) bool {
	txn := table.Txn{Writes: []table.Write{{Key: record.CancelKey(id), Value: []byte("{}")}}}
	for ctx.Err() == nil {
		if err := w.config.Store.Commit(ctx, txn); err == nil {
			return true
		}
		w.sleep(ctx)
	}
	return false
}
