package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/lovagedyke/lovagedyke/internal/duration"
	"github.com/lovagedyke/lovagedyke/internal/peer/peerpb"
	"github.com/lovagedyke/lovagedyke/internal/place"
	"github.com/lovagedyke/lovagedyke/internal/platform"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/table"
	"github.com/lovagedyke/lovagedyke/internal/task"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

const (
	// tasksSegment follows the queue's name in the path.
	tasksSegment = "tasks"
	// resultSegment follows the task's ID in the path.
	resultSegment = "result"
	// maxWatchTime bounds how long a watch waits for a task to end.
	maxWatchTime = time.Minute
	// watchPollInterval is the time between two reads of a watched task.
	watchPollInterval = 250 * time.Millisecond
	// maxInlineBody is the largest body of a task in bytes. It is stored in the
	// task's row.
	maxInlineBody = 4 << 10
	// defaultTaskCPUs and defaultTaskMemory (in bytes) apply to tasks that
	// declare no size.
	defaultTaskCPUs   = 1
	defaultTaskMemory = 256 << 20
)

// ObjectGetter reads the platform's object store.
type ObjectGetter interface {
	GetObject(ctx context.Context, name string) ([]byte, error)
}

var _ ObjectGetter = (*platform.Client)(nil)

// serveQueue handles a request to a queue: submit, watch, cancel or get the
// result of a task.
func (e *Entry) serveQueue(w http.ResponseWriter, c *call) *api.Problem {
	parts := strings.Split(strings.Trim(c.path, "/"), "/")
	method := c.request.Method
	switch {
	case parts[0] != tasksSegment || len(parts) > 3:
		return notRunProblem(http.StatusNotFound, "unknown-path", "path", "a queue has the paths tasks, tasks/<id> and tasks/<id>/result")
	case len(parts) == 1 && method == http.MethodPost:
		return e.submitTask(w, c)
	case len(parts) == 2 && method == http.MethodGet:
		return e.watchTask(w, c, parts[1])
	case len(parts) == 2 && method == http.MethodDelete:
		return e.cancelTask(w, c, parts[1])
	case len(parts) == 3 && parts[2] == resultSegment && method == http.MethodGet:
		return e.taskResult(w, c, parts[1])
	}
	return notRunProblem(http.StatusMethodNotAllowed, "wrong-method", "method", "submit by POST, watch by GET, cancel by DELETE")
}

// submitTask submits a task to the queue's manager.
func (e *Entry) submitTask(w http.ResponseWriter, c *call) *api.Problem {
	spec, refusal := parseTaskSpec(c)
	if refusal != nil {
		return refusal
	}
	encoded, err := json.Marshal(spec)
	if err != nil {
		return notRunProblem(http.StatusBadRequest, "broken-body", "body", err.Error())
	}
	return e.callManagers(w, c, func(ctx context.Context, manager peerpb.Peer) (*peerpb.TaskReply, error) {
		return manager.SubmitTask(ctx, &peerpb.SubmitTaskRequest{Spec: encoded})
	})
}

// cancelTask asks the queue's manager to cancel a task of the caller's team.
func (e *Entry) cancelTask(w http.ResponseWriter, c *call, id string) *api.Problem {
	if _, refusal := e.readTask(c, id); refusal != nil {
		return refusal
	}
	return e.callManagers(w, c, func(ctx context.Context, manager peerpb.Peer) (*peerpb.TaskReply, error) {
		return manager.CancelTask(ctx, &peerpb.CancelTaskRequest{Queue: c.entry.Name, Id: id})
	})
}

// parseTaskSpec parses a submission. With an idempotency key, the task ID is
// derived from the team and the key, so that a repeated submission names the
// same task.
func parseTaskSpec(c *call) (task.Spec, *api.Problem) {
	request := api.TaskRequest{CPUs: defaultTaskCPUs, Memory: defaultTaskMemory}
	if c.stream != nil {
		return task.Spec{}, bodyTooLargeProblem(maxBufferedBody)
	}
	decoder := json.NewDecoder(bytes.NewReader(c.body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil && !errors.Is(err, io.EOF) {
		return task.Spec{}, notRunProblem(http.StatusBadRequest, "broken-body", "body", err.Error())
	}
	if len(request.Body) > maxInlineBody {
		return task.Spec{}, bodyTooLargeProblem(maxInlineBody)
	}
	if request.CPUs <= 0 || request.Memory <= 0 || request.Accelerators < 0 || request.RunTime < 0 {
		return task.Spec{}, notRunProblem(http.StatusBadRequest, "broken-size", "cpus, memory, accelerators or run-time", "sizes are positive")
	}
	spec := task.Spec{
		ID: newID(), Queue: c.entry.Name, Team: c.team, Class: place.Class(c.entry.Class), Once: c.isIdempotent(),
		Size: place.Size{CPUs: request.CPUs, Memory: request.Memory, Accelerators: request.Accelerators},
		Body: request.Body, RunTime: duration.New(time.Duration(request.RunTime)),
	}
	if c.isIdempotent() {
		sum := sha256.Sum256(fmt.Appendf(nil, "%q %q", c.team, c.idempotencyKey))
		spec.ID = hex.EncodeToString(sum[:idBytes])
	}
	return spec, nil
}

// callManagers calls the managers one after the other until the one that
// manages the queue replies.
func (e *Entry) callManagers(w http.ResponseWriter, c *call, fn func(context.Context, peerpb.Peer) (*peerpb.TaskReply, error)) *api.Problem {
	ctx, cancel := context.WithDeadline(c.request.Context(), c.deadline)
	defer cancel()
	mayHaveBeenReceived := false
	members, _ := e.node.Roster()
	for _, member := range members.Members {
		if member.Role != roster.RoleManager {
			continue
		}
		reply, err := fn(ctx, e.node.Dial(member))
		if err == nil {
			return e.writeTaskReply(w, reply)
		}
		mayHaveBeenReceived = mayHaveBeenReceived || !isNotManager(err)
	}
	if mayHaveBeenReceived {
		problem := unknownOutcomeProblem(http.StatusServiceUnavailable, "manager-unanswered", "the queue's manager did not answer; repeat with the same idempotency key")
		problem.RetryAfter = api.Duration(defaultRetryAfter)
		return problem
	}
	return unavailableProblem("no-manager", "no process manages the queue now", defaultRetryAfter)
}

// isNotManager reports whether the callee replied that it does not manage the
// queue.
func isNotManager(err error) bool {
	var twirpErr twirp.Error
	if !errors.As(err, &twirpErr) {
		return false
	}
	switch twirpErr.Code() {
	case twirp.FailedPrecondition, twirp.NotFound, twirp.Unimplemented:
		return true
	}
	return false
}

// writeTaskReply writes the response for the manager's reply.
func (e *Entry) writeTaskReply(w http.ResponseWriter, reply *peerpb.TaskReply) *api.Problem {
	var record task.Record
	if err := json.Unmarshal(reply.GetRecord(), &record); err != nil {
		return unknownOutcomeProblem(http.StatusBadGateway, "broken-reply", err.Error())
	}
	retryAfter := reply.GetRetryAfter().AsDuration()
	switch task.Outcome(reply.GetOutcome()) {
	case task.Accepted:
		writeTask(w, http.StatusAccepted, record)
		return nil
	case task.Exists:
		writeTask(w, http.StatusOK, record)
		return nil
	case task.Refused:
		problem := unavailableProblem(reply.GetReason(), "the task was not taken", retryAfter)
		if reply.GetReason() == task.ReasonEvacuated {
			problem.Detail = "the data centres of all workers that could run it are being evacuated"
		}
		if reply.GetReason() == task.ReasonOtherSpec || reply.GetReason() == task.ReasonFitsNoWorker {
			problem.Status = http.StatusUnprocessableEntity
			problem.Title = http.StatusText(problem.Status)
		}
		return problem
	default:
		problem := unknownOutcomeProblem(http.StatusServiceUnavailable, reply.GetReason(), "whether the task was taken is not known; repeat it")
		problem.RetryAfter = api.Duration(max(retryAfter, defaultRetryAfter))
		return problem
	}
}

// watchTask responds with the task's state. With ?wait= it first waits for the
// task to end, for at most that time.
func (e *Entry) watchTask(w http.ResponseWriter, c *call, id string) *api.Problem {
	deadline := c.arrived
	if text := c.request.URL.Query().Get("wait"); text != "" {
		wait, err := time.ParseDuration(text)
		if err != nil || wait < 0 || wait > maxWatchTime {
			return notRunProblem(http.StatusBadRequest, "broken-wait", "wait", fmt.Sprintf("wait %.40q is not a duration up to %s", text, maxWatchTime))
		}
		deadline = deadline.Add(wait)
	}
	for {
		record, refusal := e.readTask(c, id)
		if refusal != nil {
			return refusal
		}
		if record.State.Final() || !e.now().Before(deadline) {
			writeTask(w, http.StatusOK, record)
			return nil
		}
		select {
		case <-c.request.Context().Done():
			return callerGoneProblem()
		case <-time.After(watchPollInterval):
		}
	}
}

// taskResult responds with the result of a completed task.
func (e *Entry) taskResult(w http.ResponseWriter, c *call, id string) *api.Problem {
	record, refusal := e.readTask(c, id)
	if refusal != nil {
		return refusal
	}
	if record.State != task.Done {
		problem := unknownOutcomeProblem(http.StatusConflict, "no-result", fmt.Sprintf("the task is %s", record.State))
		problem.Outcome = taskOutcome(record)
		return problem
	}
	result := record.Result
	if record.ResultObject != "" {
		object, err := e.config.Objects.GetObject(c.request.Context(), record.ResultObject)
		if err != nil {
			return tableUnavailableProblem()
		}
		result = object
	}
	w.Header().Set(headerOutcome, string(api.OutcomeRan))
	w.Header().Set("Content-Type", "application/octet-stream")
	// An error means that the caller has disconnected.
	_, _ = w.Write(result)
	return nil
}

// readTask reads a task of the caller's team. Tasks of other teams are reported
// as unknown.
func (e *Entry) readTask(c *call, id string) (task.Record, *api.Problem) {
	rows, err := e.node.Store().Get(c.request.Context(), task.Key(c.entry.Name, id))
	if err != nil {
		return task.Record{}, tableUnavailableProblem()
	}
	record, err := task.Decode(rows[0])
	if rows[0].Version == table.Absent || err != nil || record.Team != c.team {
		return task.Record{}, notRunProblem(http.StatusNotFound, task.ReasonNoSuchTask, "path", fmt.Sprintf("task %.64q is not known", id))
	}
	return record, nil
}

// tableUnavailableProblem returns the problem for a request that needs the
// platform's table or object store while it does not respond.
func tableUnavailableProblem() *api.Problem {
	problem := unknownOutcomeProblem(http.StatusServiceUnavailable, task.ReasonTableUnavailable, "the platform's store does not answer")
	problem.RetryAfter = api.Duration(defaultRetryAfter)
	return problem
}

// taskOutcome reports whether a task ran.
func taskOutcome(record task.Record) api.Outcome {
	switch {
	case !record.State.Final() && record.Attempt != nil:
		return api.OutcomeRunning
	case record.Ran == task.RanYes:
		return api.OutcomeRan
	case record.Ran == task.RanNo:
		return api.OutcomeNotRun
	default:
		return api.OutcomeUnknown
	}
}

// writeTask responds with a task as JSON.
func writeTask(w http.ResponseWriter, status int, record task.Record) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerOutcome, string(taskOutcome(record)))
	w.WriteHeader(status)
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(api.Task{
		ID: record.ID, Queue: record.Queue, State: string(record.State), Ran: string(record.Ran),
		Reason: record.Reason, Attempts: record.Attempts, Submitted: record.Submitted, Changed: record.Changed,
	})
}
