package ingress

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

type discardJournal struct{}

func (discardJournal) Info(string, ...any) {}

// runInOneBatch queues attempts in their order before the writer runs, and waits for their
// outcomes.
func runInOneBatch(ctx context.Context, w *writer, queue chan *write, attempts []func()) {
	var wait sync.WaitGroup
	for n, attempt := range attempts {
		wait.Go(attempt)
		for len(queue) != n+1 {
			time.Sleep(time.Millisecond)
		}
	}
	running, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		w.run(running)
		close(ended)
	}()
	wait.Wait()
	stop()
	<-ended
}

// Guards against a job that is accepted and refused at once: two attempts under one ID
// wait for the same transaction, and the load has changed between them.
func TestAttemptsOfOneBatch(t *testing.T) {
	const id = job.ID("5c0e7a21d94b36f8")
	tests := map[string]struct {
		// refusalFirst is true if the attempt that is refused came first.
		refusalFirst          bool
		wantAccept, wantAvoid outcome
		wantRefusal           bool
	}{
		"accepted first": {wantAccept: outcomeStored, wantAvoid: outcomeExists},
		"refused first":  {refusalFirst: true, wantAccept: outcomeRefusalStored, wantAvoid: outcomeRefusalStored, wantRefusal: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			store := table.NewMemory()
			notified := 0
			w := newWriter(writerConfig{
				Store: store, Journal: discardJournal{}, RowFormat: func() job.RowFormat { return job.RowRefusal },
				NotifyAccepted: func(context.Context, [][]byte) { notified++ },
			})
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			var accepted, refused outcome
			attempts := []func(){
				func() {
					accepted = w.accept(ctx, &job.Submission{ID: id, Steps: []job.Step{{Count: 1}}}, 0)
				},
				func() { refused = w.refuseJob(ctx, id, 0, false).outcome },
			}
			if test.refusalFirst {
				attempts[0], attempts[1] = attempts[1], attempts[0]
			}
			runInOneBatch(ctx, w, w.shards[record.ShardOf(id)], attempts)
			if accepted != test.wantAccept || refused != test.wantAvoid {
				t.Errorf("outcomes of the accepted and of the refused attempt: got %d and %d, want %d and %d", accepted, refused, test.wantAccept, test.wantAvoid)
			}
			rows, err := store.Get(ctx, record.JobKey(id))
			if err != nil || job.IsRefusal(rows[0].Value) != test.wantRefusal || rows[0].Version == table.Absent {
				t.Errorf("row: got %s (%v), want refusal %t", rows[0].Value, err, test.wantRefusal)
			}
			if got, want := notified == 1, !test.wantRefusal; got != want {
				t.Errorf("leader notified: got %d times, want %t", notified, want)
			}
		})
	}
}

// refusingStore loses the answer to the first transaction, and refuses all others.
type refusingStore struct {
	table.Store
	commits int
	answer  error
}

func (s *refusingStore) Commit(context.Context, table.Txn) error {
	s.commits++
	if s.commits == 1 {
		return s.answer
	}
	return errors.New("refused")
}

// Guards against a writer that calls the store without a pause: it refuses the transaction of an
// attempt that may have been stored.
func TestRefusedTransaction(t *testing.T) {
	const lasts = 5 * retryDelay
	tests := map[string]struct {
		first error
		// most is the most commits, and want the outcome, or outcomeUnknown without one.
		most int
		want outcome
	}{
		"at once":              {first: errors.New("refused"), most: 1, want: outcomeRefused},
		"after a lost answer":  {first: table.ErrUnknown, most: 6, want: outcomeUnknown},
		"after an unavailable": {first: table.ErrUnavailable, most: 2, want: outcomeRefused},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			store := &refusingStore{answer: test.first}
			w := newWriter(writerConfig{Store: store, Journal: discardJournal{}})
			ctx, cancel := context.WithTimeout(context.Background(), lasts)
			defer cancel()
			entry := &write{ctx: ctx, id: "5c0e7a21d94b36f8", value: []byte("{}"), done: make(chan result, 1)}
			w.writeAll(ctx, []*write{entry})
			got := outcomeUnknown
			select {
			case ended := <-entry.done:
				got = ended.outcome
			default:
			}
			if got != test.want || store.commits > test.most {
				t.Errorf("outcome and commits: got %v and %d, want %v and at most %d", got, store.commits, test.want, test.most)
			}
		})
	}
}

// pickyStore refuses transactions that write one key.
type pickyStore struct {
	*table.Memory
	refused string
}

func (s *pickyStore) Commit(ctx context.Context, txn table.Txn) error {
	for _, write := range txn.Writes {
		if write.Key == s.refused {
			return errors.Mark(errors.New("the key is not valid"), table.ErrRefused)
		}
	}
	return s.Memory.Commit(ctx, txn)
}

// Guards against a job that is refused since the store refuses another one's row in the same
// transaction.
func TestRefusedRowRefusesNoOtherJob(t *testing.T) {
	ids := []job.ID{"0000000000000001"}
	for n := 2; len(ids) < 5; n++ {
		if id := job.ID(fmt.Sprintf("%016x", n)); record.ShardOf(id) == record.ShardOf(ids[0]) {
			ids = append(ids, id)
		}
	}
	store := &pickyStore{Memory: table.NewMemory(), refused: record.JobKey(ids[2])}
	w := newWriter(writerConfig{
		Store: store, Journal: discardJournal{}, RowFormat: func() job.RowFormat { return job.NewestRowFormat },
		NotifyAccepted: func(context.Context, [][]byte) {},
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	outcomes := make([]outcome, len(ids))
	var attempts []func()
	for n, id := range ids {
		attempts = append(attempts, func() {
			outcomes[n] = w.accept(ctx, &job.Submission{ID: id, Steps: []job.Step{{Count: 1}}}, 0)
		})
	}
	runInOneBatch(ctx, w, w.shards[record.ShardOf(ids[0])], attempts)
	for n, got := range outcomes {
		want := outcomeStored
		if n == 2 {
			want = outcomeRefused
		}
		if got != want {
			t.Errorf("outcome of job %d: got %d, want %d", n, got, want)
		}
	}
}

// Guards against a job that is accepted, since it is small once compressed, and that no process
// decodes.
func TestJobsThatCannotBeStored(t *testing.T) {
	step := func(image string) []job.Step { return []job.Step{{Count: 1, Image: image}} }
	random := rand.New(rand.NewPCG(1, 0))
	noise := make([]byte, 200<<10)
	for i := range noise {
		noise[i] = 'a' + byte(random.IntN(26))
	}
	tests := map[string]struct {
		steps []job.Step
		want  bool
	}{
		"small":                              {step("image"), true},
		"large, small once compressed":       {step(strings.Repeat("image", 40<<10)), true},
		"large, not decoded once compressed": {step(strings.Repeat("image", 400<<10)), false},
		"larger than a row":                  {step(string(noise)), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWriter(writerConfig{RowBytes: 65536, RowFormat: func() job.RowFormat { return job.NewestRowFormat }})
			row, got := w.encode(&job.Submission{ID: "5c0e7a21d94b36f8", Steps: test.steps})
			if got != test.want {
				t.Errorf("stored: got %t, want %t", got, test.want)
			}
			if _, err := job.DecodeSubmission(row); got && err != nil {
				t.Errorf("row that is stored: got %v, want it decoded", err)
			}
		})
	}
}
