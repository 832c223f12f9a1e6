package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/charge"
)

const (
	// maxResponsePrefix is how many bytes of a response are read before its
	// header is sent to the caller. If the body breaks off within them, the
	// caller still gets a problem instead of a broken response.
	maxResponsePrefix = 64 << 10
	// dialTimeout bounds connecting to an endpoint.
	dialTimeout = time.Second
	// idleConnTimeout is when idle connections to endpoints are closed.
	idleConnTimeout = 30 * time.Second
	// maxResponseHeader bounds the header of an endpoint's response, in bytes.
	maxResponseHeader = 256 << 10
)

// errUndelimited means that the end of the body cannot be told from a closed
// connection.
var errUndelimited = errors.New("endpoint's response has neither a Content-Length nor chunked encoding")

// forwarder sends attempts to endpoints.
type forwarder struct {
	transport *http.Transport
	inFlight  sync.WaitGroup
}

// newForwarder returns a forwarder that opens at most maxConns connections to
// each endpoint.
func newForwarder(maxConns int) *forwarder {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &forwarder{transport: &http.Transport{
		DialContext:            dialer.DialContext,
		MaxConnsPerHost:        maxConns,
		MaxIdleConnsPerHost:    maxConns,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeader,
		DisableCompression:     true,
	}}
}

// attempt is one request to one endpoint.
type attempt struct {
	runID    charge.RunID
	endpoint netip.AddrPort
	started  time.Time

	// sent is true once a byte of the request may have been sent.
	sent   atomic.Bool
	cancel context.CancelFunc
}

// attemptResult is the result of an attempt: an error, or a response with the
// first bytes of its body.
type attemptResult struct {
	response *http.Response
	prefix   []byte
	// complete is true if prefix is the whole body.
	complete bool
	err      error
}

// send sends the request in its own goroutine and delivers one result on the
// channel. The context bounds the run, which may outlast the caller's deadline.
func (f *forwarder) send(ctx context.Context, a *attempt, request *http.Request) <-chan attemptResult {
	results := make(chan attemptResult, 1)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { a.sent.Store(true) }}
	request = request.WithContext(httptrace.WithClientTrace(ctx, trace))
	f.inFlight.Go(func() { results <- f.roundTrip(request) })
	return results
}

// roundTrip sends the request and reads the first bytes of the response.
func (f *forwarder) roundTrip(request *http.Request) attemptResult {
	response, err := f.transport.RoundTrip(request)
	if err != nil {
		return attemptResult{err: err}
	}
	if !delimited(response) {
		_ = response.Body.Close()
		return attemptResult{err: errUndelimited}
	}
	prefix, complete, err := readPrefix(response)
	if err != nil {
		_ = response.Body.Close()
		return attemptResult{err: err}
	}
	if complete {
		_ = response.Body.Close()
	}
	return attemptResult{response: response, prefix: prefix, complete: complete}
}

// close waits for the attempts in flight and closes idle connections.
func (f *forwarder) close() {
	f.inFlight.Wait()
	f.transport.CloseIdleConnections()
}

// delimited reports whether the end of the body can be told from a connection
// that was closed early.
func delimited(response *http.Response) bool {
	if response.ContentLength >= 0 || len(response.TransferEncoding) > 0 {
		return true
	}
	return response.Request.Method == http.MethodHead || response.Body == http.NoBody
}

// readPrefix reads up to maxResponsePrefix bytes. complete is true if the body
// has ended.
func readPrefix(response *http.Response) (prefix []byte, complete bool, err error) {
	size := int64(maxResponsePrefix)
	if length := response.ContentLength; length >= 0 && length < size {
		size = length
	}
	buffer := bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead))
	_, err = io.CopyN(buffer, response.Body, maxResponsePrefix)
	switch {
	case err == nil:
		return buffer.Bytes(), false, nil
	case errors.Is(err, io.EOF):
		return buffer.Bytes(), true, nil
	default:
		return nil, false, err
	}
}

// nonReplayableBody keeps net/http from retrying a request: net/http
// never replays a request whose body cannot be rewound, even if it is empty.
type nonReplayableBody struct {
	io.Reader
}

// Close implements io.Closer.
func (nonReplayableBody) Close() error { return nil }

// endpointRequest builds the request to the endpoint from the caller's request.
func endpointRequest(c *call, a *attempt) *http.Request {
	target := &url.URL{
		Scheme:   "http",
		Host:     a.endpoint.String(),
		Path:     c.path,
		RawPath:  c.rawPath,
		RawQuery: c.request.URL.RawQuery,
	}
	header := endToEndHeader(c.request.Header)
	header.Del("Authorization")
	header.Set(headerRun, a.runID.String())
	header.Set(headerTeam, c.team)
	header.Set(headerRequest, c.id)
	out := &http.Request{
		Method: c.request.Method, URL: target, Host: c.request.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Trailer: c.request.Trailer,
	}
	if c.stream != nil {
		out.Body = nonReplayableBody{c.stream}
		out.ContentLength = c.request.ContentLength
		return out
	}
	out.Body = nonReplayableBody{bytes.NewReader(c.body)}
	out.ContentLength = int64(len(c.body))
	return out
}
