// Package worker is the adapter to the platform's workers, which run tasks
// under leases.
//
// # Usage
//
//	client := worker.New(worker.Config{Timeout: 2 * time.Second})
//	defer client.Close()
//	status, err := client.Start(ctx, address, worker.Start{ID: "orders/7.1", Queue: "orders", Lease: duration.New(30 * time.Second), Epoch: 4})
//	if errors.Is(err, worker.ErrUnknown) {
//		// The start may still arrive: Stop settles it, for a worker refuses a
//		// start that was stopped before.
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

	"github.com/lovagedyke/lovagedyke/internal/call"
)

// Errors of a Client.
var (
	// ErrUnreachable means that the worker did not receive the call.
	ErrUnreachable = errors.New("worker is unreachable")
	// ErrUnknown means that the call may have taken effect, now or later.
	ErrUnknown = errors.New("worker's answer was lost")
	// ErrStale means that the worker has heard from a later epoch.
	ErrStale = errors.New("epoch is stale")
	// ErrOtherIncarnation means that another process answers at the address.
	ErrOtherIncarnation = errors.New("worker has restarted")
	// ErrRefused means that the worker will not run the task.
	ErrRefused = errors.New("worker refused the task")
	// ErrNoTask means that the worker has not heard of the task.
	ErrNoTask = errors.New("worker does not know the task")
)

// Config bounds the calls.
type Config struct {
	Timeout time.Duration
}

// Client calls workers. It is safe for concurrent use.
type Client struct {
	caller *call.Caller
}

// New returns a client that connects on its first call.
func New(cfg Config) *Client {
	return &Client{caller: call.New(call.Config{Timeout: cfg.Timeout})}
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.caller.Close()
}

// Start asks the worker to run the task; a repeat returns the present status.
func (c *Client) Start(ctx context.Context, address netip.AddrPort, start Start) (Status, error) {
	return c.status(ctx, http.MethodPost, address, TasksPath, start)
}

// Status returns the status of a start.
func (c *Client) Status(ctx context.Context, address netip.AddrPort, id string) (Status, error) {
	return c.status(ctx, http.MethodGet, address, taskPath(id), nil)
}

// Renew extends the lease of a running task from now by order.Lease.
func (c *Client) Renew(ctx context.Context, address netip.AddrPort, id string, order Order) (Status, error) {
	return c.order(ctx, address, id, RenewAction, order)
}

// RenewAll extends the leases of many tasks and returns their statuses.
func (c *Client) RenewAll(ctx context.Context, address netip.AddrPort, renewal Renewal) (RenewalReport, error) {
	var renewed RenewalReport
	err := c.do(ctx, http.MethodPost, address, RenewPath, renewal, &renewed)
	return renewed, err
}

// Stop ends the task, or keeps it from ever starting if it has not arrived.
func (c *Client) Stop(ctx context.Context, address netip.AddrPort, id string, order Order) (Status, error) {
	return c.order(ctx, address, id, StopAction, order)
}

// Checkpoint ends the task and returns what a later start resumes from.
func (c *Client) Checkpoint(ctx context.Context, address netip.AddrPort, id string, order Order) (Status, error) {
	return c.order(ctx, address, id, CheckpointAction, order)
}

// Throttle runs the task at order.Rate of its speed; 1 is full speed.
func (c *Client) Throttle(ctx context.Context, address netip.AddrPort, id string, order Order) (Status, error) {
	return c.order(ctx, address, id, ThrottleAction, order)
}

// Report returns the worker's lagging account of its tasks.
func (c *Client) Report(ctx context.Context, address netip.AddrPort) (Report, error) {
	var report Report
	err := c.do(ctx, http.MethodGet, address, TasksPath, nil, &report)
	return report, err
}

func (c *Client) order(ctx context.Context, address netip.AddrPort, id, action string, order Order) (Status, error) {
	return c.status(ctx, http.MethodPost, address, taskPath(id)+"/"+action, order)
}

func (c *Client) status(ctx context.Context, method string, address netip.AddrPort, path string, request any) (Status, error) {
	var status Status
	err := c.do(ctx, method, address, path, request, &status)
	return status, err
}

// do makes one call and decodes its answer.
func (c *Client) do(ctx context.Context, method string, address netip.AddrPort, path string, request, into any) error {
	var body []byte
	if request != nil {
		encoded, err := json.Marshal(request)
		if err != nil {
			return errors.Wrap(err, "request cannot be encoded")
		}
		body = encoded
	}
	answer, err := c.caller.Do(ctx, method, "http://"+address.String()+path, body)
	switch {
	case errors.Is(err, call.ErrNotSent):
		return errors.Wrapf(ErrUnreachable, "%s %s: %v", address, path, err)
	case err != nil:
		return errors.Wrapf(ErrUnknown, "%s %s: %v", address, path, err)
	case answer.Status != http.StatusOK:
		return errors.Wrapf(refusal(answer), "%s %s: status %d", address, path, answer.Status)
	}
	if err := json.Unmarshal(answer.Body, into); err != nil {
		return errors.Wrapf(ErrUnknown, "%s %s: broken answer: %v", address, path, err)
	}
	return nil
}

// refusal maps an answer without a status to an error.
func refusal(answer call.Answer) error {
	var body Refusal
	// An answer without a known reason says nothing about the effect.
	_ = json.Unmarshal(answer.Body, &body)
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

// taskPath escapes the id whole, so that a slash in it stays part of it.
func taskPath(id string) string {
	return TasksPath + "/" + url.PathEscape(id)
}
