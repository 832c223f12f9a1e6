package control

import (
	"context"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// delayedStore loses the answer of one commit and executes it later, on
// applyPending.
type delayedStore struct {
	*table.Memory
	loseNextAnswer, applyNow bool
	pending                  *table.Txn
}

func (s *delayedStore) Commit(ctx context.Context, txn table.Txn) error {
	if !s.loseNextAnswer {
		return s.Memory.Commit(ctx, txn)
	}
	s.loseNextAnswer = false
	s.pending = &txn
	if s.applyNow {
		s.applyPending(ctx)
	}
	return table.ErrUnknown
}

// applyPending executes the delayed transaction, if its conditions still hold.
func (s *delayedStore) applyPending(ctx context.Context) {
	_ = s.Memory.Commit(ctx, *s.pending)
}

type discardJournal struct{}

func (discardJournal) Info(string, ...any) {}

func (discardJournal) Error(string, ...any) {}

func newTestWriter(t *testing.T, store table.Store, lost func()) *writer {
	t.Helper()
	ctx := context.Background()
	if err := store.Commit(ctx, table.Txn{Writes: []table.Write{{Key: record.ClaimKey, Value: []byte("{}")}}}); err != nil {
		t.Fatal(err)
	}
	rows, err := store.Get(ctx, record.ClaimKey)
	if err != nil {
		t.Fatal(err)
	}
	return newWriter(writerConfig{
		Store: store, Journal: discardJournal{}, Token: 3, ClaimVersion: rows[0].Version,
		Confirmed: func(time.Time) {}, Lost: lost,
	})
}

func progressTxn(value string) table.Txn {
	return table.Txn{Writes: []table.Write{{Key: "progress/leader/x", Value: []byte(value)}}}
}

func progressValue(t *testing.T, store table.Store) string {
	t.Helper()
	rows, err := store.Get(context.Background(), "progress/leader/x")
	if err != nil {
		t.Fatal(err)
	}
	return string(rows[0].Value)
}

// Pattern: late-writes. A batch whose answer was lost is executed after the next
// one, and must not restore its older row.
func TestDelayedTransactionUndoesNothing(t *testing.T) {
	ctx := context.Background()
	store := &delayedStore{Memory: table.NewMemory()}
	w := newTestWriter(t, store, func() { t.Error("leadership: got lost, want kept") })
	store.loseNextAnswer = true
	if w.commit(ctx, progressTxn("old"), true) != committed || w.commit(ctx, progressTxn("new"), true) != committed {
		t.Fatal("commits: got refused, want done")
	}
	store.applyPending(ctx)
	if got := progressValue(t, store); got != "new" {
		t.Errorf("row after the late transaction: got %q, want new", got)
	}
}

func TestLostAnswerOfCommittedTransaction(t *testing.T) {
	ctx := context.Background()
	store := &delayedStore{Memory: table.NewMemory()}
	w := newTestWriter(t, store, func() { t.Error("leadership: got lost, want kept") })
	store.loseNextAnswer, store.applyNow = true, true
	if w.commit(ctx, progressTxn("old"), true) != committed || w.commit(ctx, progressTxn("new"), true) != committed {
		t.Fatal("commits: got refused, want done")
	}
	if got := progressValue(t, store); got != "new" {
		t.Errorf("row: got %q, want new", got)
	}
}

// A transaction without retry is abandoned after a lost answer, and may be
// executed before the next one is sent.
func TestDelayedAbandonedTransaction(t *testing.T) {
	ctx := context.Background()
	store := &delayedStore{Memory: table.NewMemory()}
	w := newTestWriter(t, store, func() { t.Error("leadership: got lost, want kept") })
	if w.commit(ctx, progressTxn("first"), true) != committed {
		t.Fatal("first commit: got refused, want done")
	}
	store.loseNextAnswer = true
	if w.commit(ctx, progressTxn("abandoned"), false) == committed {
		t.Fatal("commit without an answer: got done, want unknown")
	}
	store.applyPending(ctx)
	if w.commit(ctx, progressTxn("new"), true) != committed {
		t.Fatal("next commit: got refused, want done")
	}
	if got := progressValue(t, store); got != "new" {
		t.Errorf("row: got %q, want new", got)
	}
}

func TestClaimChangeEndsWriter(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	store := table.NewMemory()
	w := newTestWriter(t, store, cancel)
	if err := store.Commit(ctx, table.Txn{Writes: []table.Write{{Key: record.ClaimKey, Value: []byte("{}")}}}); err != nil {
		t.Fatal(err)
	}
	if w.commit(ctx, progressTxn("x"), true) == committed {
		t.Error("commit under a claim that has changed: got done, want refused")
	}
	if ctx.Err() == nil {
		t.Error("leadership: got kept, want lost")
	}
}
