package job_test

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

func rowSubmission() *job.Submission {
	return &job.Submission{
		ID: "21463927a07b6c53", Queue: "r-67e2ey5", Pool: "pool-a", MaxAttempts: 2, Stretch: 2.2, Target: 2500 * time.Millisecond,
		Account: "a", Spec: strings.Repeat("ghkpkpchnddgoeaoJPMOJLOJmdenihob", 16),
		Steps:    []job.Step{{Count: 8, Resources: policy.Resources{CPU: 2000, Memory: 4096}, Estimate: time.Second, Checkpoint: true}},
		Accepted: time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC),
	}
}

func TestRowFormats(t *testing.T) {
	want := rowSubmission()
	plain := len(job.EncodeSubmission(want, job.RowJSON))
	tests := map[string]struct {
		format  job.RowFormat
		maxSize int
	}{
		"JSON, which earlier versions read": {format: job.RowJSON, maxSize: plain},
		"compressed":                        {format: job.RowDeflated, maxSize: plain / 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for range 2 {
				// Twice, since compressors are reused.
				row := job.EncodeSubmission(want, test.format)
				if len(row) > test.maxSize {
					t.Errorf("size: got %d bytes, want at most %d", len(row), test.maxSize)
				}
				got, err := job.DecodeSubmission(row)
				if err != nil {
					t.Fatal(err)
				}
				if !reflect.DeepEqual(got, want) {
					t.Errorf("submission: got %+v, want %+v", got, want)
				}
			}
		})
	}
}

// TestDecodeAfterBadRow: a decompressor that met a bad row is used again.
func TestDecodeAfterBadRow(t *testing.T) {
	want := rowSubmission()
	row := job.EncodeSubmission(want, job.RowDeflated)
	for size := 1; size < len(row); size++ {
		if _, err := job.DecodeSubmission(row[:size]); err == nil {
			t.Fatalf("row of %d of %d bytes: got no error, want one", size, len(row))
		}
		got, err := job.DecodeSubmission(row)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("whole row after one of %d bytes: got %+v and %v, want %+v", size, got, err, want)
		}
	}
}

func TestDecodeBadRows(t *testing.T) {
	row := job.EncodeSubmission(rowSubmission(), job.RowDeflated)
	tests := map[string][]byte{
		"empty":           {},
		"cut off":         row[:len(row)/2],
		"only its mark":   row[:1],
		"not compressed":  append(row[:1:1], "plain text"...),
		"unknown form":    append([]byte{0x07}, row[1:]...),
		"without steps":   []byte(`{"id":"21463927a07b6c53"}`),
		"of another type": []byte(`[]`),
	}
	for name, row := range tests {
		t.Run(name, func(t *testing.T) {
			if got, err := job.DecodeSubmission(row); err == nil {
				t.Errorf("submission: got %+v, want an error", got)
			}
		})
	}
}

// Guards against a count of crashes that a takeover forgets: it is in the progress row, and
// gone from it once it is cleared.
func TestCrashesInProgressRow(t *testing.T) {
	task := job.Task{Job: "5c0e7a21d94b36f8", Occurrence: 1, Step: 2, Index: 3}
	progress := job.NewProgress()
	want := job.Crashes{Total: 2, Alone: 1, Doubts: 1}
	if !progress.RecordCrashes(task, want) || progress.RecordCrashes(task, want) {
		t.Error("record changes: got otherwise, want the first time only")
	}
	decode := func() job.Crashes {
		row, err := json.Marshal(progress)
		if err != nil {
			t.Fatal(err)
		}
		decoded := job.NewProgress()
		if err := json.Unmarshal(row, decoded); err != nil {
			t.Fatal(err)
		}
		step := decoded.Steps[job.StepKey{Occurrence: 1, Step: 2}]
		if step == nil {
			return job.Crashes{}
		}
		return step.Crashes[3]
	}
	if got := decode(); got != want {
		t.Errorf("crashes in the row: got %+v, want %+v", got, want)
	}
	progress.RecordCrashes(task, job.Crashes{})
	if got := decode(); got != (job.Crashes{}) {
		t.Errorf("crashes in the row once cleared: got %+v, want none", got)
	}
}

// Guards against a start that a takeover forgets, and against one that outlives its run: the
// record is in the progress row until the run's outcome is known.
func TestStartsInProgressRow(t *testing.T) {
	task := job.Task{Job: "5c0e7a21d94b36f8", Occurrence: 1, Step: 2, Index: 3}
	want := job.StartedRun{
		Run: 65538, Endpoint: "i-278e96e7c9", EndpointStart: time.Date(2026, 12, 4, 6, 0, 0, 1000000, time.UTC), Host: "h-12", OnTrial: true,
	}
	progress := job.NewProgress()
	progress.RecordStart(task, want)
	decode := func() *job.Progress {
		row, err := json.Marshal(progress)
		if err != nil {
			t.Fatal(err)
		}
		decoded := job.NewProgress()
		if err := json.Unmarshal(row, decoded); err != nil {
			t.Fatal(err)
		}
		return decoded
	}
	if got := decode().Steps[job.StepKey{Occurrence: 1, Step: 2}].Started[3]; got != want {
		t.Errorf("start in the row: got %+v, want %+v", got, want)
	}
	if progress.ForgetStart(task, 65537) {
		t.Error("start of another run forgotten: got true, want false")
	}
	if !progress.ForgetStart(task, 65538) || progress.ForgetStart(task, 65538) {
		t.Error("start forgotten: got otherwise, want the first time only")
	}
	if got := decode().StartCount(); got != 0 {
		t.Errorf("starts in the row once forgotten: got %d, want 0", got)
	}
}
