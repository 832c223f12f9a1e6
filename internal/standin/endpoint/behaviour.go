package endpoint

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Behaviours that a request selects by BehaviourHeader.
const (
	Truncate  = "truncate"   // declares more bytes than it sends
	SlowBody  = "slow-body"  // sends the body in pieces over the run time
	LargeBody = "large-body" // =<bytes>: repeats the nonce up to that size
	Status    = "status"     // =<n>: answers with that status
	Hang      = "hang"       // answers only when the caller has left
	Trailers  = "trailers"   // adds a trailer
	Echo      = "echo"       // streams the request's body back
	Close     = "close"      // runs, then cuts the connection
)

const (
	maxHang        = time.Minute
	maxLargeBody   = 1 << 30
	slowBodyPieces = 8
)

// behaviour is a parsed BehaviourHeader.
type behaviour struct {
	name   string
	amount int
}

// parseBehaviour reads a header such as "echo" or "status=503".
func parseBehaviour(text string) (behaviour, error) {
	name, value, hasValue := strings.Cut(text, "=")
	parsed := behaviour{name: name}
	switch name {
	case "", Truncate, SlowBody, Hang, Trailers, Echo, Close:
		if hasValue {
			return parsed, errors.Newf("behaviour %q takes no value", name)
		}
		return parsed, nil
	case LargeBody, Status:
	default:
		return parsed, errors.Newf("behaviour %q does not exist", name)
	}
	amount, err := strconv.Atoi(value)
	if err != nil || amount < 0 || amount > maxLargeBody {
		return parsed, errors.Newf("behaviour %q has bad value %q", name, value)
	}
	if name == Status && (amount < http.StatusOK || amount > 599) {
		return parsed, errors.Newf("status %d is not a final status", amount)
	}
	parsed.amount = amount
	return parsed, nil
}

// write answers with the body in the manner of the behaviour.
func (b behaviour) write(w http.ResponseWriter, body []byte, nonce string, runTime time.Duration) {
	switch b.name {
	case Truncate:
		w.Header().Set("Content-Length", strconv.Itoa(2*len(body)))
		_, _ = w.Write(body)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler) // The server's own way to cut a connection.
	case Close:
		panic(http.ErrAbortHandler)
	case SlowBody:
		writeSlowly(w, body, runTime)
	case LargeBody:
		writeRepeated(w, nonce, b.amount)
	case Status:
		w.WriteHeader(b.amount)
		_, _ = w.Write(body)
	case Trailers:
		w.Header().Set("Trailer", TrailerHeader)
		_, _ = w.Write(body)
		w.Header().Set(TrailerHeader, nonce)
	default:
		_, _ = w.Write(body)
	}
}

// writeSlowly sends the body in pieces that together take the given time.
func writeSlowly(w http.ResponseWriter, body []byte, total time.Duration) {
	controller := http.NewResponseController(w)
	size := max(1, (len(body)+slowBodyPieces-1)/slowBodyPieces)
	for len(body) > 0 {
		n := min(size, len(body))
		_, _ = w.Write(body[:n])
		_ = controller.Flush()
		body = body[n:]
		time.Sleep(total / slowBodyPieces)
	}
}

// writeRepeated sends size bytes that repeat the nonce and a line feed.
func writeRepeated(w http.ResponseWriter, nonce string, size int) {
	w.Header().Set("Content-Length", strconv.Itoa(size))
	block := []byte(strings.Repeat(fmt.Sprintln(nonce), 1024))
	for size > 0 {
		n := min(size, len(block))
		if _, err := w.Write(block[:n]); err != nil {
			return
		}
		size -= n
	}
}
