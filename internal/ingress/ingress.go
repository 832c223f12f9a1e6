// Package ingress is the HTTP API for callers: it checks keys, queues and limits,
// stores accepted jobs, and asks the fleet's leader for job states and counts.
//
// # Usage
//
//	handler := ingress.New(ingress.Config{Policy: holder, Store: store, Fleet: fleet, Codec: codec, Journal: journal})
//	server.Handler = handler
//	handler.Run(ctx) // writes accepted jobs until ctx ends
//
// A job is accepted when its row is stored. A request is refused with 429 or 503
// only if nothing that this process has sent can still store the row. A refusal for
// load is stored in place of the job's row first, so that no attempt can store the job
// that another process has received before.
package ingress

import (
	"context"
	"net"
	"net/http"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lovagedyke/lovagedyke/internal/admission"
	"github.com/lovagedyke/lovagedyke/internal/budget"
	"github.com/lovagedyke/lovagedyke/internal/intake"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

const (
	// defaultCallerTimeout is the caller's timeout if the request names none.
	defaultCallerTimeout = 3 * time.Second
	// responseMargin is the part of the caller's timeout that is reserved for
	// sending the response.
	responseMargin = 150 * time.Millisecond
	// retryAfter is the Retry-After of responses while the store is unavailable.
	retryAfter = time.Second
	// maxLoggedIDBytes bounds what is logged of a path that matches no queue.
	maxLoggedIDBytes = 32
	// defaultMaxBodyBytes bounds bodies if the configuration sets no limit.
	defaultMaxBodyBytes = 256 << 10
)

// PolicyHolder holds the operators' configuration.
type PolicyHolder interface {
	// Current returns the configuration in force, or nil.
	Current() *policy.Policy
}

// Fleet calls the fleet's leader, which may be another process.
type Fleet interface {
	// NotifyAccepted notifies the leader of stored jobs.
	NotifyAccepted(ctx context.Context, submissions [][]byte)
	// NotifyCancelled notifies the leader of a stored cancel.
	NotifyCancelled(ctx context.Context, id job.ID)
	// State returns a job's state; known is false if the leader does not know
	// the job, answered is false if no leader answered.
	State(ctx context.Context, id job.ID) (state job.State, known, answered bool)
	// Waiting returns the number of a queue's jobs that have not started.
	Waiting(ctx context.Context, queue string) (count int, answered bool)
	// Unschedulable returns why no endpoint can ever run a step, or "".
	Unschedulable(step job.Step) string
	// Outlook returns the leader's newest outlook for new jobs and how long ago it was
	// received, or false if none has been.
	Outlook(now time.Time) (outlook admission.Outlook, age time.Duration, ok bool)
}

// Codec decodes callers' bodies and headers and encodes response bodies.
type Codec interface {
	Submission(body []byte) (*job.Submission, error)
	State(state job.State) []byte
	Waiting(count int) []byte
	Refusal(reason string) []byte
	Key(header http.Header) string
	CallerTimeout(header http.Header, fallback time.Duration) time.Duration
	ContentType() string
}

// Bodies reads requests' bodies within the memory of the process.
type Bodies interface {
	Read(w http.ResponseWriter, r *http.Request, maxBytes int64, deadline time.Time) (intake.Body, *intake.Refusal)
}

// Journal logs events.
type Journal interface {
	Info(event string, fields ...any)
}

// Config configures an Ingress.
type Config struct {
	Policy  PolicyHolder
	Store   table.Store
	Fleet   Fleet
	Codec   Codec
	Journal Journal
	// Bodies reads bodies; nil means without a common bound.
	Bodies Bodies
	// RowBytes is the store's maximum row size.
	RowBytes int
	// RowFormat returns the form of rows to write; nil means job.RowJSON.
	RowFormat func() job.RowFormat
	// AdmitAll is set to refuse no job for load.
	AdmitAll bool
}

// Ingress is the HTTP handler of callers' requests.
type Ingress struct {
	config    Config
	writer    *writer
	admission admissionState
	// decoding is held while a large body is decoded.
	decoding chan struct{}
}

// New returns a handler. It accepts jobs only while Run is running.
func New(config Config) *Ingress {
	if config.RowFormat == nil {
		config.RowFormat = func() job.RowFormat { return job.RowJSON }
	}
	if config.Bodies == nil {
		config.Bodies = intake.NewBodies(intake.BodiesConfig{Budget: budget.New(budget.Config{Bytes: budget.Unbounded, LargeShare: 1})})
	}
	return &Ingress{config: config, decoding: make(chan struct{}, 1), writer: newWriter(writerConfig{
		Store: config.Store, Journal: config.Journal, RowBytes: config.RowBytes, NotifyAccepted: config.Fleet.NotifyAccepted,
		RowFormat: config.RowFormat,
	})}
}

// Run writes accepted jobs until ctx ends.
func (i *Ingress) Run(ctx context.Context) {
	i.writer.run(ctx)
}

// call is a request that matches a queue.
type call struct {
	request *http.Request
	policy  *policy.Policy
	queue   policy.Queue
	// account is empty on open queues.
	account string
	id      job.ID
	started time.Time
	// asOf is a version that the store had reached when the request was received.
	asOf uint64
	// deadline is when the response has to be ready.
	deadline time.Time
}

// reply is the response to a caller.
type reply struct {
	status int
	body   []byte
	// retryAfter is sent as Retry-After unless it is 0.
	retryAfter time.Duration
	reason     string
}

// ServeHTTP implements http.Handler.
func (i *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	c, refusal := i.match(r, started)
	response := refusal
	if c != nil {
		ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
		response = i.serve(ctx, w, c)
		cancel()
	}
	i.logRequest(r, c, response, started)
	if response.status != http.StatusOK {
		intake.BoundDrain(w, r)
	}
	w.Header().Set("Content-Type", i.config.Codec.ContentType())
	if response.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(max(1, response.retryAfter.Round(time.Second)/time.Second))))
	}
	w.WriteHeader(response.status)
	if _, err := w.Write(response.body); err != nil {
		i.config.Journal.Info("response not delivered", "request-id", loggedID(r), "error", err.Error())
	}
}

// match finds the request's queue and checks the caller's key.
func (i *Ingress) match(r *http.Request, started time.Time) (*call, reply) {
	current := i.config.Policy.Current()
	if current == nil {
		return nil, i.refuse(http.StatusServiceUnavailable, "no configuration yet", retryAfter)
	}
	queue, ok := current.Match(hostName(r.Host), r.URL.Path)
	if !ok {
		return nil, i.refuse(http.StatusNotFound, "no such queue", 0)
	}
	c := &call{request: r, policy: current, queue: queue, started: started, asOf: i.writer.version.Load()}
	if !queue.Open {
		account, known := current.AccountByKey(i.config.Codec.Key(r.Header))
		if !known {
			return nil, i.refuse(http.StatusUnauthorized, "the key is not known", 0)
		}
		c.account = account
	}
	c.id = job.ID(strings.TrimPrefix(r.URL.Path, queue.PathPrefix))
	c.deadline = started.Add(max(responseMargin, i.config.Codec.CallerTimeout(r.Header, defaultCallerTimeout)-responseMargin))
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

// serve handles a request to a queue.
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

// refuse returns a response that refuses a request with a reason.
func (i *Ingress) refuse(status int, reason string, after time.Duration) reply {
	return reply{status: status, body: i.config.Codec.Refusal(reason), retryAfter: after, reason: reason}
}

// submit validates and stores a job.
func (i *Ingress) submit(ctx context.Context, w http.ResponseWriter, c *call) reply {
	limit := c.policy.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, refused := i.config.Bodies.Read(w, c.request, limit, c.deadline)
	if refused != nil {
		return i.refuseBody(refused)
	}
	defer body.Share.Release()
	submission, refusal := i.decode(ctx, body)
	if submission == nil {
		return refusal
	}
	c.applyQueue(submission)
	if problem := submission.Validate(); problem != "" {
		return i.refuse(http.StatusBadRequest, problem, 0)
	}
	for number, step := range submission.Steps {
		if problem := i.config.Fleet.Unschedulable(step); problem != "" {
			return i.refuse(http.StatusBadRequest, "step "+strconv.Itoa(number)+": "+problem, 0)
		}
	}
	return i.admit(ctx, c, submission)
}

// applyQueue sets the fields that the queue and the caller's key determine.
func (c *call) applyQueue(submission *job.Submission) {
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

// submitReply returns the response for a write's outcome.
func (i *Ingress) submitReply(outcome outcome) reply {
	switch outcome {
	case outcomeStored, outcomeExists:
		return reply{status: http.StatusOK, body: []byte("{}")}
	case outcomeRefusalStored:
		countRefusal(reasonConcurrent)
		return i.refuse(http.StatusServiceUnavailable, "another attempt under this ID was refused; the job was not accepted", concurrentRetryAfter)
	case outcomeRefused:
		return i.refuse(http.StatusServiceUnavailable, "the store is away; the job was not accepted", retryAfter)
	case outcomeTooLarge:
		return i.refuse(http.StatusBadRequest, "the job does not fit a row of the store", 0)
	default:
		return i.refuse(http.StatusGatewayTimeout, "the job may have been accepted: repeat it under the same ID", retryAfter)
	}
}

// state responds with a job's state, from the leader or else from the store.
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

// waiting responds with the number of a queue's jobs that have not started.
func (i *Ingress) waiting(ctx context.Context, c *call) reply {
	count, answered := i.config.Fleet.Waiting(ctx, c.queue.Name)
	if !answered {
		return i.refuse(http.StatusServiceUnavailable, "no leader answers", retryAfter)
	}
	return reply{status: http.StatusOK, body: i.config.Codec.Waiting(count)}
}

// cancel stores a job's cancel before confirming it to the caller.
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

// logRequest logs the request and updates the metrics.
func (i *Ingress) logRequest(r *http.Request, c *call, response reply, started time.Time) {
	id := loggedID(r)
	queue, version := "", uint64(0)
	if c != nil {
		queue, id, version = c.queue.Name, string(c.id), c.policy.Version
	}
	took := time.Since(started)
	metrics.GetOrCreateCounter(`requests_total{method="` + methodLabel(r.Method) + `",status="` + strconv.Itoa(response.status) + `"}`).Inc()
	metrics.GetOrCreateHistogram(`request_seconds{method="` + methodLabel(r.Method) + `"}`).Update(took.Seconds())
	isRead := r.Method == http.MethodGet && response.status == http.StatusOK
	if isRead {
		return
	}
	i.config.Journal.Info("request answered", "request-id", id, "queue", queue, "method", r.Method, "status", response.status,
		"reason", response.reason, "configuration", version, "took", took.Round(100*time.Microsecond).String())
}

// loggedID identifies a request without a queue by the last element of its path, truncated.
func loggedID(r *http.Request) string {
	id := path.Base(r.URL.Path)
	return id[:min(len(id), maxLoggedIDBytes)]
}

// methodLabel returns a method's metrics label; unknown methods share one, which
// bounds the number of labels.
func methodLabel(name string) string {
	switch name {
	case http.MethodPost, http.MethodGet, http.MethodDelete:
		return name
	default:
		return "other"
	}
}
