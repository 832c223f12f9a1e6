package entry

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/budget"
	"github.com/lovagedyke/lovagedyke/internal/catalogue"
	"github.com/lovagedyke/lovagedyke/internal/claim"
	"github.com/lovagedyke/lovagedyke/internal/intake"
	"github.com/lovagedyke/lovagedyke/internal/revision"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

const (
	// maxBufferedBody is the largest body that is buffered, so that an attempt
	// can be retried. Larger bodies are streamed and sent only once.
	maxBufferedBody = 64 << 10
	// maxIdempotentBody is the largest body of an idempotent request. It is
	// buffered as a whole because its digest must be known before the first
	// byte is sent.
	maxIdempotentBody = 1 << 20
	// maxIdempotencyKeyLength bounds an idempotency key in bytes.
	maxIdempotencyKeyLength = 255
	// maxDeadline is the longest deadline that a caller may request.
	maxDeadline = time.Hour
	// streamStallTime is how long a caller may send nothing of a streamed body.
	streamStallTime = 30 * time.Second
	// idBytes is the number of random bytes in a request or task ID.
	idBytes = 16
)

// call is a caller's request. checkCall fills it in.
type call struct {
	id      string
	request *http.Request
	entry   catalogue.Entry
	team    string
	// path is the path after the service's name.
	path    string
	rawPath string

	arrived  time.Time
	deadline time.Time

	// idempotencyKey is empty for a request that may run more than once.
	idempotencyKey string
	digest         [sha256.Size]byte
	// claim is the granted claim of an idempotent request.
	claim *claim.Record

	// body is the whole body, unless stream is set. share is the memory that is taken for it.
	body   []byte
	stream io.Reader
	share  *budget.Share
}

// isIdempotent reports whether the request has an idempotency key and so must
// run at most once.
func (c *call) isIdempotent() bool { return c.idempotencyKey != "" }

// isRepeatable reports whether a failed attempt may be retried.
func (c *call) isRepeatable() bool { return !c.isIdempotent() && c.stream == nil }

// newID returns a random identifier in hexadecimal.
func newID() string {
	var raw [idBytes]byte
	if _, err := rand.Read(raw[:]); err != nil {
		panic(errors.Wrap(err, "read random bytes"))
	}
	return hex.EncodeToString(raw[:])
}

// checkCall authenticates the request and checks its headers and size. The body
// is bounded by the catalogue and by maxBody bytes, and read by bodies. A refusal means
// that the work did not run.
func checkCall(state *revision.State, maxBody int64, bodies *intake.Bodies, w http.ResponseWriter, r *http.Request, now time.Time) (*call, *api.Problem) {
	c := &call{id: newID(), request: r, arrived: now}
	if refusal := c.route(state); refusal != nil {
		return c, refusal
	}
	if refusal := c.authenticate(state); refusal != nil {
		return c, refusal
	}
	if refusal := c.parseDeadline(); refusal != nil {
		return c, refusal
	}
	if refusal := c.parseIdempotencyKey(); refusal != nil {
		return c, refusal
	}
	c.entry.MaxBody = min(c.entry.MaxBody, maxBody)
	return c, c.readBody(w, bodies)
}

// route finds the catalogue entry that the first path segment names.
func (c *call) route(state *revision.State) *api.Problem {
	name, rest, _ := strings.Cut(strings.TrimPrefix(c.request.URL.Path, "/"), "/")
	entry, ok := state.Catalogue.Entries[name]
	if !ok {
		return notRunProblem(http.StatusNotFound, "unknown-service", "path", fmt.Sprintf("%.64q is not in the catalogue", name))
	}
	if c.request.Header.Get("Upgrade") != "" {
		return notRunProblem(http.StatusNotImplemented, "upgrade-not-supported", "Upgrade", "protocol upgrades are not forwarded")
	}
	c.entry = entry
	c.path = "/" + rest
	if raw := c.request.URL.RawPath; raw != "" {
		_, rawRest, _ := strings.Cut(strings.TrimPrefix(raw, "/"), "/")
		c.rawPath = "/" + rawRest
	}
	return nil
}

// authenticate sets the team that the request's key belongs to.
func (c *call) authenticate(state *revision.State) *api.Problem {
	presented, ok := strings.CutPrefix(c.request.Header.Get("Authorization"), "Bearer ")
	if !ok || presented == "" {
		return notRunProblem(http.StatusUnauthorized, "no-key", "Authorization", "a team key is needed: Authorization: Bearer <key>")
	}
	team, ok := state.Keys.Check(presented)
	if !ok {
		return notRunProblem(http.StatusUnauthorized, "wrong-key", "Authorization", "the key is unknown or was withdrawn")
	}
	if !c.entry.Admits(team) {
		return notRunProblem(http.StatusForbidden, "other-team", "Authorization", fmt.Sprintf("team %q may not use %q", team, c.entry.Name))
	}
	c.team = team
	return nil
}

// parseDeadline sets the deadline from the header, or else from the catalogue.
func (c *call) parseDeadline() *api.Problem {
	timeout := c.entry.Deadline
	if text := c.request.Header.Get(headerDeadline); text != "" {
		parsed, err := time.ParseDuration(text)
		if err != nil || parsed <= 0 || parsed > maxDeadline {
			return notRunProblem(http.StatusBadRequest, "broken-deadline", headerDeadline,
				fmt.Sprintf("deadline %.40q is not a duration above 0 and up to %s, such as 2s", text, maxDeadline))
		}
		timeout = parsed
	}
	c.deadline = c.arrived.Add(timeout)
	return nil
}

func (c *call) parseIdempotencyKey() *api.Problem {
	values := c.request.Header.Values(headerIdempotencyKey)
	if len(values) == 0 {
		return nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxIdempotencyKeyLength {
		return notRunProblem(http.StatusBadRequest, "broken-idempotency-key", headerIdempotencyKey,
			fmt.Sprintf("one value of 1 to %d bytes is needed", maxIdempotencyKeyLength))
	}
	c.idempotencyKey = values[0]
	return nil
}

// readBody buffers the body if it must be digested or may be sent again, and
// otherwise sets up streaming.
func (c *call) readBody(w http.ResponseWriter, bodies *intake.Bodies) *api.Problem {
	if c.request.ContentLength > c.entry.MaxBody {
		intake.Linger(w)
		return bodyTooLargeProblem(c.entry.MaxBody)
	}
	limit := min(maxBufferedBody, c.entry.MaxBody)
	if c.isIdempotent() {
		limit = min(maxIdempotentBody, c.entry.MaxBody)
	}
	body, isWhole, refused := bodies.ReadPrefix(w, c.request, limit, c.deadline)
	if refused != nil {
		return bodyRefusedProblem(refused)
	}
	c.share = body.Share
	if isWhole {
		c.body = body.Bytes
		c.digest = c.computeDigest()
		return nil
	}
	if c.isIdempotent() || limit == c.entry.MaxBody {
		c.release()
		intake.Linger(w)
		return bodyTooLargeProblem(limit)
	}
	// Without full duplex, the server reads the request body to its end before
	// it writes a response, which breaks endpoints that answer while they read.
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
		c.release()
		return notRunProblem(http.StatusNotImplemented, "streaming-not-supported", "body", "the connection cannot stream both ways")
	}
	rest := http.MaxBytesReader(w, c.request.Body, c.entry.MaxBody-int64(len(body.Bytes)))
	c.stream = io.MultiReader(bytes.NewReader(body.Bytes), intake.Stream(w, rest, streamStallTime))
	return nil
}

// release gives back the body's share of the memory.
func (c *call) release() {
	if c.share != nil {
		c.share.Release()
		c.share = nil
	}
}

// computeDigest hashes the parts of an idempotent request that a repeat must
// have in common with it.
func (c *call) computeDigest() [sha256.Size]byte {
	if !c.isIdempotent() {
		return [sha256.Size]byte{}
	}
	hash := sha256.New()
	fmt.Fprintf(hash, "%s %s?%s\n", c.request.Method, c.path, c.request.URL.RawQuery)
	hash.Write(c.body)
	return [sha256.Size]byte(hash.Sum(nil))
}

// bodyTooLargeProblem returns the refusal of a body over limit bytes.
func bodyTooLargeProblem(limit int64) *api.Problem {
	return notRunProblem(http.StatusRequestEntityTooLarge, "body-too-large", "body", fmt.Sprintf("the body is over %d bytes", limit))
}

// bodyRefusedProblem returns the problem for a body that was not read to its end.
func bodyRefusedProblem(refused *intake.Refusal) *api.Problem {
	switch refused.Cause {
	case intake.RefusedOversized:
		return notRunProblem(http.StatusRequestEntityTooLarge, "body-too-large", "body", "the body is larger than this process has memory for")
	case intake.RefusedFull:
		return unavailableProblem("no-memory", "this process holds as many requests as it has memory for", refused.RetryAfter)
	case intake.RefusedStalled, intake.RefusedLate:
		return unavailableProblem("body-late", "the body did not arrive in time", refused.RetryAfter)
	default:
		return notRunProblem(http.StatusBadRequest, "broken-body", "body", "the body ended early")
	}
}
