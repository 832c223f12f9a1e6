// Package ingress answers callers: it checks keys, queues and bounds, stores
// what is accepted, and asks the fleet's leader for states and counts.
//
// # Usage
//
//	handler := ingress.New(ingress.Config{Policy: holder, Jobs: jobs, Fleet: fleet, Form: form, Journal: journal})
//	server.Handler = handler
//	handler.Run(ctx) // writes accepted jobs until ctx ends
//
// A job is accepted when its row is stored. A refusal with 429 or 503 is only
// given when the row can never be stored by what this process has sent.
package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

const (
	// patience is how long a caller waits whose request does not say.
	patience = 3 * time.Second
	// answerMargin is left of a caller's patience for the answer's way back.
	answerMargin = 150 * time.Millisecond
	// retryAfter is what callers are told to wait while the store is away.
	retryAfter = time.Second
	// idMost bounds what is logged of a path that names no queue.
	idMost = 32
	// bodyDefault bounds bodies while the configuration does not.
	bodyDefault = 256 << 10
)

// PolicyHolder returns the configuration in force, or nil.
type PolicyHolder interface {
	Current() *policy.Policy
}

// Fleet asks the fleet's leader, which may be another process.
type Fleet interface {
	// Accepted tells the leader of jobs that are stored.
	NotifyAccepted(ctx context.Context, submissions [][]byte)
	// Cancelled tells the leader of a cancel that is stored.
	NotifyCancelled(ctx context.Context, id job.ID)
	// State returns a job's state; known is false if the leader does not know
	// the job, and answered if no leader answered.
	State(ctx context.Context, id job.ID) (state job.State, known, answered bool)
	// Waiting returns how many of a queue's jobs have not begun.
	Waiting(ctx context.Context, queue string) (count int, answered bool)
	// Unservable returns why no endpoint can ever run a step, or "".
	Unschedulable(step job.Step) string
}

// Form reads and writes callers' bodies and headers.
type Codec interface {
	Submission(body []byte) (*job.Submission, error)
	State(state job.State) []byte
	Waiting(count int) []byte
	Refusal(reason string) []byte
	Key(header http.Header) string
	CallerTimeout(header http.Header, fallback time.Duration) time.Duration
	ContentType() string
}

// Journal takes decisions.
type Journal interface {
	Info(event string, fields ...any)
}

// Config is what an Ingress is built from.
type Config struct {
	Policy  PolicyHolder
	Store   table.Store
	Fleet   Fleet
	Codec   Codec
	Journal Journal
	// RowBytes is the largest row that the store takes.
	RowBytes int
}

// Ingress is the handler of callers' requests.
type Ingress struct {
	config Config
	writer *writer
}

// New returns a handler. Run has to run for jobs to be accepted.
func New(config Config) *Ingress {
	return &Ingress{config: config, writer: newWriter(writerConfig{
		Store: config.Store, Journal: config.Journal, RowBytes: config.RowBytes, Accepted: config.Fleet.NotifyAccepted,
	})}
}

// Run writes accepted jobs until ctx ends.
func (i *Ingress) Run(ctx context.Context) {
	i.writer.run(ctx)
}

// call is a request that was matched to a queue.
type call struct {
	request *http.Request
	policy  *policy.Policy
	queue   policy.Queue
	// account is empty on open queues.
	account string
	id      job.ID
	started time.Time
	// deadline is when the caller gives up.
	deadline time.Time
}

// reply is the answer to a caller.
type reply struct {
	status int
	body   []byte
	// retryAfter is sent if it is not 0.
	retryAfter time.Duration
	reason     string
}

// ServeHTTP implements http.Handler.
func (i *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	c, refused := i.match(r, started)
	answer := refused
	if c != nil {
		ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
		answer = i.serve(ctx, w, c)
		cancel()
	}
	i.note(r, c, answer, started)
	w.Header().Set("Content-Type", i.config.Codec.ContentType())
	if answer.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(max(1, answer.retryAfter.Round(time.Second)/time.Second))))
	}
	w.WriteHeader(answer.status)
	if _, err := w.Write(answer.body); err != nil {
		i.config.Journal.Info("answer not delivered", "path", r.URL.Path, "error", err.Error())
	}
}

// match finds the queue and checks the key.
func (i *Ingress) match(r *http.Request, started time.Time) (*call, reply) {
	current := i.config.Policy.Current()
	if current == nil {
		return nil, i.refuse(http.StatusServiceUnavailable, "no configuration yet", retryAfter)
	}
	queue, ok := current.Match(hostName(r.Host), r.URL.Path)
	if !ok {
		return nil, i.refuse(http.StatusNotFound, "no such queue", 0)
	}
	c := &call{request: r, policy: current, queue: queue, started: started}
	if !queue.Open {
		account, known := current.AccountByKey(i.config.Codec.Key(r.Header))
		if !known {
			return nil, i.refuse(http.StatusUnauthorized, "the key is not known", 0)
		}
		c.account = account
	}
	c.id = job.ID(strings.TrimPrefix(r.URL.Path, queue.PathPrefix))
	c.deadline = started.Add(max(answerMargin, i.config.Codec.CallerTimeout(r.Header, patience)-answerMargin))
	return c, reply{}
}

// hostName strips the port.
func hostName(host string) string {
	name, _, err := net.SplitHostPort(host)
	if err != nil {
		return host
	}
	return name
}

// serve answers a request to a queue.
func (i *Ingress) serve(ctx context.Context, w http.ResponseWriter, c *call) reply {
	switch {
	case c.request.Method == http.MethodGet && c.id == "":
		return i.waiting(ctx, c)
	case !c.id.Valid():
		return i.refuse(http.StatusBadRequest, "the job's ID is not 16 hexadecimal digits", 0)
	case c.request.Method == http.MethodPost:
		return i.submit(ctx, w, c)
	case c.request.Method == http.MethodGet:
		return i.state(ctx, c)
	case c.request.Method == http.MethodDelete:
		return i.cancel(ctx, c)
	default:
		return i.refuse(http.StatusMethodNotAllowed, "jobs take POST, GET and DELETE", 0)
	}
}

// refuse makes an answer with a reason.
func (i *Ingress) refuse(status int, reason string, after time.Duration) reply {
	return reply{status: status, body: i.config.Codec.Refusal(reason), retryAfter: after, reason: reason}
}

// submit accepts a job.
func (i *Ingress) submit(ctx context.Context, w http.ResponseWriter, c *call) reply {
	limit := c.policy.Limits.BodyBytes
	if limit <= 0 {
		limit = bodyDefault
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, c.request.Body, limit))
	if err != nil {
		return i.refuse(http.StatusBadRequest, "the body is too large or broke off", 0)
	}
	submission, err := i.config.Codec.Submission(body)
	if err != nil {
		return i.refuse(http.StatusBadRequest, err.Error(), 0)
	}
	c.fill(submission)
	if problem := submission.Validate(); problem != "" {
		return i.refuse(http.StatusBadRequest, problem, 0)
	}
	for number, step := range submission.Steps {
		if problem := i.config.Fleet.Unschedulable(step); problem != "" {
			return i.refuse(http.StatusBadRequest, "step "+strconv.Itoa(number)+": "+problem, 0)
		}
	}
	return i.submitted(i.writer.accept(ctx, submission))
}

// fill adds what the queue and the key say.
func (c *call) fill(submission *job.Submission) {
	submission.ID = c.id
	submission.Queue = c.queue.Name
	submission.Pool = c.queue.Pool
	submission.MaxAttempts = c.queue.MaxAttempts
	submission.Priority = c.queue.Priority
	submission.Stretch = c.queue.Stretch
	submission.Target = c.queue.Target
	submission.Account = c.account
	submission.Accepted = c.started.Round(0)
}

// submitted turns the outcome of a write into an answer.
func (i *Ingress) submitted(outcome outcome) reply {
	switch outcome {
	case outcomeStored, outcomeKnown:
		return reply{status: http.StatusOK, body: []byte("{}")}
	case outcomeRefused:
		return i.refuse(http.StatusServiceUnavailable, "the store is away; the job was not accepted", retryAfter)
	case outcomeTooLarge:
		return i.refuse(http.StatusBadRequest, "the job does not fit a row of the store", 0)
	default:
		return i.refuse(http.StatusGatewayTimeout, "the job may have been accepted: repeat it under the same ID", retryAfter)
	}
}

// state tells a job's state: the leader's word, or what the store holds.
func (i *Ingress) state(ctx context.Context, c *call) reply {
	state, known, _ := i.config.Fleet.State(ctx, c.id)
	if known {
		return reply{status: http.StatusOK, body: i.config.Codec.State(state)}
	}
	state, known, err := i.storedState(ctx, c.id)
	switch {
	case err != nil:
		return i.refuse(http.StatusServiceUnavailable, "neither the leader nor the store can tell", retryAfter)
	case !known:
		return i.refuse(http.StatusGone, "no such job", 0)
	default:
		return reply{status: http.StatusOK, body: i.config.Codec.State(state)}
	}
}

// waiting tells how many jobs of a queue have not begun.
func (i *Ingress) waiting(ctx context.Context, c *call) reply {
	count, answered := i.config.Fleet.Waiting(ctx, c.queue.Name)
	if !answered {
		return i.refuse(http.StatusServiceUnavailable, "no leader answers", retryAfter)
	}
	return reply{status: http.StatusOK, body: i.config.Codec.Waiting(count)}
}

// cancel stores a job's cancel before it is confirmed.
func (i *Ingress) cancel(ctx context.Context, c *call) reply {
	state, known, _ := i.config.Fleet.State(ctx, c.id)
	if !known {
		var err error
		state, known, err = i.storedState(ctx, c.id)
		if err != nil {
			return i.refuse(http.StatusGatewayTimeout, "the store is away: repeat the cancel", retryAfter)
		}
	}
	switch {
	case !known:
		return i.refuse(http.StatusGone, "no such job", 0)
	case state.Final():
		return reply{status: http.StatusOK, body: i.config.Codec.State(state)}
	}
	if !i.writer.cancel(ctx, c.id) {
		return i.refuse(http.StatusGatewayTimeout, "the cancel may not be stored: repeat it", retryAfter)
	}
	i.config.Fleet.NotifyCancelled(ctx, c.id)
	return reply{status: http.StatusOK, body: i.config.Codec.State(job.Cancelled)}
}

// note writes the request's line and counts it.
func (i *Ingress) note(r *http.Request, c *call, answer reply, started time.Time) {
	// A request without a queue is named by the end of its path, bounded.
	id := path.Base(r.URL.Path)
	id = id[:min(len(id), idMost)]
	queue, version := "", uint64(0)
	if c != nil {
		queue, id, version = c.queue.Name, string(c.id), c.policy.Version
	}
	took := time.Since(started)
	metrics.GetOrCreateCounter(`requests_total{method="` + method(r.Method) + `",status="` + strconv.Itoa(answer.status) + `"}`).Inc()
	metrics.GetOrCreateHistogram(`request_seconds{method="` + method(r.Method) + `"}`).Update(took.Seconds())
	isRead := r.Method == http.MethodGet && answer.status == http.StatusOK
	if isRead {
		return
	}
	i.config.Journal.Info("request answered", "request-id", id, "queue", queue, "method", r.Method, "status", answer.status,
		"reason", answer.reason, "configuration", version, "took", took.Round(100*time.Microsecond).String())
}

// method bounds the metrics' labels.
func method(name string) string {
	switch name {
	case http.MethodPost, http.MethodGet, http.MethodDelete:
		return name
	default:
		return "other"
	}
}
