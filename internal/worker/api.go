package worker

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/duration"
)

// Paths of a worker's HTTP interface; a task's own paths are TasksPath/<id> and
// TasksPath/<id>/<action>.
const (
	TasksPath        = "/tasks"
	RenewPath        = "/renew"
	RenewAction      = "renew"
	StopAction       = "stop"
	CheckpointAction = "checkpoint"
	ThrottleAction   = "throttle"
)

// State is where a start stands at its worker.
type State string

// States of a start. All but Running have ended for good.
const (
	Running      State = "running"
	Done         State = "done"
	Failed       State = "failed"
	Stopped      State = "stopped"
	Checkpointed State = "checkpointed"
	Lapsed       State = "lapsed"
)

// Ended reports whether nothing of the start runs any more, or ever will.
func (s State) Ended() bool {
	return s != Running
}

// Resources are processors, bytes of memory and accelerators.
type Resources struct {
	CPUs         float64 `json:"cpus"`
	Memory       int64   `json:"memory"`
	Accelerators int     `json:"accelerators,omitempty"`
}

// Start asks a worker to run a task. A worker runs an id at most once.
type Start struct {
	ID    string `json:"id"`
	Task  string `json:"task,omitempty"`
	Queue string `json:"queue"`
	Team  string `json:"team"`
	// Shard is the scope of the epoch; the queue if empty.
	Shard string `json:"shard,omitempty"`
	// Incarnation, if set, is the only process of the worker that may take it.
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

// Renewal extends the leases of the named running tasks, in one call.
type Renewal struct {
	Shard string        `json:"shard"`
	Epoch uint64        `json:"epoch"`
	Lease duration.Text `json:"lease"`
	IDs   []string      `json:"ids"`
}

// Renewed answers a Renewal: the present status of each task that is known.
type RenewalReport struct {
	Incarnation string   `json:"incarnation"`
	Tasks       []Status `json:"tasks"`
}

// Status is the state of one start. Ran is false for a start that was stopped
// before it arrived: it never ran and never will.
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

// Report is a worker's lagging account of its tasks and their usage.
type Report struct {
	Worker      string    `json:"worker"`
	Incarnation string    `json:"incarnation"`
	At          time.Time `json:"at"`
	Capacity    Resources `json:"capacity"`
	Tasks       []Status  `json:"tasks"`
}

// Refusal is the body of an answer that refuses a call.
type Refusal struct {
	Reason string `json:"reason"`
}

// ReasonOutOfMemory is the reason of a start that failed for want of memory.
const ReasonOutOfMemory = "out-of-memory"

// Reasons of a Refusal.
const (
	ReasonStaleEpoch       = "stale-epoch"
	ReasonOtherIncarnation = "other-incarnation"
	ReasonDoesNotFit       = "does-not-fit"
	ReasonNoTask           = "no-such-task"
)
