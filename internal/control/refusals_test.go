package control

import (
	"context"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

const refusedID = job.ID("5c0e7a21d94b36f8")

// memoryFeed reads the rows of a store.
type memoryFeed struct {
	Feed
	rows *table.Memory
}

func (f memoryFeed) ScanAt(ctx context.Context, prefix string) ([]table.Row, uint64, error) {
	rows, err := f.rows.Scan(ctx, prefix)
	return rows, 1, err
}

// refusalTerm is a term over a store, and the journal's lines.
type refusalTerm struct {
	*term
	store *table.Memory
	lines countingJournal
}

func newRefusalTerm(t *testing.T, retention time.Duration) *refusalTerm {
	t.Helper()
	r := &refusalTerm{store: table.NewMemory(), lines: countingJournal{}}
	control := New(Config{Store: r.store, Feed: memoryFeed{rows: r.store}, Journal: r.lines, Bounds: fleet.Bounds{StatusRetention: retention}})
	r.term = newTerm(context.Background(), control, record.Claim{Token: 2}, 1)
	return r
}

// write writes a job's row and returns it.
func (r *refusalTerm) write(t *testing.T, id job.ID, value []byte) table.Row {
	t.Helper()
	ctx := context.Background()
	if err := r.store.Commit(ctx, table.Txn{Writes: []table.Write{{Key: record.JobKey(id), Value: value}}}); err != nil {
		t.Fatal(err)
	}
	rows, err := r.store.Get(ctx, record.JobKey(id))
	if err != nil {
		t.Fatal(err)
	}
	return rows[0]
}

func refusalValue() []byte { return job.EncodeRefusal(job.Refusal{RefusedAt: time.Now()}) }

func jobValue(id job.ID) []byte {
	return job.EncodeSubmission(&job.Submission{ID: id, Queue: "q", Pool: "p", MaxAttempts: 1, Steps: []job.Step{{Count: 1}}}, job.NewestRowFormat)
}

// Guards against a refused job that runs, or that hides the jobs beside it: a leader
// reads the refusal at its takeover, in its feed, or looks it up.
func TestRefusalsAreNoJobs(t *testing.T) {
	const accepted = job.ID("5c0e7a21d94b36f9")
	r := newRefusalTerm(t, time.Minute)
	row := r.write(t, refusedID, refusalValue())
	// The leader that was told of this job has died.
	r.write(t, accepted, jobValue(accepted))
	read, err := r.readRows()
	if err != nil {
		t.Fatal(err)
	}
	r.initLeader(read)
	r.applyJobRow(table.Change{Row: row})
	if _, known := r.leader.StateOf(refusedID); known {
		t.Error("refused job: got a state, want none")
	}
	if _, known := r.leader.StateOf(accepted); !known {
		t.Error("accepted job: got no state, want one")
	}
	if stored, err := r.readJob(context.Background(), refusedID); stored != nil || err != nil {
		t.Errorf("look-up of the refused job: got %v (%v), want none", stored, err)
	}
	if got := r.lines["job row cannot be decoded"]; got != 0 {
		t.Errorf("rows that cannot be decoded: got %d, want 0", got)
	}
	r.applyJobRow(table.Change{Row: r.write(t, refusedID, jobValue(refusedID))})
	if _, known := r.leader.StateOf(refusedID); !known {
		t.Error("returned job: got no state, want one")
	}
}

// Guards against the loss of a job that has returned: its row has taken the place of a
// refusal that is due to be deleted.
func TestCleanupOfRefusals(t *testing.T) {
	tests := map[string]struct {
		// hasReturned is true if the job's row replaces the refusal, which the leader does
		// not learn of, and isKnown if the leader has read the refusal at all.
		hasReturned, isUnknown, isDown bool
		before                         time.Duration
		wantRow, wantNoted             bool
	}{
		"retention over":                  {},
		"retention not over":              {before: -time.Hour, wantRow: true, wantNoted: true},
		"the job has returned":            {hasReturned: true, wantRow: true},
		"store is away":                   {isDown: true, wantRow: true, wantNoted: true},
		"refusal that was never read":     {isUnknown: true, wantRow: true},
		"the job has returned, not known": {hasReturned: true, isUnknown: true, wantRow: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRefusalTerm(t, time.Minute)
			row := r.write(t, refusedID, refusalValue())
			// Another refusal of the same shard must not stay for this one's sake.
			other := sameShardAs(refusedID)
			otherRow := r.write(t, other, refusalValue())
			r.applyJobRow(table.Change{Row: otherRow})
			if !test.isUnknown {
				r.applyJobRow(table.Change{Row: row})
			}
			if test.hasReturned {
				r.write(t, refusedID, jobValue(refusedID))
			}
			r.store.SetFaults(table.Faults{Down: test.isDown})
			r.deleteRefusals(context.Background(), time.Now().Add(time.Millisecond+test.before))
			r.store.SetFaults(table.Faults{})
			rows, err := r.store.Get(context.Background(), record.JobKey(refusedID), record.JobKey(other))
			if err != nil {
				t.Fatal(err)
			}
			if got := rows[0].Version != table.Absent; got != test.wantRow {
				t.Errorf("row: got %t, want %t", got, test.wantRow)
			}
			if got, want := rows[1].Version == table.Absent, test.before == 0 && !test.isDown; got != want {
				t.Errorf("other refusal deleted: got %t, want %t", got, want)
			}
			if _, got := r.refusals.rows[refusedID]; got != test.wantNoted {
				t.Errorf("still noted: got %t, want %t", got, test.wantNoted)
			}
		})
	}
}

// sameShardAs returns another ID in the same shard.
func sameShardAs(id job.ID) job.ID {
	for _, digit := range "0123456789abcdef" {
		other := id[:len(id)-1] + job.ID(digit)
		if other != id && record.ShardOf(other) == record.ShardOf(id) {
			return other
		}
	}
	return ""
}

// Guards against rows that stay for ever after an overload.
func TestCleanupOfManyRefusals(t *testing.T) {
	const count = 3 * maxCleanupRefusals / 2
	r := newRefusalTerm(t, time.Minute)
	for n := range count {
		id := job.ID([]byte("5c0e7a21d94b36" + string("0123456789abcdef"[n/16%16]) + string("0123456789abcdef"[n%16])))
		if n >= 256 {
			id = "f" + id[1:]
		}
		r.applyJobRow(table.Change{Row: r.write(t, id, refusalValue())})
	}
	remaining := func() int { return len(r.refusals.rows) }
	if got := remaining(); got != count {
		t.Fatalf("refusals noted: got %d, want %d", got, count)
	}
	for _, want := range []int{count - maxCleanupRefusals, 0, 0} {
		r.deleteRefusals(context.Background(), time.Now().Add(time.Second))
		if got := remaining(); got != want {
			t.Errorf("refusals after a cleanup: got %d, want %d", got, want)
		}
	}
}

// Guards against a refusal's row that stays for ever: it was renewed while the leader tried to
// delete the former one, after the feed had shown the new one.
func TestRenewedRefusalIsDeletedLater(t *testing.T) {
	r := newRefusalTerm(t, time.Minute)
	r.applyJobRow(table.Change{Row: r.write(t, refusedID, refusalValue())})
	expired := r.refusals.expired(time.Now().Add(time.Second), maxCleanupRefusals)
	r.applyJobRow(table.Change{Row: r.write(t, refusedID, refusalValue())})
	for _, versions := range expired {
		r.deleteSomeRefusals(context.Background(), versions)
	}
	r.deleteRefusals(context.Background(), time.Now().Add(time.Second))
	rows, err := r.store.Get(context.Background(), record.JobKey(refusedID))
	if err != nil {
		t.Fatal(err)
	}
	if got := rows[0].Version; got != table.Absent {
		t.Errorf("version of the renewed refusal's row: got %d, want none", got)
	}
}
