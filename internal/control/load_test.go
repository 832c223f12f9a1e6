package control

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// growingFeed is a table in which a job is accepted and cancelled after the jobs have
// been read and before the cancels are.
type growingFeed struct {
	Feed
	rows      *table.Memory
	addCancel func()
}

func (f *growingFeed) ScanAt(ctx context.Context, prefix string) ([]table.Row, uint64, error) {
	if prefix == record.CancelPrefix(0) {
		f.addCancel()
	}
	rows, err := f.rows.Scan(ctx, prefix)
	return rows, 1, err
}

// TestEndpointCountWhileLoading: couriers are chosen by the number of endpoints, and
// renew leases for a new leader while it reads the jobs.
func TestEndpointCountWhileLoading(t *testing.T) {
	control := New(Config{Store: table.NewMemory(), Journal: discardJournal{}})
	if got := control.EndpointCount(); got != 0 {
		t.Errorf("endpoints of a process that does not lead: got %d, want 0", got)
	}
	control.term = newTerm(context.Background(), control, record.Claim{Token: 2}, 1)
	control.term.leader.UpdateEndpoint(fleet.EndpointRow{ID: "i-1"}, time.Now())
	if control.Leading() {
		t.Fatal("leading before the jobs are read: got true, want false")
	}
	if got := control.EndpointCount(); got != 1 {
		t.Errorf("endpoints while the jobs are being read: got %d, want 1", got)
	}
}

// TestJobCancelledWhileLoading: reading the rows of a large fleet takes seconds, in
// which jobs come and are cancelled. The feeds start after that and repeat no cancel.
func TestJobCancelledWhileLoading(t *testing.T) {
	ctx := context.Background()
	rows := table.NewMemory()
	submission := &job.Submission{ID: "5c0e7a21d94b36f8", Queue: "q", Pool: "p", MaxAttempts: 1, Steps: []job.Step{{Count: 1}}}
	write := func(key string, value []byte) {
		if err := rows.Commit(ctx, table.Txn{Writes: []table.Write{{Key: key, Value: value}}}); err != nil {
			t.Fatal(err)
		}
	}
	feed := &growingFeed{rows: rows, addCancel: func() {
		write(record.JobKey(submission.ID), job.EncodeSubmission(submission, job.RowJSON))
		write(record.CancelKey(submission.ID), []byte("{}"))
	}}
	control := New(Config{Store: rows, Feed: feed, Journal: discardJournal{}})
	loading := newTerm(ctx, control, record.Claim{Token: 2}, 1)
	read, err := loading.readRows()
	if err != nil {
		t.Fatal(err)
	}
	loading.initLeader(read)
	// The feed of jobs brings the job, since its row is newer than the first shard read.
	loading.accept(submission)
	if batch, ok := loading.leader.NextBatch(); ok {
		loading.leader.MarkBatchWritten(batch, time.Now())
	}
	if got, _ := loading.leader.StateOf(submission.ID); got != job.Cancelled {
		t.Errorf("state of the job: got %q, want %q", got, job.Cancelled)
	}
	if orders := loading.leader.Step(time.Now(), time.Now()); len(orders.Starts) != 0 {
		t.Errorf("starts of a cancelled job: got %v, want none", orders.Starts)
	}
}

// countingJournal counts the lines of each event.
type countingJournal map[string]int

func (j countingJournal) Info(event string, _ ...any) { j[event]++ }

func (j countingJournal) Error(event string, _ ...any) { j[event]++ }

// Pattern: turns-beyond-the-pool. Nearly all rows of the feed are of jobs that the leader
// was notified of: decoding them again takes a part of its processor at the peak.
func TestRowsOfKnownJobsAreNotDecoded(t *testing.T) {
	lines := countingJournal{}
	control := New(Config{Store: table.NewMemory(), Journal: lines})
	term := newTerm(context.Background(), control, record.Claim{Token: 2}, 1)
	term.leader.Load(nil, time.Now(), time.Now())
	id := job.ID("5c0e7a21d94b36f8")
	undecodable := table.Change{Row: table.Row{Key: record.JobKey(id), Value: []byte("not a job")}}
	term.applyJobRow(undecodable)
	if got, want := lines["job row cannot be decoded"], 1; got != want {
		t.Fatalf("rows decoded before the job is known: got %d, want %d", got, want)
	}
	term.accept(&job.Submission{ID: id, Queue: "q", Pool: "p", MaxAttempts: 1, Steps: []job.Step{{Count: 1}}})
	term.applyJobRow(undecodable)
	if got, want := lines["job row cannot be decoded"], 1; got != want {
		t.Errorf("rows decoded once it is known: got %d, want %d", got, want)
	}
}

// Pattern: turns-beyond-the-pool. A leader whose answers to hellos wait for its
// decisions is taken for dead at the peak, and replaced when that costs most.
func TestHelloDoesNotWaitForDecisions(t *testing.T) {
	control := New(Config{Store: table.NewMemory(), Journal: discardJournal{}})
	control.term = newTerm(context.Background(), control, record.Claim{Token: 2}, 1)
	control.term.leader.Load(nil, time.Now(), time.Now())
	control.term.loaded.Store(true)
	want := policy.Resources{CPU: 16000, Memory: 65536}
	control.term.leader.UpdateEndpoint(fleet.EndpointRow{ID: "i-1", Capacity: want}, time.Now())
	control.term.mu.Lock()
	defer control.term.mu.Unlock()
	control.term.recordHostSizes()
	answered := make(chan policy.Resources, 1)
	go func() { answered <- control.MaxHostResources() }()
	select {
	case got := <-answered:
		if got != want {
			t.Errorf("largest host: got %+v, want %+v", got, want)
		}
	case <-time.After(10 * time.Second):
		t.Error("the answer to a hello waits while the leader decides")
	}
}

// Guards against overdue runs that the metrics count twice, or lack: the leader's counts are
// totals of its term.
func TestOverdueRunsAreCounted(t *testing.T) {
	count := func(decision string) uint64 {
		return metrics.GetOrCreateCounter(`runs_overdue_total{decision="` + decision + `"}`).Get()
	}
	before := []uint64{count("stopped"), count("copied"), count("kept")}
	term := &term{}
	for _, counts := range []fleet.OverdueCounts{{Stopped: 1, Copied: 2, Kept: 3}, {Stopped: 1, Copied: 3, Kept: 5}} {
		term.countOverdue(counts)
	}
	got := []uint64{count("stopped") - before[0], count("copied") - before[1], count("kept") - before[2]}
	if want := []uint64{1, 3, 5}; !slices.Equal(got, want) {
		t.Errorf("overdue runs stopped, copied and kept: got %v, want %v", got, want)
	}
}
