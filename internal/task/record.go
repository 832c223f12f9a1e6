package task

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/duration"
	"github.com/lovagedyke/lovagedyke/internal/place"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// State is a task's lifecycle state.
type State string

// States of a task. The last four are final.
const (
	Submitted State = "submitted"
	Placed    State = "placed"
	Running   State = "running"
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
	GivenUp   State = "given-up"
)

// Final reports whether the task has ended.
func (s State) Final() bool {
	switch s {
	case Done, Failed, Cancelled, GivenUp:
		return true
	}
	return false
}

// Ran tells whether any attempt of a task was started.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Reasons for final states and refusals.
const (
	ReasonCancelled        = "cancelled"
	ReasonOutcomeUnknown   = "outcome-unknown"
	ReasonTooManyFailures  = "too-many-failures"
	ReasonFitsNoWorker     = "fits-no-worker"
	ReasonNoWorkers        = "no-workers"
	ReasonEvacuated        = "evacuated"
	ReasonQueueFull        = "queue-full"
	ReasonBodyTooLarge     = "body-too-large"
	ReasonNoSuchTask       = "no-such-task"
	ReasonTableUnavailable = "table-unavailable"
	ReasonManagerMoved     = "manager-moved"
	ReasonOtherSpec        = "id-reused-for-another-task"
	ReasonWorkerLost       = "worker-lost"
	ReasonLeaseLapsed      = "lease-lapsed"
	ReasonOutOfMemory      = "out-of-memory"
	ReasonDoesNotFit       = "does-not-fit"
)

// Spec is a task as it was submitted.
type Spec struct {
	ID    string      `json:"id"`
	Queue string      `json:"queue"`
	Team  string      `json:"team"`
	Class place.Class `json:"class"`
	// Once marks a task that must not be repeated.
	Once    bool          `json:"once,omitempty"`
	Size    place.Size    `json:"size"`
	RunTime duration.Text `json:"run-time,omitzero"`
	Body    []byte        `json:"body,omitempty"`
	// BodyObject names the object that holds a large body.
	BodyObject string `json:"body-object,omitempty"`
}

// digest returns a hash of the spec.
func (s Spec) digest() uint64 {
	return xxhash.Sum64(encode(s))
}

// Attempt is one execution of a task on one process of a worker.
type Attempt struct {
	Number      int       `json:"number"`
	Worker      string    `json:"worker"`
	Incarnation string    `json:"incarnation"`
	Epoch       uint64    `json:"epoch"`
	PlacedAt    time.Time `json:"at"`
}

// Failure is a failed attempt.
type Failure struct {
	Worker string `json:"worker"`
	Reason string `json:"reason"`
}

// Stamp uniquely identifies a write of a task's row.
type Stamp struct {
	Epoch uint64 `json:"epoch"`
	Write uint64 `json:"write"`
}

// Record is the value of a task's row.
type Record struct {
	Spec
	Submitted time.Time `json:"submitted"`
	State     State     `json:"state"`
	// Cancel is set once a cancellation has been accepted.
	Cancel   bool      `json:"cancel,omitempty"`
	Ran      Ran       `json:"ran"`
	Attempts int       `json:"attempts"`
	Attempt  *Attempt  `json:"attempt,omitempty"`
	Failures []Failure `json:"failures,omitempty"`
	// Checkpoint is the state that the next attempt resumes from.
	Checkpoint   []byte    `json:"checkpoint,omitempty"`
	Result       []byte    `json:"result,omitempty"`
	ResultObject string    `json:"result-object,omitempty"`
	Reason       string    `json:"reason,omitempty"`
	Changed      time.Time `json:"changed"`
	Stamp        Stamp     `json:"stamp"`
}

// StartID returns the ID of the attempt's start request, or "" without an
// attempt.
func (r Record) StartID() string {
	if r.Attempt == nil {
		return ""
	}
	return r.Name() + "." + strconv.Itoa(r.Attempt.Number)
}

// Name returns the task's name, which is unique across queues.
func (r Record) Name() string {
	return r.Queue + "/" + r.ID
}

// Prefix returns the key prefix of a queue's rows.
func Prefix(queue string) string {
	return "task/" + queue + "/"
}

// Key returns the key of a task's row.
func Key(queue, id string) string {
	return Prefix(queue) + id
}

// Decode decodes a task's row. It fails if the state is unknown, or if it requires
// an attempt and the record has none.
func Decode(row table.Row) (Record, error) {
	var record Record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return Record{}, errors.Wrapf(err, "row %q is not a task", row.Key)
	}
	placed := record.State == Placed || record.State == Running
	if placed && record.Attempt == nil || !placed && record.State != Submitted && !record.State.Final() {
		return Record{}, errors.Newf("row %q holds a task in state %q, which is unknown or lacks its attempt", row.Key, record.State)
	}
	return record, nil
}

// encode returns the JSON encoding of a value whose type always encodes.
func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
