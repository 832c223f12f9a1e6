package control

import (
	"context"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// lateStore loses the answer of one commit and carries it out when told to.
type lateStore struct {
	*table.Memory
	loseNext, performNow bool
	late                 *table.Txn
}

func (s *lateStore) Commit(ctx context.Context, txn table.Txn) error {
	if !s.loseNext {
		return s.Memory.Commit(ctx, txn)
	}
	s.loseNext = false
	s.late = &txn
	if s.performNow {
		s.perform(ctx)
	}
	return table.ErrUnknown
}

// perform carries the lost transaction out, if its conditions still hold.
func (s *lateStore) perform(ctx context.Context) {
	_ = s.Memory.Commit(ctx, *s.late)
}

type silentJournal struct{}

func (silentJournal) Info(string, ...any) {}

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
		Store: store, Journal: silentJournal{}, Token: 3, ClaimVersion: rows[0].Version,
		Confirmed: func(time.Time) {}, Lost: lost,
	})
}

func write(value string) table.Txn {
	return table.Txn{Writes: []table.Write{{Key: "progress/leader/x", Value: []byte(value)}}}
}

func valueOf(t *testing.T, store table.Store) string {
	t.Helper()
	rows, err := store.Get(context.Background(), "progress/leader/x")
	if err != nil {
		t.Fatal(err)
	}
	return string(rows[0].Value)
}

// Pattern: late-writes. A batch whose answer was lost is carried out after the
// next one, and must not bring its older row back.
func TestLateTransactionsUndoNothing(t *testing.T) {
	ctx := context.Background()
	store := &lateStore{Memory: table.NewMemory()}
	w := newTestWriter(t, store, func() { t.Error("leadership: got lost, want kept") })
	store.loseNext = true
	if !w.commit(ctx, write("old"), true) || !w.commit(ctx, write("new"), true) {
		t.Fatal("commits: got refused, want done")
	}
	store.perform(ctx)
	if got := valueOf(t, store); got != "new" {
		t.Errorf("row after the late transaction: got %q, want new", got)
	}
}

func TestLostAnswerOfADoneTransaction(t *testing.T) {
	ctx := context.Background()
	store := &lateStore{Memory: table.NewMemory()}
	w := newTestWriter(t, store, func() { t.Error("leadership: got lost, want kept") })
	store.loseNext, store.performNow = true, true
	if !w.commit(ctx, write("old"), true) || !w.commit(ctx, write("new"), true) {
		t.Fatal("commits: got refused, want done")
	}
	if got := valueOf(t, store); got != "new" {
		t.Errorf("row: got %q, want new", got)
	}
}

// What is no news is given up, and may be done late before what follows.
func TestAbandonedTransactionIsDoneLate(t *testing.T) {
	ctx := context.Background()
	store := &lateStore{Memory: table.NewMemory()}
	w := newTestWriter(t, store, func() { t.Error("leadership: got lost, want kept") })
	if !w.commit(ctx, write("first"), true) {
		t.Fatal("first commit: got refused, want done")
	}
	store.loseNext = true
	if w.commit(ctx, write("abandoned"), false) {
		t.Fatal("commit without an answer: got done, want not known")
	}
	store.perform(ctx)
	if !w.commit(ctx, write("new"), true) {
		t.Fatal("next commit: got refused, want done")
	}
	if got := valueOf(t, store); got != "new" {
		t.Errorf("row: got %q, want new", got)
	}
}

func TestSuccessorEndsTheWriter(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	store := table.NewMemory()
	w := newTestWriter(t, store, cancel)
	if err := store.Commit(ctx, table.Txn{Writes: []table.Write{{Key: record.ClaimKey, Value: []byte("{}")}}}); err != nil {
		t.Fatal(err)
	}
	if w.commit(ctx, write("x"), true) {
		t.Error("commit under a claim that has changed: got done, want refused")
	}
	if ctx.Err() == nil {
		t.Error("leadership: got kept, want lost")
	}
}
