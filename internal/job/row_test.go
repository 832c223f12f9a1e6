package job_test

import (
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
