package worker

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagedyke/lovagedyke/internal/duration"
	api "github.com/lovagedyke/lovagedyke/internal/worker"
)

// maxTasks limits the number of tasks that a worker keeps.
const maxTasks = 100_000

// Result is the JSON result of a completed task.
type Result struct {
	Worker string `json:"worker"`
	Task   string `json:"task"`
	Bytes  int    `json:"body-bytes"`
	Hash   uint64 `json:"body-hash,string"`
}

// runner simulates tasks under leases. Its methods get the current time as an
// argument.
type runner struct {
	cfg    Config
	faults Faults
	epochs map[string]uint64
	tasks  map[string]*task
	report api.Report
}

// newRunner returns a runner without tasks.
func newRunner(cfg Config) *runner {
	return &runner{cfg: cfg, epochs: make(map[string]uint64), tasks: make(map[string]*task)}
}

// refusal is the reason why a call was refused, or empty.
type refusal string

// checkEpoch refuses calls with an older epoch than the latest one of their shard.
func (r *runner) checkEpoch(shard string, epoch uint64) refusal {
	if epoch < r.epochs[shard] {
		return api.ReasonStaleEpoch
	}
	r.epochs[shard] = epoch
	return ""
}

// start starts the task. If its id is already known, it only returns the status.
func (r *runner) start(now time.Time, start api.Start) (api.Status, refusal) {
	if start.Incarnation != "" && start.Incarnation != r.cfg.Incarnation {
		return api.Status{}, api.ReasonOtherIncarnation
	}
	if start.Shard == "" {
		start.Shard = start.Queue
	}
	if refused := r.checkEpoch(start.Shard, start.Epoch); refused != "" {
		return api.Status{}, refused
	}
	r.advance(now)
	if existing, ok := r.tasks[start.ID]; ok {
		return r.status(now, existing), ""
	}
	if !fits(start.Resources, r.cfg.Capacity) || len(r.tasks) >= maxTasks {
		return api.Status{}, api.ReasonDoesNotFit
	}
	started := &task{start: start, workload: readWorkload(start), state: api.Running, ran: true, rate: 1, startedAt: now}
	started.updatedAt = now.Add(r.faults.SlowStart.Duration)
	started.leaseEnd = now.Add(start.Lease.Duration)
	var resumed duration.Text
	if resumed.UnmarshalText(start.Checkpoint) == nil {
		started.progress = resumed.Duration
	}
	r.tasks[start.ID] = started
	if r.faults.FailEverything {
		started.finish(api.Failed, now, "worker-fails-everything")
	}
	if r.totalUsage().Memory > r.cfg.Capacity.Memory {
		started.finish(api.Failed, now, api.ReasonOutOfMemory)
	}
	return r.status(now, started), ""
}

// execute executes an order on a task.
func (r *runner) execute(now time.Time, id, action string, order api.Order) (api.Status, refusal) {
	if refused := r.checkEpoch(order.Shard, order.Epoch); refused != "" {
		return api.Status{}, refused
	}
	r.advance(now)
	t, ok := r.tasks[id]
	switch {
	case !ok && action != api.StopAction:
		return api.Status{}, api.ReasonNoTask
	case !ok:
		// A start with this id that arrives later will not run.
		t = &task{start: api.Start{ID: id, Epoch: order.Epoch}, state: api.Stopped, endedAt: now}
		r.tasks[id] = t
	case t.state == api.Running:
		t.apply(now, action, order)
	}
	return r.status(now, t), ""
}

// apply applies an order to a running task.
func (t *task) apply(now time.Time, action string, order api.Order) {
	t.start.Epoch = order.Epoch
	switch action {
	case api.RenewAction:
		t.leaseEnd = now.Add(order.Lease.Duration)
	case api.StopAction:
		t.finish(api.Stopped, now, "stopped")
	case api.CheckpointAction:
		t.finish(api.Checkpointed, now, "checkpointed")
	case api.ThrottleAction:
		t.rate = max(0, min(order.Rate, 1))
	}
}

// renew extends the leases of the listed tasks that are running.
func (r *runner) renew(now time.Time, renewal api.Renewal) (api.RenewalReport, refusal) {
	if refused := r.checkEpoch(renewal.Shard, renewal.Epoch); refused != "" {
		return api.RenewalReport{}, refused
	}
	r.advance(now)
	renewed := api.RenewalReport{Incarnation: r.cfg.Incarnation, Tasks: []api.Status{}}
	order := api.Order{Epoch: renewal.Epoch, Lease: renewal.Lease}
	for _, id := range renewal.IDs {
		t, ok := r.tasks[id]
		if !ok {
			continue
		}
		if t.state == api.Running {
			t.apply(now, api.RenewAction, order)
		}
		renewed.Tasks = append(renewed.Tasks, r.status(now, t))
	}
	return renewed, ""
}

// lookUp returns a task's status.
func (r *runner) lookUp(now time.Time, id string) (api.Status, refusal) {
	r.advance(now)
	t, ok := r.tasks[id]
	if !ok {
		return api.Status{}, api.ReasonNoTask
	}
	return r.status(now, t), ""
}

// laggedReport returns a report that may be as old as the usage lag.
func (r *runner) laggedReport(now time.Time) api.Report {
	if !r.report.At.IsZero() && now.Sub(r.report.At) < r.cfg.UsageLag {
		return r.report
	}
	r.advance(now)
	r.report = api.Report{Worker: r.cfg.Name, Incarnation: r.cfg.Incarnation, At: now, Capacity: r.cfg.Capacity}
	for _, t := range r.tasks {
		status := r.status(now, t)
		status.Result = nil
		r.report.Tasks = append(r.report.Tasks, status)
	}
	slices.SortFunc(r.report.Tasks, func(a, b api.Status) int { return strings.Compare(a.ID, b.ID) })
	return r.report
}

// advance updates all tasks to the present.
func (r *runner) advance(now time.Time) {
	for _, t := range r.tasks {
		t.advance(now)
	}
}

// totalUsage returns the resources that all running tasks use.
func (r *runner) totalUsage() api.Resources {
	var sum api.Resources
	for _, t := range r.tasks {
		usage := t.usage()
		sum.CPUs += usage.CPUs
		sum.Memory += usage.Memory
		sum.Accelerators += usage.Accelerators
	}
	return sum
}

// status returns the status of a task.
func (r *runner) status(now time.Time, t *task) api.Status {
	status := api.Status{
		ID:          t.start.ID,
		Incarnation: r.cfg.Incarnation,
		State:       t.state,
		Ran:         t.ran,
		Epoch:       t.start.Epoch,
		Reason:      t.reason,
		Usage:       t.usage(),
	}
	if t.ran {
		status.Age = duration.New(now.Sub(t.startedAt))
	}
	switch t.state {
	case api.Done:
		status.Result = r.result(t)
	case api.Checkpointed:
		status.Checkpoint = t.checkpoint()
	}
	return status
}

// result returns the result of a completed task.
func (r *runner) result(t *task) []byte {
	data, err := json.Marshal(Result{
		Worker: r.cfg.Name,
		Task:   t.start.Task,
		Bytes:  len(t.start.Body),
		Hash:   xxhash.Sum64(t.start.Body),
	})
	if err != nil {
		panic(err)
	}
	return data
}

// fits reports whether the requested resources fit into the capacity.
func fits(requested, capacity api.Resources) bool {
	return requested.CPUs <= capacity.CPUs && requested.Memory <= capacity.Memory && requested.Accelerators <= capacity.Accelerators
}
