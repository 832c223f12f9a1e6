package ingress

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

const (
	// maxWritesPerTxn is the number of jobs per transaction: each takes two of
	// the store's limit of 100 entries.
	maxWritesPerTxn = 45
	// shardQueueSize is the number of jobs that may wait for one shard.
	shardQueueSize = 512
	// maxTxnBytes bounds the rows of one transaction; the store's limit is 1 MB
	// after encoding.
	maxTxnBytes = 400 << 10
	// retryDelay is the time between two attempts to write.
	retryDelay = 120 * time.Millisecond
	// maxUnavailableAttempts is how often a write is attempted while neither the
	// store nor a peer accepts it.
	maxUnavailableAttempts = 2
	// notifyTimeout bounds notifying the leader.
	notifyTimeout = time.Second
)

// outcome is the outcome of a write.
type outcome int

const (
	// outcomeUnknown: the job may be stored, now or later.
	outcomeUnknown outcome = iota
	// outcomeStored: this write stored the job.
	outcomeStored
	// outcomeExists: the job had been stored before.
	outcomeExists
	// outcomeRefused: the job is not stored, and this write never will store it.
	outcomeRefused
	// outcomeTooLarge: the job exceeds the store's row size.
	outcomeTooLarge
	// outcomeRefusalStored: a refusal is stored that no attempt replaces which this process
	// has received so far.
	outcomeRefusalStored
	// outcomeReturned: the job was refused before this request was received, and the
	// refusal is left as it is.
	outcomeReturned
)

// result is the outcome of a write.
type result struct {
	outcome outcome
	// refusal is the version of the refusal's row after outcomeReturned.
	refusal uint64
}

// writerConfig configures a writer.
type writerConfig struct {
	Store          table.Store
	Journal        Journal
	RowBytes       int
	NotifyAccepted func(ctx context.Context, submissions [][]byte)
	// RowFormat returns the form of rows to write.
	RowFormat func() job.RowFormat
}

// write is a pending write of one job, or of its refusal.
type write struct {
	ctx   context.Context
	id    job.ID
	value []byte
	done  chan result
	// maybeStored is true once an attempt's answer was lost.
	maybeStored bool
	// submission is nil for a refusal.
	submission *job.Submission
	// replaces is the version of the refusal's row that the write replaces, or table.Absent.
	replaces uint64
	// asOf is a version of the store that was known when the request was received. A
	// refusal up to this version was stored before: the job has returned.
	asOf uint64
	// renews is set for a refusal that replaces an earlier one.
	renews bool
}

// writer stores jobs in batches, one transaction per batch.
type writer struct {
	config writerConfig
	shards [record.JobShards]chan *write
	// version is the newest version of the store that this process has seen.
	version atomic.Uint64
}

func newWriter(config writerConfig) *writer {
	w := &writer{config: config}
	for shard := range w.shards {
		w.shards[shard] = make(chan *write, shardQueueSize)
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

// observeVersion records a version that the store has reached.
func (w *writer) observeVersion(version uint64) {
	for {
		known := w.version.Load()
		if version <= known || w.version.CompareAndSwap(known, version) {
			return
		}
	}
}

// accept stores a job. If ctx ends first, it returns outcomeUnknown.
func (w *writer) accept(ctx context.Context, submission *job.Submission, asOf uint64) outcome {
	value, ok := w.encode(submission)
	if !ok {
		return outcomeTooLarge
	}
	return w.submit(&write{ctx: ctx, id: submission.ID, value: value, submission: submission, asOf: asOf}).outcome
}

// acceptReturned stores a job in place of its refusal, whose row has a version.
func (w *writer) acceptReturned(ctx context.Context, submission *job.Submission, refusal uint64) outcome {
	entry := &write{ctx: ctx, id: submission.ID, submission: submission, asOf: refusal}
	if !w.replace(entry, refusal) {
		return outcomeTooLarge
	}
	return w.submit(entry).outcome
}

// refuseJob stores a job's refusal. With renew it replaces an earlier one, so that an
// attempt to replace that one fails; else it leaves that as it is.
func (w *writer) refuseJob(ctx context.Context, id job.ID, asOf uint64, renew bool) result {
	value := job.EncodeRefusal(job.Refusal{RefusedAt: time.Now()})
	return w.submit(&write{ctx: ctx, id: id, value: value, asOf: asOf, renews: renew})
}

// encode returns a job's row, or false if the store takes none of its size.
func (w *writer) encode(submission *job.Submission) ([]byte, bool) {
	limit := w.config.RowBytes
	if limit <= 0 {
		limit = math.MaxInt
	}
	return job.EncodeSubmissionWithin(submission, w.config.RowFormat(), limit)
}

// replace makes a job's entry replace a refusal. It returns false if the job's row is too
// large.
func (w *writer) replace(entry *write, refusal uint64) bool {
	returned := *entry.submission
	returned.Returned = true
	value, ok := w.encode(&returned)
	entry.submission, entry.value, entry.replaces = &returned, value, refusal
	return ok
}

// submit queues an entry and waits for its result, or for its context's end.
func (w *writer) submit(entry *write) result {
	entry.done = make(chan result, 1)
	select {
	case w.shards[record.ShardOf(entry.id)] <- entry:
	default:
		w.config.Journal.Info("job refused: write queue full", "request-id", entry.id)
		return result{outcome: outcomeRefused}
	}
	select {
	case got := <-entry.done:
		return got
	case <-entry.ctx.Done():
		return result{outcome: outcomeUnknown}
	}
}

// shardLoop writes the jobs that wait for one shard.
func (w *writer) shardLoop(ctx context.Context, queue chan *write) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-queue:
			w.writeAll(ctx, collectBatch(first, queue))
		}
	}
}

// collectBatch collects the waiting writes, up to one transaction's size.
func collectBatch(first *write, queue chan *write) []*write {
	entries := []*write{first}
	size := len(first.value)
	for len(entries) < maxWritesPerTxn && size < maxTxnBytes {
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

// writeAll writes entries until each has an outcome or its caller has given up.
func (w *writer) writeAll(ctx context.Context, entries []*write) {
	unavailable := 0
	for len(entries) > 0 && ctx.Err() == nil {
		entries = w.dropAbandoned(entries)
		if len(entries) == 0 {
			return
		}
		batch, rest := splitByJob(entries)
		err := w.commit(ctx, batch)
		var conflict *table.ConflictError
		switch {
		case err == nil:
			w.finishStored(ctx, batch)
			entries = rest
		case errors.As(err, &conflict):
			entries = append(w.resolveConflict(ctx, batch, conflict), rest...)
		case errors.Is(err, table.ErrUnknown):
			// The rows may be stored: retrying the same transaction finds out,
			// since its condition fails for rows that exist.
			metrics.GetOrCreateCounter("accept_answers_lost_total").Inc()
			for _, entry := range batch {
				entry.maybeStored = true
			}
			w.sleep(ctx)
		case errors.Is(err, table.ErrUnavailable):
			unavailable++
			if unavailable >= maxUnavailableAttempts {
				entries = w.refuse(entries)
			}
			w.sleep(ctx)
		case errors.Is(err, table.ErrRefused) && len(batch) > 1:
			// Written apart, one job's row holds up no other.
			half := len(batch) / 2
			w.writeAll(ctx, batch[:half])
			w.writeAll(ctx, batch[half:])
			entries = rest
		default:
			w.config.Journal.Info("store refused the jobs' rows", "jobs", len(batch), "error", err.Error())
			kept := w.refuse(batch)
			if len(kept) > 0 {
				w.sleep(ctx)
			}
			entries = append(kept, rest...)
		}
	}
}

// splitByJob returns the first entry of each job, and the others, which wait for the
// outcome of the first: one of them may accept the job and another refuse it.
func splitByJob(entries []*write) (batch, rest []*write) {
	seen := make(map[job.ID]bool, len(entries))
	for _, entry := range entries {
		if seen[entry.id] {
			rest = append(rest, entry)
			continue
		}
		seen[entry.id] = true
		batch = append(batch, entry)
	}
	return batch, rest
}

func (w *writer) sleep(ctx context.Context) {
	timer := time.NewTimer(retryDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// dropAbandoned drops entries whose callers have given up. An entry that was
// never sent is not stored.
func (w *writer) dropAbandoned(entries []*write) []*write {
	var kept []*write
	for _, entry := range entries {
		if entry.ctx.Err() == nil {
			kept = append(kept, entry)
		}
	}
	return kept
}

// commit writes all entries, on the condition that none of them exists, or is still the
// refusal that the entry replaces.
func (w *writer) commit(ctx context.Context, entries []*write) error {
	var txn table.Txn
	for _, entry := range entries {
		key := record.JobKey(entry.id)
		txn.Conditions = append(txn.Conditions, table.Condition{Key: key, Version: entry.replaces})
		txn.Writes = append(txn.Writes, table.Write{Key: key, Value: entry.value})
	}
	versioner, ok := w.config.Store.(table.Versioner)
	if !ok {
		return w.config.Store.Commit(ctx, txn)
	}
	version, err := versioner.CommitVersion(ctx, txn)
	if err == nil {
		w.observeVersion(version)
	}
	return err
}

// finishStored answers the callers and notifies the leader.
func (w *writer) finishStored(ctx context.Context, entries []*write) {
	values := make([][]byte, 0, len(entries))
	for _, entry := range entries {
		if entry.submission == nil {
			entry.done <- result{outcome: outcomeRefusalStored}
			continue
		}
		values = append(values, entry.value)
		entry.done <- result{outcome: outcomeStored}
	}
	if len(values) == 0 {
		return
	}
	notifyCtx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	w.config.NotifyAccepted(notifyCtx, values)
}

// cancel stores a job's cancel. It reports whether the store has confirmed it.
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
