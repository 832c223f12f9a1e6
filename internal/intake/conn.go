package intake

import (
	"bytes"
	"container/list"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/budget"
)

const (
	// headerLineBytes is what a line of a header costs once it is decoded, in addition to
	// headerBytesFactor times its bytes.
	headerLineBytes   = 160
	headerBytesFactor = 2
	// freeHeaderBytes is the cost of a header that a connection's own cost includes.
	freeHeaderBytes = 8 << 10
	// headerClaimBytes is the step in which a header's share grows.
	headerClaimBytes = 16 << 10
	// headerTime is how long a header's share is held at most.
	headerTime = 5 * time.Second
	// refusalTimeout bounds sending a refusal to a connection that is closed next. It is short
	// since other connections wait meanwhile.
	refusalTimeout = 2 * time.Millisecond
	// maxReadAhead is the most that a server reads beyond a request.
	maxReadAhead = 4 << 10
	// refusal is the answer on a connection that is closed before its request has arrived.
	refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// phase is what a connection is doing.
type phase int32

const (
	// phaseIdle connections have sent nothing of their next request.
	phaseIdle phase = iota
	// phaseArriving connections have sent a part of a header.
	phaseArriving
	// phaseBody connections have sent a header, and their body is read.
	phaseBody
	// phaseServing connections have sent a whole request, or one whose body is not needed.
	phaseServing
)

// Conn is a connection of a door.
type Conn struct {
	net.Conn
	door  *Door
	phase atomic.Int32
	// writingSince is when a write began that has not ended, in Unix nanoseconds, or 0.
	writingSince atomic.Int64
	// hasAnswered is set once an answer to the current request has begun.
	hasAnswered atomic.Bool

	// headerCost is the cost of the header that arrives, and readAheadCost that of what the
	// server may have read beyond the request before it. header is the share of a header that
	// is larger than usual.
	headerCost, readAheadCost atomic.Int64
	header                    atomic.Pointer[budget.Share]

	// The door's lock guards the rest. element is the place among the connections that may be
	// closed in favour of others, and since is when the connection has made progress last.
	element              *list.Element
	since                time.Time
	hasServed, isEvicted bool
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	switch phase(c.phase.Load()) {
	case phaseServing:
		c.readAheadCost.Add(linesCost(p[:n]))
		return n, err
	case phaseBody:
		c.readAheadCost.Store(linesCost(p[:n]))
		return n, err
	}
	if c.phase.CompareAndSwap(int32(phaseIdle), int32(phaseArriving)) {
		c.progress(time.Now())
	}
	header, rest := p[:n], p[:n]
	if end := bytes.Index(header, headerEnd); end >= 0 {
		header, rest = p[:end+len(headerEnd)], p[end+len(headerEnd):n]
	}
	c.readAheadCost.Store(linesCost(rest))
	if !c.takeHeader(linesCost(header) + int64(len(header))*headerBytesFactor) {
		c.evict(causeHeader)
		return 0, io.EOF
	}
	return n, err
}

// headerEnd ends a header.
var headerEnd = []byte("\r\n\r\n")

// linesCost returns what the lines of a part of a connection's bytes cost if they are a header's.
// Larger parts are read into a body, and not beyond it.
func linesCost(part []byte) int64 {
	if len(part) > maxReadAhead {
		return 0
	}
	return int64(bytes.Count(part, []byte("\n"))) * headerLineBytes
}

// takeHeader adds to the cost of the header that arrives. It returns false if there is no
// room for it.
func (c *Conn) takeHeader(cost int64) bool {
	after := c.headerCost.Add(cost)
	if after <= freeHeaderBytes || c.door.config.Headers == nil {
		return true
	}
	bytes := (stepsOf(after) - stepsOf(after-cost)) * headerClaimBytes
	if bytes == 0 {
		return true
	}
	now := time.Now()
	if share := c.header.Load(); share != nil {
		return share.Grow(now, bytes) == nil
	}
	share, refused := c.door.config.Headers.Take(now, budget.Claim{
		Bytes: bytes, Deadline: now.Add(headerTime), Evict: func() { c.evict(causeHeader) },
	})
	if refused != nil {
		return false
	}
	c.header.Store(share)
	return true
}

// stepsOf returns the number of steps that a header's share has.
func stepsOf(cost int64) int64 {
	if cost <= freeHeaderBytes {
		return 0
	}
	return (cost-freeHeaderBytes)/headerClaimBytes + 1
}

// interimAnswer begins the answer that asks a client for its body.
var interimAnswer = []byte("HTTP/1.1 100 ")

// Write implements net.Conn. A client that does not read makes it fail.
func (c *Conn) Write(p []byte) (int, error) {
	now := time.Now()
	isInterim := bytes.HasPrefix(p, interimAnswer)
	if !isInterim && !c.hasAnswered.Swap(true) && c.door.config.Refuses && phase(c.phase.Load()) == phaseBody {
		c.becomeFirst()
	}
	c.writingSince.Store(now.UnixNano())
	defer c.writingSince.Store(0)
	if err := c.Conn.SetWriteDeadline(now.Add(c.door.config.WriteTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if isTimeout(err) {
		countClosed(c.door.config.Name, causeUnread)
	}
	return n, err
}

// CloseWrite lets the server close a connection in one direction first.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.door.mu.Lock()
	delete(c.door.connections, c)
	c.detach()
	c.door.mu.Unlock()
	c.releaseHeader()
	return c.Conn.Close()
}

func (c *Conn) releaseHeader() {
	if share := c.header.Swap(nil); share != nil {
		share.Release()
	}
}

// detach takes the connection out of those that may be closed; the door's lock must be held.
func (c *Conn) detach() {
	if c.element == nil {
		return
	}
	c.list().Remove(c.element)
	c.element = nil
}

// list returns the list that the connection belongs to.
func (c *Conn) list() *list.List {
	if c.hasServed {
		return &c.door.others
	}
	return &c.door.newcomers
}

// becomeIdle records that a request has been answered.
func (c *Conn) becomeIdle() {
	c.releaseHeader()
	c.headerCost.Store(0)
	c.hasAnswered.Store(false)
	c.phase.Store(int32(phaseIdle))
	c.door.mu.Lock()
	c.detach()
	if !c.isEvicted {
		c.hasServed, c.since = true, time.Now()
		c.element = c.list().PushBack(c)
	}
	c.door.mu.Unlock()
	if !c.takeHeader(c.readAheadCost.Load()) {
		c.evict(causeHeader)
	}
}

// progress records that a part of a request has arrived.
func (c *Conn) progress(now time.Time) {
	c.door.mu.Lock()
	defer c.door.mu.Unlock()
	c.since = now
	if c.element != nil {
		c.list().MoveToBack(c.element)
	}
}

// beginBody records that a header has arrived, and its body is read next.
func (c *Conn) beginBody() {
	c.phase.Store(int32(phaseBody))
	c.door.mu.Lock()
	defer c.door.mu.Unlock()
	c.since = time.Now()
	switch {
	case c.isEvicted:
	case c.element == nil:
		c.element = c.list().PushBack(c)
	default:
		c.list().MoveToBack(c.element)
	}
}

// becomeFirst makes the connection the first to be closed in favour of others: its request has
// been answered although its body has not arrived.
func (c *Conn) becomeFirst() {
	c.door.mu.Lock()
	defer c.door.mu.Unlock()
	c.since = time.Time{}
	if c.element != nil {
		c.list().MoveToFront(c.element)
	}
}

// beginService records that a request has arrived. It returns false if the connection has been
// closed in favour of another.
func (c *Conn) beginService() bool {
	c.phase.Store(int32(phaseServing))
	if share := c.header.Load(); share != nil {
		share.Complete()
	}
	c.door.mu.Lock()
	defer c.door.mu.Unlock()
	c.detach()
	return !c.isEvicted
}

// cause returns why the connection was chosen to be closed.
func (c *Conn) cause() string {
	switch phase(c.phase.Load()) {
	case phaseIdle:
		return causeIdle
	case phaseArriving, phaseBody:
		return causeStalled
	default:
		return causeUnread
	}
}

// evict closes the connection, with an answer if a request has begun to arrive. It does nothing
// if a request has arrived that the cause does not concern.
func (c *Conn) evict(cause string) {
	if cause == causeHeader && phase(c.phase.Load()) == phaseServing {
		return
	}
	c.door.mu.Lock()
	c.isEvicted = true
	_, isOpen := c.door.connections[c]
	c.door.mu.Unlock()
	if !isOpen {
		return
	}
	countClosed(c.door.config.Name, cause)
	if now := phase(c.phase.Load()); (now == phaseArriving || now == phaseBody) && !c.hasAnswered.Load() {
		c.refuse()
	}
	_ = c.Close()
}

// refuse sends a refusal.
func (c *Conn) refuse() {
	if !c.door.config.Refuses {
		return
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Conn.Write([]byte(refusal))
}

// isTimeout reports whether a deadline has passed.
func isTimeout(err error) bool {
	return err != nil && errors.Is(err, os.ErrDeadlineExceeded)
}

// errClosedForOthers is the error of a body whose connection has been closed in favour of others.
var errClosedForOthers = errors.New("the connection was closed in favour of others")

// trackedBody tells its connection how a body arrives.
type trackedBody struct {
	io.ReadCloser
	conn     *Conn
	hasBegun bool
	arrived  int
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	if !b.hasBegun {
		b.hasBegun = true
		b.conn.beginBody()
	}
	n, err := b.ReadCloser.Read(p)
	b.arrived += n
	if b.arrived >= budget.ProgressBytes {
		b.arrived = 0
		b.conn.progress(time.Now())
	}
	if errors.Is(err, io.EOF) && !b.conn.beginService() {
		return n, errClosedForOthers
	}
	return n, err
}
