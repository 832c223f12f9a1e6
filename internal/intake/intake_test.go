package intake_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/lovagedyke/lovagedyke/internal/budget"
	"github.com/lovagedyke/lovagedyke/internal/intake"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// timeout bounds what a test waits for.
const timeout = 10 * time.Second

// serve serves a handler behind a door until the test ends.
func serve(t *testing.T, config intake.DoorConfig, handler http.Handler) *intake.Door {
	t.Helper()
	config.Name, config.Address, config.Refuses = "test", netip.MustParseAddrPort("127.0.0.1:0"), true
	door, err := intake.Listen(context.Background(), config)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	door.Configure(server)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(door) }()
	t.Cleanup(func() {
		_ = server.Close()
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("end of the server: got %v, want %v", err, http.ErrServerClosed)
		}
	})
	return door
}

// client is a connection to a door.
type client struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, door *intake.Door) *client {
	t.Helper()
	conn, err := net.Dial("tcp", door.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(timeout))
	return &client{t: t, Conn: conn, reader: bufio.NewReader(conn)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatalf("send: %v", err)
	}
}

// want fails the test unless an answer with the status is next.
func (c *client) want(status int) *http.Response {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatalf("answer: got %v, want %d", err, status)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode != status {
		c.t.Errorf("answer: got %d, want %d", response.StatusCode, status)
	}
	return response
}

// wantClosed fails the test unless the connection is closed without another answer.
func (c *client) wantClosed() {
	c.t.Helper()
	rest, err := io.ReadAll(c.reader)
	var timeoutErr net.Error
	if len(rest) > 0 || errors.As(err, &timeoutErr) && timeoutErr.Timeout() {
		c.t.Errorf("end of the connection: got %q and %v, want it closed", rest, err)
	}
}

const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// post returns the head of a request with a body.
func post(line string) string { return "POST / HTTP/1.1\r\nHost: a\r\n" + line + "\r\n\r\n" }

func ok(http.ResponseWriter, *http.Request) {}

// Guards against a port that accepts no connections once its limit is reached: the one that
// has been idle for longest is closed.
func TestIdleConnectionIsClosedForAnother(t *testing.T) {
	door := serve(t, intake.DoorConfig{MaxConnections: 2}, http.HandlerFunc(ok))
	first, second := dial(t, door), dial(t, door)
	first.send(get)
	first.want(http.StatusOK)
	second.send(get)
	second.want(http.StatusOK)
	first.send(get)
	first.want(http.StatusOK)
	third := dial(t, door)
	third.send(get)
	third.want(http.StatusOK)
	second.wantClosed()
	first.send(get)
	first.want(http.StatusOK)
	if got := door.Connections(); got != 2 {
		t.Errorf("connections: got %d, want 2", got)
	}
}

// Guards against a request that is served and whose connection is closed for another.
func TestServedConnectionStays(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	door := serve(t, intake.DoorConfig{MaxConnections: 1}, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(entered)
		<-release
	}))
	first := dial(t, door)
	first.send(get)
	<-entered
	second := dial(t, door)
	response := second.want(http.StatusServiceUnavailable)
	if got := response.Header.Get("Retry-After"); got == "" {
		t.Error("Retry-After of a refused connection: got none, want one")
	}
	close(release)
	first.want(http.StatusOK)
}

// Guards against requests that stop short and get no answer when they give way.
func TestStalledRequestIsAnswered(t *testing.T) {
	tests := map[string]string{
		"header":         "GET / HTTP/1.1\r\nHost: a\r\n",
		"body of length": post("Content-Length: 10") + "123456789",
		"chunked body":   post("Transfer-Encoding: chunked") + "5\r\n12345\r\n",
		"expected body":  post("Content-Length: 10\r\nExpect: 100-continue") + "123456789",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			bodies := newBodies(1 << 20)
			door := serve(t, intake.DoorConfig{MaxConnections: 1}, readBody(bodies, timeout))
			first := dial(t, door)
			first.send(text)
			eventually(t, "the request arrives", func() bool { return door.Arriving() == 1 })
			if strings.Contains(text, "Expect") {
				first.want(http.StatusContinue)
			}
			second := dial(t, door)
			second.send(get)
			second.want(http.StatusOK)
			first.want(http.StatusServiceUnavailable)
			first.wantClosed()
		})
	}
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(timeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: still false after %s", what, timeout)
		}
	}
}

// newBodies returns a reader of bodies with a budget.
func newBodies(bytes int64) *intake.Bodies {
	return intake.NewBodies(intake.BodiesConfig{Budget: budget.New(budget.Config{Bytes: bytes, SmallBytes: 1 << 10, StallTime: 50 * time.Millisecond})})
}

// readBody returns a handler that reads bodies of up to 100,000 bytes.
func readBody(bodies *intake.Bodies, limit time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == http.NoBody {
			return
		}
		body, refused := bodies.Read(w, r, 100_000, time.Now().Add(limit))
		if refused != nil {
			w.Header().Set("Cause", string(refused.Cause))
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer body.Share.Release()
		fmt.Fprint(w, len(body.Bytes))
	})
}

func TestBodies(t *testing.T) {
	text := strings.Repeat("x", 100_000)
	chunk := func(body string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(body), body) }
	tests := map[string]struct {
		send   string
		status int
		cause  string
	}{
		"of length":            {post("Content-Length: 100000") + text, http.StatusOK, ""},
		"empty":                {post("Content-Length: 0"), http.StatusOK, ""},
		"chunked":              {post("Transfer-Encoding: chunked") + chunk(text[:10]) + chunk(text[10:]) + "0\r\n\r\n", http.StatusOK, ""},
		"too long":             {post("Content-Length: 100001"), http.StatusServiceUnavailable, "too-large"},
		"chunked, too long":    {post("Transfer-Encoding: chunked") + chunk(text) + chunk("x"), http.StatusServiceUnavailable, "too-large"},
		"broken chunk":         {post("Transfer-Encoding: chunked") + "xyz\r\n", http.StatusServiceUnavailable, "broken-off"},
		"not there in time":    {post("Content-Length: 10") + "123456789", http.StatusServiceUnavailable, "too-late"},
		"chunks without end":   {post("Transfer-Encoding: chunked") + chunk(text[:50_000]), http.StatusServiceUnavailable, "too-late"},
		"nothing after header": {post("Transfer-Encoding: chunked"), http.StatusServiceUnavailable, "too-late"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			door := serve(t, intake.DoorConfig{}, readBody(newBodies(1<<20), time.Second))
			c := dial(t, door)
			c.send(test.send)
			response := c.want(test.status)
			if got := response.Header.Get("Cause"); got != test.cause {
				t.Errorf("cause: got %q, want %q", got, test.cause)
			}
			if got, want := response.Close, test.status != http.StatusOK; got != want {
				t.Errorf("connection is closed: got %v, want %v", got, want)
			}
			if test.status == http.StatusOK {
				c.send(get)
				c.want(http.StatusOK)
			}
		})
	}
}

// Guards against bodies without progress that keep the budget, and against an answer that
// waits for the rest of a body.
func TestStalledBodyGivesWay(t *testing.T) {
	requests := budget.New(budget.Config{Bytes: 700_000, SmallBytes: 1 << 10, StallTime: 50 * time.Millisecond})
	door := serve(t, intake.DoorConfig{}, readBody(intake.NewBodies(intake.BodiesConfig{Budget: requests}), timeout))
	stalled := dial(t, door)
	stalled.send(post("Content-Length: 100000") + strings.Repeat("x", 99_999))
	eventually(t, "the body has its share", func() bool { return requests.Usage().Held > 0 })
	time.Sleep(200 * time.Millisecond) // longer than the budget's stall time
	moving := dial(t, door)
	moving.send(post("Content-Length: 100000") + strings.Repeat("x", 100_000))
	moving.want(http.StatusOK)
	response := stalled.want(http.StatusServiceUnavailable)
	if got, want := response.Header.Get("Cause"), "no-progress"; got != want {
		t.Errorf("cause: got %q, want %q", got, want)
	}
}

// Guards against an answer that waits for a body that no one needs.
func TestUnneededBodyHoldsUpNoAnswer(t *testing.T) {
	door := serve(t, intake.DoorConfig{}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		intake.BoundDrain(w, r)
		w.WriteHeader(http.StatusUnauthorized)
	}))
	c := dial(t, door)
	c.send(post("Content-Length: 10") + "123456789")
	c.want(http.StatusUnauthorized)
	whole := dial(t, door)
	for range 2 {
		whole.send(post("Content-Length: 10") + "1234567890")
		whole.want(http.StatusUnauthorized)
	}
}

// Guards against headers of many lines, which take far more memory than their bytes.
func TestCostlyHeaderIsRefused(t *testing.T) {
	headers := budget.New(budget.Config{Bytes: 100 << 10})
	door := serve(t, intake.DoorConfig{Headers: headers}, http.HandlerFunc(ok))
	c := dial(t, door)
	var text strings.Builder
	for n := range 600 {
		fmt.Fprintf(&text, "x%x:\r\n", n)
	}
	c.send("GET / HTTP/1.1\r\nHost: a\r\n" + text.String())
	c.want(http.StatusServiceUnavailable)
	c.wantClosed()
	eventually(t, "the share is given back", func() bool { return headers.Usage().Held == 0 })
	usual := dial(t, door)
	usual.send(get)
	usual.want(http.StatusOK)
}

// Guards against bodies that no one needs and that are counted as headers while they are
// dropped: they would take the room of others.
func TestDroppedBodyTakesNoRoom(t *testing.T) {
	headers := budget.New(budget.Config{Bytes: 1 << 20})
	refused := make(chan struct{}, 1)
	door := serve(t, intake.DoorConfig{Headers: headers, MaxConnections: 1}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		intake.Linger(w)
		w.WriteHeader(http.StatusUnauthorized)
		refused <- struct{}{}
	}))
	c := dial(t, door)
	c.send(post("Content-Length: 100000") + strings.Repeat("x", 99_999))
	<-refused
	c.want(http.StatusUnauthorized)
	if got := headers.Usage().Held; got != 0 {
		t.Errorf("held for a dropped body: got %d bytes, want 0", got)
	}
	c.wantClosed()
}

// Guards against answers that no one reads, which hold connections for good.
func TestUnreadAnswerEndsConnection(t *testing.T) {
	failed := make(chan error, 1)
	door := serve(t, intake.DoorConfig{WriteTimeout: 50 * time.Millisecond, SendBytes: 4 << 10}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(make([]byte, 16<<20))
		failed <- err
	}))
	c := dial(t, door)
	c.send(get)
	select {
	case err := <-failed:
		if err == nil {
			t.Error("write to a client that does not read: got success, want an error")
		}
	case <-time.After(timeout):
		t.Error("write to a client that does not read: got no end, want an error")
	}
}

func TestMessages(t *testing.T) {
	handler := intake.Messages(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}), intake.MessagesConfig{
		Bodies: newBodies(1 << 20), MaxBytes: 100, Timeout: time.Second, ContentType: "a/b",
		Check: func(message []byte) error {
			if string(message) == "bomb" {
				return errors.New("too many fields")
			}
			return nil
		},
	})
	tests := map[string]struct {
		send   string
		status int
	}{
		"message":     {post("Content-Type: a/b\r\nContent-Length: 4") + "text", http.StatusOK},
		"other type":  {post("Content-Type: a/c\r\nContent-Length: 4") + "text", http.StatusUnsupportedMediaType},
		"too long":    {post("Content-Type: a/b\r\nContent-Length: 101"), http.StatusRequestEntityTooLarge},
		"bomb":        {post("Content-Type: a/b\r\nContent-Length: 4") + "bomb", http.StatusRequestEntityTooLarge},
		"stops short": {post("Content-Type: a/b\r\nContent-Length: 4") + "tex", http.StatusServiceUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := dial(t, serve(t, intake.DoorConfig{}, handler))
			c.send(test.send)
			c.want(test.status)
		})
	}
}

func TestNoBodies(t *testing.T) {
	door := serve(t, intake.DoorConfig{}, intake.NoBodies(http.HandlerFunc(ok)))
	c := dial(t, door)
	c.send(get)
	c.want(http.StatusOK)
	c.send(post("Content-Length: 10"))
	c.want(http.StatusRequestEntityTooLarge)
}
