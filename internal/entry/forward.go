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
	// maxAnswerPrefix is how many bytes of an answer are read before its
	// header goes to the caller; a cut within them can still be reported.
	maxAnswerPrefix = 64 << 10
	// dialTimeout bounds connecting to an endpoint.
	dialTimeout = time.Second
	// idleConnTimeout closes unused connections to endpoints.
	idleConnTimeout = 30 * time.Second
	// maxEndpointHeader bounds an answer's header, in bytes.
	maxEndpointHeader = 256 << 10
)

// errUndelimited means that the end of the answer cannot be told from a cut.
var errUndelimited = errors.New("answer has neither a length nor chunks")

// forwarder sends attempts to endpoints.
type forwarder struct {
	transport *http.Transport
	flights   sync.WaitGroup
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
		MaxResponseHeaderBytes: maxEndpointHeader,
		DisableCompression:     true,
	}}
}

// attempt is one request to one endpoint.
type attempt struct {
	run      charge.RunID
	endpoint netip.AddrPort
	started  time.Time

	// sent is true once a byte of the request may have gone out.
	sent   atomic.Bool
	cancel context.CancelFunc
}

// reply is how an attempt ended: an error, or an answer with its first bytes.
type reply struct {
	response *http.Response
	prefix   []byte
	// whole is true when prefix is the complete body.
	whole bool
	err   error
}

// start sends the request in a goroutine of its own and delivers one reply on
// the channel. The context bounds the run, not the caller's patience.
func (f *forwarder) start(ctx context.Context, a *attempt, request *http.Request) <-chan reply {
	replies := make(chan reply, 1)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { a.sent.Store(true) }}
	request = request.WithContext(httptrace.WithClientTrace(ctx, trace))
	f.flights.Go(func() { replies <- f.roundTrip(request) })
	return replies
}

// roundTrip sends the request and reads the first bytes of the answer.
func (f *forwarder) roundTrip(request *http.Request) reply {
	response, err := f.transport.RoundTrip(request)
	if err != nil {
		return reply{err: err}
	}
	if !delimited(response) {
		_ = response.Body.Close()
		return reply{err: errUndelimited}
	}
	prefix, whole, err := readPrefix(response)
	if err != nil {
		_ = response.Body.Close()
		return reply{err: err}
	}
	if whole {
		_ = response.Body.Close()
	}
	return reply{response: response, prefix: prefix, whole: whole}
}

// close waits for the attempts under way and drops the connections.
func (f *forwarder) close() {
	f.flights.Wait()
	f.transport.CloseIdleConnections()
}

// delimited reports whether a cut of the body can be told from its end.
func delimited(response *http.Response) bool {
	if response.ContentLength >= 0 || len(response.TransferEncoding) > 0 {
		return true
	}
	return response.Request.Method == http.MethodHead || response.Body == http.NoBody
}

// readPrefix reads up to maxAnswerPrefix bytes; whole is true at the body's end.
func readPrefix(response *http.Response) (prefix []byte, whole bool, err error) {
	size := int64(maxAnswerPrefix)
	if length := response.ContentLength; length >= 0 && length < size {
		size = length
	}
	buffer := bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead))
	_, err = io.CopyN(buffer, response.Body, maxAnswerPrefix)
	switch {
	case err == nil:
		return buffer.Bytes(), false, nil
	case errors.Is(err, io.EOF):
		return buffer.Bytes(), true, nil
	default:
		return nil, false, err
	}
}

// onceBody keeps net/http from sending a request again by itself: a request
// whose body cannot be rewound is never replayed, even when it is empty.
type onceBody struct {
	io.Reader
}

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// outgoing builds the request for an endpoint from the caller's.
func outgoing(c *call, a *attempt) *http.Request {
	target := &url.URL{
		Scheme:   "http",
		Host:     a.endpoint.String(),
		Path:     c.path,
		RawPath:  c.rawPath,
		RawQuery: c.request.URL.RawQuery,
	}
	header := endToEnd(c.request.Header)
	header.Del("Authorization")
	header.Set(headerRun, a.run.String())
	header.Set(headerTeam, c.team)
	header.Set(headerRequest, c.id)
	out := &http.Request{
		Method: c.request.Method, URL: target, Host: c.request.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Trailer: c.request.Trailer,
	}
	if c.stream != nil {
		out.Body = onceBody{c.stream}
		out.ContentLength = c.request.ContentLength
		return out
	}
	out.Body = onceBody{bytes.NewReader(c.body)}
	out.ContentLength = int64(len(c.body))
	return out
}
