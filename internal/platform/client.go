// Package platform is the client of the platform's HTTP services: the
// transactional table, the object store and the list of hosts.
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
// Client implements table.Store with the errors that table.Store documents: a
// call that the platform refused or never received is table.ErrUnavailable; a
// commit that was sent and got no response is table.ErrUnknown.
package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/httpclient"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// ErrNoObject means that the object store holds no object of that name.
var ErrNoObject = errors.New("object does not exist")

// Config configures a Client.
type Config struct {
	Address netip.AddrPort
	// Process is sent with each call, for the platform's statistics.
	Process string
	// Timeout bounds each call; zero means httpclient.DefaultTimeout.
	Timeout time.Duration
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	baseURL string
	client  *httpclient.Client
}

var _ table.Store = (*Client)(nil)

// New returns a client that connects on its first call.
func New(cfg Config) *Client {
	header := http.Header{ProcessHeader: {cfg.Process}}
	return &Client{
		baseURL: "http://" + cfg.Address.String(),
		client:  httpclient.New(httpclient.Config{Timeout: cfg.Timeout, Header: header}),
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.client.Close()
}

// Get implements table.Store.
func (c *Client) Get(ctx context.Context, keys ...string) ([]table.Row, error) {
	rows, err := c.readRows(ctx, GetPath, GetRequest{Keys: keys})
	if err != nil {
		return nil, err
	}
	if len(rows) != len(keys) {
		return nil, errors.Wrapf(table.ErrUnavailable, "get: platform returned %d rows for %d keys", len(rows), len(keys))
	}
	return rows, nil
}

// Scan implements table.Store.
func (c *Client) Scan(ctx context.Context, prefix string) ([]table.Row, error) {
	return c.readRows(ctx, ScanPath, ScanRequest{Prefix: prefix})
}

// Commit implements table.Store.
func (c *Client) Commit(ctx context.Context, txn table.Txn) error {
	body, err := json.Marshal(txn)
	if err != nil {
		return errors.Wrap(err, "encode transaction")
	}
	response, err := c.client.Do(ctx, http.MethodPost, c.baseURL+CommitPath, body)
	switch {
	case errors.Is(err, httpclient.ErrNotSent):
		return errors.Wrapf(table.ErrUnavailable, "commit: %v", err)
	case err != nil && response.Status != http.StatusConflict:
		return errors.Wrapf(table.ErrUnknown, "commit: %v", err)
	}
	return errorFromResponse(response)
}

// Hosts returns the platform's list of hosts, in name order. The list lags behind
// the hosts' actual states.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var response HostsResponse
	if err := c.read(ctx, http.MethodGet, HostsPath, nil, &response); err != nil {
		return nil, err
	}
	return response.Hosts, nil
}

// Reboot asks the platform to restart a host. Host.Boot has increased once the
// host is back. Another request while the host restarts has no effect.
func (c *Client) Reboot(ctx context.Context, name string) error {
	response, err := c.client.Do(ctx, http.MethodPost, c.baseURL+HostsPath+"/"+url.PathEscape(name)+RebootAction, nil)
	switch {
	case errors.Is(err, httpclient.ErrNotSent):
		return errors.Wrapf(table.ErrUnavailable, "reboot %q: %v", name, err)
	case err != nil:
		return errors.Wrapf(table.ErrUnknown, "reboot %q: %v", name, err)
	}
	return errors.Wrapf(errorFromResponse(response), "reboot %q", name)
}

// PutObject stores an object under name; storing it again replaces it.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	response, err := c.client.Do(ctx, http.MethodPut, c.baseURL+objectPath(name), data)
	switch {
	case errors.Is(err, httpclient.ErrNotSent):
		return errors.Wrapf(table.ErrUnavailable, "put object %q: %v", name, err)
	case err != nil:
		return errors.Wrapf(table.ErrUnknown, "put object %q: %v", name, err)
	}
	return errors.Wrapf(errorFromResponse(response), "put object %q", name)
}

// GetObject returns the object's bytes, ErrNoObject or table.ErrUnavailable.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	response, err := c.client.Do(ctx, http.MethodGet, c.baseURL+objectPath(name), nil)
	switch {
	case err != nil:
		return nil, errors.Wrapf(table.ErrUnavailable, "get object %q: %v", name, err)
	case response.Status == http.StatusNotFound:
		return nil, errors.Wrapf(ErrNoObject, "get object %q", name)
	case response.Status != http.StatusOK:
		return nil, errors.Wrapf(table.ErrUnavailable, "get object %q: status %d", name, response.Status)
	}
	return response.Body, nil
}

// readRows posts a read request and returns the rows of its response.
func (c *Client) readRows(ctx context.Context, path string, request any) ([]table.Row, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, errors.Wrapf(err, "encode the request to %s", path)
	}
	var response RowsResponse
	if err := c.read(ctx, http.MethodPost, path, body, &response); err != nil {
		return nil, err
	}
	return response.Rows, nil
}

// read makes a call without side effects, so every failure is
// table.ErrUnavailable.
func (c *Client) read(ctx context.Context, method, path string, body []byte, into any) error {
	response, err := c.client.Do(ctx, method, c.baseURL+path, body)
	if err != nil {
		return errors.Wrapf(table.ErrUnavailable, "%s: %v", path, err)
	}
	if response.Status != http.StatusOK {
		return errors.Wrapf(table.ErrUnavailable, "%s: status %d", path, response.Status)
	}
	if err := json.Unmarshal(response.Body, into); err != nil {
		return errors.Wrapf(table.ErrUnavailable, "%s: response cannot be decoded: %v", path, err)
	}
	return nil
}

// errorFromResponse maps the response to a write onto the errors of table.Store.
func errorFromResponse(response httpclient.Response) error {
	switch response.Status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusConflict:
		var conflict ConflictResponse
		// A body that cannot be decoded is ignored: the status proves the conflict,
		// and the body only names the row.
		_ = json.Unmarshal(response.Body, &conflict)
		return &table.ConflictError{Key: conflict.Key, Want: conflict.Want, Got: conflict.Got}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound:
		return errors.Wrapf(table.ErrUnavailable, "status %d", response.Status)
	default:
		return errors.Wrapf(table.ErrUnknown, "status %d", response.Status)
	}
}

// objectPath returns the path of an object. Slashes in the name are escaped.
func objectPath(name string) string {
	return ObjectPath + url.PathEscape(name)
}
