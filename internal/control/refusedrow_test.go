package control

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// pickyStore refuses transactions that write certain keys, and counts how often.
type pickyStore struct {
	*table.Memory
	refuses  func(key string) bool
	refusals int
}

func (s *pickyStore) Commit(ctx context.Context, txn table.Txn) error {
	for _, write := range txn.Writes {
		if s.refuses(write.Key) {
			s.refusals++
			return errors.Mark(errors.New("the value is too large"), table.ErrRefused)
		}
	}
	return s.Memory.Commit(ctx, txn)
}

// errorJournal keeps the lines at level error.
type errorJournal struct{ lines *[]string }

func (errorJournal) Info(string, ...any) {}

func (j errorJournal) Error(event string, fields ...any) {
	*j.lines = append(*j.lines, event+" "+fmt.Sprint(fields...))
}

// Guards against a leader that repeats for ever a transaction which the store refuses for one row, and
// writes nothing else (review, case 1).
func TestRefusedRowHoldsUpNoOther(t *testing.T) {
	id := func(n int) job.ID { return job.ID(fmt.Sprintf("%016x", n)) }
	tests := map[string]struct {
		jobs    int
		refused string
		// wantCalls bounds the transactions that are refused.
		wantCalls int
	}{
		"one of many jobs": {jobs: 90, refused: record.ProgressKey(id(7)), wantCalls: 8},
		"the only job":     {jobs: 1, refused: record.ProgressKey(id(0)), wantCalls: 2},
		"a wave":           {jobs: 5, refused: record.WaveKey(3), wantCalls: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			store := &pickyStore{Memory: table.NewMemory(), refuses: func(key string) bool { return key == test.refused }}
			version, err := table.CommitVersion(ctx, store, table.Txn{Writes: []table.Write{{Key: record.ClaimKey, Value: []byte("{}")}}}, record.ClaimKey)
			if err != nil {
				t.Fatal(err)
			}
			var lines []string
			control := New(Config{Store: store, Journal: errorJournal{lines: &lines}, WaveStatus: noWaveStatus{}})
			leading := newTerm(ctx, control, record.Claim{Token: 1}, version)
			prepareRows(leading, id, test.jobs)
			for range 3 {
				if !leading.writeNext(ctx, true) {
					t.Fatal("rows that the store takes, and the renewal: got not written")
				}
			}
			keys := append(progressKeys(id, test.jobs), record.RenewalKey, record.WaveKey(2), record.WaveKey(3))
			if got := absentRows(ctx, t, store, keys); !slices.Equal(got, []string{test.refused}) {
				t.Errorf("rows that are not written: got %v, want %s alone", got, test.refused)
			}
			if store.refusals > test.wantCalls {
				t.Errorf("refused transactions: got %d, want at most %d", store.refusals, test.wantCalls)
			}
			if len(lines) != 1 || !strings.Contains(lines[0], record.LastSegment(test.refused)) {
				t.Errorf("errors in the journal: got %q, want one that names the row %s", lines, test.refused)
			}
		})
	}
}

// prepareRows gives a leader two waves, and jobs whose progress has to be written.
func prepareRows(leading *term, id func(int) job.ID, jobs int) {
	now := time.Now()
	leading.leader.Load(nil, now, now)
	for number := range int64(2) {
		leading.leader.UpdateWave(fleet.WaveRow{Number: 2 + number, Hosts: []fleet.HostID{"a"}}, now)
	}
	for n := range jobs {
		leading.leader.AddJob(&job.Submission{ID: id(n), Queue: "q", Pool: "p", Steps: []job.Step{{Count: 1}}}, now, now)
		leading.leader.CancelJob(id(n), now)
	}
}

// absentRows returns the keys that have no row.
func absentRows(ctx context.Context, t *testing.T, store table.Store, keys []string) []string {
	t.Helper()
	rows, err := store.Get(ctx, keys...)
	if err != nil {
		t.Fatal(err)
	}
	var absent []string
	for _, row := range rows {
		if row.Version == table.Absent {
			absent = append(absent, row.Key)
		}
	}
	return absent
}

func progressKeys(id func(int) job.ID, count int) []string {
	var keys []string
	for n := range count {
		keys = append(keys, record.ProgressKey(id(n)))
	}
	return keys
}

// noWaveStatus shows the states of waves in rows that nobody reads.
type noWaveStatus struct{}

func (noWaveStatus) Key(wave int64) string { return fmt.Sprintf("status//wave/%d", wave) }

func (noWaveStatus) Encode(int64, bool) []byte { return nil }
