package job_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

// storeRowBytes is the size of a row that the platform's store takes.
const storeRowBytes = 65536

// markDone records the completion of a task, and closes its step once that is done.
func markDone(p *job.Progress, s *job.Submission, task job.Task) {
	p.MarkDone(task)
	p.CloseStep(s, task.StepKey())
}

// markSome records the completions of the chosen tasks.
func markSome(p *job.Progress, s *job.Submission, isChosen func(job.Task) bool) {
	for _, task := range allTasks(s) {
		if isChosen(task) {
			markDone(p, s, task)
		}
	}
}

// Guards against progress that another process reads otherwise: whatever has ended, in whatever
// order and form of the row, the decoded progress says the same of each task.
func TestProgressRowsAreReadAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		submission := &job.Submission{ID: testID, Times: rapid.IntRange(0, 60).Draw(t, "times")}
		for range rapid.IntRange(1, 4).Draw(t, "steps") {
			submission.Steps = append(submission.Steps, job.Step{Count: rapid.IntRange(1, 10).Draw(t, "count")})
		}
		progress := drawProgress(t, submission)
		for _, format := range []job.RowFormat{job.RowRefusal, job.RowCompactProgress} {
			row, size := job.EncodeProgress(progress, format, storeRowBytes)
			if size != len(row) {
				t.Fatalf("size in form %d: got %d, want %d", format, size, len(row))
			}
			decoded, err := job.DecodeProgress(submission, row)
			if err != nil {
				t.Fatal(err)
			}
			if got, want := describe(decoded, submission), describe(progress, submission); got != want {
				t.Fatalf("progress in form %d: got %s, want %s", format, got, want)
			}
			if state, err := job.DecodeState(row); err != nil || state != progress.State {
				t.Fatalf("state in form %d: got %q and %v, want %q", format, state, err, progress.State)
			}
		}
	})
}

// drawProgress draws what has happened to the tasks of a job.
func drawProgress(t *rapid.T, submission *job.Submission) *job.Progress {
	progress := job.NewProgress()
	progress.State = job.Running
	for _, task := range rapid.SliceOf(rapid.SampledFrom(allTasks(submission))).Draw(t, "tasks") {
		switch rapid.IntRange(0, 4).Draw(t, "event") {
		case 0:
			progress.MarkFailed(task, rapid.Int64Range(1, 1<<20).Draw(t, "run"))
		case 1:
			progress.RecordStart(task, job.StartedRun{Run: 1, Endpoint: "i-1", Host: "h-1"})
		case 2:
			progress.RecordCrashes(task, job.Crashes{Total: rapid.IntRange(0, 2).Draw(t, "crashes")})
		case 3:
			progress.RecordUnanswered(task, job.UnansweredStart{Run: 1, Endpoint: "i-1", SentAt: time.UnixMilli(5000)})
		default:
			markDone(progress, submission, task)
		}
	}
	return progress
}

// describe lists what is recorded of a job.
func describe(p *job.Progress, submission *job.Submission) string {
	var out strings.Builder
	for _, task := range allTasks(submission) {
		_, _ = fmt.Fprintln(&out, task, p.IsDone(task), p.FailureCount(task), p.HasStart(task, 1), p.Unanswered(task))
	}
	_, _ = fmt.Fprintln(&out, p.StartCount(), p.StartNameBytes(), p.AllDone(submission), p.NextOpen(submission, 0))
	return out.String()
}

// Guards against a progress row that grows with all that has ended.
func TestProgressRowGrowsWithWhatIsOpen(t *testing.T) {
	const times = 20_000
	submission := &job.Submission{ID: testID, Times: times}
	for range 10 {
		submission.Steps = append(submission.Steps, job.Step{Count: 3})
	}
	progress := job.NewProgress()
	progress.State = job.Running
	markSome(progress, submission, func(task job.Task) bool { return task.Occurrence < times-5 })
	row, _ := job.EncodeProgress(progress, job.NewestRowFormat, storeRowBytes)
	if got, want := len(row), 1000; got > want {
		t.Errorf("row after %d occurrences: got %d bytes, want at most %d", times-5, got, want)
	}
	if _, size := job.EncodeProgress(progress, job.RowRefusal, storeRowBytes); size <= storeRowBytes {
		t.Errorf("size of a row that earlier versions read: got %d, want over %d", size, storeRowBytes)
	}
	if got := progress.NextOpen(submission, 0); got != times-5 {
		t.Errorf("first open occurrence: got %d, want %d", got, times-5)
	}
	progress.State = job.Complete
	if row, _ := job.EncodeProgress(progress, job.NewestRowFormat, storeRowBytes); string(row) != `{"state":"complete"}` {
		t.Errorf("row of a job that has ended: got %q, want its state alone", row)
	}
}

// Guards against records that take more of a row than the leader reserves for them: 8 bytes for a
// failed run, 16 and its bitmap in base64 for a step.
func TestSizeOfRecords(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	const tasks = 20_000
	wide := &job.Submission{ID: testID, Steps: []job.Step{{Count: tasks}}}
	many := &job.Submission{ID: testID, Times: 2000, Steps: []job.Step{{Count: 3}, {Count: 40}}}
	tests := map[string]struct {
		submission *job.Submission
		fill       func(p *job.Progress) (bound int)
	}{
		"failed runs": {wide, func(p *job.Progress) int {
			for _, index := range random.Perm(tasks)[:4000] {
				p.MarkFailed(job.Task{Job: testID, Index: index}, random.Int64N(100)<<16+random.Int64N(100))
			}
			return 4000 * 8
		}},
		"runs that failed again": {wide, func(p *job.Progress) int {
			for _, index := range random.Perm(tasks)[:2000] {
				run := random.Int64N(100) << 16
				for range 3 {
					run += 1 + random.Int64N(3)
					p.MarkFailed(job.Task{Job: testID, Index: index}, run)
				}
			}
			return 6000 * 8
		}},
		"completions of a wide step": {wide, func(p *job.Progress) int {
			for _, index := range random.Perm(tasks)[:tasks/2] {
				p.MarkDone(job.Task{Job: testID, Index: index})
			}
			return 16 + tasks/6
		}},
		"completions of many occurrences": {many, func(p *job.Progress) int {
			markSome(p, many, func(job.Task) bool { return random.IntN(2) == 0 })
			return 2000 * (16 + 16 + (3+40)/6)
		}},
		"closed steps with gaps": {many, func(p *job.Progress) int {
			markSome(p, many, func(task job.Task) bool { return task.Step == 0 && task.Occurrence%2 == 0 })
			return 2000 * 16 / 2
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			progress := job.NewProgress()
			// The row itself takes 100.
			bound := test.fill(progress) + 100
			row, size := job.EncodeProgress(progress, job.NewestRowFormat, 1<<20)
			if size > bound {
				t.Errorf("row: got %d bytes, want at most %d", size, bound)
			}
			t.Logf("%d bytes of %d", size, bound)
			if _, err := job.DecodeProgress(test.submission, row); err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against records of starts and crashes that alone fill a row.
func TestBoundedRecords(t *testing.T) {
	progress := job.NewProgress()
	recorded := 0
	for index := range 20_000 {
		if progress.RecordCrashes(job.Task{Job: testID, Index: index}, job.Crashes{Total: 1 + index%2, Alone: index % 3}) {
			recorded++
		}
	}
	if want := 1000; recorded != want {
		t.Errorf("tasks with recorded crashes: got %d, want %d", recorded, want)
	}
	for index := range 192 {
		name := fmt.Sprintf("%016x", rand.Uint64())
		progress.RecordStart(job.Task{Job: testID, Index: index}, job.StartedRun{
			Run: int64(index), Endpoint: name, Host: name, EndpointStart: time.UnixMilli(int64(index) * 77777),
		})
	}
	unanswered := 0
	for index := range 20_000 {
		start := job.UnansweredStart{Run: int64(index), Endpoint: fmt.Sprintf("%016x", rand.Uint64()), SentAt: time.UnixMilli(int64(index) * 77777)}
		if progress.RecordUnanswered(job.Task{Job: testID, Index: index}, start) {
			unanswered++
		}
	}
	if want := 64; unanswered != want {
		t.Errorf("recorded starts without an answer: got %d, want %d", unanswered, want)
	}
	if _, size := job.EncodeProgress(progress, job.NewestRowFormat, storeRowBytes); size > storeRowBytes*3/10 {
		t.Errorf("row with starts and crashes alone: got %d bytes, want at most %d", size, storeRowBytes*3/10)
	}
}

// Guards against a bound of listed failures that loses some of the count.
func TestFailuresBeyondTheListAreCounted(t *testing.T) {
	submission := &job.Submission{ID: testID, Steps: []job.Step{{Count: 1}}}
	progress := job.NewProgress()
	task := job.Task{Job: testID}
	for run := range int64(5000) {
		if got, added := progress.MarkFailed(task, run+1); got != int(run)+1 || !added {
			t.Fatalf("failure %d: got %d (%t), want it counted", run+1, got, added)
		}
	}
	if got, added := progress.MarkFailed(task, 5000); got != 5000 || added {
		t.Errorf("repeated report: got %d (%t), want 5000 and not new", got, added)
	}
	row, size := job.EncodeProgress(progress, job.NewestRowFormat, storeRowBytes)
	if size > 500 {
		t.Errorf("row: got %d bytes, want at most 500", size)
	}
	decoded, err := job.DecodeProgress(submission, row)
	if err != nil {
		t.Fatal(err)
	}
	if got := decoded.FailureCount(task); got != 5000 {
		t.Errorf("failures in the row: got %d, want 5000", got)
	}
}

// Guards against a row near the store's bound, as the former version wrote it, that is not read.
func TestRowsOfTheFormerVersionAreRead(t *testing.T) {
	submission := &job.Submission{ID: testID, Times: 300}
	for range 5 {
		submission.Steps = append(submission.Steps, job.Step{Count: 3})
	}
	type stepRow struct {
		Occurrence int              `json:"occurrence"`
		Step       int              `json:"step"`
		Done       []byte           `json:"done"`
		DoneCount  int              `json:"done-count"`
		FailedRuns map[int][]int64  `json:"failed-runs,omitempty"`
		Started    map[int]struct{} `json:"started,omitempty"`
	}
	var rows []stepRow
	for occurrence := range 230 {
		for step := range 5 {
			row := stepRow{Occurrence: occurrence, Step: step, Done: []byte{7}, DoneCount: 3}
			if occurrence == 229 {
				row.Done, row.DoneCount, row.FailedRuns = []byte{5}, 2, map[int][]int64{1: {65537}}
			}
			rows = append(rows, row)
		}
	}
	former, err := json.Marshal(map[string]any{"state": "running", "steps": rows})
	if err != nil {
		t.Fatal(err)
	}
	if len(former) < storeRowBytes*9/10 {
		t.Fatalf("row of the former version: got %d bytes, want nearly %d", len(former), storeRowBytes)
	}
	progress, err := job.DecodeProgress(submission, former)
	if err != nil {
		t.Fatal(err)
	}
	if got := progress.NextOpen(submission, 0); got != 229 {
		t.Errorf("first open occurrence: got %d, want 229", got)
	}
	if got := progress.FailureCount(job.Task{Job: testID, Occurrence: 229, Index: 1}); got != 1 {
		t.Errorf("failures: got %d, want 1", got)
	}
	if _, size := job.EncodeProgress(progress, job.NewestRowFormat, storeRowBytes); size > 2000 {
		t.Errorf("row of this version: got %d bytes, want at most 2000", size)
	}
}

func TestBadProgressRows(t *testing.T) {
	submission := &job.Submission{ID: testID, Steps: []job.Step{{Count: 2}}}
	progress := job.NewProgress()
	for index := range 2 {
		markDone(progress, submission, job.Task{Job: testID, Index: index})
	}
	large := &job.Submission{ID: testID, Times: 100, Steps: submission.Steps}
	for _, task := range allTasks(large) {
		markDone(progress, large, task)
	}
	compact, _ := job.EncodeProgress(progress, job.NewestRowFormat, storeRowBytes)
	tests := map[string][]byte{
		"empty":                   {},
		"of another type":         []byte(`[]`),
		"negative step":           []byte(`{"steps":[{"step":-1}]}`),
		"negative closed step":    []byte(`{"closed":[{"step":-1,"tasks":2,"occurrences":[0,1]}]}`),
		"closed without tasks":    []byte(`{"closed":[{"step":0,"occurrences":[0,1]}]}`),
		"half a range":            []byte(`{"closed":[{"step":0,"tasks":2,"occurrences":[0]}]}`),
		"ranges in another order": []byte(`{"closed":[{"step":0,"tasks":2,"occurrences":[5,6,0,1]}]}`),
		"a range that goes back":  []byte(`{"closed":[{"step":0,"tasks":2,"occurrences":[5,4]}]}`),
		"compact and cut off":     compact[:len(compact)/2],
		"compact without content": compact[:1],
	}
	for name, row := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := job.DecodeProgress(submission, row); err == nil {
				t.Error("decoded progress: got no error, want one")
			}
		})
	}
	if _, err := job.DecodeProgress(large, slices.Clone(compact)); err != nil {
		t.Errorf("whole row: got %v, want no error", err)
	}
}
