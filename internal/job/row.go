package job

import (
	"compress/flate"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/deflate"
)

// RowFormat numbers the forms of a job's row.
type RowFormat int

// Forms of a job's row. A process reads all forms up to the newest that it knows.
const (
	// RowJSON rows are JSON objects.
	RowJSON RowFormat = 1
	// RowDeflated rows are the same, compressed, after a byte that no JSON starts with.
	// A new leader reads the rows of thousands of jobs, and a leader sends their specs
	// again and again.
	RowDeflated RowFormat = 2
	// RowRefusal says that a process knows rows of refusals. An earlier version takes one for
	// the job's row, and answers a repeated request with 200. Rows of jobs are RowDeflated.
	RowRefusal RowFormat = 3
	// RowCompactProgress says that a process knows compact rows of progress. Rows of jobs
	// are RowDeflated.
	RowCompactProgress RowFormat = 4
	// NewestRowFormat is the newest form that this version reads.
	NewestRowFormat = RowCompactProgress
)

// deflatedMark is the first byte of RowDeflated rows.
const deflatedMark = 0x02

// rowDictionary holds what most rows have in common. It is part of the format: other
// contents need a RowFormat of their own.
const rowDictionary = `,"checkpoint":true,"gang":true,"same-rack":true,"speculative":true,"lasting":true,"filler":true,` +
	`"max-per-endpoint":2,"may-miss":1,"requires":"","image":"","tail-target":,"times":,"interval":,"start":"20` +
	`{"id":"","queue":"r-","pool":"","max-attempts":3,"priority":1,"stretch":1.6,"target":600000000,"account":"","spec":"` +
	`","steps":[{"count":8,"resources":{"cpu":1000,"memory":4096},"estimate":500000000},` +
	`{"count":16,"resources":{"cpu":2000,"memory":4096,"gpu":1},"estimate":1000000000,"after":[0]}],"accepted":"2026-`

var rowCodec = deflate.New(deflate.Config{Level: flate.DefaultCompression, Dictionary: rowDictionary})

// EncodeSubmission returns a job's row.
func EncodeSubmission(submission *Submission, format RowFormat) []byte {
	row, _ := encodeSubmission(submission, format)
	return row
}

// EncodeSubmissionWithin is like EncodeSubmission. It returns false if the row has more than
// maxBytes, or is one that no process decodes.
func EncodeSubmissionWithin(submission *Submission, format RowFormat, maxBytes int) ([]byte, bool) {
	row, plainBytes := encodeSubmission(submission, format)
	return row, len(row) <= maxBytes && plainBytes <= maxSubmissionBytes
}

// encodeSubmission returns a job's row, and its size before compression.
func encodeSubmission(submission *Submission, format RowFormat) (row []byte, plainBytes int) {
	encoded, err := json.Marshal(submission)
	if err != nil {
		// Cannot happen: a submission holds only plain fields.
		panic(err)
	}
	if format < RowDeflated {
		return encoded, len(encoded)
	}
	return rowCodec.Append([]byte{deflatedMark}, encoded), len(encoded)
}

// maxSubmissionBytes bounds what a row may decompress to.
const maxSubmissionBytes = 1 << 20

// inflate returns a row's JSON.
func inflate(row []byte) ([]byte, error) {
	if len(row) == 0 || row[0] != deflatedMark {
		return row, nil
	}
	data, err := rowCodec.Inflate(row[1:], maxSubmissionBytes)
	return data, errors.Wrap(err, "job row")
}

// DecodeSubmission decodes and validates a job's row, in any form.
func DecodeSubmission(row []byte) (*Submission, error) {
	data, err := inflate(row)
	if err != nil {
		return nil, err
	}
	var submission Submission
	if err := json.Unmarshal(data, &submission); err != nil {
		return nil, errors.Wrap(err, "decode job")
	}
	if problem := submission.Validate(); problem != "" {
		return nil, errors.Newf("job row: %s", problem)
	}
	return &submission, nil
}
