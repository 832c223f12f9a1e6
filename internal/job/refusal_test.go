package job_test

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

// Guards against a refusal that is taken for a job, or a job for a refusal: the one
// would run, and the other would not.
func TestIsRefusal(t *testing.T) {
	const mark = `{"refused-at":`
	refused := &job.Submission{ID: "5c0e7a21d94b36f8", Spec: mark, Steps: []job.Step{{Count: 1}}}
	tests := map[string]struct {
		row  []byte
		want bool
	}{
		"refusal":                  {job.EncodeRefusal(job.Refusal{RefusedAt: time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)}), true},
		"job":                      {job.EncodeSubmission(refused, job.RowJSON), false},
		"compressed job":           {job.EncodeSubmission(refused, job.RowDeflated), false},
		"job of the newest format": {job.EncodeSubmission(refused, job.NewestRowFormat), false},
		"empty":                    {nil, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := job.IsRefusal(test.row); got != test.want {
				t.Errorf("refusal: got %t, want %t", got, test.want)
			}
			if _, err := job.DecodeSubmission(test.row); (err != nil) != (test.want || test.row == nil) {
				t.Errorf("decoded as a job: got error %v, want one only of a refusal", err)
			}
		})
	}
}

func TestReturnedIsStored(t *testing.T) {
	row := job.EncodeSubmission(&job.Submission{ID: "5c0e7a21d94b36f8", Returned: true, Steps: []job.Step{{Count: 1}}}, job.NewestRowFormat)
	if got, err := job.DecodeSubmission(row); err != nil || !got.Returned {
		t.Errorf("returned: got %+v (%v), want true", got, err)
	}
}
