package ingress

import (
	"context"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// resolveConflict resolves the entry whose row exists already, and returns the entries
// to write.
func (w *writer) resolveConflict(ctx context.Context, entries []*write, conflict *table.ConflictError) []*write {
	var rest []*write
	for _, entry := range entries {
		if record.JobKey(entry.id) != conflict.Key || !w.resolve(ctx, entry) {
			rest = append(rest, entry)
		}
	}
	return rest
}

// resolve reads the row that exists already, which is the job's or its refusal's. It
// returns false if the entry has to be written again.
func (w *writer) resolve(ctx context.Context, entry *write) bool {
	rows, err := w.config.Store.Get(ctx, record.JobKey(entry.id))
	if err != nil {
		w.sleep(ctx)
		return false
	}
	row := rows[0]
	// Requests that are received from now on come after this version.
	w.observeVersion(row.Version)
	switch {
	case row.Version == table.Absent:
		entry.replaces = table.Absent
		return false
	case job.IsRefusal(row.Value):
		return w.resolveRefusal(entry, row)
	}
	entry.done <- result{outcome: outcomeExists}
	if entry.maybeStored && entry.submission != nil {
		// The row is probably this writer's own, from an attempt whose answer was
		// lost, so the leader has not been notified yet.
		notifyCtx, cancel := context.WithTimeout(ctx, notifyTimeout)
		w.config.NotifyAccepted(notifyCtx, [][]byte{entry.value})
		cancel()
	}
	return true
}

// resolveRefusal resolves an entry whose job has a refusal's row. It returns false if the
// entry has to be written again.
func (w *writer) resolveRefusal(entry *write, row table.Row) bool {
	hasReturned := row.Version <= entry.asOf
	switch {
	case !hasReturned:
		// It is this refusal, from an attempt whose answer was lost, or one that was stored
		// while this request was on its way: the caller has been told that the job will
		// not run, which this request must not make untrue.
		entry.done <- result{outcome: outcomeRefusalStored}
	case entry.submission != nil:
		if !w.replace(entry, row.Version) {
			entry.done <- result{outcome: outcomeTooLarge}
			return true
		}
		return false
	case entry.renews:
		entry.replaces = row.Version
		return false
	default:
		entry.done <- result{outcome: outcomeReturned, refusal: row.Version}
	}
	return true
}

// refuse refuses the entries that are certainly not stored, and returns the
// others.
func (w *writer) refuse(entries []*write) []*write {
	var rest []*write
	for _, entry := range entries {
		if entry.maybeStored {
			rest = append(rest, entry)
			continue
		}
		entry.done <- result{outcome: outcomeRefused}
	}
	return rest
}
