package ingress

import (
	"context"
	"sync"
	"testing"
	"time"

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
