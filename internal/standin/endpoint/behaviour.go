package endpoint

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Values of BehaviourHeader, with which a request selects a behaviour.
const (
	Truncate  = "truncate"   // declares a longer body than it sends
	SlowBody  = "slow-body"  // sends the body in pieces, spread over the run time
	LargeBody = "large-body" // =<bytes>: a body of that size, which repeats the nonce
	Status    = "status"     // =<n>: responds with that HTTP status
	Hang      = "hang"       // responds only after the caller has disconnected
	Trailers  = "trailers"   // adds a trailer
	Echo      = "echo"       // streams the request body back
	Close     = "close"      // runs, then closes the connection without a response
)

const (
	maxHang        = time.Minute
	maxLargeBody   = 1 << 30
	slowBodyPieces = 8
)

// behaviour is a parsed BehaviourHeader; amount is its value, if it takes one.
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

// write sends the response as the behaviour requires.
func (b behaviour) write(w http.ResponseWriter, body []byte, nonce string, runTime time.Duration) {
	switch b.name {
	case Truncate:
		w.Header().Set("Content-Length", strconv.Itoa(2*len(body)))
		_, _ = w.Write(body)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler) // net/http then closes the connection.
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

// writeSlowly sends the body in slowBodyPieces pieces over the given time.
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

// writeRepeated sends a body of size bytes that repeats the nonce and a line feed.
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
