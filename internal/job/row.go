package job

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// progressRow is the JSON form of Progress.
type progressRow struct {
	State State     `json:"state"`
	Steps []stepRow `json:"steps,omitempty"`
}

// stepRow is the JSON form of one step's progress.
type stepRow struct {
	Occurrence int `json:"occurrence"`
	Step       int `json:"step"`
	StepProgress
}

// MarshalJSON implements json.Marshaler.
func (p *Progress) MarshalJSON() ([]byte, error) {
	row := progressRow{State: p.State}
	for key, step := range p.Steps {
		row.Steps = append(row.Steps, stepRow{Occurrence: key.Occurrence, Step: key.Step, StepProgress: *step})
	}
	return json.Marshal(row)
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *Progress) UnmarshalJSON(data []byte) error {
	var row progressRow
	if err := json.Unmarshal(data, &row); err != nil {
		return errors.Wrap(err, "decode progress")
	}
	p.State = row.State
	p.Steps = map[StepKey]*StepProgress{}
	for _, step := range row.Steps {
		if step.Occurrence < 0 || step.Step < 0 {
			return errors.Newf("cannot decode progress: invalid step %d of occurrence %d", step.Step, step.Occurrence)
		}
		p.Steps[StepKey{step.Occurrence, step.Step}] = &step.StepProgress
	}
	return nil
}

// DecodeSubmission decodes and validates a job's row.
func DecodeSubmission(data []byte) (*Submission, error) {
	var submission Submission
	if err := json.Unmarshal(data, &submission); err != nil {
		return nil, errors.Wrap(err, "decode job")
	}
	if problem := submission.Validate(); problem != "" {
		return nil, errors.Newf("job row: %s", problem)
	}
	return &submission, nil
}
