package control

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// writerConfig configures a writer.
type writerConfig struct {
	Store   table.Store
	Journal Journal
	Token   uint64
	// ClaimVersion is the version of this leader's claim row.
	ClaimVersion uint64
	// Confirmed is called with the send time of each committed transaction.
	Confirmed func(sentAt time.Time)
	// Lost is called when another process has taken the claim.
	Lost func()
}

// writer commits a leader's transactions one after the other. Each is
// conditional on the versions of the claim row and the sequence row: a
// transaction whose answer was lost may be executed seconds later, and must not
// undo a newer one.
type writer struct {
	config writerConfig

	mu sync.Mutex
	// number is the number of the newest transaction, version the version of
	// the sequence row; isVersionKnown is false after a lost answer or a conflict.
	number, version uint64
	isVersionKnown  bool
}

func newWriter(config writerConfig) *writer {
	return &writer{config: config}
}

// commitOutcome is the outcome of a transaction, or of an attempt to commit it.
type commitOutcome int

const (
	// notCommitted transactions may be tried again after a pause.
	notCommitted commitOutcome = iota
	// notCommittedYet transactions may be tried again at once.
	notCommittedYet
	// committed transactions are in the store.
	committed
	// refused transactions are not taken by the store, however often they are tried.
	refused
)

// commit writes a transaction. With retry it tries until the transaction is committed or
// refused, or until the term is over.
func (w *writer) commit(ctx context.Context, txn table.Txn, retry bool) commitOutcome {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.number++
	for ctx.Err() == nil {
		outcome := w.attempt(ctx, txn)
		switch outcome {
		case notCommittedYet:
			continue
		case committed, refused:
			return outcome
		default:
		}
		metrics.GetOrCreateCounter("leader_commit_failures_total").Inc()
		if !retry || !loops.Sleep(ctx, commitRetryDelay) {
			return notCommitted
		}
	}
	return notCommitted
}

// attempt makes one call.
func (w *writer) attempt(ctx context.Context, txn table.Txn) commitOutcome {
	if !w.isVersionKnown {
		done, err := w.resolveOutcome(ctx)
		switch {
		case done:
			return committed
		case err != nil:
			return notCommitted
		}
	}
	sentAt := time.Now()
	version, err := table.CommitVersion(ctx, w.config.Store, w.withConditions(txn), record.SequenceKey)
	switch {
	case err == nil:
		w.version = version
		w.config.Confirmed(sentAt)
		return committed
	case table.IsConflict(err):
		// This transaction may be committed, or an earlier one was executed late.
		w.isVersionKnown = false
		return notCommittedYet
	case errors.Is(err, table.ErrUnknown):
		w.isVersionKnown = false
		return notCommitted
	case errors.Is(err, table.ErrRefused):
		metrics.GetOrCreateCounter("leader_commits_refused_total").Inc()
		w.config.Journal.Info("store refused the leader's transaction", "rows", len(txn.Writes), "error", err.Error())
		return refused
	case errors.Is(err, table.ErrUnavailable):
		return notCommitted
	default:
		w.config.Journal.Info("leader's transaction failed", "rows", len(txn.Writes), "error", err.Error())
		return notCommitted
	}
}

// withConditions adds the conditions on the claim and sequence rows, and the
// next sequence row as the first write.
func (w *writer) withConditions(txn table.Txn) table.Txn {
	next := record.Encode(record.Sequence{Token: w.config.Token, Number: w.number})
	return table.Txn{
		Conditions: append([]table.Condition{
			{Key: record.ClaimKey, Version: w.config.ClaimVersion}, {Key: record.SequenceKey, Version: w.version},
		}, txn.Conditions...),
		Writes: append([]table.Write{{Key: record.SequenceKey, Value: next}}, txn.Writes...),
	}
}

// resolveOutcome reads the claim and sequence rows. It reports whether the
// newest transaction is committed.
func (w *writer) resolveOutcome(ctx context.Context) (bool, error) {
	rows, err := w.config.Store.Get(ctx, record.ClaimKey, record.SequenceKey)
	if err != nil {
		return false, err
	}
	if rows[0].Version != w.config.ClaimVersion {
		w.config.Lost()
		return false, errors.New("commit refused: another process has taken the leadership claim")
	}
	w.isVersionKnown, w.version = true, rows[1].Version
	if rows[1].Version == table.Absent {
		return false, nil
	}
	sequence, err := record.Decode[record.Sequence](rows[1].Value)
	if err != nil {
		w.config.Journal.Info("sequence row cannot be decoded", "version", rows[1].Version, "error", err.Error())
		return false, nil
	}
	return sequence.Token == w.config.Token && sequence.Number == w.number, nil
}
