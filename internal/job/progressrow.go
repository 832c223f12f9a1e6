package job

import (
	"cmp"
	"compress/flate"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/deflate"
)

// progressRow is the JSON form of Progress.
type progressRow struct {
	State State     `json:"state"`
	Ended time.Time `json:"ended,omitzero"`
	// Closed lists the closed steps in compact rows. Others have an entry of Steps for each
	// occurrence of them.
	Closed []closedRow `json:"closed,omitempty"`
	Steps  []stepRow   `json:"steps,omitempty"`
}

// closedRow is the JSON form of the occurrences in which a step is closed.
type closedRow struct {
	Step  int `json:"step"`
	Tasks int `json:"tasks"`
	// Occurrences holds the first and the last occurrence of each range.
	Occurrences []int `json:"occurrences"`
}

// stepRow is the JSON form of one step's progress.
type stepRow struct {
	Occurrence int `json:"occurrence"`
	Step       int `json:"step"`
	StepProgress
}

const (
	// compactMark is the first byte of compact rows, which no JSON starts with.
	compactMark = 0x03
	// maxPlainSteps and maxPlainBytes bound the rows that are written as plain JSON.
	maxPlainSteps = 64
	maxPlainBytes = 4 << 10
	// minStepRowBytes is the least that a step takes in a plain row.
	minStepRowBytes = len(`{"occurrence":0,"step":0},`)
	// maxProgressBytes bounds what a compact row may decompress to.
	maxProgressBytes = 8 << 20
)

// compactCodec compresses compact rows. They change several times a second while a large
// job runs.
var compactCodec = deflate.New(deflate.Config{Level: flate.BestSpeed})

// EncodeProgress returns a job's progress row and its size in bytes. If that is above maxBytes,
// the row may be nil. Only rows of jobs with much progress are compact: earlier versions read
// the others. Of a job that has ended, a row holds only the state and the time of the end.
func EncodeProgress(p *Progress, format RowFormat, maxBytes int) (row []byte, size int) {
	if p.State.Final() {
		row = marshalRow(progressRow{State: p.State, Ended: p.Ended})
		return row, len(row)
	}
	stepCount := p.plainStepCount()
	mayBeCompact := format >= RowCompactProgress
	if !mayBeCompact && stepCount*minStepRowBytes > maxBytes {
		return nil, stepCount * minStepRowBytes
	}
	if !mayBeCompact || stepCount <= maxPlainSteps {
		row = marshalRow(p.plainRow())
		if !mayBeCompact || len(row) <= maxPlainBytes {
			return row, len(row)
		}
	}
	row = compactCodec.Append([]byte{compactMark}, marshalRow(p.compactRow()))
	return row, len(row)
}

func marshalRow(row progressRow) []byte {
	encoded, err := json.Marshal(row)
	if err != nil {
		// Cannot happen: a row holds only numbers, strings and byte slices.
		panic(err)
	}
	return encoded
}

// plainStepCount returns the number of steps in the plain row.
func (p *Progress) plainStepCount() int {
	count := len(p.Steps)
	for _, closed := range p.closed {
		count += closed.occurrences.count()
	}
	return count
}

// plainRow returns the form that all versions read.
func (p *Progress) plainRow() progressRow {
	row := progressRow{State: p.State, Steps: p.openRows()}
	for number, closed := range p.closed {
		done := allDone(closed.tasks)
		for _, r := range closed.occurrences {
			for occurrence := r.first; occurrence <= r.last; occurrence++ {
				row.Steps = append(row.Steps, stepRow{Occurrence: occurrence, Step: number, StepProgress: StepProgress{Done: done, DoneCount: closed.tasks}})
			}
		}
	}
	return row
}

// allDone returns the bitmap of a step of which all tasks have completed.
func allDone(tasks int) []byte {
	done := make([]byte, (tasks+7)/8)
	for index := range tasks {
		done[index/8] |= 1 << (index % 8)
	}
	return done
}

// compactRow returns the form that grows only with the open steps.
func (p *Progress) compactRow() progressRow {
	row := progressRow{State: p.State, Steps: p.openRows()}
	for number, closed := range p.closed {
		row.Closed = append(row.Closed, closedRow{Step: number, Tasks: closed.tasks, Occurrences: closed.occurrences.bounds()})
	}
	slices.SortFunc(row.Closed, func(a, b closedRow) int { return cmp.Compare(a.Step, b.Step) })
	return row
}

// openRows returns the open steps, in order: similar ones compress better beside each other.
func (p *Progress) openRows() []stepRow {
	var rows []stepRow
	for key, step := range p.Steps {
		rows = append(rows, stepRow{Occurrence: key.Occurrence, Step: key.Step, StepProgress: *step})
	}
	slices.SortFunc(rows, func(a, b stepRow) int {
		return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step))
	})
	return rows
}

// DecodeProgress decodes a job's progress row, in any form.
func DecodeProgress(s *Submission, row []byte) (*Progress, error) {
	decoded, err := decodeProgressRow(row)
	if err != nil {
		return nil, err
	}
	p := NewProgress()
	if err := p.setRow(decoded); err != nil {
		return nil, err
	}
	p.closeSteps(s)
	return p, nil
}

// DecodeState decodes the state in a job's progress row, in any form.
func DecodeState(row []byte) (State, error) {
	decoded, err := decodeProgressRow(row)
	return decoded.State, err
}

// decodeProgressRow decodes the JSON in a row.
func decodeProgressRow(row []byte) (progressRow, error) {
	if len(row) > 0 && row[0] == compactMark {
		data, err := compactCodec.Inflate(row[1:], maxProgressBytes)
		if err != nil {
			return progressRow{}, errors.Wrap(err, "progress row")
		}
		row = data
	}
	var decoded progressRow
	err := json.Unmarshal(row, &decoded)
	return decoded, errors.Wrap(err, "decode progress")
}

// setRow sets the progress to that of a row.
func (p *Progress) setRow(row progressRow) error {
	p.State, p.Ended = row.State, row.Ended
	p.Steps, p.closed = map[StepKey]*StepProgress{}, map[int]closedStep{}
	p.startCount, p.startNameBytes, p.crashCount = 0, 0, 0
	p.unansweredCount, p.unansweredNameBytes = 0, 0
	for _, closed := range row.Closed {
		occurrences, err := newOccurrenceSet(closed.Occurrences)
		if err != nil || closed.Step < 0 || closed.Tasks <= 0 {
			return errors.CombineErrors(errors.Newf("cannot decode progress: invalid closed step %d of %d tasks", closed.Step, closed.Tasks), err)
		}
		p.closed[closed.Step] = closedStep{tasks: closed.Tasks, occurrences: occurrences}
	}
	for _, step := range row.Steps {
		if step.Occurrence < 0 || step.Step < 0 {
			return errors.Newf("cannot decode progress: invalid step %d of occurrence %d", step.Step, step.Occurrence)
		}
		p.Steps[StepKey{step.Occurrence, step.Step}] = &step.StepProgress
		p.crashCount += len(step.Crashes)
		for _, started := range step.Started {
			p.startCount++
			p.startNameBytes += started.nameBytes()
		}
		for _, starts := range step.Unanswered {
			for _, start := range starts {
				p.countUnanswered(start, 1)
			}
		}
	}
	return nil
}

// MarshalJSON implements json.Marshaler, with the form that all versions read.
func (p *Progress) MarshalJSON() ([]byte, error) {
	return json.Marshal(p.plainRow())
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *Progress) UnmarshalJSON(data []byte) error {
	decoded, err := decodeProgressRow(data)
	if err != nil {
		return err
	}
	return p.setRow(decoded)
}
