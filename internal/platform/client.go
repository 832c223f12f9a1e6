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
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/table"
)

// ErrNoObject means that the object store holds no object of that name.
var ErrNoObject = errors.New("object does not exist")

// errNotSent marks a call that failed before a connection carried it.
var errNotSent = errors.New("request was not sent")

const (
	defaultTimeout  = 2 * time.Second
	maxAnswerBytes  = 64 << 20
	maxIdleConns    = 8
	idleConnTimeout = 30 * time.Second
)

// Config says where the platform is and who calls it.
type Config struct {
	Address netip.AddrPort
	// Process is sent with each call, for the platform's statistics.
	Process string
	// Timeout bounds each call; 2 s if zero.
	Timeout time.Duration
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	base    string
	process string
	timeout time.Duration
	http    *http.Client
}

var _ table.Store = (*Client)(nil)

// New returns a client that connects on its first call.
func New(cfg Config) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &Client{
		base:    "http://" + cfg.Address.String(),
		process: cfg.Process,
		timeout: cfg.Timeout,
		http:    &http.Client{Transport: transport},
	}
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
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
	answer, err := c.call(ctx, http.MethodPost, CommitPath, body)
	switch {
	case errors.Is(err, errNotSent):
		return errors.Wrapf(table.ErrUnavailable, "commit: %v", err)
	case err != nil && answer.status != http.StatusConflict:
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

// PutObject stores an object under name; storing it again replaces it.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	answer, err := c.call(ctx, http.MethodPut, objectPath(name), data)
	switch {
	case errors.Is(err, errNotSent):
		return errors.Wrapf(table.ErrUnavailable, "put object %q: %v", name, err)
	case err != nil:
		return errors.Wrapf(table.ErrUnknown, "put object %q: %v", name, err)
	}
	return errors.Wrapf(commitOutcome(answer), "put object %q", name)
}

// GetObject returns the object's bytes, ErrNoObject or table.ErrUnavailable.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	answer, err := c.call(ctx, http.MethodGet, objectPath(name), nil)
	switch {
	case err != nil:
		return nil, errors.Wrapf(table.ErrUnavailable, "get object %q: %v", name, err)
	case answer.status == http.StatusNotFound:
		return nil, errors.Wrapf(ErrNoObject, "get object %q", name)
	case answer.status != http.StatusOK:
		return nil, errors.Wrapf(table.ErrUnavailable, "get object %q: status %d", name, answer.status)
	}
	return answer.body, nil
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
	answer, err := c.call(ctx, method, path, body)
	if err != nil {
		return errors.Wrapf(table.ErrUnavailable, "%s: %v", path, err)
	}
	if answer.status != http.StatusOK {
		return errors.Wrapf(table.ErrUnavailable, "%s: status %d", path, answer.status)
	}
	if err := json.Unmarshal(answer.body, into); err != nil {
		return errors.Wrapf(table.ErrUnavailable, "%s: broken answer: %v", path, err)
	}
	return nil
}

// answer is a whole answer of the platform.
type answer struct {
	status int
	body   []byte
}

// call makes one request and reads its whole answer. An error marked errNotSent
// means that no connection carried the request. A cut body comes with its status.
func (c *Client) call(ctx context.Context, method, path string, body []byte) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, errors.Mark(err, errNotSent)
	}
	request.Header.Set(ProcessHeader, c.process)
	response, err := c.http.Do(request)
	if err != nil && !sent.Load() {
		return answer{}, errors.Mark(err, errNotSent)
	}
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return answer{status: response.StatusCode, body: data}, err
}

// commitOutcome maps the answer to a write onto the errors of table.Store.
func commitOutcome(got answer) error {
	switch got.status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusConflict:
		var conflict ConflictAnswer
		// The status alone proves the conflict; the body only names the row.
		_ = json.Unmarshal(got.body, &conflict)
		return &table.ConflictError{Key: conflict.Key, Want: conflict.Want, Got: conflict.Got}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound:
		return errors.Wrapf(table.ErrUnavailable, "status %d", got.status)
	default:
		return errors.Wrapf(table.ErrUnknown, "status %d", got.status)
	}
}

// objectPath escapes the name whole, so that a slash in it stays part of it.
func objectPath(name string) string {
	return ObjectPath + url.PathEscape(name)
}
