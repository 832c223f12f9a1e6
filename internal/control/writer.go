package control

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// writerConfig is what a writer is built from.
type writerConfig struct {
	Store   table.Store
	Journal Journal
	Token   uint64
	// ClaimVersion is that of our claim's row.
	ClaimVersion uint64
	// Confirmed is told when a transaction was sent that the store has taken.
	Confirmed func(sentAt time.Time)
	// Lost is called when another process holds the claim.
	Lost func()
}

// writer commits a leader's transactions one after the other. Each has the
// claim and the sequence's row as conditions: a transaction without an answer
// may be carried out seconds later, and must not undo one that came after it.
type writer struct {
	config writerConfig

	mu sync.Mutex
	// number is that of the newest transaction, version the sequence's row.
	number, version uint64
	isKnown         bool
}

func newWriter(config writerConfig) *writer {
	return &writer{config: config}
}

// commit writes a transaction. News is tried again until it is written or the
// leadership is over. It reports whether the store has taken it.
func (w *writer) commit(ctx context.Context, txn table.Txn, isNews bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.number++
	for ctx.Err() == nil {
		done, again := w.attempt(ctx, txn)
		if done {
			return true
		}
		if !again {
			continue
		}
		metrics.GetOrCreateCounter("leader_commit_failures_total").Inc()
		if !isNews || !sleep(ctx, batchRetry) {
			return false
		}
	}
	return false
}

// attempt makes one call. pause is false if another call should follow at once.
func (w *writer) attempt(ctx context.Context, txn table.Txn) (done, pause bool) {
	if !w.isKnown {
		done, err := w.settle(ctx)
		if err != nil || done {
			return done, true
		}
	}
	sentAt := time.Now()
	version, err := table.CommitVersion(ctx, w.config.Store, w.guarded(txn), record.SequenceKey)
	switch {
	case err == nil:
		w.version = version
		w.config.Confirmed(sentAt)
		return true, false
	case table.IsConflict(err), errors.Is(err, table.ErrUnknown):
		// It may be done, or an earlier one may have been done late.
		w.isKnown = false
		return false, !table.IsConflict(err)
	case errors.Is(err, table.ErrUnavailable):
		return false, true
	default:
		w.config.Journal.Info("rows refused", "rows", len(txn.Writes), "error", err.Error())
		return false, true
	}
}

// guarded adds the conditions, and the sequence's next row as the first write.
func (w *writer) guarded(txn table.Txn) table.Txn {
	next := record.Encode(record.Sequence{Token: w.config.Token, Number: w.number})
	return table.Txn{
		Conditions: append([]table.Condition{
			{Key: record.ClaimKey, Version: w.config.ClaimVersion}, {Key: record.SequenceKey, Version: w.version},
		}, txn.Conditions...),
		Writes: append([]table.Write{{Key: record.SequenceKey, Value: next}}, txn.Writes...),
	}
}

// settle reads the claim and the sequence. It reports whether the newest
// transaction is done.
func (w *writer) settle(ctx context.Context) (bool, error) {
	rows, err := w.config.Store.Get(ctx, record.ClaimKey, record.SequenceKey)
	if err != nil {
		return false, err
	}
	if rows[0].Version != w.config.ClaimVersion {
		w.config.Lost()
		return false, errors.New("another process leads")
	}
	w.isKnown, w.version = true, rows[1].Version
	if rows[1].Version == table.Absent {
		return false, nil
	}
	sequence, err := record.Decode[record.Sequence](rows[1].Value)
	if err != nil {
		w.config.Journal.Info("sequence not readable", "version", rows[1].Version, "error", err.Error())
		return false, nil
	}
	return sequence.Token == w.config.Token && sequence.Number == w.number, nil
}
