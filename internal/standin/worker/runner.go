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

// maxTasks bounds the starts that a worker remembers.
const maxTasks = 100_000

// Result is the body of a done task's result.
type Result struct {
	Worker string `json:"worker"`
	Task   string `json:"task"`
	Bytes  int    `json:"body-bytes"`
	Hash   uint64 `json:"body-hash,string"`
}

// runner runs tasks under leases. Its time is an argument.
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

// refusal is a reason for not doing what was asked; empty when it was done.
type refusal string

// admit checks a caller's epoch and remembers the greatest one of each shard.
func (r *runner) admit(shard string, epoch uint64) refusal {
	if epoch < r.epochs[shard] {
		return api.ReasonStaleEpoch
	}
	r.epochs[shard] = epoch
	return ""
}

// start runs the task unless its id is known; then the present status stands.
func (r *runner) start(now time.Time, start api.Start) (api.Status, refusal) {
	if start.Incarnation != "" && start.Incarnation != r.cfg.Incarnation {
		return api.Status{}, api.ReasonOtherIncarnation
	}
	if start.Shard == "" {
		start.Shard = start.Queue
	}
	if why := r.admit(start.Shard, start.Epoch); why != "" {
		return api.Status{}, why
	}
	r.advance(now)
	if known, ok := r.tasks[start.ID]; ok {
		return r.status(now, known), ""
	}
	if !within(start.Resources, r.cfg.Capacity) || len(r.tasks) >= maxTasks {
		return api.Status{}, api.ReasonDoesNotFit
	}
	started := &task{start: start, job: readJob(start), state: api.Running, ran: true, rate: 1, began: now}
	started.seen = now.Add(r.faults.SlowStart.Duration)
	started.lease = now.Add(start.Lease.Duration)
	var resumed duration.Text
	if resumed.UnmarshalText(start.Checkpoint) == nil {
		started.progress = resumed.Duration
	}
	r.tasks[start.ID] = started
	if r.faults.FailEverything {
		started.finish(api.Failed, now, "worker-fails-everything")
	}
	if r.used().Memory > r.cfg.Capacity.Memory {
		started.finish(api.Failed, now, api.ReasonOutOfMemory)
	}
	return r.status(now, started), ""
}

// act carries out an order on a task.
func (r *runner) act(now time.Time, id, action string, order api.Order) (api.Status, refusal) {
	if why := r.admit(order.Shard, order.Epoch); why != "" {
		return api.Status{}, why
	}
	r.advance(now)
	known, ok := r.tasks[id]
	switch {
	case !ok && action != api.StopAction:
		return api.Status{}, api.ReasonNoTask
	case !ok:
		// A start that is still on its way finds its id taken.
		known = &task{start: api.Start{ID: id, Epoch: order.Epoch}, state: api.Stopped, ended: now}
		r.tasks[id] = known
	case known.state == api.Running:
		known.obey(now, action, order)
	}
	return r.status(now, known), ""
}

// obey carries out an order on a running task.
func (t *task) obey(now time.Time, action string, order api.Order) {
	t.start.Epoch = order.Epoch
	switch action {
	case api.RenewAction:
		t.lease = now.Add(order.Lease.Duration)
	case api.StopAction:
		t.finish(api.Stopped, now, "stopped")
	case api.CheckpointAction:
		t.finish(api.Checkpointed, now, "checkpointed")
	case api.ThrottleAction:
		t.rate = max(0, min(order.Rate, 1))
	}
}

// renew extends the leases of all named tasks that run.
func (r *runner) renew(now time.Time, renewal api.Renewal) (api.RenewalReport, refusal) {
	if why := r.admit(renewal.Shard, renewal.Epoch); why != "" {
		return api.RenewalReport{}, why
	}
	r.advance(now)
	renewed := api.RenewalReport{Incarnation: r.cfg.Incarnation, Tasks: []api.Status{}}
	order := api.Order{Epoch: renewal.Epoch, Lease: renewal.Lease}
	for _, id := range renewal.IDs {
		known, ok := r.tasks[id]
		if !ok {
			continue
		}
		if known.state == api.Running {
			known.obey(now, api.RenewAction, order)
		}
		renewed.Tasks = append(renewed.Tasks, r.status(now, known))
	}
	return renewed, ""
}

// lookUp returns a task's status.
func (r *runner) lookUp(now time.Time, id string) (api.Status, refusal) {
	r.advance(now)
	known, ok := r.tasks[id]
	if !ok {
		return api.Status{}, api.ReasonNoTask
	}
	return r.status(now, known), ""
}

// lagging returns a report that is up to the usage lag old.
func (r *runner) lagging(now time.Time) api.Report {
	if !r.report.At.IsZero() && now.Sub(r.report.At) < r.cfg.UsageLag {
		return r.report
	}
	r.advance(now)
	r.report = api.Report{Worker: r.cfg.Name, Incarnation: r.cfg.Incarnation, At: now, Capacity: r.cfg.Capacity}
	for _, known := range r.tasks {
		status := r.status(now, known)
		status.Result = nil
		r.report.Tasks = append(r.report.Tasks, status)
	}
	slices.SortFunc(r.report.Tasks, func(a, b api.Status) int { return strings.Compare(a.ID, b.ID) })
	return r.report
}

// advance brings all tasks to now.
func (r *runner) advance(now time.Time) {
	for _, known := range r.tasks {
		known.advance(now)
	}
}

// used sums what the running tasks use.
func (r *runner) used() api.Resources {
	var sum api.Resources
	for _, known := range r.tasks {
		usage := known.usage()
		sum.CPUs += usage.CPUs
		sum.Memory += usage.Memory
		sum.Accelerators += usage.Accelerators
	}
	return sum
}

// status describes a task to the caller.
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
		status.Age = duration.New(now.Sub(t.began))
	}
	switch t.state {
	case api.Done:
		status.Result = r.result(t)
	case api.Checkpointed:
		status.Checkpoint = t.checkpoint()
	}
	return status
}

// result is what a done task hands back.
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

// within reports whether the asked resources fit the capacity.
func within(asked, capacity api.Resources) bool {
	return asked.CPUs <= capacity.CPUs && asked.Memory <= capacity.Memory && asked.Accelerators <= capacity.Accelerators
}
