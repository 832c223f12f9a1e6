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

	"github.com/lovagedyke/lovagedyke/internal/catalogue"
	"github.com/lovagedyke/lovagedyke/internal/claim"
	"github.com/lovagedyke/lovagedyke/internal/revision"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

const (
	// maxBuffered is the largest body that is held in memory, so that an
	// attempt can be repeated; larger bodies stream and are sent once.
	maxBuffered = 64 << 10
	// maxMarkedBody is the largest body of a marked request, whose digest
	// must be known before the first byte goes out.
	maxMarkedBody = 1 << 20
	// maxKeyLength bounds an idempotency key, in bytes.
	maxKeyLength = 255
	// maxDeadline bounds what a caller may ask for.
	maxDeadline = time.Hour
	// idBytes is the number of random bytes in a request or run id.
	idBytes = 16
)

// call is one caller's request after it was checked.
type call struct {
	id      string
	request *http.Request
	entry   catalogue.Entry
	team    string
	// path is what follows the service's name.
	path    string
	rawPath string

	arrived  time.Time
	deadline time.Time

	// key is empty for a request that may be repeated.
	key    string
	digest [sha256.Size]byte
	// claim is the granted claim of a marked call.
	claim *claim.Record

	// body is the whole body, unless stream is set.
	body   []byte
	stream io.Reader
}

// marked reports whether the request must not be repeated.
func (c *call) marked() bool { return c.key != "" }

// repeatable reports whether a failed attempt may be followed by another.
func (c *call) repeatable() bool { return !c.marked() && c.stream == nil }

// newID returns a random identifier in hexadecimal.
func newID() string {
	var raw [idBytes]byte
	if _, err := rand.Read(raw[:]); err != nil {
		panic(errors.Wrap(err, "read random bytes"))
	}
	return hex.EncodeToString(raw[:])
}

// checkCall authenticates the request and checks its headers and size, which is
// bounded by the catalogue and by maxBody bytes. A refusal means that the work
// did not run.
func checkCall(state *revision.State, maxBody int64, w http.ResponseWriter, r *http.Request, now time.Time) (*call, *api.Problem) {
	c := &call{id: newID(), request: r, arrived: now}
	if refusal := c.route(state); refusal != nil {
		return c, refusal
	}
	if refusal := c.authenticate(state); refusal != nil {
		return c, refusal
	}
	if refusal := c.readDeadline(); refusal != nil {
		return c, refusal
	}
	if refusal := c.readKey(); refusal != nil {
		return c, refusal
	}
	c.entry.MaxBody = min(c.entry.MaxBody, maxBody)
	return c, c.readBody(w)
}

// route finds the catalogue entry named by the first segment of the path.
func (c *call) route(state *revision.State) *api.Problem {
	name, rest, _ := strings.Cut(strings.TrimPrefix(c.request.URL.Path, "/"), "/")
	entry, ok := state.Catalogue.Entries[name]
	if !ok {
		return refuse(http.StatusNotFound, "unknown-service", "path", fmt.Sprintf("%.64q is not in the catalogue", name))
	}
	if c.request.Header.Get("Upgrade") != "" {
		return refuse(http.StatusNotImplemented, "upgrade-not-supported", "Upgrade", "protocol upgrades are not forwarded")
	}
	c.entry = entry
	c.path = "/" + rest
	if raw := c.request.URL.RawPath; raw != "" {
		_, rawRest, _ := strings.Cut(strings.TrimPrefix(raw, "/"), "/")
		c.rawPath = "/" + rawRest
	}
	return nil
}

// authenticate finds the team whose key came with the request.
func (c *call) authenticate(state *revision.State) *api.Problem {
	presented, ok := strings.CutPrefix(c.request.Header.Get("Authorization"), "Bearer ")
	if !ok || presented == "" {
		return refuse(http.StatusUnauthorized, "no-key", "Authorization", "a team key is needed: Authorization: Bearer <key>")
	}
	team, ok := state.Keys.Check(presented)
	if !ok {
		return refuse(http.StatusUnauthorized, "wrong-key", "Authorization", "the key is unknown or was withdrawn")
	}
	if !c.entry.Admits(team) {
		return refuse(http.StatusForbidden, "other-team", "Authorization", fmt.Sprintf("team %q may not use %q", team, c.entry.Name))
	}
	c.team = team
	return nil
}

// readDeadline sets the deadline from the header or the catalogue.
func (c *call) readDeadline() *api.Problem {
	patience := c.entry.Deadline
	if text := c.request.Header.Get(headerDeadline); text != "" {
		parsed, err := time.ParseDuration(text)
		if err != nil || parsed <= 0 || parsed > maxDeadline {
			return refuse(http.StatusBadRequest, "broken-deadline", headerDeadline,
				fmt.Sprintf("deadline %.40q is not a duration above 0 and up to %s, such as 2s", text, maxDeadline))
		}
		patience = parsed
	}
	c.deadline = c.arrived.Add(patience)
	return nil
}

// readKey checks the idempotency key.
func (c *call) readKey() *api.Problem {
	values := c.request.Header.Values(headerKey)
	if len(values) == 0 {
		return nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxKeyLength {
		return refuse(http.StatusBadRequest, "broken-idempotency-key", headerKey,
			fmt.Sprintf("one value of 1 to %d bytes is needed", maxKeyLength))
	}
	c.key = values[0]
	return nil
}

// readBody buffers a body that must be digested or may be sent again.
func (c *call) readBody(w http.ResponseWriter) *api.Problem {
	if c.request.ContentLength > c.entry.MaxBody {
		return tooLarge(c.entry.MaxBody)
	}
	limited := http.MaxBytesReader(w, c.request.Body, c.entry.MaxBody)
	limit := int64(maxBuffered)
	if c.marked() {
		limit = maxMarkedBody
	}
	buffered, err := io.ReadAll(io.LimitReader(limited, limit+1))
	if err != nil {
		return bodyProblem(err, c.entry.MaxBody)
	}
	if int64(len(buffered)) <= limit {
		c.body = buffered
		c.digest = c.computeDigest()
		return nil
	}
	if c.marked() {
		return tooLarge(maxMarkedBody)
	}
	// Without this the server drains the body before it writes an answer, which
	// cuts an endpoint that answers while it reads.
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
		return refuse(http.StatusNotImplemented, "streaming-not-supported", "body", "the connection cannot stream both ways")
	}
	c.stream = io.MultiReader(bytes.NewReader(buffered), limited)
	return nil
}

// computeDigest covers what must be the same in a repeat of a marked request.
func (c *call) computeDigest() [sha256.Size]byte {
	if !c.marked() {
		return [sha256.Size]byte{}
	}
	hash := sha256.New()
	fmt.Fprintf(hash, "%s %s?%s\n", c.request.Method, c.path, c.request.URL.RawQuery)
	hash.Write(c.body)
	return [sha256.Size]byte(hash.Sum(nil))
}

// tooLarge is the refusal of a body over limit bytes.
func tooLarge(limit int64) *api.Problem {
	return refuse(http.StatusRequestEntityTooLarge, "body-too-large", "body", fmt.Sprintf("the body is over %d bytes", limit))
}

// bodyProblem tells a body over its limit from one that broke off.
func bodyProblem(err error, limit int64) *api.Problem {
	var over *http.MaxBytesError
	if errors.As(err, &over) {
		return tooLarge(limit)
	}
	return refuse(http.StatusBadRequest, "broken-body", "body", "the body ended early")
}
