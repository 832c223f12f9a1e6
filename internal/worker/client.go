// Package worker is the client of the platform's workers, which run tasks under
// leases.
//
// # Usage
//
//	client := worker.New(worker.Config{Timeout: 2 * time.Second})
//	defer client.Close()
//	status, err := client.Start(ctx, address, worker.Start{ID: "orders/7.1", Queue: "orders", Lease: duration.New(30 * time.Second), Epoch: 4})
//	if errors.Is(err, worker.ErrUnknown) {
//		// The start may still arrive. Stop resolves this: a worker refuses a
//		// start whose id was stopped before.
//		status, err = client.Stop(ctx, address, "orders/7.1", worker.Order{Shard: "orders", Epoch: 4})
//	}
package worker

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/httpclient"
)

// Errors of a Client.
var (
	// ErrUnreachable means that the worker did not receive the call.
	ErrUnreachable = errors.New("worker is unreachable")
	// ErrUnknown means that the call may have taken effect, or may still do so.
	ErrUnknown = errors.New("worker's response was lost")
	// ErrStale means that the worker has accepted a call of a later epoch.
	ErrStale = errors.New("worker refused the call: a later epoch was accepted")
	// ErrOtherIncarnation means that the worker at the address is not the
	// incarnation that the start names.
	ErrOtherIncarnation = errors.New("worker refused the start: it names another incarnation of the worker")
	// ErrRefused means that the worker will not run the task, because it does not
	// fit.
	ErrRefused = errors.New("worker refused the start: the task does not fit")
	// ErrNoTask means that the worker has never received the task.
	ErrNoTask = errors.New("worker refused the call: it has never received the task")
)

// Config configures a Client.
type Config struct {
	// Timeout bounds one call. The default is httpclient.DefaultTimeout.
	Timeout time.Duration
}

// Client calls workers. It is safe for concurrent use.
type Client struct {
	client *httpclient.Client
}

// New returns a Client that connects on its first call.
func New(cfg Config) *Client {
	return &Client{client: httpclient.New(httpclient.Config{Timeout: cfg.Timeout})}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.client.Close()
}

// Start asks the worker to run the task. If the worker already has a task with the
// id, it returns that task's status.
func (c *Client) Start(ctx context.Context, address netip.AddrPort, start Start) (Status, error) {
	return c.requestStatus(ctx, http.MethodPost, address, TasksPath, start)
}

// Status returns the status of a task.
func (c *Client) Status(ctx context.Context, address netip.AddrPort, id string) (Status, error) {
	return c.requestStatus(ctx, http.MethodGet, address, taskPath(id), nil)
}

// Renew renews the lease of a running task; it ends order.Lease from now.
func (c *Client) Renew(ctx context.Context, address netip.AddrPort, id string, order Order) (Status, error) {
	return c.postAction(ctx, address, id, RenewAction, order)
}

// RenewAll renews the leases of several tasks and returns their statuses.
func (c *Client) RenewAll(ctx context.Context, address netip.AddrPort, renewal Renewal) (RenewalReport, error) {
	var report RenewalReport
	err := c.do(ctx, http.MethodPost, address, RenewPath, renewal, &report)
	return report, err
}

// Stop stops the task. If its start has not arrived yet, the task will never run.
func (c *Client) Stop(ctx context.Context, address netip.AddrPort, id string, order Order) (Status, error) {
	return c.postAction(ctx, address, id, StopAction, order)
}

// Checkpoint stops the task and returns a checkpoint from which a later start can
// resume.
func (c *Client) Checkpoint(ctx context.Context, address netip.AddrPort, id string, order Order) (Status, error) {
	return c.postAction(ctx, address, id, CheckpointAction, order)
}

// Throttle sets the speed of the task to order.Rate, where 1 is full speed.
func (c *Client) Throttle(ctx context.Context, address netip.AddrPort, id string, order Order) (Status, error) {
	return c.postAction(ctx, address, id, ThrottleAction, order)
}

// Report returns the worker's report on its tasks, which may be out of date.
func (c *Client) Report(ctx context.Context, address netip.AddrPort) (Report, error) {
	var report Report
	err := c.do(ctx, http.MethodGet, address, TasksPath, nil, &report)
	return report, err
}

func (c *Client) postAction(ctx context.Context, address netip.AddrPort, id, action string, order Order) (Status, error) {
	return c.requestStatus(ctx, http.MethodPost, address, taskPath(id)+"/"+action, order)
}

func (c *Client) requestStatus(ctx context.Context, method string, address netip.AddrPort, path string, request any) (Status, error) {
	var status Status
	err := c.do(ctx, method, address, path, request, &status)
	return status, err
}

// do makes one call and decodes its response into the last argument.
func (c *Client) do(ctx context.Context, method string, address netip.AddrPort, path string, request, into any) error {
	var body []byte
	if request != nil {
		encoded, err := json.Marshal(request)
		if err != nil {
			return errors.Wrap(err, "encode the request to a worker")
		}
		body = encoded
	}
	response, err := c.client.Do(ctx, method, "http://"+address.String()+path, body)
	switch {
	case errors.Is(err, httpclient.ErrNotSent):
		return errors.Wrapf(ErrUnreachable, "%s %s: %v", address, path, err)
	case err != nil:
		return errors.Wrapf(ErrUnknown, "%s %s: %v", address, path, err)
	case response.Status != http.StatusOK:
		return errors.Wrapf(refusalError(response), "%s %s: status %d", address, path, response.Status)
	}
	if err := json.Unmarshal(response.Body, into); err != nil {
		return errors.Wrapf(ErrUnknown, "%s %s: response cannot be decoded: %v", address, path, err)
	}
	return nil
}

// refusalError returns the error for a response that refuses a call.
func refusalError(response httpclient.Response) error {
	var body Refusal
	// Without a known reason, the call may have taken effect.
	_ = json.Unmarshal(response.Body, &body)
	switch body.Reason {
	case ReasonStaleEpoch:
		return ErrStale
	case ReasonOtherIncarnation:
		return ErrOtherIncarnation
	case ReasonDoesNotFit:
		return ErrRefused
	case ReasonNoTask:
		return ErrNoTask
	default:
		return ErrUnknown
	}
}

// taskPath returns the path of a task. It escapes slashes in the id.
func taskPath(id string) string {
	return TasksPath + "/" + url.PathEscape(id)
}
