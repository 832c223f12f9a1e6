package intake

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/budget"
)

const (
	// DefaultMaxBodyTime is the longest time that a body may take, whatever its caller says.
	DefaultMaxBodyTime = 30 * time.Second
	// LingerTime is how long the rest of a refused body is read and dropped: a connection that
	// is closed with unread bytes is reset, and its client may lose the answer.
	LingerTime = 500 * time.Millisecond
	// DefaultBodyFactor is for bodies that are decoded and encoded again.
	DefaultBodyFactor = 3
	// firstBodyBytes is the size of a body's first buffer, and what a body takes whose length
	// is not known, before it is read.
	firstBodyBytes = 2 << 10
)

// Causes of refused bodies, as metrics' labels.
const (
	RefusedTooLarge  Cause = "too-large"
	RefusedOversized Cause = "larger-than-memory"
	RefusedFull      Cause = "no-room"
	RefusedStalled   Cause = "no-progress"
	RefusedLate      Cause = "too-late"
	RefusedBroken    Cause = "broken-off"
)

// Cause says why a body was refused.
type Cause string

// Refusal is a body that was not read to its end.
type Refusal struct {
	Cause Cause
	// RetryAfter is when another attempt makes sense, 0 if none does.
	RetryAfter time.Duration
}

// BodiesConfig configures Bodies.
type BodiesConfig struct {
	Budget *budget.Budget
	// MaxTime is DefaultMaxBodyTime if it is zero.
	MaxTime time.Duration
	// Factor is how many times its bytes a body takes, DefaultBodyFactor if it is zero.
	Factor int64
}

// Bodies reads the bodies of requests within a budget.
type Bodies struct {
	config BodiesConfig
}

// NewBodies returns a reader of bodies.
func NewBodies(config BodiesConfig) *Bodies {
	if config.MaxTime == 0 {
		config.MaxTime = DefaultMaxBodyTime
	}
	if config.Factor == 0 {
		config.Factor = DefaultBodyFactor
	}
	return &Bodies{config: config}
}

// Body is a body that has been read, and its share of the budget, which the owner releases.
type Body struct {
	Bytes []byte
	Share *budget.Share
}

// Read reads a request's body of at most maxBytes until a deadline. A refused request's
// connection is closed after its answer.
func (b *Bodies) Read(w http.ResponseWriter, r *http.Request, maxBytes int64, deadline time.Time) (Body, *Refusal) {
	if r.ContentLength > maxBytes {
		return Body{}, refuse(w, &Refusal{Cause: RefusedTooLarge})
	}
	body, isWhole, refused := b.ReadPrefix(w, r, maxBytes, deadline)
	if refused == nil && !isWhole {
		body.Share.Release()
		refused = refuse(w, &Refusal{Cause: RefusedTooLarge})
	}
	if refused != nil {
		return Body{}, refused
	}
	return body, nil
}

// ReadPrefix is like Read for a body that may be longer: it returns the first bytes of it, one
// more than maxBytes, and that it is not whole. The rest has no deadline.
func (b *Bodies) ReadPrefix(w http.ResponseWriter, r *http.Request, maxBytes int64, deadline time.Time) (body Body, isWhole bool, refused *Refusal) {
	now := time.Now()
	if latest := now.Add(b.config.MaxTime); deadline.After(latest) {
		deadline = latest
	}
	length, claimed := r.ContentLength, min(r.ContentLength, maxBytes)
	if length < 0 {
		claimed = min(firstBodyBytes, maxBytes)
	}
	control := http.NewResponseController(w)
	share, noRoom := b.config.Budget.Take(now, budget.Claim{Bytes: claimed * b.config.Factor, Deadline: deadline, Evict: func() {
		// Ends the read; not all writers of tests have deadlines.
		_ = control.SetReadDeadline(time.Unix(1, 0))
	}})
	if noRoom != nil {
		return Body{}, false, refuse(w, refusalOf(noRoom))
	}
	_ = control.SetReadDeadline(deadline)
	reader := bodyReader{source: r.Body, share: share, claimed: claimed, length: length, maxBytes: maxBytes, factor: b.config.Factor}
	text, isWhole, refused := reader.read()
	if !share.Complete() {
		refused = &Refusal{Cause: RefusedStalled, RetryAfter: time.Second}
	}
	if refused != nil {
		share.Release()
		return Body{}, false, refuse(w, refused)
	}
	_ = control.SetReadDeadline(time.Time{})
	return Body{Bytes: text, Share: share}, isWhole, nil
}

// refuse counts a refusal, and makes the server close the connection after the answer.
func refuse(w http.ResponseWriter, refused *Refusal) *Refusal {
	metrics.GetOrCreateCounter(`bodies_refused_total{cause="` + string(refused.Cause) + `"}`).Inc()
	Linger(w)
	return refused
}

// refusalOf returns the refusal of a claim.
func refusalOf(refused *budget.Refusal) *Refusal {
	if refused.IsTooLarge {
		return &Refusal{Cause: RefusedOversized}
	}
	return &Refusal{Cause: RefusedFull, RetryAfter: refused.RetryAfter}
}

// Linger makes the server close the connection after the answer, whose client may still be
// sending: it reads and drops for a short time.
func Linger(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(LingerTime))
}

// BoundDrain bounds how long the server waits for the rest of a body that no one has read,
// before it sends the answer and reads the connection's next request.
func BoundDrain(w http.ResponseWriter, r *http.Request) {
	if r.Body != http.NoBody {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(LingerTime))
	}
}

// bodyReader reads one body.
type bodyReader struct {
	source io.Reader
	share  *budget.Share
	// claimed is how many bytes of the body the share is for, and length the length that the
	// request names, or -1.
	claimed, length, maxBytes, factor int64
}

// read reads the body to its end, or one byte more than may be kept.
func (r *bodyReader) read() (text []byte, isWhole bool, refused *Refusal) {
	size := min(int64(firstBodyBytes), r.maxBytes)
	if r.length >= 0 {
		size = min(size, r.length)
	}
	// One byte more than needed, so that the last read meets the end.
	buffer := make([]byte, 0, size+1)
	for {
		n, err := r.source.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case int64(len(buffer)) > r.maxBytes:
			return buffer, false, nil
		case errors.Is(err, io.EOF):
			return buffer, true, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, false, &Refusal{Cause: RefusedLate, RetryAfter: time.Second}
		case err != nil:
			return nil, false, &Refusal{Cause: RefusedBroken}
		}
		if n > 0 {
			r.share.Progress(time.Now(), n)
		}
		if len(buffer) < cap(buffer) {
			continue
		}
		if buffer, refused = r.grow(buffer); refused != nil {
			return nil, false, refused
		}
	}
}

// grow returns a larger buffer with the same content, once the share allows it.
func (r *bodyReader) grow(buffer []byte) ([]byte, *Refusal) {
	most := r.maxBytes
	if r.length >= 0 {
		most = min(most, r.length)
	}
	size := min(2*int64(cap(buffer)), most)
	if size > r.claimed {
		if refused := r.share.Grow(time.Now(), (size-r.claimed)*r.factor); refused != nil {
			return nil, refusalOf(refused)
		}
		r.claimed = size
	}
	grown := make([]byte, len(buffer), size+1)
	copy(grown, buffer)
	return grown, nil
}

// Stream returns a body whose reads fail once the client has sent nothing for a time.
func Stream(w http.ResponseWriter, body io.Reader, stallTime time.Duration) io.Reader {
	return &stream{Reader: body, control: http.NewResponseController(w), stallTime: stallTime}
}

type stream struct {
	io.Reader
	control   *http.ResponseController
	stallTime time.Duration
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) {
	// Not all writers of tests have deadlines.
	_ = s.control.SetReadDeadline(time.Now().Add(s.stallTime))
	return s.Reader.Read(p)
}
