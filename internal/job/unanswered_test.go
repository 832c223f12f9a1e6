package job_test

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

// Guards against a start without an answer that a takeover forgets, and against one that outlives its task.
func TestUnansweredStartsInProgressRow(t *testing.T) {
	submission := &job.Submission{ID: testID, Steps: []job.Step{{Count: 2}}}
	task, other := job.Task{Job: testID}, job.Task{Job: testID, Index: 1}
	sentAt := time.Date(2026, 12, 6, 6, 0, 0, 1000000, time.UTC)
	record := func(p *job.Progress) {
		for run := range int64(2) {
			p.RecordUnanswered(task, job.UnansweredStart{Run: run + 1, Endpoint: "i-1", SentAt: sentAt})
		}
		p.RecordUnanswered(other, job.UnansweredStart{Run: 3, Endpoint: "i-2", SentAt: sentAt})
	}
	cases := map[string]struct {
		happen func(p *job.Progress)
		// want and wantOther are the runs of the two tasks that stay recorded.
		want, wantOther int
	}{
		"recorded":                 {func(*job.Progress) {}, 2, 1},
		"recorded twice":           {record, 2, 1},
		"one of two answered":      {func(p *job.Progress) { p.ForgetUnanswered(task, 1) }, 1, 1},
		"another run answered":     {func(p *job.Progress) { p.ForgetUnanswered(task, 7) }, 2, 1},
		"all of a task answered":   {func(p *job.Progress) { p.ForgetUnanswered(other, 3) }, 2, 0},
		"task done":                {func(p *job.Progress) { p.MarkDone(task) }, 0, 1},
		"task done, then recorded": {func(p *job.Progress) { p.MarkDone(task); record(p) }, 0, 1},
		"step closed": {func(p *job.Progress) {
			p.MarkDone(task)
			p.MarkDone(other)
			p.CloseStep(submission, task.StepKey())
			record(p)
		}, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			progress := job.NewProgress()
			record(progress)
			c.happen(progress)
			row, _ := job.EncodeProgress(progress, job.NewestRowFormat, storeRowBytes)
			decoded, err := job.DecodeProgress(submission, row)
			if err != nil {
				t.Fatal(err)
			}
			if got := len(decoded.Unanswered(task)); got != c.want {
				t.Errorf("starts of the task: got %d, want %d", got, c.want)
			}
			if got := len(decoded.Unanswered(other)); got != c.wantOther {
				t.Errorf("starts of the other task: got %d, want %d", got, c.wantOther)
			}
			for _, start := range decoded.Unanswered(task) {
				if !start.SentAt.Equal(sentAt) || start.Endpoint != "i-1" {
					t.Errorf("start in the row: got %+v, want it as recorded", start)
				}
			}
		})
	}
}
