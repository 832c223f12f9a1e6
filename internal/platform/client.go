// Package platform is the adapter to the platform's HTTP services: the
// transactional table, the object store and the lagging list of hosts.
//
// # Usage
//
//	client := platform.New(platform.Config{
//		Address: netip.MustParseAddrPort("127.0.0.1:7000"),
//		Process: "entry-1",
//		Timeout: 2 * time.Second,
//	})
//	defer client.Close()
//	rows, err := client.Scan(ctx, "catalogue/")
//	hosts, err := client.Hosts(ctx)
//
// Client implements table.Store with the errors that table.Store documents. A
// call that the platform refused or that never reached it is
// table.ErrUnavailable; a commit that was sent and whose answer did not come is
// table.ErrUnknown.
package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/call"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// ErrNoObject means that the object store holds no object of that name.
var ErrNoObject = errors.New("object does not exist")

// Config says where the platform is and who calls it.
type Config struct {
	Address netip.AddrPort
	// Process is sent with each call, for the platform's statistics.
	Process string
	// Timeout bounds each call; call.DefaultTimeout if zero.
	Timeout time.Duration
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	base   string
	caller *call.Caller
}

var _ table.Store = (*Client)(nil)

// New returns a client that connects on its first call.
func New(cfg Config) *Client {
	header := http.Header{ProcessHeader: {cfg.Process}}
	return &Client{
		base:   "http://" + cfg.Address.String(),
		caller: call.New(call.Config{Timeout: cfg.Timeout, Header: header}),
	}
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.caller.Close()
}

// Get implements table.Store.
func (c *Client) Get(ctx context.Context, keys ...string) ([]table.Row, error) {
	rows, err := c.rows(ctx, GetPath, GetRequest{Keys: keys})
	if err != nil {
		return nil, err
	}
	if len(rows) != len(keys) {
		return nil, errors.Wrapf(table.ErrUnavailable, "%d rows in answer to %d keys", len(rows), len(keys))
	}
	return rows, nil
}

// Scan implements table.Store.
func (c *Client) Scan(ctx context.Context, prefix string) ([]table.Row, error) {
	return c.rows(ctx, ScanPath, ScanRequest{Prefix: prefix})
}

// Commit implements table.Store.
func (c *Client) Commit(ctx context.Context, txn table.Txn) error {
	body, err := json.Marshal(txn)
	if err != nil {
		return errors.Wrap(err, "transaction cannot be encoded")
	}
	answer, err := c.caller.Do(ctx, http.MethodPost, c.base+CommitPath, body)
	switch {
	case errors.Is(err, call.ErrNotSent):
		return errors.Wrapf(table.ErrUnavailable, "commit: %v", err)
	case err != nil && answer.Status != http.StatusConflict:
		return errors.Wrapf(table.ErrUnknown, "commit: %v", err)
	}
	return commitOutcome(answer)
}

// Hosts returns the platform's lagging list of hosts, in name order.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var answer HostsAnswer
	if err := c.read(ctx, http.MethodGet, HostsPath, nil, &answer); err != nil {
		return nil, err
	}
	return answer.Hosts, nil
}

// Reboot has the platform restart a host. The list shows a greater Boot once
// the host is back; asking again while it restarts changes nothing.
func (c *Client) Reboot(ctx context.Context, name string) error {
	answer, err := c.caller.Do(ctx, http.MethodPost, c.base+HostsPath+"/"+url.PathEscape(name)+RebootAction, nil)
	switch {
	case errors.Is(err, call.ErrNotSent):
		return errors.Wrapf(table.ErrUnavailable, "reboot %q: %v", name, err)
	case err != nil:
		return errors.Wrapf(table.ErrUnknown, "reboot %q: %v", name, err)
	}
	return errors.Wrapf(commitOutcome(answer), "reboot %q", name)
}

// PutObject stores an object under name; storing it again replaces it.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	answer, err := c.caller.Do(ctx, http.MethodPut, c.base+objectPath(name), data)
	switch {
	case errors.Is(err, call.ErrNotSent):
		return errors.Wrapf(table.ErrUnavailable, "put object %q: %v", name, err)
	case err != nil:
		return errors.Wrapf(table.ErrUnknown, "put object %q: %v", name, err)
	}
	return errors.Wrapf(commitOutcome(answer), "put object %q", name)
}

// GetObject returns the object's bytes, ErrNoObject or table.ErrUnavailable.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	answer, err := c.caller.Do(ctx, http.MethodGet, c.base+objectPath(name), nil)
	switch {
	case err != nil:
		return nil, errors.Wrapf(table.ErrUnavailable, "get object %q: %v", name, err)
	case answer.Status == http.StatusNotFound:
		return nil, errors.Wrapf(ErrNoObject, "get object %q", name)
	case answer.Status != http.StatusOK:
		return nil, errors.Wrapf(table.ErrUnavailable, "get object %q: status %d", name, answer.Status)
	}
	return answer.Body, nil
}

// rows posts a read request and returns the rows of its answer.
func (c *Client) rows(ctx context.Context, path string, request any) ([]table.Row, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, errors.Wrap(err, "request cannot be encoded")
	}
	var answer RowsAnswer
	if err := c.read(ctx, http.MethodPost, path, body, &answer); err != nil {
		return nil, err
	}
	return answer.Rows, nil
}

// read makes a call without effects; whatever goes wrong, nothing was written.
func (c *Client) read(ctx context.Context, method, path string, body []byte, into any) error {
	answer, err := c.caller.Do(ctx, method, c.base+path, body)
	if err != nil {
		return errors.Wrapf(table.ErrUnavailable, "%s: %v", path, err)
	}
	if answer.Status != http.StatusOK {
		return errors.Wrapf(table.ErrUnavailable, "%s: status %d", path, answer.Status)
	}
	if err := json.Unmarshal(answer.Body, into); err != nil {
		return errors.Wrapf(table.ErrUnavailable, "%s: broken answer: %v", path, err)
	}
	return nil
}

// commitOutcome maps the answer to a write onto the errors of table.Store.
func commitOutcome(got call.Answer) error {
	switch got.Status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusConflict:
		var conflict ConflictAnswer
		// The status alone proves the conflict; the body only names the row.
		_ = json.Unmarshal(got.Body, &conflict)
		return &table.ConflictError{Key: conflict.Key, Want: conflict.Want, Got: conflict.Got}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound:
		return errors.Wrapf(table.ErrUnavailable, "status %d", got.Status)
	default:
		return errors.Wrapf(table.ErrUnknown, "status %d", got.Status)
	}
}

// objectPath escapes the name whole, so that a slash in it stays part of it.
func objectPath(name string) string {
	return ObjectPath + url.PathEscape(name)
}
