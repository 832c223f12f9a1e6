// Package call makes HTTP calls and reports, for a failed call, whether the server
// may have received the request.
//
// # Usage
//
//	caller := call.New(call.Config{Timeout: 2 * time.Second})
//	answer, err := caller.Do(ctx, http.MethodPost, url, body)
//	switch {
//	case errors.Is(err, call.ErrNotSent): // had no effect
//	case err != nil:                      // may have had an effect
//	}
package call

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNotSent marks the error of a call that failed before it got a connection.
var ErrNotSent = errors.New("request was not sent")

// DefaultTimeout is the default of Config.Timeout.
const DefaultTimeout = 2 * time.Second

const (
	maxAnswerBytes  = 64 << 20
	maxIdleConns    = 8
	idleConnTimeout = 30 * time.Second
)

// Config configures a Caller.
type Config struct {
	// Timeout bounds one call, including the reading of its answer.
	Timeout time.Duration
	// Header is added to each request.
	Header http.Header
}

// Answer is the answer to a call.
type Answer struct {
	Status int
	Body   []byte
}

// Caller makes calls over persistent connections. It is safe for concurrent use.
type Caller struct {
	timeout time.Duration
	header  http.Header
	client  *http.Client
}

// New returns a Caller that connects on its first call.
func New(cfg Config) *Caller {
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &Caller{timeout: cfg.Timeout, header: cfg.Header, client: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}

// Do makes one request and reads the whole answer. An error marked ErrNotSent means
// that the request was not sent. If the body is cut off, Do returns an error and
// the answer's status.
func (c *Caller) Do(ctx context.Context, method, url string, body []byte) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, bytes.NewReader(body))
	if err != nil {
		return Answer{}, errors.Mark(err, ErrNotSent)
	}
	for name, values := range c.header {
		request.Header[name] = values
	}
	response, err := c.client.Do(request)
	if err != nil && !sent.Load() {
		return Answer{}, errors.Mark(err, ErrNotSent)
	}
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return Answer{Status: response.StatusCode, Body: data}, err
}
