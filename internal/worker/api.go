package worker

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/duration"
)

// Paths and actions of a worker's HTTP interface. The paths of a task are
// TasksPath/<id> and TasksPath/<id>/<action>.
const (
	TasksPath        = "/tasks"
	RenewPath        = "/renew"
	RenewAction      = "renew"
	StopAction       = "stop"
	CheckpointAction = "checkpoint"
	ThrottleAction   = "throttle"
)

// State is the state of a start at its worker.
type State string

// States of a start. All but Running are final.
const (
	Running      State = "running"
	Done         State = "done"
	Failed       State = "failed"
	Stopped      State = "stopped"
	Checkpointed State = "checkpointed"
	Lapsed       State = "lapsed"
)

// Ended reports whether the start no longer runs and never will again.
func (s State) Ended() bool {
	return s != Running
}

// Resources is a number of processors, of bytes of memory and of accelerators.
type Resources struct {
	CPUs         float64 `json:"cpus"`
	Memory       int64   `json:"memory"`
	Accelerators int     `json:"accelerators,omitempty"`
}

// Start is a request to run a task. A worker runs a task of a given id at most
// once.
type Start struct {
	ID    string `json:"id"`
	Task  string `json:"task,omitempty"`
	Queue string `json:"queue"`
	Team  string `json:"team"`
	// Shard is the scope of the epoch. The default is Queue.
	Shard string `json:"shard,omitempty"`
	// Incarnation, if set, is the only incarnation of the worker that may accept
	// the start.
	Incarnation string        `json:"incarnation,omitempty"`
	Lease       duration.Text `json:"lease"`
	Epoch       uint64        `json:"epoch"`
	RunTime     duration.Text `json:"run-time,omitzero"`
	Resources
	Body       []byte `json:"body,omitempty"`
	Checkpoint []byte `json:"checkpoint,omitempty"`
}

// Order is the body of an action on a task.
type Order struct {
	Shard string        `json:"shard"`
	Epoch uint64        `json:"epoch"`
	Lease duration.Text `json:"lease,omitzero"`
	Rate  float64       `json:"rate,omitempty"`
}

// Renewal renews the leases of several running tasks in one call.
type Renewal struct {
	Shard string        `json:"shard"`
	Epoch uint64        `json:"epoch"`
	Lease duration.Text `json:"lease"`
	IDs   []string      `json:"ids"`
}

// RenewalReport is the response to a Renewal: the current status of each task that
// the worker knows.
type RenewalReport struct {
	Incarnation string   `json:"incarnation"`
	Tasks       []Status `json:"tasks"`
}

// Status is the status of one start. Ran is false if the start was stopped before
// it arrived, so that it has never run and never will.
type Status struct {
	ID          string        `json:"id"`
	Incarnation string        `json:"incarnation"`
	State       State         `json:"state"`
	Ran         bool          `json:"ran"`
	Epoch       uint64        `json:"epoch"`
	Reason      string        `json:"reason,omitempty"`
	Result      []byte        `json:"result,omitempty"`
	Checkpoint  []byte        `json:"checkpoint,omitempty"`
	Age         duration.Text `json:"age,omitzero"`
	Usage       Resources     `json:"usage"`
}

// Report is a worker's report on its tasks and their usage. It may be out of date.
type Report struct {
	Worker      string    `json:"worker"`
	Incarnation string    `json:"incarnation"`
	At          time.Time `json:"at"`
	Capacity    Resources `json:"capacity"`
	Tasks       []Status  `json:"tasks"`
}

// Refusal is the body of a response that refuses a call.
type Refusal struct {
	Reason string `json:"reason"`
}

// ReasonOutOfMemory is the reason in the Status of a task that failed because it
// ran out of memory.
const ReasonOutOfMemory = "out-of-memory"

// Reasons of a Refusal.
const (
	ReasonStaleEpoch       = "stale-epoch"
	ReasonOtherIncarnation = "other-incarnation"
	ReasonDoesNotFit       = "does-not-fit"
	ReasonNoTask           = "no-such-task"
)
