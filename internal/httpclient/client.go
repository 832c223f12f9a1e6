// Package httpclient makes HTTP calls and reports, for a failed call, whether the
// server may have received the request.
//
// # Usage
//
//	client := httpclient.New(httpclient.Config{Timeout: 2 * time.Second})
//	response, err := client.Do(ctx, http.MethodPost, url, body)
//	switch {
//	case errors.Is(err, httpclient.ErrNotSent): // had no effect
//	case err != nil:                            // may have had an effect
//	}
package httpclient

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/bounded"
)

// ErrNotSent marks the error of a call that failed before it got a connection.
var ErrNotSent = errors.New("request was not sent")

// DefaultTimeout is the default of Config.Timeout.
const DefaultTimeout = 2 * time.Second

const (
	maxResponseBytes = 64 << 20
	maxIdleConns     = 8
	idleConnTimeout  = 30 * time.Second
)

// Config configures a Client.
type Config struct {
	// Timeout bounds one call, including the reading of its response.
	Timeout time.Duration
	// Header is added to each request.
	Header http.Header
}

// Response is the response to a call.
type Response struct {
	Status int
	Body   []byte
}

// Client makes calls over persistent connections. It is safe for concurrent use.
type Client struct {
	timeout time.Duration
	header  http.Header
	client  *http.Client
}

// New returns a Client that connects on its first call.
func New(cfg Config) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &Client{timeout: cfg.Timeout, header: cfg.Header, client: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.client.CloseIdleConnections()
}

// Do makes one request and reads the response body. An error marked ErrNotSent means
// that the request was not sent. If reading the body fails, or the body is longer than
// maxResponseBytes, Do returns the error together with the response's status and the
// part that was read.
func (c *Client) Do(ctx context.Context, method, url string, body []byte) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, bytes.NewReader(body))
	if err != nil {
		return Response{}, errors.Mark(err, ErrNotSent)
	}
	for name, values := range c.header {
		request.Header[name] = values
	}
	response, err := c.client.Do(request)
	if err != nil && !sent.Load() {
		return Response{}, errors.Mark(err, ErrNotSent)
	}
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := bounded.ReadAll(response.Body, maxResponseBytes)
	return Response{Status: response.StatusCode, Body: data}, err
}
