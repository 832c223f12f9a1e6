package job_test

import (
	"encoding/json"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

const testID = "5c0e7a21d94b36f8"

func TestIDs(t *testing.T) {
	cases := map[string]struct {
		id   string
		want bool
	}{
		"lower case": {testID, true},
		"upper case": {strings.ToUpper(testID), true},
		"too short":  {testID[1:], false},
		"too long":   {testID + "0", false},
		"not hex":    {"5c0e7a21d94b36fg", false},
		"empty":      {"", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := job.ID(c.id).Valid(); got != c.want {
				t.Errorf("valid: got %t, want %t", got, c.want)
			}
		})
	}
}

func TestValidate(t *testing.T) {
	valid := func() *job.Submission {
		return &job.Submission{ID: testID, Steps: []job.Step{{Count: 1}, {Count: 2, After: []int{0}}}}
	}
	cases := map[string]struct {
		change func(s *job.Submission)
		want   string
	}{
		"valid":            {func(*job.Submission) {}, ""},
		"ID":               {func(s *job.Submission) { s.ID = "x" }, "ID"},
		"spec too long":    {func(s *job.Submission) { s.Spec = strings.Repeat("x", job.MaxSpec+1) }, "spec"},
		"no steps":         {func(s *job.Submission) { s.Steps = nil }, "steps"},
		"no tasks":         {func(s *job.Submission) { s.Steps[0].Count = 0 }, "count"},
		"too many tasks":   {func(s *job.Submission) { s.Steps[0].Count = job.MaxTasks }, "tasks"},
		"after itself":     {func(s *job.Submission) { s.Steps[1].After = []int{1} }, "not an earlier step"},
		"after a later":    {func(s *job.Submission) { s.Steps[0].After = []int{1} }, "not an earlier step"},
		"after a missing":  {func(s *job.Submission) { s.Steps[1].After = []int{-1} }, "not an earlier step"},
		"negative memory":  {func(s *job.Submission) { s.Steps[0].Resources.Memory = -1 }, "negative"},
		"negative times":   {func(s *job.Submission) { s.Times = -1 }, "times"},
		"too many steps":   {func(s *job.Submission) { s.Steps = make([]job.Step, job.MaxSteps+1) }, "steps"},
		"a spec that fits": {func(s *job.Submission) { s.Spec = strings.Repeat("x", job.MaxSpec) }, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			submission := valid()
			c.change(submission)
			got := submission.Validate()
			if c.want == "" && got != "" || !strings.Contains(got, c.want) {
				t.Errorf("problem: got %q, want %q in it", got, c.want)
			}
		})
	}
}

// A job is complete exactly when all tasks of all occurrences have completed,
// in whatever order, and its row is still complete after a round trip.
func TestProgressProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		submission := &job.Submission{ID: testID, Times: rapid.IntRange(0, 3).Draw(t, "times")}
		for range rapid.IntRange(1, 4).Draw(t, "steps") {
			submission.Steps = append(submission.Steps, job.Step{Count: rapid.IntRange(1, 20).Draw(t, "count")})
		}
		progress := job.NewProgress()
		order := rapid.Permutation(allTasks(submission)).Draw(t, "order")
		for i, task := range order {
			if got := progress.AllDone(submission); got {
				t.Fatalf("complete after %d of %d tasks", i, len(order))
			}
			if !progress.MarkDone(task) {
				t.Fatalf("first completion of %v: got recorded before, want new", task)
			}
			if progress.MarkDone(task) {
				t.Fatalf("repeated completion of %v: got new, want recorded before", task)
			}
		}
		encoded, err := json.Marshal(progress)
		if err != nil {
			t.Fatal(err)
		}
		read := job.NewProgress()
		if err := json.Unmarshal(encoded, read); err != nil {
			t.Fatal(err)
		}
		if !read.AllDone(submission) {
			t.Fatalf("after a round trip: got not complete, want complete")
		}
	})
}

// allTasks lists the tasks of all occurrences.
func allTasks(submission *job.Submission) []job.Task {
	var all []job.Task
	for occurrence := range submission.Occurrences() {
		for step := range submission.Steps {
			for index := range submission.Steps[step].Count {
				all = append(all, job.Task{Job: testID, Occurrence: occurrence, Step: step, Index: index})
			}
		}
	}
	return all
}

func TestFailedRunsAreCountedOnce(t *testing.T) {
	progress := job.NewProgress()
	task := job.Task{Job: testID}
	if got, added := progress.MarkFailed(task, 1); got != 1 || !added {
		t.Errorf("first: got %d (%t), want 1 and new", got, added)
	}
	if got, added := progress.MarkFailed(task, 1); got != 1 || added {
		t.Errorf("repeated: got %d (%t), want 1 and not new", got, added)
	}
	if got, added := progress.MarkFailed(task, 2); got != 2 || !added {
		t.Errorf("second: got %d (%t), want 2 and new", got, added)
	}
}

func FuzzRows(f *testing.F) {
	f.Add([]byte(`{"state":"running","steps":[{"occurrence":0,"step":1,"done":"AQ==","done-count":1}]}`))
	f.Add([]byte(`{"id":"5c0e7a21d94b36f8","steps":[{"count":2,"after":[0]}]}`))
	f.Add([]byte(`{"steps":[{"step":-1}]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		progress := job.NewProgress()
		if err := json.Unmarshal(data, progress); err == nil {
			progress.IsDone(job.Task{Index: 1 << 20})
		}
		if submission, err := job.DecodeSubmission(data); err == nil {
			submission.Due(submission.Occurrences())
		}
	})
}
